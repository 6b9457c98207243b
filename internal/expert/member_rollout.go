package expert

import (
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/chart"
)

// evaluateGuard evaluates a guard of the chart "rank" for the message being handled.
func (m *Member) evaluateGuard(guard chart.Guard) bool {
	switch guard {
	case "newer":
		return m.isNewer()
	case "covers":
		return m.pending.Map.Version.Compare(m.eventVersion) <= 0
	case "this-version":
		return m.pending.Map.Version == m.eventVersion
	case "holdable":
		return m.hold.Version == m.pending.Map.Version && !m.pending.Forming && m.gate.CanHold(m.hold.Step)
	case "formable":
		return m.pending.Forming && m.activate.Version == m.pending.Map.Version
	case "held":
		return m.activate.Version == m.pending.Map.Version && m.activate.Generation == m.gate.Generation() &&
			m.activate.Step > m.gate.Started() && m.activate.Step <= m.gate.holdFrom
	default:
		panic("invariant: unknown guard " + string(guard))
	}
}

// isNewer reports whether the map to prepare is newer than all maps and ended rollouts of
// this agent. A map that does not form a generation is also refused while the agent is in no
// generation or has another map scheduled.
func (m *Member) isNewer() bool {
	version := m.prepare.Map.Version
	known := []Version{m.lastEnded, m.active.Version, m.next.Version, m.pending.Map.Version}
	for _, other := range known {
		if version.Compare(other) <= 0 {
			return false
		}
	}
	if m.prepare.Forming {
		return true
	}
	return !m.gate.Generation().IsZero() && m.gate.Next().Version.IsZero()
}

func (m *Member) perform(action chart.Action) []Action {
	switch action {
	case "load":
		return m.load()
	case "drop":
		return m.drop()
	case "end":
		if m.eventVersion.Compare(m.lastEnded) > 0 {
			m.lastEnded = m.eventVersion
		}
		return nil
	case "hold":
		m.gate.Hold(m.hold.Step)
		return m.retryHeld()
	case "join":
		return m.join()
	case "schedule":
		return m.schedule()
	default:
		panic("invariant: unknown action " + string(action))
	}
}

// drop discards the pending rollout and releases its hold.
func (m *Member) drop() []Action {
	if m.pending.Map.Version.IsZero() {
		return nil
	}
	actions := []Action{DropWeights{Version: m.pending.Map.Version}}
	if m.pending.Map.Version.Compare(m.lastEnded) > 0 {
		m.lastEnded = m.pending.Map.Version
	}
	m.pending = Prepare{}
	m.gate.Release()
	return append(actions, m.retryHeld()...)
}

func (m *Member) retryHeld() []Action {
	var actions []Action
	for _, result := range m.gate.Retry() {
		actions = append(actions, m.gateAction(result))
	}
	m.activateScheduled()
	return actions
}

func (m *Member) load() []Action {
	m.pending = m.prepare
	m.cause = ""
	var actions []Action
	if m.pending.Forming {
		actions = append(actions, m.leave()...)
	}
	version := m.pending.Map.Version
	if err := m.pending.Map.Validate(m.config.Shape); err != nil {
		m.eventVersion = version
		m.cause = err.Error()
		return append(actions, m.fire("weights-failed")...)
	}
	placements := m.missing()
	if len(placements) == 0 {
		m.eventVersion = version
		return append(actions, m.fire("weights-loaded")...)
	}
	return append(actions, LoadWeights{Version: version, Placements: placements})
}

// missing returns the placements that the pending map adds on this agent's ranks.
func (m *Member) missing() []Placement {
	added := Added(m.active, m.pending.Map)
	return slices.DeleteFunc(added, func(p Placement) bool { return !slices.Contains(m.config.Ranks, p.Rank) })
}

// leave ends the generation: this agent's ranks start no further steps of it. A scheduled map
// becomes the active one. Its weights are loaded, and Leader.form starts the next generation
// with the newest map that any agent uses or has scheduled.
func (m *Member) leave() []Action {
	generation := m.gate.Generation()
	if generation.IsZero() {
		return nil
	}
	if !m.next.Version.IsZero() {
		m.active = m.next
		m.next = Map{}
	}
	m.gate.Close()
	return append([]Action{LeaveGeneration{Generation: generation}}, m.retryHeld()...)
}

func (m *Member) join() []Action {
	m.active = m.pending.Map
	m.rosterDigest = m.pending.RosterDigest
	m.pending = Prepare{}
	m.gate.Open(m.activate.Generation, m.active.Version)
	joined := JoinGeneration{Generation: m.activate.Generation, Map: m.active}
	return append([]Action{joined}, m.retryHeld()...)
}

func (m *Member) schedule() []Action {
	activation := Activation{Version: m.activate.Version, Step: m.activate.Step}
	m.next = m.pending.Map
	m.pending = Prepare{}
	m.gate.Schedule(activation)
	scheduled := MapScheduled{Activation: activation, Map: m.next}
	return append([]Action{scheduled}, m.retryHeld()...)
}

// handleEngineRestart leaves the generation, aborts the pending rollout and clears the maps:
// a restarted engine has no weights.
func (m *Member) handleEngineRestart() []Action {
	actions := m.leave()
	m.eventVersion = m.pending.Map.Version
	actions = append(actions, m.fire("abort")...)
	m.active = Map{}
	m.next = Map{}
	return actions
}
