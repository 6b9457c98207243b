package control_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// Another writer leaves copies of a server's record under other keys. When the server had ended, each copy got requests until its own connections
// had failed twice, and callers got 502.
func TestCopiesOfAServerThatHasEndedGetNothing(t *testing.T) {
	const copies = 20
	for _, test := range []struct {
		name string
		// known is true if this entry has sent requests to the server before it left.
		known bool
		// left is true if the entry has read that the server leaves.
		left bool
		// lost is how many requests may be lost.
		lost int
	}{{"known", true, true, 0}, {"known, ends at once", true, false, 0}, {"unknown", false, true, 0}, {"unknown, ends at once", false, false, 2}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := control.NewDispatcher("z", 1, attempt.RepeatConfig{Share: 0.2, Fixed: 176, Window: 10 * time.Second})
			d.Configure(testTable())
			record := func(id, address string, leaving bool) membership.ListedBackend {
				return membership.ListedBackend{ID: id, Service: "plain", Address: address, Slots: 6, Zone: "z", Started: 1000, Leaving: leaving}
			}
			others := []membership.ListedBackend{record("other", "10.0.0.2:80", false)}
			for i := range copies {
				others = append(others, record(fmt.Sprint("copy-", i), "10.0.0.1:80", false))
			}
			now, ended := clockStart, false
			sent := map[routing.SendResult]int{}
			var listed []membership.ListedBackend
			list := func(backends ...membership.ListedBackend) {
				listed = append(backends, others...)
				d.SetBackends(now, listed)
			}
			send := func(requests int) {
				for i := range requests {
					now = now.Add(2 * time.Millisecond)
					request := testRequest(uint64(i), now, 0)
					request.Service = "plain"
					backend := single(c, d.RequestBackend(now, request)).Backend
					result := routing.SendServed
					switch {
					case backend.Address == "10.0.0.1:80" && ended:
						result = routing.SendBroken
					case backend.ID != "server" && backend.ID != "other":
						result = routing.SendMisdirected
					}
					sent[result]++
					d.RecordEnd(now, backend.ID, result, time.Millisecond)
					if d.NeedsListing() {
						d.SetBackends(now, listed)
					}
				}
			}
			if test.known {
				d.SetBackends(now, []membership.ListedBackend{record("server", "10.0.0.1:80", false)})
				send(1)
				list(record("server", "10.0.0.1:80", false))
				send(100)
				c.Check(sent[routing.SendMisdirected] <= copies, qt.IsTrue)
			}
			if test.left {
				before := sent[routing.SendMisdirected]
				list(record("server", "10.0.0.1:80", true))
				ended = false
				send(100)
				c.Check(sent[routing.SendMisdirected], qt.Equals, before, qt.Commentf("while the server leaves"))
			}
			now = now.Add(10 * time.Second) // the copies' pauses have ended
			ended = true
			list()
			send(200)
			t.Logf("sends by result: %v", sent)
			c.Check(sent[routing.SendBroken] <= test.lost, qt.IsTrue, qt.Commentf("%d broken", sent[routing.SendBroken]))
			// A server that starts at the address again is used.
			ended = false
			restarted := record("server-2", "10.0.0.1:80", false)
			restarted.Started = 2000
			list(restarted)
			for range 50 {
				now = now.Add(time.Millisecond)
				request := testRequest(1, now, 0)
				request.Service = "plain"
				if single(c, d.RequestBackend(now, request)).Backend.ID == "server-2" {
					return
				}
			}
			c.Error("the server that has started again gets no request")
		})
	}
}

// Another writer leaves a copy of a server's record with a later start. It replaced the server's own, so that the server got nothing.
func TestCopyWithALaterStartDoesNotReplaceAServer(t *testing.T) {
	c := qt.New(t)
	d := control.NewDispatcher("z", 1, attempt.RepeatConfig{Share: 0.2, Fixed: 176, Window: 10 * time.Second})
	d.Configure(testTable())
	server := membership.ListedBackend{ID: "server", Service: "plain", Address: "10.0.0.1:80", Slots: 6, Zone: "z", Started: 1000}
	copied := server
	copied.ID, copied.Started = "copy", 5000
	now := clockStart
	sent := map[string]int{}
	for i := range 600 {
		if i%100 == 0 || d.NeedsListing() {
			d.SetBackends(now, []membership.ListedBackend{server, copied}) // the list changes from time to time
		}
		now = now.Add(100 * time.Millisecond)
		request := testRequest(uint64(i), now, 0)
		request.Service = "plain"
		request.Deadline = now // it may not wait
		assigned := d.RequestBackend(now.Add(-time.Millisecond), request)
		if len(assigned) == 0 || assigned[0].Cause != "" {
			sent["none"]++
			continue
		}
		id := assigned[0].Backend.ID
		sent[id]++
		result := routing.SendServed
		if id == "copy" {
			result = routing.SendMisdirected
		}
		d.RecordEnd(now, id, result, time.Millisecond)
	}
	t.Logf("sends: %v", sent)
	c.Assert(sent["copy"] <= 3, qt.IsTrue, qt.Commentf("one in 30 s"))
	c.Assert(sent["server"] >= 590, qt.IsTrue)
}

// What a server has said must hold when its record, which a copy with a later start had replaced, counts again.
func TestStatementsHoldWhenARecordCountsAgain(t *testing.T) {
	c := qt.New(t)
	d := control.NewDispatcher("z", 1, attempt.RepeatConfig{Share: 0.2, Fixed: 176, Window: 10 * time.Second})
	d.Configure(testTable())
	server := membership.ListedBackend{ID: "server", Service: "plain", Address: "10.0.0.1:80", Slots: 6, Zone: "z", Started: 1000}
	copied := server
	copied.ID, copied.Started = "copy", 5000
	d.SetBackends(clockStart, []membership.ListedBackend{server, copied})
	request := testRequest(1, clockStart, 0)
	request.Service = "plain"
	c.Assert(single(c, d.RequestBackend(clockStart, request)).Backend.ID, qt.Equals, "copy")
	d.RecordEnd(clockStart, "copy", routing.SendMisdirected, 0)
	c.Assert(d.NeedsListing(), qt.IsTrue, qt.Commentf("the caller records the statements after it has set the list"))
	d.SetBackends(clockStart, []membership.ListedBackend{server, copied})
	c.Assert(d.NeedsListing(), qt.IsFalse)
	d.RecordStatement(clockStart, control.InstanceOf(&server), membership.Statement{Leaving: true})
	request.ID, request.Deadline = 2, clockStart.Add(time.Millisecond)
	for _, assigned := range append(d.RequestBackend(clockStart, request), d.Tick(clockStart.Add(time.Second))...) {
		c.Check(assigned.Backend.ID, qt.Equals, "", qt.Commentf("%+v", assigned))
	}
}
