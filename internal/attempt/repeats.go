package attempt

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// RepeatConfig is the limit on repeats of a service's requests: sends to another backend server after one that rejected the
// request, may have run it or stalled. It holds for all entries together, over the restarts of their processes: in any window at
// most a share of the requests plus a fixed number.
type RepeatConfig struct {
	// Share is the number of repeats allowed per request.
	Share float64
	// Fixed is the fixed number of repeats in a window.
	Fixed float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Started is the start of the process; zero if no process ran in its place before.
	Started time.Time
}

const (
	// repeatSafety is the part of the limit that is used. The rest absorbs windows that contain a repeat but not its request,
	// and entries of which others have not heard yet.
	repeatSafety = 0.8
	// repeatBurst is the part of an entry's limit that it may use at any moment. The rest becomes available evenly over a
	// window: a process does not know what its predecessor used before it was killed, which is at most repeatBurst of the limit
	// more than the time since would have allowed.
	repeatBurst = 0.5
)

const (
	// repeatBuckets is the number of separately counted parts of a window.
	repeatBuckets = 20
	// keptBuckets is the number of parts that are kept. The present part is not over, so that repeatBuckets of them would be
	// shorter than a window.
	keptBuckets = repeatBuckets + 1
)

// Repeats decides which requests one entry may repeat. Each entry has an equal part of the fixed number, and the share of
// the requests that it has received itself, so that all together keep the limit even if they can't reach each other. It is used by
// control.Dispatcher, for requests that are not calls of a CallTable, which limits retries and hedged requests per customer
// instead. It is not safe for concurrent use.
type Repeats struct {
	config  RepeatConfig
	entries int
	random  *rand.Rand
	// origin is the time from which buckets are counted. Unlike the Unix epoch it has a monotonic clock reading, so that a jump of the
	// time of day changes nothing.
	origin   time.Time
	services map[ident.Service]*repeatWindow
}

// repeatWindow counts one service's requests and repeats in a ring of buckets.
type repeatWindow struct {
	requests, repeats [keptBuckets]int
	// newest is the number of the latest bucket.
	newest int64
	totals RepeatTotals
}

// RepeatTotals counts the sends of one service's requests after the first ones, since the start of the process.
type RepeatTotals struct {
	// Allowed and Refused are the repeats that Allow decided, Released those of the allowed ones that were not sent. Uncounted are
	// the sends that follow one which reached no server.
	Allowed, Refused, Released, Uncounted int
}

// RepeatStatus is the state of the limit for one service at one entry.
type RepeatStatus struct {
	// Requests and Repeats are those of the window, and Limit is the number of repeats that may be in it.
	Requests, Repeats int
	Limit             float64
	Totals            RepeatTotals
}

// NewRepeats returns a Repeats with all counts zero, for the only entry.
func NewRepeats(config RepeatConfig, random *rand.Rand) *Repeats {
	return &Repeats{config: config, entries: 1, random: random, services: map[ident.Service]*repeatWindow{}}
}

// SetEntries sets the number of entries among which the fixed number is divided.
func (r *Repeats) SetEntries(entries int) {
	r.entries = max(entries, 1)
}

func (r *Repeats) window(now time.Time, service ident.Service) *repeatWindow {
	window := r.services[service]
	if window == nil {
		window = &repeatWindow{}
		r.services[service] = window
	}
	window.advance(r.bucket(now))
	return window
}

// bucket returns the number of the part of a window in which a time lies, which is keptBuckets for the first one.
func (r *Repeats) bucket(at time.Time) int64 {
	if r.origin.IsZero() {
		r.origin = at
	}
	return keptBuckets + int64(max(at.Sub(r.origin), 0)/(r.config.Window/repeatBuckets))
}

func (w *repeatWindow) advance(bucket int64) {
	if bucket-w.newest >= keptBuckets {
		*w = repeatWindow{newest: bucket, totals: w.totals}
		return
	}
	for w.newest < bucket {
		w.newest++
		w.requests[w.newest%keptBuckets], w.repeats[w.newest%keptBuckets] = 0, 0
	}
}

