package admission

import "time"

// Constants of the measured prediction error.
const (
	// errorWindow is the time over which the longest measured and the longest predicted pass are compared. Reports of
	// skew and of passes lag by different times, so that single reports do not belong together.
	errorWindow = 1500 * time.Millisecond
	// errorWeight is the weight of a new window in the mean.
	errorWeight = 0.25
	// fallingErrorWeight replaces errorWeight for a window with a smaller error. A margin that stays after a straggler or a
	// held group has ended refuses streams without need.
	fallingErrorWeight = 0.5
	// maxPassMargin bounds the margin. What exceeds the prediction by more is no error of the model, but a straggler or
	// a held group, for which refusing streams does not help.
	maxPassMargin = 0.2
)

// PassError measures by how much passes exceed the prediction. Load pattern: long contexts, prompts in the same passes
// and uneven ranks lengthen the passes of a group over seconds by some percent that the model does not know.
type PassError struct {
	windowStart         time.Time
	measured, predicted time.Duration
	mean, deviation     float64
}

// Record records the mean duration of the latest passes and what was predicted for the reported load.
func (e *PassError) Record(now time.Time, measured, predicted time.Duration) {
	if now.Sub(e.windowStart) > errorWindow {
		if e.measured > 0 && e.predicted > 0 {
			// A single held pass must not count for many windows.
			excess := min(max(float64(e.measured)/float64(e.predicted)-1, -maxPassMargin), maxPassMargin)
			weight := errorWeight
			if excess < e.mean {
				weight = fallingErrorWeight
			}
			e.deviation += weight * (max(excess-e.mean, e.mean-excess) - e.deviation)
			e.mean += weight * (excess - e.mean)
		}
		e.windowStart, e.measured, e.predicted = now, 0, 0
	}
	e.measured, e.predicted = max(e.measured, measured), max(e.predicted, predicted)
}

// Margin returns the part of the predicted pass by which a pass may exceed it.
func (e *PassError) Margin() float64 {
	return min(max(e.mean+e.deviation, 0), maxPassMargin)
}
