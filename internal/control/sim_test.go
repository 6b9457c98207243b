package control_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/node"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/published"
	"github.com/bramleyspool/bramleyspool/internal/template"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

const (
	messageDelay    = time.Millisecond
	serviceTime     = 5 * time.Millisecond
	watchTimeout    = 3 * time.Second
	backendCapacity = 16
	simBalancerLag  = time.Second
)

// delivery is an event that is due at a node at a time. Events due at the same time are ordered
// by sequence.
type delivery struct {
	at       time.Time
	sequence uint64
	node     *simNode
	// incarnation is the incarnation of the node that the event is for; 0 for any.
	incarnation ident.Incarnation
	event       control.Event
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].sequence < d[j].sequence
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// simNode is a process: either an entry or an agent.
type simNode struct {
	vm         ident.VM
	zone       ident.Zone
	instance   ident.Instance
	entry      *control.Entry
	agent      *control.Agent
	down       bool
	sentBytes  int64
	exitReason string
}

// sim drives the control state of a fleet with a simulated clock.
type sim struct {
	c            *qt.C
	now          time.Time
	queue        deliveries
	lastSequence uint64
	nodes        []*simNode
	byVM         map[ident.VM]*simNode
	// configuration is the published configuration, revision its revision at the configuration
	// service.
	configuration []byte
	revision      uint64
	random        *rand.Rand
	loss          float64
	codec         *wire.Codec
	// dropLeaving drops the messages by which agents announce that they leave.
	dropLeaving  bool
	runs         map[ident.Request]int
	keyRuns      map[ident.RunKey]int
	started      []startedRun
	outcomes     map[ident.Request]outcome.Outcome
	requestCount int
	// stepTime sums the processor time of the steps of entries (true) and agents (false), if it
	// is set.
	stepTime map[bool]time.Duration
}

type startedRun struct {
	at time.Time
	vm ident.VM
}

func newSim(tb testing.TB, entries, agents int, seed uint64) *sim {
	c := qt.New(tb)
	codec, err := node.NewCodec()
	c.Assert(err, qt.IsNil)
	s := &sim{
		c: c, now: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC), byVM: map[ident.VM]*simNode{}, codec: codec,
		random: rand.New(rand.NewPCG(seed, 0)), runs: map[ident.Request]int{}, keyRuns: map[ident.RunKey]int{},
		outcomes: map[ident.Request]outcome.Outcome{},
	}
	s.publish(configuration(s.now.Add(time.Second), entries, agents))
	for i := range entries {
		s.add(entryVM(i), zoneOf(i), true)
	}
	for i := range agents {
		s.add(agentVM(i), zoneOf(i), false)
	}
	for _, n := range s.nodes {
		s.boot(n)
	}
	return s
}

func entryVM(i int) ident.VM  { return ident.VM(fmt.Sprintf("entry-%03d", i)) }
func agentVM(i int) ident.VM  { return ident.VM(fmt.Sprintf("agent-%04d", i)) }
func zoneOf(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%d", i%3)) }

func configuration(opened time.Time, entries, agents int) []byte {
	document := map[string]any{
		"version": 1,
		"templates": []any{map[string]any{"name": "t", "classes": []any{
			map[string]any{
				"name": "lookup", "service": "s", "kind": "plain", "idempotent": true, "deadline_ms": 1000,
				"routes": []any{map[string]any{"method": "GET", "path": "/l"}},
			},
			map[string]any{
				"name": "post", "service": "s", "kind": "plain", "deadline_ms": 2000,
				"routes": []any{map[string]any{"method": "POST", "path": "/p"}}, "run_key_fields": []any{"k"},
			},
		}}},
		"customers": []any{map[string]any{"name": "c", "template": "t", "credential_sha256": []any{fmt.Sprintf("%064x", 1)}}},
	}
	var entryList, backends []any
	for i := range entries {
		entryList = append(entryList, map[string]any{"vm": entryVM(i), "zone": zoneOf(i), "region": "r", "address": fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)})
	}
	for i := range agents {
		backends = append(backends, map[string]any{"vm": agentVM(i), "zone": zoneOf(i), "region": "r", "address": fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), "capacity": backendCapacity})
	}
	document["fleet"] = map[string]any{"version": 1, "entries": entryList, "services": []any{map[string]any{
		"name": "s", "kind": "plain", "opened_at": opened, "run_key_retention_seconds": 3600, "backends": backends,
	}}}
	data, _ := json.Marshal(document)
	return data
}

func (s *sim) publish(document []byte) {
	_, faults := published.Accept(document)
	s.c.Assert(faults, qt.HasLen, 0)
	s.configuration = document
	s.revision++
}

func (s *sim) add(vm ident.VM, zone ident.Zone, isEntry bool) {
	n := &simNode{vm: vm, zone: zone}
	// An empty Entry or Agent marks the kind of the node; boot replaces it.
	if isEntry {
		n.entry = &control.Entry{}
	} else {
		n.agent = &control.Agent{}
	}
	s.nodes = append(s.nodes, n)
	s.byVM[vm] = n
}

// boot starts a new incarnation of a node, without the state of the earlier one.
func (s *sim) boot(n *simNode) {
	n.instance = ident.Instance{VM: n.vm, Incarnation: n.instance.Incarnation + 1}
	n.down, n.exitReason = false, ""
	self := control.Self{Instance: n.instance, Zone: n.zone, Region: "r"}
	for i := range 2 {
		self.Seeds = append(self.Seeds, membership.Peer{VM: entryVM(i), Zone: zoneOf(i)})
	}
	var actions []control.Action
	var err error
	if n.entry != nil {
		n.entry, actions, err = control.NewEntry(s.now, control.EntryConfig{Self: self, BalancerLag: simBalancerLag})
	} else {
		n.agent, actions, err = control.NewAgent(s.now, self)
	}
	s.c.Assert(err, qt.IsNil)
	s.execute(n, actions)
	s.schedule(n, time.Duration(s.random.Int64N(int64(control.TickInterval))), control.Tick{})
}

