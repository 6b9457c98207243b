// Package gateway does the I/O of an entry that sends requests directly to backend servers: it serves callers, follows
// the platform's store and receives the load reports of group leaders. control.Dispatcher decides what is done with
// each request.
package gateway

import (
	"context"
	"errors"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/callerconn"
	"github.com/bramleyspool/bramleyspool/internal/callermem"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/node"
	"github.com/bramleyspool/bramleyspool/internal/routing"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/source"
)

// Times and limits of the gateway.
const (
	// tickInterval is the interval at which the control thread (the goroutine of Gateway.loop) does its periodic work.
	// Calls that wait for a backend server also have timers of their own.
	tickInterval = 200 * time.Millisecond
	// revocationMargin is subtracted from the bound on the use of revoked credentials. It is a tenth of the usual 5 s
	// and covers a process that is paused between reading the clock and sending the first byte.
	revocationMargin = 500 * time.Millisecond
	// storeWatchWait is how long a watch of the store waits for changes.
	storeWatchWait = 10 * time.Second
	// revisionCheckInterval is the interval of the checks that no change of the store is missing. An entry that loses
	// the store must keep serving for three fifths of the bound on revoked credentials (3 of 5 s). A check is valid for
	// 4.5 s, so the last one must be at most 1.5 s old when the store is lost.
	revisionCheckInterval = 1200 * time.Millisecond
	// minSharedValidity is the shortest time for which a check may be valid if another entry reads the revision: two intervals
	// with the longest wait for its answer.
	minSharedValidity = 2 * (revisionCheckInterval + sharedRevisionTimeout)
	// storeBatchDelay is the pause after changes of the store, which grows to maxStoreBatchDelay while changes keep
	// coming. Both are short because a configuration must be in force within 2 s.
	storeBatchDelay    = 100 * time.Millisecond
	maxStoreBatchDelay = 400 * time.Millisecond
	// idleStoreBatchDelay replaces maxStoreBatchDelay while there are no calls, for example while all backend servers start.
	idleStoreBatchDelay = time.Second
	// idleRevisionCheckInterval replaces revisionCheckInterval while there are no calls. It is below the 4.5 s for
	// which a check is valid, so that the first call is served.
	idleRevisionCheckInterval = 3 * time.Second
	// idleAfter is the time without calls after which an entry counts as idle.
	idleAfter = 3 * time.Second
	// startDoubt is the time after the start in which credentials are not accepted while another entry has a newer
	// configuration in force. Later, an entry may have heard of a change before it gets the change itself.
	startDoubt = 10 * time.Second
	// joinWait is how long an entry that has just started waits for a message from another one before it accepts credentials.
	joinWait = 150 * time.Millisecond
	// headerTimeout and idleTimeout bound reading a request's header and the idle time of a caller's connection while no configuration is
	// known. Configurations set about 3 and 15 s.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// headerTimeFactor is how much longer than the configuration allows a header may take here: a lost packet is sent again after up to a
	// second or two, and callers count from their own first byte.
	headerTimeFactor = 2
	// maxCheckConnections bounds the connections to the address for readiness checks, which only the load balancer uses.
	maxCheckConnections = 32
	// maxHeaderBytes bounds how much of a header is read before the configuration's own limit is applied. Deployments
	// set 16 KiB.
	maxHeaderBytes = 64 << 10
)

// Config holds the settings and dependencies of a gateway.
type Config struct {
	Settings settings.Direct
	Headers  Headers
	Store    source.Store
	Log      *logrus.Entry
	Metrics  *node.Metrics
	// Callers and Checks are open listeners for callers and for readiness checks; nil to listen at the addresses of the
	// settings. Processes that are started together need them, since a free port may be taken before its use.
	Callers, Checks net.Listener
}

