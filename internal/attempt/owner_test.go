package attempt_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

const retention = time.Hour

// ownerHarness drives an Owner with one entry and keeps the actions of its last step.
type ownerHarness struct {
	c       *qt.C
	now     time.Time
	owner   *attempt.Owner
	self    ident.Instance
	actions []attempt.OwnerAction
	next    int
}

func oneEntryFleet(opened time.Time, vms ...ident.VM) fleet.Fleet {
	service := fleet.Service{Name: "s", OpenedAt: opened, RunKeyRetention: retention}
	for _, vm := range vms {
		service.Backends = append(service.Backends, fleet.BackendServer{VM: vm})
	}
	return fleet.Fleet{Version: 1, Entries: []fleet.EntryVM{{VM: entry.VM}}, Services: []fleet.Service{service}}
}

func newOwnerHarness(t *testing.T, change func(*attempt.OwnerConfig)) *ownerHarness {
	config := attempt.DefaultOwnerConfig(agentA)
	if change != nil {
		change(&config)
	}
	h := &ownerHarness{c: qt.New(t), now: start, self: agentA, owner: attempt.NewOwner(start, config)}
	h.step(attempt.LeaseAdvanced{Current: 10, MinStart: 9, MinKept: 5})
	h.step(attempt.OwnerFleetChanged{Fleet: oneEntryFleet(start.Add(-time.Minute), "a")})
	return h
}

func (h *ownerHarness) step(event attempt.OwnerEvent) []attempt.OwnerAction {
	h.actions = h.owner.Step(h.now, event)
	return h.actions
}

// acceptClaim accepts the claim for the entry, whose log covers the given time and holds the keys.
func (h *ownerHarness) acceptClaim(covers time.Duration, keys ...attempt.DispatchedKey) {
	h.step(attempt.ClaimAnswerReceived{Answer: attempt.ClaimAnswer{
		Entry: entry, Claimant: h.self, Service: "s", Round: 1, Parts: 1, Covers: covers, ClaimsKnownFor: covers, Keys: keys,
	}})
}

func (h *ownerHarness) keyedDispatch(key string, body byte) attempt.Dispatch {
	h.next++
	return attempt.Dispatch{
		ID:     attempt.AttemptID{Entry: entry, Request: ident.Request(fmt.Sprint("r", h.next)), Number: 1},
		Target: h.self, Lease: 10, FleetVersion: 1, Customer: "c", Service: "s", Class: "redemption",
		RunKey: ident.NewRunKey("c", "s", key), Body: attempt.Digest{body},
	}
}

// dispatch sends a dispatch and returns the last reply.
func (h *ownerHarness) dispatch(dispatch attempt.Dispatch) attempt.Reply {
	h.step(attempt.DispatchReceived{Dispatch: dispatch})
	return h.lastReply()
}

func (h *ownerHarness) lastReply() attempt.Reply {
	h.c.Helper()
	replies := ownerActions[attempt.SendReply](h)
	h.c.Assert(replies, qt.Not(qt.HasLen), 0)
	return replies[len(replies)-1].Reply
}

func ownerActions[A attempt.OwnerAction](h *ownerHarness) []A {
	var found []A
	for _, action := range h.actions {
		if typed, ok := action.(A); ok {
			found = append(found, typed)
		}
	}
	return found
}

func (h *ownerHarness) endRun(id attempt.AttemptID, result outcome.Outcome) {
	h.step(attempt.RunEnded{ID: id, Outcome: result, Answer: attempt.Answer{Length: 5}, Content: []byte("hello")})
}

func (h *ownerHarness) assertReply(reply attempt.Reply, state attempt.ReplyState, kind outcome.Kind, cause outcome.Cause) {
	h.c.Helper()
	h.c.Assert(reply.State, qt.Equals, state)
	h.c.Assert(reply.Outcome.Kind, qt.Equals, kind)
	h.c.Assert(reply.Outcome.Cause, qt.Equals, cause)
}

