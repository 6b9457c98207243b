package admission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// rounding is the error of sums of floating-point rates.
const rounding = 1e-6

func drawDemands(t *rapid.T, label string) []admission.CustomerDemand {
	var demands []admission.CustomerDemand
	for customer := range rapid.IntRange(1, 24).Draw(t, label+" customers") {
		for priority := range rapid.IntRange(1, 4).Draw(t, "priorities") {
			rate := rapid.Float64Range(0.01, 200).Draw(t, "rate")
			demands = append(demands, admission.CustomerDemand{
				Customer: ident.Customer(fmt.Sprintf("c%02d", customer)), Priority: priority, Rate: rate,
				Retries: rate * rapid.Float64Range(0, 0.5).Draw(t, "retries"),
			})
		}
	}
	return demands
}

// admittedRate returns the rate that the fractions admit.
func admittedRate(fractions *admission.AdmittedFractions, demands []admission.CustomerDemand) float64 {
	admitted := 0.0
	for _, demand := range demands {
		admitted += demand.Rate * fractions.Of(demand.Customer, demand.Priority)
	}
	return admitted
}

// Guards against shares that exceed the capacity, waste it, serve an urgent class less often than a less urgent one of the same
// customer, or starve a class or a customer that does not flood.
func TestSharesDivideTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t, "")
		capacity := rapid.Float64Range(0.1, 5000).Draw(t, "capacity")
		fractions := admission.DemandShares{}.Fractions(capacity, demands)
		offered, first := 0.0, 0.0
		customers := map[ident.Customer]float64{}
		for _, demand := range demands {
			offered += demand.Rate
			first += demand.Rate - demand.Retries
			customers[demand.Customer] += demand.Rate
		}
		if fractions == nil {
			if first > capacity+rounding {
				t.Fatalf("demand of %v is admitted at a capacity of %v", first, capacity)
			}
			return
		}
		if first < capacity-rounding {
			t.Fatalf("demand of %v is limited at a capacity of %v", first, capacity)
		}
		admitted := admittedRate(fractions, demands)
		if want := min(capacity, offered); math.Abs(admitted-want) > rounding*offered {
			t.Fatalf("%v of %v requests per second are admitted at a capacity of %v", admitted, offered, capacity)
		}
		equalShare := capacity / float64(len(customers))
		for i, demand := range demands {
			fraction := fractions.Of(demand.Customer, demand.Priority)
			if customers[demand.Customer] <= equalShare && fraction < 1 {
				t.Fatalf("%+v is within its share of %v and gets %v", demand, equalShare, fraction)
			}
			if i > 0 && demands[i-1].Customer == demand.Customer && fractions.Of(demand.Customer, demand.Priority-1) < fraction-rounding {
				t.Fatalf("priority %d of %s gets %v, the more urgent one less", demand.Priority, demand.Customer, fraction)
			}
			floor := min(0.25*capacity/offered, equalShare/customers[demand.Customer])
			if fraction < min(floor, 1)-rounding {
				t.Fatalf("%+v gets %v, less than the floor of %v", demand, fraction, floor)
			}
		}
	})
}

// A flood of one customer must not reduce what customers within their share get.
func TestFloodCostsCustomersWithinTheirShareNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t, "")
		customers := map[ident.Customer]float64{"flood": 0}
		for _, demand := range demands {
			customers[demand.Customer] += demand.Rate
		}
		capacity := rapid.Float64Range(1, 2000).Draw(t, "capacity")
		flood := admission.CustomerDemand{Customer: "flood", Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Rate: rapid.Float64Range(1, 1e5).Draw(t, "flood")}
		fractions := admission.DemandShares{}.Fractions(capacity, append(slices.Clone(demands), flood))
		for customer, rate := range customers {
			if customer != "flood" && rate <= capacity/float64(len(customers)) && fractions.Of(customer, 0) < 1 {
				t.Fatalf("%s is within its share and gets %v", customer, fractions.Of(customer, 0))
			}
		}
		if fractions.Of("flood", flood.Priority) < 1 && flood.Rate > capacity+slices.Max(slices.Collect(func(yield func(float64) bool) {
			for _, rate := range customers {
				if !yield(rate) {
					return
				}
			}
		})) && fractions.CausedBy() != "flood" {
			t.Fatalf("%s is named instead of the flooding customer", fractions.CausedBy())
		}
	})
}

