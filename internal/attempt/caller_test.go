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
	start  = time.Unix(1_700_000_000, 0)
	entry  = ident.Instance{VM: "entry0", Incarnation: 7}
	agentA = ident.Instance{VM: "a", Incarnation: 1}
	agentB = ident.Instance{VM: "b", Incarnation: 2}
	lookup = template.ClassPlan{Name: "lookup", Service: "s", Idempotent: true, Deadline: time.Second}
	cash   = template.ClassPlan{Name: "redemption", Service: "s", Deadline: time.Second}
)

// callerBench drives a Caller and keeps its last actions.
type callerBench struct {
	c       *qt.C
	caller  *attempt.Caller
	now     time.Time
	actions []attempt.CallerAction
}

func newCallerBench(t *testing.T, change func(*attempt.CallerConfig)) *callerBench {
	config := attempt.DefaultCallerConfig(entry)
	if change != nil {
		change(&config)
	}
	log := attempt.NewLog(start, attempt.DefaultLogConfig(entry))
	return &callerBench{c: qt.New(t), caller: attempt.NewCaller(config, log), now: start}
}

func (b *callerBench) step(event attempt.CallerEvent) []attempt.CallerAction {
	b.actions = b.caller.Step(b.now, event)
	return b.actions
}

func (b *callerBench) call(request ident.Request, class template.ClassPlan) {
	b.step(attempt.CallStarted{Call: attempt.Call{
		Request: request, Customer: "c", Class: class, Deadline: b.now.Add(class.Deadline),
	}})
	only[attempt.NeedRoute](b)
}

// dispatched starts a call and routes it to the agent.
func (b *callerBench) dispatched(request ident.Request, class template.ClassPlan, agent ident.Instance) attempt.Dispatch {
	b.call(request, class)
	return b.routed(request, agent)
}

func (b *callerBench) routed(request ident.Request, agent ident.Instance) attempt.Dispatch {
	b.step(attempt.Routed{Request: request, Target: agent, Lease: 1})
	return only[attempt.SendDispatch](b).Dispatch
}

func (b *callerBench) reply(id attempt.Attempt, agent ident.Instance, state attempt.ReplyState, result outcome.Outcome) {
	b.step(attempt.ReplyReceived{Reply: attempt.Reply{ID: id, Agent: agent, State: state, Outcome: result}})
}

// pass lets time pass with a tick at its end.
func (b *callerBench) pass(duration time.Duration) {
	b.now = b.now.Add(duration)
	b.step(attempt.CallerTick{})
}

// only returns the single action of a type among the last actions.
func only[A attempt.CallerAction](b *callerBench) A {
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

func (b *callerBench) finished(kind outcome.Kind, cause outcome.Cause) {
	b.c.Helper()
	result := only[attempt.Finish](b).Outcome
	b.c.Assert(result.Kind, qt.Equals, kind)
	b.c.Assert(result.Cause, qt.Equals, cause)
}

var (
	served  = outcome.Outcome{Kind: outcome.Served}
	revoked = outcome.Refused(outcome.CauseRevoked)
	full    = outcome.Refused(outcome.CauseBackendsFull)
	crashed = outcome.InDoubt(outcome.CauseBackendCrashed, "")
)

func TestCallOutcomes(t *testing.T) {
	cases := []struct {
		name  string
		class template.ClassPlan
		do    func(b *callerBench, d attempt.Dispatch)
		kind  outcome.Kind
		cause outcome.Cause
	}{
		{"served", cash, func(b *callerBench, d attempt.Dispatch) {
			b.reply(d.ID, agentA, attempt.ReplyFinished, served)
		}, outcome.Served, ""},
		{"the agent's word makes a late call not run", cash, func(b *callerBench, d attempt.Dispatch) {
			b.pass(time.Second)
			only[attempt.SendRevoke](b)
			b.reply(d.ID, agentA, attempt.ReplyNeverStarted, revoked)
		}, outcome.NotRun, outcome.CauseDeadline},
		{"no word after the deadline is unknown", cash, func(b *callerBench, _ attempt.Dispatch) {
			b.pass(time.Second)
			b.pass(250 * time.Millisecond)
		}, outcome.Unknown, outcome.CauseTimeout},
		{"a run that started in time may end after the deadline", cash, func(b *callerBench, d attempt.Dispatch) {
			b.reply(d.ID, agentA, attempt.ReplyStarted, outcome.Outcome{})
			b.pass(2 * time.Second)
			b.reply(d.ID, agentA, attempt.ReplyFinished, served)
		}, outcome.Served, ""},
		{"another run of the agent proves nothing", cash, func(b *callerBench, d attempt.Dispatch) {
			b.reply(d.ID, ident.Instance{VM: "a", Incarnation: 9}, attempt.ReplyForeign, outcome.Outcome{})
		}, outcome.Unknown, outcome.CauseConnectionLost},
		{"a crash leaves a non-idempotent call unknown", cash, func(b *callerBench, d attempt.Dispatch) {
			b.reply(d.ID, agentA, attempt.ReplyInDoubt, crashed)
		}, outcome.Unknown, outcome.CauseBackendCrashed},
		{"a caller that goes before the start", cash, func(b *callerBench, d attempt.Dispatch) {
			b.step(attempt.CallerGone{Request: "r"})
			b.reply(d.ID, agentA, attempt.ReplyNeverStarted, revoked)
		}, outcome.NotRun, outcome.CauseCallerGone},
		{"a dispatch that was not sent, and no other back end", cash, func(b *callerBench, d attempt.Dispatch) {
			b.step(attempt.DispatchUnsent{ID: d.ID})
			only[attempt.NeedRoute](b)
			b.step(attempt.NoRoute{Request: "r", Cause: outcome.CauseBackendsFull})
		}, outcome.NotRun, outcome.CauseBackendsFull},
		{"an idempotent call that may have run is not called not run", lookup, func(b *callerBench, d attempt.Dispatch) {
			b.reply(d.ID, agentA, attempt.ReplyInDoubt, crashed)
			b.step(attempt.NoRoute{Request: "r", Cause: outcome.CauseBackendsFull})
		}, outcome.Unknown, outcome.CauseBackendsFull},
		{"an idempotent call is run again", lookup, func(b *callerBench, d attempt.Dispatch) {
			b.reply(d.ID, agentA, attempt.ReplyInDoubt, crashed)
			c := only[attempt.NeedRoute](b)
			b.c.Assert(c.Exclude, qt.DeepEquals, []ident.VM{"a"})
			again := b.routed("r", agentB)
			b.reply(again.ID, agentB, attempt.ReplyFinished, served)
		}, outcome.Served, ""},
		{"part of the answer forbids another run", lookup, func(b *callerBench, d attempt.Dispatch) {
			b.reply(d.ID, agentA, attempt.ReplyStarted, outcome.Outcome{})
			b.step(attempt.StreamProgress{ID: d.ID, Offset: 10})
			b.step(attempt.StreamBroken{ID: d.ID})
			b.c.Assert(only[attempt.ResumeStream](b).Resume.Offset, qt.Equals, int64(10))
			b.reply(d.ID, agentA, attempt.ReplyInDoubt, crashed)
		}, outcome.Unknown, outcome.CauseBackendCrashed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newCallerBench(t, nil)
			d := b.dispatched("r", tc.class, agentA)
			tc.do(b, d)
			b.finished(tc.kind, tc.cause)
			b.c.Assert(b.caller.Open(), qt.Equals, 0)
		})
	}
}

