package attempt

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// fire applies an event to the state chart of the call.
func (c *CallTable) fire(open *openCall, event chart.Event) {
	step, err := callChart.Next(open.state, event, func(guard chart.Guard) bool { return c.evaluateGuard(open, guard) })
	if err != nil {
		panic("invariant: " + err.Error())
	}
	if step.Ignored {
		return
	}
	open.state = step.To
	for _, action := range step.Actions {
		c.perform(open, event, action)
	}
	if callChart.Final(open.state) {
		delete(c.calls, open.Request)
	}
}

func (c *CallTable) evaluateGuard(open *openCall, guard chart.Guard) bool {
	switch guard {
	case "hedging":
		return open.hedging
	case "may-hedge":
		return c.mayHedge(open)
	case "other-open":
		return open.openAttempts() > 0
	case "may-retry":
		return c.mayRetry(open)
	case "may-rerun":
		return c.mayRerun(open)
	case "caller-waits":
		return !open.callerDisconnected
	}
	panic("invariant: unknown guard " + string(guard))
}

func (open *openCall) openAttempts() int {
	count := 0
	for _, attempt := range open.attempts {
		if attempt.open {
			count++
		}
	}
	return count
}

func (c *CallTable) mayHedge(open *openCall) bool {
	allowed := open.Class.Idempotent && open.Class.Priority == 0 && !open.hedged && !open.alone
	return allowed && open.openAttempts() == 1 && len(open.attempts) < c.config.MaxAttempts && c.budget.canHedge(open.Customer)
}

// mayRetry reports whether a call may be dispatched again after an attempt that is proven never
// to have started.
func (c *CallTable) mayRetry(open *openCall) bool {
	refusal := open.reply.Outcome
	if refusal.Kind != outcome.NotRun || !c.now.Before(open.Deadline) {
		return false
	}
	switch refusal.Cause {
	case outcome.CauseNotOwner, outcome.CauseNotReady, outcome.CauseStaleLease, outcome.CauseLeaving:
		return open.reroutes < c.config.MaxReroutes
	case outcome.CauseKeyConflict, outcome.CauseKeysFull, outcome.CauseBadRequest, outcome.CauseQuarantined:
		return false
	}
	return open.suspectMustWait() || c.mayAttempt(open)
}

// suspectMustWait reports whether a suspect was refused before its start because other requests
// still ran when its wait at the agent ended, or because its backend server is full, restarting or
// out of reach. The call is then routed again until its deadline.
func (open *openCall) suspectMustWait() bool {
	if !open.alone || open.reply.State != ReplyNeverStarted {
		return false
	}
	switch open.reply.Outcome.Cause {
	case outcome.CauseBackendsFull, outcome.CauseBackendError, outcome.CauseNoBackend:
		return true
	}
	return false
}

// mayRerun reports whether a request that may have run may run again.
func (c *CallTable) mayRerun(open *openCall) bool {
	quarantined := open.reply.Outcome.Cause == outcome.CauseQuarantined
	return open.Class.Idempotent && !quarantined && open.delivered == 0 && c.now.Before(open.Deadline) && c.mayAttempt(open)
}

// mayAttempt reports whether the call may be dispatched once more. Suspects, and requests that
// were running when a backend server crashed, may be retried even if the customer's retry budget
// is used up: suspects run one at a time, so their retries cannot amplify an overload. With
// SuspectConfig.AllowConcurrent, the retry after a crash still reduces the budget.
func (c *CallTable) mayAttempt(open *openCall) bool {
	if open.alone || open.reply.Suspect {
		return open.possiblyStarted() < c.config.MaxAttempts
	}
	return len(open.attempts) < c.config.MaxAttempts && c.budget.canRetry(open.Customer)
}

// possiblyStarted counts the attempts without proof that they never started.
func (open *openCall) possiblyStarted() int {
	count := 0
	for _, attempt := range open.attempts {
		if !attempt.neverStarted {
			count++
		}
	}
	return count
}

func (c *CallTable) perform(open *openCall, event chart.Event, action chart.Action) {
	switch action {
	case "dispatch":
		open.hedging = false
	case "drop-hedge":
		open.hedging = false
	case "route-hedge":
		c.routeHedge(open)
	case "route-again":
		c.routeAgain(open)
	case "query":
		c.query(open, open.current)
	case "revoke":
		c.revokeAll(open)
	case "revoke-others":
		c.revokeOthers(open)
	case "resume":
		c.act(ResumeStream{Resume{ID: open.current.id, Target: open.current.target, Offset: open.delivered}})
	case "cancel":
		c.cancelAll(open)
	case "finish-refused":
		c.finishRefused(open, event)
	case "finish-answered":
		c.finishAnswered(open)
	case "finish-unknown":
		c.finishUnknown(open, event)
	default:
		panic("invariant: unknown action " + string(action))
	}
}

func (c *CallTable) routeHedge(open *openCall) {
	open.hedging = true
	open.hedged = true
	c.budget.spendHedge(open.Customer)
	for _, attempt := range open.attempts {
		open.exclude = append(open.exclude, attempt.target.VM)
	}
	c.requestRoute(open, true)
}

