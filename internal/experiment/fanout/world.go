// Package fanout measures the distribution of configuration and the leases of backend servers. Many
// configuration nodes run in one process, on a simulated network with a simulated configuration
// service.
package fanout

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

const (
	tickInterval = 200 * time.Millisecond
	// packetOverhead is the size of the UDP, IP and QUIC headers of one datagram, in bytes.
	packetOverhead = 28 + 30
	// packetSize is the number of payload bytes of a datagram.
	packetSize = 1200
)

// fleetSize is the number of entries, agents and regions of a fleet.
type fleetSize struct {
	Entries int
	Agents  int
	Regions int
	// Zones is the number of zones per region.
	Zones int
}

func (s fleetSize) String() string {
	return fmt.Sprintf("%d+%d", s.Entries, s.Agents)
}

// process is a VM with its configuration node.
type process struct {
	index  int
	vm     ident.VM
	zone   ident.Zone
	region int
	node   *membership.ConfigNode
	// incarnation counts the starts of the process; messages to earlier incarnations are lost.
	incarnation int
	running     bool
	paused      bool
	// highest is the highest version that was ever in force on the VM, across restarts.
	highest template.Version
	// inForce is the version in force in this incarnation; 0 for none.
	inForce  template.Version
	ready    bool
	startAt  time.Time
	readyAt  time.Time
	sent     traffic
	received traffic
}

// traffic counts messages and bytes.
type traffic struct {
	messages int
	bytes    int
	// packets is the number of datagrams; each adds packetOverhead bytes.
	packets int
}

func (t *traffic) add(bytes int) {
	t.messages++
	t.bytes += bytes
	t.packets += (bytes + packetSize - 1) / packetSize
}

// event is an action scheduled for a time; seq orders events of the same time.
type event struct {
	at     time.Time
	seq    int
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return item
}

// world is a discrete-event simulation of a fleet of configuration nodes, its network and its
// configuration service.
type world struct {
	now       time.Time
	startedAt time.Time
	queue     eventQueue
	seq       int
	random    *rand.Rand
	seed      uint64
	processes []*process
	byVM      map[ident.VM]*process
	peers     []membership.Peer
	service   *service
	layout    membership.Layout
	// loss is the probability that a message is lost.
	loss float64
	// blocked reports whether messages between two processes are lost; nil if none are.
	blocked func(from, to *process) bool
	// reverted counts the cases in which a process put a version in force that is older than one that
	// was in force on its VM before.
	reverted int
	// refused counts the values that processes refused.
	refused int
	// inForceAt holds, by version and process index, the time when the version came into force; zero if
	// it did not.
	inForceAt map[template.Version][]time.Time
}

func newWorld(fleet fleetSize, seed uint64, layout membership.Layout, fragments, fragmentSize int) *world {
	w := &world{
		now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random:    rand.New(rand.NewPCG(seed, 1)),
		seed:      seed,
		byVM:      map[ident.VM]*process{},
		layout:    layout,
		loss:      0.002,
		inForceAt: map[template.Version][]time.Time{},
	}
	w.startedAt = w.now
	w.service = newService(w, fragments, fragmentSize)
	for i := range fleet.Entries + fleet.Agents {
		kind := "entry"
		if i >= fleet.Entries {
			kind = "agent"
		}
		region := i % fleet.Regions
		zone := i / fleet.Regions % fleet.Zones
		p := &process{index: i, vm: ident.VM(fmt.Sprintf("%s-%04d", kind, i)), region: region, zone: ident.Zone(fmt.Sprintf("r%d-z%d", region, zone))}
		w.processes = append(w.processes, p)
		w.byVM[p.vm] = p
		w.peers = append(w.peers, membership.Peer{VM: p.vm, Zone: p.zone, Agent: i >= fleet.Entries})
	}
	return w
}

// after schedules an action after the duration d.
func (w *world) after(d time.Duration, what func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, action: what})
}