func TestCrossedAndLateRepliesAreDropped(t *testing.T) {
	b := newCallerBench(t, nil)
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
	b.finished(outcome.Served, "")
	b.reply(d.ID, agentA, attempt.ReplyFinished, served)
	b.c.Assert(b.actions, qt.HasLen, 0)
}

func TestSilenceIsAskedAboutBeforeItIsJudged(t *testing.T) {
	b := newCallerBench(t, nil)
	d := b.dispatched("r", template.ClassPlan{Name: "draft", Service: "s", Deadline: time.Minute}, agentA)
	b.step(attempt.ConnectionLost{Target: agentA})
	b.c.Assert(only[attempt.SendQuery](b).Query.ID, qt.Equals, d.ID)
	b.reply(d.ID, agentA, attempt.ReplyStarted, outcome.Outcome{})
	for range 3 {
		b.pass(time.Second)
		only[attempt.SendQuery](b)
	}
	b.pass(time.Second)
	b.finished(outcome.Unknown, outcome.CauseConnectionLost)
}

func TestRetriesAreAShareOfSuccesses(t *testing.T) {
	b := newCallerBench(t, func(config *attempt.CallerConfig) {
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
	only[attempt.NeedRoute](b)
	refuse("r2")
	b.finished(outcome.NotRun, outcome.CauseBackendsFull)
	succeed("r3")
	refuse("r4")
	b.finished(outcome.NotRun, outcome.CauseBackendsFull)
	succeed("r5")
	refuse("r6")
	only[attempt.NeedRoute](b)
}

func TestHedgedRequestTakesTheFirstStart(t *testing.T) {
	b := newCallerBench(t, func(config *attempt.CallerConfig) { config.HedgeAfter = 50 * time.Millisecond })
	first := b.dispatched("r", lookup, agentA)
	b.reply(first.ID, agentA, attempt.ReplyQueued, outcome.Outcome{})
	b.pass(50 * time.Millisecond)
	b.c.Assert(only[attempt.NeedRoute](b).Hedge, qt.IsTrue)
	second := b.routed("r", agentB)
	b.reply(second.ID, agentB, attempt.ReplyStarted, outcome.Outcome{})
	b.c.Assert(only[attempt.SendRevoke](b).Revoke.ID, qt.Equals, first.ID)
	b.reply(first.ID, agentA, attempt.ReplyFinished, served)
	b.c.Assert(b.actions, qt.HasLen, 0)
	b.reply(second.ID, agentB, attempt.ReplyFinished, served)
	b.c.Assert(only[attempt.Finish](b).Source, qt.Equals, second.ID)
}
