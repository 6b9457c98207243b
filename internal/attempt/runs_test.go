package attempt

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// A call must be reported as not run exactly if the servers of all its sends have stated that they did not run it. A wrong
// report lets a caller repeat a posting that has run.
func TestUnservedCallsAreReportedByTheirRuns(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		var runs Runs
		possible := 0
		for _, executed := range rapid.SliceOf(rapid.Bool()).Draw(t, "executed") {
			runs.RecordSent()
			if executed {
				possible++
				continue
			}
			runs.RecordNotExecuted()
		}
		c.Assert(runs.Possible(), qt.Equals, possible)
		cause := rapid.SampledFrom([]outcome.Cause{outcome.CauseUnauthorized, outcome.CauseDeadline, outcome.CauseNotReady}).Draw(t, "cause")
		got := runs.Unserved(cause)
		c.Assert(got.Kind == outcome.NotRun, qt.Equals, possible == 0)
		c.Assert(got.Cause, qt.Equals, cause)
	})
}
