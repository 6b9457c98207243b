package expert

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// countingGroup is a group whose ranks count choices in windows of 100 ms and report each window at its end.
type countingGroup struct {
	ranks, experts int
	// interval is the time between two reports of a rank. In large groups it is longer than a window.
	interval time.Duration
	// choicesPerPass is the number of choices of one rank in a pass and layer.
	choicesPerPass float64
	exponent       float64
}

// jumpDelays returns the times from jumps in demand until an update of the estimate that detects the jump and resembles the
// new demand, and the number of jumps detected beyond the true ones.
func (g countingGroup) jumpDelays(random *rand.Rand, jumps int) ([]time.Duration, int) {
	const layers, pass, tick, window = 4, 60 * time.Millisecond, 5 * time.Millisecond, 100 * time.Millisecond
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	demand := NewDemand(layers, g.experts)
	draw := func() Load {
		load := NewLoad(layers, g.experts)
		for layer := range load {
			for place, e := range random.Perm(g.experts) {
				load[layer][e] = math.Pow(float64(place+1), -g.exponent)
			}
			sum := total(load[layer])
			for e := range load[layer] {
				load[layer][e] /= sum
			}
		}
		return load
	}
	before, load := draw(), draw()
	jumpAt, nextJump := time.Duration(0), 3*time.Second
	var delays []time.Duration
	found := true
	for now := time.Duration(0); len(delays) < jumps; now += tick {
		if now >= nextJump {
			before, load, jumpAt, found = load, draw(), now, false
			nextJump += 2700*time.Millisecond + time.Duration(random.Int64N(int64(800*time.Millisecond)))
		}
		for rank := range g.ranks {
			phase := g.interval * time.Duration(rank) / time.Duration(g.ranks) / tick * tick
			if (now-phase)%g.interval != 0 {
				continue
			}
			// The window ended 10 ms ago; the rest is the time of the message.
			ended := now - 10*time.Millisecond
			share := min(1, max(0, float64(ended-jumpAt)/float64(window)))
			counts := ChoiceCounts{}
			for layer := range load {
				tokens := make([]uint64, g.experts)
				for e := range tokens {
					mean := g.choicesPerPass * float64(window) / float64(pass) * (share*load[layer][e] + (1-share)*before[layer][e])
					tokens[e] = uint64(max(0, math.Round(mean+math.Sqrt(mean)*random.NormFloat64())))
				}
				counts.Layers = append(counts.Layers, ScaleCounts(tokens))
			}
			if !demand.Add(start.Add(now), counts) || found {
				continue
			}
			estimate, _ := demand.Estimate()
			similarity := 0.0
			for layer := range estimate {
				similarity += cosine(estimate[layer], load[layer]) / layers
			}
			if similarity > 0.9 {
				found = true
				delays = append(delays, now-jumpAt)
			}
		}
	}
	return delays, demand.Jumps() - jumps
}

// Guards against jumps in demand that are detected later than before, or more often than they occur. The former figures are
// those of the code that compared only whole buckets of 100 ms with the estimate, with the same seed. The load patterns are
// jumps every 2.7 to 3.5 s in a group of 72 ranks, under load and with few requests.
func TestJumpsAreDetectedSoon(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		group  countingGroup
		former time.Duration
		// spurious is the former number of jumps beyond the 160 true ones.
		spurious int
		// busy is true if slices hold enough choices to be compared with the estimate.
		busy bool
	}{
		{countingGroup{72, 144, 445 * time.Millisecond, 140, 0.82}, 180218750 * time.Nanosecond, 22, true},
		{countingGroup{72, 144, 445 * time.Millisecond, 28, 0.82}, 264468750 * time.Nanosecond, 21, false},
	} {
		delays, spurious := test.group.jumpDelays(rand.New(rand.NewPCG(1, 2)), 160)
		mean := time.Duration(0)
		for _, delay := range delays {
			mean += delay / time.Duration(len(delays))
		}
		c.Logf("%+v: mean %v (before %v), longest %v, spurious jumps %d (before %d)", test.group, mean, test.former, slices.Max(delays), spurious, test.spurious)
		c.Check(mean <= test.former, qt.IsTrue)
		c.Check(!test.busy || mean < test.former, qt.IsTrue)
		c.Check(spurious <= test.spurious, qt.IsTrue)
	}
}
