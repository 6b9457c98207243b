package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Constants of the shares by demand.
const (
	// floorShare is the fraction of the overall admitted fraction that the least urgent requests of a customer get at
	// least, so that no class is served less than a quarter as often as all requests.
	floorShare = 0.25
	// minShareRetryAfter and maxShareRetryAfter bound the Retry-After of requests refused for their customer's share. They
	// are the bounds of PassGate.RetryAfter, because the same streams must end before there is room.
	minShareRetryAfter = minGroupRetryAfter
	maxShareRetryAfter = maxGroupRetryAfter
)

// CustomerDemand is the rate at which callers offer requests of one customer at one priority.
type CustomerDemand struct {
	// Customer is OtherCustomers for the sum over customers that are not listed.
	Customer ident.Customer
	Priority int
	// Rate is the number of offered requests per second, also of those that are refused. Retries is the part of it that
	// repeats refused requests.
	Rate, Retries float64
}

// minDemandRate is the least rate in requests per second that is counted. Entries round to one request in about a second.
const minDemandRate = 0.01

// valid reports whether the rates can be used; a received message may contain anything.
func (d CustomerDemand) valid() bool {
	return d.Rate >= minDemandRate && !math.IsInf(d.Rate, 1) && d.Retries >= 0 && d.Retries <= d.Rate
}

// DemandShares decides which fraction of the requests of each customer and priority a service admits. Customers get weighted
// max-min shares of the capacity; within a customer the more urgent requests are served first, above a floor for all.
type DemandShares struct {
	// Weight returns the weight of a customer, also of one that has none by itself; nil if all weights are equal.
	Weight func(customer ident.Customer) float64
}

// AdmittedFractions is the decision for one service. A nil value admits everything.
type AdmittedFractions struct {
	customers map[ident.Customer]*customerShare
	// mostExcessive is the customer whose demand exceeds its share the most.
	mostExcessive ident.Customer
}

// customerShare is the share of one customer.
type customerShare struct {
	customer ident.Customer
	demands  []CustomerDemand
	// fractions are the admitted fractions of demands, which are sorted by priority.
	fractions []float64
	// rate is the demand, distinct the part of it that is not retries, share what is admitted of it.
	rate, distinct, share float64
	weight                float64
}

// Fractions returns the admitted fractions for a capacity in requests per second. It returns nil while the demand is within
// the capacity. Retries do not count for that, because they end once nothing is refused; where they are offered, they use
// capacity like other requests.
func (s DemandShares) Fractions(capacity float64, demands []CustomerDemand) *AdmittedFractions {
	offered, distinct := 0.0, 0.0
	result := &AdmittedFractions{customers: map[ident.Customer]*customerShare{}}
	smallest := math.Inf(1)
	for _, demand := range demands {
		if !demand.valid() {
			continue
		}
		share := result.customers[demand.Customer]
		if share == nil {
			share = &customerShare{customer: demand.Customer, weight: s.weight(demand.Customer)}
			result.customers[demand.Customer] = share
		}
		share.demands = append(share.demands, demand)
		share.rate += demand.Rate
		// A caller retries once, so that at least half of the requests are first ones.
		first := demand.Rate - min(demand.Retries, demand.Rate/2)
		share.distinct += first
		offered += demand.Rate
		distinct += first
		if demand.Customer != OtherCustomers {
			smallest = min(smallest, demand.Rate)
		}
	}
	if distinct <= capacity {
		return nil
	}
	if others := result.customers[OtherCustomers]; others != nil && !math.IsInf(smallest, 1) {
		// Each customer in the sum demands at most as much as the smallest listed item, so there are at least so many.
		others.weight *= max(1, others.rate/smallest)
	}
	ordered := make([]*customerShare, 0, len(result.customers))
	for _, share := range result.customers {
		ordered = append(ordered, share)
	}
	slices.SortFunc(ordered, func(a, b *customerShare) int {
		return cmp.Or(cmp.Compare(a.rate/a.weight, b.rate/b.weight), cmp.Compare(a.customer, b.customer))
	})
	divideCapacity(capacity, ordered)
	largest := 0.0
	for _, share := range ordered {
		share.divide(floorShare * capacity / offered)
		if excess := share.distinct - share.share; excess > largest {
			largest, result.mostExcessive = excess, share.customer
		}
	}
	return result
}

// Shared reports whether there is more than one customer or priority. Otherwise a refusal serves nobody else.
func (f *AdmittedFractions) Shared() bool {
	if f == nil || len(f.customers) != 1 {
		return f != nil
	}
	for _, share := range f.customers {
		return len(share.demands) > 1
	}
	return false
}

