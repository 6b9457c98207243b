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

// Limits on the time that requests wait for a backend server.
const (
	// waitShare is the fraction of a route's target time that a request may wait for a free
	// slot before it is refused. The target is the time to the answer, or to the first event of
	// a stream. A stream needs about a tenth of it to start; the rest is left to send the event
	// to the caller.
	waitShare = 0.3
	// outageShare is the fraction of the time from its arrival to its deadline that a request
	// may wait while no group runs requests: 1 s for a deadline of 8 s.
	outageShare = 0.125
	// outageRetryAfter is the Retry-After time during such an outage: the group waits for its
	// lost rank to return and then needs 0.6 s to form.
	outageRetryAfter = 1500 * time.Millisecond
	// maxResumeWait is how long an interrupted stream may wait for another server. Its caller
	// disconnects after two seconds without an event, and it takes more than one second to
	// detect a lost rank.
	maxResumeWait = 400 * time.Millisecond
	// minGroupPause is the first pause of a group that can't run requests, in which it gets no
	// new ones. Each further pause is twice as long, up to maxGroupPause. Groups form again 0.6
	// s after a lost rank is back.
	minGroupPause = 250 * time.Millisecond
	maxGroupPause = time.Second
	// stallTimeout is how long a group's streams may send no event before new requests go to
	// other groups. It is about three passes (rounds of routing.EngineModel.StepsPerPass steps)
	// of a group with as many streams as it admits. A group that lost a rank or whose steps are
	// held sends no events for longer.
	stallTimeout = 400 * time.Millisecond
	// noBackendRetryAfter is the Retry-After time when no server is listed: the interval at which servers renew their list items.
	noBackendRetryAfter = time.Second
	// maxWaiting is the maximum number of waiting requests at one entry. An entry receives some
	// ten requests a second, which wait for about a tenth of a second, so that only a flood
	// reaches the limit.
	maxWaiting = 256
	// plainOvercommit is how many requests per slot one entry keeps open at a plain server,
	// which queues a few.
	plainOvercommit = 4
)

// Dispatcher is the control state of an entry that sends requests directly to backend servers:
// the listed servers, their open requests and the requests that wait for a server. Package
// gateway uses it; package entry, which leases backend servers from agents, uses Entry. It does
// no I/O and reads no clock. It is not safe for concurrent use.
type Dispatcher struct {
	zone ident.Zone
	// started is the start of the process; zero if no process ran in its place before.
	started  time.Time
	random   *rand.Rand
	table    *routing.Table
	servers  map[string]*routing.Server
	services map[ident.Service][]*routing.Server
	// owners tells the records of servers from copies that another writer has left. leftOut are the copies of the present list.
	owners  membership.PlaceOwners
	leftOut map[attempt.ServerInstance]bool
	// needsListing is true if owners has learned of copies since SetBackends.
	needsListing bool
	groups       map[ident.Group]*groupState
	repeats      *attempt.Repeats
	crashes      *attempt.CrashRegister
	// limits has the servers that state a limit of requests, by ID. entries is the number of entries that keep it, and
	// isolated is true if this one hears of no other.
	limits   map[string]*admission.ServerLimit
	entries  int
	isolated bool
	waiting  []BackendRequest
	// resting has the end of the rest of each server that asked for one. It is kept while a server is not listed.
	resting map[attempt.ServerInstance]time.Time
	// arrivals has the demand for each service at this entry. full has the refusals of the current round over the waiting
	// requests, which hold for further ones; nil outside of a round.
	arrivals  map[ident.Service]*admission.ArrivalTrend
	full      map[fullKey]fullGroups
	demands   map[ident.Service]*serviceDemand
	evacuated evacuations
	cold      coldServers
}

// NewDispatcher returns a dispatcher without backend servers for an entry in the zone. The seed must be drawn at random for each start.
func NewDispatcher(zone ident.Zone, seed uint64, repeats attempt.RepeatConfig) *Dispatcher {
	random := rand.New(rand.NewPCG(seed, seed^0x5bd1e995))
	return &Dispatcher{
		zone:     zone,
		started:  repeats.Started,
		random:   random,
		servers:  map[string]*routing.Server{},
		services: map[ident.Service][]*routing.Server{},
		groups:   map[ident.Group]*groupState{},
		repeats:  attempt.NewRepeats(repeats, random),
		crashes:  attempt.NewCrashRegister(attempt.DefaultCrashConfig(), seed),
		limits:   map[string]*admission.ServerLimit{},
		resting:  map[attempt.ServerInstance]time.Time{},
		demands:  map[ident.Service]*serviceDemand{},
		entries:  1,
		arrivals: map[ident.Service]*admission.ArrivalTrend{},
	}
}

