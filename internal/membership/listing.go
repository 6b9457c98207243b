package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// ListedBackend is one incarnation of a backend server in the platform's list.
type ListedBackend struct {
	// ID is the key of the server's record in the list. A restarted server usually, but not always, gets
	// a new one.
	ID      string
	Service ident.Service
	// Address is the IP address and TCP port.
	Address string
	Zone    ident.Zone
	// Leaving is true for a server that must get no new requests.
	Leaving bool
	// Slots is the number of requests that the server runs at a time. Waiting requests don't count, unlike
	// in GrantorSettings.Slots.
	Slots int
	// Started is the start of the incarnation on the backend server's clock, in Unix milliseconds; 0 if
	// unknown.
	Started int64
	// Group is the name of the model group; "" outside groups.
	Group     ident.Group
	Rank      ident.Rank
	GroupSize int
	// GroupOpen is false while the group can't run requests.
	GroupOpen bool
	// ColdFor is how long the server stays cold, as of the time its record was read; 0 for a warm one, ColdNotStated if the
	// record does not say.
	ColdFor time.Duration
}

// ColdNotStated is the value of ListedBackend.ColdFor if a record does not say whether its server is cold.
const ColdNotStated = time.Duration(-1)

// Time limits of a Listing.
const (
	// MinListOutage is the shortest period of failures that counts as an outage. In an outage, records of
	// running servers may expire because they cannot be renewed. A server renews its record by
	// heartbeats more than a second apart, and the record expires when three of them are missed. Heartbeats
	// may have failed before this process noticed the failures: the limit assumes that at most two of the
	// three were missed by then, so the third is missed more than a second later. 900 ms is a little less
	// than that.
	MinListOutage = 900 * time.Millisecond
	// ListRecoveryGrace is how long running servers may take to renew their expired records after an
	// outage. The platform says "about two seconds"; 10 % is added.
	ListRecoveryGrace = 2200 * time.Millisecond
	// maxLeft is the number of removed servers that a Listing remembers.
	maxLeft = 1024
)

// Listing is one process's copy of the platform's list of backend servers. Servers whose records
// expired during an outage of the list are kept until they have had time to renew them. It is not safe
// for concurrent use.
type Listing struct {
	backends map[string]*listed
	// failingSince is the start of the failures since the last answer; zero if there are none.
	failingSince time.Time
	// recoveredAt is the end of the last outage.
	recoveredAt time.Time
	// restoring is true from a restore of the list until Expire runs after the grace.
	restoring bool
	// left has the incarnations that were removed while they were leaving. The list may contain them again after it was
	// restored from an older copy.
	left map[incarnation]time.Time
}

// incarnation identifies one start of a backend server.
type incarnation struct {
	id      string
	started int64
}

type listed struct {
	backend ListedBackend
	// missing is true for a server that is kept although it is no longer in the list.
	missing bool
}

// NewListing returns an empty listing.
func NewListing() *Listing {
	return &Listing{backends: map[string]*listed{}, left: map[incarnation]time.Time{}}
}

// Failed records that the list could not be read. If the call timed out, unansweredFor is how long it had no
// answer, else 0. A watch that waits for changes is not a failure.
func (l *Listing) Failed(now time.Time, unansweredFor time.Duration) {
	if since := now.Add(-unansweredFor); l.failingSince.IsZero() || since.Before(l.failingSince) {
		l.failingSince = since
	}
}

// Answered records any answer of the list's service.
func (l *Listing) Answered(now time.Time) {
	if !l.failingSince.IsZero() && now.Sub(l.failingSince) >= MinListOutage {
		l.recoveredAt = now
	}
	l.failingSince = time.Time{}
}

// Restored records that the list was restored from an older copy. Servers that are missing in it are kept until they had time
// to write their records again.
func (l *Listing) Restored(now time.Time) {
	l.recoveredAt, l.restoring = now, true
}

// Replace sets the whole list. It returns whether anything changed.
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

// Put adds or changes one server. It returns whether anything changed, as the time for which a server is cold always does. A server that was leaving stays so until it starts
// again, whatever the list says.
func (l *Listing) Put(backend ListedBackend) bool {
	known := l.backends[backend.ID]
	_, left := l.left[incarnation{backend.ID, backend.Started}]
	if known != nil && backend.Started < known.backend.Started && backend.Started > 0 && l.restoring {
		return false // an earlier incarnation, out of the copy
	}
	if left || known != nil && known.backend.Started == backend.Started && known.backend.Leaving {
		backend.Leaving = true
	}
	if known != nil && !known.missing && known.backend == backend && backend.ColdFor <= 0 {
		return false
	}
	l.backends[backend.ID] = &listed{backend: backend}
	return true
}

// Remove removes a server. If the list can't be read, or was read again less than ListRecoveryGrace ago
// after an outage, a server that is not leaving is kept until Expire removes it. Remove returns whether
// anything changed.
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
	if known.backend.Leaving {
		l.remember(now, incarnation{id, known.backend.Started})
	}
	return true
}

// remember records that a leaving server was removed. It forgets the one removed first if there are too many.
func (l *Listing) remember(now time.Time, gone incarnation) {
	if len(l.left) >= maxLeft {
		oldest := gone
		oldestAt := now
		for other, at := range l.left {
			if at.Before(oldestAt) {
				oldest, oldestAt = other, at
			}
		}
		delete(l.left, oldest)
	}
	l.left[gone] = now
}

// inGrace reports whether the list can't be read, or an outage ended less than ListRecoveryGrace ago.
func (l *Listing) inGrace(now time.Time) bool {
	return !l.failingSince.IsZero() || !l.recoveredAt.IsZero() && now.Sub(l.recoveredAt) < ListRecoveryGrace
}

// Expire removes the servers that Remove kept and that were not listed again, once the list can be read
// and ListRecoveryGrace has passed after an outage. It returns whether anything changed.
func (l *Listing) Expire(now time.Time) bool {
	if l.inGrace(now) {
		return false
	}
	l.restoring = false
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

// LatestPerAddress leaves out incarnations that a later one at the same address replaced. After a power
// loss the list holds both until the records of the earlier ones expire, and requests sent to those
// would all be refused. inConfiguration reports whether the configuration names a service. Records of other
// services replace nothing, as other programs write to the list too.
func LatestPerAddress(backends []ListedBackend, inConfiguration func(ident.Service) bool) []ListedBackend {
	latest := make(map[string]int64, len(backends))
	for i := range backends {
		if backend := &backends[i]; inConfiguration(backend.Service) {
			latest[backend.Address] = max(latest[backend.Address], backend.Started)
		}
	}
	return slices.DeleteFunc(slices.Clone(backends), func(backend ListedBackend) bool {
		return backend.Started > 0 && backend.Started < latest[backend.Address]
	})
}
