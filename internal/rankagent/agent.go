// Package rankagent is the I/O of an agent beside a rank of a lock-step group: it reads the rank's state
// and choices, gives the leader's orders, and leads the group when it is its turn. What a leader does is
// decided by expert.LockstepLeader.
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

// Engine is the engine of one rank.
type Engine interface {
	// Status returns the rank's state; false for an engine outside groups.
	Status(ctx context.Context) (expert.RankStatus, bool, error)
	// Choices returns how often the rank's requests chose each expert since it started, layer after layer.
	Choices(ctx context.Context) (counts []uint64, epoch uint64, err error)
	// Experts returns the experts of the map in use at the rank, by layer.
	Experts(ctx context.Context) ([][]expert.Expert, error)
	// Order gives an order once.
	Order(ctx context.Context, order expert.LockstepOrder) (expert.LockstepResult, error)
}

// Times of an agent.
const (
	// leaderTick is the pace of a leader's timeouts.
	leaderTick = 100 * time.Millisecond
	// urgentTick is the pace while the group may be held.
	urgentTick = 12 * time.Millisecond
	// engineTimeout bounds a call on the engine of the same VM.
	engineTimeout = 400 * time.Millisecond
	// orderTimeout is how long an order may stay unanswered before it is given again. Engines answer in a few
	// milliseconds, and the whole group may be held meanwhile.
	orderTimeout = 40 * time.Millisecond
	// listInterval is how often the list of backend servers is read: an agent needs it for the addresses of its group,
	// which change when a VM is replaced.
	listInterval = 4 * time.Second
	// firstListInterval is the pace until all ranks of the group are listed.
	firstListInterval = 500 * time.Millisecond
	// queueLength is the number of events that may wait for the control thread.
	queueLength = 1024
)

// Config is what an agent is built from.
type Config struct {
	Settings settings.Direct
	Store    source.Store
	// Dial returns the engine at an address.
	Dial    func(address string) Engine
	Log     *logrus.Entry
	Metrics *node.Metrics
}

// Agent is an agent process. All its state belongs to the goroutine of Run.
type Agent struct {
	config Config
	log    *logrus.Entry
	scope  tally.Scope
	engine Engine
	socket *datagram.Socket
	events chan func(now time.Time)
	// ordered wakes the reading of the engine's state after an order, with the version that it prepares; 0 for others.
	ordered chan uint64

	listing *membership.Listing
	table   *routing.Table
	self    membership.ListedBackend
	// ranks are the listed servers of the group, by rank.
	ranks  map[ident.Rank]membership.ListedBackend
	direct map[string]Engine

	status  expert.RankStatus
	known   bool
	choices choiceCounter
	leader  *expert.LockstepLeader
	// leaderRank is the rank of the agent that was last heard to lead.
	leaderRank ident.Rank
	group      *groupView
	storeDown  bool
	// groupListed is true once all ranks of the group are listed.
	groupListed atomic.Bool
}

// New returns an agent.
func New(config Config) *Agent {
	return &Agent{
		config: config, log: config.Log, scope: config.Metrics.Scope,
		engine:  config.Dial(config.Settings.BackendAddress),
		events:  make(chan func(time.Time), queueLength),
		ordered: make(chan uint64, 1),
		listing: membership.NewListing(), ranks: map[ident.Rank]membership.ListedBackend{},
		direct: map[string]Engine{}, leaderRank: -1,
	}
}

// Run serves until a stop is asked for or the context ends.
func (a *Agent) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	socket, err := datagram.Listen(a.config.Settings.IP, a.config.Settings.PeerPort, a.messageFault)
	if err != nil {
		return oops.In("agent").Wrap(err)
	}
	a.socket = socket
	go socket.Receive(ctx, func(received datagram.Received) {
		a.post(func(now time.Time) { a.received(ctx, now, received) })
	})
	follower := source.NewFollower(a.config.Store, a, monotonicTime)
	go follower.Poll(ctx, a.listPause)
	go a.poll(ctx)
	a.log.WithFields(logrus.Fields{"backend": a.config.Settings.BackendAddress, "peers": socket.Address()}).Info("process-started")
	timer := time.NewTimer(leaderTick)
	defer timer.Stop()
	urgent := false
	for {
		select {
		case event := <-a.events:
			event(time.Now())
		case now := <-timer.C:
			a.tick(ctx, now)
			timer.Reset(a.tickPause())
		case <-stop:
			a.log.Info("stop-ended")
			return nil
		case <-ctx.Done():
			return nil
		}
		was := urgent
		if urgent = a.tickPause() == urgentTick; urgent && !was {
			timer.Reset(urgentTick)
		}
	}
}

