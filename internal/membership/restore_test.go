package membership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// TestRestoredListing guards against a list restored from an older copy that brings leaving or ended servers back, or loses
// those that are missing in the copy before they had time to write themselves again.
func TestRestoredListing(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	server := func(id string, started int64, leaving bool) membership.ListedBackend {
		return membership.ListedBackend{ID: id, Started: started, Leaving: leaving}
	}
	listing := membership.NewListing()
	listing.Replace(now, []membership.ListedBackend{
		server("new", 5, false), server("ended", 6, false), server("leaving", 2, false), server("left", 3, false), server("again", 9, false),
	})
	listing.Put(server("leaving", 2, true))
	listing.Put(server("left", 3, true))
	listing.Remove(now, "left")
	find := func(id string) (membership.ListedBackend, bool) {
		for _, backend := range listing.Backends() {
			if backend.ID == id {
				return backend, true
			}
		}
		return membership.ListedBackend{}, false
	}
	now = now.Add(time.Minute)
	listing.Restored(now)
	listing.Replace(now, []membership.ListedBackend{server("leaving", 2, false), server("left", 3, false), server("again", 4, false)})
	for _, id := range []string{"new", "ended"} {
		_, ok := find(id)
		c.Assert(ok, qt.IsTrue, qt.Commentf("%s is missing in the copy", id))
	}
	for _, id := range []string{"leaving", "left"} {
		backend, _ := find(id)
		c.Assert(backend.Leaving, qt.IsTrue, qt.Commentf("%s", id))
	}
	again, _ := find("again")
	c.Assert(again.Started, qt.Equals, int64(9), qt.Commentf("the copy has an earlier incarnation"))
	now = now.Add(time.Second)
	listing.Put(server("new", 5, false))
	now = now.Add(membership.ListRecoveryGrace)
	listing.Expire(now)
	_, ok := find("new")
	c.Assert(ok, qt.IsTrue, qt.Commentf("it has written itself again"))
	_, ok = find("ended")
	c.Assert(ok, qt.IsFalse)
	listing.Put(server("leaving", 8, false))
	backend, _ := find("leaving")
	c.Assert(backend.Leaving, qt.IsFalse, qt.Commentf("its next incarnation"))
}
