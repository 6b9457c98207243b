package membership

import "time"

// Gap returns the time between two steps on the monotonic or on the wall clock,
// whichever is longer: a VM that was stopped as a whole shows on the wall clock only.
func Gap(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}
