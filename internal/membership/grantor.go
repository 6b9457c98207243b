package membership

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// Defaults of leases.
const (
	// DefaultLeaseDuration is short enough that an entry that missed the leaving message stops sending
	// requests within 3 s.
	DefaultLeaseDuration = 2500 * time.Millisecond
	// DefaultHeartbeatInterval is the time between lease requests to one agent.
	DefaultHeartbeatInterval = 1500 * time.Millisecond
)

// GrantorSettings are the settings of a Grantor.
type GrantorSettings struct {
	Self ident.Instance
	// LeaseDuration is how long a grant is valid on the agent's clock.
	LeaseDuration time.Duration
	// Slots is the number of requests that may be open at the agent, running or waiting.
	Slots int
	// MaxGap is the longest time between two calls of Step that leaves grants valid; 0 means
	// DefaultMaxGap.
	MaxGap time.Duration
}

// GrantorEvent is an event that a Grantor handles.
type GrantorEvent interface{ isGrantorEvent() }

// LeaseRequested reports a lease request from an entry.
type LeaseRequested struct {
	From    ident.Instance
	Request LeaseRequest
}

// RequestAccepted reports that a request from an entry was accepted.
type RequestAccepted struct{ Entry ident.Instance }

// RequestEnded reports that a request from an entry ended.
type RequestEnded struct{ Entry ident.Instance }

// SuspectRequestQueued reports that a request suspected of crashing the backend server is to run alone. No
// other requests are accepted until it has ended.
type SuspectRequestQueued struct{}

// SuspectRequestEnded reports that a suspect request ended.
type SuspectRequestEnded struct{}

// LoadReported reports the load of the engine.
type LoadReported struct{ Load Load }

// ConfigInForce sets the version to announce in grants.
type ConfigInForce struct{ Version template.Version }

// LeaveRequested makes the backend server leave. This can't be undone.
type LeaveRequested struct{}

// GrantorTick reports that time has passed. It must be sent about every 500 ms.
type GrantorTick struct{}

func (LeaseRequested) isGrantorEvent()       {}
func (RequestAccepted) isGrantorEvent()      {}
func (RequestEnded) isGrantorEvent()         {}
func (SuspectRequestQueued) isGrantorEvent() {}
func (SuspectRequestEnded) isGrantorEvent()  {}
func (LoadReported) isGrantorEvent()         {}
func (ConfigInForce) isGrantorEvent()        {}
func (LeaveRequested) isGrantorEvent()       {}
func (GrantorTick) isGrantorEvent()          {}

// GrantorAction is an action that a Grantor returns for its caller to carry out.
type GrantorAction interface{ isGrantorAction() }

// SendGrant sends a grant to an entry.
type SendGrant struct {
	To    ident.Instance
	Grant LeaseGrant
}

// SendLeaving notifies an entry that the backend server is leaving.
type SendLeaving struct {
	To      ident.Instance
	Leaving Leaving
}

// GrantorDrained reports that the agent is leaving, no lease is valid and no request is open.
type GrantorDrained struct{}

func (SendGrant) isGrantorAction()      {}
func (SendLeaving) isGrantorAction()    {}
func (GrantorDrained) isGrantorAction() {}

// grant is one unexpired grant to an entry.
type grant struct {
	number  LeaseNumber
	credits uint32
	expires time.Time
	// invalidated is true if the agent was paused after the grant. No dispatch is accepted under the
	// grant, but its credits count until it expires, as the entry may still use them.
	invalidated bool
}

// client is the state of one incarnation of an entry process.
type client struct {
	instance ident.Instance
	// grants are the unexpired grants in ascending order of number. The entry may hold any of them.
	grants []grant
	// demand is the Demand of the last lease request.
	demand uint32
	open   uint32
}

// Grantor grants leases and credits for one backend server. It is not safe for concurrent use.
type Grantor struct {
	settings        GrantorSettings
	clients         []*client
	lastNumber      LeaseNumber
	load            Load
	loadAt          time.Time
	open            uint32
	config          template.Version
	suspectRequests int
	leaving         bool
	drained         bool
	lastStep        time.Time
}

// NewGrantor returns a Grantor without grants.
func NewGrantor(settings GrantorSettings) *Grantor {
	setDefault(&settings.LeaseDuration, DefaultLeaseDuration)
	setDefault(&settings.MaxGap, DefaultMaxGap)
	return &Grantor{settings: settings}
}

