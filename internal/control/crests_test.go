package control_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/admission"
)

var (
	crestSeed  = flag.Uint64("crests.seed", 1, "seed of the replays of crests")
	crestSeeds = flag.Int("crests.seeds", 0, "number of seeds for the table of crests; 0 for no table")
)

// crestDayC is the crest day of deployment C at a load relative to crestCapacity.
func crestDayC(load float64, seconds int) crestDay {
	day := crestDay{groups: 2, ranks: 32, entries: 6, seconds: seconds, swing: 0.55, jump: 2670 * time.Millisecond, jitter: 0.05, seed: *crestSeed}
	day.rate = load * crestCapacity(day)
	return day
}

// crestCapacity is the number of streams per second that a day's groups complete on time at the usual skew.
func crestCapacity(day crestDay) float64 {
	gate := admission.PassGate{Engine: &crestEngine, MaxEventGap: crestGap}
	return float64(day.groups) * gate.Capacity(admission.GroupPace{Ranks: day.ranks, Skew: calmSkew})
}

// crestDayLoad is the load at which the version before makes 17% of the streams late and refuses under 1%, as on the crest
// day of deployment C.
const crestDayLoad = 0.65

// crestSeconds covers three waves after the first peaks.
const crestSeconds = 60

func describeCrests(r *crestResult) string {
	served := max(r.onTime+r.late, 1)
	return fmt.Sprintf("%6d | %.3f | %.1f | %.1f | %.1f | %.1f | %.1f", r.offered, r.total(), 100*r.share(r.onTime), 100*r.share(r.late),
		100*r.share(r.refused), 100*r.share(r.abandoned), 100-100*float64(r.tardyPauses)/float64(served))
}

// Waves of demand with jumps of skew, beyond and below the capacity. A gate that uses the pass at the current skew makes
// most streams of a crest late at the next jump; one that refuses too much wastes slots.
func TestCrestsServeMoreValueThanBefore(t *testing.T) {
	for _, load := range []float64{0.8, 1.0, 1.3, 1.8} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			c := qt.New(t)
			day := crestDayC(load, crestSeconds)
			now, before, none := replayCrests(day, newCrestDispatcher), replayCrests(day, newMeanGate(crestGap)), replayCrests(day, newMeanGate(0))
			c.Logf("offered, value, on time, late, refused, abandoned, pauses on time\nnow    %s\nbefore %s\nnone   %s", describeCrests(&now), describeCrests(&before), describeCrests(&none))
			c.Check(now.total() >= before.total() && now.total() >= none.total(), qt.IsTrue)
			c.Check(float64(now.tardyPauses) <= 0.05*float64(now.onTime+now.late), qt.IsTrue)
		})
	}
}

// The crest day of deployment C: streams are late at the peaks of skew in each crest while nothing is refused.
func TestCrestDayHasFewLateStreams(t *testing.T) {
	c := qt.New(t)
	day := crestDayC(crestDayLoad, crestSeconds)
	now, before := replayCrests(day, newCrestDispatcher), replayCrests(day, newMeanGate(crestGap))
	c.Logf("\nnow    %s\nbefore %s", describeCrests(&now), describeCrests(&before))
	c.Assert(before.share(before.late) > 0.12 && before.share(before.refused) < 0.03, qt.IsTrue, qt.Commentf("the load pattern does not show the fault"))
	c.Check(now.share(now.late) <= 0.06, qt.IsTrue)
	c.Check(now.share(now.refused) < 0.03, qt.IsTrue)
}

// refusedThoughOnTime returns the number of requests that were on time before and have no value now.
func refusedThoughOnTime(now, before *crestResult) int {
	n := 0
	for i, value := range now.value {
		if value == 0 && before.value[i] == 1 && now.arrived[i] >= crestStart && now.arrived[i] < (crestSeconds-8)*time.Second {
			n++
		}
	}
	return n
}

// checkRefusedThoughOnTime fails if a request has no value that was on time in the version before.
func checkRefusedThoughOnTime(t *testing.T, load float64) {
	day := crestDayC(load, crestSeconds)
	now, before := replayCrests(day, newCrestDispatcher), replayCrests(day, newMeanGate(crestGap))
	n := refusedThoughOnTime(&now, &before)
	t.Logf("%d of %d requests that were on time before have no value; on time %d, before %d", n, now.offered, now.onTime, before.onTime)
	if n > 0 {
		t.Fail()
	}
}

// Below the load at which peaks of skew make streams late, nothing may be refused for them.
func TestCrestsAtHalfOfTheCapacityRefuseNoStreamThatWasOnTime(t *testing.T) {
	checkRefusedThoughOnTime(t, 0.5)
}

// At and below the capacity, refusing a stream for the sake of others must not cost one that was on time.
func TestCrestsRefuseNoStreamThatWasOnTime(t *testing.T) {
	for _, load := range []float64{crestDayLoad, 0.8, 1.0} {
		t.Run(fmt.Sprint(load), func(t *testing.T) { checkRefusedThoughOnTime(t, load) })
	}
}

