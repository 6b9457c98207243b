package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/admission"
)

// The platform's bound on requests to a server that names a limit: in any span of 4 s at most 1.5 times what the limit
// allows, and 5 more, from 3 s after it first named it.
const (
	boundSpan      = 4 * time.Second
	boundFactor    = 1.5
	boundSlack     = 5
	boundFrom      = 3 * time.Second
	limitWorldStep = 2 * time.Millisecond
	limitWorldEnd  = 20 * time.Second
)

// limitStart is when the server first names its limit.
var limitStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// limitedEntry simulates one entry with requests for a limited server.
type limitedEntry struct {
	limit *admission.ServerLimit
	// knownAt is when the entry learns of the limit; before, it sends without restriction.
	knownAt time.Time
	// interval is the mean time between its requests.
	interval time.Duration
	nextAt   time.Time
}

type limitMessage struct {
	at time.Time
	to *limitedEntry
}

// limitWorld simulates entries that share the limit of one server.
type limitWorld struct {
	t        *rapid.T
	now      time.Time
	entries  []*limitedEntry
	messages []limitMessage
	loss     float64
	// cutAt is when the entries lose each other; zero if they don't. They notice it at isolatedAt.
	cutAt, isolatedAt time.Time
	isolated          bool
	random            *rand.Rand
	sends             []time.Time
}

func newLimitWorld(t *rapid.T, entries int, rate, demand float64) *limitWorld {
	w := &limitWorld{t: t, now: limitStart, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
	w.loss = float64(rapid.IntRange(0, 15).Draw(t, "loss")) / 100
	busy := rapid.IntRange(1, entries).Draw(t, "busy")
	for i := range entries {
		entry := &limitedEntry{
			knownAt: limitStart.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "known")) * time.Millisecond),
			limit:   admission.NewServerLimit(limitStart, rate, w.random),
		}
		if i < busy {
			entry.interval = time.Duration(float64(busy) / demand * float64(time.Second))
			entry.nextAt = limitStart.Add(time.Duration(w.random.Float64() * float64(entry.interval)))
		}
		entry.limit.SetEntries(limitStart, entries, false)
		w.entries = append(w.entries, entry)
	}
	return w
}

// run lets entries send for limitWorldEnd.
func (w *limitWorld) run() {
	for w.now.Sub(limitStart) < limitWorldEnd {
		var waiting []limitMessage
		for _, message := range w.messages {
			switch {
			case w.now.Before(message.at):
				waiting = append(waiting, message)
			default:
				message.to.limit.RecordSend(w.now)
			}
		}
		w.messages = waiting
		if w.cut() && !w.isolated && !w.now.Before(w.isolatedAt) {
			w.isolated = true
			for _, entry := range w.entries {
				entry.limit.SetEntries(w.now, len(w.entries), true)
			}
		}
		for _, entry := range w.entries {
			if entry.interval == 0 || w.now.Before(entry.nextAt) {
				continue
			}
			entry.nextAt = w.now.Add(time.Duration(w.random.ExpFloat64() * float64(entry.interval)))
			if w.now.Before(entry.knownAt) {
				continue
			}
			if entry.limit.Wait(w.now) == 0 {
				w.send(entry)
			}
		}
		w.now = w.now.Add(limitWorldStep)
	}
}

// cut reports whether the entries have lost each other.
func (w *limitWorld) cut() bool { return !w.cutAt.IsZero() && !w.now.Before(w.cutAt) }

func (w *limitWorld) send(from *limitedEntry) {
	w.sends = append(w.sends, w.now)
	from.limit.RecordSend(w.now)
	for _, entry := range w.entries {
		if entry != from && !w.cut() && w.random.Float64() >= w.loss {
			w.messages = append(w.messages, limitMessage{at: w.now.Add(time.Duration(1+w.random.IntN(10)) * time.Millisecond), to: entry})
		}
	}
}

// most returns the largest number of sends in any boundSpan from the given time on.
func (w *limitWorld) most(from time.Time) int {
	most, first := 0, 0
	for i, at := range w.sends {
		if at.Before(from) {
			first = i + 1
			continue
		}
		for at.Sub(w.sends[first]) >= boundSpan {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Many entries share the limit of one server, up to 40 that share one request a second; load is uneven and messages between
// entries are lost. Together they must neither exceed the limit nor leave much of it unused.
func TestEntriesShareTheLimitOfAServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 40).Draw(t, "entries")
		rate := rapid.SampledFrom([]float64{0.5, 1, 2.5, 10, 30}).Draw(t, "rate")
		demand := rate * float64(rapid.SampledFrom([]int{10, 30, 100}).Draw(t, "demand"))
		w := newLimitWorld(t, entries, rate, demand)
		w.run()
		most, allowed := w.most(limitStart.Add(boundFrom)), boundFactor*rate*boundSpan.Seconds()+boundSlack
		if float64(most) > allowed {
			t.Fatalf("%d sends in 4 s, allowed %g, with %d entries at %g a second", most, allowed, entries, rate)
		}
		if used := float64(len(w.sends)); used < 0.8*rate*limitWorldEnd.Seconds()-2 {
			t.Fatalf("%g sends in %s, with %d entries at %g a second", used, limitWorldEnd, entries, rate)
		}
	})
}

// All entries lose each other and notice it after a while. Each then knows only its own sends: if it kept to the whole limit,
// or all began with what the shared account had left, the server would get many times its limit.
func TestEntriesThatLoseEachOtherKeepALimitTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(2, 40).Draw(t, "entries")
		rate := rapid.SampledFrom([]float64{0.5, 1, 2.5, 10, 30}).Draw(t, "rate")
		w := newLimitWorld(t, entries, rate, rate*30)
		w.cutAt = limitStart.Add(4 * time.Second)
		w.isolatedAt = w.cutAt.Add(5 * time.Second)
		w.run()
		most, allowed := w.most(w.isolatedAt), boundFactor*rate*boundSpan.Seconds()+boundSlack
		if float64(most) > allowed {
			t.Fatalf("%d sends in 4 s, allowed %g, with %d entries at %g a second", most, allowed, entries, rate)
		}
	})
}
