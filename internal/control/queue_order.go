package control

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// enqueue inserts a request into the queue, which is sorted in the order of service:
// interrupted streams first, then by share, by priority, and by arrival.
func (d *Dispatcher) enqueue(request BackendRequest) {
	at := len(d.waiting)
	for at > 0 && precedes(&request, &d.waiting[at-1]) {
		at--
	}
	d.waiting = slices.Insert(d.waiting, at, request)
}

// precedes reports whether a is served before b.
func precedes(a, b *BackendRequest) bool {
	if a.Resumed != b.Resumed {
		return a.Resumed
	}
	if a.overShare != b.overShare {
		return !a.overShare
	}
	if a.share != b.share {
		return a.share > b.share
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Arrived.Before(b.Arrived)
}

// waitingFor returns the number of requests that wait for a server of a service.
func (d *Dispatcher) waitingFor(service ident.Service) int {
	waiting := 0
	for i := range d.waiting {
		if d.waiting[i].Service == service {
			waiting++
		}
	}
	return waiting
}

// mustQueue reports whether a request for the same service waits that is served before this one.
func (d *Dispatcher) mustQueue(request *BackendRequest) bool {
	return slices.ContainsFunc(d.waiting, func(other BackendRequest) bool {
		return other.Service == request.Service && !precedes(request, &other)
	})
}

// orderWaiting decides which of the waiting requests exceed their shares, if a service has become overloaded since they
// arrived, and sorts them in the order of service.
func (d *Dispatcher) orderWaiting(now time.Time) {
	changed := false
	for i := range d.waiting {
		changed = d.markShare(now, &d.waiting[i]) || changed
	}
	if changed {
		slices.SortStableFunc(d.waiting, func(a, b BackendRequest) int {
			switch {
			case precedes(&a, &b):
				return -1
			case precedes(&b, &a):
				return 1
			}
			return 0
		})
	}
}
