package attempt_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

var (
	start      = time.Unix(1_700_000_000, 0)
	entry      = ident.Instance{VM: "entry0", Incarnation: 7}
	agentA     = ident.Instance{VM: "a", Incarnation: 1}
	agentB     = ident.Instance{VM: "b", Incarnation: 2}
	lookup     = template.ClassPlan{Name: "lookup", Service: "s", Idempotent: true, Deadline: time.Second}
	redemption = template.ClassPlan{Name: "redemption", Service: "s", Deadline: time.Second}
)

// callerHarness drives a Caller and keeps the actions of its last step.
type callerHarness struct {
	c       *qt.C
	caller  *attempt.Caller
	now     time.Time
	actions []attempt.CallerAction
}

func newCallerHarness(t *testing.T, change func(*attempt.CallerConfig)) *callerHarness {
	config := attempt.DefaultCallerConfig(entry)
	if change != nil {
		change(&config)
	}
	log := attempt.NewLog(start, attempt.DefaultLogConfig(entry))
	return &callerHarness{c: qt.New(t), caller: attempt.NewCaller(config, log), now: start}
}

func (b *callerHarness) step(event attempt.CallerEvent) []attempt.CallerAction {
	b.actions = b.caller.Step(b.now, event)
	return b.actions
}

func (b *callerHarness) call(request ident.Request, class template.ClassPlan) {
	b.step(attempt.CallStarted{Call: attempt.Call{
		Request: request, Customer: "c", Class: class, Deadline: b.now.Add(class.Deadline),
	}})
	single[attempt.NeedRoute](b)
}

// dispatched starts a call and routes it to the agent.
func (b *callerHarness) dispatched(request ident.Request, class template.ClassPlan, agent ident.Instance) attempt.Dispatch {
	b.call(request, class)
	return b.routed(request, agent)
}

func (b *callerHarness) routed(request ident.Request, agent ident.Instance) attempt.Dispatch {
	b.step(attempt.Routed{Request: request, Target: agent, Lease: 1})
	return single[attempt.SendDispatch](b).Dispatch
}

func (b *callerHarness) reply(id attempt.Attempt, agent ident.Instance, state attempt.ReplyState, result outcome.Outcome) {
	b.step(attempt.ReplyReceived{Reply: attempt.Reply{ID: id, Agent: agent, State: state, Outcome: result}})
}

// advance moves the clock forward and then sends a tick.
func (b *callerHarness) advance(duration time.Duration) {
	b.now = b.now.Add(duration)
	b.step(attempt.CallerTick{})
}

// single returns the only action of a type among the last actions.
func single[A attempt.CallerAction](b *callerHarness) A {
	b.c.Helper()
	var found []A
	for _, action := range b.actions {
		if typed, ok := action.(A); ok {
			found = append(found, typed)
		}
	}
	b.c.Assert(found, qt.HasLen, 1, qt.Commentf("%+v", b.actions))
	return found[0]
}

func (b *callerHarness) assertFinished(kind outcome.Kind, cause outcome.Cause) {
	b.c.Helper()
	result := single[attempt.Finish](b).Outcome
	b.c.Assert(result.Kind, qt.Equals, kind)
	b.c.Assert(result.Cause, qt.Equals, cause)
}

var (
	served  = outcome.Outcome{Kind: outcome.Served}
	revoked = outcome.Refused(outcome.CauseRevoked)
	full    = outcome.Refused(outcome.CauseBackendsFull)
	crashed = outcome.InDoubt(outcome.CauseBackendCrashed, "")
)