// schedule delivers an event to the current incarnation of a node after a delay.
func (s *sim) schedule(n *simNode, after time.Duration, event control.Event) {
	s.lastSequence++
	heap.Push(&s.queue, delivery{at: s.now.Add(after), sequence: s.lastSequence, node: n, incarnation: n.instance.Incarnation, event: event})
}

// send delivers an event after a delay to whichever incarnation of a VM then runs, or loses it.
func (s *sim) send(to ident.VM, after time.Duration, event control.Event) {
	n := s.byVM[to]
	if n == nil || s.random.Float64() < s.loss {
		return
	}
	s.lastSequence++
	heap.Push(&s.queue, delivery{at: s.now.Add(after), sequence: s.lastSequence, node: n, event: event})
}

// run advances the clock and delivers the events that become due.
func (s *sim) run(d time.Duration) {
	until := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(until) {
		next := heap.Pop(&s.queue).(delivery)
		s.now = next.at
		if next.node.down || (next.incarnation != 0 && next.incarnation != next.node.instance.Incarnation) {
			continue
		}
		if _, ok := next.event.(control.Tick); ok {
			s.schedule(next.node, control.TickInterval, control.Tick{})
		}
		s.step(next.node, next.event)
	}
	s.now = until
}

func (s *sim) step(n *simNode, event control.Event) {
	started := time.Now()
	var actions []control.Action
	if n.entry != nil {
		actions = n.entry.Step(s.now, event)
	} else {
		actions = n.agent.Step(s.now, event)
	}
	if s.stepTime != nil {
		s.stepTime[n.entry != nil] += time.Since(started)
	}
	s.execute(n, actions)
}

func (s *sim) execute(n *simNode, actions []control.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case control.Send:
			s.sendMessage(n, action)
		case control.ReadConfig:
			s.readConfig(n, action.Call)
		case control.OpenAttempt:
			s.send(action.Dispatch.Target.VM, messageDelay, control.DispatchArrived{Dispatch: action.Dispatch})
		case control.StartRun:
			s.startRun(n, action.Dispatch)
		case control.SendReply:
			s.sendAnswer(n, action)
		case control.FinishCall:
			s.outcomes[action.Request] = action.Outcome
			s.schedule(n, 0, control.CallDelivered{Request: action.Request, Outcome: action.Outcome})
		case control.Exit:
			n.down, n.exitReason = true, action.Reason
		}
	}
}

func (s *sim) sendMessage(n *simNode, action control.Send) {
	if _, leaving := action.Body.(*membership.Leaving); leaving && s.dropLeaving {
		return
	}
	if data, err := s.codec.Encode(wire.Envelope{From: n.instance, Body: action.Body}); err == nil {
		n.sentBytes += int64(len(data))
	}
	s.send(action.To, messageDelay, control.MessageReceived{From: n.instance, Body: action.Body, Route: n.vm})
}

func (s *sim) readConfig(n *simNode, call membership.ServiceCall) {
	answer := membership.ServiceAnswered{Call: call.ID, Revision: s.revision, Value: s.configuration}
	if !call.Watch || call.After != s.revision {
		s.schedule(n, messageDelay, control.ConfigAnswered{Answer: answer})
		return
	}
	answer.Value, answer.Unchanged = nil, true
	s.schedule(n, watchTimeout, control.ConfigAnswered{Answer: answer})
}

func (s *sim) startRun(n *simNode, dispatch attempt.Dispatch) {
	s.runs[dispatch.ID.Request]++
	if dispatch.RunKey != "" {
		s.keyRuns[dispatch.RunKey]++
	}
	s.started = append(s.started, startedRun{s.now, n.vm})
	s.schedule(n, serviceTime, control.RunFinished{Result: attempt.RunEnded{
		ID: dispatch.ID, Outcome: outcome.Outcome{Kind: outcome.Served}, Answer: attempt.Answer{Status: 200},
	}})
}

func (s *sim) sendAnswer(n *simNode, action control.SendReply) {
	reply := action.Reply
	entry := reply.ID.Entry.VM
	if action.Route != nil || reply.State == attempt.ReplyQueued || reply.State == attempt.ReplyStarted {
		s.send(entry, messageDelay, control.MessageReceived{From: n.instance, Body: &reply, Route: n.vm})
		return
	}
	s.send(entry, messageDelay, control.ReplyArrived{Reply: reply})
}

// call sends a request through an entry. Without a key the request is idempotent.
func (s *sim) call(n *simNode, key string) ident.Request {
	s.requestCount++
	id := ident.Request(fmt.Sprintf("%s-%d", n.vm, s.requestCount))
	class := template.ClassPlan{
		Name: "lookup", Service: "s", Kind: template.KindPlain, Idempotent: true, Worth: 1, Deadline: time.Second,
	}
	arrived := control.CallArrived{Call: attempt.Call{Request: id, Customer: "c", Deadline: s.now.Add(time.Second)}}
	if key != "" {
		class.Name, class.Idempotent, class.Deadline = "post", false, 2*time.Second
		arrived.Call.RunKey = ident.NewRunKey("c", "s", key)
		arrived.Call.Deadline = s.now.Add(class.Deadline)
	}
	arrived.Call.Class = class
	s.schedule(n, 0, arrived)
	return id
}

// kill stops a node without notifying any other.
func (s *sim) kill(n *simNode) { n.down = true }
