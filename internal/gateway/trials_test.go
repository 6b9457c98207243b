package gateway

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// suspectRequest lets an entry know of three ends of servers of plainService during a request with the given body.
func (g *testGateway) suspectRequest(path, body string) {
	class := ident.Class(http.MethodPost + " h.example" + path)
	fingerprint := attempt.NewFingerprint("customer-of-key", class, sha256.Sum256([]byte(body)))
	known := make(chan struct{})
	g.gateway.enqueue(func(now time.Time) {
		for i := range 3 {
			g.gateway.dispatcher.Crashes().Merge(now, attempt.CrashUpdate{Ends: []attempt.EndReport{{
				Server: attempt.ServerInstance{ID: fmt.Sprintf("%s-%s-%d", path, body, i)}, Service: plainService, Age: time.Duration(20+i) * time.Second,
				Suspected: []attempt.SuspectedRun{{Fingerprint: fingerprint, Duration: time.Second}},
			}}}, func(attempt.Fingerprint) bool { return false })
		}
		g.gateway.crashRegisterChanged()
		close(known)
	})
	<-known
}

// Requests that have ended several servers come to several entries at once. If they ran beside each other, one that crashes
// servers could make a sound one look like the cause, and each would end a server before the first end is known.
func TestSuspectsOfAServiceRunOneAtATime(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var open, most int
	var ran sync.Map
	backend := newTestBackend(t, "slow", func(conn net.Conn, request receivedRequest) bool {
		if request.body != "" {
			ran.Store(request.header.Get("X-Request"), true)
			mu.Lock()
			open++
			most = max(most, open)
			mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			mu.Lock()
			open--
			mu.Unlock()
		}
		return writeResponse(conn, request, http.StatusOK, "done")
	})
	store := newTestStore(backend)
	entries, _ := startEntries(t, store, 24, 3)
	entries[0].awaitPeers(2)
	entries[1].awaitPeers(2)
	entries[2].awaitPeers(2)
	for _, entry := range entries {
		for body := range 3 {
			entry.suspectRequest("/lookup/x", fmt.Sprint("suspect-", body))
		}
	}
	var served, refused atomic.Int32
	var requests sync.WaitGroup
	for i := range 9 {
		requests.Go(func() {
			id := fmt.Sprint("suspect-request-", i)
			got := entries[i%3].request(context.Background(), http.MethodPost, "/lookup/x", fmt.Sprint("suspect-", i/3), "X-Request", id)
			switch got.status {
			case http.StatusOK:
				served.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
				qt.Check(t, got.body, qt.Equals, "not-run: "+string(outcome.CauseOnTrial)+"\n")
				qt.Check(t, got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
				_, hasRun := ran.Load(id)
				qt.Check(t, hasRun, qt.IsFalse)
			default:
				t.Errorf("status %d: %s", got.status, got.body)
			}
		})
	}
	requests.Wait()
	t.Logf("%d served, %d refused, %d at a time", served.Load(), refused.Load(), most)
	qt.Check(t, most, qt.Equals, 1)
	qt.Check(t, served.Load() > 0, qt.IsTrue)
}

// The entries that own a service do not answer, since they have ended or are cut off. A request that may be sound must not be
// refused for it.
func TestSuspectIsServedAlthoughOwnersAreSilent(t *testing.T) {
	t.Parallel()
	backend := newTestBackend(t, "sound", func(conn net.Conn, request receivedRequest) bool {
		return writeResponse(conn, request, http.StatusOK, "done")
	})
	g := newTestGateway(t, backend)
	g.awaitService()
	g.gateway.enqueue(func(now time.Time) {
		for i := range 6 {
			g.gateway.peerDirectory.recordHeard(now, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 25, byte(i + 1)}), 1), now)
		}
	})
	g.suspectRequest("/lookup/x", "suspect")
	got := g.post("/lookup/x", "suspect")
	g.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
}

// awaitPeers waits until the entry knows the given number of others.
func (g *testGateway) awaitPeers(count int) {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		known := make(chan int)
		g.gateway.enqueue(func(time.Time) { known <- len(g.gateway.peerDirectory.others()) })
		if <-known >= count {
			return
		}
	}
	g.c.Fatalf("fewer than %d other entries are known", count)
}
