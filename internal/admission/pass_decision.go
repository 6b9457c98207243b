package admission

import "time"

// PassMode says by which rule a group admits streams.
type PassMode string

// The modes of admission to a group.
const (
	// ModeOnTime keeps the predicted pass at the current skew within the bound.
	ModeOnTime PassMode = "on-time"
	// ModePeak also limits writers so that pauses stay on time through the next peak of skew.
	ModePeak PassMode = "peak"
	// ModeLate admits what completes by its deadline (LateMode).
	ModeLate PassMode = "late"
)

// PassDecision is the decision on one more stream at a group.
type PassDecision struct {
	Admitted bool
	Mode     PassMode
	// Pass is the predicted pass with one more stream, PeakPass that of the highest expected peak; 0 without peaks.
	Pass, PeakPass time.Duration
	// Limit is the number of writers at which admission ends; 0 for none.
	Limit int
	// RoomIn is the time until the pass is expected to have room again because a peak ends; 0 if that is unknown.
	RoomIn time.Duration
}

// Decide decides on one more stream at a group with the given estimated number of writers. Demand is in streams per
// second.
func (g PassGate) Decide(pace GroupPace, writers int, demand float64) PassDecision {
	decision := PassDecision{Mode: ModeOnTime, Pass: g.PredictPass(pace, writers+1)}
	if pace.Forecast.Late {
		decision.Mode, decision.Admitted = ModeLate, true
		return decision
	}
	decision.Admitted = g.Admits(pace, writers)
	limit, limited := g.PeakLimit(pace, demand)
	if len(pace.Forecast.Peaks) == 0 || g.MaxEventGap <= 0 {
		return decision
	}
	decision.Mode, decision.PeakPass = ModePeak, limit.Pass
	if pace.Forecast.InPeak && !decision.Admitted {
		decision.RoomIn = pace.Forecast.PeakLeft
		// The running streams are late already, and the prompt is processed during the rest of the peak.
		late := g.PredictPass(pace, writers) > g.MaxEventGap
		decision.Admitted = late && g.calmPass(pace, writers+1) <= g.currentBound()
	}
	if limited {
		decision.Limit = limit.Now
		// The estimate multiplies the change at one entry by the number of entries. With 18 entries it scatters by a tenth of
		// the writers, which would refuse streams far below the limit.
		if pace.CountedWriters > 0 {
			writers = min(writers, pace.CountedWriters)
		}
		decision.Admitted = decision.Admitted && writers < limit.Now
	}
	return decision
}

// Elapsed returns the forecast as of some time later.
func (f PassForecast) Elapsed(elapsed time.Duration) PassForecast {
	f.NextPeak, f.PeakLeft = max(f.NextPeak-elapsed, 0), max(f.PeakLeft-elapsed, 0)
	return f
}

// AddedOwnPart returns by how much one more stream at a rank lengthens the mean pass of its life, beyond the given
// slowest own part of all ranks. Load pattern: a straggler at a load equal to that of the others determines all passes.
func (g PassGate) AddedOwnPart(slowest time.Duration, slowness, writers float64) time.Duration {
	decoding := g.OwnPart(slowness, writers+1, 0)
	withPrompt := g.OwnPart(slowness, writers+1, float64(g.Engine.PromptChunk))
	prompts := float64(g.Engine.MeanPromptTokens) / float64(max(g.Engine.PromptChunk, 1))
	passes := prompts + float64(g.Engine.MeanAnswerTokens)/float64(max(g.Engine.StepsPerPass, 1))
	if passes <= 0 {
		return max(withPrompt-slowest, 0)
	}
	added := float64(max(withPrompt-slowest, 0))*prompts + float64(max(decoding-slowest, 0))*(passes-prompts)
	return time.Duration(added / passes)
}

// WorthAdding reports whether one more stream at a rank with the given slowness serves more than it costs: added to each
// pass of all writers, it must not delay them by more than the work of one stream.
func (g PassGate) WorthAdding(pace GroupPace, slowness float64, added, pass time.Duration, writers int) bool {
	return slowness <= minStraggler || !pace.fewStragglers() || added*time.Duration(writers) <= pass
}
