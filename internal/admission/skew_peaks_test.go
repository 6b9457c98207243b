package admission_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/admission"
)

// recordPeaks records reports each 150 ms; peaks last 600 ms and begin at the given times.
func recordPeaks(peaks *admission.SkewPeaks, from, to int, skew float64, starts ...int) {
	for ms := from; ms < to; ms += 150 {
		now := 1.3
		for _, start := range starts {
			if ms >= start && ms < start+600 {
				now = skew
			}
		}
		peaks.Record(passAt(ms), now)
	}
}

// After regular jumps the next peak is expected at its time, and none before, so that streams which end before it are
// admitted.
func TestPeaksAreExpectedAtTheirInterval(t *testing.T) {
	c := qt.New(t)
	var peaks admission.SkewPeaks
	recordPeaks(&peaks, 0, 9000, 2.5, 1050, 3750, 6450)
	forecast := peaks.Forecast(passAt(7500), 200*time.Millisecond)
	c.Assert(forecast.Peaks, qt.HasLen, 3)
	c.Assert(forecast.Interval, qt.Equals, 2700*time.Millisecond)
	c.Assert(forecast.NextPeak, qt.Equals, 1450*time.Millisecond)
	c.Assert(forecast.PeakLasts, qt.Equals, 600*time.Millisecond)
	c.Assert(forecast.InPeak, qt.IsFalse)
	// The next one is late: it may begin at any time.
	c.Assert(peaks.Forecast(passAt(9600), 200*time.Millisecond).NextPeak, qt.Equals, time.Duration(0))
}

// The first map after a jump leaves a part of the skew until later maps remove it, 1.5 s after the jump: a detector that waits
// for the calm skew would take the peak for the usual skew and never expect another.
func TestPeakEndsWithTheFirstMap(t *testing.T) {
	c := qt.New(t)
	var peaks admission.SkewPeaks
	for ms := 0; ms < 9000; ms += 150 {
		switch since := ms % 3000; {
		case since >= 600 && since < 1200:
			peaks.Record(passAt(ms), 2.6)
		case since >= 1200 && since < 2700:
			peaks.Record(passAt(ms), 1.65)
		default:
			peaks.Record(passAt(ms), 1.3)
		}
	}
	forecast := peaks.Forecast(passAt(9000), 0)
	c.Assert(forecast.Peaks, qt.DeepEquals, []float64{2.6, 2.6, 2.6})
	c.Assert(forecast.PeakLasts, qt.Equals, 600*time.Millisecond)
}

// Irregular jumps may come at any time. A forecast that waits for their mean interval would fill all slots before an early
// one.
func TestIrregularPeaksMayBeginAnyTime(t *testing.T) {
	var peaks admission.SkewPeaks
	recordPeaks(&peaks, 0, 12_000, 2.5, 1050, 2250, 6450, 7650, 11_250)
	qt.Assert(t, peaks.Forecast(passAt(12_000), 200*time.Millisecond).NextPeak, qt.Equals, time.Duration(0))
}

// When jumps stop, no stream may be refused for them any longer; a group whose map never fits again has a high skew, and no
// peak; a single jump is no series.
func TestPeaksThatStopAreForgotten(t *testing.T) {
	c := qt.New(t)
	var peaks admission.SkewPeaks
	recordPeaks(&peaks, 0, 12_000, 2.5, 1050, 3750, 6450)
	c.Assert(peaks.Forecast(passAt(12_000), 0).Peaks, qt.HasLen, 3)
	recordPeaks(&peaks, 12_000, 13_500, 2.5)
	c.Assert(peaks.Forecast(passAt(13_500), 0).Peaks, qt.HasLen, 0)

	peaks = admission.SkewPeaks{}
	recordPeaks(&peaks, 0, 3000, 2.5, 1050)
	c.Assert(peaks.Forecast(passAt(3000), 0).Peaks, qt.HasLen, 0)

	peaks = admission.SkewPeaks{}
	recordPeaks(&peaks, 0, 1500, 2.5)
	for ms := 1500; ms < 12_000; ms += 150 {
		peaks.Record(passAt(ms), 2.5)
	}
	forecast := peaks.Forecast(passAt(12_000), 0)
	c.Assert(forecast.Peaks, qt.HasLen, 0)
	c.Assert(forecast.CalmSkew, qt.Equals, 2.5)
}

// peakForecast is the forecast of a group with regular peaks.
func peakForecast(next time.Duration, skews ...float64) admission.PassForecast {
	return admission.PassForecast{
		Peaks: skews, CalmSkew: 1.3, NextPeak: next, PeakLasts: 600 * time.Millisecond, Interval: 2700 * time.Millisecond,
	}
}

// Under a demand that fills the slots, the writers at the next peak must be few enough; under a small demand nothing may
// be refused; where high peaks come so often that hardly any stream is on time, refusing gains nothing.
func TestPeakLimitRefusesOnlyWhereItGains(t *testing.T) {
	c := qt.New(t)
	pace := admission.GroupPace{Ranks: 32, Writers: 200, Skew: 1.3, Forecast: peakForecast(0, 2.5, 3.3, 3.3)}
	limit, limited := passGate.PeakLimit(pace, 180)
	c.Assert(limited, qt.IsTrue)
	c.Assert(limit.Now, qt.Equals, limit.Peak)
	c.Assert(limit.Pass <= 117*time.Millisecond, qt.IsTrue, qt.Commentf("%v", limit.Pass))
	_, limited = passGate.PeakLimit(pace, 60)
	c.Assert(limited, qt.IsFalse)
	pace.Forecast = peakForecast(0, 12, 12, 12)
	pace.Forecast.Interval = 700 * time.Millisecond
	_, limited = passGate.PeakLimit(pace, 180)
	c.Assert(limited, qt.IsFalse)
}

// Streams that end before the next peak don't lengthen its passes, so that slots must not stay idle between peaks.
func TestPeakLimitFallsTowardThePeak(t *testing.T) {
	c := qt.New(t)
	last := 0
	for _, next := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		pace := admission.GroupPace{Ranks: 32, Writers: 200, Skew: 1.3, Forecast: peakForecast(next, 3.3, 3.3, 3.3)}
		limit, _ := passGate.PeakLimit(pace, 200)
		c.Assert(limit.Now > last, qt.IsTrue)
		last = limit.Now
	}
	c.Assert(last, qt.Equals, 320)
}

// A group that reports nothing for seconds during a peak, or a skew that is not a number, must not spoil the forecast.
func TestGapsAndInvalidSkewsAreNoPeaks(t *testing.T) {
	c := qt.New(t)
	var peaks admission.SkewPeaks
	at := 0
	for range 4 {
		for ms := 0; ms < 2670; ms += 150 {
			skew := 1.3
			if ms < 600 {
				skew = 3
			}
			peaks.Record(passAt(at+ms), skew)
		}
		at += 2670
	}
	before := peaks.Forecast(passAt(at), 0).PeakLasts
	c.Assert(before > 0, qt.IsTrue)
	peaks.Record(passAt(at), 3)
	at += 5000
	peaks.Record(passAt(at), 1.3)
	c.Assert(peaks.Forecast(passAt(at), 0).PeakLasts <= before, qt.IsTrue)
	peaks.Record(passAt(at+150), math.NaN())
	peaks.Record(passAt(at+300), math.Inf(1))
	c.Assert(peaks.Forecast(passAt(at+300), 0).CalmSkew < 1.5, qt.IsTrue)
}
