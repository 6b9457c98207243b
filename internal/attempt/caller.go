package attempt

import (
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// CallConfig configures a CallTable.
type CallConfig struct {
	Self ident.Instance
	// RevokeWait is the time after the first revocation for which the agent's reply is awaited.
	RevokeWait time.Duration
	// AckWithin is the time within which an agent's first reply to a dispatch is expected.
	AckWithin time.Duration
	// SilenceAfter is the time without a message after which an agent is queried over a new connection.
	SilenceAfter time.Duration
	// Probes is the number of unanswered queries after which an agent counts as unreachable.
	Probes int
	// RunLimit bounds the time from the start of a run to its end.
	RunLimit time.Duration
	// MaxAttempts is the number of dispatches after which a call is neither retried nor hedged. After
	// a crash and for a suspect, only dispatches that may have started count. It does not bound the
	// dispatches that follow a refusal after which the call is rerouted; MaxReroutes does.
	MaxAttempts int
	// RerouteAfter is the delay before a call is rerouted, that is routed again without using the
	// retry budget. A call is rerouted if
	//   - the agent refused it as not the owner, not ready or stopping, or because of an old lease,
	//   - the entry's Log does not let it dispatch the run key to the target,
	//   - the owner of its run key is not available, or
	//   - it is a suspect that must wait until it can run alone.
	RerouteAfter time.Duration
	// MaxReroutes bounds the reroutes of one call. For a suspect it bounds only those of the first
	// kind; the others end at its deadline.
	MaxReroutes int
	Budget      BudgetConfig
	// HedgeAfter is the time without a start after which an idempotent request of the highest
	// priority band is dispatched a second time; 0 turns hedging off.
	HedgeAfter time.Duration
	Suspects   SuspectConfig
}

// DefaultCallConfig returns the default configuration of an entry's CallTable.
func DefaultCallConfig(self ident.Instance) CallConfig {
	return CallConfig{
		Self:         self,
		RevokeWait:   250 * time.Millisecond,
		AckWithin:    250 * time.Millisecond,
		SilenceAfter: time.Second,
		Probes:       3,
		RunLimit:     10 * time.Minute,
		MaxAttempts:  3,
		RerouteAfter: 50 * time.Millisecond,
		MaxReroutes:  40,
		Budget:       DefaultBudgetConfig(),
		Suspects:     DefaultSuspectConfig(),
	}
}

// Call is one request of a caller, after admission.
type Call struct {
	Request  ident.Request
	Customer ident.Customer
	Class    template.ClassPlan
	// RunKey is "" for idempotent requests, and for others to which the caller gave no key.
	RunKey ident.RunKey
	Body   Digest
	Ticket *Ticket
	// Deadline is the time by which the request must have started.
	Deadline time.Time
}

// CallTable holds the open calls of an entry, and decides where they are dispatched and which outcome
// they get. It is not safe for concurrent use.
type CallTable struct {
	config   CallConfig
	log      *Log
	calls    map[ident.Request]*openCall
	suspects *Suspects
	budget   *budget
	dropped  uint64
	now      time.Time
	actions  []CallAction
}

// openCall is the state of a call until it has an outcome.
type openCall struct {
	Call
	state    chart.State
	attempts []*callAttempt
	// mayHaveRun is true once an attempt ended without proof that it never started.
	mayHaveRun bool
	// runUntil bounds a started run; giveUpAt bounds the wait for the replies to revocations.
	runUntil           time.Time
	giveUpAt           time.Time
	callerDisconnected bool
	alone              bool
	// delivered is the number of bytes of the answer that the caller has received.
	delivered int64
	exclude   []ident.VM
	reroutes  int
	rerouteAt time.Time
	// hedging is true while the call waits for the route of a hedged request; hedged, once it has
	// requested one.
	hedging bool
	hedged  bool
	// refusal is the outcome of a call that ends in the state routing.
	refusal outcome.Outcome
	// current is the attempt that the present event concerns; reply is the message about it.
	current *callAttempt
	reply   Reply
}

// callAttempt is one attempt of a call.
type callAttempt struct {
	id      AttemptID
	target  ident.Instance
	lease   Number
	open    bool
	started bool
	// neverStarted is true once it is proven that the attempt never started.
	neverStarted bool
	// waitingSince is the time of the last message from the agent or the last query or revocation to it.
	waitingSince time.Time
	// acknowledged is true once the agent has replied to the dispatch.
	acknowledged bool
	probes       int
	sentAt       time.Time
}

// NewCallTable returns a CallTable without open calls. It records the run keys of dispatches in the log.
func NewCallTable(config CallConfig, log *Log) *CallTable {
	return &CallTable{
		config:   config,
		log:      log,
		calls:    map[ident.Request]*openCall{},
		suspects: NewSuspects(config.Suspects),
		budget:   newBudget(config.Budget),
	}
}

// Open returns the number of open calls.
func (c *CallTable) Open() int { return len(c.calls) }

// Dropped returns the number of messages about an attempt that matched no open one.
func (c *CallTable) Dropped() uint64 { return c.dropped }

// Suspects returns the entry's register of requests that may have crashed a backend server.
func (c *CallTable) Suspects() *Suspects { return c.suspects }

// Step handles one event.
func (c *CallTable) Step(now time.Time, event CallEvent) []CallAction {
	c.now = now
	c.actions = nil
	c.handle(event)
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *CallTable) handle(event CallEvent) {
	switch event := event.(type) {
	case CallStarted:
		c.start(event.Call)
	case Routed:
		c.routed(event)
	case NoRoute:
		c.noRoute(event)
	case ReplyReceived:
		c.receiveReply(event.Reply)
	case DispatchUnsent:
		c.dispatchUnsent(event.ID)
	case ConnectionLost:
		c.connectionLost(event.Target)
	case StreamProgress:
		c.streamProgress(event)
	case StreamBroken:
		c.streamBroken(event.ID)
	case CallerDisconnected:
		c.callerDisconnected(event.Request)
	case CrashReportReceived:
		c.crashReported(event.Report)
	case QuarantineNoticeReceived:
		c.suspects.ApplyNotice(c.now, event.Notice)
	case SuspectCleared:
		c.suspects.Clear(event.Fingerprint)
	case CallTick:
		c.tick()
	}
}

func (c *CallTable) act(action CallAction) {
	c.actions = append(c.actions, action)
}

func (c *CallTable) start(call Call) {
	if c.calls[call.Request] != nil {
		panic("invariant: request " + string(call.Request) + " started twice")
	}
	open := &openCall{Call: call, state: callChart.Initial()}
	c.calls[call.Request] = open
	if !c.refuseQuarantined(open) {
		c.requestRoute(open, false)
	}
}

// refuseQuarantined refuses a quarantined request and reports whether it did. It marks a suspect
// to run alone.
func (c *CallTable) refuseQuarantined(open *openCall) bool {
	fingerprint := NewFingerprint(open.Customer, open.Class.Name, open.Body)
	switch c.suspects.Status(c.now, fingerprint) {
	case RequestQuarantined:
		open.refusal = outcome.Refused(outcome.CauseQuarantined)
		open.refusal.RetryAfter = c.suspects.QuarantineLeft(c.now, fingerprint)
		// In state routing, "no-route" ends the call with open.refusal.
		c.fire(open, "no-route")
		return true
	case RequestSuspect:
		open.alone = true
	case RequestNormal:
	}
	return false
}

// requestRoute requests a target from routing; keyed requests go only to their owner.
func (c *CallTable) requestRoute(open *openCall, hedge bool) {
	need := NeedRoute{
		Request: open.Request, Customer: open.Customer, Class: open.Class,
		Exclude: append([]ident.VM(nil), open.exclude...), Alone: open.alone, Hedge: hedge,
	}
	switch {
	case open.Ticket != nil:
		need.Only = open.Ticket.Owner.VM
	case open.RunKey != "":
		need.Only = c.log.Owner(open.Class.Service, open.RunKey)
	case open.alone:
		need.Among = c.suspectHosts(open.Class.Service)
	}
	c.act(need)
}

// suspectHosts returns the few backend servers that run the service's suspects, at most one of
// each model group, so that two suspects never run in one group.
func (c *CallTable) suspectHosts(service ident.Service) []ident.VM {
	published := c.log.fleet.Service(service)
	if published == nil {
		return nil
	}
	groups := make(map[ident.VM]ident.Group, len(published.Backends))
	for _, backend := range published.Backends {
		groups[backend.VM] = backend.Group
	}
	vms := backendVMs(*published)
	used := map[ident.Group]bool{}
	var hosts []ident.VM
	for _, vm := range topRanked(string(service)+hashSeparator+"suspects", vms, func(vm ident.VM) string { return string(vm) }, len(vms)) {
		if group := groups[vm]; group != "" {
			if used[group] {
				continue
			}
			used[group] = true
		}
		hosts = append(hosts, vm)
		if len(hosts) == c.config.Suspects.Hosts {
			break
		}
	}
	return hosts
}

func (c *CallTable) routed(event Routed) {
	open := c.calls[event.Request]
	if open == nil || (open.state != callRouting && !open.hedging) || !open.rerouteAt.IsZero() {
		return
	}
	dispatch := c.dispatchTo(open, event)
	if open.RunKey != "" {
		if result := c.log.Record(c.now, dispatch); result != Recorded {
			c.rerouteLater(open, refusalFor(result))
			return
		}
	}
	open.current = &callAttempt{
		id: dispatch.ID, target: event.Target, lease: event.Lease,
		open: true, waitingSince: c.now, sentAt: c.now,
	}
	open.attempts = append(open.attempts, open.current)
	c.act(SendDispatch{dispatch})
	c.fire(open, "routed")
}

func refusalFor(result RecordResult) outcome.Outcome {
	if result == RecordNotOwner {
		return outcome.Refused(outcome.CauseNotOwner)
	}
	return outcome.Refused(outcome.CauseNotReady)
}

func (c *CallTable) dispatchTo(open *openCall, event Routed) Dispatch {
	return Dispatch{
		ID:     AttemptID{Entry: c.config.Self, Request: open.Request, Number: ident.Attempt(len(open.attempts) + 1)},
		Target: event.Target, Lease: event.Lease, FleetVersion: c.log.Fleet().Version,
		Customer: open.Customer, Service: open.Class.Service, Class: open.Class.Name,
		Idempotent: open.Class.Idempotent, RunKey: open.RunKey, Body: open.Body,
		Alone: open.alone, TimeLeft: open.Deadline.Sub(c.now), Ticket: open.Ticket,
	}
}

func (c *CallTable) noRoute(event NoRoute) {
	open := c.calls[event.Request]
	if open == nil || (open.state != callRouting && !open.hedging) {
		return
	}
	open.refusal = outcome.Refused(event.Cause)
	open.refusal.RetryAfter = event.RetryAfter
	open.refusal.CausedBy = event.CausedBy
	if open.RunKey != "" && event.Cause == outcome.CauseNoBackend && open.state == callRouting {
		// Only the owner may run the key: wait for it or its successor.
		c.rerouteLater(open, open.refusal)
		return
	}
	c.fire(open, "no-route")
}

// suspectRerouteDelay is the delay before a suspect that waits to run alone is routed again.
const suspectRerouteDelay = 300 * time.Millisecond

// rerouteLater routes the call again after a delay, or refuses it after MaxReroutes times.
// Suspects are routed again until their deadline.
func (c *CallTable) rerouteLater(open *openCall, refusal outcome.Outcome) {
	open.refusal = refusal
	open.refusal.RetryAfter = refusalRetryAfter
	open.reroutes++
	if open.reroutes > c.config.MaxReroutes && !open.alone {
		c.fire(open, "no-route")
		return
	}
	delay := c.config.RerouteAfter
	if open.alone {
		delay = max(delay, suspectRerouteDelay)
	}
	open.rerouteAt = c.now.Add(delay)
}

func (c *CallTable) sortedCalls() []*openCall {
	calls := make([]*openCall, 0, len(c.calls))
	for _, open := range c.calls {
		calls = append(calls, open)
	}
	sort.Slice(calls, func(i, j int) bool { return calls[i].Request < calls[j].Request })
	return calls
}
