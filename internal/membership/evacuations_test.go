package membership_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// TestEvacuationsNeverGoBack guards against a late read or message that ends an evacuation, or takes one up again.
func TestEvacuationsNeverGoBack(t *testing.T) {
	c := qt.New(t)
	var known membership.Evacuations
	c.Assert(known.MergeRead(0, membership.EvacuationState{Era: 1, Revision: 10}), qt.IsFalse)
	c.Assert(known.Merge(0, membership.EvacuationState{Era: 1, Revision: 20, Zones: []ident.Zone{"b"}}), qt.IsTrue)
	c.Assert(known.MergeRead(0, membership.EvacuationState{Era: 1, Revision: 15}), qt.IsFalse)
	c.Assert(known.Apply(18, []membership.EvacuationChange{{Zone: "b", Ended: true, Revision: 17}}), qt.IsFalse)
	c.Assert(known.Zones(), qt.DeepEquals, []ident.Zone{"b"})
	c.Assert(known.Apply(25, []membership.EvacuationChange{{Zone: "c", Revision: 22}, {Zone: "b", Ended: true, Revision: 24}}), qt.IsTrue)
	c.Assert(known.Zones(), qt.DeepEquals, []ident.Zone{"c"})
	c.Assert(known.Merge(0, membership.EvacuationState{Era: 1, Revision: 23, Zones: []ident.Zone{"b", "c"}}), qt.IsFalse)
	c.Assert(known.Merge(0, membership.EvacuationState{Era: 1, Revision: 25, Zones: []ident.Zone{"a", "c"}}), qt.IsFalse, qt.Commentf("the store has shown the position"))
	c.Assert(known.Zones(), qt.DeepEquals, []ident.Zone{"c"})
}

// TestWrongStateOfAnotherEntryDoesNotLast guards against a message with a position that the store never had, which keeps zones
// evacuated and blocks the store's own state for ever, and against an entry that takes up the state again or passes it on.
func TestWrongStateOfAnotherEntryDoesNotLast(t *testing.T) {
	const huge = 1 << 63
	all := []ident.Zone{"a", "b", "c"}
	for name, wrong := range map[string]membership.EvacuationState{
		"era":                 {Era: huge, Revision: 3},
		"era and zones":       {Era: huge, Revision: 3, Zones: all},
		"revision and zones":  {Era: 2, Revision: huge, Zones: all},
		"revision":            {Era: 2, Revision: huge},
		"revision to be told": {Era: 2, Revision: 14, Zones: all},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var known membership.Evacuations
			known.MergeRead(0, membership.EvacuationState{Era: 2, Revision: 10, Zones: []ident.Zone{"b"}})
			known.ConfirmCurrent(time.Minute)
			at, grace := 2*time.Minute, membership.EvacuationGrace
			c.Assert(known.NeedsRead(at), qt.IsFalse)
			known.Merge(at, wrong)
			known.Apply(12, []membership.EvacuationChange{{Zone: "c", Revision: 12}})
			c.Assert(known.NeedsRead(at+grace-1), qt.IsFalse)
			c.Assert(known.NeedsRead(at+grace), qt.IsTrue)
			own := membership.EvacuationState{Era: 2, Revision: 13, Zones: []ident.Zone{"b", "c"}}
			// A read that began before the message arrived proves nothing about it.
			known.MergeCompleteRead(at+grace, at, own)
			c.Assert(known.NeedsRead(at+grace), qt.IsTrue)
			c.Assert(known.MergeCompleteRead(at+grace+2, at+grace+1, own), qt.IsTrue)
			for range 2 {
				c.Assert(known.Zones(), qt.DeepEquals, own.Zones)
				current, _ := known.Current()
				c.Assert(current, qt.DeepEquals, own)
				_, holding := known.Held()
				c.Assert(holding, qt.IsFalse)
				c.Assert(known.NeedsRead(at+time.Hour), qt.IsFalse)
				c.Assert(known.Merge(at+grace+3, wrong), qt.IsFalse, qt.Commentf("another entry repeats it"))
			}
			c.Assert(known.Apply(14, []membership.EvacuationChange{{Zone: "b", Ended: true, Revision: 14}}), qt.IsTrue)
			c.Assert(known.Zones(), qt.DeepEquals, []ident.Zone{"c"})
		})
	}
}

