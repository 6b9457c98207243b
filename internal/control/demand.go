package control

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// Constants of the shares by demand.
const (
	// capacitySmoothing is the time constant over which the capacity of a group is averaged, about the time over which
	// demand is counted. A jump in demand lowers the capacity for some 0.6 s until the next expert map is in force, which
	// must not count as overload.
	capacitySmoothing = time.Second
	// requiredFreeShare is the fraction of streams that a group must have room for beyond the present ones for nothing to be refused
	// because of shares. It keeps room for urgent requests, and no room stays unused because a capacity was underestimated.
	requiredFreeShare = 0.15
	// dividedShare is the fraction of the capacity that is divided. A group that is filled to its limit by the less urgent
	// requests would refuse urgent ones as they happen to arrive.
	dividedShare = 0.95
	// maxDemandAge is the age from which the sums of demand in a leader's report are not used.
	maxDemandAge = time.Second
	// fractionsMaxAge is the time for which computed fractions are used.
	fractionsMaxAge = 100 * time.Millisecond
)

// serviceDemand is the demand for one service and the decision about it.
type serviceDemand struct {
	counter admission.DemandCounter
	// ends counts the requests that a plain service has served. While requests wait for it, that is its capacity at this entry.
	ends    admission.DemandCounter
	credits *admission.ShareCredits
	usual   admission.UsualDemand
	// eventGap is the longest pause between events that the service's routes allow, as far as requests have shown.
	eventGap   time.Duration
	fractions  *admission.AdmittedFractions
	computedAt time.Time
	// capacity, offered and reportedAt are the inputs of the fractions.
	capacity, offered float64
	reportedAt        time.Time
}

// Overload is the decision about a service whose demand exceeds its capacity.
type Overload struct {
	Service ident.Service
	// Capacity and Demand are in requests per second.
	Capacity, Demand float64
	// CausedBy is the customer whose demand exceeds its share the most.
	CausedBy ident.Customer
	// ReportAge is the age of the reported demand; 0 for demand at this entry.
	ReportAge time.Duration
}

// Overloads returns the services whose demand exceeds their capacity, sorted by name.
func (d *Dispatcher) Overloads(now time.Time) []Overload {
	var overloads []Overload
	for _, service := range slices.Sorted(maps.Keys(d.demands)) {
		fractions, demand := d.fractionsOf(now, service), d.demands[service]
		if fractions != nil {
			overloads = append(overloads, Overload{
				Service: service, Capacity: demand.capacity, Demand: demand.offered, CausedBy: fractions.CausedBy(),
				ReportAge: now.Sub(demand.reportedAt),
			})
		}
	}
	return overloads
}

// groupDemand is what the reports of a group's leader say about demand, and the group's capacity.
type groupDemand struct {
	reported   []admission.CustomerDemand
	reportedAt time.Time
	// capacity is the smoothed capacity in streams per second as of capacityAt.
	capacity   float64
	capacityAt time.Time
}

// recordCapacity averages the capacity of a group.
func (g *groupDemand) recordCapacity(now time.Time, capacity float64) {
	elapsed := now.Sub(g.capacityAt)
	if g.capacityAt.IsZero() || elapsed >= capacitySmoothing {
		g.capacity = capacity
	} else if elapsed > 0 {
		g.capacity += (capacity - g.capacity) * float64(elapsed) / float64(capacitySmoothing)
	}
	g.capacityAt = now
}

// demandOf returns the state of a service's demand.
func (d *Dispatcher) demandOf(service ident.Service) *serviceDemand {
	demand := d.demands[service]
	if demand == nil {
		demand = &serviceDemand{credits: admission.NewShareCredits(d.random.Float64)}
		d.demands[service] = demand
	}
	return demand
}

// GroupDemand returns what callers offer at this entry for the service of a group.
func (d *Dispatcher) GroupDemand(now time.Time, name ident.Group) []admission.CustomerDemand {
	group := d.groups[name]
	if group == nil || len(group.ranks) == 0 || d.demands[group.ranks[0].Service] == nil {
		return nil
	}
	return d.demands[group.ranks[0].Service].counter.Demand(now)
}

// recordGroupDemand records the sums of demand and the capacity in a leader's report.
func (d *Dispatcher) recordGroupDemand(now time.Time, group *groupState, report *GroupReport) {
	if len(report.Demand) > 0 {
		group.demand.reported, group.demand.reportedAt = report.Demand, now
	}
	if len(group.ranks) == 0 {
		return
	}
	service := group.ranks[0].Service
	engine, demand := d.engineModel(service), d.demands[service]
	if engine == nil || demand == nil || demand.eventGap <= 0 {
		return
	}
	gate := admission.PassGate{Engine: engine, MaxEventGap: demand.eventGap}
	group.demand.recordCapacity(now, gate.Capacity(group.pace))
}

// countDemand counts a request that a caller offers. Further sends of a request are not counted.
func (d *Dispatcher) countDemand(now time.Time, request *BackendRequest) {
	demand := d.demandOf(request.Service)
	demand.eventGap = max(demand.eventGap, request.Route.EventGap)
	demand.counter.Add(now, request.Customer, request.Priority, request.Retry)
}

