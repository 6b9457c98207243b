package gateway

import (
	"cmp"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// reportSilence is the time without a report that is in order after which any report of a group is accepted. Estimates
// from reports of that age are not used any more, and the epochs of a group may have begun anew.
const reportSilence = time.Second

// reportPosition is the position of a report of a group in the order of its epochs, leaders and reports.
type reportPosition struct {
	epoch, fence, sequence uint64
}

func (p reportPosition) compare(other reportPosition) int {
	return cmp.Or(cmp.Compare(p.epoch, other.epoch), cmp.Compare(p.fence, other.fence), cmp.Compare(p.sequence, other.sequence))
}

// acceptReport records the position of a group's report. It returns false if the report is outdated: another one with the
// same or a greater position has been accepted, for example from the successor of a leader that was frozen. Reports without
// a sequence number come from an agent of an earlier version and are only compared by epoch and fence.
func (d *leaderDirectory) acceptReport(now time.Time, report *datagram.GroupReport) bool {
	group := d.groups[report.Group]
	if group == nil {
		return true
	}
	position := reportPosition{epoch: report.Epoch, fence: report.Fence, sequence: report.Sequence}
	order := position.compare(group.lastReport)
	repeated := order == 0 && report.Sequence > 0
	if (order < 0 || repeated) && now.Sub(group.acceptedAt) < reportSilence {
		return false
	}
	group.lastReport, group.acceptedAt = position, now
	return true
}

// rankSlowness returns the slowness of each rank as stated by a report; nil if no rank is slow.
func rankSlowness(report *datagram.GroupReport) []float64 {
	var slowness []float64
	for _, slow := range report.Slow {
		if int(slow.Rank) >= len(report.Loads) || slow.Percent <= 100 {
			continue
		}
		if slowness == nil {
			slowness = make([]float64, len(report.Loads))
			for rank := range slowness {
				slowness[rank] = 1
			}
		}
		slowness[slow.Rank] = float64(slow.Percent) / 100
	}
	return slowness
}

// isOutdatedReport reports whether a group's report is outdated. It counts such reports, and logs the first one of a series.
func (g *Gateway) isOutdatedReport(now time.Time, report *datagram.GroupReport, from string) bool {
	if g.leaders.acceptReport(now, report) {
		return false
	}
	g.metrics.count("group_report_outdated")
	g.leaders.logOutdated(report.Group, now, func(last reportPosition, age time.Duration) {
		g.log.WithFields(map[string]any{
			"group": report.Group, "agent": from, "epoch": report.Epoch, "fence": report.Fence, "sequence": report.Sequence,
			"last_epoch": last.epoch, "last_fence": last.fence, "last_sequence": last.sequence, "last_age_ms": age.Milliseconds(),
		}).Warn("group-report-outdated")
	})
	return true
}

// logOutdated calls log with the last accepted position and its age, at most once per second and group.
func (d *leaderDirectory) logOutdated(name ident.Group, now time.Time, log func(last reportPosition, age time.Duration)) {
	if group := d.groups[name]; group != nil && now.Sub(group.outdatedLoggedAt) >= time.Second {
		group.outdatedLoggedAt = now
		log(group.lastReport, now.Sub(group.acceptedAt))
	}
}
