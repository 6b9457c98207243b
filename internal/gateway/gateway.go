// Package gateway is the I/O of an entry that sends requests straight to backend servers: it serves
// callers, follows the platform's store and hears the groups' leaders. What it does with a request
// is decided by control.Dispatcher.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/node"
	"github.com/bramleyspool/bramleyspool/internal/routing"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/source"
)

// Times and limits of the gateway.
const (
	// tickInterval is the pace of the control thread without events: what waits longer has a timer of its own.
	tickInterval = 200 * time.Millisecond
	// revocationMargin is subtracted from the bound on revoked credentials: a tenth of the usual 5 s
	// for a process that is held up between its last look at the clock and the first byte it sends.
	revocationMargin = 500 * time.Millisecond
	// storeWait is how long a watch waits for changes.
	storeWait = 10 * time.Second
	// proofInterval is how often it is proven that no change is missing. An entry that loses the store must go on
	// for three fifths of the bound on revoked credentials (3 of 5 s), so that its last proof may be this old.
	proofInterval = 1200 * time.Millisecond
	// storeSettle is the pause after changes of the store, and mostStoreSettle while they come one after the other: a
	// configuration must be in force within 2 s.
	storeSettle     = 100 * time.Millisecond
	mostStoreSettle = 400 * time.Millisecond
	// idleProofInterval is the pace of proofs while no caller asks for anything: under the 4.5 s for which a proof holds,
	// so that the first call is served.
	idleProofInterval = 3 * time.Second
	// idleAfter is the time without calls after which an entry is idle.
	idleAfter = 3 * time.Second
	// assumedEntries is the number of entries that share the fixed part of the bound on repeats. The
	// store does not list entries; deployments have up to two dozen.
	assumedEntries = 24
	// headerTimeout is over the header times that configurations set (some 3 s), which callers keep to.
	headerTimeout = 10 * time.Second
	// idleTimeout is over the idle times that configurations set (some 15 s), which callers keep to.
	idleTimeout = 60 * time.Second
	// mostHeaderBytes bounds what is read of a header before the configuration's own limit is applied; deployments set 16 KiB.
	mostHeaderBytes = 64 << 10
	// balancerLag is how long the balancer sends new connections after readiness turned false: two
	// checks that are a second apart, and one more for the connection.
	balancerLag = 2500 * time.Millisecond
	// stopReserve is the end of the time to stop that is left for closing.
	stopReserve = 500 * time.Millisecond
)

// Config is what a gateway is built from.
type Config struct {
	Settings settings.Direct
	Headers  Headers
	Store    source.Store
	Log      *logrus.Entry
	Metrics  *node.Metrics
}

// Gateway is an entry process.
type Gateway struct {
	config    Config
	metrics   metrics
	log       *logrus.Entry
	loop      *node.Loop[func(now time.Time)]
	follower  *source.Follower
	upstreams *upstreams
	socket    *datagram.Socket
	headers   Headers

	table     atomic.Pointer[routing.Table]
	mu        sync.Mutex
	freshness membership.Freshness
	stopping  atomic.Bool
	nextCall  atomic.Uint64
	openCalls atomic.Int64
	// lastCall is when the last call came, on the clock of bootTime.
	lastCall atomic.Int64
	listed   atomic.Bool
	// progress holds when each group last sent an event to one of this entry's streams.
	progress sync.Map

	// What follows belongs to the control thread.
	dispatcher *control.Dispatcher
	listing    *membership.Listing
	pending    map[uint64]chan control.Assignment
	leaders    *leaderDirectory
	// peers are the entries that a leader knows, this one among them.
	peers     []netip.AddrPort
	storeDown bool
}

