package control

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// rankChoice is the best rank of a group that can take one more request; server is nil if there is none.
type rankChoice struct {
	server *routing.Server
	// firstEvent is the predicted time to the first event.
	firstEvent time.Duration
	// decision is the gate's. It is zero without a recent report.
	decision admission.PassDecision
	// pauses is the time by which the request lengthens a pass for each stream of the group, summed over all of them.
	pauses time.Duration
	// pace is the group's last report.
	pace admission.GroupPace
	// writers is the estimated number of requests at all ranks of the group.
	writers int
	// reportAge is the age of the group's last GroupReport; negative if there is no recent one.
	reportAge time.Duration
	// promptRate is the number of prompt tokens that the rank processes per second.
	promptRate float64
	// openRequests is the number of this entry's open requests at the group.
	openRequests int
	// tooLate is true if there is no server since the request would start late.
	tooLate bool
	// retryAfter is the time until enough streams have ended if there is no server.
	retryAfter time.Duration
}

const (
	// passWeight is the number of passes added to the time to the first event in the cost of a
	// group: a group with shorter passes is faster for the whole stream.
	passWeight = 2
	// costPerOpenRequest is added for each of the entry's open requests. It prevents an entry
	// without reports from sending all requests to one of two groups with equal costs.
	costPerOpenRequest = time.Millisecond
	// slowestShare is the part of its passes in which a rank that would be the slowest is so: prompts make others slower in
	// the rest. With 1, requests were placed behind prompts too often, and 9.3% instead of 7.6% of the streams began late
	// at the capacity (docs/measurements/crests.md).
	slowestShare = 0.3
	// minComparedRanks is the least number of random ranks that are compared. Three avoid nearly all full ranks.
	minComparedRanks = 3
)

// cost is what the groups are compared by; the group with the lowest cost is picked. The pauses of the group's other
// streams count like those of this one.
func (c *rankChoice) cost() time.Duration {
	return c.firstEvent + passWeight*(c.decision.Pass+c.pauses) + time.Duration(c.openRequests)*costPerOpenRequest
}

// startsLate reports whether the prompts before the request's own delay its first event beyond the target. While streams
// are refused to keep others on time, slots go to streams that can be on time.
func (c *rankChoice) startsLate(now time.Time, gate admission.PassGate, request *BackendRequest) bool {
	target := request.Arrived.Add(request.Route.TargetLatency)
	own := gate.Engine.PromptTime(request.PromptTokens, c.decision.Pass)
	return c.server != nil && now.Add(c.firstEvent+c.decision.Pass/2).After(target) && !request.Arrived.Add(own).After(target)
}

// fullKey identifies the waiting requests for which the same groups are full. fullGroups is what refused the first.
type (
	fullKey struct {
		service ident.Service
		gap     time.Duration
	}
	fullGroups struct {
		choice rankChoice
		groups map[ident.Group][]*routing.Server
		retry  admission.TroughRetry
	}
)

// pickRank picks the rank with the earliest predicted first event, among groups whose streams
// stay on time with one more request. If all entries look for a slot at once, four things keep
// them from choosing the same idle rank: the leaders' reports, the requests that this entry
// sent or ended since the last report, the sends reported by other entries, and random samples
// where not all sends are reported (comparedRanks).
func (d *Dispatcher) pickRank(now time.Time, request *BackendRequest, engine *routing.EngineModel, candidates []*routing.Server, assignment *Assignment) *routing.Server {
	gate := admission.PassGate{Engine: engine, MaxEventGap: request.Route.EventGap}
	// A request that is sent for the first time finds no rank in groups that are full for the one before it.
	key, first := fullKey{service: request.Service, gap: gate.MaxEventGap}, !request.Resumed && len(request.Tried) == 0 && !assignment.Suspect
	if full, ok := d.full[key]; ok && first {
		full.choice.describe(gate, assignment)
		d.keepQueued(gate, request, assignment, full.groups)
		assignment.RetryAfter = d.retryAfter(now, request, full.retry)
		return nil
	}
	byGroup := map[ident.Group][]*routing.Server{}
	for _, server := range candidates {
		byGroup[server.Group] = append(byGroup[server.Group], server)
	}
	var best, full rankChoice
	// refusesAll is true if the groups would refuse any new request, not just one with this prompt and these servers.
	refusesAll := len(d.evacuated.returnedAt) == 0
	assignment.Outage = true
	for _, name := range slices.Sorted(maps.Keys(byGroup)) {
		if d.unavailable(now, name, byGroup[name], request) {
			continue
		}
		choice := d.chooseRank(now, gate, name, byGroup[name], request, len(byGroup))
		switch {
		case choice.server != nil && (best.server == nil || choice.cost() < best.cost()):
			best = choice
		case choice.server == nil && (assignment.Outage || choice.retryAfter < full.retryAfter):
			full = choice
		}
		refusesAll = refusesAll && !choice.tooLate
		assignment.Outage = false
	}
	if best.server == nil {
		full.describe(gate, assignment)
		d.keepQueued(gate, request, assignment, byGroup)
		retry := admission.TroughRetry{Base: full.retryAfter, Forecast: full.pace.Forecast}
		if trend := d.arrivals[request.Service]; trend != nil {
			retry.Slope, retry.SlopeError = trend.Slope(now)
		}
		assignment.RetryAfter = d.retryAfter(now, request, retry)
		if d.full != nil && first && refusesAll && !assignment.Outage {
			d.full[key] = fullGroups{choice: full, groups: byGroup, retry: retry}
		}
		return nil
	}
	best.server.AddPrompt(now, request.PromptTokens, best.promptRate)
	best.describe(gate, assignment)
	return best.server
}

