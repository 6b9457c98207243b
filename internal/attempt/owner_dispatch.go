package attempt

import (
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// refusalRetryAfter is the RetryAfter of refusals whose cause usually ends soon: an old fleet version
// or lease, a stopping agent, a dispatch that was not sent, or a suspect that runs alone or waits
// until it can.
const refusalRetryAfter = time.Second

func (o *Owner) receiveDispatch(now time.Time, dispatch Dispatch) {
	id := dispatch.ID
	if dispatch.Target != o.config.Self {
		o.replyForeign(id)
		return
	}
	if attempt := o.attempts[id]; attempt != nil {
		o.reply(id, attempt)
		return
	}
	if dispatch.Lease < o.lease.MinKept {
		o.replyForgotten(id, dispatch.RunKey)
		return
	}
	attempt := &attemptRecord{dispatch: dispatch, lease: dispatch.Lease, deadline: o.startDeadline(now, dispatch)}
	o.addAttempt(id, attempt)
	if refused := o.refusal(now, dispatch); refused.Kind != outcome.Open {
		o.endAttempt(id, attempt, ReplyNeverStarted, refused)
		return
	}
	if dispatch.RunKey != "" {
		o.receiveKeyed(now, attempt)
		return
	}
	o.startOrWait(now, attempt)
}

// startDeadline returns the time until which the attempt may wait for its start.
func (o *Owner) startDeadline(now time.Time, dispatch Dispatch) time.Time {
	wait := o.config.HoldLimit
	if dispatch.TimeLeft > 0 && dispatch.TimeLeft < wait {
		wait = dispatch.TimeLeft
	}
	return now.Add(wait)
}

// refusal returns the outcome for a dispatch that must be refused, or the zero Outcome, which has
// the kind Open, if it may be accepted.
func (o *Owner) refusal(now time.Time, dispatch Dispatch) outcome.Outcome {
	refused := outcome.Refused(outcome.CauseNone)
	refused.RetryAfter = refusalRetryAfter
	switch {
	case o.stopping:
		refused.Cause = outcome.CauseLeaving
	case dispatch.Lease < o.lease.MinStart:
		refused.Cause = outcome.CauseStaleLease
	case o.aloneAttempt != nil:
		// CauseNotReady makes the entry route elsewhere for a while. It is not counted as
		// overload and uses up no retry.
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

// startOrWait starts an attempt, or queues a suspect until nothing else runs.
func (o *Owner) startOrWait(now time.Time, attempt *attemptRecord) {
	if !attempt.dispatch.Alone {
		o.start(attempt)
		return
	}
	id := attempt.dispatch.ID
	o.aloneAttempt = &id
	if o.running == 0 {
		o.start(attempt)
		return
	}
	attempt.waitingAlone = true
	attempt.deadline = o.startDeadline(now, attempt.dispatch)
	attempt.state = ReplyQueued
	o.reply(id, attempt)
}

func (o *Owner) start(attempt *attemptRecord) {
	attempt.waitingAlone = false
	attempt.state = ReplyStarted
	o.running++
	o.act(Run{attempt.dispatch})
	o.reply(attempt.dispatch.ID, attempt)
}

// endAttempt ends an attempt and sends the final reply.
func (o *Owner) endAttempt(id AttemptID, attempt *attemptRecord, state ReplyState, result outcome.Outcome) {
	o.clearAlone(id)
	attempt.state = state
	attempt.outcome = result
	o.reply(id, attempt)
}

func (o *Owner) reply(id AttemptID, attempt *attemptRecord) {
	reply := Reply{
		ID: id, Agent: o.config.Self, State: attempt.state, Outcome: attempt.outcome, Answer: attempt.answer,
		Suspect: attempt.state == ReplyInDoubt && attempt.outcome.Cause == outcome.CauseBackendCrashed,
		Lease:   o.lease.Current, FleetVersion: o.fleet.Version,
	}
	o.act(SendReply{Reply: reply, Source: attempt.source, Content: attempt.content})
}

func (o *Owner) replyForeign(id AttemptID) {
	o.act(SendReply{Reply: Reply{
		ID: id, Agent: o.config.Self, State: ReplyForeign, Lease: o.lease.Current, FleetVersion: o.fleet.Version,
	}})
}

// replyForgotten replies in doubt for an attempt so old that its record may have been dropped.
func (o *Owner) replyForgotten(id AttemptID, key ident.RunKey) {
	o.act(SendReply{Reply: Reply{
		ID: id, Agent: o.config.Self, State: ReplyInDoubt, Outcome: outcome.InDoubt(outcome.CauseStaleLease, key),
		Lease: o.lease.Current, FleetVersion: o.fleet.Version,
	}})
}

// revoke ensures that an attempt that has not started never starts.
func (o *Owner) revoke(now time.Time, revoke Revoke) {
	attempt := o.attempts[revoke.ID]
	switch {
	case revoke.Target != o.config.Self:
		o.replyForeign(revoke.ID)
		return
	case attempt == nil && revoke.Lease < o.lease.MinKept:
		o.replyForgotten(revoke.ID, "")
		return
	case attempt == nil:
		attempt = &attemptRecord{lease: revoke.Lease}
		o.addAttempt(revoke.ID, attempt)
		o.endAttempt(revoke.ID, attempt, ReplyNeverStarted, outcome.Refused(outcome.CauseRevoked))
		return
	case attempt.state == ReplyQueued:
		o.revokeQueued(now, attempt)
		return
	}
	o.reply(revoke.ID, attempt)
}

func (o *Owner) revokeQueued(now time.Time, attempt *attemptRecord) {
	id := attempt.dispatch.ID
	attempt.waitingAlone = false
	o.clearAlone(id)
	if attempt.dispatch.RunKey != "" {
		o.removeWaiter(now, attempt)
	}
	o.endAttempt(id, attempt, ReplyNeverStarted, outcome.Refused(outcome.CauseRevoked))
}

func (o *Owner) query(query Query) {
	attempt := o.attempts[query.ID]
	switch {
	case query.Target != o.config.Self:
		o.replyForeign(query.ID)
	case attempt != nil:
		o.reply(query.ID, attempt)
	case query.Lease < o.lease.MinKept:
		o.replyForgotten(query.ID, "")
	default:
		// The dispatch may still arrive: only a tombstone makes the reply final.
		attempt = &attemptRecord{lease: query.Lease}
		o.addAttempt(query.ID, attempt)
		o.endAttempt(query.ID, attempt, ReplyNeverStarted, outcome.Refused(outcome.CauseConnectionLost))
	}
}

func (o *Owner) cancel(cancel Cancel) {
	attempt := o.attempts[cancel.ID]
	if attempt == nil || cancel.Target != o.config.Self || attempt.state != ReplyStarted || !attempt.dispatch.Idempotent {
		return
	}
	o.act(CancelRun{cancel.ID})
}

func (o *Owner) endRun(now time.Time, end RunEnded) {
	attempt := o.attempts[end.ID]
	if attempt == nil || attempt.state != ReplyStarted || attempt.source != (AttemptID{}) {
		return
	}
	o.releaseRun(end.ID)
	if attempt.dispatch.RunKey != "" {
		o.endKeyedRun(now, attempt, end)
		return
	}
	switch end.Outcome.Kind {
	case outcome.Served:
		attempt.answer = end.Answer
		attempt.source = end.ID
		o.endAttempt(end.ID, attempt, ReplyFinished, end.Outcome)
	case outcome.NotRun:
		o.endAttempt(end.ID, attempt, ReplyNeverStarted, end.Outcome)
	case outcome.Open, outcome.Unknown:
		o.endAttempt(end.ID, attempt, ReplyInDoubt, end.Outcome)
	}
}

func (o *Owner) releaseRun(id AttemptID) {
	o.running--
	o.clearAlone(id)
}

// failRuns reports a crash of the backend server with the requests that were running, and ends all runs.
func (o *Owner) failRuns(now time.Time) {
	runs := o.runsInOrder()
	o.reportCrash(runs)
	for _, id := range runs {
		attempt := o.attempts[id]
		o.releaseRun(id)
		result := outcome.InDoubt(outcome.CauseBackendCrashed, attempt.dispatch.RunKey)
		if attempt.dispatch.Alone && o.group() == "" {
			// A suspect that crashed the server while alone is the cause: entries must not run it again.
			result.Cause = outcome.CauseQuarantined
		}
		if attempt.dispatch.RunKey != "" {
			o.endKeyedRun(now, attempt, RunEnded{ID: id, Outcome: result})
			continue
		}
		o.endAttempt(id, attempt, ReplyInDoubt, result)
	}
}

// reportCrash is called before the replies are sent, so that the entries know the suspects
// when they retry.
func (o *Owner) reportCrash(runs []AttemptID) {
	o.crashCount++
	report := CrashReport{Agent: o.config.Self, Crash: o.crashCount, Group: o.group()}
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
func (o *Owner) runsInOrder() []AttemptID {
	var ids []AttemptID
	for id, attempt := range o.attempts {
		if attempt.state == ReplyStarted && attempt.source == (AttemptID{}) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].less(ids[j]) })
	return ids
}

func (a AttemptID) less(b AttemptID) bool {
	if a.Entry != b.Entry {
		return a.Entry.VM < b.Entry.VM || (a.Entry.VM == b.Entry.VM && a.Entry.Incarnation < b.Entry.Incarnation)
	}
	if a.Request != b.Request {
		return a.Request < b.Request
	}
	return a.Number < b.Number
}

func (o *Owner) advanceLease(lease LeaseAdvanced) {
	o.lease.Current = max(o.lease.Current, lease.Current)
	o.lease.MinStart = max(o.lease.MinStart, lease.MinStart)
	o.lease.MinKept = max(o.lease.MinKept, lease.MinKept)
	for number, ids := range o.byLease {
		if number < o.lease.MinKept {
			o.dropEndedAttempts(number, ids)
		}
	}
}

// dropEndedAttempts drops the records of the ended attempts of a lease.
func (o *Owner) dropEndedAttempts(number Number, ids []AttemptID) {
	var open []AttemptID
	for _, id := range ids {
		attempt := o.attempts[id]
		if attempt.state == ReplyStarted || attempt.state == ReplyQueued {
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

func (o *Owner) addAttempt(id AttemptID, attempt *attemptRecord) {
	o.attempts[id] = attempt
	o.byLease[attempt.lease] = append(o.byLease[attempt.lease], id)
}

// advance starts attempts and keys that can run now, ends waits that took too long, and goes on
// with a stop.
func (o *Owner) advance(now time.Time) {
	o.advanceSuspect(now)
	o.advanceOwnership(now)
	o.advanceStop(now)
}

func (o *Owner) advanceSuspect(now time.Time) {
	if o.aloneAttempt == nil {
		return
	}
	attempt := o.attempts[*o.aloneAttempt]
	if !attempt.waitingAlone {
		return
	}
	if o.running == 0 {
		o.start(attempt)
		return
	}
	if !now.Before(attempt.deadline) {
		o.aloneAttempt = nil
		attempt.waitingAlone = false
		refused := outcome.Refused(outcome.CauseBackendsFull)
		refused.RetryAfter = refusalRetryAfter
		o.endAttempt(attempt.dispatch.ID, attempt, ReplyNeverStarted, refused)
	}
}
