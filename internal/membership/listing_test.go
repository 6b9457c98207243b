package membership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

var listingStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func listingAt(ms int) time.Time { return listingStart.Add(time.Duration(ms) * time.Millisecond) }

func listedServers(ids ...string) []membership.ListedBackend {
	var servers []membership.ListedBackend
	for _, id := range ids {
		servers = append(servers, membership.ListedBackend{ID: id})
	}
	return servers
}

func idsOf(l *membership.Listing) []string {
	ids := []string{}
	for _, backend := range l.Backends() {
		ids = append(ids, backend.ID)
	}
	return ids
}

// A watch that waits long for changes is not an outage: a server that disappears from the list must be
// removed at once.
func TestServerIsRemovedAtOnceWithoutOutage(t *testing.T) {
	c := qt.New(t)
	listing := membership.NewListing()
	listing.Answered(listingAt(0))
	listing.Replace(listingAt(0), listedServers("a", "b"))
	listing.Answered(listingAt(1500))
	listing.Answered(listingAt(3000))
	c.Assert(listing.Remove(listingAt(3000), "a"), qt.IsTrue)
	c.Assert(idsOf(listing), qt.DeepEquals, []string{"b"})
}

// A connection that is reset and restored at once is not an outage either.
func TestShortListFailureIsNoOutage(t *testing.T) {
	c := qt.New(t)
	listing := membership.NewListing()
	listing.Answered(listingAt(0))
	listing.Replace(listingAt(0), listedServers("a", "b"))
	listing.Failed(listingAt(1000), 0)
	listing.Answered(listingAt(1100))
	c.Assert(listing.Replace(listingAt(1100), listedServers("b")), qt.IsTrue)
	c.Assert(idsOf(listing), qt.DeepEquals, []string{"b"})
}

// While the list cannot be read, running servers cannot renew their records, which then expire. The
// servers must be kept until they have had time to renew them.
func TestServersThatExpireDuringOutageAreKept(t *testing.T) {
	for _, test := range []struct {
		name          string
		unansweredFor time.Duration
	}{
		{"failures in a row", 0},
		{"a watch that was never answered", 2200 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			listing := membership.NewListing()
			listing.Answered(listingAt(0))
			listing.Replace(listingAt(0), listedServers("a", "b", "c"))
			listing.Failed(listingAt(3000), test.unansweredFor)
			listing.Failed(listingAt(3500), 0)
			listing.Answered(listingAt(4000))
			listing.Replace(listingAt(4000), listedServers("b"))
			c.Assert(idsOf(listing), qt.DeepEquals, []string{"a", "b", "c"})
			listing.Put(membership.ListedBackend{ID: "a"})
			c.Assert(listing.Expire(listingAt(4000+2199)), qt.IsFalse)
			c.Assert(listing.Expire(listingAt(4000+2200)), qt.IsTrue)
			c.Assert(idsOf(listing), qt.DeepEquals, []string{"a", "b"})
		})
	}
}

func TestLeavingServerIsNotKeptDuringOutage(t *testing.T) {
	c := qt.New(t)
	listing := membership.NewListing()
	listing.Answered(listingAt(0))
	listing.Replace(listingAt(0), []membership.ListedBackend{{ID: "a", Leaving: true}, {ID: "b"}})
	listing.Failed(listingAt(1000), 0)
	listing.Answered(listingAt(3000))
	listing.Replace(listingAt(3000), listedServers("b"))
	c.Assert(idsOf(listing), qt.DeepEquals, []string{"b"})
}

// After a power loss the list holds an earlier and a later incarnation at the same address; requests
// to the earlier one would be refused.
func TestLaterIncarnationAtSameAddressReplacesEarlier(t *testing.T) {
	c := qt.New(t)
	inConfiguration := func(service ident.Service) bool { return service == "model" || service == "plain" }
	ids := func(backends ...membership.ListedBackend) []string {
		var left []string
		for _, backend := range membership.LatestPerAddress(backends, inConfiguration) {
			left = append(left, backend.ID)
		}
		return left
	}
	before := membership.ListedBackend{ID: "before", Service: "model", Address: "10.0.0.1:80", Started: 1000}
	after := membership.ListedBackend{ID: "after", Service: "model", Address: "10.0.0.1:80", Started: 5000}
	c.Assert(ids(before), qt.DeepEquals, []string{"before"})
	c.Assert(ids(before, after), qt.DeepEquals, []string{"after"})
	c.Assert(ids(after, before), qt.DeepEquals, []string{"after"})
	reused := after
	reused.Service = "plain"
	c.Assert(ids(before, reused), qt.DeepEquals, []string{"after"}, qt.Commentf("the address is now used by another service"))
	elsewhere := after
	elsewhere.Address = "10.0.0.2:80"
	c.Assert(ids(before, elsewhere), qt.DeepEquals, []string{"before", "after"})
	foreign := after
	foreign.Service = "unknown"
	c.Assert(ids(before, foreign), qt.DeepEquals, []string{"before", "after"}, qt.Commentf("the record of another program replaces nothing"))
}

// The time for which a server is cold counts from the moment at which its record is read: a record that is written again with the
// same time must not be taken for the earlier one.
func TestColdRecordIsAChange(t *testing.T) {
	c := qt.New(t)
	listing := membership.NewListing()
	warm, cold := membership.ListedBackend{ID: "a"}, membership.ListedBackend{ID: "a", ColdFor: 8 * time.Second}
	c.Assert(listing.Put(warm), qt.IsTrue)
	c.Assert(listing.Put(warm), qt.IsFalse)
	c.Assert(listing.Put(cold), qt.IsTrue)
	c.Assert(listing.Put(cold), qt.IsTrue)
}
