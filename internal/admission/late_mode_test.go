package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/admission"
)

// A straggler at four times its work exceeds the bound by itself: all streams are late whatever is refused.
func TestStragglerBeyondTheBoundIsServedLate(t *testing.T) {
	c := qt.New(t)
	var mode admission.LateMode
	slow, even := withSlowRank(32, 5, 4), withSlowRank(32, 5, 1)
	c.Assert(mode.Update(passAt(0), passGate.LateInputs(slow, 50)), qt.IsTrue)
	c.Assert(mode.Update(passAt(1000), passGate.LateInputs(even, 50)), qt.IsTrue)
	left := 0
	for ms := 1000; mode.Update(passAt(ms), passGate.LateInputs(even, 50)); ms += 20 {
		left = ms
	}
	c.Assert(left < 1500, qt.IsTrue, qt.Commentf("left after %d ms", left-1000))
}

// A straggler that recovers and falls back each few reports must not switch the mode each time.
func TestFlappingStragglerDoesNotFlapTheMode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var mode admission.LateMode
		changes, late := 0, false
		slow := passGate.LateInputs(withSlowRank(32, 5, 4), 50)
		even := passGate.LateInputs(withSlowRank(32, 5, 1), 50)
		now, isSlow := 0, true
		for now < 20_000 {
			lasts := rapid.IntRange(20, 440).Draw(t, "lasts")
			for end := now + lasts; now < end; now += 20 {
				inputs := even
				if isSlow {
					inputs = slow
				}
				if mode.Update(passAt(now), inputs) != late {
					late = !late
					changes++
				}
			}
			isSlow = !isSlow
		}
		if changes > 1 {
			t.Fatalf("%d changes", changes)
		}
	})
}

// A straggler at three times its work leaves little of the bound: if keeping it serves less than 0.4 of what could be served
// late, refusing costs more than it saves. A short rise, as at a jump, is no reason.
func TestBoundThatRefusesMostIsGivenUp(t *testing.T) {
	c := qt.New(t)
	var mode admission.LateMode
	pace := withSlowRank(32, 2, 3)
	inputs := passGate.LateInputs(pace, 200)
	c.Assert(inputs.OnTime < 0.4*inputs.Late, qt.IsTrue, qt.Commentf("%+v", inputs))
	c.Assert(mode.Update(passAt(0), inputs), qt.IsFalse)
	c.Assert(mode.Update(passAt(600), inputs), qt.IsFalse)
	c.Assert(mode.Update(passAt(750), inputs), qt.IsTrue)
	// A small demand is served on time.
	c.Assert(mode.Update(passAt(800), passGate.LateInputs(pace, inputs.OnTime)), qt.IsTrue)
	c.Assert(mode.Update(passAt(1300), passGate.LateInputs(pace, inputs.OnTime)), qt.IsFalse)
}

// Overload that the bound is not the cause of fills the slots: serving late would serve no more.
func TestOverloadAloneIsNotServedLate(t *testing.T) {
	var mode admission.LateMode
	for ms := 0; ms < 5000; ms += 100 {
		inputs := passGate.LateInputs(admission.GroupPace{Ranks: 32, Writers: 320, Skew: 1.3}, 2000)
		qt.Assert(t, mode.Update(passAt(ms), inputs), qt.IsFalse)
	}
}

// Refused callers retry once: they must come back after the next peak, spread, within the time for which they wait.
func TestRetryAfterPointsBehindThePeak(t *testing.T) {
	c := qt.New(t)
	retry := admission.TroughRetry{Base: time.Second, Forecast: peakForecast(300*time.Millisecond, 3.3, 3.3), Remaining: 8 * time.Second}
	c.Assert(retry.After(0), qt.Equals, 900*time.Millisecond)
	c.Assert(retry.After(0.999) > 1800*time.Millisecond, qt.IsTrue)
	falling := retry
	falling.Slope = -0.2
	c.Assert(falling.After(0) > 1500*time.Millisecond, qt.IsTrue)
	c.Assert(falling.After(0.999) <= falling.Remaining/3, qt.IsTrue)
	retry.Forecast.InPeak, retry.Forecast.PeakLeft = true, 400*time.Millisecond
	c.Assert(retry.After(0), qt.Equals, 400*time.Millisecond)
	retry.Remaining = 900 * time.Millisecond
	c.Assert(retry.After(0.999), qt.Equals, 300*time.Millisecond)
}

// Without peaks, Retry-After is the time until streams have ended; while demand falls it is the longest that callers wait.
func TestRetryAfterWithoutPeaks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		retry := admission.TroughRetry{
			Base:      time.Duration(rapid.IntRange(0, 5000).Draw(t, "base")) * time.Millisecond,
			Slope:     rapid.Float64Range(-0.4, 0.4).Draw(t, "slope"),
			Remaining: time.Duration(rapid.IntRange(2100, 8000).Draw(t, "remaining")) * time.Millisecond,
		}
		after := retry.After(rapid.Float64Range(0, 0.999).Draw(t, "random"))
		longest := min(retry.Remaining/3, 2*time.Second)
		if after < min(700*time.Millisecond, longest*4/5) || after > longest {
			t.Fatalf("%v, at most %v", after, longest)
		}
		if retry.Slope < -0.1 && after < longest*79/100 {
			t.Fatalf("%v while demand falls, at most %v", after, longest)
		}
	})
}

// The slope tells a falling wave of 13 s from a rising one, with the arrivals of one entry.
func TestArrivalTrendFollowsAWave(t *testing.T) {
	c := qt.New(t)
	var trend admission.ArrivalTrend
	now := 0
	arrive := func(until int, rate func(ms int) float64) {
		owed := 0.0
		for ; now < until; now++ {
			owed += rate(now) / 1000
			for ; owed >= 1; owed-- {
				trend.Record(passAt(now))
			}
		}
	}
	arrive(5000, func(int) float64 { return 40 })
	c.Assert(trend.Rate(passAt(now)), qt.Equals, 40.0)
	slope := func() float64 {
		slope, _ := trend.Slope(passAt(now))
		return slope
	}
	c.Assert(slope(), qt.Equals, 0.0)
	arrive(8000, func(ms int) float64 { return 40 - float64(ms-5000)/150 })
	c.Assert(slope() < -0.1, qt.IsTrue, qt.Commentf("%.2f", slope()))
	arrive(12_000, func(ms int) float64 { return 20 + float64(ms-8000)/150 })
	c.Assert(slope() > 0.1, qt.IsTrue, qt.Commentf("%.2f", slope()))
	c.Assert(trend.Rate(passAt(now+20_000)), qt.Equals, 0.0)
}

// A steady demand scatters. It must not count as falling, since refused callers would wait longer than needed.
func TestSteadyDemandDoesNotCountAsFalling(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for _, rate := range []float64{10, 30, 100} {
		var trend admission.ArrivalTrend
		falling, asked := 0, 0
		next := 0.0
		for ms := range 600_000 {
			for ; next <= float64(ms); next += random.ExpFloat64() * 1000 / rate {
				trend.Record(passAt(ms))
			}
			if ms%500 == 0 && ms > 5000 {
				retry := admission.TroughRetry{Base: 700 * time.Millisecond, Remaining: 8 * time.Second}
				retry.Slope, retry.SlopeError = trend.Slope(passAt(ms))
				if asked++; retry.After(0) > 700*time.Millisecond {
					falling++
				}
			}
		}
		// Two standard errors leave 2.3%.
		c.Check(falling*20 < asked, qt.IsTrue, qt.Commentf("rate %v: %d of %d", rate, falling, asked))
	}
}
