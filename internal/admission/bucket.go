package admission

import "time"

// bucket is a token bucket whose rate may change.
type bucket struct {
	// level is in units, rate in units a second, size in units.
	level, rate, size float64
	at                time.Time
}

// refill adds what accrued until now.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.size, b.level+b.rate*elapsed.Seconds())
		b.at = now
	}
}

// resize changes the rate and the size. What exceeds the new size is dropped, so that the
// levels of all entries together never exceed the sum of their sizes.
func (b *bucket) resize(now time.Time, rate, size float64) {
	b.refill(now)
	b.rate = rate
	b.size = size
	b.level = min(b.level, size)
}

// wait returns the time until the units have accrued; never is returned without a rate.
func (b *bucket) wait(units float64, never time.Duration) time.Duration {
	missing := units - b.level
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 || units > b.size {
		return never
	}
	return min(never, time.Duration(missing/b.rate*float64(time.Second)))
}