// last returns the sum of the counts in the newest parts.
func (w *repeatWindow) last(counts *[keptBuckets]int, parts int64) float64 {
	total := 0
	for bucket := w.newest; bucket > w.newest-parts; bucket-- {
		total += counts[bucket%keptBuckets]
	}
	return float64(total)
}

// CountRequest counts a request that is sent for the first time.
func (r *Repeats) CountRequest(now time.Time, service ident.Service) {
	window := r.window(now, service)
	window.requests[window.newest%keptBuckets]++
}

// CountUncounted counts a send that follows one which reached no server. The limit does not apply to it.
func (r *Repeats) CountUncounted(now time.Time, service ident.Service) {
	r.window(now, service).totals.Uncounted++
}

// Allow counts one repeat and returns true, or returns false if the limit is reached.
func (r *Repeats) Allow(now time.Time, service ident.Service) bool {
	window := r.window(now, service)
	room := r.room(now, window)
	allowed := room >= 1
	if !allowed && !r.mayDraw(window, room) {
		window.totals.Refused++
		return false
	}
	// A draw that fails counts like a repeat, so that there is one in a window.
	window.repeats[window.newest%keptBuckets]++
	if !allowed && r.random.Float64() >= room {
		window.totals.Refused++
		return false
	}
	window.totals.Allowed++
	return true
}

// mayDraw reports whether chance decides on a repeat, with the room as its probability. Where an entry's limit is so small that the
// part for a burst is less than one repeat, all entries together would otherwise get none.
func (r *Repeats) mayDraw(window *repeatWindow, room float64) bool {
	return room > 0 && repeatBurst*r.limit(window) < 1 && window.last(&window.repeats, keptBuckets) == 0
}

// room returns the number of repeats that are allowed now.
func (r *Repeats) room(now time.Time, window *repeatWindow) float64 {
	if running := now.Sub(r.config.Started); running < r.config.Window {
		earned := repeatSafety * (r.config.Share*window.last(&window.requests, repeatBuckets) + r.fixed()*running.Seconds()/r.config.Window.Seconds())
		return (1-repeatBurst)*earned - window.last(&window.repeats, keptBuckets)
	}
	limit := r.limit(window)
	room := limit - window.last(&window.repeats, keptBuckets)
	for parts := int64(1); parts <= repeatBuckets; parts++ {
		// The newest part may have just begun.
		span := float64(parts-1) / repeatBuckets
		room = min(room, limit*(repeatBurst+(1-repeatBurst)*span)-window.last(&window.repeats, parts))
	}
	return room
}

// limit returns the number of repeats that this entry may use in a window.
func (r *Repeats) limit(window *repeatWindow) float64 {
	return repeatSafety * (r.config.Share*window.last(&window.requests, repeatBuckets) + r.fixed())
}

// fixed returns this entry's part of the fixed number.
func (r *Repeats) fixed() float64 { return r.config.Fixed / float64(r.entries) }

// Release removes a repeat that was counted at a time and was not sent.
func (r *Repeats) Release(now, counted time.Time, service ident.Service) {
	window := r.window(now, service)
	bucket := r.bucket(counted)
	if bucket <= window.newest && window.newest-bucket < keptBuckets && window.repeats[bucket%keptBuckets] > 0 {
		window.repeats[bucket%keptBuckets]--
		window.totals.Released++
	}
}

// Status returns the state of the limit for a service.
func (r *Repeats) Status(now time.Time, service ident.Service) RepeatStatus {
	window := r.window(now, service)
	return RepeatStatus{
		Requests: int(window.last(&window.requests, repeatBuckets)), Repeats: int(window.last(&window.repeats, keptBuckets)), Limit: r.limit(window), Totals: window.totals,
	}
}

// Services returns the services whose requests have been counted, in order.
func (r *Repeats) Services() []ident.Service {
	return slices.Sorted(maps.Keys(r.services))
}