// TestRepeatedKeyGetsFirstAnswer guards against a second run of a key that is sent again while it
// runs or after its end, and against an answer for the same key with another body.
func TestRepeatedKeyGetsFirstAnswer(t *testing.T) {
	h := newOwnerHarness(t, nil)
	h.acceptClaim(time.Hour)
	first, second, late, conflict := h.keyedDispatch("k", 1), h.keyedDispatch("k", 1), h.keyedDispatch("k", 1), h.keyedDispatch("k", 2)
	h.assertReply(h.dispatch(first), attempt.ReplyStarted, outcome.Open, "")
	h.c.Assert(ownerActions[attempt.Run](h), qt.HasLen, 1)
	h.assertReply(h.dispatch(second), attempt.ReplyStarted, outcome.Open, "")
	h.c.Assert(ownerActions[attempt.Run](h), qt.HasLen, 0)
	h.assertReply(h.dispatch(conflict), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseKeyConflict)
	h.endRun(first.ID, served)
	h.c.Assert(ownerActions[attempt.SendReply](h), qt.HasLen, 2)
	h.assertReply(h.dispatch(late), attempt.ReplyFinished, outcome.Served, "")
	h.c.Assert(string(ownerActions[attempt.SendReply](h)[0].Content), qt.Equals, "hello")
}

// TestKeysInEntryLogsAreInDoubt guards against running a key that an entry dispatched to an earlier
// incarnation, until the retention has passed.
func TestKeysInEntryLogsAreInDoubt(t *testing.T) {
	h := newOwnerHarness(t, nil)
	old := ident.Instance{VM: "a", Incarnation: 0x99}
	held := h.keyedDispatch("fresh", 1)
	h.assertReply(h.dispatch(held), attempt.ReplyQueued, outcome.Open, "")
	h.acceptClaim(time.Hour, attempt.DispatchedKey{RunKey: ident.NewRunKey("c", "s", "dispatched"), Body: attempt.Digest{1}, Target: old})
	h.assertReply(h.lastReply(), attempt.ReplyStarted, outcome.Open, "")
	h.assertReply(h.dispatch(h.keyedDispatch("dispatched", 1)), attempt.ReplyNeverStarted, outcome.Unknown, outcome.CauseKeyInDoubt)
	h.now = h.now.Add(retention + 2*time.Minute)
	h.step(attempt.OwnerTick{})
	h.assertReply(h.dispatch(h.keyedDispatch("dispatched", 1)), attempt.ReplyStarted, outcome.Open, "")
}

// TestIncompleteLogsLeaveKeysInDoubt guards against running a key while the entries' logs cover less
// than the retention, as after a restart of the entries.
func TestIncompleteLogsLeaveKeysInDoubt(t *testing.T) {
	h := newOwnerHarness(t, nil)
	h.acceptClaim(time.Second)
	dispatch := h.keyedDispatch("k", 1)
	h.assertReply(h.dispatch(dispatch), attempt.ReplyQueued, outcome.Open, "")
	h.now = h.now.Add(2 * time.Second)
	h.step(attempt.OwnerTick{})
	h.assertReply(h.lastReply(), attempt.ReplyNeverStarted, outcome.Unknown, outcome.CauseKeyInDoubt)
	h.c.Assert(h.lastReply().Outcome.RetryAfter > retention-time.Minute, qt.IsTrue)
	reply := h.dispatch(h.keyedDispatch("k2", 1))
	h.assertReply(reply, attempt.ReplyNeverStarted, outcome.Unknown, outcome.CauseKeyInDoubt)
}

