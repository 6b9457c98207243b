package membership

import "time"

// Freshness tracks when the configuration of a process was last known to be current. Times are
// readings of a clock that keeps running while the machine is suspended, as durations since any fixed
// moment.
type Freshness struct {
	// currentAt is the start of the latest read of the configuration service that returned every change
	// that the service had acknowledged before the read started.
	currentAt time.Duration
	known     bool
}

// RecordCurrent records that the configuration was current at start: a read that started then returned
// every change that the service had acknowledged before.
func (f *Freshness) RecordCurrent(start time.Duration) {
	if !f.known || start > f.currentAt {
		f.currentAt, f.known = start, true
	}
}

// Age returns the time since the configuration was last known to be current; false if it never was.
func (f *Freshness) Age(now time.Duration) (time.Duration, bool) {
	return now - f.currentAt, f.known
}

// Within reports whether the configuration was known to be current less than limit ago.
func (f *Freshness) Within(now, limit time.Duration) bool {
	age, known := f.Age(now)
	return known && age < limit
}
