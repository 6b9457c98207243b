package attempt_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/experiment/calls"
)

// chaosSteps is the number of steps in one interleaving. The nightly command is
//
//	go test ./internal/attempt -run TestNothingRunsTwice -chaos.steps 1000 -rapid.checks 1200
var chaosSteps = flag.Int("chaos.steps", 300, "steps in one random interleaving")

func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "1", "rapid.checks": "60"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// rapidSource draws choices from rapid, so that a failing interleaving is shrunk.
type rapidSource struct{ t *rapid.T }

func (d rapidSource) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }

func chaosConfig(t *rapid.T) calls.Config {
	hedgeAfter := rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond}).Draw(t, "hedge")
	return calls.Config{
		Caller: func(config *attempt.CallConfig) { config.HedgeAfter = hedgeAfter },

		Entries:   rapid.IntRange(2, 3).Draw(t, "entries"),
		Agents:    rapid.IntRange(2, 3).Draw(t, "agents"),
		Retention: 20 * time.Second,
		OpenedAt:  rapid.SampledFrom([]time.Duration{-time.Hour, 0, time.Second}).Draw(t, "opened"),
	}
}

// TestNothingRunsTwice guards against two runs of one run key and against calls without an
// outcome, under random interleavings of messages and faults.
func TestNothingRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := calls.NewWorld(chaosConfig(t))
		chaos := calls.NewChaos(world, rapidSource{t})
		for step := range *chaosSteps {
			name := chaos.Step()
			if violations := chaos.Violations(); len(violations) > 0 {
				t.Fatalf("step %d (%s): %s", step, name, violations[0])
			}
		}
		open := chaos.Quiesce()
		if violations := chaos.Violations(); len(violations) > 0 {
			t.Fatalf("after the faults: %s", violations[0])
		}
		if open > 0 {
			t.Fatalf("%d calls have no outcome after the faults", open)
		}
	})
}

// TestUncheckedOwnersRunTwice checks that the interleavings detect double runs: with agents that
// neither check ownership nor ask what may have run, some must occur.
func TestUncheckedOwnersRunTwice(t *testing.T) {
	const seeds, steps = 60, 600
	doubled := 0
	for seed := range uint64(seeds) {
		world := calls.NewWorld(calls.Config{
			Entries: 3, Agents: 3, Retention: 20 * time.Second, OpenedAt: time.Second, Doubt: attempt.DoubtIgnore,
		})
		chaos := calls.NewChaos(world, rand.New(rand.NewPCG(seed, 1)))
		for range steps {
			chaos.Step()
		}
		if len(chaos.Violations()) > 0 {
			doubled++
		}
	}
	qt.Assert(t, doubled > 0, qt.IsTrue)
}
