package attempt_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
)

type crashMessage struct {
	at     time.Time
	from   *crashEntry
	to     *crashEntry
	update attempt.CrashUpdate
}

// merge merges another entry's update. As in gateway, traits that servers of this entry have survived are cleared.
func (e *crashEntry) merge(now time.Time, update attempt.CrashUpdate) {
	e.register.Merge(now, update, func(trait attempt.Fingerprint) bool {
		return e.known[trait] && e.survived(now, trait)
	})
}

// exchange delivers messages between entries, and lets each entry send its changes and, at times, compare digests.
func (w *crashWorld) exchange(hello bool) {
	for _, entry := range w.entries {
		entry.register.Tick(w.now)
		for _, update := range entry.register.TakeChanges(w.now, 4) {
			for _, target := range w.targets(entry) {
				w.post(entry, target, update)
			}
		}
		peer := w.entries[w.draw("peer", 0, len(w.entries)-1)]
		if hello && peer.register.Digest() != entry.register.Digest() {
			for _, update := range entry.register.Sample(w.now, 4) {
				w.post(entry, peer, update)
			}
			for _, update := range peer.register.Sample(w.now, 4) {
				w.post(peer, entry, update)
			}
		}
	}
	var waiting []crashMessage
	for _, message := range w.messages {
		switch {
		case w.now.Before(message.at):
			waiting = append(waiting, message)
		case w.now.Before(message.to.cutUntil) || w.now.Before(message.from.cutUntil):
		default:
			message.to.merge(w.now, message.update)
		}
	}
	w.messages = waiting
}

// targets returns the entries that get an entry's news: five random ones as in the gateway, or five draws that may repeat one
// or be the entry itself.
func (w *crashWorld) targets(entry *crashEntry) []*crashEntry {
	count := min(5, len(w.entries)-1)
	if w.distinctTargets {
		others := slices.DeleteFunc(slices.Clone(w.entries), func(other *crashEntry) bool { return other == entry })
		return rapid.Permutation(others).Draw(w.t, "targets")[:count]
	}
	var targets []*crashEntry
	for range count {
		targets = append(targets, w.entries[w.draw("target", 0, len(w.entries)-1)])
	}
	return targets
}

func (w *crashWorld) post(from, to *crashEntry, update attempt.CrashUpdate) {
	if to == from || w.draw("loss", 0, 99) < w.lossPercent {
		return
	}
	delay := time.Duration(w.draw("delay", 1, 40)) * time.Millisecond
	w.messages = append(w.messages, crashMessage{at: w.now.Add(delay), from: from, to: to, update: update})
}
