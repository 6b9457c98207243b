package admission

import (
	"math"
	"slices"
	"time"
)

// Constants of the detection of skew peaks.
const (
	// peakStart and peakEnd are the skews, relative to that between peaks, at which a peak begins and ends. Maps that fit
	// reach 1.1 to 1.4; jumps raise it to 2.5 and more. Sampling noise stays below a fifth.
	peakStart = 1.35
	peakEnd   = 1.15
	// peakFall is the part of a peak's height below which it has ended. The first map after a jump leaves a part of the
	// skew, which later maps remove.
	peakFall = 0.35
	// maxPeakTime is the time after which a high skew is no peak but the usual skew of a map that does not fit. Maps are in
	// force about 0.63 s after a jump; a lost plan costs as much again.
	maxPeakTime = 1500 * time.Millisecond
	// keptPeaks is the number of peaks that the forecast uses, 27 to 35 s of jumps. With six, the higher ones of a half of
	// the jumps were forgotten at times.
	keptPeaks = 10
	// minPeaks is the number of peaks from which more are expected.
	minPeaks = 2
	// maxPeakInterval is the longest interval between jumps that are expected to continue. With longer ones most streams
	// see no jump.
	maxPeakInterval = 8 * time.Second
	// peaksMissed is the number of intervals without a jump after which no more are expected.
	peaksMissed = 2.5
	// calmWeight is the weight of a new report in the skew between peaks.
	calmWeight = 0.3
)

// PassForecast is what the latest reports of a group say about its next passes.
type PassForecast struct {
	// Peaks are the highest skews of the recent peaks, in ascending order; empty if no peaks are expected.
	Peaks []float64
	// CalmSkew is the skew between peaks.
	CalmSkew float64
	// NextPeak is the least time until the next peak; 0 during a peak, and if one may begin at any time.
	NextPeak time.Duration
	// InPeak is true during a peak. PeakLeft is the time until its expected end.
	InPeak   bool
	PeakLeft time.Duration
	// PeakLasts is the mean duration of a peak, Interval the mean time from the start of one to that of the next.
	PeakLasts, Interval time.Duration
	// Margin is the part by which measured passes exceed predicted ones.
	Margin float64
	// Late is true while the group serves streams that may be late (LateMode).
	Late bool
}

// SkewPeaks predicts the peaks of a group's skew from those after the latest jumps of its demand. Load pattern: demand
// jumps each 2.7 to 3.5 s to other experts; skew rises from about 1.3 to 2.5 or 3.3 until the next map is in force, 0.6 s
// later. Streams last 1.6 to 2 s, so that most of them see a jump, and what is admitted between two peaks decides how long
// the passes of the next peak are.
type SkewPeaks struct {
	calm    float64
	started time.Time
	inPeak  bool
	highest float64
	peaks   []skewPeak
}

type skewPeak struct {
	start, end time.Time
	skew       float64
}

// Record records the skew of a report.
func (s *SkewPeaks) Record(now time.Time, skew float64) {
	if math.IsNaN(skew) || math.IsInf(skew, 0) {
		return
	}
	skew = max(skew, 1)
	switch {
	case s.calm == 0:
		s.calm = skew
	case !s.inPeak && skew > peakStart*s.calm:
		s.inPeak, s.started, s.highest = true, now, skew
	case s.inPeak && now.Sub(s.started) > maxPeakTime:
		s.inPeak, s.calm = false, skew
	case s.inPeak && skew < max(peakEnd*s.calm, s.calm+peakFall*(s.highest-s.calm)):
		s.inPeak = false
		s.peaks = append(s.peaks, skewPeak{start: s.started, end: now, skew: s.highest})
		s.peaks = s.peaks[max(len(s.peaks)-keptPeaks, 0):]
	case s.inPeak:
		s.highest = max(s.highest, skew)
	case skew < s.calm:
		s.calm += (skew - s.calm) / 2
	default:
		s.calm += calmWeight * (skew - s.calm)
	}
	s.forget(now)
}

// forget removes the peaks once jumps have stopped.
func (s *SkewPeaks) forget(now time.Time) {
	if len(s.peaks) == 0 || s.inPeak {
		return
	}
	since := now.Sub(s.peaks[len(s.peaks)-1].start)
	interval, _ := s.intervals()
	if since > maxPeakInterval || len(s.peaks) >= minPeaks && since > time.Duration(peaksMissed*float64(interval)) {
		s.peaks = nil
	}
}

// starts returns the starts of the peaks, with that of the current one.
func (s *SkewPeaks) starts() []time.Time {
	var starts []time.Time
	for _, peak := range s.peaks {
		starts = append(starts, peak.start)
	}
	if s.inPeak {
		starts = append(starts, s.started)
	}
	return starts
}

// intervals returns the mean time between the starts of peaks and its mean deviation.
func (s *SkewPeaks) intervals() (mean, deviation time.Duration) {
	starts := s.starts()
	n := time.Duration(len(starts) - 1)
	if n < 1 {
		return 0, 0
	}
	mean = starts[n].Sub(starts[0]) / n
	for i := range n {
		deviation += (starts[i+1].Sub(starts[i]) - mean).Abs() / n
	}
	return mean, deviation
}

// Forecast returns what is expected of the next passes. The lag is the time by which reports of skew are behind.
func (s *SkewPeaks) Forecast(now time.Time, lag time.Duration) PassForecast {
	forecast := PassForecast{CalmSkew: s.calm}
	interval, deviation := s.intervals()
	if len(s.peaks) < minPeaks || interval > maxPeakInterval {
		return forecast
	}
	forecast.InPeak, forecast.Interval = s.inPeak, interval
	for _, peak := range s.peaks {
		forecast.Peaks = append(forecast.Peaks, peak.skew)
		forecast.PeakLasts += peak.end.Sub(peak.start) / time.Duration(len(s.peaks))
	}
	slices.Sort(forecast.Peaks)
	if s.inPeak {
		forecast.PeakLeft = max(s.started.Add(forecast.PeakLasts-lag).Sub(now), 0)
		return forecast
	}
	last := s.peaks[len(s.peaks)-1].start
	// The jump was before it was reported. Intervals that scatter give no time at which the next peak is sure not to begin.
	earliest := interval - 2*deviation - lag
	forecast.NextPeak = max(last.Add(earliest).Sub(now), 0)
	return forecast
}
