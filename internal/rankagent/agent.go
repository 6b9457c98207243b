// Package rankagent does the I/O of an agent that runs beside one rank of a lock-step group. The agent polls the
// status and the expert counts of its rank, executes the leader's orders at its engine, and leads the group while it
// is elected. Elections and rollouts are decided by expert.LockstepLeader. A rollout switches the group to a new expert
// map (map for short), which says which experts each rank holds.
package rankagent

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/node"
	"github.com/bramleyspool/bramleyspool/internal/routing"
	"github.com/bramleyspool/bramleyspool/internal/settings"
	"github.com/bramleyspool/bramleyspool/internal/source"
)

// Engine is a client of one rank's engine. It must be safe for concurrent use.
type Engine interface {
	// Status returns the rank's status, or false if the engine belongs to no group.
	Status(ctx context.Context) (expert.RankStatus, bool, error)
	// Choices returns how often the rank's requests have selected each expert since the rank started, layer by layer,
	// and the group's epoch in which they were counted.
	Choices(ctx context.Context) (counts []uint64, epoch uint64, err error)
	// Experts returns the experts that the rank holds under the map in use, indexed by layer.
	Experts(ctx context.Context) ([][]expert.Expert, error)
	// Order sends an order once, without retries.
	Order(ctx context.Context, order expert.LockstepOrder) (expert.LockstepResult, error)
}

// Intervals, timeouts and limits of an agent.
const (
	// leaderTickInterval is the interval at which the leader's timeouts are checked.
	leaderTickInterval = 100 * time.Millisecond
	// urgentTickInterval replaces leaderTickInterval while a hold order may keep the group from beginning its next pass.
	urgentTickInterval = 12 * time.Millisecond
	// engineTimeout is the timeout of calls to an engine that read its state.
	engineTimeout = 400 * time.Millisecond
	// orderTimeout is the timeout of an order to an engine. Engines answer in a few milliseconds, and the whole group
	// may wait at a hold until the order has been retried.
	orderTimeout = 40 * time.Millisecond
	// listInterval is the interval at which the list of backend servers is read for newEpochTime after the start of the
	// process and after each change of the group's epoch. The list contains the addresses of the group's ranks. A rank that
	// is replaced starts a new epoch; settledListInterval is for changes without one, of which none are known.
	listInterval        = 4 * time.Second
	newEpochTime        = 10 * time.Second
	settledListInterval = 20 * time.Second
	// initialListInterval replaces listInterval until all ranks of the group are listed.
	initialListInterval = 500 * time.Millisecond
	// eventQueueLength is the number of events that the control thread's queue holds; further events are dropped.
	eventQueueLength = 1024
	// relayedOrderAttempts is the number of times that an agent gives a relayed order to its engine before it replies that
	// the engine does not answer. The leader would have to send the whole map again.
	relayedOrderAttempts = 3
)

// Config holds the settings and dependencies of an agent.
type Config struct {
	Settings settings.Direct
	Store    source.Store
	// Dial returns a client of the engine at an address (host:port).
	Dial    func(address string) Engine
	Log     *logrus.Entry
	Metrics *node.Metrics
}

// Agent is an agent process. Its state is accessed only from the goroutine of Run (the control thread), except for
// groupListed and epochAt; other goroutines send it events.
type Agent struct {
	config Config
	log    *logrus.Entry
	scope  tally.Scope
	engine Engine
	socket *datagram.Socket
	events chan func(now time.Time)
	// pollRequests makes poll read the engine's status immediately after an order. The value is the version that the
	// order prepares; 0 for other orders.
	pollRequests chan uint64

	follower *source.Follower
	listing  *membership.Listing
	table    *routing.Table
	self     membership.ListedBackend
	// ranks are the listed backend servers of the group.
	ranks         map[ident.Rank]membership.ListedBackend
	engineClients map[string]Engine

	status    expert.RankStatus
	hasStatus bool
	choices   choiceCounter
	reports   reportSchedule
	relays    expert.RelayFilter
	leader    *expert.LockstepLeader
	// leaderRank is the rank of the group's leader as announced by beacons; -1 before the first beacon.
	leaderRank ident.Rank
	group      *groupState
	storeDown  bool
	// storeEra is the store's era at the last reading; 0 before the first.
	storeEra uint64
	// groupListed is true while all ranks of the group are listed.
	groupListed atomic.Bool
	// epochAt is the time at which the group's epoch last changed, in nanoseconds of monotonicTime.
	epochAt atomic.Int64
}

// New returns an agent that starts when Run is called.
func New(config Config) *Agent {
	return &Agent{
		config: config, log: config.Log, scope: config.Metrics.Scope,
		engine:       config.Dial(config.Settings.BackendAddress),
		events:       make(chan func(time.Time), eventQueueLength),
		pollRequests: make(chan uint64, 1),
		listing:      membership.NewListing(), ranks: map[ident.Rank]membership.ListedBackend{},
		engineClients: map[string]Engine{}, leaderRank: -1,
	}
}

