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

// ownerBench is an agent with one entry that answers its claims.
type ownerBench struct {
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

func newOwnerBench(t *testing.T, change func(*attempt.OwnerConfig)) *ownerBench {
	config := attempt.DefaultOwnerConfig(agentA)
	if change != nil {
		change(&config)
	}
	b := &ownerBench{c: qt.New(t), now: start, self: agentA, owner: attempt.NewOwner(start, config)}
	b.step(attempt.LeaseMoved{Current: 10, Start: 9, Forget: 5})
	b.step(attempt.OwnerFleetChanged{Fleet: oneEntryFleet(start.Add(-time.Minute), "a")})
	return b
}

func (b *ownerBench) step(event attempt.OwnerEvent) []attempt.OwnerAction {
	b.actions = b.owner.Step(b.now, event)
	return b.actions
}

// claimed lets the entry accept the claim; its log covers the time and holds the keys.
func (b *ownerBench) claimed(covers time.Duration, keys ...attempt.DispatchedKey) {
	b.step(attempt.ClaimAnswered{Answer: attempt.ClaimAnswer{
		Entry: entry, Claimant: b.self, Service: "s", Round: 1, Parts: 1, Covers: covers, Knows: covers, Keys: keys,
	}})
}

func (b *ownerBench) keyed(key string, body byte) attempt.Dispatch {
	b.next++
	return attempt.Dispatch{
		ID:     attempt.Attempt{Entry: entry, Request: ident.Request(fmt.Sprint("r", b.next)), Attempt: 1},
		Target: b.self, Lease: 10, FleetVersion: 1, Customer: "c", Service: "s", Class: "redemption",
		RunKey: ident.NewRunKey("c", "s", key), Body: attempt.Digest{body},
	}
}

// reply sends a dispatch and returns the agent's word.
func (b *ownerBench) reply(dispatch attempt.Dispatch) attempt.Reply {
	b.step(attempt.DispatchReceived{Dispatch: dispatch})
	return b.lastReply()
}

func (b *ownerBench) lastReply() attempt.Reply {
	b.c.Helper()
	replies := ownerActions[attempt.SendReply](b)
	b.c.Assert(replies, qt.Not(qt.HasLen), 0)
	return replies[len(replies)-1].Reply
}

func ownerActions[A attempt.OwnerAction](b *ownerBench) []A {
	var found []A
	for _, action := range b.actions {
		if typed, ok := action.(A); ok {
			found = append(found, typed)
		}
	}
	return found
}

func (b *ownerBench) end(id attempt.Attempt, result outcome.Outcome) {
	b.step(attempt.RunEnded{ID: id, Outcome: result, Answer: attempt.Answer{Length: 5}, Content: []byte("hello")})
}

func (b *ownerBench) expect(reply attempt.Reply, state attempt.ReplyState, kind outcome.Kind, cause outcome.Cause) {
	b.c.Helper()
	b.c.Assert(reply.State, qt.Equals, state)
	b.c.Assert(reply.Outcome.Kind, qt.Equals, kind)
	b.c.Assert(reply.Outcome.Cause, qt.Equals, cause)
}

func TestSecondPostingGetsTheFirstOnesAnswer(t *testing.T) {
	b := newOwnerBench(t, nil)
	b.claimed(time.Hour)
	first, second, late, conflict := b.keyed("k", 1), b.keyed("k", 1), b.keyed("k", 1), b.keyed("k", 2)
	b.expect(b.reply(first), attempt.ReplyStarted, outcome.Open, "")
	b.c.Assert(ownerActions[attempt.Run](b), qt.HasLen, 1)
	b.expect(b.reply(second), attempt.ReplyStarted, outcome.Open, "")
	b.c.Assert(ownerActions[attempt.Run](b), qt.HasLen, 0)
	b.expect(b.reply(conflict), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseKeyConflict)
	b.end(first.ID, served)
	b.c.Assert(ownerActions[attempt.SendReply](b), qt.HasLen, 2)
	b.expect(b.reply(late), attempt.ReplyFinished, outcome.Served, "")
	b.c.Assert(string(ownerActions[attempt.SendReply](b)[0].Content), qt.Equals, "hello")
}

func TestKeysOfTheEntriesLogsAreInDoubt(t *testing.T) {
	b := newOwnerBench(t, nil)
	old := ident.Instance{VM: "a", Incarnation: 0x99}
	held := b.keyed("fresh", 1)
	b.expect(b.reply(held), attempt.ReplyQueued, outcome.Open, "")
	b.claimed(time.Hour, attempt.DispatchedKey{RunKey: ident.NewRunKey("c", "s", "dispatched"), Body: attempt.Digest{1}, Target: old})
	b.expect(b.lastReply(), attempt.ReplyStarted, outcome.Open, "")
	b.expect(b.reply(b.keyed("dispatched", 1)), attempt.ReplyNeverStarted, outcome.Unknown, outcome.CauseKeyInDoubt)
	b.now = b.now.Add(retention + 2*time.Minute)
	b.step(attempt.OwnerTick{})
	b.expect(b.reply(b.keyed("dispatched", 1)), attempt.ReplyStarted, outcome.Open, "")
}

func TestLogsThatDoNotCoverLeaveAllKeysInDoubt(t *testing.T) {
	b := newOwnerBench(t, nil)
	b.claimed(time.Second)
	dispatch := b.keyed("k", 1)
	b.expect(b.reply(dispatch), attempt.ReplyQueued, outcome.Open, "")
	b.now = b.now.Add(2 * time.Second)
	b.step(attempt.OwnerTick{})
	b.expect(b.lastReply(), attempt.ReplyNeverStarted, outcome.Unknown, outcome.CauseKeyInDoubt)
	b.c.Assert(b.lastReply().Outcome.RetryAfter > retention-time.Minute, qt.IsTrue)
	reply := b.reply(b.keyed("k2", 1))
	b.expect(reply, attempt.ReplyNeverStarted, outcome.Unknown, outcome.CauseKeyInDoubt)
}

func TestDispatchesThatMustNotStart(t *testing.T) {
	change := func(do func(*attempt.Dispatch)) func(*ownerBench) attempt.Dispatch {
		return func(b *ownerBench) attempt.Dispatch {
			dispatch := b.keyed("k", 1)
			do(&dispatch)
			return dispatch
		}
	}
	cases := []struct {
		name  string
		make  func(*ownerBench) attempt.Dispatch
		state attempt.ReplyState
		kind  outcome.Kind
		cause outcome.Cause
	}{
		{"another run of the agent", change(func(d *attempt.Dispatch) { d.Target.Incarnation++ }), attempt.ReplyForeign, outcome.Open, ""},
		{"an old lease", change(func(d *attempt.Dispatch) { d.Lease = 8 }), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseStaleLease},
		{"a forgotten lease", change(func(d *attempt.Dispatch) { d.Lease = 4 }), attempt.ReplyInDoubt, outcome.Unknown, outcome.CauseStaleLease},
		{"a later fleet version", change(func(d *attempt.Dispatch) { d.FleetVersion = 2 }), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseNotReady},
		{"another run's ticket", func(b *ownerBench) attempt.Dispatch {
			b.step(attempt.TicketAsked{Request: attempt.TicketRequest{Entry: entry, Request: "t", Service: "s"}})
			dispatch := b.keyed("k", 1)
			dispatch.Ticket = &attempt.Ticket{Owner: ident.Instance{VM: "a", Incarnation: 0x99}, Number: 1}
			dispatch.RunKey = attempt.TicketKey("c", "s", *dispatch.Ticket)
			return dispatch
		}, attempt.ReplyNeverStarted, outcome.Unknown, outcome.CauseKeyInDoubt},
		{"a ticket's key without the ticket", change(func(d *attempt.Dispatch) {
			d.RunKey = attempt.TicketKey("c", "s", attempt.Ticket{Owner: agentA, Number: 1})
		}), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseBadRequest},
		{"a revoked attempt", func(b *ownerBench) attempt.Dispatch {
			dispatch := b.keyed("k", 1)
			b.step(attempt.RevokeReceived{Revoke: attempt.Revoke{ID: dispatch.ID, Target: agentA, Lease: 10}})
			b.expect(b.lastReply(), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseRevoked)
			return dispatch
		}, attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseRevoked},
		{"an attempt that a query found missing", func(b *ownerBench) attempt.Dispatch {
			dispatch := b.keyed("k", 1)
			b.step(attempt.QueryReceived{Query: attempt.Query{ID: dispatch.ID, Target: agentA, Lease: 10}})
			return dispatch
		}, attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseConnectionLost},
		{"a stopping agent", func(b *ownerBench) attempt.Dispatch {
			b.step(attempt.OwnerStop{})
			return b.keyed("k", 1)
		}, attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseLeaving},
		{"a full table", func(b *ownerBench) attempt.Dispatch {
			b.reply(b.keyed("one", 1))
			b.reply(b.keyed("two", 1))
			return b.keyed("k", 1)
		}, attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseKeysFull},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newOwnerBench(t, func(config *attempt.OwnerConfig) { config.MaxKeys = 2 })
			b.claimed(time.Hour)
			reply := b.reply(tc.make(b))
			b.expect(reply, tc.state, tc.kind, tc.cause)
			b.c.Assert(ownerActions[attempt.Run](b), qt.HasLen, 0)
		})
	}
}

