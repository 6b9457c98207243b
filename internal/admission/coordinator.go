package admission

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// LimitCoordinator leases parts of limits to all entries, for the customers whose limits this entry coordinates.
// It is not safe for concurrent use.
type LimitCoordinator struct {
	settings  Settings
	roster    roster
	authority authority
	limits    map[ClassKey]*coordinatedLimit
	// customers are those whose limits this entry coordinates under the current roster.
	customers map[ident.Customer]struct{}
	lastGrant uint64
}

// NewLimitCoordinator returns a LimitCoordinator without leases. It increases no part, and only renews the leases that
// holders report, until it is certain that all leases of earlier coordinators have expired.
func NewLimitCoordinator(settings Settings) *LimitCoordinator {
	return &LimitCoordinator{
		settings:  settings,
		authority: newAuthority(settings),
		limits:    make(map[ClassKey]*coordinatedLimit),
		customers: make(map[ident.Customer]struct{}),
	}
}

// Step handles one event; now is the time of the process's monotonic clock.
func (c *LimitCoordinator) Step(now time.Time, event CoordinatorEvent) []CoordinatorAction {
	c.authority.evaluate(now, c.roster)
	switch e := event.(type) {
	case Configure:
		c.configure(now, e)
	case LimitRequested:
		return c.handleRequest(now, e.Request)
	case Tick:
		c.removeUnused(now)
	}
	return nil
}

func (c *LimitCoordinator) configure(now time.Time, e Configure) {
	r := c.roster.update(e.Roster, c.settings.Leases.MaxCoordinators)
	if r.digest != c.roster.digest {
		c.authority.reset()
	}
	c.roster = r
	clear(c.customers)
	for _, limit := range c.limits {
		limit.limits = template.Limits{}
	}
	for i := range e.Plans {
		c.configureCustomer(&e.Plans[i])
	}
	c.removeUnused(now)
}

func (c *LimitCoordinator) configureCustomer(plan *template.CustomerPlan) {
	if c.roster.coordinator(plan.Customer) != c.settings.Self.VM {
		return
	}
	c.customers[plan.Customer] = struct{}{}
	for i := range plan.Classes {
		class := &plan.Classes[i]
		key := ClassKey{Customer: plan.Customer, Class: class.Name}
		limit := c.limits[key]
		if limit == nil {
			limit = newCoordinatedLimit(key)
			c.limits[key] = limit
		}
		limit.limits = class.Limits
	}
}

// mayIncrease reports whether it is certain that all leases of other coordinators have expired at least maxOpenTime ago.
// For concurrency maxOpenTime is MaxHold, so that the requests accepted under those leases have ended. For rates and
// tokens it is 0, because open requests do not use them any more.
func (c *LimitCoordinator) mayIncrease(now time.Time, maxOpenTime time.Duration) bool {
	if !c.authority.active {
		return false
	}
	return now.Sub(c.authority.activeSince) > c.settings.withClockDrift(c.settings.Leases.TTL+maxOpenTime)
}

// withClockDrift extends d so that once the result has passed on this clock, d has passed on every clock. With a drift x
// another clock may run at only 1 - x of this clock's speed. The extension by 2x suffices for x up to 0.5, because
// (1 + 2x) * (1 - x) >= 1.
func (s Settings) withClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(2*s.Leases.ClockDrift*float64(d))
}

// removeUnused removes the limits that are not coordinated here any more and have no holder.
func (c *LimitCoordinator) removeUnused(now time.Time) {
	for key, limit := range c.limits {
		limit.expire(now, c.settings)
		if _, coordinated := c.customers[key.Customer]; !coordinated && len(limit.holders) == 0 {
			delete(c.limits, key)
		}
	}
}