// run executes the scheduled events of the next duration d.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.action()
	}
	w.now = end
}

// start starts or restarts a process, which keeps no state of earlier incarnations.
func (w *world) start(p *process) {
	p.incarnation++
	p.running, p.paused, p.ready = true, false, false
	p.inForce = 0
	p.startAt = w.now
	p.node = membership.NewConfigNode(membership.ConfigSettings{
		Self:   p.vm,
		Zone:   p.zone,
		Agent:  w.isAgent(p),
		Key:    mainKey,
		Layout: w.layout,
		Accept: accept,
		Seed:   w.seed*1000003 + uint64(p.index)*31 + uint64(p.incarnation),
	})
	w.step(p, membership.PeersChanged{Peers: w.peers})
	w.scheduleTick(p, time.Duration(w.random.Int64N(int64(tickInterval))))
}

func (w *world) isAgent(p *process) bool {
	return w.peers[p.index].Agent
}

func (w *world) startAll() {
	for _, p := range w.processes {
		w.start(p)
	}
}

func (w *world) kill(p *process) {
	p.running = false
}

func (w *world) scheduleTick(p *process, d time.Duration) {
	incarnation := p.incarnation
	w.after(d, func() {
		if p.incarnation != incarnation || !p.running {
			return
		}
		if !p.paused {
			w.step(p, membership.ConfigTick{})
		}
		w.scheduleTick(p, tickInterval)
	})
}

// step passes an event to a process and executes the resulting actions.
func (w *world) step(p *process, event membership.ConfigEvent) {
	for _, action := range p.node.Step(w.now, event) {
		switch action := action.(type) {
		case membership.SendConfig:
			w.transmit(p, w.byVM[action.To], action.Message)
		case membership.CallService:
			w.service.call(p, action.Call)
		case membership.PutInForce:
			w.putInForce(p, action.Stamp.Version)
		case membership.ReportRefused:
			w.refused++
		case membership.ReadinessChanged:
			p.ready = action.Ready
			if action.Ready {
				p.readyAt = w.now
			}
		}
	}
}

func (w *world) putInForce(p *process, version template.Version) {
	if version < p.highest {
		w.reverted++
	}
	p.highest = max(p.highest, version)
	p.inForce = version
	if w.inForceAt[version] == nil {
		w.inForceAt[version] = make([]time.Time, len(w.processes))
	}
	if w.inForceAt[version][p.index].IsZero() {
		w.inForceAt[version][p.index] = w.now
	}
}

// transmit sends a message. It is lost at random, if the link is blocked, or if the target is paused,
// stopped or restarted before it arrives.
func (w *world) transmit(from, to *process, message membership.ConfigMessage) {
	bytes := sizeOf(message)
	from.sent.add(bytes)
	if w.random.Float64() < w.loss || w.blocked != nil && w.blocked(from, to) {
		return
	}
	incarnation := to.incarnation
	w.after(w.delay(from, to, bytes), func() {
		if to.running && to.incarnation == incarnation && !to.paused {
			to.received.add(bytes)
			w.step(to, membership.ConfigReceived{From: from.vm, Message: message})
		}
	})
}

// delay returns the network delay of a message: 1 ms within a region or 60 ms between regions, plus
// jitter and the transmission time at 100 Mbit/s.
func (w *world) delay(from, to *process, bytes int) time.Duration {
	base := time.Millisecond
	if from.region != to.region {
		base = 60 * time.Millisecond
	}
	jitter := time.Duration(w.random.ExpFloat64() * float64(base) / 4)
	return base + jitter + time.Duration(bytes)*80*time.Nanosecond
}

// converged reports whether all running processes that are not paused have at least the version in force.
func (w *world) converged(version template.Version) bool {
	for _, p := range w.processes {
		if p.running && !p.paused && p.inForce < version {
			return false
		}
	}
	return true
}

func (w *world) resetTraffic() {
	for _, p := range w.processes {
		p.sent, p.received = traffic{}, traffic{}
	}
}
