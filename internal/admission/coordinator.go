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
	customers map[ident.Customer]*coordinatedCustomer
	number    uint64
}

// coordinatedCustomer says when the limits of a customer could last be leased.
type coordinatedCustomer struct {
	// mine is true if this entry coordinates the customer under the present roster.
	mine bool
	// rate and concurrency are the last times at which parts could be raised.
	rate, concurrency time.Time
}

// NewLimitCoordinator returns a LimitCoordinator that knows of no leases. It grants
// nothing until all leases of an earlier coordinator must have run out.
func NewLimitCoordinator(settings Settings) *LimitCoordinator {
	return &LimitCoordinator{
		settings:  settings,
		authority: newAuthority(settings),
		limits:    make(map[LimitKey]*coordinatedLimit),
		customers: make(map[ident.Customer]*coordinatedCustomer),
	}
}

// Step handles one event at a time of the process's monotonic clock.
func (c *LimitCoordinator) Step(now time.Time, event CoordinatorEvent) []CoordinatorAction {
	c.authority.evaluate(now, c.roster)
	c.noteUnlocked(now)
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
	for _, customer := range c.customers {
		customer.mine = false
	}
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
	customer := c.customers[plan.Customer]
	if customer == nil {
		customer = &coordinatedCustomer{}
		c.customers[plan.Customer] = customer
	}
	customer.mine = true
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

// noteUnlocked remembers until when parts could be raised.
func (c *LimitCoordinator) noteUnlocked(now time.Time) {
	for _, customer := range c.customers {
		if !customer.mine {
			continue
		}
		if c.unlocked(now, customer.rate, 0) {
			customer.rate = now
		}
		if c.unlocked(now, customer.concurrency, c.settings.Leases.MaxHold) {
			customer.concurrency = now
		}
	}
}

// unlocked reports whether all leases of other coordinators have run out. It holds
// once the coordinator has been active for longer than a lease and the held time, and
// also if it lost its authority for too short a time for another one to raise a part.
func (c *LimitCoordinator) unlocked(now, last time.Time, hold time.Duration) bool {
	if !c.authority.active {
		return false
	}
	ttl := c.settings.Leases.TTL
	since := c.authority.since
	if !last.IsZero() && since.Sub(last) < ttl {
		return true
	}
	return now.Sub(since) > c.settings.lengthen(ttl+hold)
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
		customer := c.customers[key.Customer]
		if len(limit.holdings) == 0 && (customer == nil || !customer.mine) {
			delete(c.limits, key)
		}
	}
	for name, customer := range c.customers {
		if !customer.mine && now.Sub(customer.rate) > c.settings.Leases.TTL {
			delete(c.customers, name)
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
	customer := c.customers[demand.Key.Customer]
	if limit == nil || customer == nil || !customer.mine {
		return PartGrant{}, false
	}
	holding := limit.update(now, c.settings, request, demand)
	if !c.authority.active {
		return PartGrant{}, false
	}
	part := limit.offer(now, c.settings, holding)
	if !c.unlocked(now, customer.rate, 0) {
		part.Rate, part.Tokens = 0, 0
	}
	if !c.unlocked(now, customer.concurrency, c.settings.Leases.MaxHold) {
		part.Concurrency = 0
	}
	if part == (Part{}) && holding.charged(now, c.settings) == (Part{}) {
		return PartGrant{}, false
	}
	c.number++
	holding.record(c.number, part, now.Add(c.settings.lengthen(c.settings.Leases.TTL)))
	return PartGrant{Key: demand.Key, Number: c.number, Part: part}, true
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
		customer := c.customers[key.Customer]
		if customer == nil || !customer.mine || limit.limits == (template.Limits{}) {
			continue
		}
		states = append(states, LimitState{
			Key: key, Pool: leasedPool(limit.limits, c.settings.Leases),
			Leased: limit.leased(now, c.settings, nil), Holders: len(limit.holdings),
			Active: c.unlocked(now, customer.rate, 0),
		})
	}
	slices.SortFunc(states, func(a, b LimitState) int { return compareKeys(a.Key, b.Key) })
	return states
}
