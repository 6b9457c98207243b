package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// ColdBounds is the bound on the requests that a cold backend server gets from all entries.
type ColdBounds struct {
	// Rate is the number of requests per second that a cold server serves.
	Rate float64
	// Factor and Extra give the most requests in any one second: Factor times Rate, plus Extra.
	Factor, Extra float64
}

// Binding reports whether there is a bound.
func (b ColdBounds) Binding() bool { return b.Rate > 0 && b.Factor > 0 }

// coldWindow is the window in which an entry counts its own sends to a cold server. It is longer than the second of the bound,
// so that sends which are delayed by up to 100 ms on their way do not add up.
const coldWindow = 1100 * time.Millisecond

const (
	// maxColdAllowed bounds the requests per second that a cold server may get, many times what any server serves.
	maxColdAllowed = 1e6
	// maxColdWindow bounds the window in which an entry may send one request to a cold server, so that it does not overflow.
	maxColdWindow = time.Hour
)

// share returns the number of requests that each of a number of entries may send in a window. The shares of all entries add up
// to at most the bound, whatever the entries hear of each other. With more entries than requests in the bound, an entry may send
// one in a longer window, which keeps the bound on average.
func (b ColdBounds) share(entries int) (int, time.Duration) {
	allowed, senders := clamp(b.Factor*b.Rate+b.Extra, 0, maxColdAllowed), float64(max(entries, 1))
	share := math.Floor(allowed / senders)
	if share >= 1 {
		return int(share), coldWindow
	}
	return 1, time.Duration(min(float64(coldWindow)*senders/max(allowed, 1), float64(maxColdWindow)))
}

// clamp returns a number within bounds; the lower one for NaN.
func clamp(x, low, high float64) float64 {
	if math.IsNaN(x) {
		return low
	}
	return min(max(x, low), high)
}

// coldLimit is the part of a ServerLimit that applies while its server is cold.
type coldLimit struct {
	// rate is the number of requests per second from all entries until the end, after which it doubles as that of a stated
	// limit; the end is zero for a server that was never cold.
	rate  float64
	until time.Time
	// share is the number of requests that this entry may send in any window until the end, sent the times of the last ones.
	share  int
	window time.Duration
	sent   []time.Time
	// from is the time from which this process may send: another one that ran in its place may have used the share before.
	from time.Time
}

// NewColdServerLimit returns the account of a server that states no limit; SetCold sets that of a cold one.
func NewColdServerLimit(now time.Time, random *rand.Rand) *ServerLimit {
	limit := &ServerLimit{random: random, entries: 1, updatedAt: now}
	limit.drawThreshold()
	return limit
}

// SetCold records that the server is cold until a time. entries is the number of entries that may send to it: of those that this
// entry hears of, and of those that it may have been cut off from. started is the start of this process.
func (l *ServerLimit) SetCold(now, until, started time.Time, bounds ColdBounds, entries int) {
	l.advance(now)
	l.cold.from = started.Add(coldWindow)
	l.cold.rate, l.cold.until = clamp(bounds.Rate, serverTrialRate, maxColdAllowed), until
	l.cold.share, l.cold.window = bounds.share(entries)
	if !l.stated {
		l.rate = l.cold.rate
	}
}

// EndCold records that the server is warm.
func (l *ServerLimit) EndCold(now time.Time) {
	if now.Before(l.cold.until) {
		l.advance(now)
		l.cold.until = now
	}
}

// Stated reports whether the server itself states a limit, or did so until a moment ago.
func (l *ServerLimit) Stated() bool { return l.stated }

// Cold reports whether the server is cold.
func (l *ServerLimit) Cold(now time.Time) bool { return now.Before(l.cold.until) }

// RecordOwnSend records that this entry has sent a request to the server.
func (l *ServerLimit) RecordOwnSend(now time.Time) {
	l.cold.sent = append(l.cold.recent(now), now)
	l.RecordSend(now)
}

// RecordHeardSend records that another entry has sent a request, if only a share of the others' sends is heard.
func (l *ServerLimit) RecordHeardSend(now time.Time, heardShare float64) {
	l.recordSends(now, 1/min(max(heardShare, minHeardShare), 1))
}

// minHeardShare bounds the number of sends for which one that is heard counts.
const minHeardShare = 0.05

// recent returns the own sends of the last window.
func (c *coldLimit) recent(now time.Time) []time.Time {
	return slices.DeleteFunc(c.sent, func(at time.Time) bool { return now.Sub(at) >= max(c.window, coldWindow) })
}

// wait returns the time until this entry's share allows a send; 0 if it does, or if the server is not cold.
func (c *coldLimit) wait(now time.Time) time.Duration {
	if !now.Before(c.until) {
		return 0
	}
	if now.Before(c.from) {
		return min(c.from.Sub(now), c.until.Sub(now))
	}
	c.sent = c.recent(now)
	if len(c.sent) < c.share {
		return 0
	}
	return min(c.window-now.Sub(c.sent[len(c.sent)-c.share]), c.until.Sub(now))
}

func (c *coldLimit) expired(now time.Time) bool {
	return c.until.IsZero() || now.Sub(c.until) >= limitRamp
}

// rateAt returns the rate of all entries together.
func (c *coldLimit) rateAt(now time.Time) float64 {
	if c.until.IsZero() {
		return math.Inf(1)
	}
	return rampedRate(now, c.rate, c.until)
}