// Entries that divide the demand unevenly must together admit no more than the capacity, apart from one request for each entry,
// customer and priority, and refuse nobody whose fraction is 1. Each side of a partition has its own group and sums.
func TestUnevenEntriesStayWithinTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for side := range rapid.IntRange(1, 2).Draw(t, "sides of the partition") {
			demands := drawDemands(t, fmt.Sprint(side))
			capacity := rapid.Float64Range(1, 500).Draw(t, "capacity")
			entries := rapid.IntRange(1, 18).Draw(t, "entries")
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
			lists := make([][]admission.CustomerDemand, entries)
			for _, demand := range demands {
				demand.Retries = 0
				parts, total := make([]float64, entries), 0.0
				for i := range parts {
					parts[i] = math.Pow(random.Float64(), 4)
					total += parts[i]
				}
				for i, part := range parts {
					own := demand
					own.Rate *= part / total
					lists[i] = append(lists[i], own)
				}
			}
			// More than MaxDemandItems items are summed up at each entry and again at the leader.
			for i := range lists {
				lists[i] = admission.SumDemand(lists[i])
			}
			fractions := admission.DemandShares{}.Fractions(capacity, admission.SumDemand(lists...))
			const seconds = 4
			admitted, offered, keys := 0, 0.0, 0
			for entry := range entries {
				credits := admission.NewShareCredits(random.Float64)
				for _, demand := range lists[entry] {
					fraction := fractions.Of(demand.Customer, demand.Priority)
					keys++
					offered += demand.Rate * seconds
					for range int(demand.Rate * seconds) {
						if credits.Admit(demand.Customer, demand.Priority, fraction) {
							admitted++
						} else if fraction >= 1 {
							t.Fatalf("%+v is refused", demand)
						}
					}
				}
			}
			if limit := min(capacity*seconds, offered) + float64(keys); fractions != nil && float64(admitted) > limit {
				t.Fatalf("%d requests are admitted, the limit is %v", admitted, limit)
			}
		}
	})
}

// Retries must not make the fractions oscillate, whether the entries recognise them or not: with callers that retry once, after
// about a second, the fractions fall without a reversal while a flood lasts, no more than the capacity is admitted, and after the
// flood everything is admitted again within 5 s.
func TestSharesDoNotOscillateWithRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(10, 300).Draw(t, "capacity")
		flood := capacity * rapid.Float64Range(1.01, 4).Draw(t, "flood")
		calm := capacity * rapid.Float64Range(0.1, 0.9).Draw(t, "calm")
		recognised := rapid.Bool().Draw(t, "retries are recognised")
		retries, last := 0.0, 1.0
		second := func(demand float64) float64 {
			item := admission.CustomerDemand{Customer: "c", Rate: demand + retries}
			if recognised {
				item.Retries = retries
			}
			fraction := admission.DemandShares{}.Fractions(capacity, []admission.CustomerDemand{item}).Of("c", 0)
			if admitted := fraction * item.Rate; fraction < 1 && math.Abs(admitted-capacity) > rounding*item.Rate {
				t.Fatalf("%v per second are admitted at a capacity of %v", admitted, capacity)
			}
			retries = demand * (1 - fraction)
			return fraction
		}
		for range 20 {
			fraction := second(flood)
			if fraction >= 1 || fraction > last+rounding {
				t.Fatalf("the fraction goes from %v to %v during the flood", last, fraction)
			}
			last = fraction
		}
		for range 5 {
			last = second(calm)
		}
		if last < 1 {
			t.Fatalf("5 s after the flood the fraction is %v", last)
		}
	})
}

