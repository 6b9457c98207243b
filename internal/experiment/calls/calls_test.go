package calls

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
)

// TestKeysRunAtMostOnceUnderFaults guards against faults after which a run key runs again on another
// agent.
func TestKeysRunAtMostOnceUnderFaults(t *testing.T) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			figures := runFault(f, attempt.DoubtAsk, 1)
			qt.Assert(t, figures.duplicateRuns, qt.Equals, 0)
			qt.Assert(t, figures.served > 0, qt.IsTrue)
		})
	}
}

// TestUncheckedOwnerRunsKeysTwice checks that the simulation detects duplicate runs: without the
// ownership check, a key that ran before an agent was killed runs again.
func TestUncheckedOwnerRunsKeysTwice(t *testing.T) {
	f := fault{"agent killed", func(s *Simulation) { s.killFirstAgent(faultAt / 10) }}
	qt.Assert(t, runFault(f, attempt.DoubtIgnore, 1).duplicateRuns > 0, qt.IsTrue)
}

// TestOnlyPoisonedRequestsAreQuarantined guards against quarantine of requests that only ran at the same
// time as a poisoned one, and against crashes beyond the limit.
func TestOnlyPoisonedRequestsAreQuarantined(t *testing.T) {
	figures := runQuarantine(func(*attempt.SuspectConfig) {}, 1)
	qt.Assert(t, figures.quarantined, qt.Equals, 0.0)
	qt.Assert(t, figures.other, qt.Equals, 0.0)
	qt.Assert(t, figures.crashes <= float64(attempt.DefaultSuspectConfig().CrashLimit), qt.IsTrue)
}
