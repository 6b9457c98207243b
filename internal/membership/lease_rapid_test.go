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
	now          time.Time
	slots        int
	grantor      *membership.Grantor
	incarnation  ident.Incarnation
	leavingSince time.Time
	entries      []*leaseEntry
	messages     []func()
}

type leaseEntry struct {
	self   ident.Instance
	holder *membership.Holder
	paused bool
}

func (s *leaseSimulation) restartEntry(e *leaseEntry) {
	e.self.Incarnation++
	holder, err := membership.NewHolder(membership.HolderSettings{Self: e.self}, charts.Files)
	if err != nil {
		panic(err)
	}
	e.holder = holder
	s.stepHolder(e, membership.BackendsChosen{VMs: []ident.VM{agentVM}})
}

func (s *leaseSimulation) restartAgent() {
	s.incarnation++
	s.leavingSince = time.Time{}
	s.grantor = newGrantor(s.incarnation, s.slots)
}

func (s *leaseSimulation) stepHolder(e *leaseEntry, event membership.HolderEvent) {
	holder := e.holder
	for _, action := range holder.Step(s.now, event) {
		var request membership.LeaseRequest
		newConnection := false
		switch action := action.(type) {
		case membership.SendLeaseRequest:
			request = action.Request
		case membership.ProbeNewConnection:
			request, newConnection = action.Request, true
		default:
			continue
		}
		from := e.self
		s.messages = append(s.messages, func() { s.sendRequest(e, holder, from, request, newConnection) })
	}
}

func (s *leaseSimulation) sendRequest(e *leaseEntry, holder *membership.Holder, from ident.Instance, request membership.LeaseRequest, newConnection bool) {
	for _, action := range s.grantor.Step(s.now, membership.LeaseRequested{From: from, Request: request}) {
		grant := action.(membership.SendGrant).Grant
		s.messages = append(s.messages, func() {
			if e.holder == holder && !e.paused {
				s.stepHolder(e, membership.GrantReceived{From: agentVM, Grant: grant, NewConnection: newConnection})
			}
		})
	}
}

func (s *leaseSimulation) check(t *rapid.T) {
	held := 0
	for _, e := range s.entries {
		view, _ := e.holder.View(agentVM)
		if e.paused || !view.Usable(s.now) || view.Incarnation != s.incarnation {
			continue
		}
		if !s.leavingSince.IsZero() && s.now.Sub(s.leavingSince) >= 3*time.Second {
			t.Fatalf("lease of %s is still usable %v after the agent began to leave", e.self, s.now.Sub(s.leavingSince))
		}
		held += int(view.Credits)
		cause := s.grantor.Check(s.now, e.self, view.Incarnation, view.Lease)
		if cause == outcome.CauseStaleLease {
			t.Fatalf("%s holds lease %d as usable, but the agent refuses it", e.self, view.Lease)
		}
	}
	if held > s.slots {
		t.Fatalf("entries hold %d credits for %d slots", held, s.slots)
	}
}

// step draws and performs one event.
func (s *leaseSimulation) step(t *rapid.T) {
	e := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry")]
	switch kind := rapid.IntRange(0, 59).Draw(t, "kind"); {
	case kind < 14:
		s.advance(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond)
	case kind < 34:
		s.deliver(rapid.IntRange(0, 1000).Draw(t, "message"), rapid.IntRange(0, 9).Draw(t, "doubled") == 0)
	case kind < 42:
		for len(s.messages) > 0 {
			s.deliver(0, false)
		}
	case kind < 44:
		s.messages = s.messages[:len(s.messages)/2]
	case kind < 54:
		s.stepHolder(e, membership.DemandChanged{VM: agentVM, Demand: rapid.SampledFrom([]uint32{0, 1, 5, 20}).Draw(t, "demand")})
	case kind < 56:
		e.paused = !e.paused
	case kind == 56 && !e.paused:
		s.restartEntry(e)
	case kind == 57:
		s.restartAgent()
	case kind == 58 && s.leavingSince.IsZero() && rapid.IntRange(0, 9).Draw(t, "leave") == 0:
		s.leavingSince = s.now
		s.grantor.Step(s.now, membership.LeaveRequested{})
	}
}

func (s *leaseSimulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, e := range s.entries {
		if !e.paused {
			s.stepHolder(e, membership.HolderTick{})
		}
	}
	s.grantor.Step(s.now, membership.GrantorTick{})
}

func (s *leaseSimulation) deliver(pick int, doubled bool) {
	if len(s.messages) == 0 {
		return
	}
	at := pick % len(s.messages)
	message := s.messages[at]
	if !doubled {
		s.messages = append(s.messages[:at], s.messages[at+1:]...)
	}
	message()
}

// With lost, duplicated, delayed and reordered messages, pauses and restarts, entries together must
// not hold more credits than the agent has slots. The agent must accept every lease that an entry
// holds as usable, and no lease may be usable 3 s after the agent began to leave.
func TestLeaseLimitsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &leaseSimulation{now: start, slots: rapid.IntRange(1, 12).Draw(t, "slots")}
		s.restartAgent()
		for i := range rapid.IntRange(1, 4).Draw(t, "entries") {
			e := &leaseEntry{self: ident.Instance{VM: ident.VM(fmt.Sprintf("entry-%d", i))}}
			s.entries = append(s.entries, e)
			s.restartEntry(e)
		}
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			s.step(t)
			s.check(t)
		}
	})
}