// TestDispatchesThatAreNotStarted guards against starting a dispatch that the agent must refuse.
func TestDispatchesThatAreNotStarted(t *testing.T) {
	change := func(do func(*attempt.Dispatch)) func(*ownerHarness) attempt.Dispatch {
		return func(h *ownerHarness) attempt.Dispatch {
			dispatch := h.keyedDispatch("k", 1)
			do(&dispatch)
			return dispatch
		}
	}
	cases := []struct {
		name  string
		make  func(*ownerHarness) attempt.Dispatch
		state attempt.ReplyState
		kind  outcome.Kind
		cause outcome.Cause
	}{
		{"another incarnation of the agent", change(func(d *attempt.Dispatch) { d.Target.Incarnation++ }), attempt.ReplyForeign, outcome.Open, ""},
		{"an old lease", change(func(d *attempt.Dispatch) { d.Lease = 8 }), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseStaleLease},
		{"a lease whose records may be dropped", change(func(d *attempt.Dispatch) { d.Lease = 4 }), attempt.ReplyInDoubt, outcome.Unknown, outcome.CauseStaleLease},
		{"a later fleet version", change(func(d *attempt.Dispatch) { d.FleetVersion = 2 }), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseNotReady},
		{"another incarnation's ticket", func(h *ownerHarness) attempt.Dispatch {
			h.step(attempt.TicketRequestReceived{Request: attempt.TicketRequest{Entry: entry, Request: "t", Service: "s"}})
			dispatch := h.keyedDispatch("k", 1)
			dispatch.Ticket = &attempt.Ticket{Owner: ident.Instance{VM: "a", Incarnation: 0x99}, Number: 1}
			dispatch.RunKey = attempt.TicketKey("c", "s", *dispatch.Ticket)
			return dispatch
		}, attempt.ReplyNeverStarted, outcome.Unknown, outcome.CauseKeyInDoubt},
		{"a ticket's key without the ticket", change(func(d *attempt.Dispatch) {
			d.RunKey = attempt.TicketKey("c", "s", attempt.Ticket{Owner: agentA, Number: 1})
		}), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseBadRequest},
		{"a revoked attempt", func(h *ownerHarness) attempt.Dispatch {
			dispatch := h.keyedDispatch("k", 1)
			h.step(attempt.RevokeReceived{Revoke: attempt.Revoke{ID: dispatch.ID, Target: agentA, Lease: 10}})
			h.assertReply(h.lastReply(), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseRevoked)
			return dispatch
		}, attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseRevoked},
		{"an attempt that a query found missing", func(h *ownerHarness) attempt.Dispatch {
			dispatch := h.keyedDispatch("k", 1)
			h.step(attempt.QueryReceived{Query: attempt.Query{ID: dispatch.ID, Target: agentA, Lease: 10}})
			return dispatch
		}, attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseConnectionLost},
		{"a stopping agent", func(h *ownerHarness) attempt.Dispatch {
			h.step(attempt.OwnerStop{})
			return h.keyedDispatch("k", 1)
		}, attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseLeaving},
		{"a full table", func(h *ownerHarness) attempt.Dispatch {
			h.dispatch(h.keyedDispatch("one", 1))
			h.dispatch(h.keyedDispatch("two", 1))
			return h.keyedDispatch("k", 1)
		}, attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseKeysFull},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newOwnerHarness(t, func(config *attempt.OwnerConfig) { config.MaxKeys = 2 })
			h.acceptClaim(time.Hour)
			reply := h.dispatch(tc.make(h))
			h.assertReply(reply, tc.state, tc.kind, tc.cause)
			h.c.Assert(ownerActions[attempt.Run](h), qt.HasLen, 0)
		})
	}
}

// TestTicketRunsImmediatelyAndOnce guards against a ticket waiting for the entries' answers, and
// against a second run of it.
func TestTicketRunsImmediatelyAndOnce(t *testing.T) {
	h := newOwnerHarness(t, nil)
	h.step(attempt.TicketRequestReceived{Request: attempt.TicketRequest{Entry: entry, Request: "t", Service: "s"}})
	ticket := ownerActions[attempt.SendTicket](h)[0].Reply.Ticket
	dispatchWithTicket := func() attempt.Dispatch {
		dispatch := h.keyedDispatch("", 1)
		dispatch.Ticket = &ticket
		dispatch.RunKey = attempt.TicketKey("c", "s", ticket)
		return dispatch
	}
	h.assertReply(h.dispatch(dispatchWithTicket()), attempt.ReplyStarted, outcome.Open, "")
	h.c.Assert(ownerActions[attempt.Run](h), qt.HasLen, 1)
	h.dispatch(dispatchWithTicket())
	h.c.Assert(ownerActions[attempt.Run](h), qt.HasLen, 0)
}

