package gateway

import (
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/settings"
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

// Half of the entries are cut off from the store while it is restored twice from older copies. When they reach it again, the copy is
// still in place. A revoked credential must not be accepted by either half, nor by an entry that restarts on either side, and all
// must serve again once the configuration has been written again.
func TestRestoresDuringACut(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ok := func(conn net.Conn, request receivedRequest) bool {
		return writeResponse(conn, request, http.StatusOK, "ok")
	}
	backend := newTestBackend(t, "a", ok)
	near, far := newTestStore(backend), newTestStore(backend)
	stores := []*testStore{near, far}
	for _, store := range stores {
		store.state.Table = testTable(1, "key", "revoked")
	}
	copied := near.state
	entries, start := startEntries(t, near, 130, 4, func(direct *settings.Direct) { direct.Bounds.Revocation = 5 * time.Second })
	// The entries from 2 on reach the store through the other view of it.
	restart := func(i int) {
		entries[i].kill()
		<-entries[i].runError
		entries[i] = start(i)
	}
	farStart := func(i int) {
		entries[i].kill()
		<-entries[i].runError
		address := netip.MustParseAddrPort(entries[i].gateway.socket.Address().String())
		entries[i] = startTestGateway(t, far, func(direct *settings.Direct) {
			direct.IP, direct.PeerPort, direct.Seeds = address.Addr().String(), int(address.Port()), entries[0].gateway.config.Settings.Seeds
			direct.Bounds.Revocation = 5 * time.Second
		})
	}
	farStart(2)
	farStart(3)
	for _, entry := range entries {
		entry.awaitService()
	}
	refused := func(when string, span time.Duration) {
		c.Helper()
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for i, entry := range entries {
				if got := entry.tryStatus("revoked"); got == http.StatusOK {
					c.Fatalf("%s: entry %d accepts a revoked credential", when, i)
				}
			}
		}
	}
	revoke := func(state *source.State) { state.Table = testTable(2, "key") }
	near.set(revoke)
	far.set(revoke)
	time.Sleep(time.Second)
	refused("before the cut", 100*time.Millisecond)
	far.mu.Lock()
	far.down = true
	far.mu.Unlock()
	far.set(func(*source.State) {})
	for era := range uint64(2) {
		near.set(func(state *source.State) { *state = copied; state.Era, state.Revision = era+1, 0 })
		refused("during the cut", 500*time.Millisecond)
	}
	restart(1)
	refused("an entry restarts beside the store", 500*time.Millisecond)
	far.set(func(state *source.State) { *state = copied; state.Era, state.Revision = 2, 0 })
	far.mu.Lock()
	far.down = false
	far.mu.Unlock()
	farStart(3)
	refused("after the cut", 3*time.Second)
	near.set(revoke)
	far.set(revoke)
	time.Sleep(3 * time.Second)
	for i, entry := range entries {
		c.Assert(entry.tryStatus("key"), qt.Equals, http.StatusOK, qt.Commentf("entry %d", i))
	}
	refused("at the end", 100*time.Millisecond)
}

// tryStatus sends a lookup with a credential and returns the status; 0 if the entry does not answer.
func (g *testGateway) tryStatus(credential string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+g.address+"/lookup/x", nil)
	g.c.Assert(err, qt.IsNil)
	request.Host = "h.example"
	request.Header.Set("X-Request", "r"+strconv.FormatInt(time.Now().UnixNano(), 10))
	request.Header.Set("X-Credential", credential)
	request.Header.Set("X-Deadline", "1000")
	response, err := g.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}
