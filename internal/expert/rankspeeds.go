package expert

import (
	"math"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Parameters of the estimate of rank speeds.
const (
	// maxPaceAge is the age from which a reported pace counts as 1. A busy rank reports about every 100 ms and an idle one
	// every 400 ms, so that two lost reports of an idle rank do not change the estimate.
	maxPaceAge = time.Second
	// minSlowness is the slowness from which a rank counts as slow, and usualSlowness the one below which a slow rank counts
	// as usual again. A slowness of 1.1 lengthens passes by less than their usual scatter; with that single threshold, paces
	// of 1.08 to 1.16 changed the estimate 103 times in 10 s.
	minSlowness   = 1.15
	usualSlowness = 1.05
	// paceConfirmations is the number of consecutive reports of a greater pace that the estimate needs to rise.
	paceConfirmations = 2
	// maxPassTime is the longest time that counts as the duration of a pass. A longer time without the beginning of a pass
	// means that the group was idle.
	maxPassTime = 2 * time.Second
	// speedChangeFactor is the relative change of a slow rank's estimate that is reported as a change of its speed. It is
	// more than the scatter of the measured passes, which bound the estimate. Maps for estimates that differ by less are
	// nearly the same: at twice the work a rank already loses most of its experts.
	speedChangeFactor = 1.5
	// restartReportGap is the time since the last report from which a report with an earlier pass comes from a rank that
	// restarted. After a shorter time it is a delayed datagram.
	restartReportGap = 300 * time.Millisecond
	// recentPasses is the number of measured passes that bound the estimate.
	recentPasses = 3
	// maxStepDistance is the greatest difference from the last pass of the group with which a single rank's report of a pass
	// is believed: more than 30 s of passes. A greater one needs the report of a second rank.
	maxStepDistance = 1000
)

// RankSpeeds estimates the slowness of each rank of a group: the factor by which its work takes longer than usual. The
// estimate is the pace that the rank reports, bounded by the measured passes: all ranks execute each pass together, so
// that a pass takes at least the slowness of the slowest rank with requests times the duration of a pass without requests. A
// healthy rank that reports itself as slow is therefore taken to be at most as slow as the passes allow. By the assumption in
// docs/design/0025, a rank without requests does not delay passes, so that its bound stays as it was; if it has no bound
// yet, its pace is believed.
//
// The bound is the median of the last three passes, so that a single long pass does not change the estimate. RankSpeeds is
// pure and not safe for concurrent use.
type RankSpeeds struct {
	epoch uint64
	ranks []rankSpeed
	// slowness is the estimate by rank, as of the last Update; nil if no rank is slow.
	slowness []float64

	// step is the last pass known to have begun, and stepAt the time at which that became known.
	step   uint64
	stepAt time.Time
	// doubted is the last report of a pass that is further than maxStepDistance from step.
	doubted doubtedStep
	// passes are the durations of the latest passes, the last one first.
	passes []time.Duration
}

// doubtedStep is a pass that a rank reported and that no other rank confirmed yet.
type doubtedStep struct {
	known bool
	rank  ident.Rank
	step  uint64
}

// rankSpeed is what is known about the speed of one rank.
type rankSpeed struct {
	// step and reportedAt are the pass and the time of the last report.
	step       uint64
	reportedAt time.Time
	// pace is the last reported pace, recent the paces of the reports since the rank's start, the last one first.
	pace   float64
	recent []float64
	// slow is true if the rank was slow at the last Update, reported the estimate in the last SpeedChange.
	slow     bool
	reported float64
	// busyReports counts the consecutive reports with running requests. bound is the greatest slowness that the passes with
	// requests of the rank allow; 0 if unknown.
	busyReports int
	bound       float64
}

// SpeedChange reports that the estimated slowness of a rank changed.
type SpeedChange struct {
	Rank ident.Rank
	// Pace is the pace that the rank reported last, Age the time since that report, and Pass the measured duration of a
	// pass; 0 if unknown.
	Pace      float64
	Age, Pass time.Duration
	// Before and Slowness are the former and the present estimate.
	Before, Slowness float64
}

// Slow reports whether the rank is slow now.
func (c SpeedChange) Slow() bool { return c.Slowness > 1 }

// Stale reports whether the rank counts as usual only because its last report is too old.
func (c SpeedChange) Stale() bool { return !c.Slow() && c.Age >= maxPaceAge }

// NewRankSpeeds returns an estimate without reports, by which no rank is slow.
func NewRankSpeeds() *RankSpeeds { return &RankSpeeds{} }

// Observe records a rank's status, received at now. A status of a later epoch starts the estimate over; one of an earlier
// epoch is ignored, as are delayed ones. It returns false if it ignores the status because its values are not plausible.
func (s *RankSpeeds) Observe(now time.Time, status *RankStatus) bool {
	if !status.Valid() || math.IsNaN(status.Pace) || math.IsInf(status.Pace, 0) {
		return false
	}
	if status.Epoch < s.epoch {
		return true
	}
	if status.Epoch > s.epoch || len(s.ranks) != status.Size {
		*s = RankSpeeds{epoch: status.Epoch, ranks: make([]rankSpeed, status.Size)}
	}
	stepPlausible := s.plausibleStep(status.Rank, status.Step)
	if !stepPlausible && status.Step > s.step {
		return false
	}
	view := &s.ranks[status.Rank]
	if status.Step < view.step {
		if now.Sub(view.reportedAt) < restartReportGap {
			return true
		}
		*view = rankSpeed{reported: view.reported} // the rank restarted
	}
	view.step, view.reportedAt, view.pace = status.Step, now, max(status.Pace, 1)
	view.recent = slices.Insert(view.recent, 0, view.pace)
	view.recent = view.recent[:min(len(view.recent), paceConfirmations)]
	if view.busyReports++; status.Running == 0 {
		view.busyReports = 0
	}
	if stepPlausible {
		s.observePass(now, status.Step)
	}
	return true
}

// plausibleStep reports whether a pass that a rank reports can be that of the group. All ranks execute each pass together, so
// that a pass far from that of the group is wrong unless a second rank confirms it. The measurement then starts over: the
// former pass of the group was wrong.
func (s *RankSpeeds) plausibleStep(rank ident.Rank, step uint64) bool {
	if s.stepAt.IsZero() || stepDistance(step, s.step) <= maxStepDistance {
		return true
	}
	if s.doubted.known && s.doubted.rank != rank && stepDistance(step, s.doubted.step) <= maxStepDistance {
		s.step, s.stepAt, s.passes, s.doubted = step, time.Time{}, nil, doubtedStep{}
		return true
	}
	s.doubted = doubtedStep{known: true, rank: rank, step: step}
	return false
}

func stepDistance(a, b uint64) uint64 { return max(a, b) - min(a, b) }

// observePass measures the duration of passes from the first report of each pass.
func (s *RankSpeeds) observePass(now time.Time, step uint64) {
	if step <= s.step && !s.stepAt.IsZero() {
		return
	}
	passes, elapsed := step-s.step, now.Sub(s.stepAt)
	if !s.stepAt.IsZero() && elapsed <= maxPassTime {
		// The mean of passes that are reported together counts once, so that a long pass among them is a single value of
		// the median.
		s.passes = slices.Insert(s.passes, 0, elapsed/time.Duration(passes))
		s.passes = s.passes[:min(len(s.passes), recentPasses)]
	}
	s.step, s.stepAt = step, now
}

// Update computes the estimate at now. idlePass is the duration of a pass without requests; 0 if unknown, then the passes
// bound nothing. It returns the ranks whose speed changed since the last time that it returned them.
func (s *RankSpeeds) Update(now time.Time, idlePass time.Duration) []SpeedChange {
	var changes []SpeedChange
	slow := false
	pass := s.Pass(now)
	estimates := make([]float64, len(s.ranks))
	for rank := range s.ranks {
		view := &s.ranks[rank]
		estimate := view.estimate(now)
		if view.updateBound(pass, idlePass); idlePass > 0 {
			estimate = view.bounded(estimate, pass)
		}
		threshold := minSlowness
		if view.slow {
			threshold = usualSlowness
		}
		if view.slow = estimate >= threshold; !view.slow {
			estimate = 1
		}
		estimates[rank] = estimate
		slow = slow || view.slow
		before := max(view.reported, 1)
		if !isSpeedChange(before, estimate) {
			continue
		}
		view.reported = estimate
		changes = append(changes, SpeedChange{
			Rank: ident.Rank(rank), Pace: view.pace, Age: now.Sub(view.reportedAt), Pass: pass, Before: before, Slowness: estimate,
		})
	}
	s.slowness = nil
	if slow {
		s.slowness = estimates
	}
	return changes
}

// bounded returns an estimate bounded by the passes. While no passes with requests of the rank are known, it is not bounded
// once passes of the group are known: a new leader would otherwise take a slow rank whose streams were moved away as
// healthy, and entries would send new streams there. The cost is that a healthy rank with a false pace is believed until it
// gets requests. Meanwhile it holds fewer experts than it could, but it lengthens no passes.
func (r *rankSpeed) bounded(estimate float64, pass time.Duration) float64 {
	if r.bound == 0 && pass > 0 {
		return estimate
	}
	return min(estimate, r.bound)
}

// updateBound updates the bound by the duration of the latest passes. It falls only if the rank had requests in all of them,
// since passes get short again as soon as a slow rank has none. A rank without requests has no bound: the passes that it had
// some in may have ended before they showed how slow it is, and a rank that is taken for faster than it is gets new streams.
func (r *rankSpeed) updateBound(pass, idlePass time.Duration) {
	if r.busyReports == 0 {
		r.bound = 0
		return
	}
	if idlePass <= 0 || pass <= 0 {
		return
	}
	if bound := float64(pass) / float64(idlePass); bound > r.bound || r.busyReports > recentPasses {
		r.bound = bound
	}
}

// isSpeedChange reports whether two values of a rank's slowness differ so much that its speed changed.
func isSpeedChange(before, now float64) bool {
	if before == 1 || now == 1 {
		return before != now
	}
	return now >= before*speedChangeFactor || before >= now*speedChangeFactor
}

// estimate returns the pace of a rank without the bound by the passes: the smallest of its latest reports, so that it
// rises with the second report of a greater pace and falls with the first of a smaller one. A rank that is taken to be
// slow after it recovered only holds fewer experts than it could, but it costs nothing to let it recover at once.
func (r *rankSpeed) estimate(now time.Time) float64 {
	if len(r.recent) < paceConfirmations || now.Sub(r.reportedAt) >= maxPaceAge {
		return 1
	}
	return slices.Min(r.recent)
}

// Pass returns the median duration of the latest passes; 0 if too few are known. The pass in progress counts with the time
// since its beginning in place of the oldest one if that increases the median.
func (s *RankSpeeds) Pass(now time.Time) time.Duration {
	if len(s.passes) < recentPasses {
		return 0
	}
	latest := median(s.passes)
	if elapsed := now.Sub(s.stepAt); elapsed <= maxPassTime {
		latest = max(latest, median([]time.Duration{elapsed, s.passes[0], s.passes[1]}))
	}
	return latest
}

func median(durations []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}

// Slowness returns the estimate of the last Update by rank; nil if no rank is slow. Callers must not change it.
func (s *RankSpeeds) Slowness() []float64 { return s.slowness }
