package attempt

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// find returns the open attempt that a message names, or counts the message as dropped.
func (c *Caller) find(id Attempt) (*openCall, *try) {
	open := c.calls[id.Request]
	if id.Entry == c.config.Self && open != nil {
		for _, try := range open.tries {
			if try.id == id && try.open {
				return open, try
			}
		}
	}
	c.dropped++
	return nil, nil
}

func (c *Caller) hear(reply Reply) {
	open, try := c.find(reply.ID)
	if open == nil {
		return
	}
	sameRun := reply.Agent == try.target
	if !sameRun && (reply.State != ReplyForeign || reply.Agent.VM != try.target.VM) {
		c.dropped++
		return
	}
	open.current = try
	open.reply = reply
	try.heardAt = c.now
	try.probes = 0
	try.acknowledged = true
	switch reply.State {
	case ReplyQueued:
		c.fire(open, "queued")
	case ReplyStarted:
		try.started = true
		c.fire(open, "started")
	case ReplyNeverStarted:
		c.resolve(open, try, reply.State)
		c.fire(open, "refused")
	case ReplyFinished:
		c.resolve(open, try, reply.State)
		c.fire(open, "finished")
	case ReplyInDoubt:
		c.lose(open, try)
		c.fire(open, "in-doubt")
	case ReplyForeign:
		c.lose(open, try)
		open.reply.Outcome = outcome.InDoubt(outcome.CauseConnectionLost, open.RunKey)
		c.fire(open, "unreachable")
	}
}

// resolve ends an attempt whose end is proven.
func (c *Caller) resolve(open *openCall, try *try, state ReplyState) {
	try.open = false
	try.neverStarted = state == ReplyNeverStarted
	if open.RunKey != "" {
		c.log.Resolve(open.Class.Service, open.RunKey, try.target, state)
	}
}

// lose ends an attempt that may have run.
func (c *Caller) lose(open *openCall, try *try) {
	try.open = false
	open.maybeRan = true
}

// unsent ends an attempt whose dispatch never left the process.
func (c *Caller) unsent(id Attempt) {
	open, try := c.find(id)
	if open == nil {
		return
	}
	open.current = try
	open.reply = Reply{ID: id, State: ReplyNeverStarted, Outcome: outcome.Refused(outcome.CauseNoBackend)}
	open.reply.Outcome.RetryAfter = retryElsewhereAfter
	c.resolve(open, try, ReplyNeverStarted)
	c.fire(open, "refused")
}

func (c *Caller) connectionLost(target ident.Instance) {
	for _, open := range c.sortedCalls() {
		for _, try := range open.tries {
			if try.open && try.target == target {
				open.current = try
				c.fire(open, "silent")
			}
		}
	}
}

func (c *Caller) progress(event StreamProgress) {
	open, try := c.find(event.ID)
	if open == nil {
		return
	}
	try.heardAt = c.now
	open.delivered = max(open.delivered, event.Offset)
}

func (c *Caller) broken(id Attempt) {
	if open, try := c.find(id); open != nil {
		open.current = try
		c.fire(open, "broken")
	}
}

func (c *Caller) callerGone(request ident.Request) {
	open := c.calls[request]
	if open == nil {
		return
	}
	open.gone = true
	c.fire(open, "caller-gone")
}

func (c *Caller) crashReported(report CrashReport) {
	for _, notice := range c.suspects.Crash(c.now, report) {
		c.act(SendQuarantine{notice})
	}
}

func (c *Caller) tick() {
	c.suspects.Expire(c.now)
	for _, open := range c.sortedCalls() {
		c.tickCall(open)
	}
}

func (c *Caller) tickCall(open *openCall) {
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
	c.tickTries(open)
}

func (c *Caller) reroute(open *openCall) {
	open.rerouteAt = time.Time{}
	if c.refuseQuarantined(open) {
		return
	}
	c.askRoute(open, false)
}

func (c *Caller) tickTries(open *openCall) {
	for _, try := range open.tries {
		if open.state == callDone || !try.open {
			continue
		}
		open.current = try
		waited := c.now.Sub(try.heardAt)
		patience := c.config.SilenceAfter
		if !try.acknowledged {
			patience = c.config.AckWithin
		}
		if !try.started && c.config.HedgeAfter > 0 && c.now.Sub(try.sentAt) >= c.config.HedgeAfter {
			c.fire(open, "hedge")
		}
		if waited < patience {
			continue
		}
		if try.probes < c.config.Probes {
			c.fire(open, "silent")
			continue
		}
		c.lose(open, try)
		c.fire(open, "unreachable")
	}
}
