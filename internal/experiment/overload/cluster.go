// Package overload measures the decisions of package admission under overload and faults.
package overload

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// startTime is the simulated time at which clusters start.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Cluster simulates the admission of several entries in one process: clocks differ, messages are lost,
// duplicated and reordered, and nodes pause, restart and use old rosters. It is not safe for concurrent
// use.
type Cluster struct {
	Nodes []*Node
	// Now is the simulated time, from which the clocks of the nodes may differ.
	Now time.Time
	// Loss and Duplication are the probabilities that a message is lost or duplicated.
	Loss, Duplication float64
	// MaxDelay is the longest delay of a message.
	MaxDelay time.Duration
	// Cut reports whether messages between two nodes are dropped; nil if none are.
	Cut func(from, to *Node) bool
	// OnAccept and OnEnd are called when a node admits a request and when an admitted request ends; both
	// may be nil.
	OnAccept func(node *Node, request ident.Request, tokens int)
	OnEnd    func(node *Node, request ident.Request)
	// OnRefuse is called for each refused request; it may be nil.
	OnRefuse func(node *Node, refusal admission.Refuse)
	// Messages and Bytes count the sent messages and their bytes as returned by Size. Both stay zero if
	// Size is nil.
	Messages, Bytes int
	Size            func(message any) int

	plans    []template.CustomerPlan
	settings func(self ident.Instance) admission.Settings
	slots    map[ident.Service]int
	random   *rand.Rand
	inFlight messageHeap
	requests int
	sent     uint64
}

// Node is one entry of a cluster.
type Node struct {
	VM          ident.VM
	Controller  *admission.Controller
	Coordinator *admission.LimitCoordinator
	Roster      []ident.VM
	// The node's clock is Offset ahead of the simulated time and runs at Speed times its rate.
	Offset time.Duration
	Speed  float64
	// PausedUntil is the simulated time at which a paused node resumes; it handles no events before.
	PausedUntil time.Time
	Down        bool
	Incarnation ident.Incarnation
	pending     []message
	open        map[ident.Request]openRequest
}

type openRequest struct {
	tokens      int
	serviceTime time.Duration
	endsAt      time.Time
}

type message struct {
	from, to *Node
	at       time.Time
	order    uint64
	event    any
}

// NewCluster returns a cluster of size nodes, none of which is started.
func NewCluster(size int, seed uint64, plans []template.CustomerPlan, settings func(ident.Instance) admission.Settings) *Cluster {
	c := &Cluster{
		Now: startTime, plans: plans, settings: settings, random: rand.New(rand.NewPCG(seed, uint64(size))),
		slots: make(map[ident.Service]int), MaxDelay: time.Millisecond,
	}
	for i := range size {
		c.Nodes = append(c.Nodes, &Node{VM: ident.VM(fmt.Sprintf("entry-%03d", i)), Speed: 1})
	}
	return c
}

// VMs returns the VMs of the nodes with indices i where from <= i < to.
func (c *Cluster) VMs(from, to int) []ident.VM {
	var vms []ident.VM
	for _, node := range c.Nodes[from:to] {
		vms = append(vms, node.VM)
	}
	return vms
}

// SetSlots sets the slots of a service that each node receives when it is started after this call.
func (c *Cluster) SetSlots(service ident.Service, slots int) {
	c.slots[service] = slots
}

// Start starts or restarts a node's process with a roster. The open requests of its previous
// incarnation end.
func (c *Cluster) Start(node *Node, roster []ident.VM) {
	c.Stop(node)
	node.Down = false
	node.Incarnation++
	node.PausedUntil = time.Time{}
	self := ident.Instance{VM: node.VM, Incarnation: node.Incarnation}
	node.Controller = admission.NewController(c.settings(self))
	node.Coordinator = admission.NewLimitCoordinator(c.settings(self))
	node.open = make(map[ident.Request]openRequest)
	c.Configure(node, roster)
	for service, slots := range c.slots {
		capacity := admission.Capacity{Service: service, Slots: slots}
		c.perform(node, node.Controller.Step(c.localTime(node), capacity))
	}
}

// Stop kills a node's process; its open requests end.
func (c *Cluster) Stop(node *Node) {
	for request := range node.open {
		c.notifyEnd(node, request)
	}
	node.open = nil
	node.pending = nil
	node.Down = true
}

// Configure sends a node the plans and a new roster.
func (c *Cluster) Configure(node *Node, roster []ident.VM) {
	node.Roster = roster
	configure := admission.Configure{Plans: c.plans, Roster: roster}
	c.perform(node, node.Controller.Step(c.localTime(node), configure))
	c.performCoordinator(node, node.Coordinator.Step(c.localTime(node), configure))
}

func (c *Cluster) localTime(node *Node) time.Time {
	elapsed := time.Duration(float64(c.Now.Sub(startTime)) * node.Speed)
	return startTime.Add(elapsed + node.Offset)
}

