package calls

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// Chooser is a source of random choices, such as a *rand.Rand.
type Chooser interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

const (
	// maxMessages bounds the messages in the network; the oldest ones beyond it are delivered first.
	maxMessages = 300
	// maxBatch is the most messages that one step delivers at random.
	maxBatch = 20
	// keyCount is the number of run keys; it is small, so that calls repeat keys often.
	keyCount = 5
	// maxAgents bounds the agent VMs, including destroyed ones.
	maxAgents = 5
)

// Chaos executes random steps in a world: messages, calls, time and faults.
type Chaos struct {
	World  *World
	choose Chooser
	steps  []weightedStep
	// totalWeight is the sum of the weights of steps.
	totalWeight int
}

// weightedStep is one kind of step; its probability is weight/Chaos.totalWeight.
type weightedStep struct {
	name   string
	weight int
	do     func()
}

// NewChaos returns a driver of the world that takes its random choices from choose.
func NewChaos(world *World, choose Chooser) *Chaos {
	c := &Chaos{World: world, choose: choose}
	// The share of fault-free steps varies, since some states are reached only with few faults and
	// others only with many.
	nonFaultWeight := []int{1, 3, 10, 30}[choose.IntN(4)]
	c.steps = []weightedStep{
		{"deliver", 200 * nonFaultWeight, c.deliver},
		{"call", 60 * nonFaultWeight, c.startCall},
		{"pass", 60 * nonFaultWeight, func() { world.advance(time.Duration(10+choose.IntN(300)) * time.Millisecond) }},
		{"end run", 80 * nonFaultWeight, c.endRun},
		{"pass long", 2, func() { world.advance(world.config.Retention / time.Duration(2+choose.IntN(3))) }},
		{"deliver twice", 20, c.duplicate},
		{"lose", 15, c.dropMessage},
		{"crash backend", 4, c.crashBackend},
		{"crash agent", 5, c.crashAgent},
		{"stop agent", 3, c.stopAgent},
		{"replace agent VM", 1, c.replaceAgent},
		{"pause agent", 5, c.pauseAgent},
		{"start agent", 10, c.startAgent},
		{"wake agent", 8, c.resumeAgent},
		{"crash entry", 3, c.crashEntry},
		{"stop entry", 5, c.stopEntry},
		{"pause entry", 3, c.pauseEntry},
		{"start entry", 10, c.startEntry},
		{"wake entry", 8, c.resumeEntry},
		{"restart all entries", 1, c.restartEntries},
		{"change roster", 2, c.changeRoster},
		{"cut link", 4, c.blockLink},
		{"heal links", 4, func() { world.blocked = map[link]bool{} }},
		{"publish", 3, c.publish},
		{"learn fleet", 25, c.deliverFleet},
		{"learn gone", 8, c.reportRemovedVMs},
		{"lose connection", 5, c.loseConnection},
		{"caller gone", 3, c.disconnectCaller},
	}
	for _, step := range c.steps {
		c.totalWeight += step.weight
	}
	return c
}

// Step executes one random step and returns its name.
func (c *Chaos) Step() string {
	pick := c.choose.IntN(c.totalWeight)
	for _, step := range c.steps {
		if pick < step.weight {
			if step.name != "deliver" && step.name != "pass" {
				c.World.trace("-- %s", step.name)
			}
			step.do()
			return step.name
		}
		pick -= step.weight
	}
	panic("invariant: the weights of the steps do not add up to the total weight")
}

// Violations returns a description of each violation found so far.
func (c *Chaos) Violations() []string { return c.World.record.violations }

// pickMessage returns a random message of the network, mostly one of the five oldest. It removes the
// message unless keep is true.
func (c *Chaos) pickMessage(keep bool) (envelope, bool) {
	w := c.World
	if len(w.network) == 0 {
		return envelope{}, false
	}
	index := c.choose.IntN(min(len(w.network), 5))
	if c.choose.IntN(10) == 0 {
		index = c.choose.IntN(len(w.network))
	}
	e := w.network[index]
	if !keep {
		w.network = append(w.network[:index:index], w.network[index+1:]...)
	}
	return e, true
}

func (c *Chaos) deliver() {
	for range 1 + c.choose.IntN(maxBatch) {
		if e, ok := c.pickMessage(false); ok {
			c.deliverMessage(e)
		}
	}
	for len(c.World.network) > maxMessages {
		e := c.World.network[0]
		c.World.network = c.World.network[1:]
		c.deliverMessage(e)
	}
}

func (c *Chaos) duplicate() {
	if e, ok := c.pickMessage(true); ok {
		c.deliverMessage(e)
	}
}

func (c *Chaos) dropMessage() { c.pickMessage(false) }