// Step handles one event.
func (g *Grantor) Step(now time.Time, event GrantorEvent) []GrantorAction {
	g.checkGap(now)
	g.expire(now)
	switch event := event.(type) {
	case LeaseRequested:
		return []GrantorAction{SendGrant{To: event.From, Grant: g.grant(now, event)}}
	case RequestAccepted:
		g.findOrAdd(event.Entry).open++
		g.open++
	case RequestEnded:
		g.endRequest(event.Entry)
		return g.checkDrained(nil)
	case SuspectRequestQueued:
		g.suspectRequests++
	case SuspectRequestEnded:
		g.suspectRequests -= min(g.suspectRequests, 1)
	case LoadReported:
		g.load, g.loadAt = event.Load, now
	case ConfigInForce:
		g.config = event.Version
	case LeaveRequested:
		g.leaving = true
		return g.checkDrained(g.announceLeaving())
	case GrantorTick:
		if g.leaving {
			return g.checkDrained(g.announceLeaving())
		}
	}
	return nil
}

// Check returns CauseNone if a dispatch may be accepted, else the cause of the refusal. The lease must
// be an unexpired one that this incarnation granted to that entry process.
func (g *Grantor) Check(now time.Time, from ident.Instance, incarnation ident.Incarnation, number LeaseNumber) outcome.Cause {
	if incarnation != g.settings.Self.Incarnation {
		return outcome.CauseStaleLease
	}
	if g.leaving {
		return outcome.CauseLeaving
	}
	c := g.find(from)
	if c == nil || !c.hasValidLease(now, number) || g.gapExceeded(now) {
		return outcome.CauseStaleLease
	}
	if g.suspectRequests > 0 || c.open >= c.maxCredits() {
		return outcome.CauseBackendsFull
	}
	return outcome.CauseNone
}

// checkGap invalidates all grants after the agent was paused. A dispatch sent during the pause may be
// read long after its entry abandoned it.
func (g *Grantor) checkGap(now time.Time) {
	if g.gapExceeded(now) {
		for _, c := range g.clients {
			for i := range c.grants {
				c.grants[i].invalidated = true
			}
		}
	}
	g.lastStep = now
}

// gapExceeded reports whether more than MaxGap has passed since the last call of Step.
func (g *Grantor) gapExceeded(now time.Time) bool {
	if g.lastStep.IsZero() {
		return false
	}
	return Gap(g.lastStep, now) > g.settings.MaxGap
}

// Open returns the number of requests that are open at the agent.
func (g *Grantor) Open() int {
	return int(g.open)
}

// Leaving reports whether the backend server is leaving and accepts no new requests.
func (g *Grantor) Leaving() bool {
	return g.leaving
}

func (g *Grantor) grant(now time.Time, event LeaseRequested) LeaseGrant {
	answer := LeaseGrant{
		Sequence:    event.Request.Sequence,
		Incarnation: g.settings.Self.Incarnation,
		Load:        g.Load(now),
		Leaving:     g.leaving,
		Config:      g.config,
	}
	if g.leaving {
		return answer
	}
	c := g.findOrAdd(event.From)
	c.demand = event.Request.Demand
	if event.Request.Incarnation == g.settings.Self.Incarnation {
		c.acknowledge(event.Request.Held)
	}
	g.lastNumber++
	answer.Number = g.lastNumber
	answer.Duration = ToMilliseconds(g.settings.LeaseDuration)
	if g.suspectRequests == 0 {
		answer.Credits = g.creditsFor(c)
	}
	c.grants = append(c.grants, grant{number: g.lastNumber, credits: answer.Credits, expires: now.Add(g.settings.LeaseDuration)})
	return answer
}

// Load returns the load to send along with answers: the engine's last report, with running and waiting
// requests adjusted to the number of open requests at the agent.
func (g *Grantor) Load(now time.Time) Load {
	load := g.load
	if !g.loadAt.IsZero() {
		load.Age += ToMilliseconds(now.Sub(g.loadAt))
	}
	load.Running = min(load.Running, g.open)
	load.Waiting = g.open - load.Running
	return load
}

func (g *Grantor) announceLeaving() []GrantorAction {
	var actions []GrantorAction
	for _, c := range g.clients {
		if len(c.grants) > 0 {
			actions = append(actions, SendLeaving{To: c.instance, Leaving: Leaving{Incarnation: g.settings.Self.Incarnation}})
		}
	}
	return actions
}

func (g *Grantor) checkDrained(actions []GrantorAction) []GrantorAction {
	if !g.leaving || g.drained || g.open > 0 {
		return actions
	}
	for _, c := range g.clients {
		if len(c.grants) > 0 {
			return actions
		}
	}
	g.drained = true
	return append(actions, GrantorDrained{})
}

func (g *Grantor) endRequest(entry ident.Instance) {
	c := g.find(entry)
	if c == nil || c.open == 0 {
		panic("invariant: a request from " + entry.String() + " ended without having started")
	}
	c.open--
	g.open--
}
