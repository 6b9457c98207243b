package membership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// Only a server that has served shows that other records of its place name no server, and only those of its start: an address may be used again.
func TestCopiesOfARecordAreKnownByTheServerThatServes(t *testing.T) {
	c := qt.New(t)
	record := func(id, address string, started int64) membership.ListedBackend {
		return membership.ListedBackend{ID: id, Address: address, Started: started}
	}
	server, copied := record("server", "10.0.0.1:80", 1000), record("copy", "10.0.0.1:80", 1000)
	older, newer := record("older", "10.0.0.1:80", 900), record("newer", "10.0.0.1:80", 1001)
	unknown, elsewhere := record("unknown", "10.0.0.1:80", 0), record("elsewhere", "10.0.0.2:80", 1000)
	otherService := record("other-service", "10.0.0.1:80", 1000)
	otherService.Service = "plain"
	all := []membership.ListedBackend{server, copied, older, newer, unknown, elsewhere, otherService}
	now := time.Unix(1_800_000_000, 0)
	var owners membership.PlaceOwners
	left := func(listed ...membership.ListedBackend) []string {
		var ids []string
		owners.RecordListed(now, listed)
		for _, backend := range owners.WithoutCopies(now, listed) {
			ids = append(ids, backend.ID)
		}
		return ids
	}
	// Without a response, one record of a start is used, and the next one once a request for it was refused.
	c.Assert(left(all...), qt.DeepEquals, []string{"server", "older", "newer", "unknown", "elsewhere", "other-service"})
	c.Assert(left(copied, server), qt.DeepEquals, []string{"copy"})
	c.Assert(owners.RecordMisdirected(now, &copied), qt.IsTrue)
	c.Assert(left(copied, server), qt.DeepEquals, []string{"server"})
	owners.RecordServed(&server)
	c.Assert(left(all...), qt.DeepEquals, []string{"server", "older", "newer", "unknown", "elsewhere", "other-service"})
	c.Assert(left(copied, newer, older), qt.DeepEquals, []string{"newer", "older"}, qt.Commentf("after the end of the server"))
	now = now.Add(30 * time.Second)
	// The clock of a machine may have been set back before its server started again.
	owners.RecordServed(&older)
	c.Assert(left(older, copied), qt.DeepEquals, []string{"older", "copy"})
	owners.RecordServed(&newer)
	c.Assert(left(elsewhere), qt.DeepEquals, []string{"elsewhere"})
	c.Assert(left(copied), qt.DeepEquals, []string{"copy"}, qt.Commentf("the address was not listed in between"))
	// Without a response, a record that says its server leaves counts for the others, for a time.
	leaving := elsewhere
	leaving.ID, leaving.Leaving = "leaving", true
	c.Assert(left(elsewhere, leaving), qt.DeepEquals, []string{"leaving"})
	c.Assert(left(elsewhere), qt.HasLen, 0, qt.Commentf("after its end"))
	now = now.Add(29 * time.Second)
	c.Assert(left(elsewhere, leaving), qt.DeepEquals, []string{"leaving"})
	now = now.Add(time.Second)
	c.Assert(left(elsewhere, leaving), qt.DeepEquals, []string{"elsewhere", "leaving"})
	c.Assert(left(copied), qt.HasLen, 1)
	owners.RecordServed(&elsewhere)
	c.Assert(left(elsewhere, leaving), qt.DeepEquals, []string{"elsewhere"}, qt.Commentf("the copy says that the server leaves"))
	// A server refuses requests for a record with a later start, which would replace its own.
	now = now.Add(time.Minute)
	left(all...)
	owners.RecordServed(&newer)
	c.Assert(owners.RecordMisdirected(now, &newer), qt.IsTrue)
	c.Assert(owners.RecordMisdirected(now, &newer), qt.IsFalse)
	c.Assert(owners.RecordMisdirected(now, &elsewhere), qt.IsFalse, qt.Commentf("the only record of its place"))
	c.Assert(left(server, newer), qt.DeepEquals, []string{"server"}, qt.Commentf("newer has served before"))
	c.Assert(left(newer), qt.DeepEquals, []string{"newer"}, qt.Commentf("the only record of its place"))
	// A restarted server may keep its ID.
	again := record("server", "10.0.0.1:80", 2000)
	owners.RecordServed(&again)
	c.Assert(left(again), qt.DeepEquals, []string{"server"})
}
