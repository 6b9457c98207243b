package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
)

// If the same served runs cleared each further end, no entry would refuse a trait that has begun to crash servers.
func TestServedRunsClearOneReportedEnd(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	store := newTestStore()
	newCrashingServers(t, store, 1)
	entries, _ := startEntries(t, store, 41, 1)
	g, trait := entries[0].gateway, attempt.Fingerprint{1}
	now := time.Now()
	for range attempt.ClearingRuns {
		g.survivingTraits.add(traitHash(trait), now)
	}
	statuses := make(chan attempt.RequestStatus, 2)
	g.enqueue(func(now time.Time) {
		for i := range 2 {
			g.handleCrashUpdate(now, &attempt.CrashUpdate{Ends: []attempt.EndReport{{
				Server: attempt.ServerInstance{ID: fmt.Sprint("server-", i)}, Service: plainService,
				Suspected: []attempt.SuspectedRun{{Fingerprint: trait, Duration: time.Second}},
			}}})
			statuses <- g.dispatcher.Crashes().Status(now, []attempt.Fingerprint{trait})
		}
	})
	c.Check(<-statuses, qt.Equals, attempt.RequestNormal)
	c.Check(<-statuses, qt.Equals, attempt.RequestSuspect)
}