func (a *Agent) tickPause() time.Duration {
	if a.leader != nil && a.leader.Urgent() {
		return urgentTick
	}
	return leaderTick
}

var started = time.Now()

func monotonicTime() time.Duration { return time.Since(started) }

// post hands an event to the control thread.
func (a *Agent) post(event func(now time.Time)) {
	select {
	case a.events <- event:
	default:
		a.scope.Counter("control_queue_full").Inc(1)
	}
}

func (a *Agent) messageFault(err error) {
	a.scope.Counter("message_fault").Inc(1)
	a.log.WithError(err).Warn("message-fault")
}

// Replaced takes the whole list of backend servers.
func (a *Agent) Replaced(state source.State) {
	a.post(func(now time.Time) {
		a.storeAnswered(now)
		a.configure(state.Table)
		if a.listing.Replace(now, state.Backends) {
			a.listed()
		}
	})
}

// Changed is never called: an agent polls.
func (a *Agent) Changed(source.Changes) {}

// listPause returns the pause until the list is read again.
func (a *Agent) listPause() time.Duration {
	if a.groupListed.Load() {
		return listInterval
	}
	return firstListInterval
}

// CurrentAsOf is of no use to an agent: it holds no credentials.
func (a *Agent) CurrentAsOf(time.Duration) {}

// Failed takes the error of a call on the store.
func (a *Agent) Failed(err error, silent time.Duration) {
	a.post(func(now time.Time) {
		a.listing.Failed(now, silent)
		if !a.storeDown {
			a.storeDown = true
			a.log.WithError(err).Warn("store-lost")
		}
	})
}

func (a *Agent) storeAnswered(now time.Time) {
	a.listing.Answered(now)
	if a.storeDown {
		a.storeDown = false
		a.log.Info("store-regained")
	}
}

func (a *Agent) configure(table *routing.Table) {
	if table == nil || a.table != nil && a.table.Version >= table.Version {
		return
	}
	a.table = table
	a.log.WithField("version", table.Version).Info("configuration-in-force")
}

// listed finds the agent's own backend server and the others of its group.
func (a *Agent) listed() {
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

// agentOf returns the address of a rank's agent.
func (a *Agent) agentOf(rank ident.Rank) (netip.AddrPort, bool) {
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

// readChoices returns the rank's choices and the epoch that they are of; epoch 0 if they could not be read.
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

// polled takes a reading of the rank: the leader gets it, and this agent leads from it.
func (a *Agent) polled(ctx context.Context, now time.Time, status expert.RankStatus, counts []uint64, epoch uint64) {
	a.status, a.known = status, true
	if a.leader == nil {
		a.leader = expert.NewLockstepLeader(now, status.Rank, status.Size, status.Epoch)
	}
	report := &datagram.RankReport{Group: a.self.Group, Status: status}
	if counts != nil && epoch == status.Epoch {
		report.Counts = a.choices.since(counts, epoch, a.layers())
	}
	if a.leader.Leading() {
		a.rankReported(ctx, now, report)
		return
	}
	a.perform(ctx, now, a.leader.ReceiveStatus(now, status))
	if address, ok := a.agentOf(a.leaderRank); ok && a.self.Group != "" {
		a.socket.Send(address, datagram.Message{Rank: report})
	}
}

// layers returns the size of the expert layers; false before the configuration is known.
func (a *Agent) layers() routing.ExpertLayers {
	if a.table == nil {
		return routing.ExpertLayers{}
	}
	service := a.table.Service(a.self.Service)
	if service == nil || service.Engine == nil {
		return routing.ExpertLayers{}
	}
	return service.Engine.Experts
}

// choiceCounter turns counts since the rank's start into counts since the last reading.
type choiceCounter struct {
	last  []uint64
	epoch uint64
}

func (c *choiceCounter) since(counts []uint64, epoch uint64, size routing.ExpertLayers) expert.ChoiceCounts {
	var choices expert.ChoiceCounts
	restarted := c.epoch != epoch || len(c.last) != len(counts)
	if !restarted && size.Layers*size.Experts == len(counts) {
		difference := make([]uint64, size.Experts)
		for layer := range size.Layers {
			for i := range difference {
				at := layer*size.Experts + i
				difference[i] = counts[at] - min(c.last[at], counts[at])
			}
			choices.Layers = append(choices.Layers, expert.ScaleCounts(difference))
		}
	}
	c.last, c.epoch = counts, epoch
	return choices
}