// TestTicketTextForm guards against malformed tickets being accepted.
func TestTicketTextForm(t *testing.T) {
	c := qt.New(t)
	ticket := attempt.Ticket{Owner: ident.Instance{VM: "backend1", Incarnation: 0xbeef}, Number: 17}
	parsed, err := attempt.ParseTicket(ticket.String())
	c.Assert(err, qt.IsNil)
	c.Assert(parsed, qt.Equals, ticket)
	for _, wrong := range []string{"", "a/1", "a/x/1", "a/1/x", "/1/1", "a/1/1/1"} {
		_, err := attempt.ParseTicket(wrong)
		c.Assert(err, qt.IsNotNil, qt.Commentf("%q", wrong))
	}
}

// TestKeyedSuspectWaitsToRunAlone guards against a suspect with a run key running together with
// another request, and against dispatches being accepted while it waits.
func TestKeyedSuspectWaitsToRunAlone(t *testing.T) {
	h := newOwnerHarness(t, nil)
	h.acceptClaim(time.Hour)
	beside, suspect := h.keyedDispatch("k", 1), h.keyedDispatch("suspect", 1)
	suspect.Alone = true
	h.dispatch(beside)
	h.assertReply(h.dispatch(suspect), attempt.ReplyQueued, outcome.Open, "")
	h.assertReply(h.dispatch(h.keyedDispatch("other", 1)), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseNotReady)
	h.endRun(beside.ID, served)
	h.c.Assert(ownerActions[attempt.Run](h)[0].Dispatch.ID, qt.Equals, suspect.ID)
	h.assertReply(h.dispatch(h.keyedDispatch("other", 1)), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseNotReady)
	h.endRun(suspect.ID, served)
	h.assertReply(h.dispatch(h.keyedDispatch("other", 1)), attempt.ReplyStarted, outcome.Open, "")
}

// TestSuspectServedElsewhereUnblocksAgent guards against an agent refusing all dispatches after a
// hand-over has served the suspect that waited to run alone.
func TestSuspectServedElsewhereUnblocksAgent(t *testing.T) {
	h := newOwnerHarness(t, nil)
	h.acceptClaim(time.Hour)
	beside, suspect := h.keyedDispatch("k", 1), h.keyedDispatch("suspect", 1)
	suspect.Alone = true
	h.dispatch(beside)
	h.dispatch(suspect)
	h.step(attempt.HandOverReceived{HandOver: attempt.HandOver{
		From: agentB, To: "a", Service: "s", FleetVersion: 1, Keys: []attempt.KeyTransfer{{
			RunKey: suspect.RunKey, Body: suspect.Body, Status: attempt.KeyServed, Outcome: served, ExpiresIn: time.Hour,
		}},
	}})
	h.assertReply(h.dispatch(suspect), attempt.ReplyFinished, outcome.Served, "")
	h.assertReply(h.dispatch(h.keyedDispatch("other", 1)), attempt.ReplyStarted, outcome.Open, "")
}

// TestClaimAnswerPartsAreNotMixed guards against parts of two answers of an entry counting as one
// whole answer, which may lack keys.
func TestClaimAnswerPartsAreNotMixed(t *testing.T) {
	h := newOwnerHarness(t, nil)
	held := h.keyedDispatch("k", 1)
	h.dispatch(held)
	part := func(serial uint64, part int) {
		h.step(attempt.ClaimAnswerReceived{Answer: attempt.ClaimAnswer{
			Entry: entry, Claimant: h.self, Service: "s", Round: 1, Part: part, Parts: 2, Serial: serial, Covers: time.Hour,
		}})
	}
	part(1, 0)
	part(2, 1)
	h.c.Assert(ownerActions[attempt.Run](h), qt.HasLen, 0)
	part(2, 0)
	h.c.Assert(ownerActions[attempt.Run](h), qt.HasLen, 1)
}