func TestTicketRunsAtOnceAndOnce(t *testing.T) {
	b := newOwnerBench(t, nil)
	b.step(attempt.TicketAsked{Request: attempt.TicketRequest{Entry: entry, Request: "t", Service: "s"}})
	ticket := ownerActions[attempt.SendTicket](b)[0].Reply.Ticket
	onTicket := func() attempt.Dispatch {
		dispatch := b.keyed("", 1)
		dispatch.Ticket = &ticket
		dispatch.RunKey = attempt.TicketKey("c", "s", ticket)
		return dispatch
	}
	b.expect(b.reply(onTicket()), attempt.ReplyStarted, outcome.Open, "")
	b.c.Assert(ownerActions[attempt.Run](b), qt.HasLen, 1)
	b.reply(onTicket())
	b.c.Assert(ownerActions[attempt.Run](b), qt.HasLen, 0)
}

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

func TestKeyedSuspectWaitsUntilItIsAlone(t *testing.T) {
	b := newOwnerBench(t, nil)
	b.claimed(time.Hour)
	beside, suspect := b.keyed("k", 1), b.keyed("suspect", 1)
	suspect.Alone = true
	b.reply(beside)
	b.expect(b.reply(suspect), attempt.ReplyQueued, outcome.Open, "")
	b.expect(b.reply(b.keyed("other", 1)), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseNotReady)
	b.end(beside.ID, served)
	b.c.Assert(ownerActions[attempt.Run](b)[0].Dispatch.ID, qt.Equals, suspect.ID)
	b.expect(b.reply(b.keyed("other", 1)), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseNotReady)
	b.end(suspect.ID, served)
	b.expect(b.reply(b.keyed("other", 1)), attempt.ReplyStarted, outcome.Open, "")
}

