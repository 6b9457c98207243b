package expert

import "time"

// TokenBucket limits a flow to a rate with a burst. It is not safe for concurrent use.
type TokenBucket struct {
	// rate is in units a second, burst and level in units.
	rate    float64
	burst   float64
	level   float64
	updated time.Time
}

// NewTokenBucket returns a full bucket. Rate is in units a second and must be positive.
func NewTokenBucket(now time.Time, rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, level: burst, updated: now}
}

// Reserve takes units from the bucket and returns the time from which they may be used.
// Units beyond the burst go into debt, so that large loads pass one after the other.
func (b *TokenBucket) Reserve(now time.Time, units float64) time.Time {
	b.refill(now)
	b.level -= units
	if b.level >= 0 {
		return now
	}
	return now.Add(time.Duration(-b.level / b.rate * float64(time.Second)))
}

// Delay returns how long units would wait now, without taking them.
func (b *TokenBucket) Delay(now time.Time, units float64) time.Duration {
	b.refill(now)
	missing := units - b.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

func (b *TokenBucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.level = min(b.burst, b.level+elapsed*b.rate)
	b.updated = now
}

// Rate returns the rate in units a second.
func (b *TokenBucket) Rate() float64 { return b.rate }

// SetRate changes the rate, which must be positive, from now on.
func (b *TokenBucket) SetRate(now time.Time, rate float64) {
	b.refill(now)
	b.rate = rate
}
