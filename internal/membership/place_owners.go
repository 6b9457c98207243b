package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Place is the address of a server and the service that it serves there.
type Place struct {
	Address string
	Service ident.Service
}

// PlaceOf returns the place of a server.
func PlaceOf(server *ListedBackend) Place { return Place{server.Address, server.Service} }

// misdirectedTime is how long a record counts for nothing after a server at its place has refused a request for it as not its own.
const misdirectedTime = 30 * time.Second

// leavingTrust is how long the word of a record that its server leaves is taken for all records of its place with the same start. Servers
// leave within seconds; the record of another writer may say so for ever.
const leavingTrust = 30 * time.Second

// PlaceOwners knows which of the listed servers at a place is the one that runs there. Another writer may leave a copy of a server's record
// under another key. The server refuses requests for the copy, but once it has ended nothing tells that the copy names no server.
// It is not safe for concurrent use.
type PlaceOwners struct {
	owners  map[Place]placeOwner
	leaving map[Place]placeLeaving
	// misdirected has the times at which servers refused requests for records, by record.
	misdirected map[misdirectedRecord]time.Time
	// records is the number of listed records by place.
	records map[Place]int
}

// misdirectedRecord is a record of a place.
type misdirectedRecord struct {
	place Place
	owner placeOwner
}

// placeOwner is the server that has proved by a response that it runs at a place.
type placeOwner struct {
	id      string
	started int64
}

// placeLeaving is the latest start at a place of which a record said that its server leaves, and when it was first read.
type placeLeaving struct {
	started int64
	since   time.Time
}

// RecordServed records that a server has served a request that was sent to it by its ID.
func (o *PlaceOwners) RecordServed(server *ListedBackend) {
	if server.Started == 0 {
		return
	}
	if o.owners == nil {
		o.owners = map[Place]placeOwner{}
	}
	o.owners[PlaceOf(server)] = placeOwner{server.ID, server.Started}
}

// RecordMisdirected records that a server refused a request for another one at its place. It reports whether that is news about a place with
// several records.
func (o *PlaceOwners) RecordMisdirected(now time.Time, server *ListedBackend) bool {
	place := PlaceOf(server)
	if server.Started == 0 || o.records[place] < 2 || o.isMisdirected(now, server) {
		return false
	}
	if o.misdirected == nil {
		o.misdirected = map[misdirectedRecord]time.Time{}
	}
	refused := placeOwner{server.ID, server.Started}
	o.misdirected[misdirectedRecord{place, refused}] = now
	if o.owners[place] == refused {
		delete(o.owners, place) // another server has its address now
	}
	return true
}

func (o *PlaceOwners) isMisdirected(now time.Time, server *ListedBackend) bool {
	if len(o.misdirected) == 0 {
		return false
	}
	at, ok := o.misdirected[misdirectedRecord{PlaceOf(server), placeOwner{server.ID, server.Started}}]
	return ok && now.Sub(at) < misdirectedTime && o.records[PlaceOf(server)] > 1
}

// RecordListed records the whole list, and forgets the places that it does not have.
func (o *PlaceOwners) RecordListed(now time.Time, listed []ListedBackend) {
	places := make(map[Place]int, len(listed))
	for i := range listed {
		server := &listed[i]
		place := PlaceOf(server)
		places[place]++
		if known, ok := o.leaving[place]; server.Leaving && server.Started > 0 && (!ok || known.started < server.Started) {
			if o.leaving == nil {
				o.leaving = map[Place]placeLeaving{}
			}
			o.leaving[place] = placeLeaving{server.Started, now}
		}
	}
	o.records = places
	maps.DeleteFunc(o.owners, func(place Place, _ placeOwner) bool { return places[place] == 0 })
	maps.DeleteFunc(o.leaving, func(place Place, _ placeLeaving) bool { return places[place] == 0 })
	maps.DeleteFunc(o.misdirected, func(record misdirectedRecord, at time.Time) bool {
		return places[record.place] < 2 || now.Sub(at) >= misdirectedTime
	})
}

// IsCopy reports whether the record is taken for a copy of one that names the server at its place: a server with the same start has served a
// request there, a record with the same start says that its server leaves, or a server there has refused a request for it. This holds after
// the end of that server too.
func (o *PlaceOwners) IsCopy(now time.Time, server *ListedBackend) bool {
	if server.Started == 0 {
		return false
	}
	if o.isMisdirected(now, server) {
		return true
	}
	if owner, ok := o.owners[PlaceOf(server)]; ok && server.Started == owner.started {
		return server.ID != owner.id
	}
	if len(o.leaving) == 0 {
		return false
	}
	leaving, ok := o.leaving[PlaceOf(server)]
	return ok && !server.Leaving && server.Started == leaving.started && now.Sub(leaving.since) < leavingTrust
}

// WithoutCopies leaves out the copies among the listed servers. Of the records with the same place and start it keeps one while none of them
// is known to be the server's: each request that is refused for it lets the next one take its place.
func (o *PlaceOwners) WithoutCopies(now time.Time, listed []ListedBackend) []ListedBackend {
	var kept []ListedBackend
	candidates := map[misdirectedRecord]bool{}
	leaveOut := func(server *ListedBackend) bool {
		if o.IsCopy(now, server) {
			return true
		}
		place := PlaceOf(server)
		if server.Started == 0 || server.Leaving || o.records[place] < 2 {
			return false
		}
		same := misdirectedRecord{place, placeOwner{started: server.Started}}
		if candidates[same] {
			return true
		}
		candidates[same] = true
		return false
	}
	for i := range listed {
		switch out := leaveOut(&listed[i]); {
		case out && kept == nil:
			kept = slices.Clone(listed[:i])
		case !out && kept != nil:
			kept = append(kept, listed[i])
		}
	}
	if kept == nil {
		return listed
	}
	return kept
}
