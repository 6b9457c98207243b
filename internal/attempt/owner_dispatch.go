package attempt

import (
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// retryElsewhereAfter is the time after which a refused caller may ask again, for causes
// that end as soon as an agent or entry has caught up.
const retryElsewhereAfter = time.Second

func (o *Owner) receive(now time.Time, dispatch Dispatch) {
	id := dispatch.ID
	if dispatch.Target != o.config.Self {
		o.replyForeign(id)
		return
	}
	if held := o.attempts[id]; held != nil {
		o.reply(id, held)
		return
	}
	if dispatch.Lease < o.lease.Forget {
		o.replyForgotten(id, dispatch.RunKey)
		return
	}
	held := &heldAttempt{dispatch: dispatch, lease: dispatch.Lease, deadline: o.holdUntil(now, dispatch)}
	o.remember(id, held)
	if refused := o.refusal(now, dispatch); refused.Kind != outcome.Open {
		o.settle(id, held, ReplyNeverStarted, refused)
		return
	}
	if dispatch.RunKey != "" {
		o.receiveKeyed(now, held)
		return
	}
	o.startOrWait(now, held)
}

// holdUntil returns until when the attempt may wait for its start.
func (o *Owner) holdUntil(now time.Time, dispatch Dispatch) time.Time {
	wait := o.config.HoldLimit
	if dispatch.TimeLeft > 0 && dispatch.TimeLeft < wait {
		wait = dispatch.TimeLeft
	}
	return now.Add(wait)
}

// refusal returns the outcome for a dispatch that cannot be started now, or an open outcome.
func (o *Owner) refusal(now time.Time, dispatch Dispatch) outcome.Outcome {
	refused := outcome.Refused(outcome.CauseNone)
	refused.RetryAfter = retryElsewhereAfter
	switch {
	case o.stopping:
		refused.Cause = outcome.CauseLeaving
	case dispatch.Lease < o.lease.Start:
		refused.Cause = outcome.CauseStaleLease
	case o.alone != nil:
		// The entry learns by this that the backend server is taken for a while; it is no
		// sign of overload, and costs no retry.
		refused.Cause = outcome.CauseNotReady
		refused.Detail = "the backend server runs a suspect alone"
	case dispatch.RunKey != "" && dispatch.FleetVersion > o.fleet.Version:
		refused.Cause = outcome.CauseNotReady
		o.act(OwnerNeedsFleet{dispatch.FleetVersion})
	default:
		return outcome.Outcome{}
	}
	if dispatch.RunKey != "" && refused.Cause != outcome.CauseNotReady {
		return o.keyedRefusal(now, dispatch, refused)
	}
	return refused
}

// startOrWait starts an attempt, or lets a suspect wait until nothing else runs.
func (o *Owner) startOrWait(now time.Time, held *heldAttempt) {
	if !held.dispatch.Alone {
		o.start(held)
		return
	}
	id := held.dispatch.ID
	o.alone = &id
	if o.running == 0 {
		o.start(held)
		return
	}
	held.waits = true
	held.deadline = o.holdUntil(now, held.dispatch)
	held.state = ReplyQueued
	o.reply(id, held)
}

func (o *Owner) start(held *heldAttempt) {
	held.waits = false
	held.state = ReplyStarted
	o.running++
	o.act(Run{held.dispatch})
	o.reply(held.dispatch.ID, held)
}

// settle ends an attempt and sends the agent's last word on it.
func (o *Owner) settle(id Attempt, held *heldAttempt, state ReplyState, result outcome.Outcome) {
	o.endAlone(id)
	held.state = state
	held.outcome = result
	o.reply(id, held)
}

func (o *Owner) reply(id Attempt, held *heldAttempt) {
	reply := Reply{
		ID: id, Agent: o.config.Self, State: held.state, Outcome: held.outcome, Answer: held.answer,
		Suspect: held.state == ReplyInDoubt && held.outcome.Cause == outcome.CauseBackendCrashed,
		Lease:   o.lease.Current, FleetVersion: o.fleet.Version,
	}
	o.act(SendReply{Reply: reply, Source: held.source, Content: held.content})
}

func (o *Owner) replyForeign(id Attempt) {
	o.act(SendReply{Reply: Reply{
		ID: id, Agent: o.config.Self, State: ReplyForeign, Lease: o.lease.Current, FleetVersion: o.fleet.Version,
	}})
}

// replyForgotten answers for an attempt so old that its record may have been dropped.
func (o *Owner) replyForgotten(id Attempt, key ident.RunKey) {
	o.act(SendReply{Reply: Reply{
		ID: id, Agent: o.config.Self, State: ReplyInDoubt, Outcome: outcome.InDoubt(outcome.CauseStaleLease, key),
		Lease: o.lease.Current, FleetVersion: o.fleet.Version,
	}})
}

// revoke makes sure that an attempt that did not start never will.
func (o *Owner) revoke(now time.Time, revoke Revoke) {
	held := o.attempts[revoke.ID]
	switch {
	case revoke.Target != o.config.Self:
		o.replyForeign(revoke.ID)
		return
	case held == nil && revoke.Lease < o.lease.Forget:
		o.replyForgotten(revoke.ID, "")
		return
	case held == nil:
		held = &heldAttempt{lease: revoke.Lease}
		o.remember(revoke.ID, held)
		o.settle(revoke.ID, held, ReplyNeverStarted, outcome.Refused(outcome.CauseRevoked))
		return
	case held.state == ReplyQueued:
		o.revokeQueued(now, held)
		return
	}
	o.reply(revoke.ID, held)
}

func (o *Owner) revokeQueued(now time.Time, held *heldAttempt) {
	id := held.dispatch.ID
	held.waits = false
	o.endAlone(id)
	if held.dispatch.RunKey != "" {
		o.detach(now, held)
	}
	o.settle(id, held, ReplyNeverStarted, outcome.Refused(outcome.CauseRevoked))
}

func (o *Owner) query(query Query) {
	held := o.attempts[query.ID]
	switch {
	case query.Target != o.config.Self:
		o.replyForeign(query.ID)
	case held != nil:
		o.reply(query.ID, held)
	case query.Lease < o.lease.Forget:
		o.replyForgotten(query.ID, "")
	default:
		// The dispatch may still be on its way: only a tombstone makes the answer final.
		held = &heldAttempt{lease: query.Lease}
		o.remember(query.ID, held)
		o.settle(query.ID, held, ReplyNeverStarted, outcome.Refused(outcome.CauseConnectionLost))
	}
}

func (o *Owner) cancel(cancel Cancel) {
	held := o.attempts[cancel.ID]
	if held == nil || cancel.Target != o.config.Self || held.state != ReplyStarted || !held.dispatch.Idempotent {
		return
	}
	o.act(CancelRun{cancel.ID})
}

func (o *Owner) endRun(now time.Time, end RunEnded) {
	held := o.attempts[end.ID]
	if held == nil || held.state != ReplyStarted || held.source != (Attempt{}) {
		return
	}
	o.noteEnded(end.ID)
	if held.dispatch.RunKey != "" {
		o.endKeyed(now, held, end)
		return
	}
	switch end.Outcome.Kind {
	case outcome.Served:
		held.answer = end.Answer
		held.source = end.ID
		o.settle(end.ID, held, ReplyFinished, end.Outcome)
	case outcome.NotRun:
		o.settle(end.ID, held, ReplyNeverStarted, end.Outcome)
	case outcome.Open, outcome.Unknown:
		o.settle(end.ID, held, ReplyInDoubt, end.Outcome)
	}
}

func (o *Owner) noteEnded(id Attempt) {
	o.running--
	o.endAlone(id)
}

// loseRuns ends all runs of a backend server that died, and reports the suspects.
func (o *Owner) loseRuns(now time.Time) {
	runs := o.runsInOrder()
	o.reportCrash(runs)
	for _, id := range runs {
		held := o.attempts[id]
		o.noteEnded(id)
		result := outcome.InDoubt(outcome.CauseBackendCrashed, held.dispatch.RunKey)
		if held.dispatch.Alone && o.group() == "" {
			result.Cause = outcome.CauseQuarantined
		}
		if held.dispatch.RunKey != "" {
			o.endKeyed(now, held, RunEnded{ID: id, Outcome: result})
			continue
		}
		o.settle(id, held, ReplyInDoubt, result)
	}
}

// reportCrash goes before the replies, so that entries know the suspects when they retry.
func (o *Owner) reportCrash(runs []Attempt) {
	o.crashes++
	report := CrashReport{Agent: o.config.Self, Crash: o.crashes, Group: o.group()}
	for _, id := range runs {
		report.Running = append(report.Running, o.attempts[id].dispatch.Fingerprint())
		report.Alone = len(runs) == 1 && o.attempts[id].dispatch.Alone
	}
	o.act(SendCrashReport{report})
}

// group returns the model group of the backend server; "" if it is in none.
func (o *Owner) group() ident.Group {
	_, backend := o.fleet.Backend(o.config.Self.VM)
	if backend == nil {
		return ""
	}
	return backend.Group
}

// runsInOrder returns the attempts that run on the backend server, in a fixed order.
func (o *Owner) runsInOrder() []Attempt {
	var ids []Attempt
	for id, held := range o.attempts {
		if held.state == ReplyStarted && held.source == (Attempt{}) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].less(ids[j]) })
	return ids
}