// fractionsOf returns the admitted fractions of a service; nil if its demand is within its capacity, or if either is unknown.
func (d *Dispatcher) fractionsOf(now time.Time, service ident.Service) *admission.AdmittedFractions {
	demand, plain := d.demands[service], d.engineModel(service) == nil
	if demand == nil || plain && d.waitingFor(service) == 0 {
		return nil
	}
	if age := now.Sub(demand.computedAt); age >= 0 && age < fractionsMaxAge {
		return demand.fractions
	}
	demand.computedAt, demand.fractions = now, nil
	var sums []admission.CustomerDemand
	if plain {
		demand.capacity, demand.reportedAt, sums = admission.TotalRate(demand.ends.Demand(now)), now, demand.counter.Demand(now)
	} else {
		demand.capacity, demand.reportedAt, sums = d.reportedDemand(now, service)
		demand.capacity *= dividedShare
	}
	demand.offered = admission.TotalRate(sums)
	demand.fractions = admission.DemandShares{Weight: demand.usual.Weight}.Fractions(demand.capacity, sums)
	if demand.fractions == nil && len(sums) > 0 {
		demand.usual.Record(now, sums)
	}
	return demand.fractions
}

// reportedDemand returns the capacity of a service's groups and the sums of demand for it, with the time of their report. There
// are no sums if the capacity of a group that may get requests is unknown. Entries state their whole demand for the service to
// the leader of each group, so that the sums of one leader are taken: the greatest, because a leader may miss entries.
func (d *Dispatcher) reportedDemand(now time.Time, service ident.Service) (capacity float64, at time.Time, sums []admission.CustomerDemand) {
	for name, group := range d.groups {
		if len(group.ranks) == 0 || group.ranks[0].Service != service || d.unavailable(now, name, group.ranks, &BackendRequest{}) {
			continue
		}
		if !group.pace.Fresh(now) || group.demand.capacity <= 0 {
			return 0, now, nil
		}
		capacity += group.demand.capacity
		if now.Sub(group.demand.reportedAt) < maxDemandAge && admission.TotalRate(group.demand.reported) > admission.TotalRate(sums) {
			sums, at = group.demand.reported, group.demand.reportedAt
		}
	}
	return capacity, at, sums
}

// hasFreeShare reports whether a group of the service has room for requiredFreeShare more streams.
func (d *Dispatcher) hasFreeShare(now time.Time, request *BackendRequest, engine *routing.EngineModel) bool {
	gate := admission.PassGate{Engine: engine, MaxEventGap: request.Route.EventGap}
	for name, group := range d.groups {
		if len(group.ranks) == 0 || group.ranks[0].Service != request.Service || d.unavailable(now, name, group.ranks, request) {
			continue
		}
		pace, fresh := d.currentPace(now, gate, group, group.forecast.demand)
		if !fresh {
			return true
		}
		writers := gate.EstimateWriters(pace, group.openRequests()-group.openAtReport)
		needed := writers + int(requiredFreeShare*float64(writers))
		if gate.Decide(pace, needed, group.forecast.demand).Admitted && needed < engine.Slots*pace.Ranks {
			return true
		}
	}
	return false
}

// markShare decides once whether a new request exceeds the share of its customer and priority, if its service is overloaded. It
// returns true if it did.
func (d *Dispatcher) markShare(now time.Time, request *BackendRequest) bool {
	if request.shareKnown || request.Reason != SendReasonFirst || request.Resumed || request.OtherGroupOnly {
		return false
	}
	fractions := d.fractionsOf(now, request.Service)
	if fractions == nil {
		return false
	}
	request.shareKnown = true
	fraction := fractions.Of(request.Customer, request.Priority)
	if !d.demands[request.Service].credits.Admit(request.Customer, request.Priority, fraction) {
		request.overShare, request.share = true, fraction
	}
	return true
}

// decideByShare applies the shares by demand to a new request. It returns true with the decisions if they are made: the
// request is refused, or others wait that may be served before it.
func (d *Dispatcher) decideByShare(now time.Time, request *BackendRequest) ([]Assignment, bool) {
	if request.Reason != SendReasonFirst || request.Resumed || request.OtherGroupOnly {
		return nil, false
	}
	d.countDemand(now, request)
	if !d.markShare(now, request) {
		return nil, false
	}
	engine := d.engineModel(request.Service)
	switch {
	case request.overShare && engine != nil && d.fractionsOf(now, request.Service).Shared() && !d.hasFreeShare(now, request, engine):
		return []Assignment{{
			Request: request.ID, PromptTokens: request.PromptTokens, Waited: now.Sub(request.Arrived), ReportAge: -1,
			Cause: outcome.CauseOverShare, CausedBy: d.fractionsOf(now, request.Service).CausedBy(), Share: request.share,
			RetryAfter: admission.ShareRetryAfter(d.random.Float64()),
		}}, true
	case len(d.waiting) < maxWaiting && d.mustQueue(request):
		d.enqueue(*request)
		return d.assignWaiting(now), true
	}
	return nil, false
}

// nameCause sets the customer because of whom a request is refused for lack of room.
func (d *Dispatcher) nameCause(now time.Time, request *BackendRequest, assignment *Assignment) {
	if assignment.Cause == outcome.CauseBackendsFull {
		assignment.CausedBy = d.fractionsOf(now, request.Service).CausedBy()
	}
}

// recordPlainEnd counts a request that a plain server has served.
func (d *Dispatcher) recordPlainEnd(now time.Time, server *routing.Server, result routing.SendResult) {
	if server.Group == "" && result == routing.SendServed && d.demands[server.Service] != nil {
		d.demands[server.Service].ends.Add(now, "", 0, false)
	}
}
