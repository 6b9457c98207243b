package timeline

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Merge returns the events of several processes in the order of their stamps, so that causes come before effects. An event
// that is in several lists is returned once.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int { return a.Compare(&b) })
	return slices.CompactFunc(merged, func(a, b Event) bool {
		return a.Kind == b.Kind && a.Compare(&b) == 0
	})
}

// Filter selects events. A zero field selects all.
type Filter struct {
	Request  ident.Request
	Customer ident.Customer
	Group    ident.Group
	// VM selects the events of the VM and those whose About is the VM.
	VM ident.VM
	// From and To bound the wall time of the stamp; From is inclusive, To exclusive.
	From time.Time
	To   time.Time
}

// Matches reports whether the filter selects the event. An event that stands for missing events is selected if one of them
// could have been selected.
func (f Filter) Matches(event *Event) bool {
	if event.representsLoss() {
		return f.mayMatchLost(event)
	}
	return f.inTime(event) && f.matchesIdentifiers(event)
}

// mayMatchLost reports whether one of the missing events could be selected. How old they are is unknown, so only From can
// exclude them: if From is later than the newest of them.
func (f Filter) mayMatchLost(event *Event) bool {
	return event.Kind == KindUnreachable || f.From.IsZero() || !event.Stamp.Time().Before(f.From)
}

func (f Filter) inTime(event *Event) bool {
	at := event.Stamp.Time()
	if !f.From.IsZero() && at.Before(f.From) {
		return false
	}
	return f.To.IsZero() || at.Before(f.To)
}

func (f Filter) matchesIdentifiers(event *Event) bool {
	return emptyOrEqual(f.Request, event.Request) && emptyOrEqual(f.Customer, event.Customer) &&
		emptyOrEqual(f.Group, event.Group) &&
		(emptyOrEqual(f.VM, event.VM) || emptyOrEqual(f.VM, event.About))
}

func emptyOrEqual[T ~string](filter, value T) bool { return filter == "" || filter == value }

// Apply returns the events that the filter selects, in their order.
func (f Filter) Apply(events []Event) []Event {
	var selected []Event
	for i := range events {
		if f.Matches(&events[i]) {
			selected = append(selected, events[i])
		}
	}
	return selected
}
