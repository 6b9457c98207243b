package rankagent

import (
	"math"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/expert"
)

// Parameters of the reports to the leader. All agents are assumed to have links of the same rate.
const (
	// statusReportBytes is the size of a report without counts, with the headers of UDP and IP.
	statusReportBytes = 130
	// statusLinkShare is the share of the leader's link for reports that show no change, countsLinkShare that for counts.
	statusLinkShare = 0.125
	countsLinkShare = 0.3
	// minPaceChange is the change of a rank's pace that is reported at once.
	minPaceChange = 0.1
)

// reportSchedule decides which readings of its rank's status an agent reports to the leader. A change on which a rollout
// may wait is reported at once, other readings so rarely that the reports of all ranks fill a small part of the leader's
// link.
type reportSchedule struct {
	last   expert.RankStatus
	sentAt time.Time
	// confirmPace is true if the last report was the first one of a changed pace. The leader needs two.
	confirmPace bool
}

// due reports whether a report must be sent, and records that it is. linkRate is the rate of the link in bytes a second;
// 0 if unknown.
func (r *reportSchedule) due(now time.Time, report *datagram.RankReport, linkRate float64) bool {
	status := report.Status
	interval := reportingInterval(status.Size, statusReportBytes, statusLinkShare*linkRate)
	if len(report.Counts.Layers) == 0 && !changed(&r.last, &status) && !r.confirmPace && now.Sub(r.sentAt) < interval {
		return false
	}
	r.confirmPace = paceChanged(&r.last, &status)
	r.last, r.sentAt = status, now
	return true
}

// reportingInterval returns the interval at which each of a number of ranks may send messages of size bytes to the leader,
// if all of them together may send rate bytes a second; 0 if the rate is unknown.
func reportingInterval(ranks, size int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(ranks*size) / rate * float64(time.Second))
}

// paceChanged reports whether the pace of two statuses of a rank differs by more than its scatter.
func paceChanged(a, b *expert.RankStatus) bool {
	return math.Abs(max(a.Pace, 1)-max(b.Pace, 1)) > minPaceChange
}

// changed reports whether two statuses of a rank differ in a way on which a rollout may wait, or in the rank's speed.
func changed(a, b *expert.RankStatus) bool {
	return paceChanged(a, b) || a.Epoch != b.Epoch || a.Open != b.Open || a.Map != b.Map || a.Prepared != b.Prepared || a.Armed != b.Armed || a.Held != b.Held
}