// TestCallOutcomes guards against a call that may have run being reported as not run, and
// against a second run of a request that must not run again.
func TestCallOutcomes(t *testing.T) {
	cases := []struct {
		name  string
		class template.ClassPlan
		do    func(b *callerHarness, d attempt.Dispatch)
		kind  outcome.Kind
		cause outcome.Cause
	}{
		{"served", redemption, func(b *callerHarness, d attempt.Dispatch) {
			b.reply(d.ID, agentA, attempt.ReplyFinished, served)
		}, outcome.Served, ""},
		{"revoked at the deadline", redemption, func(b *callerHarness, d attempt.Dispatch) {
			b.advance(time.Second)
			single[attempt.SendRevoke](b)
			b.reply(d.ID, agentA, attempt.ReplyNeverStarted, revoked)
		}, outcome.NotRun, outcome.CauseDeadline},
		{"no reply to the revocation is unknown", redemption, func(b *callerHarness, _ attempt.Dispatch) {
			b.advance(time.Second)
			b.advance(250 * time.Millisecond)
		}, outcome.Unknown, outcome.CauseTimeout},
		{"a run that started in time may end after the deadline", redemption, func(b *callerHarness, d attempt.Dispatch) {
			b.reply(d.ID, agentA, attempt.ReplyStarted, outcome.Outcome{})
			b.advance(2 * time.Second)
			b.reply(d.ID, agentA, attempt.ReplyFinished, served)
		}, outcome.Served, ""},
		{"another incarnation of the agent proves nothing", redemption, func(b *callerHarness, d attempt.Dispatch) {
			b.reply(d.ID, ident.Instance{VM: "a", Incarnation: 9}, attempt.ReplyForeign, outcome.Outcome{})
		}, outcome.Unknown, outcome.CauseConnectionLost},
		{"a crash leaves a non-idempotent call unknown", redemption, func(b *callerHarness, d attempt.Dispatch) {
			b.reply(d.ID, agentA, attempt.ReplyInDoubt, crashed)
		}, outcome.Unknown, outcome.CauseBackendCrashed},
		{"the caller disconnects before the start", redemption, func(b *callerHarness, d attempt.Dispatch) {
			b.step(attempt.CallerDisconnected{Request: "r"})
			b.reply(d.ID, agentA, attempt.ReplyNeverStarted, revoked)
		}, outcome.NotRun, outcome.CauseCallerGone},
		{"dispatch not sent, and no other backend server", redemption, func(b *callerHarness, d attempt.Dispatch) {
			b.step(attempt.DispatchUnsent{ID: d.ID})
			single[attempt.NeedRoute](b)
			b.step(attempt.NoRoute{Request: "r", Cause: outcome.CauseBackendsFull})
		}, outcome.NotRun, outcome.CauseBackendsFull},
		{"an idempotent call that may have run is not reported as not run", lookup, func(b *callerHarness, d attempt.Dispatch) {
			b.reply(d.ID, agentA, attempt.ReplyInDoubt, crashed)
			b.step(attempt.NoRoute{Request: "r", Cause: outcome.CauseBackendsFull})
		}, outcome.Unknown, outcome.CauseBackendsFull},
		{"an idempotent call is run again", lookup, func(b *callerHarness, d attempt.Dispatch) {
			b.reply(d.ID, agentA, attempt.ReplyInDoubt, crashed)
			c := single[attempt.NeedRoute](b)
			b.c.Assert(c.Exclude, qt.DeepEquals, []ident.VM{"a"})
			again := b.routed("r", agentB)
			b.reply(again.ID, agentB, attempt.ReplyFinished, served)
		}, outcome.Served, ""},
		{"no second run once part of the answer is delivered", lookup, func(b *callerHarness, d attempt.Dispatch) {
			b.reply(d.ID, agentA, attempt.ReplyStarted, outcome.Outcome{})
			b.step(attempt.StreamProgress{ID: d.ID, Offset: 10})
			b.step(attempt.StreamBroken{ID: d.ID})
			b.c.Assert(single[attempt.ResumeStream](b).Resume.Offset, qt.Equals, int64(10))
			b.reply(d.ID, agentA, attempt.ReplyInDoubt, crashed)
		}, outcome.Unknown, outcome.CauseBackendCrashed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newCallerHarness(t, nil)
			d := b.dispatched("r", tc.class, agentA)
			tc.do(b, d)
			b.assertFinished(tc.kind, tc.cause)
			b.c.Assert(b.caller.Open(), qt.Equals, 0)
		})
	}
}