// TestMessageEndsNoEvacuationWhileTheStoreAnswers guards against a wrong message that ends an evacuation which the store shows, and
// against an entry without its store that never learns of the end.
func TestMessageEndsNoEvacuationWhileTheStoreAnswers(t *testing.T) {
	c := qt.New(t)
	var known membership.Evacuations
	known.MergeRead(0, membership.EvacuationState{Era: 1, Revision: 10, Zones: []ident.Zone{"b"}})
	known.ConfirmCurrent(time.Minute)
	at := 2 * time.Minute
	known.Merge(at, membership.EvacuationState{Era: 1, Revision: 12, Zones: []ident.Zone{"c"}})
	c.Assert(known.Zones(), qt.DeepEquals, []ident.Zone{"b", "c"})
	c.Assert(known.Release(at+2*membership.EvacuationGrace-1), qt.IsFalse)
	without := known
	c.Assert(without.Release(at+2*membership.EvacuationGrace), qt.IsTrue)
	c.Assert(without.Zones(), qt.DeepEquals, []ident.Zone{"c"}, qt.Commentf("the store does not answer"))
	c.Assert(known.Apply(12, []membership.EvacuationChange{{Zone: "b", Ended: true, Revision: 11}, {Zone: "c", Revision: 12}}), qt.IsTrue)
	c.Assert(known.Zones(), qt.DeepEquals, []ident.Zone{"c"}, qt.Commentf("the store shows the end"))
}

// TestWrongStateIsKeptDuringTheGrace guards against a read that ends the hold after a restore before the operator had time to
// request again what the older copy lacks.
func TestWrongStateIsKeptDuringTheGrace(t *testing.T) {
	c := qt.New(t)
	var known membership.Evacuations
	known.MergeRead(0, membership.EvacuationState{Era: 1, Revision: 10, Zones: []ident.Zone{"b"}})
	known.ConfirmCurrent(time.Minute)
	at, restored := 2*time.Minute, 2*time.Minute+time.Second
	known.Merge(at, membership.EvacuationState{Era: 1, Revision: 1 << 40, Zones: []ident.Zone{"a", "b"}})
	older := membership.EvacuationState{Era: 2, Revision: 5}
	known.MergeCompleteRead(restored, restored, older)
	known.Merge(restored, membership.EvacuationState{Era: 2, Revision: 1 << 40})
	last := restored + membership.EvacuationGrace - 1
	known.MergeCompleteRead(last, last, older)
	c.Assert(known.Zones(), qt.DeepEquals, []ident.Zone{"a", "b"})
	known.MergeCompleteRead(last+1, last+1, older)
	c.Assert(known.Zones(), qt.HasLen, 0)
}

// TestEvacuationOutlastsARestore guards against an evacuation that ends because an older copy of the store lacks it, before the
// operator had time to request it again, and against one that never ends if it is not requested again.
func TestEvacuationOutlastsARestore(t *testing.T) {
	c := qt.New(t)
	var known, started membership.Evacuations
	known.MergeRead(0, membership.EvacuationState{Era: 1, Revision: 10, Zones: []ident.Zone{"b", "c"}})
	known.ConfirmCurrent(time.Minute)
	at := 2 * time.Minute
	known.MergeRead(at, membership.EvacuationState{Era: 2, Revision: 5})
	c.Assert(known.Zones(), qt.DeepEquals, []ident.Zone{"b", "c"})
	c.Assert(known.ConfirmCurrent(at+membership.EvacuationGrace-1), qt.IsFalse)
	// An entry that starts meanwhile reads the copy, and is told by the other.
	started.MergeRead(at+time.Second, membership.EvacuationState{Era: 2, Revision: 5})
	held, ok := known.Held()
	c.Assert(ok, qt.IsTrue)
	c.Assert(started.Merge(at+time.Second, held), qt.IsTrue)
	c.Assert(started.Zones(), qt.DeepEquals, []ident.Zone{"b", "c"})
	known.Apply(6, []membership.EvacuationChange{{Zone: "b", Revision: 6}})
	c.Assert(known.ConfirmCurrent(at+membership.EvacuationGrace), qt.IsTrue)
	c.Assert(known.Zones(), qt.DeepEquals, []ident.Zone{"b"})
	// What the store confirmed in an earlier era proves nothing about the present one.
	var told membership.Evacuations
	told.MergeRead(0, membership.EvacuationState{Era: 1, Revision: 10, Zones: []ident.Zone{"b"}})
	told.Merge(at, membership.EvacuationState{Era: 2, Revision: 5})
	c.Assert(told.ConfirmCurrent(at+time.Hour), qt.IsFalse)
	c.Assert(told.Zones(), qt.DeepEquals, []ident.Zone{"b"})
	// A second restore before what the first one lost was written again.
	started.MergeRead(at+2*time.Second, membership.EvacuationState{Era: 3, Revision: 4})
	c.Assert(started.Zones(), qt.DeepEquals, []ident.Zone{"b", "c"})
}