// Gateway is an entry process that sends requests directly to backend servers.
type Gateway struct {
	config   Config
	metrics  metrics
	log      *logrus.Entry
	loop     *node.Loop[func(now time.Time)]
	follower *source.Follower
	pool     *connPool
	prober   *prober
	// statements has what backend servers say about themselves in their responses.
	statements *statementTable
	// survivors has the requests that were served recently. survivingTraits has their prompt parts that others may share, and
	// while crashesKnown is true the fingerprints of the requests.
	survivors, survivingTraits *survivorTable
	account                    *callAccount
	// callers and checks have the connections of callers and those for readiness checks.
	callers, checks *callerconn.Table
	socket          *datagram.Socket
	headers         Headers

	table atomic.Pointer[routing.Table]
	// storeVersion is the version of the configuration that the store holds, heardVersion the greatest that another entry
	// has in force; 0 for none.
	storeVersion, heardVersion atomic.Uint64
	// startedAt is the start of the process, as read from bootTime.
	startedAt time.Duration
	// storeEra is the store's era at the last read of the whole state. Only the follower's goroutine uses it.
	storeEra      uint64
	storeEraKnown bool

	mu        sync.Mutex
	freshness membership.Freshness
	// stopPlan is nil until a planned stop begins.
	stopPlan atomic.Pointer[stopPlan]
	// callsContext ends when a planned stop ends the calls that are still open.
	callsContext context.Context
	endCalls     context.CancelFunc
	callCounter  atomic.Uint64
	openCalls    atomic.Int64
	// memory accounts for the bodies of requests and buffered responses.
	memory *callermem.Account
	// lastCallAt is the arrival time of the last call, as read from bootTime.
	lastCallAt atomic.Int64
	// hasBackends is true if at least one listed backend server is not leaving.
	hasBackends atomic.Bool
	// runningStreams has the streams that another backend server may continue.
	runningStreams streamTable
	// crashesKnown is true while the control thread knows of requests that may have crashed a backend server.
	crashesKnown atomic.Bool
	// progress maps each group to its *groupProgress.
	progress sync.Map

	// evacuations has the evacuated availability zones.
	evacuations evacuationTable

	// The control thread owns the fields below.
	dispatcher *control.Dispatcher
	passModes  passModes
	listing    *membership.Listing
	// pending has the channels of the calls that wait for an assignment, by call key.
	pending map[uint64]chan control.Assignment
	leaders *leaderDirectory
	// peers are the entries subscribed to the group that reported last, including this one. An entry subscribes to all
	// listed groups, so the subscribers of any group are the entries to notify of prompts.
	peers []netip.AddrPort
	// peerDirectory has the entries with which knowledge of crash requests is exchanged. Unlike peers, it does not depend on
	// model groups.
	peerDirectory *peerDirectory
	// revisionBatch has other entries' queries for the store's revision, revisionReaders the choice of the entry that reads
	// it for this one, and pendingRevision the query to it; nil for none.
	revisionBatch    membership.RevisionBatch[revisionQuery]
	revisionReaders  *membership.RevisionReaders
	pendingRevision  *pendingRevision
	revisionSequence uint64
	// trials has the trial runs that this entry permits as the owner of their services, pendingTrials the runs of this entry for
	// which it has asked an owner, by number.
	trials        *attempt.TrialRuns
	pendingTrials map[uint64]pendingTrial
	trialNumber   uint64
	repeatReports repeatReports
	// restoredAt is when the last restore of the store from an older copy was noticed.
	restoredAt time.Time
	// crashNewsPlanned is true while a call of sendCrashNews is planned.
	crashNewsPlanned bool
	storeDown        bool
	// appliedEvacuation is the list of evacuated zones that the dispatcher has.
	appliedEvacuation *[]ident.Zone
}

// New returns a gateway that Run starts.
func New(config Config) *Gateway {
	bounds := config.Settings.Bounds
	repeats := attempt.RepeatConfig{Share: bounds.RepeatShare, Fixed: bounds.RepeatFixed, Window: bounds.RepeatWindow}
	if !config.Settings.FirstStart {
		repeats.Started = time.Now()
	}
	g := &Gateway{
		config: config, headers: config.Headers, log: config.Log,
		metrics:    newMetrics(config.Metrics.Scope),
		dispatcher: control.NewDispatcher(config.Settings.Zone, rand.Uint64(), repeats),
		listing:    membership.NewListing(),
		pending:    map[uint64]chan control.Assignment{},
		leaders:    newLeaderDirectory(),
		trials:     attempt.NewTrialRuns(trialSettleTime), pendingTrials: map[uint64]pendingTrial{},
		trialNumber: rand.Uint64(),
	}
	g.dispatcher.ConfigureCold(bounds.ColdFactor, bounds.ColdExtra)
	g.pool = newConnPool(g.metrics.connectionOpened)
	g.statements, g.account = newStatementTable(), newCallAccount()
	g.prober, g.survivors, g.survivingTraits = newProber(), newSurvivorTable(), newSurvivorTable()
	g.memory = callermem.NewAccount(config.Settings.MemoryLimit)
	descriptors := callermem.Descriptors(config.Settings.MaxDescriptors)
	g.callers = callerconn.NewTable(callerconn.Config{
		MaxConnections: callermem.MaxConnections(config.Settings.MemoryLimit, descriptors),
		Memory:         g.memory, OnDropped: g.recordDropped, Refusal: connectionRefusal(),
	})
	g.checks = callerconn.NewTable(callerconn.Config{MaxConnections: maxCheckConnections, Memory: g.memory, OnDropped: func(*callerconn.Conn) {}})
	g.callsContext, g.endCalls = context.WithCancel(context.Background())
	g.startedAt = bootTime()
	g.evacuations.aliveAt.Store(int64(g.startedAt))
	g.follower = source.NewFollower(sharingStore{Store: config.Store, gateway: g}, g, bootTime)
	if bounds.Revocation-revocationMargin >= minSharedValidity {
		g.follower.SharedRevision = g.sharedRevision
	}
	g.loop = node.NewLoop(tickInterval, func(now time.Time, event func(time.Time)) { event(now) }, g.tick)
	return g
}

// bootTime reads CLOCK_BOOTTIME, which keeps running while the machine is suspended.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("invariant: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}

