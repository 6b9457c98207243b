package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// Waits of requests for room.
const (
	// waitShare is the part of a route's target that a request may wait for room before it is refused.
	// A stream takes about a tenth of its target to begin; the rest is for the way back.
	waitShare = 0.3
	// outageShare is the part of its time that a request may wait while no group runs requests: 1 s of 8.
	outageShare = 0.125
	// outageRetryAfter is the advice in such a time: a group needs its lost rank back, and 0.6 s to form.
	outageRetryAfter = 1500 * time.Millisecond
	// maxResumeWait is how long an interrupted stream may wait for another server: its caller leaves after
	// a gap of two seconds, of which a lost rank's silence takes more than one.
	maxResumeWait = 400 * time.Millisecond
	// minGroupPause is how long a group that can't run requests is first left alone, maxGroupPause at most: groups form
	// again 0.6 s after a lost rank is back.
	minGroupPause = 250 * time.Millisecond
	maxGroupPause = time.Second
	// stallTimeout is the silence of a group's streams after which new requests go elsewhere: some three passes of a
	// group that is at its limit. A group that lost a rank or is held stands still for longer.
	stallTimeout = 400 * time.Millisecond
	// noBackendRetryAfter is the advice when no server is listed: the listing's heartbeat.
	noBackendRetryAfter = time.Second
	// maxWaiting bounds the requests that wait at one entry. At some ten requests a second for each
	// entry and waits of a tenth of a second, more is a flood.
	maxWaiting = 256
	// plainOvercommit is how many requests for each slot one entry keeps open at a plain server, which
	// queues a few.
	plainOvercommit = 4
)

// Want asks for a backend server.
type Want struct {
	// Request identifies the request within the process.
	Request uint64
	Service ident.Service
	Route   *routing.Route
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Arrived is when the request arrived; Deadline is when it is of no use any more.
	Arrived, Deadline time.Time
	// PromptTokens is the size of a prompt for a model engine.
	PromptTokens int
	// Tried are the servers that had the request before.
	Tried []string
	// Sending says how the request counts against the bound on repeats.
	Sending Sending
	// Instead is true for a stream whose server is silent: only another group is of use.
	Instead bool
	// Resumed is true for a stream whose first events the caller has.
	Resumed bool
}

// Sending says which sending of a request a Want is for.
type Sending uint8

// The sendings of a request.
const (
	// SendingFirst is the first one.
	SendingFirst Sending = iota
	// SendingAgain follows one that reached no server.
	SendingAgain
	// SendingRepeat follows one that a server rejected, or may have run.
	SendingRepeat
)

// Assignment answers a Want: a backend server or a refusal.
type Assignment struct {
	Request uint64
	// Backend is the server; its ID is "" for a refusal.
	Backend membership.ListedBackend
	Cause   outcome.Cause
	// PromptTokens is the size of the request's prompt.
	PromptTokens int
	// RetryAfter is the advice that goes with a refusal.
	RetryAfter time.Duration
	// Outage is true for a refusal because no server runs requests at the moment, though some are listed.
	Outage bool
	// Waited is the time from arrival to the decision.
	Waited time.Duration
	// Load is the load of the chosen server, Writers that of its group; Pass is the predicted pass.
	Load, Writers int
	Pass          time.Duration
	// FirstEvent is the predicted time until the rank has read the prompt.
	FirstEvent time.Duration
	// PaceAge is the age of the group's report; negative if there is none.
	PaceAge time.Duration
}

// GroupReport is what the leader of a group tells entries.
type GroupReport struct {
	Group ident.Group
	Pace  admission.GroupPace
	// RankLoads are the requests that run or wait at each rank.
	RankLoads []int
}

// Dispatcher is the control state of an entry that sends requests straight to backend servers: who is
// listed, what is open where, and which requests wait for room. It is pure: times come with the calls.
type Dispatcher struct {
	zone     ident.Zone
	random   *rand.Rand
	table    *routing.Table
	servers  map[string]*routing.Server
	services map[ident.Service][]*routing.Server
	groups   map[ident.Group]*groupState
	repeats  *attempt.Repeats
	waiting  []Want
}

