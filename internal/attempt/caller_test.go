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

// callHarness drives a CallTable and keeps the actions of its last step.
type callHarness struct {
	c       *qt.C
	caller  *attempt.CallTable
	now     time.Time
	actions []attempt.CallAction
}

func newCallHarness(t *testing.T, change func(*attempt.CallConfig)) *callHarness {
	config := attempt.DefaultCallConfig(entry)
	if change != nil {
		change(&config)
	}
	log := attempt.NewLog(start, attempt.DefaultLogConfig(entry))
	return &callHarness{c: qt.New(t), caller: attempt.NewCallTable(config, log), now: start}
}

func (h *callHarness) step(event attempt.CallEvent) []attempt.CallAction {
	h.actions = h.caller.Step(h.now, event)
	return h.actions
}

func (h *callHarness) call(request ident.Request, class template.ClassPlan) {
	h.step(attempt.CallStarted{Call: attempt.Call{
		Request: request, Customer: "c", Class: class, Deadline: h.now.Add(class.Deadline),
	}})
	single[attempt.NeedRoute](h)
}

// dispatched starts a call and routes it to the agent.
func (h *callHarness) dispatched(request ident.Request, class template.ClassPlan, agent ident.Instance) attempt.Dispatch {
	h.call(request, class)
	return h.routed(request, agent)
}

func (h *callHarness) routed(request ident.Request, agent ident.Instance) attempt.Dispatch {
	h.step(attempt.Routed{Request: request, Target: agent, Lease: 1})
	return single[attempt.SendDispatch](h).Dispatch
}

func (h *callHarness) reply(id attempt.AttemptID, agent ident.Instance, state attempt.ReplyState, result outcome.Outcome) {
	h.step(attempt.ReplyReceived{Reply: attempt.Reply{ID: id, Agent: agent, State: state, Outcome: result}})
}

// advance moves the clock forward and then sends a tick.
func (h *callHarness) advance(duration time.Duration) {
	h.now = h.now.Add(duration)
	h.step(attempt.CallTick{})
}

// single returns the only action of a type among the last actions.
func single[A attempt.CallAction](h *callHarness) A {
	h.c.Helper()
	var found []A
	for _, action := range h.actions {
		if typed, ok := action.(A); ok {
			found = append(found, typed)
		}
	}
	h.c.Assert(found, qt.HasLen, 1, qt.Commentf("%+v", h.actions))
	return found[0]
}