// A customer that demands no more than usual must not be refused for another's flood while the capacity covers the usual demand
// of all, even if its demand exceeds an equal share. A flood is not recorded, and a customer that stays away loses its weight.
func TestUsualDemandIsServedBesideAFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usual := admission.UsualDemand{}
		now := time.Unix(1000, 0)
		calm := drawDemands(t, "usual")
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			usual.Record(now, calm)
		}
		weights, customers := usual.Weight("flood"), map[ident.Customer]bool{}
		for _, demand := range calm {
			if !customers[demand.Customer] {
				customers[demand.Customer] = true
				weights += usual.Weight(demand.Customer)
			}
		}
		for i := range calm {
			calm[i].Rate -= calm[i].Retries
			calm[i].Retries = 0
		}
		capacity := weights * rapid.Float64Range(1.001, 2).Draw(t, "capacity")
		flood := admission.CustomerDemand{Customer: "flood", Priority: rapid.IntRange(0, 4).Draw(t, "priority"), Rate: capacity * rapid.Float64Range(0.1, 50).Draw(t, "flood")}
		fractions := admission.DemandShares{Weight: usual.Weight}.Fractions(capacity, append(calm, flood))
		for _, demand := range calm {
			if fraction := fractions.Of(demand.Customer, demand.Priority); fraction < 1 {
				t.Fatalf("%+v is usual and gets %v", demand, fraction)
			}
		}
		for range 100 {
			now = now.Add(10 * time.Second)
			usual.Record(now, []admission.CustomerDemand{{Customer: "other", Rate: 1}})
		}
		if weight := usual.Weight("c00"); math.Abs(weight-usual.Weight("unknown")) > rounding {
			t.Fatalf("a customer that stays away keeps a weight of %v", weight)
		}
	})
}

// The counter must show a flood within a second, count what is offered once, forget it within a second, and bound its items.
func TestDemandCounterFollowsAFlood(t *testing.T) {
	c := qt.New(t)
	counter := admission.DemandCounter{}
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for ms := range 1000 {
		if ms%10 == 0 {
			counter.Add(at(ms), "a", 1, ms%20 == 0)
		}
	}
	demand := counter.Demand(at(1000))
	c.Assert(demand, qt.HasLen, 1)
	c.Assert(math.Abs(demand[0].Rate-100) < 25, qt.IsTrue, qt.Commentf("%+v", demand))
	c.Assert(demand[0].Retries, qt.Equals, demand[0].Rate/2)
	c.Assert(counter.Demand(at(2100)), qt.HasLen, 0)
	for i := range 5000 {
		counter.Add(at(3000+i/10), ident.Customer(fmt.Sprint(i)), i%4, false)
	}
	demand = counter.Demand(at(3500))
	c.Assert(len(demand) <= admission.MaxDemandItems, qt.IsTrue)
	total := admission.TotalRate(demand)
	c.Assert(total > 5000 && total < 7000, qt.IsTrue, qt.Commentf("%v", total))
}

// A message may contain anything; rates that are no rates must not become shares.
func TestInvalidDemandIsIgnored(t *testing.T) {
	c := qt.New(t)
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		demands := []admission.CustomerDemand{{Customer: "a", Rate: rate}, {Customer: "b", Rate: 10, Retries: rate}, {Customer: "c", Rate: 10}}
		fractions := admission.DemandShares{}.Fractions(5, demands)
		c.Assert(fractions.Of("c", 0) > 0 && fractions.Of("c", 0) < 1, qt.IsTrue, qt.Commentf("rate %v", rate))
		c.Assert(fractions.Of("a", 0), qt.Equals, 1.0)
	}
}

// A single customer with a single priority has nobody to share with; only the gate may refuse its requests.
func TestSingleCustomerSharesWithNobody(t *testing.T) {
	c := qt.New(t)
	demands := []admission.CustomerDemand{{Customer: "a", Rate: 600}}
	c.Assert(admission.DemandShares{}.Fractions(400, demands).Shared(), qt.IsFalse)
	demands = append(demands, admission.CustomerDemand{Customer: "a", Priority: 1, Rate: 100})
	c.Assert(admission.DemandShares{}.Fractions(400, demands).Shared(), qt.IsTrue)
	demands[1] = admission.CustomerDemand{Customer: "b", Rate: 100}
	c.Assert(admission.DemandShares{}.Fractions(400, demands).Shared(), qt.IsTrue)
}
