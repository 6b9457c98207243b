package gateway

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/source"
)

// The store comes back from a copy in which a revoked credential still exists and a leaving server is ready. Neither may be
// used again, by entries that ran all the time or by one that starts while the store holds the copy. What was written before
// must be in use again once it is written again.
func TestRestoredStoreBringsNothingBack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ok := func(conn net.Conn, request receivedRequest) bool {
		return writeResponse(conn, request, http.StatusOK, "ok")
	}
	backends := []*testBackend{newTestBackend(t, "a", ok), newTestBackend(t, "b", ok)}
	store := newTestStore(backends...)
	store.state.Table = testTable(1, "key", "revoked")
	entries, start := startEntries(t, store, 97, 3)
	copied := store.state
	copied.Backends = slices.Clone(copied.Backends)
	use := func(entry *testGateway, credential string) int {
		return entry.get("/lookup/x", "X-Credential", credential).status
	}
	c.Assert(use(entries[0], "revoked"), qt.Equals, http.StatusOK)
	store.set(func(state *source.State) {
		state.Table = testTable(2, "key")
		state.Backends = slices.Clone(state.Backends)
		for i := range state.Backends {
			state.Backends[i].Leaving = state.Backends[i].ID == "a-"+string(plainService)
		}
	})
	time.Sleep(time.Second)
	current := store.state
	before := len(backends[0].requests())
	check := func(when string) {
		c.Helper()
		for i, entry := range entries {
			c.Assert(use(entry, "revoked"), qt.Not(qt.Equals), http.StatusOK, qt.Commentf("%s, entry %d", when, i))
			use(entry, "key")
		}
		c.Assert(len(backends[0].requests()), qt.Equals, before, qt.Commentf("%s", when))
	}
	check("before the restore")
	store.set(func(state *source.State) {
		*state = copied
		state.Era, state.Revision = 1, 0
	})
	entries[1].kill()
	<-entries[1].runError
	entries[1] = start(1)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, entry := range entries {
			c.Assert(use(entry, "revoked"), qt.Not(qt.Equals), http.StatusOK, qt.Commentf("after the restore, entry %d, %s before the end", i, time.Until(end)))
		}
	}
	check("after the restore")
	store.set(func(state *source.State) { state.Table, state.Backends = current.Table, current.Backends })
	time.Sleep(time.Second)
	for i, entry := range entries {
		c.Assert(use(entry, "key"), qt.Equals, http.StatusOK, qt.Commentf("entry %d", i))
	}
	check("after all is written again")
	store.set(func(state *source.State) {
		state.Backends = []membership.ListedBackend{{ID: "a-" + string(plainService), Service: plainService, Address: backends[0].listener.Addr().String(), Slots: 6, Started: 9}}
	})
	time.Sleep(knowledgeTime)
	c.Assert(use(entries[0], "key"), qt.Equals, http.StatusOK, qt.Commentf("its next incarnation is used"))
}