// Configure sets the routing table in force.
func (d *Dispatcher) Configure(table *routing.Table) {
	d.table = table
}

// SetBackends sets the listed servers. The counts of a server are kept as long as the same
// incarnation of it is listed. Like RecordGroupReport, RecordEnd and Tick, it returns the
// decisions now made for waiting requests, which are assignments or refusals.
func (d *Dispatcher) SetBackends(now time.Time, backends []membership.ListedBackend) []Assignment {
	servers := make(map[string]*routing.Server, len(backends))
	clear(d.services)
	for _, group := range d.groups {
		group.ranks = nil
	}
	d.needsListing = false
	d.owners.RecordListed(now, backends)
	kept := d.owners.WithoutCopies(now, backends)
	d.leftOut = without(backends, kept)
	for _, backend := range membership.LatestPerAddress(kept, d.configured) {
		server := d.servers[backend.ID]
		if server == nil || server.Started != backend.Started {
			server = &routing.Server{}
			server.RecordRest(d.resting[InstanceOf(&backend)])
		}
		server.ListedBackend = backend
		servers[backend.ID] = server
		d.services[backend.Service] = append(d.services[backend.Service], server)
		if backend.Group != "" {
			d.addToGroup(server)
		}
	}
	d.recordRemoved(now, servers)
	d.removeLimits(now, servers)
	d.applyCold(now, servers)
	d.countServers(now)
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

// RequestBackend requests a server. It returns the assignment or refusal of this request. If no
// server is free, the request may wait: RequestBackend then returns nil, and a later call of
// SetBackends, RecordGroupReport, RecordEnd or Tick returns the decision.
func (d *Dispatcher) RequestBackend(now time.Time, request BackendRequest) []Assignment {
	if refused, ok := d.refuseRepeat(now, &request); ok {
		return []Assignment{refused}
	}
	if decided, ok := d.decideByShare(now, &request); ok {
		return decided
	}
	assigned, ok := d.assign(now, &request)
	switch {
	case ok:
		return []Assignment{assigned}
	case request.OtherGroupOnly || request.Moved || len(d.waiting) >= maxWaiting || !d.mayWait(now, &request, &assigned):
		d.releaseRepeat(now, &request)
		d.nameCause(now, &request, &assigned)
		return []Assignment{assigned}
	}
	d.enqueue(request)
	return nil
}

// mayWait reports whether a request that got no server may wait for one.
func (d *Dispatcher) mayWait(now time.Time, request *BackendRequest, assignment *Assignment) bool {
	switch {
	case assignment.LimitedFor > 0:
		return now.Add(assignment.LimitedFor).Before(request.WaitEnd())
	case assignment.Outage:
		return now.Before(request.OutageEnd())
	case assignment.Cause == outcome.CauseBackendsFull:
		return now.Before(request.slotWaitEnd(now, assignment))
	}
	return false
}

// CancelRequest removes a waiting request whose caller disconnected or whose deadline passed.
func (d *Dispatcher) CancelRequest(now time.Time, id uint64) {
	d.waiting = slices.DeleteFunc(d.waiting, func(request BackendRequest) bool {
		if request.ID == id {
			d.releaseRepeat(now, &request)
		}
		return request.ID == id
	})
}

// RecordEnd records how a request at a server ended, and assigns the free slot to waiting
// requests.
func (d *Dispatcher) RecordEnd(now time.Time, backend string, result routing.SendResult, latency time.Duration) []Assignment {
	server := d.servers[backend]
	if server == nil {
		return nil
	}
	server.Open = max(server.Open-1, 0)
	server.RecordResult(now, result, latency)
	d.recordPlainEnd(now, server, result)
	if group := d.groups[server.Group]; group != nil {
		group.recordResult(now, result)
	}
	d.needsListing = d.recordOwner(now, server, result) || d.needsListing
	return d.assignWaiting(now)
}

// NeedsListing reports whether requests have shown that some records of the list are copies, so that SetBackends must be called again.
func (d *Dispatcher) NeedsListing() bool { return d.needsListing }

// Copies returns the number of listed records that are taken for copies.
func (d *Dispatcher) Copies() int { return len(d.leftOut) }

// without returns the listed servers that are not among the kept ones; nil if there are none. Both have the same order.
func without(listed, kept []membership.ListedBackend) map[attempt.ServerInstance]bool {
	if len(kept) == len(listed) {
		return nil
	}
	left := map[attempt.ServerInstance]bool{}
	for i, next := 0, 0; i < len(listed); i++ {
		if instance := InstanceOf(&listed[i]); next < len(kept) && InstanceOf(&kept[next]) == instance {
			next++
		} else {
			left[instance] = true
		}
	}
	return left
}

// recordOwner records what the result of a request says about the records of the server's place. It reports whether one of them counts no more.
func (d *Dispatcher) recordOwner(now time.Time, server *routing.Server, result routing.SendResult) bool {
	switch result {
	case routing.SendServed:
		d.owners.RecordServed(&server.ListedBackend)
	case routing.SendMisdirected:
		return d.owners.RecordMisdirected(now, &server.ListedBackend)
	case routing.SendFailed, routing.SendBroken, routing.SendNotConnected, routing.SendRejected, routing.SendAbandoned, routing.SendEvacuated,
		routing.SendGroupBroken:
	}
	return false
}

// Tick assigns servers to waiting requests and refuses those that may wait no longer. It also does the periodic work of
// the CrashRegister.
func (d *Dispatcher) Tick(now time.Time) []Assignment {
	d.crashes.Tick(now)
	d.removeLimits(now, d.servers)
	return d.assignWaiting(now)
}

// Waiting returns the number of requests that wait for a server.
func (d *Dispatcher) Waiting() int {
	return len(d.waiting)
}

func (d *Dispatcher) assignWaiting(now time.Time) []Assignment {
	if len(d.waiting) == 0 {
		return nil
	}
	d.full = map[fullKey]fullGroups{}
	defer func() { d.full = nil }()
	d.orderWaiting(now)
	var assigned []Assignment
	kept := d.waiting[:0]
	for i := range d.waiting {
		request := d.waiting[i]
		assignment, ok := d.assign(now, &request)
		if ok || !d.mayWait(now, &request, &assignment) {
			if !ok {
				d.releaseRepeat(now, &request)
			}
			d.nameCause(now, &request, &assignment)
			assigned = append(assigned, assignment)
			continue
		}
		kept = append(kept, request)
	}
	d.waiting = kept
	return assigned
}

// assign picks a server for the request. It returns false, with the cause, if there is none.
func (d *Dispatcher) assign(now time.Time, request *BackendRequest) (Assignment, bool) {
	assignment := Assignment{Request: request.ID, PromptTokens: request.PromptTokens, Waited: now.Sub(request.Arrived), ReportAge: -1}
	if !now.Before(request.Deadline) {
		assignment.Cause = outcome.CauseDeadline
		return assignment, false
	}
	if d.refuseSuspect(now, request, &assignment) {
		return assignment, false
	}
	candidates := d.candidates(now, request)
	if len(candidates) == 0 {
		assignment.Cause, assignment.RetryAfter = d.noCandidate(request)
		return assignment, false
	}
	candidates, assignment.LimitedFor = d.withinLimits(now, candidates)
	if len(candidates) == 0 {
		assignment.Cause = outcome.CauseBackendsFull
		assignment.RetryAfter = assignment.LimitedFor + time.Duration(d.random.Int64N(int64(limitRetrySpread)))
		return assignment, false
	}
	chosen := d.pickShared(now, request, candidates, &assignment)
	switch {
	case chosen == nil && assignment.Outage:
		assignment.Cause, assignment.RetryAfter = outcome.CauseNoBackend, outageRetryAfter
		return assignment, false
	case chosen == nil:
		assignment.Cause = outcome.CauseBackendsFull
		return assignment, false
	}
	assignment.Load = chosen.Load(now)
	if group := d.groups[chosen.Group]; group != nil && group.openRequests() <= group.held {
		group.progressAt = now
	}
	chosen.RecordSend(now)
	if assignment.Suspect {
		chosen.OpenSuspects++
	}
	assignment.Limited = d.recordLimitedSend(now, chosen)
	assignment.Backend = chosen.ListedBackend
	return assignment, true
}

// candidates returns the listed servers that may get the request. If there is no other, it may go to a slow rank, or to a
// server that it was sent to before, unless OtherGroupOnly or Moved is set. The gateway requests no further server for a
// request that must not run again.
func (d *Dispatcher) candidates(now time.Time, request *BackendRequest) []*routing.Server {
	var fresh, slow, tried []*routing.Server
	for _, server := range d.services[request.Service] {
		switch {
		case !d.mayReceive(server):
		case slices.Contains(request.Tried, server.ID):
			tried = append(tried, server)
		case d.avoided(now, server):
			slow = append(slow, server)
		default:
			fresh = append(fresh, server)
		}
	}
	switch {
	case len(fresh) > 0 || request.Moved:
		return fresh
	case len(slow) > 0 || request.OtherGroupOnly:
		return slow
	}
	return tried
}

// pickPlain picks the server with the lowest cost, and a paused one only if there is no other.
func (d *Dispatcher) pickPlain(now time.Time, candidates []*routing.Server, assignment *Assignment) *routing.Server {
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
		assignment.RetryAfter = 100 * time.Millisecond
	}
	return best
}
