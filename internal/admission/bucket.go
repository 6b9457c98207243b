package admission

import "time"

// bucket is a token bucket with a variable rate.
type bucket struct {
	// level and size are in units (requests or tokens), rate in units per second.
	level, rate, size float64
	refilledAt        time.Time
}

// refill adds the units accrued until now.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level = min(b.size, b.level+b.rate*elapsed.Seconds())
		b.refilledAt = now
	}
}

// resize changes the rate and the size. Units beyond the new size are dropped, so that the levels at all entries
// together never exceed the sum of their sizes.
func (b *bucket) resize(now time.Time, rate, size float64) {
	b.refill(now)
	b.rate = rate
	b.size = size
	b.level = min(b.level, size)
}

// wait returns the time until the units have accrued, at most longest; longest also if they never accrue.
func (b *bucket) wait(units float64, longest time.Duration) time.Duration {
	missing := units - b.level
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 || units > b.size {
		return longest
	}
	return min(longest, time.Duration(missing/b.rate*float64(time.Second)))
}
