package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	// recoveryTime bounds how long a group takes, once faults end, to form and to roll a map out:
	// what is on its way, a silent leader, the lapse of orders and one plan.
	recoveryTime = 30 * time.Second
	noRecovery   = "no rollout was done within the time after the faults ended"
)

func TestGroupRollsOutMaps(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		c := qt.New(t)
		w := newGroupWorld(1, 8, fenced)
		w.run(recoveryTime, func() bool { return w.rolloutsDone == 3 })
		c.Assert(w.fault, qt.Equals, "")
		c.Assert(w.rolloutsDone, qt.Equals, 3)
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
		w.injectFaults = true
		w.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "faults s"))*time.Second, func() bool { return false })
		w.injectFaults = false
		w.checkRecovery(t.Fatal)
	})
}

func (w *groupWorld) checkRecovery(fatal func(args ...any)) {
	done, steps := w.rolloutsDone, w.stepsRun
	w.run(recoveryTime, func() bool { return w.rolloutsDone > done+1 && w.stepsRun > steps })
	switch {
	case w.fault != "":
		fatal(w.fault)
	case w.rolloutsDone <= done+1 || w.stepsRun == steps:
		fatal(noRecovery, w.rolloutsDone-done, w.stepsRun-steps)
	}
}