func TestSuspectThatIsAnsweredElsewhereFreesTheAgent(t *testing.T) {
	b := newOwnerBench(t, nil)
	b.claimed(time.Hour)
	beside, suspect := b.keyed("k", 1), b.keyed("suspect", 1)
	suspect.Alone = true
	b.reply(beside)
	b.reply(suspect)
	b.step(attempt.HandOverReceived{HandOver: attempt.HandOver{
		From: agentB, To: "a", Service: "s", FleetVersion: 1, Keys: []attempt.KeyTransfer{{
			RunKey: suspect.RunKey, Body: suspect.Body, Status: attempt.KeyServed, Outcome: served, ExpiresIn: time.Hour,
		}},
	}})
	b.expect(b.reply(suspect), attempt.ReplyFinished, outcome.Served, "")
	b.expect(b.reply(b.keyed("other", 1)), attempt.ReplyStarted, outcome.Open, "")
}

func TestPartsOfDifferentAnswersDoNotBelongTogether(t *testing.T) {
	b := newOwnerBench(t, nil)
	held := b.keyed("k", 1)
	b.reply(held)
	part := func(serial uint64, part int) {
		b.step(attempt.ClaimAnswered{Answer: attempt.ClaimAnswer{
			Entry: entry, Claimant: b.self, Service: "s", Round: 1, Part: part, Parts: 2, Serial: serial, Covers: time.Hour,
		}})
	}
	part(1, 0)
	part(2, 1)
	b.c.Assert(ownerActions[attempt.Run](b), qt.HasLen, 0)
	part(2, 0)
	b.c.Assert(ownerActions[attempt.Run](b), qt.HasLen, 1)
}

