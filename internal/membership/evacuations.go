package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// EvacuationGrace is how long the operator may take, after the store was restored from an older copy, to request again the
// evacuations that the copy lacks.
const EvacuationGrace = 2200 * time.Millisecond

// EvacuationState lists the evacuated availability zones as of a position of the store. The state with the greater position
// (era, then revision) is newer.
type EvacuationState struct {
	Era, Revision uint64
	// Zones is sorted.
	Zones []ident.Zone
}

// EvacuationChange is the request of an evacuation, or its end, at a revision of the store.
type EvacuationChange struct {
	Zone     ident.Zone
	Ended    bool
	Revision uint64
}

// Evacuations is the newest state of evacuations that one entry knows, out of its own reads of the store and what other entries
// told it. Times are readings of one clock that keeps running while the machine is suspended. It is not safe for concurrent
// use.
type Evacuations struct {
	current EvacuationState
	known   bool
	// own is the newest state that this entry's store has shown; it is valid if storeRead is true.
	own       EvacuationState
	storeRead bool
	// unproven is true while the current state is another entry's, and the store has not shown its position. It has been so since
	// unprovenSince; heardAt is when a message last changed the state.
	unproven               bool
	unprovenSince, heardAt time.Duration
	// released is true if the unproven state may end evacuations that the store has shown.
	released bool
	// refuted has the positions of states of other entries that complete reads of the store have refuted, the oldest first.
	refuted []EvacuationState
	// held has the zones that were evacuated in earlier eras. They stay evacuated while holding is true: a copy that the store
	// was restored from may lack their requests. The hold ends once the store was read at or after holdUntil.
	held      EvacuationState
	holding   bool
	holdUntil time.Duration
}

// releaseTime is twice the time after which the store is read about another entry's state. A store that can be reached has answered
// by then.
const releaseTime = 2 * EvacuationGrace

// maxRefuted bounds the refuted positions that are remembered. Other entries repeat a wrong state until their own stores refute it.
const maxRefuted = 8

// MergeRead merges a state that this entry has read from the store. Like the other methods that change the state, it returns
// whether other entries should be told at once.
func (e *Evacuations) MergeRead(now time.Duration, state EvacuationState) bool {
	return e.change(func() {
		if !e.storeRead || compareStates(&state, &e.own) > 0 {
			e.own, e.storeRead = state.clone(), true
		}
		e.merge(now, state)
		e.adoptOwn()
	})
}

// MergeCompleteRead merges a state out of a read of the store that was not stale and began at a time. The read replaces what other
// entries told before it began, also if its position is lower: the store has no such state. It does not while zones of earlier eras
// are held, since the copy that the store was restored from may lack requests.
func (e *Evacuations) MergeCompleteRead(now, began time.Duration, state EvacuationState) bool {
	merged := e.MergeRead(now, state)
	if !e.unproven || began <= e.heardAt || e.holding && began < e.holdUntil || compareStates(&state, &e.own) < 0 {
		return merged
	}
	replaced := e.change(func() {
		if compareStates(&e.current, &e.own) > 0 {
			e.refuted = append(e.refuted, EvacuationState{Era: e.current.Era, Revision: e.current.Revision})
			e.refuted = e.refuted[max(len(e.refuted)-maxRefuted, 0):]
		}
		e.current, e.unproven = e.own.clone(), false
		e.holding, e.held = false, EvacuationState{}
	})
	return merged || replaced
}

// Merge merges a state that another entry knows. It ignores one that the store has refuted.
func (e *Evacuations) Merge(now time.Duration, state EvacuationState) bool {
	same := func(refuted EvacuationState) bool { return compareStates(&refuted, &state) == 0 }
	shown := e.storeRead && state.Era == e.own.Era && state.Revision <= e.own.Revision
	if slices.ContainsFunc(e.refuted, same) || shown && e.own.Era == e.current.Era {
		return false
	}
	return e.change(func() {
		before := e.current
		if e.merge(now, state); compareStates(&e.current, &before) == 0 && slices.Equal(e.current.Zones, before.Zones) {
			return
		}
		if !e.unproven {
			e.unproven, e.unprovenSince, e.released = true, now, false
		}
		e.heardAt = now
	})
}

func (e *Evacuations) merge(now time.Duration, state EvacuationState) {
	switch {
	case !e.known:
		// The store may have been restored just before this entry started.
		e.current, e.known = state.clone(), true
		e.hold(now, EvacuationState{})
	case state.Era > e.current.Era:
		e.hold(now, e.current)
		e.current = state.clone()
	case state.Era < e.current.Era:
		if e.holding {
			e.addHeld(state)
		}
	case state.Revision > e.current.Revision:
		e.current = state.clone()
	case state.Revision == e.current.Revision:
		e.current.Zones = unionOf(e.current.Zones, state.Zones)
	}
}

