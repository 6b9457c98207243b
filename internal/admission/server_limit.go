package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// serverTrialRate is the least rate, in requests per second from all entries, at which a limited server is used: an
	// answer is the only sign that the limit has changed.
	serverTrialRate = 0.2
	// maxServerRate is the rate, in requests per second, from which a limit is ignored: no server serves so many.
	maxServerRate = 1000
	// thresholdSpread is the range of the levels at which entries send. They differ so that entries that wait for the
	// same request of the limit do not all send when it is free.
	thresholdSpread = 1.0
	// limitDoubling is the time in which the rate doubles after the end of a limit, and limitRamp the time until it
	// no longer applies: without it, all entries would send to an idle server at once.
	limitDoubling = 500 * time.Millisecond
	limitRamp     = 3 * time.Second
	// limitMemory is the time for which sends beyond the limit reduce later ones.
	limitMemory = 4 * time.Second
)

// ServerLimit keeps the requests that all entries send to one backend server within the limit that the server states.
// Entries tell each other of each send, so that each keeps the account of all. An entry that hears of no other keeps to its
// equal share.
//
// It does no I/O and is not safe for concurrent use.
type ServerLimit struct {
	random *rand.Rand
	// rate is the stated limit in requests per second from all entries.
	rate float64
	// entries is the number of entries, including this one; isolated is true if this one hears of no other.
	entries  int
	isolated bool
	// level is the number of requests that may be sent at updatedAt.
	level     float64
	updatedAt time.Time
	// threshold is the level from which this entry sends.
	threshold float64
	// endedAt is when the server stopped stating a limit; zero if it states one.
	endedAt time.Time
	// stated is true if the server states a limit, or did so until endedAt.
	stated bool
	cold   coldLimit
}

// BindingServerRate reports whether a stated limit, in requests per second, is low enough to be kept.
func BindingServerRate(rate float64) bool { return rate < maxServerRate }

// NewServerLimit returns the account of a server that states a limit from now on, in requests per second.
func NewServerLimit(now time.Time, rate float64, random *rand.Rand) *ServerLimit {
	limit := &ServerLimit{random: random, rate: max(rate, serverTrialRate), entries: 1, updatedAt: now, stated: true}
	limit.drawThreshold()
	return limit
}

// State records a limit that the server has stated, in requests per second.
func (l *ServerLimit) State(now time.Time, rate float64) {
	l.advance(now)
	l.rate, l.endedAt, l.stated = max(rate, serverTrialRate), time.Time{}, true
}

// End records that the server states no limit any more.
func (l *ServerLimit) End(now time.Time) {
	if l.stated && l.endedAt.IsZero() {
		l.advance(now)
		l.endedAt = now
	}
}

// Expired reports whether the limit has ended and no longer applies.
func (l *ServerLimit) Expired(now time.Time) bool {
	return (!l.stated || !l.endedAt.IsZero() && now.Sub(l.endedAt) >= limitRamp) && l.cold.expired(now)
}

// SetEntries sets the number of entries, including this one, and whether this one hears of no other.
func (l *ServerLimit) SetEntries(now time.Time, entries int, isolated bool) {
	l.advance(now)
	if isolated && !l.isolated {
		// Entries that lose each other at the same time must not all send what the whole limit had left.
		l.level = min(l.level, l.threshold*l.random.Float64())
	}
	l.entries, l.isolated = max(entries, 1), isolated
}

// RecordSend records that this or another entry has sent a request to the server.
func (l *ServerLimit) RecordSend(now time.Time) {
	l.recordSends(now, 1)
}

func (l *ServerLimit) recordSends(now time.Time, sends float64) {
	l.advance(now)
	l.level = max(l.level-sends, -limitMemory.Seconds()*l.rate-1)
	l.drawThreshold()
}

// Wait returns the time until this entry may send a request to the server, if no other entry does; 0 if it may now.
func (l *ServerLimit) Wait(now time.Time) time.Duration {
	l.advance(now)
	wait := l.cold.wait(now)
	if l.level >= l.threshold {
		return wait
	}
	return max(wait, time.Duration(math.Ceil((l.threshold-l.level)/l.currentRate(now)*float64(time.Second))))
}

// currentRate returns the rate at which this entry's account grows.
func (l *ServerLimit) currentRate(now time.Time) float64 {
	rate := l.cold.rateAt(now)
	if l.stated {
		rate = min(rate, rampedRate(now, l.rate, l.endedAt))
	}
	if l.isolated {
		rate /= float64(l.entries)
	}
	return rate
}

// rampedRate returns a rate that doubles every limitDoubling from its end on, which is zero if it has not ended.
func rampedRate(now time.Time, rate float64, endedAt time.Time) float64 {
	if endedAt.IsZero() || now.Before(endedAt) {
		return rate
	}
	return rate * math.Exp2(now.Sub(endedAt).Seconds()/limitDoubling.Seconds())
}

// advance adds what the limit has allowed since the last call.
func (l *ServerLimit) advance(now time.Time) {
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		l.level = min(l.level+l.currentRate(now)*elapsed.Seconds(), 1+thresholdSpread)
		l.updatedAt = now
	}
}

func (l *ServerLimit) drawThreshold() { l.threshold = 1 + thresholdSpread*l.random.Float64() }
