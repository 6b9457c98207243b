package attempt

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// findOpenAttempt returns the open attempt that a message names, or counts the message as dropped.
func (c *CallTable) findOpenAttempt(id AttemptID) (*openCall, *callAttempt) {
	open := c.calls[id.Request]
	if id.Entry == c.config.Self && open != nil {
		for _, attempt := range open.attempts {
			if attempt.id == id && attempt.open {
				return open, attempt
			}
		}
	}
	c.dropped++
	return nil, nil
}

func (c *CallTable) receiveReply(reply Reply) {
	open, attempt := c.findOpenAttempt(reply.ID)
	if open == nil {
		return
	}
	sameIncarnation := reply.Agent == attempt.target
	if !sameIncarnation && (reply.State != ReplyForeign || reply.Agent.VM != attempt.target.VM) {
		c.dropped++
		return
	}
	open.current = attempt
	open.reply = reply
	attempt.waitingSince = c.now
	attempt.probes = 0
	attempt.acknowledged = true
	switch reply.State {
	case ReplyQueued:
		c.fire(open, "queued")
	case ReplyStarted:
		attempt.started = true
		c.fire(open, "started")
	case ReplyNeverStarted:
		c.endProven(open, attempt, reply.State)
		c.fire(open, "refused")
	case ReplyFinished:
		c.endProven(open, attempt, reply.State)
		c.fire(open, "finished")
	case ReplyInDoubt:
		c.endInDoubt(open, attempt)
		c.fire(open, "in-doubt")
	case ReplyForeign:
		c.endInDoubt(open, attempt)
		open.reply.Outcome = outcome.InDoubt(outcome.CauseConnectionLost, open.RunKey)
		c.fire(open, "unreachable")
	}
}

// endProven closes an attempt that is proven to have finished or never to have started.
func (c *CallTable) endProven(open *openCall, attempt *callAttempt, state ReplyState) {
	attempt.open = false
	attempt.neverStarted = state == ReplyNeverStarted
	if open.RunKey != "" {
		c.log.RecordEnd(open.Class.Service, open.RunKey, attempt.target, state)
	}
}

// endInDoubt closes an attempt that may have run.
func (c *CallTable) endInDoubt(open *openCall, attempt *callAttempt) {
	attempt.open = false
	open.mayHaveRun = true
}

// dispatchUnsent closes an attempt whose dispatch was never sent.
func (c *CallTable) dispatchUnsent(id AttemptID) {
	open, attempt := c.findOpenAttempt(id)
	if open == nil {
		return
	}
	open.current = attempt
	open.reply = Reply{ID: id, State: ReplyNeverStarted, Outcome: outcome.Refused(outcome.CauseNoBackend)}
	open.reply.Outcome.RetryAfter = refusalRetryAfter
	c.endProven(open, attempt, ReplyNeverStarted)
	c.fire(open, "refused")
}

func (c *CallTable) connectionLost(target ident.Instance) {
	for _, open := range c.sortedCalls() {
		for _, attempt := range open.attempts {
			if attempt.open && attempt.target == target {
				open.current = attempt
				c.fire(open, "silent")
			}
		}
	}
}

func (c *CallTable) streamProgress(event StreamProgress) {
	open, attempt := c.findOpenAttempt(event.ID)
	if open == nil {
		return
	}
	attempt.waitingSince = c.now
	open.delivered = max(open.delivered, event.Offset)
}

func (c *CallTable) streamBroken(id AttemptID) {
	if open, attempt := c.findOpenAttempt(id); open != nil {
		open.current = attempt
		c.fire(open, "broken")
	}
}

func (c *CallTable) callerDisconnected(request ident.Request) {
	open := c.calls[request]
	if open == nil {
		return
	}
	open.callerDisconnected = true
	c.fire(open, "caller-gone")
}

func (c *CallTable) crashReported(report CrashReport) {
	for _, notice := range c.suspects.RecordCrash(c.now, report) {
		c.act(SendQuarantine{notice})
	}
}

func (c *CallTable) tick() {
	c.suspects.Expire(c.now)
	for _, open := range c.sortedCalls() {
		c.tickCall(open)
	}
}

func (c *CallTable) tickCall(open *openCall) {
	if open.state != callRevoking && open.state != callRunning && !c.now.Before(open.Deadline) {
		c.fire(open, "deadline")
	}
	switch {
	case open.state == callRouting && !open.rerouteAt.IsZero() && !c.now.Before(open.rerouteAt):
		c.reroute(open)
	case open.state == callRevoking && !c.now.Before(open.giveUpAt):
		c.fire(open, "give-up")
	case open.state == callRunning && !open.runUntil.IsZero() && !c.now.Before(open.runUntil):
		c.fire(open, "give-up")
	}
	c.tickAttempts(open)
}

func (c *CallTable) reroute(open *openCall) {
	open.rerouteAt = time.Time{}
	if c.refuseQuarantined(open) {
		return
	}
	c.requestRoute(open, false)
}

func (c *CallTable) tickAttempts(open *openCall) {
	for _, attempt := range open.attempts {
		if open.state == callDone || !attempt.open {
			continue
		}
		open.current = attempt
		waited := c.now.Sub(attempt.waitingSince)
		limit := c.config.SilenceAfter
		if !attempt.acknowledged {
			limit = c.config.AckWithin
		}
		if !attempt.started && c.config.HedgeAfter > 0 && c.now.Sub(attempt.sentAt) >= c.config.HedgeAfter {
			c.fire(open, "hedge")
		}
		if waited < limit {
			continue
		}
		if attempt.probes < c.config.Probes {
			c.fire(open, "silent")
			continue
		}
		c.endInDoubt(open, attempt)
		c.fire(open, "unreachable")
	}
}
