package membership

import "time"

// Gap returns the time between two steps on the monotonic or the wall clock, whichever is longer. If
// the whole VM is suspended, only the wall clock shows the gap.
func Gap(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}
