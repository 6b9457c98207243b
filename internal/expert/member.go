package expert

import (
	"fmt"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// MemberConfig configures an agent's Member. Ranks are the ranks of the agent's backend
// server.
type MemberConfig struct {
	Group ident.Group
	Self  ident.Instance
	Ranks []ident.Rank
	Shape Shape
}

// Member handles a leader's messages at one agent of a group: it promises epochs, prepares
// maps and controls when the agent's ranks start their steps. It is not safe for concurrent
// use.
type Member struct {
	config        MemberConfig
	chart         *chart.Chart
	state         chart.State
	gate          StepGate
	epoch         Epoch
	rosterVersion template.Version
	// rosterDigest is the digest of the roster for which the last joined generation was formed.
	rosterDigest uint64
	// statusSequence is the Sequence of the last Status.
	statusSequence uint64
	// active is the map in use, next the scheduled one, and pending the one being prepared.
	active    Map
	next      Map
	pending   Prepare
	cause     string
	lastEnded Version
	// prepare, hold and activate hold the message being handled; guards and actions read them.
	prepare  Prepare
	hold     Hold
	activate Activate
	// eventVersion is the map version that the chart event being handled concerns: that of an
	// Abort, WeightsLoaded or WeightsFailed, or that of the pending map if the Member itself
	// fires the event. Guards and actions read it.
	eventVersion Version
}

const (
	memberIdle    chart.State = "idle"
	memberLoading chart.State = "loading"
	memberLoaded  chart.State = "loaded"
	memberFailed  chart.State = "failed"
	memberHolding chart.State = "holding"
)

// MemberVocabulary lists the guards and actions of the state chart "rank".
func MemberVocabulary() chart.Vocabulary {
	return chart.Vocabulary{
		Guards:  []chart.Guard{"newer", "covers", "this-version", "holdable", "formable", "held"},
		Actions: []chart.Action{"load", "drop", "end", "hold", "join", "schedule"},
	}
}

// NewMember returns a member that is in no generation. It returns an error if the state
// chart "rank" or the shape is invalid.
func NewMember(config MemberConfig) (*Member, error) {
	if err := config.Shape.Validate(); err != nil {
		return nil, err
	}
	parsed, err := chart.Load(charts.Files, "rank", MemberVocabulary())
	if err != nil {
		return nil, err
	}
	config.Ranks = slices.Clone(config.Ranks)
	slices.Sort(config.Ranks)
	return &Member{config: config, chart: parsed, state: parsed.Initial()}, nil
}

// Map returns the map in use. Its version is zero before the first generation and after an
// engine restart.
func (m *Member) Map() Map { return m.active }

// Gate returns the step gate. Callers must not change it.
func (m *Member) Gate() *StepGate { return &m.gate }

// Epoch returns the greatest promised epoch.
func (m *Member) Epoch() Epoch { return m.epoch }

// Step handles an event and returns the resulting actions.
func (m *Member) Step(_ time.Time, event Event) []Action {
	switch e := event.(type) {
	case RosterChanged:
		m.rosterVersion = max(m.rosterVersion, e.Roster.Version)
		return nil
	case StepRequested:
		return m.requestStep(e)
	case WeightsLoaded:
		m.eventVersion = e.Version
		return m.sendStatus(m.fire("weights-loaded"))
	case WeightsFailed:
		m.eventVersion = e.Version
		m.cause = e.Cause
		return m.sendStatus(m.fire("weights-failed"))
	case EngineRestarted:
		return m.sendStatus(m.handleEngineRestart())
	case Received:
		return m.receive(e.Message)
	default:
		return nil
	}
}

func (m *Member) receive(message Message) []Action {
	switch msg := message.(type) {
	case Claim:
		return m.handleClaim(msg)
	case Heartbeat:
		return m.answer(msg.Header, nil)
	case Prepare:
		if !m.accepts(msg.Header) {
			return m.answer(msg.Header, nil)
		}
		m.prepare = msg
		return m.answer(msg.Header, m.fire("prepare"))
	case Hold:
		if !m.accepts(msg.Header) {
			return m.answer(msg.Header, nil)
		}
		m.hold = msg
		return m.answer(msg.Header, m.fire("hold"))
	case Activate:
		if !m.accepts(msg.Header) {
			return m.answer(msg.Header, nil)
		}
		m.activate = msg
		return m.answer(msg.Header, m.fire("activate"))
	case Abort:
		if !m.accepts(msg.Header) {
			return m.answer(msg.Header, nil)
		}
		m.eventVersion = msg.Version
		return m.answer(msg.Header, m.fire("abort"))
	default:
		return nil
	}
}

// accepts reports whether a message comes from the leader of the promised epoch and is
// addressed to this instance.
func (m *Member) accepts(header Header) bool {
	return header.Group == m.config.Group && header.To == m.config.Self && header.Epoch == m.epoch
}

func (m *Member) handleClaim(claim Claim) []Action {
	header := claim.Header
	if header.Group != m.config.Group || header.To.VM != m.config.Self.VM {
		return nil
	}
	addressed := header.To.Incarnation == 0 || header.To == m.config.Self
	current := claim.Roster.Version >= m.rosterVersion && m.matchesRoster(claim.Roster)
	if !addressed || !current || header.Epoch.Compare(m.epoch) < 0 {
		return m.answer(header, nil)
	}
	m.epoch = header.Epoch
	m.rosterVersion = claim.Roster.Version
	status := m.Status()
	status.Maps = m.maps()
	return []Action{Send{To: header.Epoch.Leader.VM, Message: status}}
}

// matchesRoster reports whether the roster lists this agent with exactly its ranks.
func (m *Member) matchesRoster(roster Roster) bool {
	entry, found := roster.Member(m.config.Self.VM)
	return found && slices.Equal(entry.Ranks, m.config.Ranks)
}

func (m *Member) maps() []Map {
	var maps []Map
	for _, known := range []Map{m.active, m.next, m.pending.Map} {
		if !known.Version.IsZero() {
			maps = append(maps, known)
		}
	}
	return maps
}

// Status returns the member's state in the form in which it is sent to leaders. Each call
// increases the sequence number.
func (m *Member) Status() Status {
	m.statusSequence++
	return Status{
		Group:         m.config.Group,
		From:          m.config.Self,
		Sequence:      m.statusSequence,
		Epoch:         m.epoch,
		RosterVersion: m.rosterVersion,
		Generation:    m.gate.Generation(),
		RosterDigest:  m.rosterDigest,
		Started:       m.gate.Started(),
		Active:        Activation{Version: m.active.Version, Step: m.gate.Active().Step},
		Next:          m.gate.Next(),
		Rollout:       m.rollout(),
		Ended:         m.lastEnded,
	}
}

func (m *Member) rollout() RolloutState {
	if m.state == memberIdle {
		return RolloutState{}
	}
	state := RolloutState{Version: m.pending.Map.Version, Forming: m.pending.Forming}
	switch m.state {
	case memberLoading:
		state.Phase = PhaseLoading
	case memberLoaded:
		state.Phase = PhaseLoaded
	case memberFailed:
		state.Phase = PhaseFailed
		state.Cause = m.cause
	case memberHolding:
		state.Phase = PhaseHolding
		state.HoldFrom = m.gate.holdFrom
	}
	return state
}

// answer appends a Send of the status to the leader whose message is being handled.
func (m *Member) answer(header Header, actions []Action) []Action {
	if header.Group != m.config.Group || header.To.VM != m.config.Self.VM {
		return actions
	}
	return append(actions, Send{To: header.Epoch.Leader.VM, Message: m.Status()})
}

// sendStatus appends a Send of the status to the leader of the promised epoch.
func (m *Member) sendStatus(actions []Action) []Action {
	if m.epoch.IsZero() {
		return actions
	}
	return append(actions, Send{To: m.epoch.Leader.VM, Message: m.Status()})
}

func (m *Member) requestStep(request StepRequested) []Action {
	held := m.gate.isWaiting(request.Rank)
	answer, version := m.gate.Start(request)
	if answer == GateHeld && held {
		return nil
	}
	result := GateResult{Request: request, Answer: answer, Version: version}
	actions := []Action{m.gateAction(result)}
	return append(actions, m.activateScheduled()...)
}

// activateScheduled makes the scheduled map the one in use once a step with it has started. It
// returns no actions, because MapScheduled has already reported the map and its first step.
func (m *Member) activateScheduled() []Action {
	if m.next.Version.IsZero() || m.gate.Active().Version != m.next.Version {
		return nil
	}
	m.active = m.next
	m.next = Map{}
	return nil
}

func (m *Member) gateAction(result GateResult) Action {
	request := result.Request
	switch result.Answer {
	case GateAllowed:
		return AllowStep{Rank: request.Rank, Generation: request.Generation, Step: request.Step, Version: result.Version}
	case GateHeld:
		return StepHeld{Rank: request.Rank, Step: request.Step}
	default:
		return RefuseStep{Rank: request.Rank, Generation: request.Generation, Step: request.Step, Current: m.gate.Generation()}
	}
}

func (m *Member) fire(event chart.Event) []Action {
	transition, err := m.chart.Next(m.state, event, m.evaluateGuard)
	if err != nil {
		panic(fmt.Sprintf("invariant: %v", err))
	}
	m.state = transition.To
	var actions []Action
	for _, action := range transition.Actions {
		actions = append(actions, m.perform(action)...)
	}
	return actions
}