func (h *callHarness) assertFinished(kind outcome.Kind, cause outcome.Cause) {
	h.c.Helper()
	result := single[attempt.Finish](h).Outcome
	h.c.Assert(result.Kind, qt.Equals, kind)
	h.c.Assert(result.Cause, qt.Equals, cause)
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
		do    func(h *callHarness, d attempt.Dispatch)
		kind  outcome.Kind
		cause outcome.Cause
	}{
		{"served", redemption, func(h *callHarness, d attempt.Dispatch) {
			h.reply(d.ID, agentA, attempt.ReplyFinished, served)
		}, outcome.Served, ""},
		{"revoked at the deadline", redemption, func(h *callHarness, d attempt.Dispatch) {
			h.advance(time.Second)
			single[attempt.SendRevoke](h)
			h.reply(d.ID, agentA, attempt.ReplyNeverStarted, revoked)
		}, outcome.NotRun, outcome.CauseDeadline},
		{"no reply to the revocation is unknown", redemption, func(h *callHarness, _ attempt.Dispatch) {
			h.advance(time.Second)
			h.advance(250 * time.Millisecond)
		}, outcome.Unknown, outcome.CauseTimeout},
		{"a run that started in time may end after the deadline", redemption, func(h *callHarness, d attempt.Dispatch) {
			h.reply(d.ID, agentA, attempt.ReplyStarted, outcome.Outcome{})
			h.advance(2 * time.Second)
			h.reply(d.ID, agentA, attempt.ReplyFinished, served)
		}, outcome.Served, ""},
		{"another incarnation of the agent proves nothing", redemption, func(h *callHarness, d attempt.Dispatch) {
			h.reply(d.ID, ident.Instance{VM: "a", Incarnation: 9}, attempt.ReplyForeign, outcome.Outcome{})
		}, outcome.Unknown, outcome.CauseConnectionLost},
		{"a crash leaves a non-idempotent call unknown", redemption, func(h *callHarness, d attempt.Dispatch) {
			h.reply(d.ID, agentA, attempt.ReplyInDoubt, crashed)
		}, outcome.Unknown, outcome.CauseBackendCrashed},
		{"the caller disconnects before the start", redemption, func(h *callHarness, d attempt.Dispatch) {
			h.step(attempt.CallerDisconnected{Request: "r"})
			h.reply(d.ID, agentA, attempt.ReplyNeverStarted, revoked)
		}, outcome.NotRun, outcome.CauseCallerGone},
		{"dispatch not sent, and no other backend server", redemption, func(h *callHarness, d attempt.Dispatch) {
			h.step(attempt.DispatchUnsent{ID: d.ID})
			single[attempt.NeedRoute](h)
			h.step(attempt.NoRoute{Request: "r", Cause: outcome.CauseBackendsFull})
		}, outcome.NotRun, outcome.CauseBackendsFull},
		{"an idempotent call that may have run is not reported as not run", lookup, func(h *callHarness, d attempt.Dispatch) {
			h.reply(d.ID, agentA, attempt.ReplyInDoubt, crashed)
			h.step(attempt.NoRoute{Request: "r", Cause: outcome.CauseBackendsFull})
		}, outcome.Unknown, outcome.CauseBackendsFull},
		{"an idempotent call is run again", lookup, func(h *callHarness, d attempt.Dispatch) {
			h.reply(d.ID, agentA, attempt.ReplyInDoubt, crashed)
			c := single[attempt.NeedRoute](h)
			h.c.Assert(c.Exclude, qt.DeepEquals, []ident.VM{"a"})
			again := h.routed("r", agentB)
			h.reply(again.ID, agentB, attempt.ReplyFinished, served)
		}, outcome.Served, ""},
		{"no second run once part of the answer is delivered", lookup, func(h *callHarness, d attempt.Dispatch) {
			h.reply(d.ID, agentA, attempt.ReplyStarted, outcome.Outcome{})
			h.step(attempt.StreamProgress{ID: d.ID, Offset: 10})
			h.step(attempt.StreamBroken{ID: d.ID})
			h.c.Assert(single[attempt.ResumeStream](h).Resume.Offset, qt.Equals, int64(10))
			h.reply(d.ID, agentA, attempt.ReplyInDoubt, crashed)
		}, outcome.Unknown, outcome.CauseBackendCrashed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newCallHarness(t, nil)
			d := h.dispatched("r", tc.class, agentA)
			tc.do(h, d)
			h.assertFinished(tc.kind, tc.cause)
			h.c.Assert(h.caller.Open(), qt.Equals, 0)
		})
	}
}

// TestMismatchedRepliesAreDropped guards against a reply ending a call that it does not belong
// to: from another agent or incarnation, about another attempt or request, or after the end.
func TestMismatchedRepliesAreDropped(t *testing.T) {
	h := newCallHarness(t, nil)
	d := h.dispatched("r", lookup, agentA)
	wrong := []attempt.Reply{
		{ID: d.ID, Agent: agentB, State: attempt.ReplyFinished, Outcome: served},
		{ID: attempt.AttemptID{Entry: entry, Request: "r", Number: 2}, Agent: agentA, State: attempt.ReplyFinished, Outcome: served},
		{ID: attempt.AttemptID{Entry: entry, Request: "other", Number: 1}, Agent: agentA, State: attempt.ReplyFinished, Outcome: served},
		{ID: attempt.AttemptID{Entry: ident.Instance{VM: "entry0", Incarnation: 6}, Request: "r", Number: 1}, Agent: agentA, State: attempt.ReplyFinished, Outcome: served},
		{ID: d.ID, Agent: ident.Instance{VM: "a", Incarnation: 9}, State: attempt.ReplyFinished, Outcome: served},
	}
	for i, reply := range wrong {
		h.step(attempt.ReplyReceived{Reply: reply})
		h.c.Assert(h.actions, qt.HasLen, 0, qt.Commentf("reply %d", i))
		h.c.Assert(h.caller.Dropped(), qt.Equals, uint64(i+1))
	}
	h.reply(d.ID, agentA, attempt.ReplyFinished, served)
	h.assertFinished(outcome.Served, "")
	h.reply(d.ID, agentA, attempt.ReplyFinished, served)
	h.c.Assert(h.actions, qt.HasLen, 0)
}