func (c *CallTable) routeAgain(open *openCall) {
	open.hedging = false
	open.runUntil = time.Time{}
	refusal := open.reply.Outcome
	if open.suspectMustWait() {
		c.rerouteLater(open, refusal)
		return
	}
	switch refusal.Cause {
	case outcome.CauseNotOwner, outcome.CauseNotReady, outcome.CauseStaleLease, outcome.CauseLeaving:
		if open.reply.State == ReplyNeverStarted {
			open.excludeUnlessRestricted(open.current.target.VM)
			c.rerouteLater(open, refusal)
			return
		}
	case outcome.CauseBackendCrashed:
		open.alone = open.alone || (open.reply.Suspect && !c.config.Suspects.AllowConcurrent)
	}
	if !open.alone {
		c.budget.spendRetry(open.Customer)
	}
	open.excludeUnlessRestricted(open.current.target.VM)
	if c.refuseQuarantined(open) {
		return
	}
	c.requestRoute(open, false)
}

// excludeUnlessRestricted excludes a VM from further routing of the call. Calls with a run key and
// suspects exclude none, since only the key's owner or the suspect hosts may run them.
func (open *openCall) excludeUnlessRestricted(vm ident.VM) {
	if open.RunKey == "" && !open.alone {
		open.exclude = append(open.exclude, vm)
	}
}

func (c *CallTable) query(open *openCall, attempt *callAttempt) {
	attempt.probes++
	attempt.waitingSince = c.now
	c.act(SendQuery{Query{ID: attempt.id, Target: attempt.target, Lease: attempt.lease}})
}

func (c *CallTable) revokeAll(open *openCall) {
	if open.giveUpAt.IsZero() {
		open.giveUpAt = c.now.Add(c.config.RevokeWait)
	}
	for _, attempt := range open.attempts {
		if attempt.open {
			attempt.waitingSince = c.now
			c.act(SendRevoke{Revoke{ID: attempt.id, Target: attempt.target, Lease: attempt.lease}})
		}
	}
}

// revokeOthers is called when the current attempt has started or finished. It sets the time limit
// of the run, and revokes and closes all other open attempts.
func (c *CallTable) revokeOthers(open *openCall) {
	open.hedging = false
	open.runUntil = c.now.Add(c.config.RunLimit)
	for _, attempt := range open.attempts {
		if attempt != open.current && attempt.open {
			attempt.open = false
			open.mayHaveRun = true
			c.act(SendRevoke{Revoke{ID: attempt.id, Target: attempt.target, Lease: attempt.lease}})
			c.act(SendCancel{Cancel{ID: attempt.id, Target: attempt.target}})
		}
	}
}

func (c *CallTable) cancelAll(open *openCall) {
	for _, attempt := range open.attempts {
		if attempt.open && open.Class.Idempotent {
			c.act(SendCancel{Cancel{ID: attempt.id, Target: attempt.target}})
		}
	}
}

func (c *CallTable) finishRefused(open *openCall, event chart.Event) {
	result := open.refusal
	switch {
	case event == "refused" && open.state == callDone:
		result = open.reply.Outcome
	case event == "deadline" && open.reroutes == 0:
		// A rerouted call keeps the refusal that says why it could not be dispatched.
		result = outcome.Refused(outcome.CauseDeadline)
	case event == "caller-gone":
		result = outcome.Refused(outcome.CauseCallerGone)
	}
	if result.Cause == outcome.CauseRevoked {
		result = outcome.Refused(outcome.CauseDeadline)
		if open.callerDisconnected {
			result = outcome.Refused(outcome.CauseCallerGone)
		}
	}
	mayHaveRun := open.mayHaveRun || (open.RunKey != "" && c.log.MayHaveRun(open.Class.Service, open.RunKey))
	if result.Kind == outcome.NotRun && mayHaveRun && result.Cause != outcome.CauseKeyConflict {
		result.Kind = outcome.Unknown
		result.RunKey = open.RunKey
	}
	c.finish(open, Finish{Outcome: result})
}

func (c *CallTable) finishAnswered(open *openCall) {
	result := open.reply.Outcome
	if result.Kind != outcome.Served {
		panic("invariant: the outcome of a finished attempt is not served")
	}
	c.budget.addSuccess(open.Customer)
	if open.alone {
		fingerprint := NewFingerprint(open.Customer, open.Class.Name, open.Body)
		c.suspects.Clear(fingerprint)
		c.act(SendCleared{fingerprint})
	}
	c.revokeOthers(open)
	c.finish(open, Finish{Outcome: result, Answer: open.reply.Answer, Source: open.current.id})
}

func (c *CallTable) finishUnknown(open *openCall, event chart.Event) {
	result := outcome.InDoubt(outcome.CauseTimeout, open.RunKey)
	switch event {
	case "in-doubt":
		result = open.reply.Outcome
		result.Kind = outcome.Unknown
		result.RunKey = open.RunKey
	case "unreachable":
		result.Cause = outcome.CauseConnectionLost
	case "caller-gone":
		result.Cause = outcome.CauseCallerGone
	}
	if open.callerDisconnected {
		result.Cause = outcome.CauseCallerGone
	}
	c.finish(open, Finish{Outcome: result})
}

func (c *CallTable) finish(open *openCall, finish Finish) {
	finish.Request = open.Request
	finish.Attempts = len(open.attempts)
	c.act(finish)
}