// handleRequest answers an entry's request.
func (c *LimitCoordinator) handleRequest(now time.Time, request LimitRequest) []CoordinatorAction {
	if request.Roster != c.roster.digest || !c.roster.contains(request.From.VM) {
		c.authority.removeMember(request)
		return nil
	}
	if !c.authority.confirm(now, request) {
		return nil
	}
	c.authority.evaluate(now, c.roster)
	answer := LimitGrant{
		From: c.settings.Self, To: request.From, Roster: c.roster.digest, Sequence: request.Sequence,
		EchoNumber: c.authority.echoNumber(now), TTL: c.settings.Leases.TTL,
	}
	for _, demand := range request.Demands {
		if grant, ok := c.grant(now, request, demand); ok {
			answer.Grants = append(answer.Grants, grant)
		}
	}
	return []CoordinatorAction{SendLimitGrant{To: request.From.VM, Message: answer}}
}

// grant answers the demand for one limit.
func (c *LimitCoordinator) grant(now time.Time, request LimitRequest, demand PartDemand) (PartGrant, bool) {
	limit := c.limits[demand.Key]
	if _, coordinated := c.customers[demand.Key.Customer]; !coordinated || limit == nil {
		return PartGrant{}, false
	}
	holder := limit.update(now, c.settings, request, demand)
	limit.releaseReplacedProcesses(request.From, c.authority.lastEchoSentAt(request.From.VM))
	if !c.authority.active {
		return PartGrant{}, false
	}
	grant := PartGrant{Key: demand.Key, Part: limit.allocate(now, c.settings, holder)}
	c.limitToHeld(now, &grant, demand)
	if grant.Part == (Part{}) && holder.maxInUse(now, c.settings) == (Part{}) {
		return PartGrant{}, false
	}
	c.lastGrant++
	grant.Number = c.lastGrant
	holder.recordGrant(c.lastGrant, grant.Part, now.Add(c.settings.withClockDrift(c.settings.Leases.TTL)))
	return grant, true
}

// limitToHeld reduces a grant to the part that the entry holds from an earlier coordinator, as long as leases of that
// coordinator may still be in use at other entries.
func (c *LimitCoordinator) limitToHeld(now time.Time, grant *PartGrant, demand PartDemand) {
	var renews bool
	if !c.mayIncrease(now, 0) {
		grant.Part.Rate = min(grant.Part.Rate, demand.Held.Rate)
		grant.Part.Tokens = min(grant.Part.Tokens, demand.Held.Tokens)
		renews = grant.Part.Rate > 0 || grant.Part.Tokens > 0
	}
	if !c.mayIncrease(now, c.settings.Leases.MaxHold) {
		grant.Part.Concurrency = min(grant.Part.Concurrency, demand.Held.Concurrency)
		renews = renews || grant.Part.Concurrency > 0
	}
	if renews {
		grant.RenewedGrant = demand.Grant
		grant.RenewedGrantor = demand.Grantor
	}
}

// LimitState describes the division of one limit for the operators' API.
type LimitState struct {
	Key ClassKey `json:"key"`
	// Pool is the part of the limit that may be leased; Leased is the part that is or may be in use.
	Pool   Part `json:"pool"`
	Leased Part `json:"leased"`
	// Holders is the number of entry processes that reported demand within the last MaxHold, with or without a
	// lease, or that may still have open requests under a lease.
	Holders int `json:"holders"`
	// MayIncrease is true if the coordinator may increase rates and tokens. While it is false, it only renews parts that
	// entries hold. Concurrency can be increased MaxHold later. It becomes true later than authority.active, once the
	// leases of other coordinators have expired.
	MayIncrease bool `json:"active"`
}

// Snapshot returns the state of the limits that this entry coordinates, sorted by key.
func (c *LimitCoordinator) Snapshot(now time.Time) []LimitState {
	var states []LimitState
	for key, limit := range c.limits {
		if _, coordinated := c.customers[key.Customer]; !coordinated || limit.limits == (template.Limits{}) {
			continue
		}
		states = append(states, LimitState{
			Key: key, Pool: leasedPool(limit.limits, c.settings.Leases),
			Leased: limit.leased(now, c.settings, nil), Holders: len(limit.holders),
			MayIncrease: c.mayIncrease(now, 0),
		})
	}
	slices.SortFunc(states, func(a, b LimitState) int { return compareKeys(a.Key, b.Key) })
	return states
}
