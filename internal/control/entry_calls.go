package control

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// receiveCall passes a call to the admission. It refuses the call if no configuration is in
// force or the service does not accept run keys yet.
func (e *Entry) receiveCall(now time.Time, event CallArrived) {
	call := &event.Call
	if e.configuration == nil {
		e.emit(FinishCall{Request: call.Request, Outcome: outcome.Refused(outcome.CauseNotReady)})
		return
	}
	if !e.takesCalls(now) {
		e.refuseCall(call, RefusedLeaving())
		return
	}
	if wait := e.timeUntilOpen(now, call); wait > 0 {
		refused := outcome.Refused(outcome.CauseNotReady)
		refused.RetryAfter = wait
		e.refuseCall(call, refused)
		return
	}
	e.calls[call.Request] = &entryCall{arrived: event, arrivedAt: now, rank: routing.NoRank, openAttempts: map[attempt.AttemptID]ident.VM{}}
	e.stepAdmission(now, admission.Arrive{
		Request:  call.Request,
		Customer: call.Customer,
		Class:    call.Class.Name,
		Tokens:   event.Tokens,
		Deadline: call.Deadline,
		Retry:    event.Retry,
	})
}

// RefusedLeaving returns the outcome of a call that a stopping entry refuses.
func RefusedLeaving() outcome.Outcome {
	refused := outcome.Refused(outcome.CauseLeaving)
	refused.RetryAfter = leavingRetryAfter
	return refused
}

// refuseCall ends a call that was not admitted.
func (e *Entry) refuseCall(call *attempt.Call, refused outcome.Outcome) {
	e.recordRejection(CallRejected{Customer: call.Customer, Class: call.Class.Name, Outcome: refused})
	e.emit(FinishCall{Request: call.Request, Outcome: refused})
}

// timeUntilOpen returns the time until the service accepts requests with run keys; 0 or less if
// it accepts the call now.
func (e *Entry) timeUntilOpen(now time.Time, call *attempt.Call) time.Duration {
	service := e.configuration.Fleet.Service(call.Class.Service)
	if call.RunKey == "" || service == nil {
		return 0
	}
	return service.OpenedAt.Sub(now)
}

// recordRejection adds a call that the front refused to the overload account.
func (e *Entry) recordRejection(event CallRejected) {
	key := admission.ClassKey{Customer: event.Customer, Class: event.Class}
	e.admission.Account().Arrive(key)
	e.admission.Account().Close(key, event.Outcome, admission.LimitNone, 0)
}

func (e *Entry) stepAdmission(now time.Time, event admission.Event) {
	for _, action := range e.admission.Step(now, event) {
		switch action := action.(type) {
		case admission.Admit:
			e.admit(now, action)
		case admission.Refuse:
			e.refuse(action)
		case admission.SendLimitRequest:
			e.sendLimitRequest(now, action)
		case admission.Report:
			e.recordAccount(action.Message)
		}
	}
}

// admit starts an admitted call, unless the latest time to start it has passed.
func (e *Entry) admit(now time.Time, admitted admission.Admit) {
	call := e.calls[admitted.Request]
	if call == nil {
		return
	}
	if now.After(admitted.NotAfter) {
		e.finish(now, FinishCall{Request: admitted.Request, Outcome: outcome.Refused(outcome.CauseDeadline)})
		return
	}
	e.stepCaller(now, attempt.CallStarted{Call: call.arrived.Call})
}

// refuse ends a call that the admission refused.
func (e *Entry) refuse(refused admission.Refuse) {
	call := e.calls[refused.Request]
	if call == nil {
		return
	}
	delete(e.calls, refused.Request)
	e.recordOutcome(call, refused.Outcome)
	e.emit(FinishCall{Request: refused.Request, Outcome: refused.Outcome})
}

func (e *Entry) recordOutcome(call *entryCall, result outcome.Outcome) {
	severity := SeverityDebug
	if result.Kind != outcome.Served {
		severity = SeverityInfo
	}
	fields := []Field{{"outcome", result.Kind.String()}, {"class", string(call.arrived.Call.Class.Name)}}
	if result.Cause != outcome.CauseNone {
		fields = append(fields, Field{"cause", string(result.Cause)})
	}
	if result.CausedBy != "" {
		fields = append(fields, Field{"caused-by", string(result.CausedBy)})
	}
	e.emit(TimelineEvent{
		Kind: "call-ended", Severity: severity, Request: call.arrived.Call.Request,
		Customer: call.arrived.Call.Customer, Fields: fields,
	})
}

func (e *Entry) stepCaller(now time.Time, event attempt.CallEvent) {
	for _, action := range e.caller.Step(now, event) {
		e.handleCallerAction(now, action)
	}
}

