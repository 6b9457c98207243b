package admission

import (
	"slices"
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// Constants of the pass gate.
const (
	// maxPassFraction is the part of the longest event gap of a stream that a predicted pass may take. The rest
	// covers the network (two zones, 4 ms), the scheduling delay of processes that have only a fifth of a core, and
	// prompts processed in between.
	maxPassFraction = 0.9
	// loadingSlowdown is the factor, stated by the platform, by which passes take longer while ranks load experts.
	loadingSlowdown = 1.15
	// maxReportAge is the age from which a group's report is too old to state its load. Leaders send a report about
	// every 200 ms, so that a report becomes too old only after about five later ones in a row are lost.
	maxReportAge = time.Second
	// minGroupRetryAfter and maxGroupRetryAfter bound the Retry-After of refused callers, who retry once. A retry
	// earlier than 0.7 s would usually be refused again: the expert map (the placement of experts on ranks) fits a new
	// demand only 0.5 to 0.7 s after a jump, and streams of 1 to 2 s have not ended. A retry later than 2 s would be
	// too late: callers wait for at most a quarter of the usual deadline of 8 s.
	minGroupRetryAfter = 700 * time.Millisecond
	maxGroupRetryAfter = 2 * time.Second
	// minStraggler is the slowness from which a rank counts as a straggler, which gets no new prompts as long as other
	// ranks have room. Measured times of equal ranks differ by up to a tenth.
	minStraggler = 1.15
)

// GroupPace is the load and speed of a model group as reported by its leader.
type GroupPace struct {
	// ReceivedAt is when the report was received.
	ReceivedAt time.Time
	// Writers is the number of running and queued requests at all ranks. A writer is a request that generates tokens;
	// the prediction treats queued requests like running ones.
	Writers int
	// CountedWriters is the number of writers as of now if all sends since the report are known; otherwise 0.
	CountedWriters int
	// Ranks is the number of ranks.
	Ranks int
	// Receiving is the number of ranks that get new requests; 0 for all.
	Receiving int
	// Pass is the mean duration of the latest passes; 0 for an idle group.
	Pass time.Duration
	// Skew is the expert load of the most loaded rank divided by the mean over the ranks.
	Skew float64
	// Slowness is the factor by which the work of each rank takes longer than usual, by rank; nil if all ranks are as fast
	// as usual. Skew includes it.
	Slowness []float64
	// RankWriters are the writers of each rank, by rank; nil if only their sum is known.
	RankWriters []int
	// Forecast is what the latest reports say about the next passes. The zero value expects passes like the current one.
	Forecast PassForecast
	// Loading is true while ranks load experts for the next map.
	Loading bool
	// Entries is the number of entries that send requests to the group.
	Entries int
}

// Fresh reports whether the report is recent enough to be used.
func (p GroupPace) Fresh(now time.Time) bool {
	return !p.ReceivedAt.IsZero() && now.Sub(p.ReceivedAt) < maxReportAge
}

// SlowestRank returns the greatest slowness of a rank; 1 if all are as fast as usual.
func (p GroupPace) SlowestRank() float64 {
	if len(p.Slowness) == 0 {
		return 1
	}
	return max(slices.Max(p.Slowness), 1)
}

// PassGate predicts the pass time of a lock-step group and admits a stream only if all streams stay on time. All ranks
// share one pass time, so that a single excess stream delays all the others. This occurs in a load spike beyond the
// group's capacity, and at usual load while the expert map does not fit the demand.
type PassGate struct {
	Engine *routing.EngineModel
	// MaxEventGap is the longest pause between two events of a stream that is on time; 0 if none is set.
	MaxEventGap time.Duration
}

// OwnPart returns the time per pass that a rank spends on its own part: its steps, the share of its writers' work that is
// not done by experts, and the prompt tokens that it processes, each longer by its slowness.
func (g PassGate) OwnPart(slowness, writers, promptTokens float64) time.Duration {
	e := g.Engine
	own := float64(e.Step)*float64(e.StepsPerPass) + writers*float64(e.PerWriter)*float64(e.StepsPerPass)*(1-e.Experts.Share)
	if e.PromptRate > 0 {
		own += min(promptTokens, float64(e.PromptChunk)) / e.PromptRate * float64(time.Second)
	}
	return time.Duration(max(slowness, 1) * own)
}

// expertPart returns the time per pass of the most loaded rank's experts.
func (g PassGate) expertPart(pace GroupPace, writers int, skew float64) time.Duration {
	perWriter := float64(g.Engine.PerWriter) * float64(g.Engine.StepsPerPass) * g.Engine.Experts.Share
	return time.Duration(perWriter * float64(writers) / float64(max(pace.Ranks, 1)) * max(skew, 1))
}

// fewStragglers reports whether less than half of the ranks are stragglers, so that the others can take their work.
func (p GroupPace) fewStragglers() bool {
	stragglers := 0
	for _, slowness := range p.Slowness {
		if slowness > minStraggler {
			stragglers++
		}
	}
	return 2*stragglers < p.Ranks
}

// slowestOwnPart returns the own part of the slowest rank. New writers are placed where they add least to it, so that a
// straggler keeps the writers that it has or loses them, and the other ranks share the rest evenly.
func (g PassGate) slowestOwnPart(pace GroupPace, writers int, promptTokens float64) time.Duration {
	if !pace.fewStragglers() {
		return g.OwnPart(pace.SlowestRank(), float64(writers)/float64(max(pace.Ranks, 1))+pace.crowding(writers), promptTokens)
	}
	// loadOf returns the writers that a straggler has left of those it had, as part of the given total.
	loadOf := func(rank int) float64 {
		load := float64(pace.Writers) / float64(max(pace.Ranks, 1))
		if rank < len(pace.RankWriters) {
			load = float64(pace.RankWriters[rank])
		}
		return load * min(float64(writers)/float64(max(pace.Writers, 1)), 1)
	}
	others, left := pace.Ranks, float64(writers)
	slowest := time.Duration(0)
	for rank, slowness := range pace.Slowness {
		if slowness <= minStraggler {
			continue
		}
		load := loadOf(rank)
		others--
		left -= load
		slowest = max(slowest, g.OwnPart(slowness, load, 0))
	}
	return max(slowest, g.OwnPart(1, max(left, 0)/float64(max(others, 1))+pace.crowding(writers), promptTokens))
}

// passTimePerWriter returns the mean time that one more writer adds to a pass.
func (g PassGate) passTimePerWriter(pace GroupPace) time.Duration {
	const sample = 16
	writers := pace.Writers
	return (g.modelledPass(pace, writers+sample) - g.modelledPass(pace, writers)) / sample
}

// crowding returns by how many writers more than the mean a rank that gets new ones has with a total number of writers: those
// that run stay where they are, and only some ranks get further ones.
func (p GroupPace) crowding(writers int) float64 {
	further := float64(max(writers-p.Writers, 0))
	return further/float64(p.receiving()) - further/float64(max(p.Ranks, 1))
}

// receiving returns the number of ranks that get new requests.
func (p GroupPace) receiving() int {
	if p.Receiving <= 0 {
		return max(p.Ranks, 1)
	}
	return p.Receiving
}

// modelledPass returns the duration of a pass by the engine's model. It follows a jump in demand at once, while the mean
// of measured passes takes half a second. It does not count prompts that are processed at the same time, which
// maxPassFraction covers.
func (g PassGate) modelledPass(pace GroupPace, writers int) time.Duration {
	pass := g.slowestOwnPart(pace, writers, 0) + g.expertPart(pace, writers, pace.Skew)
	if pace.Loading {
		pass = time.Duration(loadingSlowdown * float64(pass))
	}
	return pass
}

// ArrivalRate returns the estimated number of streams that the group gets per second, which in steady state is the number
// that end.
func (g PassGate) ArrivalRate(pace GroupPace) float64 {
	pass := max(pace.Pass, g.Engine.Step*time.Duration(g.Engine.StepsPerPass))
	passes := float64(g.Engine.MeanAnswerTokens) / float64(max(g.Engine.StepsPerPass, 1))
	if pass <= 0 || passes <= 0 {
		return 0
	}
	return float64(pace.Writers) / (passes * pass.Seconds())
}

// Capacity returns the number of streams per second that the group completes on time, or late while it serves late. It is
// that of the current map: the peaks of skew count as far as streams are refused for them, not while they last.
func (g PassGate) Capacity(pace GroupPace) float64 {
	if g.MaxEventGap <= 0 {
		return 0
	}
	if pace.Forecast.CalmSkew > 0 {
		pace.Skew = min(pace.Skew, pace.Forecast.CalmSkew)
		pace.Loading, pace.Pass = false, 0
	}
	writers := g.writersWithin(pace, g.currentBound())
	if pace.Forecast.Late {
		writers = g.slots(pace)
	} else if limit, ok := g.PeakLimit(pace, g.throughput(pace, g.slots(pace))); ok {
		writers = min(writers, limit.Mean)
	}
	return g.throughput(pace, writers)
}

// slots returns the number of requests that the ranks that get new ones run at a time.
func (g PassGate) slots(pace GroupPace) int {
	return g.Engine.Slots * pace.receiving()
}

// currentBound returns the longest predicted pass at the current skew.
func (g PassGate) currentBound() time.Duration {
	return time.Duration(maxPassFraction * float64(g.MaxEventGap))
}

// writersWithin returns the greatest number of writers whose predicted pass is within the bound; at most all slots.
func (g PassGate) writersWithin(pace GroupPace, bound time.Duration) int {
	return sort.Search(g.slots(pace), func(writers int) bool { return g.PredictPass(pace, writers+1) > bound })
}

// PredictPass returns the duration of a pass with the given number of writers instead of the reported one.
func (g PassGate) PredictPass(pace GroupPace, writers int) time.Duration {
	idle := g.Engine.Step * time.Duration(g.Engine.StepsPerPass)
	modelled := g.modelledPass(pace, pace.Writers)
	return max(idle, max(pace.Pass, modelled)+g.modelledPass(pace, writers)-modelled)
}

// EstimateWriters returns the number of writers of a group: the reported number plus the change since the report. It
// estimates the change as that of this entry (ownChange) times the number of entries, because entries have similar
// demand.
func (g PassGate) EstimateWriters(pace GroupPace, ownChange int) int {
	return max(pace.Writers+ownChange*max(pace.Entries, 1), 0)
}

// Admits reports whether one more stream keeps all streams of the group on time.
func (g PassGate) Admits(pace GroupPace, writers int) bool {
	if g.MaxEventGap <= 0 {
		return true
	}
	return g.PredictPass(pace, writers+1) <= g.currentBound()
}

// RetryAfter returns the time after which a refused caller may be accepted: the time until enough streams have ended at
// the group. These are the streams in excess of what keeps all on time, one for each caller that is queued before this
// one (ahead), and one for this caller.
func (g PassGate) RetryAfter(pace GroupPace, writers, ahead int) time.Duration {
	if writers <= 0 {
		return minGroupRetryAfter
	}
	pass := g.PredictPass(pace, writers)
	passes := float64(g.Engine.MeanAnswerTokens) / float64(max(g.Engine.StepsPerPass, 1))
	streamTime := float64(pass) * passes
	excess := 0
	if g.MaxEventGap > 0 {
		over := pass - g.currentBound()
		if perWriter := g.passTimePerWriter(pace); perWriter > 0 && over > 0 {
			excess = int(over / perWriter)
		}
	}
	wait := time.Duration(streamTime / float64(writers) * float64(excess+ahead+1))
	return min(max(wait, minGroupRetryAfter), maxGroupRetryAfter)
}