const evacuationZones = 3

func zoneName(i int) ident.Zone { return ident.Zone([]string{"a", "b", "c"}[i]) }

// evacuationEntry is an entry in the simulation.
type evacuationEntry struct {
	known membership.Evacuations
	// era and revision are the position of its watch; read is true after its first read.
	era, revision uint64
	read          bool
	frozen, cut   bool
	// reread is true if it reads the whole store at the next opportunity.
	reread bool
	// learned are the zones whose present request it knows.
	learned map[ident.Zone]bool
	// readAt and readState are an answer of the store that it has not handled yet.
	readAt    time.Duration
	readState *membership.EvacuationState
}

// evacuationWorld simulates a store, an operator who requests and withdraws evacuations, and entries that watch the store and
// tell each other.
type evacuationWorld struct {
	t       *rapid.T
	now     time.Duration
	era     uint64
	history []membership.EvacuationChange
	// position is the revision of the store.
	position uint64
	down     bool
	// wanted are the evacuations that the operator has requested and not withdrawn, with the position of the request.
	wanted map[ident.Zone]membership.EvacuationState
	// rewriteAt is when the operator writes again what a restore has lost; 0 for never.
	rewriteAt time.Duration
	entries   []*evacuationEntry
	messages  []evacuationMessage
	// wrong is true if there are wrong states. An entry may then take a zone for evacuated that the store does not have yet, so
	// that check can't tell what it has lost.
	wrong  bool
	halves bool
}

type evacuationMessage struct {
	to    int
	state membership.EvacuationState
}

