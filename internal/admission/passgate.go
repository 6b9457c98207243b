package admission

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// Limits of the pass gate.
const (
	// passMargin is the part of a stream's longest gap that a predicted pass may take. The rest is for
	// the network (two zones, 4 ms), processes that share a fifth of a core, and prompts read in between.
	passMargin = 0.9
	// loadingSlowdown is how much longer passes take while ranks load experts, as the platform states.
	loadingSlowdown = 1.15
	// reportLife is the age at which a group's report says nothing about its load any more: five
	// report intervals of 200 ms.
	reportLife = time.Second
	// leastRetryAfter and mostRetryAfter bound the advice to refused callers, who come back once. Below 0.7 s
	// they come before the map fits a new demand (0.5 to 0.7 s after a jump) or streams of 1 to 2 s have ended;
	// above 2 s they have lost interest (a quarter of the usual deadline of 8 s).
	leastRetryAfter = 700 * time.Millisecond
	mostRetryAfter  = 2 * time.Second
)

// GroupPace is what a model group's leader reports of its load and pace.
type GroupPace struct {
	// At is when the report came.
	At time.Time
	// Writers is the number of requests that run or wait at all ranks.
	Writers int
	// Ranks is the number of ranks.
	Ranks int
	// Pass is the mean time of the last passes; 0 for an idle group.
	Pass time.Duration
	// Skew is the load of the most loaded rank's experts over the mean.
	Skew float64
	// Loading is true while ranks load experts for the next map.
	Loading bool
	// Entries is the number of entries that send requests to the group.
	Entries int
}

// Fresh reports whether the report still says something.
func (p GroupPace) Fresh(now time.Time) bool {
	return !p.At.IsZero() && now.Sub(p.At) < reportLife
}

// PassGate predicts the pass time of a lock-step group and admits streams only while all of
// them stay on time. Under overload the pass gets longer for all ranks at once, so that one stream too
// many makes all others late; the load pattern is a spike beyond the group's pace, or a
// usual load while the expert map does not fit the demand.
type PassGate struct {
	Engine *routing.EngineModel
	// Gap is the longest pause between events of a stream that is on time.
	Gap time.Duration
}

// perWriter returns what one more writer on one of the ranks adds to a pass.
func (g PassGate) perWriter(pace GroupPace) time.Duration {
	skew := max(pace.Skew, 1)
	share := g.Engine.Experts.Share
	own := (1 - share) + share*skew
	perPass := float64(g.Engine.PerWriter) * float64(g.Engine.StepsPerPass) * own
	return time.Duration(perPass / float64(max(pace.Ranks, 1)))
}

// modelled returns the time of a pass by the engine's model. It knows of a jump in demand at once, while the mean of
// measured passes follows within half a second; prompts that are read meanwhile are left out.
func (g PassGate) modelled(pace GroupPace) time.Duration {
	pass := g.Engine.Step*time.Duration(g.Engine.StepsPerPass) + g.perWriter(pace)*time.Duration(pace.Writers)
	if pace.Loading {
		pass = time.Duration(loadingSlowdown * float64(pass))
	}
	return pass
}

// Predict returns the time of a pass with the writers in place of the reported ones.
func (g PassGate) Predict(pace GroupPace, writers int) time.Duration {
	idle := g.Engine.Step * time.Duration(g.Engine.StepsPerPass)
	base := max(pace.Pass, g.modelled(pace))
	return max(idle, base+g.perWriter(pace)*time.Duration(writers-pace.Writers))
}

// Estimate returns the number of writers of a group: the reported ones and, as entries see like
// demand, this entry's change since the report for each of them.
func (g PassGate) Estimate(pace GroupPace, ownChange int) int {
	return max(pace.Writers+ownChange*max(pace.Entries, 1), 0)
}

// Admits reports whether one more stream keeps all streams of the group on time.
func (g PassGate) Admits(pace GroupPace, writers int) bool {
	if g.Gap <= 0 {
		return true
	}
	return g.Predict(pace, writers+1) <= time.Duration(passMargin*float64(g.Gap))
}

// RetryAfter returns when a refused caller may find room: the time in which as many streams end as
// there are too many, or wait before it.
func (g PassGate) RetryAfter(pace GroupPace, writers, ahead int) time.Duration {
	if writers <= 0 {
		return leastRetryAfter
	}
	pass := g.Predict(pace, writers)
	passes := float64(g.Engine.UsualAnswer) / float64(max(g.Engine.StepsPerPass, 1))
	life := float64(pass) * passes
	excess := 0
	if g.Gap > 0 {
		over := pass - time.Duration(passMargin*float64(g.Gap))
		if per := g.perWriter(pace); per > 0 && over > 0 {
			excess = int(over / per)
		}
	}
	wait := time.Duration(life / float64(writers) * float64(excess+ahead+1))
	return min(max(wait, leastRetryAfter), mostRetryAfter)
}
