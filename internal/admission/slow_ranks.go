package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minPassReduction is the least share of a pass that must be saved for ranks to be avoided if the pass stays too long
	// without them. A stream that moves to another rank is late by itself, since its prompt is processed again.
	minPassReduction = 0.25
	// usableSlots is the share of the slots of the other ranks that may be taken when a rank is avoided. The rest is for
	// arrivals until the next report.
	usableSlots = 0.95
)

// SlowRanks returns the ranks of a lock-step group that should run no streams, by rank; nil if there are none. A straggler
// delays each pass of all ranks, but only while it has work of its own: without streams it takes part in passes without
// delaying them. So its streams are better off at other ranks, as long as these have room for them.
//
// Load pattern: one or more ranks turn slow for seconds while the group is busy. loads are the numbers of running and queued
// streams by rank; only the ranks that get new requests have room for others.
func (g PassGate) SlowRanks(pace GroupPace, loads []int) []bool {
	longest := g.currentBound()
	if longest <= 0 || len(pace.Slowness) != len(loads) || len(loads) == 0 {
		return nil
	}
	order := make([]int, 0, len(loads))
	total := 0
	for rank, load := range loads {
		total += load
		if pace.Slowness[rank] > 1 {
			order = append(order, rank)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(pace.Slowness[b], pace.Slowness[a]), cmp.Compare(a, b))
	})
	chunk := float64(g.Engine.PromptChunk)
	stretch := 1.0
	if peaks := pace.Forecast.Peaks; len(peaks) > 0 {
		// Passes must be short enough also during the next jump of demand and the loading of experts after it.
		pace.Skew, stretch = max(pace.Skew, peaks[len(peaks)-1]), loadingSlowdown
	}
	shared := time.Duration(stretch * float64(g.expertPart(pace, total, pace.Skew)))
	usual := time.Duration(stretch*float64(g.OwnPart(1, float64(total)/float64(len(loads)), chunk))) + shared
	slow := make([]bool, len(loads))
	avoided := 0
	for _, rank := range order {
		pass := time.Duration(stretch*float64(g.OwnPart(pace.Slowness[rank], float64(max(loads[rank], 1)), chunk))) + shared
		saves := usual <= longest || float64(pass-usual) >= minPassReduction*float64(pass)
		room := usableSlots * float64(g.Engine.Slots*(pace.receiving()-avoided-1))
		if pass <= longest || !saves || float64(total) > room {
			break
		}
		slow[rank] = true
		avoided++
	}
	if avoided == 0 {
		return nil
	}
	return slow
}