// TestHandOverInParts guards against acknowledging a hand-over before all its parts have arrived, if
// they arrive out of order or more than once.
func TestHandOverInParts(t *testing.T) {
	h := newOwnerHarness(t, func(config *attempt.OwnerConfig) { config.KeysPerPart = 2 })
	h.acceptClaim(time.Hour)
	for i := range 5 {
		dispatch := h.keyedDispatch(fmt.Sprint("k", i), 1)
		h.dispatch(dispatch)
		h.endRun(dispatch.ID, served)
	}
	next := oneEntryFleet(start.Add(-time.Minute), "b")
	next.Version = 2
	h.step(attempt.OwnerFleetChanged{Fleet: next})
	h.step(attempt.ReleaseRequestReceived{Request: attempt.ReleaseRequest{Asker: agentB, Service: "s", FleetVersion: 2, Round: 1}})
	parts := ownerActions[attempt.SendHandOver](h)
	h.c.Assert(parts, qt.HasLen, 3)
	receiver := attempt.NewOwner(start, attempt.DefaultOwnerConfig(agentB))
	receiver.Step(start, attempt.OwnerFleetChanged{Fleet: next})
	acks := 0
	for _, index := range []int{2, 0, 0, 1} {
		for _, action := range receiver.Step(start, attempt.HandOverReceived{HandOver: parts[index].HandOver}) {
			if _, ok := action.(attempt.SendHandOverAck); ok {
				acks++
			}
		}
	}
	h.c.Assert(acks, qt.Equals, 1)
	for i := range 5 {
		question := attempt.KeyQuestion{RunKey: ident.NewRunKey("c", "s", fmt.Sprint("k", i))}
		actions := receiver.Step(start, attempt.KeyQuestionReceived{Question: question})
		h.c.Assert(actions[len(actions)-1].(attempt.SendKeyAnswer).Answer.Status, qt.Equals, attempt.KeyServed)
	}
}

// TestBackendCrashLeavesKeysInDoubt guards against a second run of a key that was running when the
// backend server crashed.
func TestBackendCrashLeavesKeysInDoubt(t *testing.T) {
	h := newOwnerHarness(t, nil)
	h.acceptClaim(time.Hour)
	dispatch := h.keyedDispatch("k", 1)
	h.dispatch(dispatch)
	h.step(attempt.BackendCrashed{})
	h.assertReply(h.lastReply(), attempt.ReplyInDoubt, outcome.Unknown, outcome.CauseBackendCrashed)
	report := ownerActions[attempt.SendCrashReport](h)[0].Report
	h.c.Assert(report.Running, qt.DeepEquals, []attempt.Fingerprint{dispatch.Fingerprint()})
	h.assertReply(h.dispatch(h.keyedDispatch("k", 1)), attempt.ReplyNeverStarted, outcome.Unknown, outcome.CauseKeyInDoubt)
}

// TestSuspectRunsAlone guards against a suspect running together with other requests, and checks
// that its crash while alone ends it as quarantined.
func TestSuspectRunsAlone(t *testing.T) {
	h := newOwnerHarness(t, nil)
	plain := func(alone bool) attempt.Dispatch {
		dispatch := h.keyedDispatch("", 1)
		dispatch.RunKey, dispatch.Idempotent, dispatch.Alone = "", true, alone
		return dispatch
	}
	beside, suspect := plain(false), plain(true)
	h.dispatch(beside)
	h.assertReply(h.dispatch(suspect), attempt.ReplyQueued, outcome.Open, "")
	h.assertReply(h.dispatch(plain(false)), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseNotReady)
	h.endRun(beside.ID, served)
	h.c.Assert(ownerActions[attempt.Run](h)[0].Dispatch.ID, qt.Equals, suspect.ID)
	h.assertReply(h.dispatch(plain(false)), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseNotReady)
	h.step(attempt.BackendCrashed{})
	h.assertReply(h.lastReply(), attempt.ReplyInDoubt, outcome.Unknown, outcome.CauseQuarantined)
	h.assertReply(h.dispatch(plain(false)), attempt.ReplyStarted, outcome.Open, "")
}
