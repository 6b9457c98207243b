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

// MemberConfig describes an agent's part in a group.
type MemberConfig struct {
	Group ident.Group
	Self  ident.Instance
	Ranks []ident.Rank
	Shape Shape
}

// Member is an agent's part in the rollouts of a group: it promises epochs, prepares
// maps and guards the steps of its ranks. It is not safe for concurrent use.
type Member struct {
	config        MemberConfig
	chart         *chart.Chart
	state         chart.State
	gate          StepGate
	epoch         Epoch
	rosterVersion template.Version
	rosterDigest  uint64
	sequence      uint64
	// active, next and pending are the maps in use, scheduled and prepared.
	active  Map
	next    Map
	pending Prepare
	cause   string
	ended   Version
	// current is the message or event that guards look at.
	prepare  Prepare
	hold     Hold
	activate Activate
	version  Version
}

const (
	memberIdle    chart.State = "idle"
	memberLoading chart.State = "loading"
	memberLoaded  chart.State = "loaded"
	memberFailed  chart.State = "failed"
	memberHolding chart.State = "holding"
)

// MemberVocabulary lists the guards and actions of the chart "rank".
func MemberVocabulary() chart.Vocabulary {
	return chart.Vocabulary{
		Guards:  []chart.Guard{"newer", "covers", "this-version", "holdable", "formable", "held"},
		Actions: []chart.Action{"load", "drop", "end", "hold", "join", "schedule"},
	}
}

// NewMember returns a member that is in no generation. It returns an error if the chart
// "rank" or the shape is not valid.
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

// Map returns the map in use; its version is zero before the first generation.
func (m *Member) Map() Map { return m.active }

// Gate returns the step gate for reading.
func (m *Member) Gate() *StepGate { return &m.gate }

// Epoch returns the greatest epoch promised.
func (m *Member) Epoch() Epoch { return m.epoch }

// Step handles an event.
func (m *Member) Step(_ time.Time, event Event) []Action {
	switch e := event.(type) {
	case RosterChanged:
		m.rosterVersion = max(m.rosterVersion, e.Roster.Version)
		return nil
	case StepRequested:
		return m.requestStep(e)
	case WeightsLoaded:
		m.version = e.Version
		return m.report(m.fire("weights-loaded"))
	case WeightsFailed:
		m.version = e.Version
		m.cause = e.Cause
		return m.report(m.fire("weights-failed"))
	case EngineRestarted:
		return m.report(m.restart())
	case Received:
		return m.receive(e.Message)
	default:
		return nil
	}
}

func (m *Member) receive(message Message) []Action {
	switch msg := message.(type) {
	case Claim:
		return m.claimed(msg)
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
		m.version = msg.Version
		return m.answer(msg.Header, m.fire("abort"))
	default:
		return nil
	}
}

// accepts reports whether a message is from the leader of the promised epoch and for
// this instance.
func (m *Member) accepts(header Header) bool {
	return header.Group == m.config.Group && header.To == m.config.Self && header.Epoch == m.epoch
}

func (m *Member) claimed(claim Claim) []Action {
	header := claim.Header
	if header.Group != m.config.Group || header.To.VM != m.config.Self.VM {
		return nil
	}
	meant := header.To.Incarnation == 0 || header.To == m.config.Self
	current := claim.Roster.Version >= m.rosterVersion && m.listed(claim.Roster)
	if !meant || !current || header.Epoch.Compare(m.epoch) < 0 {
		return m.answer(header, nil)
	}
	m.epoch = header.Epoch
	m.rosterVersion = claim.Roster.Version
	status := m.Status()
	status.Maps = m.maps()
	return []Action{Send{To: header.Epoch.Leader.VM, Message: status}}
}

// listed reports whether the roster gives this agent the ranks that it holds.
func (m *Member) listed(roster Roster) bool {
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

// Status returns the member's state as it tells it to leaders.
func (m *Member) Status() Status {
	m.sequence++
	return Status{
		Group:         m.config.Group,
		From:          m.config.Self,
		Sequence:      m.sequence,
		Epoch:         m.epoch,
		RosterVersion: m.rosterVersion,
		Generation:    m.gate.Generation(),
		RosterDigest:  m.rosterDigest,
		Started:       m.gate.Started(),
		Active:        Activation{Version: m.active.Version, Step: m.gate.Active().Step},
		Next:          m.gate.Next(),
		Rollout:       m.rollout(),
		Ended:         m.ended,
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
		state.HoldBefore = m.gate.holdBefore
	}
	return state
}

// answer sends the status to the sender of a leader's message, after the actions.
func (m *Member) answer(header Header, actions []Action) []Action {
	if header.Group != m.config.Group || header.To.VM != m.config.Self.VM {
		return actions
	}
	return append(actions, Send{To: header.Epoch.Leader.VM, Message: m.Status()})
}

// report sends the status to the leader of the promised epoch, after the actions.
func (m *Member) report(actions []Action) []Action {
	if m.epoch.IsZero() {
		return actions
	}
	return append(actions, Send{To: m.epoch.Leader.VM, Message: m.Status()})
}

func (m *Member) requestStep(request StepRequested) []Action {
	held := m.gate.holds(request.Rank)
	answer, version := m.gate.Start(request)
	if answer == GateHeld && held {
		return nil
	}
	result := GateResult{Request: request, Answer: answer, Version: version}
	actions := []Action{m.gateAction(result)}
	return append(actions, m.settle()...)
}

// settle moves the scheduled map into use once a step under it started.
func (m *Member) settle() []Action {
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
	step, err := m.chart.Next(m.state, event, m.holds)
	if err != nil {
		panic(fmt.Sprintf("invariant: %v", err))
	}
	m.state = step.To
	var actions []Action
	for _, action := range step.Actions {
		actions = append(actions, m.do(action)...)
	}
	return actions
}