func (e *Entry) handleCallerAction(now time.Time, action attempt.CallAction) {
	switch action := action.(type) {
	case attempt.NeedRoute:
		e.routeCall(now, action)
	case attempt.SendDispatch:
		e.openAttempt(now, action.Dispatch)
	case attempt.SendRevoke:
		e.emit(Send{To: action.Revoke.Target.VM, Body: &action.Revoke})
	case attempt.SendQuery:
		e.emit(Send{To: action.Query.Target.VM, Body: &action.Query, NewConnection: true})
	case attempt.SendCancel:
		e.emit(Send{To: action.Cancel.Target.VM, Body: &action.Cancel})
	case attempt.ResumeStream:
		e.emit(ResumeAttempt(action))
	case attempt.SendQuarantine:
		e.recordEvent("quarantined", SeverityWarning, "", Field{"crashes", strconv.Itoa(action.Notice.Crashes)})
		e.broadcast(&action.Notice)
	case attempt.SendCleared:
		e.broadcast(&ClearedNotice{Fingerprint: action.Fingerprint})
	case attempt.Finish:
		e.finish(now, FinishCall{Request: action.Request, Outcome: action.Outcome, Answer: action.Answer, Source: action.Source})
	}
}

// broadcast sends a message to all other entries of the roster.
func (e *Entry) broadcast(body any) {
	for _, entry := range e.configuration.Fleet.Entries {
		if entry.VM != e.self.Instance.VM {
			e.emit(Send{To: entry.VM, Body: body})
		}
	}
}

// routeCall picks a target for an attempt. A request without a target is routed again until its
// deadline.
func (e *Entry) routeCall(now time.Time, need attempt.NeedRoute) {
	call := e.calls[need.Request]
	if call == nil {
		return
	}
	if need.Only != "" && e.backends.recordUse(now, need.Class.Service, need.Only) {
		e.updateChosenBackends(now)
	}
	decision := e.pick(now, need, call)
	if decision.Cause != outcome.CauseNone {
		e.handleNoRoute(now, need, call, decision)
		return
	}
	call.rank = decision.Rank
	e.stepCaller(now, attempt.Routed{
		Request: need.Request,
		Target:  ident.Instance{VM: decision.VM, Incarnation: decision.Incarnation},
		Lease:   attempt.Number(decision.Lease),
	})
}

func (e *Entry) pick(now time.Time, need attempt.NeedRoute, call *entryCall) routing.Decision {
	service := e.backends.services[need.Class.Service]
	if service == nil {
		return routing.Decision{Cause: outcome.CauseNoBackend}
	}
	snapshot := e.snapshot(service)
	if len(need.Among) > 0 {
		snapshot.Candidates = filterCandidates(snapshot.Candidates, need.Among)
	}
	request := routing.Request{
		ID:           need.Request,
		Service:      service.name,
		Zone:         e.self.Zone,
		Blocks:       call.arrived.Blocks,
		PromptTokens: call.arrived.PromptTokens,
		OutputTokens: call.arrived.OutputTokens,
		Deadline:     call.arrived.Call.Deadline,
		Excluded:     need.Exclude,
		Owner:        need.Only,
		RunAlone:     need.Alone,
	}
	decision := service.picker.Pick(now, request, snapshot)
	if decision.Cause == outcome.CauseNone {
		service.prefixes.Expect(now, decision.VM, call.arrived.Blocks)
		service.builder.RecordDispatch(&request, decision)
		call.alone = need.Alone
	}
	return decision
}