// Run runs the agent until stop is closed or receives a value, or the context ends. It returns an error only if the
// agent's UDP address can't be bound.
func (a *Agent) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	socket, err := datagram.Listen(a.config.Settings.IP, a.config.Settings.PeerPort, a.reportMessageError)
	if err != nil {
		return oops.In("agent").Wrap(err)
	}
	a.socket = socket
	go socket.Receive(ctx, func(received datagram.Received) {
		a.post(func(now time.Time) { a.handleMessage(ctx, now, received) })
	})
	a.follower = source.NewFollower(a.config.Store, a, monotonicTime)
	go a.follower.Poll(ctx, a.nextListInterval)
	go a.poll(ctx)
	a.log.WithFields(logrus.Fields{"backend": a.config.Settings.BackendAddress, "peers": socket.Address()}).Info("process-started")
	timer := time.NewTimer(leaderTickInterval)
	defer timer.Stop()
	urgent := false
	for {
		select {
		case event := <-a.events:
			event(time.Now())
		case now := <-timer.C:
			a.tick(ctx, now)
			timer.Reset(a.tickInterval())
		case <-stop:
			a.log.Info("stop-ended")
			return nil
		case <-ctx.Done():
			return nil
		}
		wasUrgent := urgent
		if urgent = a.tickInterval() == urgentTickInterval; urgent && !wasUrgent {
			timer.Reset(urgentTickInterval)
		}
	}
}

func (a *Agent) tickInterval() time.Duration {
	if a.leader != nil && a.leader.Urgent() {
		return urgentTickInterval
	}
	return leaderTickInterval
}

var processStart = time.Now()

func monotonicTime() time.Duration { return time.Since(processStart) }

// post queues an event for the control thread. It drops the event if the queue is full.
func (a *Agent) post(event func(now time.Time)) {
	select {
	case a.events <- event:
	default:
		a.scope.Counter("control_queue_full").Inc(1)
	}
}

// reportMessageError logs a datagram that could not be received, decoded or sent.
func (a *Agent) reportMessageError(err error) {
	a.scope.Counter("message_fault").Inc(1)
	a.log.WithError(err).Warn("message-fault")
}

// Replaced handles the complete state of the store: the configuration and the list of backend servers. It implements
// source.Handler, as do Changed, CurrentAsOf and Failed.
func (a *Agent) Replaced(state source.State) {
	a.post(func(now time.Time) {
		a.markStoreAvailable(now)
		if state.Era < a.storeEra {
			return // a late answer of an earlier era
		}
		if a.storeEra > 0 && state.Era > a.storeEra {
			a.listing.Restored(now)
			a.log.WithFields(logrus.Fields{"era": state.Era, "earlier_era": a.storeEra}).Warn("store-restored")
		}
		a.storeEra = state.Era
		a.updateTable(state.Table)
		if a.listing.Replace(now, state.Backends) {
			a.updateGroup()
		}
	})
}

// Changed is never called, because an agent polls the store instead of watching it.
func (a *Agent) Changed(source.Changes) {}

// nextListInterval returns the time until the list is read again. The goroutine that polls the store calls it.
func (a *Agent) nextListInterval() time.Duration {
	switch {
	case !a.groupListed.Load():
		return initialListInterval
	case monotonicTime()-time.Duration(a.epochAt.Load()) < newEpochTime:
		return listInterval
	}
	return settledListInterval
}

// CurrentAsOf does nothing. It reports how recent the configuration is, which matters only for credentials, and an agent
// holds none.
func (a *Agent) CurrentAsOf(time.Duration) {}

// Failed handles the error of a call to the store. waited is how long the call had waited if it received no answer,
// and 0 otherwise.
func (a *Agent) Failed(err error, waited time.Duration) {
	a.post(func(now time.Time) {
		a.listing.Failed(now, waited)
		if !a.storeDown {
			a.storeDown = true
			a.log.WithError(err).Warn("store-lost")
		}
	})
}

func (a *Agent) markStoreAvailable(now time.Time) {
	a.listing.Answered(now)
	if a.storeDown {
		a.storeDown = false
		a.log.Info("store-regained")
	}
}

func (a *Agent) updateTable(table *routing.Table) {
	if table == nil || a.table != nil && a.table.Version >= table.Version {
		return
	}
	a.table = table
	a.log.WithField("version", table.Version).Info("configuration-in-force")
}