func (s DemandShares) weight(customer ident.Customer) float64 {
	if s.Weight == nil {
		return 1
	}
	if weight := s.Weight(customer); weight > 0 {
		return weight
	}
	return 1
}

// divideCapacity sets the weighted max-min shares of customers that are sorted by demand per weight.
func divideCapacity(capacity float64, ordered []*customerShare) {
	// weights has the sum of the weights of each customer and those after it.
	weights := make([]float64, len(ordered)+1)
	for i := len(ordered) - 1; i >= 0; i-- {
		weights[i] = weights[i+1] + ordered[i].weight
	}
	for i, share := range ordered {
		share.share = min(share.rate, max(capacity, 0)*share.weight/weights[i])
		capacity -= share.share
	}
}

// divide sets the fractions of a customer's demands: the floor for all, and the rest of the share in the order of priority.
func (s *customerShare) divide(floor float64) {
	slices.SortFunc(s.demands, func(a, b CustomerDemand) int { return cmp.Compare(a.Priority, b.Priority) })
	s.fractions = make([]float64, len(s.demands))
	if s.share >= s.rate {
		for i := range s.fractions {
			s.fractions[i] = 1
		}
		return
	}
	floor = min(floor, s.share/s.rate)
	left := s.share - floor*s.rate
	for i, demand := range s.demands {
		extra := min(max(left, 0), (1-floor)*demand.Rate)
		left -= extra
		s.fractions[i] = min(floor+extra/demand.Rate, 1)
	}
}

// Of returns the admitted fraction of a customer's requests at a priority. Requests whose demand is not listed get the fraction
// of the other customers, 1 if none is listed, but no more than more urgent requests of the customer and no less than less
// urgent ones.
func (f *AdmittedFractions) Of(customer ident.Customer, priority int) float64 {
	if f == nil {
		return 1
	}
	fraction := 1.0
	if customer != OtherCustomers && f.customers[OtherCustomers] != nil {
		fraction = f.Of(OtherCustomers, priority)
	}
	share := f.customers[customer]
	if share == nil {
		return fraction
	}
	at, listed := slices.BinarySearchFunc(share.demands, priority, func(demand CustomerDemand, priority int) int {
		return cmp.Compare(demand.Priority, priority)
	})
	if listed {
		return share.fractions[at]
	}
	if at < len(share.fractions) {
		fraction = max(fraction, share.fractions[at])
	}
	if at > 0 {
		fraction = min(fraction, share.fractions[at-1])
	}
	return fraction
}

// CausedBy returns the customer whose demand exceeds its share the most; "" if there is none.
func (f *AdmittedFractions) CausedBy() ident.Customer {
	if f == nil {
		return ""
	}
	return f.mostExcessive
}

// ShareRetryAfter returns the Retry-After of a request that is refused for its customer's share. draw is a random number from
// 0 to 1, which spreads the callers so that they do not return together.
func ShareRetryAfter(draw float64) time.Duration {
	return minShareRetryAfter + time.Duration(draw*float64(maxShareRetryAfter-minShareRetryAfter))
}

// shareKey identifies the requests of one customer at one priority.
type shareKey struct {
	customer ident.Customer
	priority int
}

// maxShareKeys bounds the customers and priorities for which state is kept. Deployments have some 24 customers and 4
// priorities.
const maxShareKeys = 1024

// ShareCredits admits a fraction of the requests of each customer and priority: each request earns its fraction as credit and
// is admitted for a whole credit.
type ShareCredits struct {
	credits map[shareKey]float64
	draw    func() float64
}

// NewShareCredits returns credits that start at values from draw (0 to 1). Entries that receive a few requests each would
// otherwise all refuse, or all admit, their first ones.
func NewShareCredits(draw func() float64) *ShareCredits {
	return &ShareCredits{credits: map[shareKey]float64{}, draw: draw}
}

// Admit reports whether the next request of the customer at the priority is admitted.
func (c *ShareCredits) Admit(customer ident.Customer, priority int, fraction float64) bool {
	if fraction >= 1 {
		return true
	}
	key := shareKey{customer, priority}
	credit, known := c.credits[key]
	if !known {
		if len(c.credits) >= maxShareKeys {
			clear(c.credits)
		}
		credit = c.draw()
	}
	credit += fraction
	admitted := credit >= 1
	if admitted {
		credit--
	}
	c.credits[key] = credit
	return admitted
}
