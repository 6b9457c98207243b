package admission

import (
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
)

// GroupPace is the load and speed of a model group as reported by its leader.
type GroupPace struct {
	// ReceivedAt is when the report was received.
	ReceivedAt time.Time
	// Writers is the number of running and queued requests at all ranks. A writer is a request that generates tokens;
	// the prediction treats queued requests like running ones.
	Writers int
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
	// Loading is true while ranks load experts for the next map.
	Loading bool
	// Entries is the number of entries that send requests to the group.
	Entries int
}

// Fresh reports whether the report is recent enough to be used.
func (p GroupPace) Fresh(now time.Time) bool {
	return !p.ReceivedAt.IsZero() && now.Sub(p.ReceivedAt) < maxReportAge
}

// PassGate predicts the pass time of a lock-step group and admits a stream only if all streams stay on time. All ranks
// share one pass time, so that a single excess stream delays all the others. This occurs in a load spike beyond the
// group's capacity, and at usual load while the expert map does not fit the demand.
type PassGate struct {
	Engine *routing.EngineModel
	// MaxEventGap is the longest pause between two events of a stream that is on time; 0 if none is set.
	MaxEventGap time.Duration
}

// passTimePerWriter returns the mean time that one more writer adds to a pass if the writers are spread evenly over the
// ranks.
func (g PassGate) passTimePerWriter(pace GroupPace) time.Duration {
	skew := max(pace.Skew, 1)
	share := g.Engine.Experts.Share
	factor := (1 - share) + share*skew
	perPass := float64(g.Engine.PerWriter) * float64(g.Engine.StepsPerPass) * factor
	return time.Duration(perPass / float64(max(pace.Ranks, 1)))
}

// receiving returns the number of ranks that get new requests.
func (p GroupPace) receiving() int {
	if p.Receiving <= 0 {
		return max(p.Ranks, 1)
	}
	return p.Receiving
}

// passTimePerNewWriter is passTimePerWriter for writers at the ranks that get new requests. The work of experts is spread over
// all ranks all the same.
func (g PassGate) passTimePerNewWriter(pace GroupPace) time.Duration {
	own := (1 - g.Engine.Experts.Share) * float64(g.Engine.PerWriter) * float64(g.Engine.StepsPerPass)
	ranks := float64(max(pace.Ranks, 1))
	return g.passTimePerWriter(pace) + time.Duration(own/ranks*(ranks/float64(pace.receiving())-1))
}

// modelledPass returns the duration of a pass by the engine's model. It follows a jump in demand at once, while the mean
// of measured passes takes half a second. It does not count prompts that are processed at the same time.
func (g PassGate) modelledPass(pace GroupPace) time.Duration {
	pass := g.Engine.Step*time.Duration(g.Engine.StepsPerPass) + g.passTimePerWriter(pace)*time.Duration(pace.Writers)
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

// Capacity returns the number of streams per second that the group completes while all are on time.
func (g PassGate) Capacity(pace GroupPace) float64 {
	passes := float64(g.Engine.MeanAnswerTokens) / float64(max(g.Engine.StepsPerPass, 1))
	longest := time.Duration(maxPassFraction * float64(g.MaxEventGap))
	perWriter := g.passTimePerNewWriter(pace)
	if passes <= 0 || longest <= 0 || perWriter <= 0 {
		return 0
	}
	idle := g.PredictPass(pace, 0)
	writers := min(float64(max(longest-idle, 0))/float64(perWriter), float64(g.Engine.Slots*pace.receiving()))
	return writers / (passes * g.PredictPass(pace, int(writers)).Seconds())
}

// PredictPass returns the duration of a pass with the given number of writers instead of the reported one.
func (g PassGate) PredictPass(pace GroupPace, writers int) time.Duration {
	idle := g.Engine.Step * time.Duration(g.Engine.StepsPerPass)
	base := max(pace.Pass, g.modelledPass(pace))
	perWriter := g.passTimePerWriter(pace)
	if writers > pace.Writers {
		perWriter = g.passTimePerNewWriter(pace)
	}
	return max(idle, base+perWriter*time.Duration(writers-pace.Writers))
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
	return g.PredictPass(pace, writers+1) <= time.Duration(maxPassFraction*float64(g.MaxEventGap))
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
		over := pass - time.Duration(maxPassFraction*float64(g.MaxEventGap))
		if perWriter := g.passTimePerWriter(pace); perWriter > 0 && over > 0 {
			excess = int(over / perWriter)
		}
	}
	wait := time.Duration(streamTime / float64(writers) * float64(excess+ahead+1))
	return min(max(wait, minGroupRetryAfter), maxGroupRetryAfter)
}
