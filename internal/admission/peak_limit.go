package admission

import (
	"sort"
	"time"
)

// Constants of the limit on writers before skew peaks.
const (
	// peakPassFraction is the part of the longest event gap that a pass of a peak may take. The prediction of a peak
	// counts prompts and measured errors, so that only the network and the scheduling of processes remain.
	peakPassFraction = 0.97
	// lateValue is the value of a late stream, relative to one on time: 0.3 to 0.5.
	lateValue = 0.4
	// minGain is the gain of value from which streams are refused: the demand and the height of the next peak are
	// estimates, and each refusal is certain.
	minGain = 1.03
)

// WriterLimit is the greatest number of writers that a group should have.
type WriterLimit struct {
	// Now is the limit at present, Peak the one at the start of the next peak, Mean the mean over the time between two.
	Now, Peak, Mean int
	// Pass is the predicted pass of the highest peak with Peak writers.
	Pass time.Duration
}

// peakPass returns the predicted duration of a pass during a peak.
func (g PassGate) peakPass(pace GroupPace, writers int, skew float64) time.Duration {
	prompt := float64(g.Engine.PromptChunk)
	pass := float64(g.slowestOwnPart(pace, writers, prompt)+g.expertPart(pace, writers, skew)) * loadingSlowdown
	return time.Duration(pass * (1 + pace.Forecast.Margin))
}

// ModelledPass returns the predicted duration of a pass with the reported load and prompts in all passes, to be compared
// with measured passes.
func (g PassGate) ModelledPass(pace GroupPace) time.Duration {
	pass := g.slowestOwnPart(pace, pace.Writers, float64(g.Engine.PromptChunk)) + g.expertPart(pace, pace.Writers, pace.Skew)
	if pace.Loading {
		pass = time.Duration(loadingSlowdown * float64(pass))
	}
	return pass
}

// calmPass returns the predicted duration of a pass between two peaks.
func (g PassGate) calmPass(pace GroupPace, writers int) time.Duration {
	own := g.slowestOwnPart(pace, writers, float64(g.Engine.PromptChunk))
	return time.Duration(float64(own+g.expertPart(pace, writers, pace.Forecast.CalmSkew)) * (1 + pace.Forecast.Margin))
}

// StreamTime returns how long a stream of mean length takes with the given pass time.
func (g PassGate) StreamTime(pass time.Duration) time.Duration {
	tokens := float64(g.Engine.MeanAnswerTokens) / float64(max(g.Engine.StepsPerPass, 1))
	prompts := float64(g.Engine.MeanPromptTokens) / float64(max(g.Engine.PromptChunk, 1))
	return time.Duration(float64(pass) * (tokens + prompts))
}

// PeakLimit returns the number of writers with which the streams of a group have the most value, if skew peaks are
// expected and refusing streams gains value. Load pattern: see SkewPeaks. Streams that end before the next peak do not
// lengthen its passes; therefore the limit falls from all slots to that of the peak over the life of a stream. Demand is
// in streams per second.
func (g PassGate) PeakLimit(pace GroupPace, demand float64) (WriterLimit, bool) {
	forecast := &pace.Forecast
	if len(forecast.Peaks) == 0 || g.MaxEventGap <= 0 {
		return WriterLimit{}, false
	}
	slots := g.slots(pace)
	bound := time.Duration(peakPassFraction * float64(g.MaxEventGap))
	best, bestValue := WriterLimit{}, 0.0
	// The highest limits come first, so that equal value is served with the fewest refusals.
	for i := -1; i < len(forecast.Peaks); i++ {
		peak := slots
		if i >= 0 {
			peak = sort.Search(slots, func(writers int) bool { return g.peakPass(pace, writers+1, forecast.Peaks[i]) > bound })
		}
		limit := g.rampedLimit(pace, peak)
		value := g.valueOfLimit(pace, limit, demand, bound)
		if i < 0 || value > bestValue*minGain {
			best, bestValue = limit, value
		}
	}
	best.Pass = g.peakPass(pace, best.Peak, forecast.Peaks[len(forecast.Peaks)-1])
	return best, best.Peak < slots
}

// rampedLimit returns the limits of a group that should have a number of writers at the start of the next peak.
func (g PassGate) rampedLimit(pace GroupPace, peak int) WriterLimit {
	slots := g.slots(pace)
	life := g.StreamTime(g.calmPass(pace, peak)).Seconds()
	calm := max(pace.Forecast.Interval-pace.Forecast.PeakLasts, 0).Seconds()
	mean := calm / (2 * life)
	if calm > life {
		mean = 1 - life/(2*calm)
	}
	now := min(pace.Forecast.NextPeak.Seconds()/life, 1)
	if pace.Forecast.InPeak && pace.Forecast.PeakLeft <= g.Engine.PromptTime(g.Engine.PromptChunk, g.calmPass(pace, peak)) {
		// The peak has ended when the prompt of a stream that is admitted now is processed.
		now = 1
	}
	room := float64(slots - peak)
	return WriterLimit{Now: peak + int(now*room), Peak: peak, Mean: peak + int(mean*room)}
}

// valueOfLimit returns the value per second of the streams that are served with a limit.
func (g PassGate) valueOfLimit(pace GroupPace, limit WriterLimit, demand float64, bound time.Duration) float64 {
	life := g.StreamTime(g.calmPass(pace, limit.Mean))
	if life <= 0 {
		return 0
	}
	served := min(demand, float64(limit.Mean)/life.Seconds())
	writers := min(limit.Peak, int(served*life.Seconds()))
	high := 0
	for _, skew := range pace.Forecast.Peaks {
		if g.peakPass(pace, writers, skew) > bound {
			high++
		}
	}
	seen := min(float64(life+pace.Forecast.PeakLasts)/float64(max(pace.Forecast.Interval, 1)), 1)
	late := seen * float64(high) / float64(len(pace.Forecast.Peaks))
	return served * (1 - late*(1-lateValue))
}
