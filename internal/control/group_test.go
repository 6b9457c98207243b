package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	// calmTime bounds how long a group takes, once faults end, to form and to roll a map out:
	// what is on its way, a silent leader, the lapse of orders and one plan.
	calmTime = 30 * time.Second
	never    = "no rollout was done within the time after the faults ended"
)

func TestGroupOfAgentsRollsMapsOut(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		c := qt.New(t)
		w := newGroupWorld(1, 8, fenced)
		w.run(calmTime, func() bool { return w.done == 3 })
		c.Assert(w.fault, qt.Equals, "")
		c.Assert(w.done, qt.Equals, 3)
	}
}

// TestOneMapInEachStepOfEngines checks that the engines use one map in each step, with its
// weights, whatever is lost, late, doubled, killed, paused or crashed, and that rollouts go
// on once faults end.
func TestOneMapInEachStepOfEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := newGroupWorld(seed, rapid.IntRange(2, 8).Draw(t, "agents"), rapid.Bool().Draw(t, "fenced"))
		w.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "calm start ms"))*time.Millisecond, func() bool { return false })
		w.faulty = true
		w.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "faults s"))*time.Second, func() bool { return false })
		w.faulty = false
		w.checkRecovery(t.Fatal)
	})
}

func (w *groupWorld) checkRecovery(fatal func(args ...any)) {
	done, steps := w.done, w.steps
	w.run(calmTime, func() bool { return w.done > done+1 && w.steps > steps })
	switch {
	case w.fault != "":
		fatal(w.fault)
	case w.done <= done+1 || w.steps == steps:
		fatal(never, w.done-done, w.steps-steps)
	}
}