type groupState struct {
	pace admission.GroupPace
	// openAtReport is the number of this entry's open requests at the report.
	openAtReport int
	pausedUntil  time.Time
	pauses       int
	ranks        []*routing.Server
	// progressAt is when the group last sent an event, or got a request while it had none.
	progressAt time.Time
}

// stalled reports whether a group with open requests sends nothing.
func (g *groupState) stalled(now time.Time) bool {
	return g.openRequests() > 0 && now.Sub(g.progressAt) > stallTimeout
}

func (g *groupState) openRequests() int {
	open := 0
	for _, server := range g.ranks {
		open += server.Open
	}
	return open
}

// NewDispatcher returns a dispatcher for an entry of the zone that knows no backend server.
func NewDispatcher(zone ident.Zone, seed uint64, repeats attempt.RepeatConfig) *Dispatcher {
	return &Dispatcher{
		zone:     zone,
		random:   rand.New(rand.NewPCG(seed, seed^0x5bd1e995)),
		servers:  map[string]*routing.Server{},
		services: map[ident.Service][]*routing.Server{},
		groups:   map[ident.Group]*groupState{},
		repeats:  attempt.NewRepeats(repeats),
	}
}

// Configure puts a table in force.
func (d *Dispatcher) Configure(table *routing.Table) {
	d.table = table
}

// ConfigureRepeats changes the bound on repeats.
func (d *Dispatcher) ConfigureRepeats(config attempt.RepeatConfig) {
	d.repeats.Configure(config)
}

// SetBackends takes the listed servers. A server's counts stay as long as its run is listed and not replaced.
func (d *Dispatcher) SetBackends(now time.Time, backends []membership.ListedBackend) []Assignment {
	servers := make(map[string]*routing.Server, len(backends))
	clear(d.services)
	for _, group := range d.groups {
		group.ranks = nil
	}
	for _, backend := range membership.LatestPerAddress(backends, d.configured) {
		server := d.servers[backend.ID]
		if server == nil || server.Started != backend.Started {
			server = &routing.Server{}
		}
		server.ListedBackend = backend
		servers[backend.ID] = server
		d.services[backend.Service] = append(d.services[backend.Service], server)
		if backend.Group != "" {
			d.addToGroup(server)
		}
	}
	d.servers = servers
	for name, group := range d.groups {
		if len(group.ranks) == 0 {
			delete(d.groups, name)
		}
	}
	return d.assignWaiting(now)
}

// configured reports whether the configuration names a service.
func (d *Dispatcher) configured(service ident.Service) bool {
	return d.table != nil && d.table.Service(service) != nil
}

func (d *Dispatcher) addToGroup(server *routing.Server) {
	group := d.groups[server.Group]
	if group == nil {
		group = &groupState{}
		d.groups[server.Group] = group
	}
	group.ranks = append(group.ranks, server)
}

// Report takes a leader's report of its group.
func (d *Dispatcher) Report(now time.Time, report GroupReport) []Assignment {
	group := d.groups[report.Group]
	if group == nil {
		return nil
	}
	group.pace = report.Pace
	group.pace.ReceivedAt = now
	group.openAtReport = group.openRequests()
	for _, server := range group.ranks {
		if rank := int(server.Rank); rank >= 0 && rank < len(report.RankLoads) {
			server.RecordReport(now, report.RankLoads[rank])
		}
	}
	return d.assignWaiting(now)
}

// Sent is another entry's word that it sent a prompt to a rank.
type Sent struct {
	Group        ident.Group
	Rank         ident.Rank
	PromptTokens int
}

// Heard takes another entry's word that it sent a prompt to a rank.
func (d *Dispatcher) Heard(now time.Time, sent Sent) {
	group := d.groups[sent.Group]
	if group == nil {
		return
	}
	for _, server := range group.ranks {
		if server.Rank != sent.Rank {
			continue
		}
		server.RecordRemoteSend(now)
		if engine := d.engineModel(server.Service); engine != nil {
			server.AddPrompt(now, sent.PromptTokens, engine.PromptRateFor(group.pace.Pass))
		}
	}
}

