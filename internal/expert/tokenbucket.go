package expert

import "time"

// TokenBucket is a rate limiter with a burst. Its level may become negative, see Reserve. It is
// not safe for concurrent use.
type TokenBucket struct {
	// rate is in units per second; burst and level are in units.
	rate  float64
	burst float64
	level float64
	// updated is the time of the last refill.
	updated time.Time
}

// NewTokenBucket returns a full bucket. rate is in units per second and must be positive.
func NewTokenBucket(now time.Time, rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, level: burst, updated: now}
}

// Reserve removes units from the bucket and returns the time from which they may be used. If the
// bucket holds fewer, its level becomes negative, so that reservations larger than the burst are
// possible and later ones have to wait.
func (b *TokenBucket) Reserve(now time.Time, units float64) time.Time {
	b.refill(now)
	b.level -= units
	if b.level >= 0 {
		return now
	}
	return now.Add(time.Duration(-b.level / b.rate * float64(time.Second)))
}

// Delay returns how long a reservation of units would have to wait, without reserving them.
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

// Rate returns the rate in units per second.
func (b *TokenBucket) Rate() float64 { return b.rate }

// SetRate sets the rate from now on, in units per second. It must be positive.
func (b *TokenBucket) SetRate(now time.Time, rate float64) {
	b.refill(now)
	b.rate = rate
}