// A deployment whose demand does not jump must not lose streams to peaks that never come.
func TestDayWithoutPeaksIsServedAsBefore(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.2} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			c := qt.New(t)
			day := crestDayC(load, crestSeconds)
			day.jump, day.swing = 0, 0
			now, before := replayCrests(day, newCrestDispatcher), replayCrests(day, newMeanGate(crestGap))
			c.Logf("\nnow    %s\nbefore %s", describeCrests(&now), describeCrests(&before))
			c.Check(now.total() >= before.total()-0.01, qt.IsTrue)
			c.Check(now.share(now.refused) <= before.share(before.refused)+0.01, qt.IsTrue)
		})
	}
}

// One rank of 72 does its work slower for 7 s. The straggler begins at 20 s.
func TestStragglerDays(t *testing.T) {
	const from, to = 20 * time.Second, 27 * time.Second
	calm := crestDay{groups: 1, ranks: 72, entries: 18, seconds: 40, seed: *crestSeed}
	calm.rate = 0.5 * crestCapacity(calm)
	usual := replayCrests(calm, newCrestDispatcher)
	for _, slowness := range []float64{1.5, 2, 4} {
		t.Run(fmt.Sprint(slowness), func(t *testing.T) {
			c := qt.New(t)
			day := calm
			day.slowness = func(at time.Duration, _, rank int) float64 {
				if rank == 5 && at >= from && at < to {
					return slowness
				}
				return 1
			}
			r := replayCrests(day, newCrestDispatcher)
			lowest := 1.0
			for at := from; at < to; at += 500 * time.Millisecond {
				lowest = min(lowest, r.within(at, at+2*time.Second))
			}
			during, calmly := r.within(from, to), usual.within(from, to)
			after := r.within(to+time.Second, to+3*time.Second)
			c.Logf("value %.3f of %.3f, lowest of 2 s %.3f, after the recovery %.3f of %.3f; all: %s", during, calmly, lowest, after,
				usual.within(to+time.Second, to+3*time.Second), describeCrests(&r))
			switch slowness {
			case 1.5:
				c.Check(during >= calmly-0.01, qt.IsTrue)
			case 2:
				c.Check(during >= 0.9*calmly, qt.IsTrue)
			case 4:
				c.Check(lowest >= 0.35, qt.IsTrue)
				refused := float64(r.refused) / (to - from).Seconds() / day.rate
				c.Check(refused <= 0.02, qt.IsTrue, qt.Commentf("%.3f of the requests of these seconds were refused", refused))
			}
			c.Check(after >= usual.within(to+time.Second, to+3*time.Second), qt.IsTrue)
		})
	}
}

// A rank at two thirds of its speed makes no pass too long for streams on time, so that none may be lost. TestStragglerDays lets
// a hundredth of the value go.
func TestStragglerAtTwoThirdsOfItsSpeedLosesNothing(t *testing.T) {
	const from, to = 20 * time.Second, 27 * time.Second
	c := qt.New(t)
	day := crestDay{groups: 1, ranks: 72, entries: 18, seconds: 40, seed: *crestSeed}
	day.rate = 0.5 * crestCapacity(day)
	usual := replayCrests(day, newCrestDispatcher)
	day.slowness = func(at time.Duration, _, rank int) float64 {
		if rank == 5 && at >= from && at < to {
			return 1.5
		}
		return 1
	}
	r := replayCrests(day, newCrestDispatcher)
	c.Check(r.within(from, to) >= usual.within(from, to), qt.IsTrue, qt.Commentf("%.4f of %.4f", r.within(from, to), usual.within(from, to)))
}

// Prints the table of docs/measurements/crests.md.
func TestPrintCrestTable(t *testing.T) {
	if *crestSeeds == 0 {
		t.Skip("prints a table with -crests.seeds=N")
	}
	policies := []struct {
		name string
		of   func(crestDay, int) crestDispatcher
	}{{"now", newCrestDispatcher}, {"before", newMeanGate(crestGap)}, {"none", newMeanGate(0)}}
	for _, jitter := range []float64{0.05, 0.6} {
		for _, load := range []float64{0.5, crestDayLoad, 0.8, 1.0, 1.3, 1.8} {
			for _, policy := range policies {
				sum := crestResult{}
				for seed := range *crestSeeds {
					day := crestDayC(load, 85)
					day.seed, day.jitter = uint64(seed+1), jitter
					r := replayCrests(day, policy.of)
					sum.offered, sum.onTime, sum.late = sum.offered+r.offered, sum.onTime+r.onTime, sum.late+r.late
					sum.refused, sum.abandoned, sum.tardyPauses = sum.refused+r.refused, sum.abandoned+r.abandoned, sum.tardyPauses+r.tardyPauses
				}
				fmt.Printf("| %.2f | %.2f | %s | %s |\n", jitter, load, policy.name, describeCrests(&sum))
			}
		}
	}
}