// New returns a gateway.
func New(config Config) *Gateway {
	bounds := config.Settings.Bounds
	repeats := attempt.NewRepeatConfig(bounds.RepeatShare, bounds.RepeatFixed, bounds.RepeatWindow, assumedEntries)
	g := &Gateway{
		config: config, headers: config.Headers, log: config.Log,
		metrics:    newMetrics(config.Metrics.Scope),
		dispatcher: control.NewDispatcher(config.Settings.Zone, rand.Uint64(), repeats),
		listing:    membership.NewListing(),
		pending:    map[uint64]chan control.Assignment{},
		leaders:    newLeaderDirectory(),
	}
	g.upstreams = newUpstreams(g.metrics.connectionOpened)
	g.follower = source.NewFollower(config.Store, g, bootTime)
	g.loop = node.NewLoop(tickInterval, func(now time.Time, event func(time.Time)) { event(now) }, g.tick)
	return g
}

// bootTime reads the clock that goes on while the machine is suspended.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("invariant: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}

// Run serves until a stop is asked for and has ended, or the context ends.
func (g *Gateway) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	socket, err := datagram.Listen(g.config.Settings.IP, g.config.Settings.PeerPort, g.messageFault)
	if err != nil {
		return oops.In("gateway").Wrap(err)
	}
	g.socket = socket
	callers, err := net.Listen("tcp", g.config.Settings.CallersAddress)
	if err != nil {
		return oops.In("gateway").Wrapf(err, "callers' interface")
	}
	checks, err := net.Listen("tcp", g.config.Settings.ReadyAddress)
	if err != nil {
		return oops.In("gateway").Wrapf(err, "readiness checks")
	}
	go g.loop.Run(ctx)
	go socket.Receive(ctx, g.received)
	follower := g.follower
	follower.Wait, follower.Settle, follower.MaxSettle = storeWait, storeSettle, mostStoreSettle
	follower.ProofInterval, follower.IdleProofInterval, follower.Idle = proofInterval, idleProofInterval, g.idle
	go follower.Run(ctx)
	readiness := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	server := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: mostHeaderBytes,
	}
	failed := make(chan error, 2)
	go func() { failed <- readiness.Serve(checks) }()
	go func() { failed <- server.Serve(callers) }()
	g.log.WithFields(logrus.Fields{"callers": callers.Addr(), "ready": checks.Addr(), "peers": socket.Address()}).Info("process-started")
	select {
	case err := <-failed:
		return oops.In("gateway").Wrap(err)
	case <-ctx.Done():
	case <-stop:
		g.drain(ctx, server)
	}
	return errors.Join(server.Close(), readiness.Close())
}

// drain ends a planned stop: readiness is false first, so that the balancer sends new connections
// elsewhere, and the listener closes when it has noticed. Calls in flight end well.
func (g *Gateway) drain(ctx context.Context, server *http.Server) {
	g.stopping.Store(true)
	g.log.WithFields(logrus.Fields{"open_calls": g.openCalls.Load(), "balancer_lag": balancerLag}).Info("stop-began")
	begun := time.Now()
	select {
	case <-time.After(balancerLag):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithDeadline(ctx, begun.Add(g.config.Settings.Bounds.Stop-stopReserve))
	defer cancel()
	err := server.Shutdown(ctx)
	entry := g.log.WithFields(logrus.Fields{"open_calls": g.openCalls.Load(), "took": time.Since(begun)})
	if err != nil {
		entry.WithError(err).Warn("stop-ended")
		return
	}
	entry.Info("stop-ended")
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the entry can serve new callers: it has a configuration that is current enough
// for requests with credentials, and it knows backend servers.
func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.table.Load() != nil && g.listed.Load() && g.credentialsCurrent()
}

// idle reports whether no caller has asked for anything lately.
func (g *Gateway) idle() bool {
	return g.openCalls.Load() == 0 && bootTime()-time.Duration(g.lastCall.Load()) > idleAfter
}

// credentialsCurrent reports whether no credential of the table in force can have been taken away
// longer ago than the bound allows.
func (g *Gateway) credentialsCurrent() bool {
	return g.currentWithin(g.config.Settings.Bounds.Revocation - revocationMargin)
}

func (g *Gateway) currentWithin(limit time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.freshness.Within(bootTime(), limit)
}

func (g *Gateway) configurationAge() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	age, known := g.freshness.Age(bootTime())
	if !known {
		return -1
	}
	return age
}