// TestMismatchedRepliesAreDropped guards against a reply ending a call that it does not belong
// to: from another agent or incarnation, about another attempt or request, or after the end.
func TestMismatchedRepliesAreDropped(t *testing.T) {
	b := newCallerHarness(t, nil)
	d := b.dispatched("r", lookup, agentA)
	wrong := []attempt.Reply{
		{ID: d.ID, Agent: agentB, State: attempt.ReplyFinished, Outcome: served},
		{ID: attempt.Attempt{Entry: entry, Request: "r", Attempt: 2}, Agent: agentA, State: attempt.ReplyFinished, Outcome: served},
		{ID: attempt.Attempt{Entry: entry, Request: "other", Attempt: 1}, Agent: agentA, State: attempt.ReplyFinished, Outcome: served},
		{ID: attempt.Attempt{Entry: ident.Instance{VM: "entry0", Incarnation: 6}, Request: "r", Attempt: 1}, Agent: agentA, State: attempt.ReplyFinished, Outcome: served},
		{ID: d.ID, Agent: ident.Instance{VM: "a", Incarnation: 9}, State: attempt.ReplyFinished, Outcome: served},
	}
	for i, reply := range wrong {
		b.step(attempt.ReplyReceived{Reply: reply})
		b.c.Assert(b.actions, qt.HasLen, 0, qt.Commentf("reply %d", i))
		b.c.Assert(b.caller.Dropped(), qt.Equals, uint64(i+1))
	}
	b.reply(d.ID, agentA, attempt.ReplyFinished, served)
	b.assertFinished(outcome.Served, "")
	b.reply(d.ID, agentA, attempt.ReplyFinished, served)
	b.c.Assert(b.actions, qt.HasLen, 0)
}

// TestUnresponsiveAgentIsQueriedBeforeCallEnds guards against a lost connection ending a call
// at once: the agent is queried, and only unanswered queries make the outcome unknown.
func TestUnresponsiveAgentIsQueriedBeforeCallEnds(t *testing.T) {
	b := newCallerHarness(t, nil)
	d := b.dispatched("r", template.ClassPlan{Name: "draft", Service: "s", Deadline: time.Minute}, agentA)
	b.step(attempt.ConnectionLost{Target: agentA})
	b.c.Assert(single[attempt.SendQuery](b).Query.ID, qt.Equals, d.ID)
	b.reply(d.ID, agentA, attempt.ReplyStarted, outcome.Outcome{})
	for range 3 {
		b.advance(time.Second)
		single[attempt.SendQuery](b)
	}
	b.advance(time.Second)
	b.assertFinished(outcome.Unknown, outcome.CauseConnectionLost)
}

// TestRetryBudgetGrowsWithServedCalls guards against retries beyond the customer's budget, as
// under an overload in which most calls are refused.
func TestRetryBudgetGrowsWithServedCalls(t *testing.T) {
	b := newCallerHarness(t, func(config *attempt.CallerConfig) {
		config.Budget.RetryBurst = 1
		config.Budget.RetryShare = 0.5
	})
	refuse := func(request ident.Request) {
		d := b.dispatched(request, lookup, agentA)
		b.reply(d.ID, agentA, attempt.ReplyNeverStarted, full)
	}
	succeed := func(request ident.Request) {
		d := b.dispatched(request, lookup, agentA)
		b.reply(d.ID, agentA, attempt.ReplyFinished, served)
	}
	refuse("r1")
	single[attempt.NeedRoute](b)
	refuse("r2")
	b.assertFinished(outcome.NotRun, outcome.CauseBackendsFull)
	succeed("r3")
	refuse("r4")
	b.assertFinished(outcome.NotRun, outcome.CauseBackendsFull)
	succeed("r5")
	refuse("r6")
	single[attempt.NeedRoute](b)
}

// TestFirstStartedAttemptOfHedgeWins guards against two answers to a hedged call: the attempt
// that did not start first is revoked, and its late answer is dropped.
func TestFirstStartedAttemptOfHedgeWins(t *testing.T) {
	b := newCallerHarness(t, func(config *attempt.CallerConfig) { config.HedgeAfter = 50 * time.Millisecond })
	first := b.dispatched("r", lookup, agentA)
	b.reply(first.ID, agentA, attempt.ReplyQueued, outcome.Outcome{})
	b.advance(50 * time.Millisecond)
	b.c.Assert(single[attempt.NeedRoute](b).Hedge, qt.IsTrue)
	second := b.routed("r", agentB)
	b.reply(second.ID, agentB, attempt.ReplyStarted, outcome.Outcome{})
	b.c.Assert(single[attempt.SendRevoke](b).Revoke.ID, qt.Equals, first.ID)
	b.reply(first.ID, agentA, attempt.ReplyFinished, served)
	b.c.Assert(b.actions, qt.HasLen, 0)
	b.reply(second.ID, agentB, attempt.ReplyFinished, served)
	b.c.Assert(single[attempt.Finish](b).Source, qt.Equals, second.ID)
}
