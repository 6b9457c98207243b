package gateway

import (
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/node"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/source"
)

// newZonedStore returns a store that lists each backend in a zone of its own, named by its ID.
func newZonedStore(backends ...*testBackend) *testStore {
	store := newTestStore(backends...)
	for i := range store.state.Backends {
		store.state.Backends[i].Zone = ident.Zone(store.state.Backends[i].ID[:1])
	}
	return store
}

// slowly answers after a pause, so that requests at the same time are spread over servers.
func slowly(conn net.Conn, request receivedRequest) bool {
	time.Sleep(30 * time.Millisecond)
	return writeResponse(conn, request, http.StatusOK, "ok")
}

// withEvacuationBound sets the bound on evacuations.
func withEvacuationBound(bound time.Duration) func(*settings.Direct) {
	return func(direct *settings.Direct) { direct.Bounds.Evacuation = bound }
}

// An entry that was suspended has assigned requests to servers of a zone before it learns that the zone was evacuated. The
// requests must not be sent there, and must get other servers.
func TestSendIsWithheldAfterAnEvacuation(t *testing.T) {
	t.Parallel()
	a, b := newTestBackend(t, "a", slowly), newTestBackend(t, "b", slowly)
	store := newZonedStore(a, b)
	// No confirmation of the store is recent enough for this bound, so that the state is not current after a suspension.
	g := startTestGateway(t, store, withEvacuationBound(evacuationMargin+time.Nanosecond))
	g.awaitService()
	before := len(a.requests())
	g.gateway.evacuations.resumedAt.Store(int64(bootTime()))
	var callers sync.WaitGroup
	for range 20 {
		callers.Go(func() { g.c.Check(g.get("/lookup/x").status, qt.Equals, http.StatusOK) })
	}
	time.Sleep(resumeGrace / 4)
	waiting := make(chan int)
	g.gateway.enqueue(func(time.Time) { waiting <- len(g.gateway.pending) })
	g.c.Assert([]int64{int64(<-waiting), g.gateway.openCalls.Load()}, qt.DeepEquals, []int64{0, 20}, qt.Commentf("assigned, but not sent yet"))
	store.evacuate("a", false)
	callers.Wait()
	g.c.Assert(len(a.requests()), qt.Equals, before)
}

// A stream that runs in a zone when it is evacuated must be delivered whole by its server. One that is interrupted must be
// resumed by a server of another zone, and one without such a server must not be sent again.
func TestStreamsDuringAnEvacuation(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	broken := map[string]bool{}
	evacuated := make(chan struct{})
	stream := func(conn net.Conn, request receivedRequest) bool {
		writeStreamHead(conn, request)
		first := lastEventID(request) + 1
		writeEvent(conn, first)
		if first == 1 {
			<-evacuated
			mu.Lock()
			cut := broken[request.uri]
			mu.Unlock()
			if cut {
				return false
			}
			writeEvent(conn, 2)
		}
		writeStreamEnd(conn)
		return true
	}
	a, b := newTestBackend(t, "a", stream), newTestBackend(t, "b", stream)
	store := newZonedStore(a, b)
	store.state.Backends = store.state.Backends[:2]
	g := startTestGateway(t, store, withEvacuationBound(5*time.Second))
	for !g.gateway.ready() {
		time.Sleep(time.Millisecond)
	}
	broken["/stream/broken"] = true
	results := map[string]callerResponse{}
	var callers sync.WaitGroup
	for _, path := range []string{"/stream/sound", "/stream/broken"} {
		callers.Go(func() {
			got := g.post(path, "prompt")
			mu.Lock()
			defer mu.Unlock()
			results[path] = got
		})
	}
	time.Sleep(100 * time.Millisecond)
	store.evacuate("a", false)
	store.set(func(state *source.State) {
		state.Backends = append(state.Backends, membership.ListedBackend{ID: "b-late", Service: streamService, Address: b.listener.Addr().String(), Slots: 6, Zone: "b"})
	})
	time.Sleep(300 * time.Millisecond)
	before := len(a.requests())
	close(evacuated)
	callers.Wait()
	for path, got := range results {
		g.c.Check(got.body, qt.Equals, eventsText(1, 2), qt.Commentf("%s", path))
	}
	g.c.Check(len(a.requests()), qt.Equals, before)
	g.c.Check(before > 0, qt.IsTrue)
	store.evacuate("b", false)
	time.Sleep(300 * time.Millisecond)
	got := g.post("/stream/late", "prompt")
	g.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	g.c.Check(got.body, qt.Equals, "not-run: evacuated\n")
}

