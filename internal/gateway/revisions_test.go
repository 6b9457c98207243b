package gateway

import (
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/source"
)

// Each of many entries reads the store's revision all the time to prove that its credentials are current. A few must read it
// for all, also after those that did have ended, and a revoked credential must be refused by all.
func TestEntriesShareReadsOfTheRevision(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const count = 18
	backend := newTestBackend(t, "a", respondWith("answer"))
	store := newTestStore(backend)
	entries, _ := startEntries(t, store, 120, count, func(direct *settings.Direct) { direct.Bounds.Revocation = 5 * time.Second })
	// play sends lookups to the entries for a time and returns the reads of the revision a second and the lookups not served.
	play := func(entries []*testGateway, seconds int) (reads float64, failed int) {
		store.mu.Lock()
		before := store.revisionReads
		store.mu.Unlock()
		start := time.Now()
		for time.Since(start) < time.Duration(seconds)*time.Second {
			var callers sync.WaitGroup
			var mu sync.Mutex
			for _, entry := range entries {
				callers.Go(func() {
					if entry.get("/lookup/x").status != http.StatusOK {
						mu.Lock()
						defer mu.Unlock()
						failed++
					}
				})
			}
			callers.Wait()
			time.Sleep(200 * time.Millisecond)
		}
		store.mu.Lock()
		defer store.mu.Unlock()
		return float64(store.revisionReads-before) / time.Since(start).Seconds(), failed
	}
	play(entries, 3) // entries learn of each other
	alone := count / revisionCheckInterval.Seconds()
	reads, failed := play(entries, 4)
	c.Logf("%.1f reads a second, %.1f if each entry reads", reads, alone)
	c.Assert(reads < alone/2, qt.IsTrue)
	c.Assert(failed, qt.Equals, 0)

	var left []*testGateway
	for i, entry := range entries {
		var others []netip.AddrPort
		for j, other := range entries {
			if i != j {
				others = append(others, other.gateway.socket.Address())
			}
		}
		if _, ok := membership.NewRevisionReaders(entry.gateway.socket.Address()).Choose(time.Now(), others); ok {
			left = append(left, entry)
			continue
		}
		entry.kill()
		<-entry.runError
	}
	c.Assert(len(left), qt.Equals, count-2)
	_, failed = play(left, 4)
	c.Assert(failed, qt.Equals, 0, qt.Commentf("after the end of the readers"))
	store.set(func(state *source.State) { state.Table = testTable(2, "other") })
	time.Sleep(time.Second)
	for i, entry := range left {
		c.Assert(entry.get("/lookup/x").status, qt.Equals, http.StatusUnauthorized, qt.Commentf("entry %d", i))
	}
}

// With a short bound on revoked credentials the wait for another entry's answer would make checks expire between two of them:
// requests with valid credentials would be refused.
func TestRevisionIsNotSharedWithShortBounds(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	backend := newTestBackend(t, "a", respondWith("answer"))
	for bound, shared := range map[time.Duration]bool{2 * time.Second: false, 4 * time.Second: false, 5 * time.Second: true} {
		g := startTestGateway(t, newTestStore(backend), func(direct *settings.Direct) { direct.Bounds.Revocation = bound })
		c.Assert(g.gateway.follower.SharedRevision != nil, qt.Equals, shared, qt.Commentf("%s", bound))
	}
}