// Apply applies the changes that a watch of the store has returned, in their order. The watch began after the newest read, in
// the same era. The changes include all of the era up to the revision.
func (e *Evacuations) Apply(revision uint64, changes []EvacuationChange) bool {
	if !e.storeRead {
		return false
	}
	return e.change(func() {
		for _, change := range changes {
			if e.own.Era < e.current.Era && e.holding && !change.Ended {
				e.addHeld(EvacuationState{Era: e.own.Era, Revision: change.Revision, Zones: []ident.Zone{change.Zone}})
			}
			switch {
			case change.Revision <= e.own.Revision:
			case change.Ended:
				e.own.Zones = slices.DeleteFunc(slices.Clone(e.own.Zones), func(zone ident.Zone) bool { return zone == change.Zone })
			default:
				e.own.Zones = unionOf(e.own.Zones, []ident.Zone{change.Zone})
			}
		}
		e.own.Revision = max(e.own.Revision, revision)
		e.adoptOwn()
	})
}

// adoptOwn makes the store's state the current one once the store has shown the position of the current one, which includes what
// other entries told.
func (e *Evacuations) adoptOwn() {
	if e.storeRead && e.own.Era == e.current.Era && e.own.Revision >= e.current.Revision {
		e.current, e.unproven = e.own.clone(), false
	}
	e.refuted = slices.DeleteFunc(e.refuted, func(state EvacuationState) bool { return compareStates(&state, &e.own) <= 0 })
}

// NeedsRead reports whether a complete read of the store is needed: the store has not shown what another entry told for a time in
// which a watch would have returned it, and no grace after a restore forbids to replace it.
func (e *Evacuations) NeedsRead(now time.Duration) bool {
	return e.unproven && now >= e.unprovenSince+EvacuationGrace && (!e.holding || now >= e.holdUntil)
}

// ConfirmCurrent records that the state includes all changes that the store had acknowledged at a time.
func (e *Evacuations) ConfirmCurrent(at time.Duration) bool {
	if !e.holding || at < e.holdUntil || !e.storeRead || e.own.Era != e.current.Era {
		return false
	}
	return e.change(func() { e.holding, e.held = false, EvacuationState{} })
}

// Release lets another entry's state end evacuations if the store has not answered for long: until then, it may only add zones
// to those that the store has shown.
func (e *Evacuations) Release(now time.Duration) bool {
	if !e.unproven || e.released || now < e.unprovenSince+releaseTime {
		return false
	}
	return e.change(func() { e.released = true })
}

// Zones returns the evacuated zones, sorted.
func (e *Evacuations) Zones() []ident.Zone {
	zones := e.current.Zones
	if e.unproven && !e.released {
		zones = unionOf(zones, e.own.Zones)
	}
	if e.holding {
		zones = unionOf(zones, e.held.Zones)
	}
	return zones
}

// Current returns the newest state; false if none is known.
func (e *Evacuations) Current() (EvacuationState, bool) { return e.current, e.known }

// Held returns the zones of earlier eras that stay evacuated until the grace after a restore is over; false if there are none.
func (e *Evacuations) Held() (EvacuationState, bool) {
	return e.held, e.holding && len(e.held.Zones) > 0
}

// hold begins or prolongs the hold, with the zones of a state.
func (e *Evacuations) hold(now time.Duration, state EvacuationState) {
	e.holding, e.holdUntil = true, max(e.holdUntil, now+EvacuationGrace)
	e.addHeld(state)
}

func (e *Evacuations) addHeld(state EvacuationState) {
	if state.Era > e.held.Era || state.Era == e.held.Era && state.Revision > e.held.Revision {
		e.held.Era, e.held.Revision = state.Era, state.Revision
	}
	e.held.Zones = unionOf(e.held.Zones, state.Zones)
}

// change makes a change and returns whether the zones of the current state, or those in force, are different after it.
func (e *Evacuations) change(apply func()) bool {
	current, inForce := e.current.Zones, e.Zones()
	apply()
	return !slices.Equal(current, e.current.Zones) || !slices.Equal(inForce, e.Zones())
}

// compareStates compares the positions of two states.
func compareStates(a, b *EvacuationState) int {
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Revision, b.Revision))
}

// clone returns a copy with sorted zones.
func (s *EvacuationState) clone() EvacuationState {
	return EvacuationState{Era: s.Era, Revision: s.Revision, Zones: unionOf(nil, s.Zones)}
}

// unionOf returns the zones of both lists, sorted.
func unionOf(a, b []ident.Zone) []ident.Zone {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
