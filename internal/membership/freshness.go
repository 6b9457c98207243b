package membership

import "time"

// Freshness keeps how current a process's configuration is known to be. Times are readings of a
// clock that goes on while the machine is suspended, as durations since any fixed moment.
type Freshness struct {
	// proven is the start of the newest read of the configuration service that showed all
	// changes acknowledged before it.
	proven time.Duration
	known  bool
}

// Prove records that a read that began at start showed all changes made before.
func (f *Freshness) Prove(start time.Duration) {
	if !f.known || start > f.proven {
		f.proven, f.known = start, true
	}
}

// Age returns the time since the configuration was known to be current. It returns false if it never was.
func (f *Freshness) Age(now time.Duration) (time.Duration, bool) {
	return now - f.proven, f.known
}

// Within reports whether the configuration was current less than limit ago.
func (f *Freshness) Within(now, limit time.Duration) bool {
	age, known := f.Age(now)
	return known && age < limit
}