// An entry that starts must not rely on its own read of the store, which may be of an older copy, before others had time to tell it
// what they know; nor may it wait for others that do not answer. Without a bound on evacuations it must not wait at all.
func TestStartingEntryWaitsForEvacuations(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	newGateway := func(bound time.Duration) *Gateway {
		direct := settings.Direct{Seeds: []netip.Addr{netip.MustParseAddr("127.0.150.1")}, Bounds: settings.DirectBounds{Evacuation: bound}}
		metrics := node.NewMetrics("entry")
		t.Cleanup(metrics.Close)
		g := New(Config{Settings: direct, Headers: testHeaders, Store: newTestStore(), Log: logrus.NewEntry(logrus.New()), Metrics: metrics})
		g.confirmEvacuation(bootTime())
		return g
	}
	g := newGateway(5 * time.Second)
	c.Assert(g.evacuationSettled(), qt.IsFalse)
	time.Sleep(joinWait)
	c.Assert(g.evacuationSettled(), qt.IsTrue, qt.Commentf("nobody answers"))
	told := newGateway(5 * time.Second)
	told.evacuations.heardAt.Store(int64(bootTime()))
	c.Assert(told.evacuationSettled(), qt.IsTrue, qt.Commentf("another entry has told its state"))
	c.Assert(newGateway(0).evacuationSettled(), qt.IsTrue)
	// The store is away for long, and the process runs: the last state stays in force.
	away := newGateway(5 * time.Second)
	away.startedAt -= time.Minute
	away.evacuations.confirmedAt.Store(int64(bootTime() - 30*time.Second))
	away.evacuations.aliveAt.Store(int64(bootTime()))
	c.Assert(away.evacuationSettled(), qt.IsTrue)
	// It has just resumed, but its control thread has not worked yet.
	away.evacuations.aliveAt.Store(int64(bootTime() - 2*suspendedAfter))
	c.Assert(away.evacuationSettled(), qt.IsFalse)
}

// Guards against a hello with a position that the store never had, which evacuates zones, or ends an evacuation that the store shows,
// until the entry ends. The hello comes again from an entry that was not corrected yet.
func TestWrongHelloIsRefutedByTheStore(t *testing.T) {
	t.Parallel()
	for name, wrong := range map[string]datagram.Evacuation{
		"era": {Era: 1 << 50, Revision: 1}, "revision": {Revision: 1 << 50, Zones: []ident.Zone{"a", "b", "c"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newTestBackend(t, "a", slowly), newTestBackend(t, "b", slowly)
			store := newZonedStore(a, b)
			store.evacuate("a", false)
			g := startTestGateway(t, store, withEvacuationBound(5*time.Second))
			for !g.gateway.ready() {
				time.Sleep(time.Millisecond)
			}
			wrong.Era = max(wrong.Era, store.state.Era)
			hear := func() { g.gateway.enqueue(func(now time.Time) { g.gateway.recordHeardEvacuation(now, &wrong) }) }
			zones := func() []ident.Zone { return *g.gateway.evacuations.zones.Load() }
			hear()
			heard := time.Now()
			time.Sleep(50 * time.Millisecond)
			store.evacuate("c", false)
			known := func() membership.EvacuationState {
				g.gateway.evacuations.mu.Lock()
				defer g.gateway.evacuations.mu.Unlock()
				state, _ := g.gateway.evacuations.known.Current()
				return state
			}
			for known().Revision != 3 || known().Era != store.state.Era {
				if time.Since(heard) > 4500*time.Millisecond {
					t.Fatalf("the entry has %v after %s", known(), time.Since(heard))
				}
				g.c.Assert(slices.Contains(zones(), "a"), qt.IsTrue)
				time.Sleep(5 * time.Millisecond)
			}
			hear()
			time.Sleep(50 * time.Millisecond)
			g.c.Assert(known().Revision, qt.Equals, uint64(3))
			g.c.Assert(zones(), qt.DeepEquals, []ident.Zone{"a", "c"})
		})
	}
}