// TestUnresponsiveAgentIsQueriedBeforeCallEnds guards against a lost connection ending a call
// at once: the agent is queried, and only unanswered queries make the outcome unknown.
func TestUnresponsiveAgentIsQueriedBeforeCallEnds(t *testing.T) {
	h := newCallHarness(t, nil)
	d := h.dispatched("r", template.ClassPlan{Name: "draft", Service: "s", Deadline: time.Minute}, agentA)
	h.step(attempt.ConnectionLost{Target: agentA})
	h.c.Assert(single[attempt.SendQuery](h).Query.ID, qt.Equals, d.ID)
	h.reply(d.ID, agentA, attempt.ReplyStarted, outcome.Outcome{})
	for range 3 {
		h.advance(time.Second)
		single[attempt.SendQuery](h)
	}
	h.advance(time.Second)
	h.assertFinished(outcome.Unknown, outcome.CauseConnectionLost)
}

// TestRetryBudgetGrowsWithServedCalls guards against retries beyond the customer's budget, as
// under an overload in which most calls are refused.
func TestRetryBudgetGrowsWithServedCalls(t *testing.T) {
	h := newCallHarness(t, func(config *attempt.CallConfig) {
		config.Budget.RetryBurst = 1
		config.Budget.RetryShare = 0.5
	})
	refuse := func(request ident.Request) {
		d := h.dispatched(request, lookup, agentA)
		h.reply(d.ID, agentA, attempt.ReplyNeverStarted, full)
	}
	succeed := func(request ident.Request) {
		d := h.dispatched(request, lookup, agentA)
		h.reply(d.ID, agentA, attempt.ReplyFinished, served)
	}
	refuse("r1")
	single[attempt.NeedRoute](h)
	refuse("r2")
	h.assertFinished(outcome.NotRun, outcome.CauseBackendsFull)
	succeed("r3")
	refuse("r4")
	h.assertFinished(outcome.NotRun, outcome.CauseBackendsFull)
	succeed("r5")
	refuse("r6")
	single[attempt.NeedRoute](h)
}

// TestFirstStartedAttemptOfHedgeWins guards against two answers to a hedged call: the attempt
// that did not start first is revoked, and its late answer is dropped.
func TestFirstStartedAttemptOfHedgeWins(t *testing.T) {
	h := newCallHarness(t, func(config *attempt.CallConfig) { config.HedgeAfter = 50 * time.Millisecond })
	first := h.dispatched("r", lookup, agentA)
	h.reply(first.ID, agentA, attempt.ReplyQueued, outcome.Outcome{})
	h.advance(50 * time.Millisecond)
	h.c.Assert(single[attempt.NeedRoute](h).Hedge, qt.IsTrue)
	second := h.routed("r", agentB)
	h.reply(second.ID, agentB, attempt.ReplyStarted, outcome.Outcome{})
	h.c.Assert(single[attempt.SendRevoke](h).Revoke.ID, qt.Equals, first.ID)
	h.reply(first.ID, agentA, attempt.ReplyFinished, served)
	h.c.Assert(h.actions, qt.HasLen, 0)
	h.reply(second.ID, agentB, attempt.ReplyFinished, served)
	h.c.Assert(single[attempt.Finish](h).Source, qt.Equals, second.ID)
}