func (a Attempt) less(b Attempt) bool {
	if a.Entry != b.Entry {
		return a.Entry.VM < b.Entry.VM || (a.Entry.VM == b.Entry.VM && a.Entry.Incarnation < b.Entry.Incarnation)
	}
	if a.Request != b.Request {
		return a.Request < b.Request
	}
	return a.Attempt < b.Attempt
}

func (o *Owner) moveLease(lease LeaseMoved) {
	o.lease.Current = max(o.lease.Current, lease.Current)
	o.lease.Start = max(o.lease.Start, lease.Start)
	o.lease.Forget = max(o.lease.Forget, lease.Forget)
	for number, ids := range o.byLease {
		if number < o.lease.Forget {
			o.forget(number, ids)
		}
	}
}

// forget drops the ended attempts of a lease.
func (o *Owner) forget(number Number, ids []Attempt) {
	var open []Attempt
	for _, id := range ids {
		held := o.attempts[id]
		if held.state == ReplyStarted || held.state == ReplyQueued {
			open = append(open, id)
			continue
		}
		delete(o.attempts, id)
	}
	if len(open) == 0 {
		delete(o.byLease, number)
		return
	}
	o.byLease[number] = open
}

func (o *Owner) remember(id Attempt, held *heldAttempt) {
	o.attempts[id] = held
	o.byLease[held.lease] = append(o.byLease[held.lease], id)
}

// advance starts a waiting suspect once nothing else runs, and ends waits that took too long.
func (o *Owner) advance(now time.Time) {
	o.advanceSuspect(now)
	o.advanceOwnership(now)
	o.advanceStop(now)
}

func (o *Owner) advanceSuspect(now time.Time) {
	if o.alone == nil {
		return
	}
	held := o.attempts[*o.alone]
	if !held.waits {
		return
	}
	if o.running == 0 {
		o.start(held)
		return
	}
	if !now.Before(held.deadline) {
		o.alone = nil
		held.waits = false
		refused := outcome.Refused(outcome.CauseBackendsFull)
		refused.RetryAfter = retryElsewhereAfter
		o.settle(held.dispatch.ID, held, ReplyNeverStarted, refused)
	}
}
