package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// ListedBackend is one run of a backend server, as the platform lists it.
type ListedBackend struct {
	// ID identifies the run; a restart mostly has another.
	ID      string
	Service ident.Service
	// Address is the IP address and TCP port.
	Address string
	Zone    ident.Zone
	// Leaving servers get no new work.
	Leaving bool
	// Slots is the number of requests that it runs at once.
	Slots int
	// Started is the start of the run on the backend server's clock, in Unix milliseconds.
	Started int64
	// Group is the name of the model group; "" outside groups.
	Group     ident.Group
	Rank      ident.Rank
	GroupSize int
	// GroupOpen is false while the group can't run requests.
	GroupOpen bool
}

// Times of the listing.
const (
	// ListOutage is the time of failures after which entries may have lapsed only because their
	// servers could not renew them. Entries lapse after three heartbeats of more than a second, of which
	// up to two may have been due when the failures began.
	ListOutage = 900 * time.Millisecond
	// ListReturnGrace is how long lapsed entries of living servers take to come back after the
	// list's return: "about two seconds", with a tenth to spare.
	ListReturnGrace = 2200 * time.Millisecond
)

// Listing is the platform's list of backend servers as one process knows it. It keeps servers that
// vanished while the list could not be read until they had time to come back. It is not safe for
// concurrent use.
type Listing struct {
	backends map[string]*listed
	// failingSince is the start of the failures since the last answer; zero if there are none.
	failingSince time.Time
	// returned is the end of the last outage.
	returned time.Time
}

type listed struct {
	backend ListedBackend
	// missing is true for a server that is kept although the list has it no more.
	missing bool
}

// NewListing returns an empty listing.
func NewListing() *Listing {
	return &Listing{backends: map[string]*listed{}}
}

// Failed records that the list could not be read. Silent is how long the failed call had been without
// an answer if it was given up for that, else 0: a watch that waits for changes is no failure.
func (l *Listing) Failed(now time.Time, silent time.Duration) {
	if since := now.Add(-silent); l.failingSince.IsZero() || since.Before(l.failingSince) {
		l.failingSince = since
	}
}

// Read records an answer of the list's service, whatever it says.
func (l *Listing) Read(now time.Time) {
	if !l.failingSince.IsZero() && now.Sub(l.failingSince) >= ListOutage {
		l.returned = now
	}
	l.failingSince = time.Time{}
}

// Replace takes the whole list. It returns whether anything changed.
func (l *Listing) Replace(now time.Time, backends []ListedBackend) bool {
	seen := make(map[string]struct{}, len(backends))
	changed := false
	for _, backend := range backends {
		seen[backend.ID] = struct{}{}
		changed = l.Put(backend) || changed
	}
	for id := range l.backends {
		if _, ok := seen[id]; !ok {
			changed = l.Remove(now, id) || changed
		}
	}
	return changed
}

// Put adds or changes one server. It returns whether anything changed.
func (l *Listing) Put(backend ListedBackend) bool {
	known := l.backends[backend.ID]
	if known != nil && !known.missing && known.backend == backend {
		return false
	}
	l.backends[backend.ID] = &listed{backend: backend}
	return true
}

// Remove takes a server off the list. One that vanished in an outage is kept until the grace after it
// ends. It returns whether anything changed.
func (l *Listing) Remove(now time.Time, id string) bool {
	known := l.backends[id]
	if known == nil || known.missing {
		return false
	}
	if l.inGrace(now) && !known.backend.Leaving {
		known.missing = true
		return false
	}
	delete(l.backends, id)
	return true
}

func (l *Listing) inGrace(now time.Time) bool {
	return !l.failingSince.IsZero() || !l.returned.IsZero() && now.Sub(l.returned) < ListReturnGrace
}

// Expire removes what did not come back after an outage. It returns whether anything changed.
func (l *Listing) Expire(now time.Time) bool {
	if l.inGrace(now) {
		return false
	}
	changed := false
	for id, known := range l.backends {
		if known.missing {
			delete(l.backends, id)
			changed = true
		}
	}
	return changed
}

// Backends returns all servers, ordered by ID.
func (l *Listing) Backends() []ListedBackend {
	all := make([]ListedBackend, 0, len(l.backends))
	for _, known := range l.backends {
		all = append(all, known.backend)
	}
	slices.SortFunc(all, func(a, b ListedBackend) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// CurrentRuns leaves out runs that a later run at the same address replaced: after a power loss the list holds both until
// the earlier ones lapse, and requests for these would all be turned away. Entries whose service is not named by the
// configuration replace nothing, as other programs write to the list too.
func CurrentRuns(backends []ListedBackend, named func(ident.Service) bool) []ListedBackend {
	latest := make(map[string]int64, len(backends))
	for i := range backends {
		if backend := &backends[i]; named(backend.Service) {
			latest[backend.Address] = max(latest[backend.Address], backend.Started)
		}
	}
	return slices.DeleteFunc(slices.Clone(backends), func(backend ListedBackend) bool {
		return backend.Started > 0 && backend.Started < latest[backend.Address]
	})
}
