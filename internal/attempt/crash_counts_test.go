package attempt_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

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
	register := attempt.NewCrashRegister(attempt.DefaultCrashConfig(), registerNumber)
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

// If registers kept different counts of served runs, their digests would differ, and each hello would exchange packets.
func TestCountsOfManyEntriesInAnyOrderGiveTheSameRegister(t *testing.T) {
	const entries = 60
	rapid.Check(t, func(t *rapid.T) {
		var updates []attempt.CrashUpdate
		for entry := range uint64(entries) {
			for _, before := range []bool{false, true} {
				served := []attempt.ServedRuns{{Entry: entry + 1, Before: before, Runs: 1}}
				updates = append(updates, endReport("server-0", 0, attempt.SuspectedRun{
					Fingerprint: attempt.Fingerprint{1}, Duration: crashRunTime, Served: served,
				}))
			}
		}
		digests := [2]uint64{}
		for i := range digests {
			// Earlier ends keep the trait from being cleared.
			register := attempt.NewCrashRegister(attempt.DefaultCrashConfig(), registerNumber)
			for j := range 30 {
				crash(register, start.Add(time.Duration(j-60)*time.Second), fmt.Sprint("earlier-", j), attempt.Fingerprint{1})
			}
			for _, update := range rapid.Permutation(updates).Draw(t, "order") {
				register.Merge(start, update, unknown)
			}
			if len(register.TakeChanges(start, 100)) == 0 || register.HasChanges() && len(register.TakeChanges(start, 1000)) == 0 {
				t.Fatal("changes are not reported")
			}
			digests[i] = register.Digest()
		}
		if digests[0] != digests[1] {
			t.Fatalf("digests differ: %x and %x", digests[0], digests[1])
		}
	})
}

// A report with a negative duration, as after a clock was set back, would be the strongest evidence there is.
func TestReportedRunsOfNegativeDurationAreIgnored(t *testing.T) {
	register := attempt.NewCrashRegister(attempt.DefaultCrashConfig(), registerNumber)
	register.Merge(start, endReport("server-0", 0, attempt.SuspectedRun{Fingerprint: attempt.Fingerprint{1}, Duration: -time.Second}), unknown)
	qt.Check(t, register.Status(start, []attempt.Fingerprint{{1}}), qt.Equals, attempt.RequestNormal)
}

// Each entry that passed on a count of another one would send the whole end to five more for each step of each count.
func TestCountsOfOtherEntriesAreNotPassedOn(t *testing.T) {
	c := qt.New(t)
	register := attempt.NewCrashRegister(attempt.DefaultCrashConfig(), registerNumber)
	report := func(runs uint16) attempt.CrashUpdate {
		return endReport("server-0", 0, attempt.SuspectedRun{
			Fingerprint: attempt.Fingerprint{1}, Duration: crashRunTime, Served: []attempt.ServedRuns{{Entry: 1, Runs: runs}},
		})
	}
	register.Merge(start, report(1), unknown)
	for register.HasChanges() {
		register.TakeChanges(start, 4)
	}
	digest := register.Digest()
	register.Merge(start, report(2), unknown)
	c.Check(register.HasChanges(), qt.IsFalse)
	c.Check(register.Digest(), qt.Not(qt.Equals), digest)
	register.RecordServed(start, []attempt.Fingerprint{{1}})
	c.Check(register.HasChanges(), qt.IsTrue)
}

// Reports of ends arrive in any order. An end that counted the runs served since a later one would have them twice.
func TestEarlierEndDoesNotCountRunsServedAfterALaterOne(t *testing.T) {
	c := qt.New(t)
	register := attempt.NewCrashRegister(attempt.DefaultCrashConfig(), registerNumber)
	run := attempt.SuspectedRun{Fingerprint: attempt.Fingerprint{1}, Duration: crashRunTime}
	register.Merge(start, endReport("later", time.Second, run), unknown)
	register.RecordServed(start, []attempt.Fingerprint{{1}})
	register.Merge(start, endReport("earlier", 2*time.Second, run), unknown)
	reports := map[string][]attempt.ServedRuns{}
	for _, update := range register.TakeChanges(start, 4) {
		for _, end := range update.Ends {
			reports[end.Server.ID] = end.Suspected[0].Served
		}
	}
	c.Check(reports["earlier"], qt.HasLen, 0)
	c.Check(reports["later"], qt.HasLen, 1)
}
