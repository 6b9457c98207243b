package membership

import (
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
	// storeEra is the era of the newest state that this entry has read itself; it is valid if storeRead is true.
	storeEra  uint64
	storeRead bool
	// held has the zones that were evacuated in earlier eras. They stay evacuated while holding is true: a copy that the store
	// was restored from may lack their requests. The hold ends once the store was read at or after holdUntil.
	held      EvacuationState
	holding   bool
	holdUntil time.Duration
}

// MergeRead merges a state that this entry has read from the store. Like the other methods that change the state, it returns
// whether other entries should be told at once.
func (e *Evacuations) MergeRead(now time.Duration, state EvacuationState) bool {
	if !e.storeRead || state.Era > e.storeEra {
		e.storeEra, e.storeRead = state.Era, true
	}
	return e.Merge(now, state)
}

// Merge merges a state that another entry knows.
func (e *Evacuations) Merge(now time.Duration, state EvacuationState) bool {
	return e.change(func() {
		switch {
		case !e.known:
			// The store may have been restored just before this entry started.
			e.current, e.known = EvacuationState{Era: state.Era, Revision: state.Revision, Zones: unionOf(nil, state.Zones)}, true
			e.hold(now, EvacuationState{})
		case state.Era > e.current.Era:
			e.hold(now, e.current)
			e.current = EvacuationState{Era: state.Era, Revision: state.Revision, Zones: unionOf(nil, state.Zones)}
		case state.Era < e.current.Era:
			if e.holding {
				e.addHeld(state)
			}
		case state.Revision > e.current.Revision:
			e.current.Revision, e.current.Zones = state.Revision, unionOf(nil, state.Zones)
		case state.Revision == e.current.Revision:
			e.current.Zones = unionOf(e.current.Zones, state.Zones)
		}
	})
}

// Apply applies the changes that a watch of the store has returned, in their order. The watch began after the newest read, in
// the same era. The changes include all of the era up to the revision.
func (e *Evacuations) Apply(revision uint64, changes []EvacuationChange) bool {
	era := e.storeEra
	return e.change(func() {
		for _, change := range changes {
			switch {
			case era < e.current.Era && e.holding && !change.Ended:
				e.addHeld(EvacuationState{Era: era, Revision: change.Revision, Zones: []ident.Zone{change.Zone}})
			case !e.storeRead || era != e.current.Era || change.Revision <= e.current.Revision:
			case change.Ended:
				e.current.Zones = slices.DeleteFunc(slices.Clone(e.current.Zones), func(zone ident.Zone) bool { return zone == change.Zone })
			default:
				e.current.Zones = unionOf(e.current.Zones, []ident.Zone{change.Zone})
			}
		}
		if e.storeRead && era == e.current.Era {
			e.current.Revision = max(e.current.Revision, revision)
		}
	})
}

// ConfirmCurrent records that the state includes all changes that the store had acknowledged at a time.
func (e *Evacuations) ConfirmCurrent(at time.Duration) bool {
	if !e.holding || at < e.holdUntil || !e.storeRead || e.storeEra != e.current.Era {
		return false
	}
	return e.change(func() { e.holding, e.held = false, EvacuationState{} })
}

// Zones returns the evacuated zones, sorted.
func (e *Evacuations) Zones() []ident.Zone {
	if !e.holding {
		return e.current.Zones
	}
	return unionOf(e.current.Zones, e.held.Zones)
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

// unionOf returns the zones of both lists, sorted.
func unionOf(a, b []ident.Zone) []ident.Zone {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