// updateGroup finds the agent's own backend server and the ranks of its group in the list of backend servers.
func (a *Agent) updateGroup() {
	clear(a.ranks)
	backends := membership.LatestPerAddress(a.listing.Backends(), func(service ident.Service) bool {
		return a.table != nil && a.table.Service(service) != nil
	})
	for _, backend := range backends {
		if backend.Address == a.config.Settings.BackendAddress {
			a.self = backend
		}
	}
	for _, backend := range backends {
		if a.self.Group != "" && backend.Group == a.self.Group {
			a.ranks[backend.Rank] = backend
		}
	}
	a.groupListed.Store(a.self.GroupSize > 0 && len(a.ranks) == a.self.GroupSize)
	a.log.WithFields(logrus.Fields{"group": a.self.Group, "rank": a.self.Rank, "ranks": len(a.ranks)}).Info("backends-listed")
}

// agentAddress returns the address of a rank's agent, or false if the rank is not listed or its address is invalid.
func (a *Agent) agentAddress(rank ident.Rank) (netip.AddrPort, bool) {
	backend, ok := a.ranks[rank]
	if !ok {
		return netip.AddrPort{}, false
	}
	host, _, err := net.SplitHostPort(backend.Address)
	if err != nil {
		return netip.AddrPort{}, false
	}
	ip, err := netip.ParseAddr(host)
	return netip.AddrPortFrom(ip, uint16(a.config.Settings.PeerPort)), err == nil
}

func (a *Agent) readStatus(ctx context.Context) (expert.RankStatus, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return a.engine.Status(ctx)
}

// choiceReading is a reading of a rank's expert counts since its start, and the epoch in which they were counted.
type choiceReading struct {
	// counts is nil if they were not read.
	counts []uint64
	epoch  uint64
	// endsWindow is true if the counts since the previous reading are to be reported.
	endsWindow bool
}

// readChoices returns the rank's expert counts and their epoch. The epoch is 0 if they could not be read.
func (a *Agent) readChoices(ctx context.Context) ([]uint64, uint64) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	counts, epoch, err := a.engine.Choices(ctx)
	if err != nil {
		a.scope.Counter("engine_failed").Inc(1)
		return nil, 0
	}
	return counts, epoch
}

// handleStatus handles the polled status and expert counts of the agent's own rank. The first status starts the
// leader election. Later ones are processed here if this agent leads, and are sent to the leader's agent otherwise.
func (a *Agent) handleStatus(ctx context.Context, now time.Time, status expert.RankStatus, reading choiceReading) {
	if !status.Valid() {
		a.scope.Counter("rank_status_implausible").Inc(1)
		return
	}
	if !a.hasStatus || a.status.Epoch != status.Epoch {
		a.epochAt.Store(int64(monotonicTime()))
		a.follower.Wake()
	}
	a.status, a.hasStatus = status, true
	if a.leader == nil {
		a.leader = expert.NewLockstepLeader(now, status.Rank, status.Size, status.Epoch, a.config.Settings.LinkRate)
	}
	report := &datagram.RankReport{Group: a.self.Group, Status: status}
	if reading.counts != nil && reading.epoch == status.Epoch {
		if counts := a.choices.delta(reading.counts, reading.epoch, a.expertLayers()); reading.endsWindow {
			report.Counts = counts
		}
	}
	if a.leader.Leading() {
		a.handleRankReport(ctx, now, report)
		return
	}
	a.perform(ctx, now, a.leader.ReceiveStatus(now, status))
	address, ok := a.agentAddress(a.leaderRank)
	if ok && a.self.Group != "" && a.reports.due(now, report, a.config.Settings.LinkRate) {
		a.socket.Send(address, datagram.Message{Rank: report})
	}
}

// expertLayers returns the dimensions of the service's expert layers. They are zero before a configuration with the
// service has been received.
func (a *Agent) expertLayers() routing.ExpertLayers {
	if engine := a.engineModel(); engine != nil {
		return engine.Experts
	}
	return routing.ExpertLayers{}
}

// engineModel returns the model of the service's engine; nil before a configuration with the service has been received.
func (a *Agent) engineModel() *routing.EngineModel {
	if a.table == nil {
		return nil
	}
	service := a.table.Service(a.self.Service)
	if service == nil {
		return nil
	}
	return service.Engine
}

// choiceCounter converts expert counts since the rank's start into counts since the previous reading.
type choiceCounter struct {
	last  []uint64
	epoch uint64
}

// delta returns the increase of each count since the previous call, encoded by expert.ScaleCounts as one byte per
// expert with a unit per layer. It returns no layers after a restart of the rank, or if the counts don't match the
// configured dimensions.
func (c *choiceCounter) delta(counts []uint64, epoch uint64, size routing.ExpertLayers) expert.ChoiceCounts {
	var choices expert.ChoiceCounts
	restarted := c.epoch != epoch || len(c.last) != len(counts)
	if !restarted && size.Layers*size.Experts == len(counts) {
		increase := make([]uint64, size.Experts)
		for layer := range size.Layers {
			for i := range increase {
				index := layer*size.Experts + i
				increase[i] = counts[index] - min(c.last[index], counts[index])
			}
			choices.Layers = append(choices.Layers, expert.ScaleCounts(increase))
		}
	}
	c.last, c.epoch = counts, epoch
	return choices
}
