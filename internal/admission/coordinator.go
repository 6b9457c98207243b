package admission

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// LimitCoordinator leases the parts of the limits whose coordinator is this entry.
// It is not safe for concurrent use.
type LimitCoordinator struct {
	settings  Settings
	roster    roster
	authority authority
	limits    map[LimitKey]*coordinatedLimit
	// customers are those whose limits are coordinated here under the present roster.
	customers map[ident.Customer]struct{}
	number    uint64
}

// NewLimitCoordinator returns a LimitCoordinator that knows of no leases. It raises no
// part until all leases of an earlier coordinator must have run out, and prolongs
// those that it hears of.
func NewLimitCoordinator(settings Settings) *LimitCoordinator {
	return &LimitCoordinator{
		settings:  settings,
		authority: newAuthority(settings),
		limits:    make(map[LimitKey]*coordinatedLimit),
		customers: make(map[ident.Customer]struct{}),
	}
}

// Step handles one event at a time of the process's monotonic clock.
func (c *LimitCoordinator) Step(now time.Time, event CoordinatorEvent) []CoordinatorAction {
	c.authority.evaluate(now, c.roster)
	switch e := event.(type) {
	case Configure:
		c.configure(now, e)
	case LimitRequested:
		return c.requested(now, e.Request)
	case Tick:
		c.forget(now)
	}
	return nil
}

func (c *LimitCoordinator) configure(now time.Time, e Configure) {
	r := c.roster.update(e.Roster, c.settings.Leases.MaxCoordinators)
	if r.digest != c.roster.digest {
		c.authority.restart()
	}
	c.roster = r
	clear(c.customers)
	for _, limit := range c.limits {
		limit.limits = template.Limits{}
	}
	for i := range e.Plans {
		c.configureCustomer(&e.Plans[i])
	}
	c.forget(now)
}

func (c *LimitCoordinator) configureCustomer(plan *template.CustomerPlan) {
	if c.roster.coordinator(plan.Customer) != c.settings.Self.VM {
		return
	}
	c.customers[plan.Customer] = struct{}{}
	for i := range plan.Classes {
		class := &plan.Classes[i]
		key := LimitKey{Customer: plan.Customer, Class: class.Name}
		limit := c.limits[key]
		if limit == nil {
			limit = newCoordinatedLimit(key)
			c.limits[key] = limit
		}
		limit.limits = class.Limits
	}
}

// mayRaise reports whether all leases of other coordinators have run out, and whatever
// was accepted under them and is held for at most the given time has ended.
func (c *LimitCoordinator) mayRaise(now time.Time, hold time.Duration) bool {
	if !c.authority.active {
		return false
	}
	return now.Sub(c.authority.since) > c.settings.lengthen(c.settings.Leases.TTL+hold)
}

// lengthen returns a duration that has passed on every clock when it has on this one.
func (s Settings) lengthen(d time.Duration) time.Duration {
	return d + time.Duration(2*s.Leases.ClockDrift*float64(d))
}

// forget drops what no longer matters: limits that are not coordinated here any more
// and hold no lease.
func (c *LimitCoordinator) forget(now time.Time) {
	for key, limit := range c.limits {
		limit.expire(now, c.settings)
		if _, mine := c.customers[key.Customer]; !mine && len(limit.holdings) == 0 {
			delete(c.limits, key)
		}
	}
}

// requested answers a holder's request.
func (c *LimitCoordinator) requested(now time.Time, request LimitRequest) []CoordinatorAction {
	if request.Roster != c.roster.digest || !c.roster.contains(request.From.VM) {
		c.authority.forget(request)
		return nil
	}
	if !c.authority.confirm(now, request) {
		return nil
	}
	c.authority.evaluate(now, c.roster)
	answer := LimitGrant{
		From: c.settings.Self, To: request.From, Roster: c.roster.digest, Sequence: request.Sequence,
		Poll: c.authority.poll(now), TTL: c.settings.Leases.TTL,
	}
	for _, demand := range request.Demands {
		if grant, ok := c.grant(now, request, demand); ok {
			answer.Grants = append(answer.Grants, grant)
		}
	}
	return []CoordinatorAction{SendLimitGrant{To: request.From.VM, Message: answer}}
}

// grant decides on the demand for one limit.
func (c *LimitCoordinator) grant(now time.Time, request LimitRequest, demand PartDemand) (PartGrant, bool) {
	limit := c.limits[demand.Key]
	if _, mine := c.customers[demand.Key.Customer]; !mine || limit == nil {
		return PartGrant{}, false
	}
	holding := limit.update(now, c.settings, request, demand)
	limit.replaceProcess(request.From, c.authority.basis(request.From.VM))
	if !c.authority.active {
		return PartGrant{}, false
	}
	grant := PartGrant{Key: demand.Key, Part: limit.offer(now, c.settings, holding)}
	c.keepWithinHeld(now, &grant, demand)
	if grant.Part == (Part{}) && holding.charged(now, c.settings) == (Part{}) {
		return PartGrant{}, false
	}
	c.number++
	grant.Number = c.number
	holding.record(c.number, grant.Part, now.Add(c.settings.lengthen(c.settings.Leases.TTL)))
	return grant, true
}

// keepWithinHeld cuts a grant to what the holder has of an earlier coordinator, as long
// as leases of that one may be in use elsewhere.
func (c *LimitCoordinator) keepWithinHeld(now time.Time, grant *PartGrant, demand PartDemand) {
	var prolongs bool
	if !c.mayRaise(now, 0) {
		grant.Part.Rate = min(grant.Part.Rate, demand.Held.Rate)
		grant.Part.Tokens = min(grant.Part.Tokens, demand.Held.Tokens)
		prolongs = grant.Part.Rate > 0 || grant.Part.Tokens > 0
	}
	if !c.mayRaise(now, c.settings.Leases.MaxHold) {
		grant.Part.Concurrency = min(grant.Part.Concurrency, demand.Held.Concurrency)
		prolongs = prolongs || grant.Part.Concurrency > 0
	}
	if prolongs {
		grant.Adopts = demand.Grant
		grant.AdoptsOf = demand.Grantor
	}
}

// LimitState describes the division of one limit for the operators' API.
type LimitState struct {
	Key LimitKey `json:"key"`
	// Pool is what may be leased, Leased what is or may still be in use.
	Pool   Part `json:"pool"`
	Leased Part `json:"leased"`
	// Holders is the number of entry processes with a lease.
	Holders int `json:"holders"`
	// Active is true if parts can be raised at present.
	Active bool `json:"active"`
}

// Snapshot returns the limits that this entry coordinates, sorted by key.
func (c *LimitCoordinator) Snapshot(now time.Time) []LimitState {
	var states []LimitState
	for key, limit := range c.limits {
		if _, mine := c.customers[key.Customer]; !mine || limit.limits == (template.Limits{}) {
			continue
		}
		states = append(states, LimitState{
			Key: key, Pool: leasedPool(limit.limits, c.settings.Leases),
			Leased: limit.leased(now, c.settings, nil), Holders: len(limit.holdings),
			Active: c.mayRaise(now, 0),
		})
	}
	slices.SortFunc(states, func(a, b LimitState) int { return compareKeys(a.Key, b.Key) })
	return states
}
