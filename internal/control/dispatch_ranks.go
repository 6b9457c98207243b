package control

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// rankChoice is the best rank of a group with room.
type rankChoice struct {
	server *routing.Server
	// firstEvent is the predicted time to the firstEvent event.
	firstEvent time.Duration
	pass       time.Duration
	writers    int
	paceAge    time.Duration
	// promptRate is the number of prompt tokens that the rank reads in a second.
	promptRate float64
	// openRequests is the number of this entry's openRequests requests at the group.
	openRequests int
}

const (
	// passWeight is how many passes of a group count beside the time to the first event: a group with shorter passes
	// is faster for the whole stream.
	passWeight = 2
	// costPerOpenRequest keeps an entry without reports from sending all to one of two groups that look alike.
	costPerOpenRequest = time.Millisecond
)

// cost orders the choices of groups.
func (c *rankChoice) cost() time.Duration {
	return c.firstEvent + passWeight*c.pass + time.Duration(c.openRequests)*costPerOpenRequest
}

// pickRank picks the rank that will send the first event soonest, among groups whose streams stay on time
// with one more. It answers the load pattern of all entries looking for room at once: reports of the
// leaders, the entry's own changes since, and what other entries tell of their requests keep them from
// choosing the same idle rank.
func (d *Dispatcher) pickRank(now time.Time, want *Want, engine *routing.EngineModel, candidates []*routing.Server, answer *Assignment) *routing.Server {
	gate := admission.PassGate{Engine: engine, MaxEventGap: want.Route.EventGap}
	byGroup := map[ident.Group][]*routing.Server{}
	for _, server := range candidates {
		byGroup[server.Group] = append(byGroup[server.Group], server)
	}
	var best rankChoice
	retry := time.Duration(0)
	answer.Outage = true
	for _, name := range slices.Sorted(maps.Keys(byGroup)) {
		if d.unavailable(now, name, byGroup[name], want) {
			continue
		}
		answer.Outage = false
		choice, wait := d.rankChoice(now, gate, name, byGroup[name], want)
		if choice.server != nil && (best.server == nil || choice.cost() < best.cost()) {
			best = choice
		}
		if choice.server == nil && (retry == 0 || wait < retry) {
			retry = wait
		}
	}
	if best.server == nil {
		answer.RetryAfter = retry
		return nil
	}
	best.server.AddPrompt(now, want.PromptTokens, best.promptRate)
	answer.Pass, answer.Writers, answer.PaceAge, answer.FirstEvent = best.pass, best.writers, best.paceAge, best.firstEvent
	return best.server
}

// unavailable reports whether a group does not run requests at the moment.
func (d *Dispatcher) unavailable(now time.Time, name ident.Group, servers []*routing.Server, want *Want) bool {
	group := d.groups[name]
	if group == nil {
		return false
	}
	open := slices.ContainsFunc(servers, func(server *routing.Server) bool { return server.GroupOpen })
	return !open || now.Before(group.pausedUntil) || group.stalled(now) || want.Instead && d.triedGroup(want, group)
}

// rankChoice returns the group's best rank if the group has room, else the time to wait for some.
func (d *Dispatcher) rankChoice(now time.Time, gate admission.PassGate, name ident.Group, servers []*routing.Server, want *Want) (rankChoice, time.Duration) {
	group := d.groups[name]
	choice := rankChoice{paceAge: -1}
	if group != nil {
		choice.openRequests = group.openRequests()
	}
	pace := admission.GroupPace{}
	if group != nil && group.pace.Fresh(now) {
		pace = group.pace
		choice.paceAge = now.Sub(pace.ReceivedAt)
		choice.writers = gate.EstimateWriters(pace, choice.openRequests-group.openAtReport)
		choice.pass = gate.PredictPass(pace, choice.writers+1)
		if !want.Resumed && !gate.Admits(pace, choice.writers) {
			return rankChoice{}, gate.RetryAfter(pace, choice.writers, len(d.waiting))
		}
	}
	choice.promptRate = gate.Engine.PromptRateFor(choice.pass)
	choice.server, choice.firstEvent = d.earliestRank(now, gate.Engine.Slots, choice.promptRate, servers, want.PromptTokens)
	if choice.server == nil {
		return rankChoice{}, gate.RetryAfter(pace, choice.writers, len(d.waiting))
	}
	return choice, 0
}

// earliestRank returns the rank with a slot that will have read the prompt first, equal ones by load and then by lot.
func (d *Dispatcher) earliestRank(now time.Time, slots int, rate float64, servers []*routing.Server, tokens int) (*routing.Server, time.Duration) {
	var best *routing.Server
	var first time.Duration
	offset := d.random.IntN(len(servers))
	for i := range servers {
		server := servers[(i+offset)%len(servers)]
		if !server.GroupOpen || server.Paused(now) || server.Load(now) >= slots {
			continue
		}
		wait := server.TimeToFirstEvent(now, tokens, rate)
		if best == nil || wait < first || wait == first && server.Load(now) < best.Load(now) {
			best, first = server, wait
		}
	}
	return best, first
}

// triedGroup reports whether one of the group's ranks had the request.
func (d *Dispatcher) triedGroup(want *Want, group *groupState) bool {
	return slices.ContainsFunc(group.ranks, func(server *routing.Server) bool { return slices.Contains(want.Tried, server.ID) })
}
