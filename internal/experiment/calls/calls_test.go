package calls

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
)

func TestNoFaultRunsKeysTwice(t *testing.T) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			figures := runFault(f, attempt.DoubtAsk, 1)
			qt.Assert(t, figures.duplicateRuns, qt.Equals, 0)
			qt.Assert(t, figures.served > 0, qt.IsTrue)
		})
	}
}

func TestUncheckedOwnerRunsKeysTwice(t *testing.T) {
	f := fault{"agent killed", func(t *Timeline) { t.killFirstAgent(faultAt / 10) }}
	qt.Assert(t, runFault(f, attempt.DoubtIgnore, 1).duplicateRuns > 0, qt.IsTrue)
}

func TestInnocentsAreNotQuarantined(t *testing.T) {
	figures := runQuarantine(func(*attempt.SuspectConfig) {}, 1)
	qt.Assert(t, figures.quarantined, qt.Equals, 0.0)
	qt.Assert(t, figures.other, qt.Equals, 0.0)
	qt.Assert(t, figures.crashes <= float64(attempt.DefaultSuspectConfig().CrashLimit), qt.IsTrue)
}