func (w *evacuationWorld) stored() []ident.Zone {
	var zones []ident.Zone
	for _, change := range w.history {
		zones = slices.DeleteFunc(zones, func(zone ident.Zone) bool { return zone == change.Zone })
		if !change.Ended {
			zones = append(zones, change.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

func (w *evacuationWorld) write(zone ident.Zone, ended bool) {
	w.position++
	w.history = append(w.history, membership.EvacuationChange{Zone: zone, Ended: ended, Revision: w.position})
}

// operate lets the operator change one zone, or write again what a restore has lost.
func (w *evacuationWorld) operate(zone ident.Zone) {
	if w.down || w.rewriteAt > 0 {
		return
	}
	if _, wanted := w.wanted[zone]; wanted {
		delete(w.wanted, zone)
		for _, entry := range w.entries {
			delete(entry.learned, zone)
		}
		w.write(zone, true)
		return
	}
	w.write(zone, false)
	w.wanted[zone] = membership.EvacuationState{Era: w.era, Revision: w.position}
}

func (w *evacuationWorld) rewrite() {
	w.rewriteAt = 0
	stored := w.stored()
	for i := range evacuationZones {
		zone := zoneName(i)
		_, wanted := w.wanted[zone]
		if has := slices.Contains(stored, zone); wanted != has {
			w.write(zone, has)
			if wanted {
				w.wanted[zone] = membership.EvacuationState{Era: w.era, Revision: w.position}
			}
		}
	}
}

func (w *evacuationWorld) restore(lost int) {
	w.history = w.history[:max(len(w.history)-lost, 0)]
	w.era++
	w.position = 1
	if n := len(w.history); n > 0 {
		w.position = w.history[n-1].Revision
	}
	w.rewriteAt = w.now + time.Duration(rapid.IntRange(0, int(membership.EvacuationGrace/time.Millisecond)-1).Draw(w.t, "rewrite"))*time.Millisecond + 1
}

// follow lets an entry read the store. late is true if it handles the answer to a whole read only at a later call.
func (w *evacuationWorld) follow(entry *evacuationEntry, late bool) {
	if entry.frozen {
		return
	}
	if answer := entry.readState; answer != nil {
		entry.readState = nil
		if !entry.read || answer.Era >= entry.era {
			entry.read, entry.era, entry.revision = true, answer.Era, answer.Revision
			entry.known.MergeCompleteRead(w.now, entry.readAt, *answer)
			entry.known.ConfirmCurrent(entry.readAt)
		}
		return
	}
	if entry.cut || w.down {
		return
	}
	if !entry.read || entry.era != w.era || entry.reread {
		entry.reread = false
		entry.readState, entry.readAt = &membership.EvacuationState{Era: w.era, Revision: w.position, Zones: w.stored()}, w.now
		if !late {
			w.follow(entry, false)
		}
		return
	}
	var changes []membership.EvacuationChange
	for _, change := range w.history {
		if change.Revision > entry.revision {
			changes = append(changes, change)
		}
	}
	entry.revision = w.position
	entry.known.Apply(w.position, changes)
	entry.known.ConfirmCurrent(w.now)
}

func (w *evacuationWorld) reachable(a, b int) bool { return !w.halves || a%2 == b%2 }

// tell returns the states that an entry tells others.
func tell(entry *evacuationEntry) []membership.EvacuationState {
	var told []membership.EvacuationState
	if held, ok := entry.known.Held(); ok {
		told = append(told, held)
	}
	if state, ok := entry.known.Current(); ok {
		told = append(told, state)
	}
	return told
}

// restart replaces an entry by one that has just started, which asks the others before it is ready.
func (w *evacuationWorld) restart(i int) {
	entry := &evacuationEntry{cut: w.entries[i].cut, learned: map[ident.Zone]bool{}}
	w.entries[i] = entry
	w.follow(entry, false)
	for other, from := range w.entries {
		if other == i || from.frozen || !w.reachable(i, other) {
			continue
		}
		for _, state := range tell(from) {
			entry.known.Merge(w.now, state)
		}
		for zone := range from.learned {
			if !slices.Contains(entry.known.Zones(), zone) {
				w.t.Fatalf("entry %d does not know of the evacuation of %s after its start, which entry %d knows", i, zone, other)
			}
		}
	}
	w.check()
}

// knowsRequest reports whether a state has a zone evacuated by its present request. A late message of an earlier request, which
// was withdrawn, does not count: the present one may have been lost in a restore before any entry read it.
func knowsRequest(state membership.EvacuationState, zone ident.Zone, request membership.EvacuationState) bool {
	newer := state.Era > request.Era || state.Era == request.Era && state.Revision >= request.Revision
	return newer && slices.Contains(state.Zones, zone)
}

// check fails if an entry has lost an evacuation that it knew and that is still requested.
func (w *evacuationWorld) check() {
	if w.wrong {
		return
	}
	for i, entry := range w.entries {
		zones := entry.known.Zones()
		state, _ := entry.known.Current()
		held, _ := entry.known.Held()
		for zone, request := range w.wanted {
			has := slices.Contains(zones, zone)
			if entry.learned[zone] && !has {
				w.t.Fatalf("entry %d has lost the evacuation of %s: %+v at %s", i, zone, state, w.now)
			}
			if knowsRequest(state, zone, request) || knowsRequest(held, zone, request) {
				entry.learned[zone] = true
			}
		}
	}
}

func newEvacuationWorld(t *rapid.T) *evacuationWorld {
	w := &evacuationWorld{t: t, era: 1, position: 1, wanted: map[ident.Zone]membership.EvacuationState{}}
	for range rapid.IntRange(2, 4).Draw(t, "entries") {
		w.entries = append(w.entries, &evacuationEntry{learned: map[ident.Zone]bool{}})
	}
	return w
}

// event lets something happen.
func (w *evacuationWorld) event() {
	w.now += time.Duration(rapid.IntRange(0, 700).Draw(w.t, "pause")) * time.Millisecond
	if w.rewriteAt > 0 && w.now >= w.rewriteAt {
		// The operator wrote in time, but no entry has read the store since.
		w.rewrite()
	}
	i := rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry")
	entry := w.entries[i]
	switch rapid.SampledFrom([]string{
		"operate", "follow", "follow", "follow", "follow late", "send", "send", "deliver", "deliver", "outage", "restore", "freeze", "cut", "halves", "restart", "reread",
	}).Draw(w.t, "event") {
	case "operate":
		w.operate(zoneName(rapid.IntRange(0, evacuationZones-1).Draw(w.t, "zone")))
	case "follow":
		w.follow(entry, false)
	case "reread":
		entry.reread = true
		entry.known.Release(w.now)
	case "follow late":
		w.follow(entry, true)
	case "send":
		if to := rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "to"); !entry.frozen && w.reachable(i, to) {
			for _, state := range tell(entry) {
				w.messages = append(w.messages, evacuationMessage{to: to, state: state})
			}
		}
	case "deliver":
		if len(w.messages) > 0 {
			n := rapid.IntRange(0, len(w.messages)-1).Draw(w.t, "message")
			if message := w.messages[n]; !w.entries[message.to].frozen {
				w.entries[message.to].known.Merge(w.now, message.state)
				if rapid.Bool().Draw(w.t, "once") {
					w.messages = slices.Delete(w.messages, n, n+1)
				}
			}
		}
	case "outage":
		w.down = !w.down
	case "restore":
		w.restore(rapid.IntRange(0, 4).Draw(w.t, "lost"))
	case "freeze":
		entry.frozen = !entry.frozen
	case "cut":
		entry.cut = !entry.cut
	case "halves":
		w.halves = !w.halves
	case "restart":
		w.restart(i)
	}
}

// TestEvacuationsOverInterleavings guards against an entry that loses an evacuation while it is requested, over interleavings of
// requests, withdrawals, outages and restores of the store, late reads, lost and late messages, freezes, cuts and restarts. When
// all is well again, all entries must know exactly what is requested.
func TestEvacuationsOverInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newEvacuationWorld(t)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			w.event()
			w.check()
		}
		w.settle(w.check)
	})
}

