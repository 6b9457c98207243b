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

// Chooser makes the random choices of a run.
type Chooser interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

const (
	maxMessages = 300
	maxBatch    = 20
	keyCount    = 5
	maxAgents   = 5
)

// Chaos drives a world through random faults.
type Chaos struct {
	World  *World
	choose Chooser
	steps  []weightedStep
	weight int
}

// weightedStep is one kind of step with its weight.
type weightedStep struct {
	name   string
	weight int
	do     func()
}

// NewChaos returns a driver for the world.
func NewChaos(world *World, choose Chooser) *Chaos {
	c := &Chaos{World: world, choose: choose}
	// A world with few faults gets further than one with many: try both.
	calm := []int{1, 3, 10, 30}[choose.IntN(4)]
	c.steps = []weightedStep{
		{"deliver", 200 * calm, c.deliver},
		{"call", 60 * calm, c.startCall},
		{"pass", 60 * calm, func() { world.advance(time.Duration(10+choose.IntN(300)) * time.Millisecond) }},
		{"end run", 80 * calm, c.endRun},
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
	for _, deed := range c.steps {
		c.weight += deed.weight
	}
	return c
}

// Step takes one random step and returns its name.
func (c *Chaos) Step() string {
	pick := c.choose.IntN(c.weight)
	for _, deed := range c.steps {
		if pick < deed.weight {
			if deed.name != "deliver" && deed.name != "pass" {
				c.World.trace("-- %s", deed.name)
			}
			deed.do()
			return deed.name
		}
		pick -= deed.weight
	}
	panic("invariant: the weights of the steps do not add up")
}

// Violations returns what must never happen and did.
func (c *Chaos) Violations() []string { return c.World.record.violations }

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

// deliverMessage hands a message to a process of the VM that it was sent to; an earlier process
// that woke may still get it.
func (c *Chaos) deliverMessage(e envelope) {
	w := c.World
	if w.blocked[link{e.from, e.to}] {
		return
	}
	if host := w.entryHostOf(e.to); host != nil {
		if awake := host.active(); len(awake) > 0 {
			w.deliverEntry(awake[c.choose.IntN(len(awake))], e.message)
		}
		return
	}
	if awake := w.agentHostOf(e.to).active(); len(awake) > 0 {
		w.deliverAgent(awake[c.choose.IntN(len(awake))], e.message)
	}
}

func (c *Chaos) startCall() {
	w := c.World
	awake := c.activeEntry()
	if awake == nil {
		return
	}
	class := template.ClassPlan{Name: "redemption", Service: serviceName, Deadline: 3 * time.Second}
	w.nextID++
	call := attempt.Call{
		Request: ident.Request(fmt.Sprintf("r%05d", w.nextID)), Customer: "customer0",
		Deadline: w.now.Add(class.Deadline),
	}
	key := c.choose.IntN(keyCount)
	if c.choose.IntN(8) == 0 && c.startTicketCall(awake, call, class) {
		return
	}
	body := fmt.Sprintf("body of %d", key)
	switch c.choose.IntN(10) {
	case 0, 1:
		class.Name, class.Idempotent = "lookup", true
	case 2:
		// A request that cannot be sent again has no run key.
	case 3:
		body = "another body"
		call.RunKey = ident.NewRunKey(call.Customer, serviceName, fmt.Sprint(key))
	default:
		call.RunKey = ident.NewRunKey(call.Customer, serviceName, fmt.Sprint(key))
	}
	call.Class = class
	call.Body = sha256.Sum256([]byte(body))
	w.startCall(awake, call)
}

// startTicketCall sends a request on a ticket: a new one, or one that was used before.
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
	awake := host.active()
	if len(awake) == 0 {
		return nil
	}
	return awake[c.choose.IntN(len(awake))]
}

func (c *Chaos) activeAgent() *agentProcess {
	host := c.World.agents[c.choose.IntN(len(c.World.agents))]
	awake := host.active()
	if len(awake) == 0 {
		return nil
	}
	return awake[c.choose.IntN(len(awake))]
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