// deliverMessage delivers a message to a random active process of its target VM; this may be an earlier
// process that was paused and has resumed.
func (c *Chaos) deliverMessage(e envelope) {
	w := c.World
	if w.blocked[link{e.from, e.to}] {
		return
	}
	if host := w.entryHostOf(e.to); host != nil {
		if active := host.active(); len(active) > 0 {
			w.deliverEntry(active[c.choose.IntN(len(active))], e.message)
		}
		return
	}
	if active := w.agentHostOf(e.to).active(); len(active) > 0 {
		w.deliverAgent(active[c.choose.IntN(len(active))], e.message)
	}
}

func (c *Chaos) startCall() {
	w := c.World
	process := c.activeEntry()
	if process == nil {
		return
	}
	class := template.ClassPlan{Name: "redemption", Service: serviceName, Deadline: 3 * time.Second}
	w.nextID++
	call := attempt.Call{
		Request: ident.Request(fmt.Sprintf("r%05d", w.nextID)), Customer: "customer0",
		Deadline: w.now.Add(class.Deadline),
	}
	key := c.choose.IntN(keyCount)
	if c.choose.IntN(8) == 0 && c.startTicketCall(process, call, class) {
		return
	}
	body := fmt.Sprintf("body of %d", key)
	switch c.choose.IntN(10) {
	case 0, 1:
		class.Name, class.Idempotent = "lookup", true
	case 2:
		// A non-idempotent request without a run key can't be retried.
	case 3:
		body = "another body"
		call.RunKey = ident.NewRunKey(call.Customer, serviceName, fmt.Sprint(key))
	default:
		call.RunKey = ident.NewRunKey(call.Customer, serviceName, fmt.Sprint(key))
	}
	call.Class = class
	call.Body = sha256.Sum256([]byte(body))
	w.startCall(process, call)
}

// startTicketCall starts a call with a ticket that may have been used before. If it requests a new
// ticket instead, or there is none, it returns false.
func (c *Chaos) startTicketCall(process *entryProcess, call attempt.Call, class template.ClassPlan) bool {
	tickets := c.World.tickets
	if len(tickets) == 0 || c.choose.IntN(2) == 0 {
		if agent := c.activeAgent(); agent != nil {
			c.World.stepOwner(agent, attempt.TicketRequestReceived{Request: attempt.TicketRequest{
				Entry: process.instance, Request: call.Request, Service: serviceName,
			}})
		}
		return false
	}
	ticket := tickets[c.choose.IntN(len(tickets))]
	call.Class = class
	call.Ticket = &ticket
	call.RunKey = attempt.TicketKey(call.Customer, serviceName, ticket)
	call.Body = sha256.Sum256([]byte("body for a ticket"))
	c.World.startCall(process, call)
	return true
}

func (w *World) startCall(process *entryProcess, call attempt.Call) {
	w.record.addCall(w.now, call)
	w.stepCaller(process, attempt.CallStarted{Call: call})
}

func (c *Chaos) activeEntry() *entryProcess {
	host := c.World.entries[c.choose.IntN(len(c.World.entries))]
	active := host.active()
	if len(active) == 0 {
		return nil
	}
	return active[c.choose.IntN(len(active))]
}

func (c *Chaos) activeAgent() *agentProcess {
	host := c.World.agents[c.choose.IntN(len(c.World.agents))]
	active := host.active()
	if len(active) == 0 {
		return nil
	}
	return active[c.choose.IntN(len(active))]
}

func (c *Chaos) endRun() {
	process := c.activeAgent()
	if process == nil || len(process.running) == 0 {
		return
	}
	result := outcome.Outcome{Kind: outcome.Served}
	switch c.choose.IntN(12) {
	case 0:
		result = outcome.Refused(outcome.CauseBackendError)
	case 1:
		result = outcome.InDoubt(outcome.CauseBackendError, "")
	}
	c.World.finishRun(process, c.choose.IntN(len(process.running)), result)
}

func (c *Chaos) crashBackend() {
	if process := c.activeAgent(); process != nil {
		c.World.crashBackend(process)
	}
}

func (c *Chaos) loseConnection() {
	process := c.activeEntry()
	agent := c.activeAgent()
	if process != nil && agent != nil {
		c.World.stepCaller(process, attempt.ConnectionLost{Target: agent.instance})
	}
}

func (c *Chaos) disconnectCaller() {
	process := c.activeEntry()
	if process != nil && c.World.nextID > 0 {
		request := ident.Request(fmt.Sprintf("r%05d", 1+c.choose.IntN(c.World.nextID)))
		c.World.stepCaller(process, attempt.CallerDisconnected{Request: request})
	}
}
