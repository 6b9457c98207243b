package attempt_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
)

// endReport is another entry's report of an end of a server that cut off a run of a request.
func endReport(server string, age time.Duration, run attempt.SuspectedRun) attempt.CrashUpdate {
	return attempt.CrashUpdate{Ends: []attempt.EndReport{{
		Server: attempt.ServerInstance{ID: server}, Service: "service", Age: age, Suspected: []attempt.SuspectedRun{run},
	}}}
}

// Asking for the served runs of a trait uses them up. If it happened for one that is no suspect, they would be missing when it
// becomes one.
func TestServedRunsAreTakenForSuspectsOnly(t *testing.T) {
	c := qt.New(t)
	register := attempt.NewCrashRegister(attempt.DefaultCrashConfig())
	register.SetServers(start, "service", 3)
	fingerprint, taken := attempt.Fingerprint{1}, 0
	take := func(attempt.Fingerprint) bool {
		taken++
		return taken == 1
	}
	report := endReport("server-0", 0, attempt.SuspectedRun{Fingerprint: fingerprint, Duration: crashRunTime})
	register.Merge(start, report, take)
	c.Check(taken, qt.Equals, 1)
	c.Check(register.Status(start, []attempt.Fingerprint{fingerprint}), qt.Equals, attempt.RequestNormal)
	register.Merge(start, report, take)
	c.Check(taken, qt.Equals, 1)
}