// settle ends all disturbances and fails unless all entries then know exactly what is requested.
func (w *evacuationWorld) settle(check func()) {
	w.down = false
	for range 12 {
		w.now += time.Second
		if w.rewriteAt > 0 && w.now >= w.rewriteAt {
			w.rewrite()
		}
		for _, entry := range w.entries {
			entry.frozen, entry.cut = false, false
			entry.reread = entry.reread || entry.known.NeedsRead(w.now)
			w.follow(entry, false)
		}
		check()
	}
	for i, entry := range w.entries {
		if zones := entry.known.Zones(); !slices.Equal(zones, w.stored()) || len(zones) != len(w.wanted) {
			w.t.Fatalf("entry %d has %v evacuated, requested are %v", i, zones, w.stored())
		}
	}
}

// TestWrongStatesOverInterleavings guards against wrong states, with positions far or just beyond those of the store, that outlast
// the disturbances in which they came up while entries repeat to each other what they know.
func TestWrongStatesOverInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newEvacuationWorld(t)
		w.wrong = true
		for range rapid.IntRange(10, 100).Draw(t, "steps") {
			w.event()
			if rapid.IntRange(0, 9).Draw(t, "wrong") > 0 {
				continue
			}
			state := membership.EvacuationState{Era: w.era, Revision: w.position + rapid.SampledFrom([]uint64{0, 1, 5, 1 << 50}).Draw(t, "ahead")}
			if rapid.Bool().Draw(t, "era") {
				state.Era = rapid.SampledFrom([]uint64{w.era + 1, 1 << 50}).Draw(t, "wrong era")
			}
			for i := range evacuationZones {
				if rapid.Bool().Draw(t, "zone") {
					state.Zones = append(state.Zones, zoneName(i))
				}
			}
			w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(t, "to")].known.Merge(w.now, state)
		}
		w.settle(func() {
			for i, from := range w.entries {
				for to := range w.entries {
					for _, state := range tell(from) {
						if to != i {
							w.entries[to].known.Merge(w.now, state)
						}
					}
				}
			}
		})
	})
}