func filterCandidates(candidates []routing.Candidate, vms []ident.VM) []routing.Candidate {
	var kept []routing.Candidate
	for _, candidate := range candidates {
		if slices.Contains(vms, candidate.VM) {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// handleNoRoute refuses a hedge, or a request whose deadline has passed. Other requests wait to
// be routed again, as a target may become available before the deadline.
func (e *Entry) handleNoRoute(now time.Time, need attempt.NeedRoute, call *entryCall, decision routing.Decision) {
	final := decision.Cause == outcome.CauseDeadline || !now.Before(call.arrived.Call.Deadline)
	if need.Hedge || final {
		e.refusedRoutes++
		e.stepCaller(now, attempt.NoRoute{Request: need.Request, Cause: decision.Cause, RetryAfter: decision.RetryAfter})
		return
	}
	e.unrouted = append(e.unrouted, need)
}

// retryRoutes routes the waiting requests again, oldest first.
func (e *Entry) retryRoutes(now time.Time) {
	waiting := e.unrouted
	e.unrouted = nil
	for _, need := range waiting {
		e.routeCall(now, need)
	}
}

// openAttempt sends a dispatch and counts it against the credits of the lease, which are the
// requests that the entry may have open at the agent.
func (e *Entry) openAttempt(now time.Time, dispatch attempt.Dispatch) {
	call := e.calls[dispatch.ID.Request]
	if call == nil {
		return
	}
	call.dispatchedAt = now
	call.openAttempts[dispatch.ID] = dispatch.Target.VM
	e.stepHolder(now, membership.DispatchStarted{VM: dispatch.Target.VM})
	e.emit(TimelineEvent{
		Kind: "call-dispatched", Severity: SeverityDebug, Request: dispatch.ID.Request,
		Customer: dispatch.Customer, About: dispatch.Target.VM,
	})
	e.emit(OpenAttempt{Dispatch: dispatch, Rank: call.rank})
}

// endAttempt releases the credit of an attempt that is no longer open at its agent.
func (e *Entry) endAttempt(now time.Time, id attempt.AttemptID) {
	call := e.calls[id.Request]
	if call == nil {
		return
	}
	vm, ok := call.openAttempts[id]
	if !ok {
		return
	}
	delete(call.openAttempts, id)
	if service := e.backends.services[call.arrived.Call.Class.Service]; service != nil {
		service.builder.RecordEnd(vm, call.alone)
	}
	e.stepHolder(now, membership.DispatchEnded{VM: vm})
}

// receiveReply handles an agent's reply about an attempt.
func (e *Entry) receiveReply(now time.Time, reply attempt.Reply) {
	// A reply contains no configuration version: version 0 causes no request for one.
	e.stepConfig(now, membership.VersionReceived{From: reply.Agent.VM, Version: 0})
	switch reply.State {
	case attempt.ReplyNeverStarted, attempt.ReplyFinished, attempt.ReplyInDoubt, attempt.ReplyForeign:
		e.endAttempt(now, reply.ID)
	case attempt.ReplyQueued, attempt.ReplyStarted:
	}
	e.stepCaller(now, attempt.ReplyReceived{Reply: reply})
	e.retryRoutes(now)
}

func (e *Entry) recordProgress(now time.Time, event AnswerProgress) {
	call := e.calls[event.ID.Request]
	if call != nil && call.firstByteAt.IsZero() {
		call.firstByteAt = now
	}
	e.stepCaller(now, attempt.StreamProgress{ID: event.ID, Offset: event.Offset})
}

// finish reports the outcome to the front. The call stays open until the front has delivered
// it.
func (e *Entry) finish(now time.Time, finished FinishCall) {
	call := e.calls[finished.Request]
	if call == nil {
		return
	}
	for _, id := range sortedAttempts(call.openAttempts) {
		e.endAttempt(now, id)
	}
	call.finished = true
	e.recordTimes(now, call, finished.Outcome)
	e.emit(finished)
}

func sortedAttempts(open map[attempt.AttemptID]ident.VM) []attempt.AttemptID {
	ids := make([]attempt.AttemptID, 0, len(open))
	for id := range open {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].Number < ids[j].Number })
	return ids
}

// endCall closes a call with the outcome that its caller received.
func (e *Entry) endCall(now time.Time, event CallDelivered) {
	call := e.calls[event.Request]
	if call == nil || !call.finished {
		return
	}
	delete(e.calls, event.Request)
	e.recordOutcome(call, event.Outcome)
	e.stepAdmission(now, admission.Done{Request: event.Request, Outcome: event.Outcome, Tokens: event.Tokens})
}

func (e *Entry) recordTimes(now time.Time, call *entryCall, result outcome.Outcome) {
	service := e.backends.services[call.arrived.Call.Class.Service]
	if service == nil || result.Kind != outcome.Served || call.dispatchedAt.IsZero() {
		return
	}
	started := call.firstByteAt
	if started.IsZero() {
		started = now
	}
	service.recordTimes(now, started.Sub(call.dispatchedAt), now.Sub(call.dispatchedAt))
}

// reportCapacity reports the slots under valid leases of each service to the admission.
func (e *Entry) reportCapacity(now time.Time) {
	views := e.leaseHolder.Views(nil)
	for _, name := range e.backends.serviceNames {
		service := e.backends.services[name]
		slots := 0
		for _, view := range views {
			if _, ok := service.backends[view.VM]; ok && view.Usable(now) {
				slots += int(max(view.Credits, view.Open))
			}
		}
		service.slots = slots
		e.stepAdmission(now, admission.Capacity{
			Service: name, Slots: slots, ServiceTime: service.serviceTime, AnswerTime: service.expectedAnswerTime(now),
		})
	}
	e.reportDemand(now, views)
}

// reportDemand updates the demand that the lease requests to each agent contain: the number of
// requests that the entry could keep open there. It exceeds the even share of the open calls by
// up to two requests, so that an entry without open calls still asks for credits.
func (e *Entry) reportDemand(now time.Time, views []membership.BackendView) {
	demand := map[ident.Service]int{}
	for _, call := range e.calls {
		demand[call.arrived.Call.Class.Service]++
	}
	for _, name := range e.backends.serviceNames {
		service := e.backends.services[name]
		if len(service.backends) == 0 {
			continue
		}
		// share is the number of open calls per server of the subset, rounded down, plus 1.
		share := (demand[name] + len(service.subset)) / max(len(service.subset), 1)
		for _, view := range views {
			if _, ok := service.backends[view.VM]; ok {
				e.stepHolder(now, membership.DemandChanged{VM: view.VM, Demand: uint32(share) + 1})
			}
		}
	}
}