// Run serves until a planned stop is requested and complete, or the context ends.
func (g *Gateway) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	socket, err := datagram.Listen(g.config.Settings.IP, g.config.Settings.PeerPort, g.logMessageError)
	if err != nil {
		return oops.In("gateway").Wrap(err)
	}
	g.socket = socket
	g.revisionReaders = membership.NewRevisionReaders(socket.Address())
	g.peerDirectory = newPeerDirectory(time.Now(), socket.Address(), g.config.Settings.Seeds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	g.peerDirectory.firstStart = g.config.Settings.FirstStart
	g.dispatcher.SetSenders(time.Now(), g.peerDirectory.senders(time.Now()))
	callers, err := listenUnlessOpen(g.config.Callers, g.config.Settings.CallersAddress)
	if err != nil {
		return oops.In("gateway").Wrapf(err, "listen for callers")
	}
	checks, err := listenUnlessOpen(g.config.Checks, g.config.Settings.ReadyAddress)
	if err != nil {
		return oops.In("gateway").Wrapf(err, "listen for readiness checks")
	}
	go g.loop.Run(ctx)
	go socket.Receive(ctx, g.handleMessage)
	// Other entries answer before the first calls, so that a restarted entry refuses what they refuse.
	g.enqueue(g.sendHellos)
	follower := g.follower
	follower.Wait, follower.BatchDelay, follower.MaxBatchDelay = storeWatchWait, storeBatchDelay, maxStoreBatchDelay
	follower.IdleMaxBatchDelay = idleStoreBatchDelay
	follower.RevisionCheckInterval, follower.IdleRevisionCheckInterval, follower.Idle = revisionCheckInterval, idleRevisionCheckInterval, g.idle
	go follower.Run(ctx)
	readiness := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	server := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       stdlog.New(serverLog{g}, "", 0),
	}
	tracked, err := g.callers.Track(server, callers)
	if err != nil {
		g.log.WithError(err).Warn("callers-buffers-not-bounded")
	}
	failed := make(chan error, 2)
	trackedChecks, err := g.checks.Track(readiness, checks)
	if err != nil {
		g.log.WithError(err).Warn("check-buffers-not-bounded")
	}
	go func() { failed <- readiness.Serve(trackedChecks) }()
	go func() { failed <- server.Serve(tracked) }()
	g.log.WithFields(logrus.Fields{"callers": callers.Addr(), "ready": checks.Addr(), "peers": socket.Address()}).Info("process-started")
	select {
	case err := <-failed:
		return oops.In("gateway").Wrap(err)
	case <-ctx.Done():
	case <-stop:
		g.stop(ctx, callers)
	}
	err = server.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil // The stop has closed the listener, and Serve has not returned yet.
	}
	return errors.Join(err, readiness.Close())
}

// serverLog logs and counts what net/http reports about the connections of callers.
type serverLog struct{ gateway *Gateway }

func (l serverLog) Write(line []byte) (int, error) {
	l.gateway.metrics.count("caller_connection_errors")
	l.gateway.log.WithField("error", strings.TrimSpace(string(line))).Warn("caller-connection-error")
	return len(line), nil
}

// listenUnlessOpen returns the open listener, or a new one at the address if there is none.
func listenUnlessOpen(open net.Listener, address string) (net.Listener, error) {
	if open != nil {
		return open, nil
	}
	return net.Listen("tcp", address)
}

// serveReady responds to readiness checks of the load balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	g.checks.RecordRequest(r)
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the entry can serve new callers: its configuration is current enough to check credentials, and
// it has backend servers.
func (g *Gateway) ready() bool {
	return !g.stopping() && g.table.Load() != nil && g.hasBackends.Load() && g.credentialsCurrent() && g.evacuationSettled()
}

// idle reports whether there have been no calls for idleAfter.
func (g *Gateway) idle() bool {
	return g.openCalls.Load() == 0 && bootTime()-time.Duration(g.lastCallAt.Load()) > idleAfter
}

// credentialsCurrent reports whether the table in force is recent enough for its credentials to be accepted: none of
// them can have been revoked for longer than the bound. An entry that has just started may have read a copy of the store
// that is older than what other entries have in force.
func (g *Gateway) credentialsCurrent() bool {
	running := bootTime() - g.startedAt
	if g.heardVersion.Load() == 0 && len(g.config.Settings.Seeds) > 0 && running < joinWait {
		return false
	}
	if table := g.table.Load(); table != nil && table.Version < g.heardVersion.Load() && running < startDoubt {
		return false
	}
	return g.currentWithin(g.config.Settings.Bounds.Revocation - revocationMargin)
}

// currentWithin reports whether the configuration was confirmed current within the limit.
func (g *Gateway) currentWithin(limit time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.freshness.Within(bootTime(), limit)
}

// configurationAge returns the time since the configuration was last confirmed current. It returns -1 ns if it never
// was, which logs show as 0 ms.
func (g *Gateway) configurationAge() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	age, known := g.freshness.Age(bootTime())
	if !known {
		return -1
	}
	return age
}
