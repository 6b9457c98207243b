package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	// recoveryTime is the longest time in which a group has to form and to roll out a map once
	// faults end. It covers messages in flight, the detection of an unresponsive leader, the
	// lifetime of orders and one plan.
	recoveryTime = 30 * time.Second
	noRecovery   = "group did not recover in time after the faults ended; rollouts and steps since then:"
)

// Without faults, a group must form and roll out maps, at engines that honour fencing numbers
// and at others.
func TestGroupRollsOutMaps(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		c := qt.New(t)
		w := newGroupWorld(1, 8, fenced)
		w.run(recoveryTime, func() bool { return w.rolloutsDone == 3 })
		c.Assert(w.violation, qt.Equals, "")
		c.Assert(w.rolloutsDone, qt.Equals, 3)
	}
}

// All engines must use the same map in each step and hold its weights, while messages are lost,
// late or duplicated and processes stop, pause or crash. Rollouts must continue once faults
// end.
func TestOneMapInEachStepOfEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := newGroupWorld(seed, rapid.IntRange(2, 8).Draw(t, "agents"), rapid.Bool().Draw(t, "fenced"))
		w.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "fault-free start ms"))*time.Millisecond, func() bool { return false })
		w.injectFaults = true
		w.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "faults s"))*time.Second, func() bool { return false })
		w.injectFaults = false
		w.checkRecovery(t.Fatal)
	})
}

// checkRecovery checks that rollouts and steps continue within recoveryTime.
func (w *groupWorld) checkRecovery(fatal func(args ...any)) {
	done, steps := w.rolloutsDone, w.stepsRun
	w.run(recoveryTime, func() bool { return w.rolloutsDone > done+1 && w.stepsRun > steps })
	switch {
	case w.violation != "":
		fatal(w.violation)
	case w.rolloutsDone <= done+1 || w.stepsRun == steps:
		fatal(noRecovery, w.rolloutsDone-done, w.stepsRun-steps)
	}
}