// Running reports whether the node's process runs and is not paused.
func (c *Cluster) Running(node *Node) bool {
	return !node.Down && !node.PausedUntil.After(c.Now)
}

// NextRequest returns the ID of the next offered request.
func (c *Cluster) NextRequest() ident.Request {
	return ident.Request(fmt.Sprintf("r%08d", c.requests))
}

// Offer sends a request to a node. If it is admitted, it ends after the service time. A node that is
// down or paused ignores it.
func (c *Cluster) Offer(node *Node, arrive admission.Arrive, serviceTime time.Duration) {
	if !c.Running(node) {
		return
	}
	arrive.Request = c.NextRequest()
	c.requests++
	node.open[arrive.Request] = openRequest{tokens: arrive.Tokens, serviceTime: serviceTime}
	c.perform(node, node.Controller.Step(c.localTime(node), arrive))
}

// Advance moves the simulated time forward, queues the messages that have arrived, ends requests, and
// steps all running nodes.
func (c *Cluster) Advance(step time.Duration) {
	c.Now = c.Now.Add(step)
	for len(c.inFlight) > 0 && !c.inFlight[0].at.After(c.Now) {
		m := heap.Pop(&c.inFlight).(message)
		m.to.pending = append(m.to.pending, m)
	}
	for _, node := range c.Nodes {
		c.endRequests(node)
		if c.Running(node) {
			c.stepNode(node)
		}
	}
}

// endRequests ends the requests whose service time is over. A request also ends while the entry's
// process is paused; the process handles its end when it resumes.
func (c *Cluster) endRequests(node *Node) {
	for request, open := range node.open {
		if !open.endsAt.IsZero() && !open.endsAt.After(c.Now) {
			c.notifyEnd(node, request)
			delete(node.open, request)
			done := admission.Done{Request: request, Outcome: outcome.Outcome{Kind: outcome.Served}}
			node.pending = append(node.pending, message{to: node, event: done})
		}
	}
}

func (c *Cluster) notifyEnd(node *Node, request ident.Request) {
	if c.OnEnd != nil && !node.open[request].endsAt.IsZero() {
		c.OnEnd(node, request)
	}
}

func (c *Cluster) stepNode(node *Node) {
	pending := node.pending
	node.pending = nil
	for _, m := range pending {
		c.deliver(node, m)
	}
	c.perform(node, node.Controller.Step(c.localTime(node), admission.Tick{}))
	c.performCoordinator(node, node.Coordinator.Step(c.localTime(node), admission.Tick{}))
}

func (c *Cluster) deliver(node *Node, m message) {
	now := c.localTime(node)
	switch event := m.event.(type) {
	case admission.LimitRequest:
		c.performCoordinator(node, node.Coordinator.Step(now, admission.LimitRequested{Request: event}))
	case admission.LimitGrant:
		c.perform(node, node.Controller.Step(now, admission.LimitGranted{Grant: event}))
	case admission.Done:
		c.perform(node, node.Controller.Step(now, event))
	}
}

func (c *Cluster) perform(node *Node, actions []admission.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case admission.Admit:
			open := node.open[a.Request]
			open.endsAt = c.Now.Add(open.serviceTime)
			node.open[a.Request] = open
			if c.OnAccept != nil {
				c.OnAccept(node, a.Request, open.tokens)
			}
		case admission.Refuse:
			delete(node.open, a.Request)
			if c.OnRefuse != nil {
				c.OnRefuse(node, a)
			}
		case admission.SendLimitRequest:
			c.send(node, a.To, a.Message)
		}
	}
}

func (c *Cluster) performCoordinator(node *Node, actions []admission.CoordinatorAction) {
	for _, action := range actions {
		if grant, ok := action.(admission.SendLimitGrant); ok {
			c.send(node, grant.To, grant.Message)
		}
	}
}

func (c *Cluster) send(from *Node, vm ident.VM, event any) {
	if c.Size != nil {
		c.Messages++
		c.Bytes += c.Size(event)
	}
	for _, to := range c.Nodes {
		if to.VM != vm {
			continue
		}
		cut := c.Cut != nil && from != to && c.Cut(from, to)
		if cut || to.Down || c.random.Float64() < c.Loss {
			return
		}
		c.queue(from, to, event)
		if c.random.Float64() < c.Duplication {
			c.queue(from, to, event)
		}
	}
}

func (c *Cluster) queue(from, to *Node, event any) {
	delay := time.Duration(c.random.Float64() * float64(c.MaxDelay))
	c.sent++
	heap.Push(&c.inFlight, message{from: from, to: to, at: c.Now.Add(delay), order: c.sent, event: event})
}

// messageHeap orders messages by arrival time, then by sending order.
type messageHeap []message

// Len implements heap.Interface.
func (h messageHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h messageHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h messageHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *messageHeap) Push(x any) { *h = append(*h, x.(message)) }

// Pop implements heap.Interface.
func (h *messageHeap) Pop() any {
	last := len(*h) - 1
	m := (*h)[last]
	*h = (*h)[:last]
	return m
}
