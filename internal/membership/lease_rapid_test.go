package membership_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// leaseSimulation is one agent and several entries. Messages between them are lost, duplicated,
// delayed and reordered.
type leaseSimulation struct {
	now         time.Time
	slots       int
	grantor     *membership.Grantor
	incarnation ident.Incarnation
	leftAt      time.Time
	entries     []*leaseEntry
	messages    []func()
}

type leaseEntry struct {
	self   ident.Instance
	holder *membership.Holder
	paused bool
}

func (w *leaseSimulation) restartEntry(e *leaseEntry) {
	e.self.Incarnation++
	holder, err := membership.NewHolder(membership.HolderSettings{Self: e.self}, charts.Files)
	if err != nil {
		panic(err)
	}
	e.holder = holder
	w.stepHolder(e, membership.BackendsChosen{VMs: []ident.VM{agentVM}})
}

func (w *leaseSimulation) restartAgent() {
	w.incarnation++
	w.leftAt = time.Time{}
	w.grantor = newGrantor(w.incarnation, w.slots)
}

func (w *leaseSimulation) stepHolder(e *leaseEntry, event membership.HolderEvent) {
	holder := e.holder
	for _, action := range holder.Step(w.now, event) {
		var request membership.LeaseRequest
		fresh := false
		switch action := action.(type) {
		case membership.SendLeaseRequest:
			request = action.Request
		case membership.ProbeNewConnection:
			request, fresh = action.Request, true
		default:
			continue
		}
		from := e.self
		w.messages = append(w.messages, func() { w.sendRequest(e, holder, from, request, fresh) })
	}
}

func (w *leaseSimulation) sendRequest(e *leaseEntry, holder *membership.Holder, from ident.Instance, request membership.LeaseRequest, fresh bool) {
	for _, action := range w.grantor.Step(w.now, membership.LeaseRequested{From: from, Request: request}) {
		grant := action.(membership.SendGrant).Grant
		w.messages = append(w.messages, func() {
			if e.holder == holder && !e.paused {
				w.stepHolder(e, membership.GrantReceived{From: agentVM, Grant: grant, NewConnection: fresh})
			}
		})
	}
}

func (w *leaseSimulation) check(t *rapid.T) {
	believed := 0
	for _, e := range w.entries {
		view, _ := e.holder.View(agentVM)
		if e.paused || !view.Usable(w.now) || view.Incarnation != w.incarnation {
			continue
		}
		if !w.leftAt.IsZero() && w.now.Sub(w.leftAt) >= 3*time.Second {
			t.Fatalf("lease of %s is still usable %v after the agent began to leave", e.self, w.now.Sub(w.leftAt))
		}
		believed += int(view.Credits)
		cause := w.grantor.Check(w.now, e.self, view.Incarnation, view.Lease)
		if cause == outcome.CauseStaleLease {
			t.Fatalf("%s holds lease %d as usable, but the agent refuses it", e.self, view.Lease)
		}
	}
	if believed > w.slots {
		t.Fatalf("entries hold %d credits for %d slots", believed, w.slots)
	}
}

// step draws and performs one event.
func (w *leaseSimulation) step(t *rapid.T) {
	e := w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")]
	switch kind := rapid.IntRange(0, 59).Draw(t, "kind"); {
	case kind < 14:
		w.advance(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond)
	case kind < 34:
		w.deliver(rapid.IntRange(0, 1000).Draw(t, "message"), rapid.IntRange(0, 9).Draw(t, "doubled") == 0)
	case kind < 42:
		for len(w.messages) > 0 {
			w.deliver(0, false)
		}
	case kind < 44:
		w.messages = w.messages[:len(w.messages)/2]
	case kind < 54:
		w.stepHolder(e, membership.WantChanged{VM: agentVM, Wanted: rapid.SampledFrom([]uint32{0, 1, 5, 20}).Draw(t, "wanted")})
	case kind < 56:
		e.paused = !e.paused
	case kind == 56 && !e.paused:
		w.restartEntry(e)
	case kind == 57:
		w.restartAgent()
	case kind == 58 && w.leftAt.IsZero() && rapid.IntRange(0, 9).Draw(t, "leave") == 0:
		w.leftAt = w.now
		w.grantor.Step(w.now, membership.LeaveRequested{})
	}
}

func (w *leaseSimulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.entries {
		if !e.paused {
			w.stepHolder(e, membership.HolderTick{})
		}
	}
	w.grantor.Step(w.now, membership.GrantorTick{})
}

func (w *leaseSimulation) deliver(pick int, doubled bool) {
	if len(w.messages) == 0 {
		return
	}
	at := pick % len(w.messages)
	message := w.messages[at]
	if !doubled {
		w.messages = append(w.messages[:at], w.messages[at+1:]...)
	}
	message()
}

// With lost, duplicated, delayed and reordered messages, pauses and restarts, entries together must
// not hold more credits than the agent has slots. The agent must accept every lease that an entry
// holds as usable, and no lease may be usable 3 s after the agent began to leave.
func TestLeasesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &leaseSimulation{now: start, slots: rapid.IntRange(1, 12).Draw(t, "slots")}
		w.restartAgent()
		for i := range rapid.IntRange(1, 4).Draw(t, "entries") {
			e := &leaseEntry{self: ident.Instance{VM: ident.VM(fmt.Sprintf("entry-%d", i))}}
			w.entries = append(w.entries, e)
			w.restartEntry(e)
		}
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			w.step(t)
			w.check(t)
		}
	})
}