// keepQueued lets a request wait longer if one of its groups served late when it arrived.
func (d *Dispatcher) keepQueued(gate admission.PassGate, request *BackendRequest, assignment *Assignment, groups map[ident.Group][]*routing.Server) {
	for name := range groups {
		if group := d.groups[name]; group != nil && group.forecast.keepsQueued(gate, request) {
			assignment.ServesLate = true
		}
	}
}

// retryAfter returns the Retry-After of a request that is refused because all groups are full.
func (d *Dispatcher) retryAfter(now time.Time, request *BackendRequest, retry admission.TroughRetry) time.Duration {
	retry.Remaining = request.Deadline.Sub(now)
	return retry.After(d.random.Float64())
}

// describe states the inputs of the choice in the assignment.
func (c *rankChoice) describe(gate admission.PassGate, assignment *Assignment) {
	assignment.Writers, assignment.ReportAge, assignment.FirstEvent = c.writers, c.reportAge, c.firstEvent
	assignment.Pass, assignment.PeakPass = c.decision.Pass, c.decision.PeakPass
	assignment.Mode, assignment.Limit, assignment.Margin = c.decision.Mode, c.decision.Limit, c.pace.Forecast.Margin
	assignment.ServesLate = c.decision.Mode == admission.ModeLate
	assignment.StreamTime, assignment.RoomIn = gate.StreamTime(c.decision.Pass), c.decision.RoomIn
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
func (d *Dispatcher) chooseRank(now time.Time, gate admission.PassGate, name ident.Group, servers []*routing.Server, request *BackendRequest, groups int) rankChoice {
	group := d.groups[name]
	choice := rankChoice{reportAge: -1}
	if group != nil {
		choice.openRequests = group.openRequests()
	}
	demand := 0.0
	if group != nil {
		demand = d.groupDemand(now, request.Service, groups, group.pace.Entries)
	}
	pace, fresh := d.currentPace(now, gate, group, demand)
	if fresh {
		choice.pace, choice.reportAge = pace, now.Sub(pace.ReceivedAt)
		choice.writers = gate.EstimateWriters(pace, choice.openRequests-group.openAtReport)
		pace.CountedWriters = group.countedWriters(now)
		choice.decision = gate.Decide(pace, choice.writers, demand)
		added := choice.decision.Pass - gate.PredictPass(pace, choice.writers)
		choice.pauses = added * time.Duration(choice.writers)
	}
	choice.promptRate = gate.Engine.PromptRateFor(choice.decision.Pass)
	choice.firstEvent = gate.Engine.PromptTime(request.PromptTokens, choice.decision.Pass)
	choice.retryAfter = gate.RetryAfter(pace, choice.writers, len(d.waiting))
	if fresh && !request.Resumed && !choice.decision.Admitted {
		return choice
	}
	compared := d.comparedRanks(gate, group, pace, len(servers))
	d.cheapestRank(now, gate, &choice, servers, compared, request)
	if choice.decision.Limit > 0 && !request.Resumed && choice.startsLate(now, gate, request) {
		choice.server, choice.tooLate = nil, true
	}
	return choice
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

// cheapestRank chooses the rank with a free slot at which the request waits least for its first event and adds least to
// the passes of the group's streams, among a number of random ranks with free slots. Ties go to the lower load, then to a
// random rank.
func (d *Dispatcher) cheapestRank(now time.Time, gate admission.PassGate, choice *rankChoice, servers []*routing.Server, compared int, request *BackendRequest) {
	slowest := slowestRank(now, gate, &choice.pace, servers, choice.promptRate)
	var bestCost, firstEvent, pauses time.Duration
	for _, i := range d.random.Perm(len(servers)) {
		server := servers[i]
		load := server.Load(now)
		if !server.GroupOpen || server.Paused(now) || load >= gate.Engine.Slots {
			continue
		}
		slowness := rankSlowness(&choice.pace, server)
		added := gate.AddedOwnPart(slowest, slowness, float64(load))
		if !gate.WorthAdding(choice.pace, slowness, added, choice.decision.Pass, choice.writers) && !request.Resumed {
			continue
		}
		wait := server.TimeToFirstEvent(now, request.PromptTokens, choice.promptRate)
		rankPauses := time.Duration(slowestShare * float64(added) * float64(choice.writers))
		cost := wait + rankPauses
		if choice.server == nil || cost < bestCost || cost == bestCost && load < choice.server.Load(now) {
			choice.server, bestCost, firstEvent, pauses = server, cost, wait, rankPauses
		}
		if compared--; compared <= 0 {
			break
		}
	}
	if choice.server != nil {
		choice.firstEvent = firstEvent
		choice.pauses += pauses
	}
}

// slowestRank returns the own part of the slowest rank in the next pass.
func slowestRank(now time.Time, gate admission.PassGate, pace *admission.GroupPace, servers []*routing.Server, promptRate float64) time.Duration {
	slowest := time.Duration(0)
	for _, server := range servers {
		backlog := server.PromptBacklog(now, promptRate)
		slowest = max(slowest, gate.OwnPart(rankSlowness(pace, server), float64(server.Load(now)), backlog))
	}
	return slowest
}

// rankSlowness returns the reported slowness of a rank; 1 if there is none.
func rankSlowness(pace *admission.GroupPace, server *routing.Server) float64 {
	if rank := int(server.Rank); rank >= 0 && rank < len(pace.Slowness) {
		return max(pace.Slowness[rank], 1)
	}
	return 1
}

// triedGroup reports whether the request was sent to one of the group's ranks before.
func (d *Dispatcher) triedGroup(request *BackendRequest, group *groupState) bool {
	return slices.ContainsFunc(group.ranks, func(server *routing.Server) bool { return slices.Contains(request.Tried, server.ID) })
}
