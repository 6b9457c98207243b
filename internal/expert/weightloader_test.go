package expert

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against loads that exceed the rate or never end when the store throttles or fails fetches, and against loads that
// end without error before all weights are fetched.
func TestWeightLoaderLimitsFetchRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		now := start
		config := WeightLoaderConfig{ExpertBytes: 100, Rate: 1000, Parallel: 3, MaxFailures: 4}
		loader := NewWeightLoader(now, config)
		load := LoadWeights{Version: Version{Sequence: 1}}
		for i := range rapid.IntRange(1, 12).Draw(t, "placements") {
			load.Placements = append(load.Placements, Placement{Expert: Expert(i)})
		}
		faults := rapid.IntRange(0, 10).Draw(t, "faults")
		actions := loader.Load(now, load)
		fetched := map[Placement]bool{}
		bytes := 0.0
		for range 2000 {
			var next []Action
			for _, action := range actions {
				switch a := action.(type) {
				case LoadEnded:
					if a.Cause == "" && len(fetched) != len(load.Placements) {
						t.Fatalf("load ended with %d of %d placements fetched", len(fetched), len(load.Placements))
					}
					return
				case FetchWeights:
					bytes += float64(a.Bytes)
					if most := 100 + 1000*now.Sub(start).Seconds(); bytes > most+1e-3 {
						t.Fatalf("%v bytes requested after %s", bytes, now.Sub(start))
					}
					result := Fetched{Version: a.Version, Placement: a.Placement, Result: FetchDone}
					if faults > 0 {
						faults--
						result.Result = rapid.SampledFrom([]FetchResult{FetchThrottled, FetchFailed}).Draw(t, "fault")
					} else {
						fetched[a.Placement] = true
					}
					next = append(next, loader.Step(now, result)...)
				}
			}
			if len(next) == 0 {
				now = now.Add(50 * time.Millisecond)
				next = loader.Step(now, Tick{})
			}
			actions = next
		}
		t.Fatal("the load did not end")
	})
}

// Guards against fetches before the end of the pause that the store requested, and results that restart an abandoned load.
func TestWeightLoaderPausesWhenThrottled(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	loader := NewWeightLoader(now, WeightLoaderConfig{ExpertBytes: 100, Rate: 1000})
	version := Version{Sequence: 1}
	actions := loader.Load(now, LoadWeights{Version: version, Placements: []Placement{{Expert: 1}, {Expert: 2}}})
	c.Assert(actions, qt.HasLen, 1)
	throttled := Fetched{Version: version, Placement: Placement{Expert: 1}, Result: FetchThrottled, RetryAfter: 3 * time.Second}
	c.Assert(loader.Step(now, throttled), qt.HasLen, 0)
	c.Assert(loader.NextTick(), qt.Equals, now.Add(3*time.Second))
	c.Assert(loader.Step(now.Add(2*time.Second), Tick{}), qt.HasLen, 0)
	c.Assert(loader.Step(now.Add(3*time.Second), Tick{}), qt.HasLen, 1)
	loader.Abandon(version)
	c.Assert(loader.Step(now.Add(4*time.Second), throttled), qt.HasLen, 0)
}