func (d *Dispatcher) engineModel(name ident.Service) *routing.EngineModel {
	if d.table == nil || d.table.Service(name) == nil {
		return nil
	}
	return d.table.Service(name).Engine
}

// Progressed records when a group last sent an event to this entry.
func (d *Dispatcher) Progressed(name ident.Group, at time.Time) {
	if group := d.groups[name]; group != nil && at.After(group.progressAt) {
		group.progressAt = at
	}
}

// recordResult leaves a group alone that says that it can't run requests, longer with each time.
func (g *groupState) recordResult(now time.Time, result routing.SendResult) {
	switch {
	case result == routing.SendServed:
		g.pauses = 0
	case result == routing.SendGroupBroken && !now.Before(g.pausedUntil):
		g.pausedUntil = now.Add(min(minGroupPause<<min(g.pauses, 4), maxGroupPause))
		g.pauses++
	}
}

// Ask asks for a server. The answer may come later, with any other call.
func (d *Dispatcher) Ask(now time.Time, want Want) []Assignment {
	switch want.Sending {
	case SendingFirst:
		d.repeats.CountRequest(now, want.Service)
	case SendingRepeat:
		if !d.repeats.Allow(now, want.Service) {
			return []Assignment{{Request: want.Request, Cause: outcome.CauseRetryBudget, RetryAfter: noBackendRetryAfter}}
		}
	}
	assigned, ok := d.assign(now, &want)
	switch {
	case ok:
		return []Assignment{assigned}
	case want.Instead || len(d.waiting) >= maxWaiting || !d.mayWait(now, &want, &assigned):
		if want.Sending == SendingRepeat {
			d.repeats.Release(now, want.Service)
		}
		return []Assignment{assigned}
	}
	d.enqueue(want)
	return nil
}

// mayWait reports whether a request that got no server may wait for one.
func (d *Dispatcher) mayWait(now time.Time, want *Want, answer *Assignment) bool {
	switch {
	case answer.Outage:
		return now.Before(want.OutageEnd())
	case answer.Cause == outcome.CauseBackendsFull:
		return now.Before(want.WaitEnd())
	}
	return false
}

// WaitEnd returns until when the request may wait for room. The wait is short: under overload a long
// queue would make all streams late that a short one serves in time.
func (want *Want) WaitEnd() time.Time {
	end := want.Arrived.Add(time.Duration(waitShare * float64(want.Route.Target)))
	if want.Resumed {
		end = want.Arrived.Add(maxResumeWait)
	}
	return earlier(end, want.Deadline)
}

