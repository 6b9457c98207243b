package control

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// rankChoice is the best rank of a group that can take one more request.
type rankChoice struct {
	server *routing.Server
	// firstEvent is the predicted time to the first event.
	firstEvent time.Duration
	pass       time.Duration
	// writers is the estimated number of requests at all ranks of the group.
	writers int
	// reportAge is the age of the group's last GroupReport; negative if there is no recent one.
	reportAge time.Duration
	// promptRate is the number of prompt tokens that the rank processes per second.
	promptRate float64
	// openRequests is the number of this entry's open requests at the group.
	openRequests int
}

const (
	// passWeight is the number of passes added to the time to the first event in the cost of a
	// group: a group with shorter passes is faster for the whole stream.
	passWeight = 2
	// costPerOpenRequest is added for each of the entry's open requests. It prevents an entry
	// without reports from sending all requests to one of two groups with equal costs.
	costPerOpenRequest = time.Millisecond
	// minComparedRanks is the least number of random ranks that are compared. Three avoid nearly all full ranks.
	minComparedRanks = 3
)

// cost is what the groups are compared by; the group with the lowest cost is picked.
func (c *rankChoice) cost() time.Duration {
	return c.firstEvent + passWeight*c.pass + time.Duration(c.openRequests)*costPerOpenRequest
}

// pickRank picks the rank with the earliest predicted first event, among groups whose streams
// stay on time with one more request. If all entries look for a slot at once, four things keep
// them from choosing the same idle rank: the leaders' reports, the requests that this entry
// sent or ended since the last report, the sends reported by other entries, and random samples
// where not all sends are reported (comparedRanks).
func (d *Dispatcher) pickRank(now time.Time, request *BackendRequest, engine *routing.EngineModel, candidates []*routing.Server, assignment *Assignment) *routing.Server {
	gate := admission.PassGate{Engine: engine, MaxEventGap: request.Route.EventGap}
	byGroup := map[ident.Group][]*routing.Server{}
	for _, server := range candidates {
		byGroup[server.Group] = append(byGroup[server.Group], server)
	}
	var best rankChoice
	retry := time.Duration(0)
	assignment.Outage = true
	for _, name := range slices.Sorted(maps.Keys(byGroup)) {
		if d.unavailable(now, name, byGroup[name], request) {
			continue
		}
		assignment.Outage = false
		choice, wait := d.chooseRank(now, gate, name, byGroup[name], request)
		if choice.server != nil && (best.server == nil || choice.cost() < best.cost()) {
			best = choice
		}
		if choice.server == nil && (retry == 0 || wait < retry) {
			retry = wait
		}
	}
	if best.server == nil {
		assignment.RetryAfter = retry
		return nil
	}
	best.server.AddPrompt(now, request.PromptTokens, best.promptRate)
	assignment.Pass, assignment.Writers, assignment.ReportAge, assignment.FirstEvent = best.pass, best.writers, best.reportAge, best.firstEvent
	return best.server
}

// unavailable reports whether a group can't get the request at the moment.
func (d *Dispatcher) unavailable(now time.Time, name ident.Group, servers []*routing.Server, request *BackendRequest) bool {
	group := d.groups[name]
	if group == nil {
		return false
	}
	open := slices.ContainsFunc(servers, func(server *routing.Server) bool { return server.GroupOpen })
	return !open || now.Before(group.pausedUntil) || group.stalled(now) || request.OtherGroupOnly && d.triedGroup(request, group)
}

// chooseRank returns the group's best rank if the group can take one more request, otherwise
// the time after which to retry.
func (d *Dispatcher) chooseRank(now time.Time, gate admission.PassGate, name ident.Group, servers []*routing.Server, request *BackendRequest) (rankChoice, time.Duration) {
	group := d.groups[name]
	choice := rankChoice{reportAge: -1}
	if group != nil {
		choice.openRequests = group.openRequests()
	}
	pace := admission.GroupPace{}
	if group != nil && group.pace.Fresh(now) {
		pace = group.pace
		pace.Receiving = d.receivingRanks(group)
		choice.reportAge = now.Sub(pace.ReceivedAt)
		choice.writers = gate.EstimateWriters(pace, choice.openRequests-group.openAtReport)
		choice.pass = gate.PredictPass(pace, choice.writers+1)
		if !request.Resumed && !gate.Admits(pace, choice.writers) {
			return rankChoice{}, gate.RetryAfter(pace, choice.writers, len(d.waiting))
		}
	}
	choice.promptRate = gate.Engine.PromptRateFor(choice.pass)
	compared := d.comparedRanks(gate, group, pace, len(servers))
	choice.server, choice.firstEvent = d.earliestRank(now, gate.Engine.Slots, choice.promptRate, servers, compared, request.PromptTokens)
	if choice.server == nil {
		return rankChoice{}, gate.RetryAfter(pace, choice.writers, len(d.waiting))
	}
	return choice, 0
}

// comparedRanks returns how many ranks of a group a request is compared at. An entry that knows of all sends compares all
// ranks. Where many entries send without hearing of each other, each compares a few random ranks, so that about one of the
// unknown sends goes to a rank that looks idle to all of them.
func (d *Dispatcher) comparedRanks(gate admission.PassGate, group *groupState, pace admission.GroupPace, ranks int) int {
	if group == nil || group.silent == 0 {
		return ranks
	}
	unknownShare := float64(group.silent) / float64(max(pace.Entries, group.silent+1))
	unknown := unknownShare * gate.ArrivalRate(pace) * routing.LoadAge.Seconds()
	if unknown < 1 {
		return ranks
	}
	return max(int(float64(ranks)/unknown), minComparedRanks)
}

// earliestRank returns the rank with a free slot that is predicted to finish the prompt first, among a number of random
// ranks with free slots. Ties go to the lower load, then to a random rank.
func (d *Dispatcher) earliestRank(now time.Time, slots int, rate float64, servers []*routing.Server, compared, tokens int) (*routing.Server, time.Duration) {
	var best *routing.Server
	var firstEvent time.Duration
	for _, i := range d.random.Perm(len(servers)) {
		server := servers[i]
		if !server.GroupOpen || server.Paused(now) || server.Load(now) >= slots {
			continue
		}
		wait := server.TimeToFirstEvent(now, tokens, rate)
		if best == nil || wait < firstEvent || wait == firstEvent && server.Load(now) < best.Load(now) {
			best, firstEvent = server, wait
		}
		if compared--; compared <= 0 {
			break
		}
	}
	return best, firstEvent
}

// triedGroup reports whether the request was sent to one of the group's ranks before.
func (d *Dispatcher) triedGroup(request *BackendRequest, group *groupState) bool {
	return slices.ContainsFunc(group.ranks, func(server *routing.Server) bool { return slices.Contains(request.Tried, server.ID) })
}
