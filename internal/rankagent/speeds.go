package rankagent

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

const (
	// speedUpdateInterval is the shortest interval at which the estimate of rank speeds is computed: with 72 ranks, several
	// reports arrive in it.
	speedUpdateInterval = 20 * time.Millisecond
	// earlyReportInterval is the shortest time from a report to one that is sent early because speeds changed.
	earlyReportInterval = 50 * time.Millisecond
	// maxSpeedLines is the greatest number of log lines per second on changes of speed. Further changes are only counted.
	maxSpeedLines = 10
)

// rankSpeeds is what a leader keeps about the speeds of its ranks.
type rankSpeeds struct {
	estimate  *expert.RankSpeeds
	updatedAt time.Time
	// lines is the number of log lines since linesFrom.
	lines     int
	linesFrom time.Time
}

// updateSpeeds computes the speeds of the ranks. A change is logged, starts a map if that is worth its cost, and is
// reported to the entries.
func (a *Agent) updateSpeeds(ctx context.Context, now time.Time) {
	if a.group == nil || !a.leader.Leading() || now.Sub(a.group.speeds.updatedAt) < speedUpdateInterval {
		return
	}
	state := a.group
	state.speeds.updatedAt = now
	idlePass := time.Duration(0)
	if engine := a.engineModel(); engine != nil {
		idlePass = engine.Step * time.Duration(engine.StepsPerPass)
	}
	changes := state.speeds.estimate.Update(now, idlePass)
	slow, slowest := 0, 1.0
	for _, slowness := range state.speeds.estimate.Slowness() {
		if slowness > 1 {
			slow++
		}
		slowest = max(slowest, slowness)
	}
	a.scope.Gauge("ranks_slow").Update(float64(slow))
	a.scope.Gauge("rank_slowness_highest").Update(slowest)
	if len(changes) == 0 {
		return
	}
	a.logSpeeds(now, changes)
	a.updateSkew()
	a.plan(ctx, now)
	if now.Sub(state.reportedAt) >= earlyReportInterval {
		state.reportedAt = time.Time{} // sends the report now: entries place new work by it
	}
	a.reportToEntries(now)
}

// logSpeeds logs and counts ranks whose speed changed.
func (a *Agent) logSpeeds(now time.Time, changes []expert.SpeedChange) {
	speeds := &a.group.speeds
	if now.Sub(speeds.linesFrom) >= time.Second {
		speeds.lines, speeds.linesFrom = 0, now
	}
	for _, change := range changes {
		event := "rank-recovered"
		switch {
		case change.Slow() && change.Before > 1:
			event = "rank-slowness-changed"
		case change.Slow():
			event = "rank-slow"
		case change.Stale():
			event = "rank-pace-stale"
		}
		a.scope.Tagged(map[string]string{"change": event}).Counter("rank_speed_changes").Inc(1)
		if speeds.lines++; speeds.lines > maxSpeedLines {
			continue
		}
		a.log.WithFields(logrus.Fields{
			"group": a.self.Group, "rank": change.Rank, "pace": change.Pace, "pace_age_ms": change.Age.Milliseconds(),
			"pass_ms": change.Pass.Milliseconds(), "slowness_before": change.Before, "slowness": change.Slowness,
		}).Info(event)
	}
}

// updateSkew computes the skew of the map in use under the present demand and speeds.
func (a *Agent) updateSkew() {
	state := a.ensureGroupState()
	placement := a.leader.Placement()
	if state.demand == nil || len(placement) == 0 {
		return
	}
	if load, buckets := state.demand.Estimate(); len(placement) == len(load) && buckets > 0 {
		state.skew = expert.PlacementSkew(placement, load, state.speeds.estimate.Slowness())
	}
}

// expertPart returns the part of a pass that the group spends in experts with a skew of 1.
func (s *groupState) expertPart(engine *routing.EngineModel) time.Duration {
	if engine == nil || len(s.loads) == 0 {
		return 0
	}
	writers := 0
	for _, load := range s.loads {
		if engine.Slots > 0 {
			load = min(load, engine.Slots)
		}
		writers += load
	}
	perWriter := engine.Experts.Share * float64(engine.PerWriter) * float64(engine.StepsPerPass)
	return time.Duration(perWriter * float64(writers) / float64(len(s.loads)))
}

// leavingRanks returns which ranks of the group are leaving; nil if none is.
func (a *Agent) leavingRanks(ranks int) []bool {
	var leaving []bool
	for rank := range ranks {
		if !a.ranks[ident.Rank(rank)].Leaving {
			continue
		}
		if leaving == nil {
			leaving = make([]bool, ranks)
		}
		leaving[rank] = true
	}
	return leaving
}

// reportedSlowness returns the slow ranks for a report.
func reportedSlowness(slowness []float64) []datagram.RankSlowness {
	var slow []datagram.RankSlowness
	for rank, factor := range slowness {
		if percent := math.Round(100 * factor); percent > 100 {
			slow = append(slow, datagram.RankSlowness{Rank: uint16(rank), Percent: uint16(min(percent, math.MaxUint16))})
		}
	}
	return slow
}
