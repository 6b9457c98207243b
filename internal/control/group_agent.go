package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/fleet"
)

// applyGroup applies the configuration of the group of the agent's backend server.
func (a *Agent) applyGroup(now time.Time, service *fleet.Service, backend *fleet.BackendServer) {
	if backend.Group == "" || len(backend.Ranks) == 0 {
		return
	}
	a.startGroup(now, service, backend)
	if a.group == nil || a.group.name != backend.Group {
		return
	}
	roster := expert.RosterOf(*a.configuration.Fleet, backend.Group)
	a.group.applyConfiguration(now, roster, a.configuration.Templates.ExpertWeightsOf(service.Name))
}

// startGroup creates the group once the engine has reported the size of its expert layers.
func (a *Agent) startGroup(now time.Time, service *fleet.Service, backend *fleet.BackendServer) {
	if a.group != nil || a.expertLayers == 0 || a.expertsPerLayer == 0 {
		return
	}
	ranks := expert.RosterOf(*a.configuration.Fleet, backend.Group).Ranks()
	shape := expert.Shape{Ranks: ranks, Layers: a.expertLayers, Experts: a.expertsPerLayer}
	shape.Slots = min((shape.Experts+ranks-1)/ranks+spareSlots, shape.Experts)
	group, err := newGroup(now, groupConfig{
		name:     backend.Group,
		self:     a.self.Instance,
		ranks:    backend.Ranks,
		shape:    shape,
		settings: a.self.Group,
		weights:  a.configuration.Templates.ExpertWeightsOf(service.Name),
		fenced:   service.HonoursFencing,
		emit:     a.emit,
	})
	if err != nil {
		a.recordEvent("group-not-started", SeverityWarning, "", Field{"error", err.Error()})
		return
	}
	a.group = group
	// The issuer first reads the engine's state: this tick starts the read at once.
	group.handleActions(now, group.issuer.Step(now, expert.Tick{}))
}

// stepGroup handles an event of the group. It reports whether the event was one.
func (a *Agent) stepGroup(now time.Time, event Event) bool {
	if counts, ok := event.(CountsReceived); ok {
		a.recordExpertLayers(now, counts)
	}
	if a.group == nil {
		return isGroupEvent(event)
	}
	switch event := event.(type) {
	case EngineStateReceived:
		// An engine that is not gated does not wait until its steps are allowed; its polled
		// state is not used.
		if event.State.Gated {
			a.group.updateEngineState(now, event.State)
		}
	case EngineRead:
		a.group.receiveRead(now, event.Read)
	case OrderAnswered:
		a.group.receiveOrderAnswer(now, event.Answer)
	case CountsReceived:
		a.group.reportCounts(now, event)
	case PlanMade:
		a.group.receivePlan(now, event)
	default:
		return false
	}
	return true
}

func isGroupEvent(event Event) bool {
	switch event.(type) {
	case EngineStateReceived, EngineRead, OrderAnswered, CountsReceived, PlanMade:
		return true
	}
	return false
}

// recordExpertLayers records the size of the engine's expert layers and starts the group.
func (a *Agent) recordExpertLayers(now time.Time, counts CountsReceived) {
	if a.group != nil || len(counts.Layers) == 0 {
		return
	}
	a.expertLayers, a.expertsPerLayer = len(counts.Layers), len(counts.Layers[0])
	if a.configuration == nil {
		return
	}
	if service, backend := a.configuration.Fleet.Backend(a.self.Instance.VM); backend != nil {
		a.applyGroup(now, service, backend)
	}
}

// Group returns the state of the agent's group for operators; nil outside groups.
func (a *Agent) Group() *GroupStatus {
	if a.group == nil {
		return nil
	}
	return a.group.status()
}
