package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

const (
	// demandSlices slices of demandSlice are the time over which demand is counted: 0.8 to 1 s. A longer time delays the
	// reaction to a flood, a shorter one has more noise: an entry gets some ten requests a second.
	demandSlices = 5
	demandSlice  = 200 * time.Millisecond
	// MaxDemandItems bounds the demand in a message. Smaller rates are summed under OtherCustomers.
	MaxDemandItems = 64
)

// DemandCounter counts the requests that are offered for one service over about the last second. The zero value is ready.
type DemandCounter struct {
	counts map[shareKey]*[demandSlices]offeredCount
	// current is the number of the current slice, counted from the zero time.
	current int64
}

// offeredCount counts the offered requests and the retries among them in one slice.
type offeredCount struct{ offered, retries uint32 }

// sliceOf returns the number of the slice of a time.
func sliceOf(now time.Time) int64 { return now.UnixNano() / int64(demandSlice) }

// advance clears the slices that have become too old.
func (d *DemandCounter) advance(now time.Time) {
	next := sliceOf(now)
	if next <= d.current {
		return
	}
	steps := min(next-d.current, demandSlices)
	for key, counts := range d.counts {
		for i := range steps {
			counts[(next-i)%demandSlices] = offeredCount{}
		}
		if *counts == ([demandSlices]offeredCount{}) {
			delete(d.counts, key)
		}
	}
	d.current = next
}

// Add counts an offered request. Customers beyond maxShareKeys are counted under OtherCustomers.
func (d *DemandCounter) Add(now time.Time, customer ident.Customer, priority int, retry bool) {
	d.advance(now)
	key := shareKey{customer, priority}
	if d.counts[key] == nil && len(d.counts) >= maxShareKeys {
		key.customer = OtherCustomers
	}
	if d.counts == nil {
		d.counts = map[shareKey]*[demandSlices]offeredCount{}
	}
	counts := d.counts[key]
	if counts == nil {
		counts = &[demandSlices]offeredCount{}
		d.counts[key] = counts
	}
	count := &counts[d.current%demandSlices]
	count.offered++
	if retry {
		count.retries++
	}
}

// Demand returns the rates, the greatest first, with at most MaxDemandItems customers and priorities by themselves.
func (d *DemandCounter) Demand(now time.Time) []CustomerDemand {
	d.advance(now)
	window := time.Duration(demandSlices-1)*demandSlice + time.Duration(now.UnixNano()%int64(demandSlice))
	demands := make([]CustomerDemand, 0, len(d.counts))
	for key, counts := range d.counts {
		demand := CustomerDemand{Customer: key.customer, Priority: key.priority}
		for _, count := range counts {
			demand.Rate += float64(count.offered) / window.Seconds()
			demand.Retries += float64(count.retries) / window.Seconds()
		}
		demands = append(demands, demand)
	}
	return SumDemand(demands)
}

// SumDemand adds up the demands of each customer and priority and returns them, the greatest first. Beyond MaxDemandItems
// items, the smallest are added up under OtherCustomers.
func SumDemand(lists ...[]CustomerDemand) []CustomerDemand {
	sums := map[shareKey]CustomerDemand{}
	add := func(customer ident.Customer, demand CustomerDemand) {
		key := shareKey{customer, demand.Priority}
		sum := sums[key]
		sum.Customer, sum.Priority = customer, demand.Priority
		sum.Rate += demand.Rate
		sum.Retries = min(sum.Retries+demand.Retries, sum.Rate)
		sums[key] = sum
	}
	for _, list := range lists {
		for _, demand := range list {
			if demand.valid() {
				add(demand.Customer, demand)
			}
		}
	}
	sorted := sortedDemand(sums)
	if len(sorted) <= MaxDemandItems {
		return sorted
	}
	others := map[int]struct{}{}
	for _, demand := range sorted {
		others[demand.Priority] = struct{}{}
	}
	// Each priority may need an item of its own for the other customers. Priorities come from the configuration and are few.
	kept := max(MaxDemandItems-len(others), 0)
	for _, demand := range slices.Backward(sorted) {
		if len(sums) <= kept {
			break
		}
		if demand.Customer != OtherCustomers {
			delete(sums, shareKey{demand.Customer, demand.Priority})
			add(OtherCustomers, demand)
		}
	}
	sorted = sortedDemand(sums)
	return sorted[:min(len(sorted), MaxDemandItems)]
}

func sortedDemand(sums map[shareKey]CustomerDemand) []CustomerDemand {
	sorted := make([]CustomerDemand, 0, len(sums))
	for _, sum := range sums {
		sorted = append(sorted, sum)
	}
	slices.SortFunc(sorted, func(a, b CustomerDemand) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Priority, b.Priority))
	})
	return sorted
}

// DemandChanged reports whether a total rate differs so much from the last one that was sent that the next message should not
// wait. The noise of ten requests a second is below that in most intervals.
func DemandChanged(sent, rate float64) bool {
	const minChange, changeShare = 5, 0.25
	return math.Abs(rate-sent) > max(minChange, changeShare*sent)
}

// TotalRate returns the sum of the rates.
func TotalRate(demands []CustomerDemand) float64 {
	total := 0.0
	for _, demand := range demands {
		total += demand.Rate
	}
	return total
}
