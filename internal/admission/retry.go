package admission

import (
	"math/rand/v2"
	"time"
)

// retryBudget permits retries in proportion to the served requests.
type retryBudget struct {
	permits float64
}

func (b *retryBudget) replenish(settings Settings) {
	b.permits = min(b.permits+settings.RetryRatio, settings.RetryBurst)
}

// tryAcquire uses up a permit; it returns false if there is none.
func (b *retryBudget) tryAcquire() bool {
	if b.permits < 1 {
		return false
	}
	b.permits--
	return true
}

// minRetryAfter is the least Retry-After of a refused caller.
const minRetryAfter = 20 * time.Millisecond

// retryAfter returns the Retry-After for a refused caller: not before wait has passed and not before *next, plus jitter
// of up to one spacing. It moves *next one spacing later for the next caller, so that callers do not return all at once.
// If the result would exceed longest, it is random between longest/2 and longest, and *next stays.
func retryAfter(now time.Time, next *time.Time, wait, spacing, longest time.Duration, random *rand.Rand) time.Duration {
	at := now.Add(max(wait, minRetryAfter))
	if next.After(at) {
		at = *next
	}
	spacing = min(spacing, longest)
	jittered := at.Add(time.Duration(random.Float64() * float64(spacing)))
	after := jittered.Sub(now)
	if after > longest {
		half := longest / 2
		return half + time.Duration(random.Float64()*float64(half))
	}
	*next = at.Add(spacing)
	return after
}
