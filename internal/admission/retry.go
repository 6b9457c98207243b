package admission

import (
	"math/rand/v2"
	"time"
)

// retryBudget permits retries as a fraction of the served requests.
type retryBudget struct {
	permits float64
}

func (b *retryBudget) earn(settings Settings) {
	b.permits = min(b.permits+settings.RetryRatio, settings.RetryBurst)
}

// take uses a permit if there is one.
func (b *retryBudget) take() bool {
	if b.permits < 1 {
		return false
	}
	b.permits--
	return true
}

// minRetryAfter is the least time that a refused caller is told to wait.
const minRetryAfter = 20 * time.Millisecond

// retryAfter returns when a refused caller should come back: after the wait, behind the
// callers that were told so before, with jitter of up to one spacing. The time of
// the next caller is kept in returns.
func retryAfter(now time.Time, returns *time.Time, wait, spacing, longest time.Duration, random *rand.Rand) time.Duration {
	at := now.Add(max(wait, minRetryAfter))
	if returns.After(at) {
		at = *returns
	}
	spacing = min(spacing, longest)
	jittered := at.Add(time.Duration(random.Float64() * float64(spacing)))
	after := jittered.Sub(now)
	if after > longest {
		half := longest / 2
		return half + time.Duration(random.Float64()*float64(half))
	}
	*returns = at.Add(spacing)
	return after
}