// OutageEnd returns until when the request may wait while no server runs requests. Groups form again within a
// second or two, and callers that are sent away come back once only.
func (want *Want) OutageEnd() time.Time {
	end := want.Arrived.Add(time.Duration(outageShare * float64(want.Deadline.Sub(want.Arrived))))
	if short := want.WaitEnd(); end.Before(short) {
		return short
	}
	return earlier(end, want.Deadline)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// enqueue keeps the queue in the order in which requests are served: streams that were interrupted,
// then by priority, then by arrival.
func (d *Dispatcher) enqueue(want Want) {
	at := len(d.waiting)
	for at > 0 && precedes(&want, &d.waiting[at-1]) {
		at--
	}
	d.waiting = slices.Insert(d.waiting, at, want)
}

func precedes(a, b *Want) bool {
	if a.Resumed != b.Resumed {
		return a.Resumed
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Arrived.Before(b.Arrived)
}

// Leave forgets a request that waits: its caller left or its time is up.
func (d *Dispatcher) Leave(request uint64) {
	d.waiting = slices.DeleteFunc(d.waiting, func(want Want) bool { return want.Request == request })
}

// Ended records how a request at a server ended, and serves those that wait for its room.
func (d *Dispatcher) Ended(now time.Time, backend string, result routing.SendResult, latency time.Duration) []Assignment {
	server := d.servers[backend]
	if server == nil {
		return nil
	}
	server.Open = max(server.Open-1, 0)
	server.RecordResult(now, result, latency)
	if group := d.groups[server.Group]; group != nil {
		group.recordResult(now, result)
	}
	return d.assignWaiting(now)
}

// Tick serves and refuses waiting requests as time goes on.
func (d *Dispatcher) Tick(now time.Time) []Assignment {
	return d.assignWaiting(now)
}

// Waiting returns the number of requests that wait for room.
func (d *Dispatcher) Waiting() int {
	return len(d.waiting)
}

func (d *Dispatcher) assignWaiting(now time.Time) []Assignment {
	if len(d.waiting) == 0 {
		return nil
	}
	var assigned []Assignment
	kept := d.waiting[:0]
	for i := range d.waiting {
		want := d.waiting[i]
		answer, ok := d.assign(now, &want)
		if ok || !d.mayWait(now, &want, &answer) {
			assigned = append(assigned, answer)
			continue
		}
		kept = append(kept, want)
	}
	d.waiting = kept
	return assigned
}

// assign picks a server for the request, or says why there is none.
func (d *Dispatcher) assign(now time.Time, want *Want) (Assignment, bool) {
	answer := Assignment{Request: want.Request, PromptTokens: want.PromptTokens, Waited: now.Sub(want.Arrived), PaceAge: -1}
	if !now.Before(want.Deadline) {
		answer.Cause = outcome.CauseDeadline
		return answer, false
	}
	candidates := d.candidates(want)
	if len(candidates) == 0 {
		answer.Cause, answer.RetryAfter = outcome.CauseNoBackend, noBackendRetryAfter
		return answer, false
	}
	var chosen *routing.Server
	if engine := d.engineModel(want.Service); engine != nil {
		chosen = d.pickRank(now, want, engine, candidates, &answer)
	} else {
		chosen = d.pickPlain(now, candidates, &answer)
	}
	switch {
	case chosen == nil && answer.Outage:
		answer.Cause, answer.RetryAfter = outcome.CauseNoBackend, outageRetryAfter
		return answer, false
	case chosen == nil:
		answer.Cause = outcome.CauseBackendsFull
		return answer, false
	}
	answer.Load = chosen.Load(now)
	if group := d.groups[chosen.Group]; group != nil && group.openRequests() == 0 {
		group.progressAt = now
	}
	chosen.RecordSend(now)
	answer.Backend = chosen.ListedBackend
	return answer, true
}

// candidates returns the listed servers that may have the request. Where only servers remain that had it
// before, an idempotent request goes to one of them again.
func (d *Dispatcher) candidates(want *Want) []*routing.Server {
	var fresh, tried []*routing.Server
	for _, server := range d.services[want.Service] {
		switch {
		case server.Leaving:
		case slices.Contains(want.Tried, server.ID):
			tried = append(tried, server)
		default:
			fresh = append(fresh, server)
		}
	}
	if len(fresh) == 0 && !want.Instead {
		return tried
	}
	return fresh
}

// pickPlain picks the server with the least cost; paused ones only if there is no other.
func (d *Dispatcher) pickPlain(now time.Time, candidates []*routing.Server, answer *Assignment) *routing.Server {
	var best, paused *routing.Server
	bestCost := 0.0
	offset := d.random.IntN(len(candidates))
	for i := range candidates {
		server := candidates[(i+offset)%len(candidates)]
		if server.Slots > 0 && server.Open >= server.Slots*plainOvercommit {
			continue
		}
		if server.Paused(now) {
			if paused == nil || server.PausedUntil().Before(paused.PausedUntil()) {
				paused = server
			}
			continue
		}
		if cost := server.PlainCost(now, d.zone); best == nil || cost < bestCost {
			best, bestCost = server, cost
		}
	}
	if best == nil {
		best = paused
	}
	if best == nil {
		answer.RetryAfter = 100 * time.Millisecond
	}
	return best
}