func TestHandOverComesInParts(t *testing.T) {
	b := newOwnerBench(t, func(config *attempt.OwnerConfig) { config.KeysPerPart = 2 })
	b.claimed(time.Hour)
	for i := range 5 {
		dispatch := b.keyed(fmt.Sprint("k", i), 1)
		b.reply(dispatch)
		b.end(dispatch.ID, served)
	}
	next := oneEntryFleet(start.Add(-time.Minute), "b")
	next.Version = 2
	b.step(attempt.OwnerFleetChanged{Fleet: next})
	b.step(attempt.ReleaseAsked{Request: attempt.ReleaseRequest{Asker: agentB, Service: "s", FleetVersion: 2, Round: 1}})
	parts := ownerActions[attempt.SendHandOver](b)
	b.c.Assert(parts, qt.HasLen, 3)
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
	b.c.Assert(acks, qt.Equals, 1)
	for i := range 5 {
		question := attempt.KeyQuestion{RunKey: ident.NewRunKey("c", "s", fmt.Sprint("k", i))}
		actions := receiver.Step(start, attempt.KeyAsked{Question: question})
		b.c.Assert(actions[len(actions)-1].(attempt.SendKeyAnswer).Answer.Status, qt.Equals, attempt.KeyServed)
	}
}

func TestBackendCrashLeavesKeysInDoubt(t *testing.T) {
	b := newOwnerBench(t, nil)
	b.claimed(time.Hour)
	dispatch := b.keyed("k", 1)
	b.reply(dispatch)
	b.step(attempt.BackendDied{})
	b.expect(b.lastReply(), attempt.ReplyInDoubt, outcome.Unknown, outcome.CauseBackendCrashed)
	report := ownerActions[attempt.SendCrashReport](b)[0].Report
	b.c.Assert(report.Running, qt.DeepEquals, []attempt.Fingerprint{dispatch.Fingerprint()})
	b.expect(b.reply(b.keyed("k", 1)), attempt.ReplyNeverStarted, outcome.Unknown, outcome.CauseKeyInDoubt)
}

func TestSuspectRunsAlone(t *testing.T) {
	b := newOwnerBench(t, nil)
	plain := func(alone bool) attempt.Dispatch {
		dispatch := b.keyed("", 1)
		dispatch.RunKey, dispatch.Idempotent, dispatch.Alone = "", true, alone
		return dispatch
	}
	beside, suspect := plain(false), plain(true)
	b.reply(beside)
	b.expect(b.reply(suspect), attempt.ReplyQueued, outcome.Open, "")
	b.expect(b.reply(plain(false)), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseNotReady)
	b.end(beside.ID, served)
	b.c.Assert(ownerActions[attempt.Run](b)[0].Dispatch.ID, qt.Equals, suspect.ID)
	b.expect(b.reply(plain(false)), attempt.ReplyNeverStarted, outcome.NotRun, outcome.CauseNotReady)
	b.step(attempt.BackendDied{})
	b.expect(b.lastReply(), attempt.ReplyInDoubt, outcome.Unknown, outcome.CauseQuarantined)
	b.expect(b.reply(plain(false)), attempt.ReplyStarted, outcome.Open, "")
}
