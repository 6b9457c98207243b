package gateway

import (
	"cmp"
	"errors"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// reportSilence is the time without a report that is in order after which any report of a group is accepted. Estimates
// from reports of that age are not used any more, and the epochs of a group may have begun anew.
const reportSilence = time.Second

const (
	// maxReportedCount bounds the number of entries in a report: several times what deployments have. The number is remembered
	// for up to an hour, in which each entry's share of a cold server's limit is computed from it.
	maxReportedCount = 1024
	// maxReportedLoad bounds the number of requests of a rank, so that their sum does not overflow.
	maxReportedLoad = math.MaxInt32
	// maxPassMicros bounds the duration of a pass in a report, so that it fits in a time.Duration. Passes last far below a second.
	maxPassMicros = int64(time.Hour / time.Microsecond)
	// skewRounding is the part by which the skew may exceed its bound, since the slowness of ranks is rounded to percents.
	skewRounding = 0.01
	// invalidReportLogInterval is the least time between two log lines about invalid reports.
	invalidReportLogInterval = time.Second
)

var (
	errReportedEntries = errors.New("number of entries out of range")
	errReportedLoad    = errors.New("load of a rank out of range")
	errReportedPass    = errors.New("duration of passes out of range")
	errReportedSkew    = errors.New("skew out of range")
)

// validateReport returns an error if no group can be in the state that a report states.
func validateReport(report *datagram.GroupReport) error {
	switch {
	case report.EntryCount < 0 || report.EntryCount > maxReportedCount || len(report.Entries) > maxReportedCount:
		return errReportedEntries
	case slices.ContainsFunc(report.Loads, func(load int) bool { return load < 0 || load > maxReportedLoad }):
		return errReportedLoad
	case report.PassMicros < 0 || report.PassMicros > maxPassMicros:
		return errReportedPass
	case math.IsNaN(report.Skew) || report.Skew < 0 || report.Skew > maxSkew(report):
		return errReportedSkew
	}
	return nil
}

// maxSkew returns the greatest skew that a report can have. All load may be at one rank; the loads are weighted by the slowness of
// the ranks. A group that has just formed may report a skew of 1 and no ranks yet.
func maxSkew(report *datagram.GroupReport) float64 {
	slowest := uint16(100)
	for _, slow := range report.Slow {
		slowest = max(slowest, slow.Percent)
	}
	return float64(max(len(report.Loads), 1)) * float64(slowest) / 100 * (1 + skewRounding)
}

// isInvalidReport reports whether a report states what no group can have. It counts such reports, and logs at most one per
// invalidReportLogInterval.
func (g *Gateway) isInvalidReport(now time.Time, report *datagram.GroupReport, from netip.AddrPort) bool {
	err := validateReport(report)
	if err == nil {
		return false
	}
	g.metrics.count("group_report_invalid")
	if now.Sub(g.leaders.invalidLoggedAt) >= invalidReportLogInterval {
		g.leaders.invalidLoggedAt = now
		group := report.Group
		if g.leaders.groups[group] == nil {
			group = "unknown"
		}
		g.log.WithError(err).WithFields(logrus.Fields{
			"group": group, "agent": from.String(), "entries": max(report.EntryCount, len(report.Entries)), "ranks": len(report.Loads),
			"pass_us": report.PassMicros, "skew": report.Skew,
		}).Warn("group-report-invalid")
	}
	return true
}

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
