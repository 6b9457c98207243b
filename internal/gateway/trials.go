package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

const (
	// trialSettleTime is the time after which the end of a trial run has reached the other entries and been assessed.
	trialSettleTime = 300 * time.Millisecond
	// trialInterval is the interval at which a call asks for a permit until it gets one.
	trialInterval = 25 * time.Millisecond
	// trialOwners is the number of entries that are asked in turn, each of which may not answer. After them a call runs
	// without regard to other entries, since this one may be cut off from all.
	trialOwners = 3
	// trialRequestsPerOwner is the number of requests without an answer after which the next owner is asked.
	trialRequestsPerOwner = 3
)

// trialPermit is the permit of a call to run a request that has ended several backend servers.
type trialPermit struct {
	owner   netip.AddrPort
	service ident.Service
	number  uint64
}

// pendingTrial is a request for a permit that has not been granted.
type pendingTrial struct {
	owner netip.AddrPort
	// answered receives whether the run is permitted. It holds one value; more are dropped.
	answered chan bool
}

// requestOnTrial requests an assignment again once the call has a permit to run its request. Without a permit it returns the
// refusal.
func (c *call) requestOnTrial(ctx context.Context, request control.BackendRequest, refused control.Assignment) (control.Assignment, bool) {
	if c.trial = c.awaitTrial(ctx, refused, request.TrialWaitEnd()); c.trial == nil {
		return refused, ctx.Err() == nil
	}
	request.Trial = refused.Trial
	if request.Reason == control.SendReasonFirst {
		// The request has been counted already.
		request.Reason = control.SendReasonNotConnected
	}
	return c.requestAssignment(ctx, request)
}

// awaitTrial asks the owner of the service for a permit to run the call's request, which was refused without one. It returns
// nil if another run is permitted until the given time, or the call ends.
func (c *call) awaitTrial(ctx context.Context, refused control.Assignment, waitEnd time.Time) *trialPermit {
	g := c.gateway
	owners := make(chan []netip.AddrPort, 1)
	numbers := make(chan uint64, 1)
	g.enqueue(func(time.Time) {
		g.trialNumber++
		numbers <- g.trialNumber
		owners <- g.trialOwners(c.service)
	})
	permit := trialPermit{service: c.service, number: <-numbers}
	defer g.enqueue(func(time.Time) { delete(g.pendingTrials, permit.number) })
	for _, permit.owner = range <-owners {
		for unanswered := 0; unanswered < trialRequestsPerOwner; {
			permitted, answered := c.askOwner(ctx, permit, refused.TrialLasts)
			switch {
			case permitted:
				return &permit
			case ctx.Err() != nil, answered && !time.Now().Before(waitEnd):
				// The owner may have permitted the run meanwhile.
				c.releaseTrial(&permit, false)
				return nil
			case answered:
				unanswered = 0
			default:
				unanswered++
			}
		}
		g.log.WithField("owner", permit.owner).WithField("request", c.id).Info("trial-owner-silent")
	}
	permit.owner = g.socket.Address()
	if permitted, _ := c.askOwner(ctx, permit, refused.TrialLasts); permitted {
		return &permit
	}
	return nil
}

// askOwner asks the permit's owner once and waits for trialInterval. answered is true if the owner answered meanwhile.
func (c *call) askOwner(ctx context.Context, permit trialPermit, lasts time.Duration) (permitted, answered bool) {
	g := c.gateway
	answers := make(chan bool, 1)
	g.enqueue(func(now time.Time) {
		g.pendingTrials[permit.number] = pendingTrial{owner: permit.owner, answered: answers}
		request := &datagram.TrialRequest{Service: permit.service, Number: permit.number, Lasts: lasts}
		if permit.owner == g.socket.Address() {
			answers <- g.trials.Request(now, request.Service, trialRun(permit.owner, request.Number), lasts)
			return
		}
		g.socket.Send(permit.owner, datagram.Message{TrialRequest: request})
	})
	timer := time.NewTimer(trialInterval)
	defer timer.Stop()
	select {
	case permitted = <-answers:
	case <-ctx.Done():
		return false, false
	case <-timer.C:
		return false, false
	}
	if !permitted {
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return permitted, true
}

// endTrial releases the call's permit, if it has one.
func (c *call) endTrial(broken bool) {
	if c.trial != nil {
		c.releaseTrial(c.trial, broken)
		c.trial = nil
	}
}

// releaseTrial tells the permit's owner that the run has ended. broken is true if its server did not complete a response.
func (c *call) releaseTrial(permit *trialPermit, broken bool) {
	g, owner, ended := c.gateway, permit.owner, &datagram.TrialRequest{Service: permit.service, Number: permit.number, Ended: true, Broken: broken}
	g.enqueue(func(now time.Time) {
		if owner == g.socket.Address() {
			g.trials.Release(now, ended.Service, trialRun(owner, ended.Number), broken)
			return
		}
		g.socket.Send(owner, datagram.Message{TrialRequest: ended})
	})
}

// trialOwners returns the entries that may permit trial runs at the service, in the order in which they are asked.
func (g *Gateway) trialOwners(service ident.Service) []netip.AddrPort {
	entries := append(g.peerDirectory.others(), g.socket.Address())
	return attempt.TrialOwners(service, entries, netip.AddrPort.String, trialOwners)
}

// handleTrialRequest permits another entry's trial run, or records its end.
func (g *Gateway) handleTrialRequest(now time.Time, from netip.AddrPort, request *datagram.TrialRequest) {
	g.peerDirectory.recordMessage(now)
	run := trialRun(from, request.Number)
	if request.Ended {
		g.trials.Release(now, request.Service, run, request.Broken)
		return
	}
	answer := &datagram.TrialAnswer{Number: request.Number, Permitted: g.trials.Request(now, request.Service, run, request.Lasts)}
	g.socket.Send(from, datagram.Message{TrialAnswer: answer})
}

// handleTrialAnswer passes an owner's answer to the call that waits for it.
func (g *Gateway) handleTrialAnswer(now time.Time, from netip.AddrPort, answer *datagram.TrialAnswer) {
	g.peerDirectory.recordMessage(now)
	pending, known := g.pendingTrials[answer.Number]
	if !known || pending.owner != from {
		return
	}
	select {
	case pending.answered <- answer.Permitted:
	default:
		// The call has an answer already.
	}
}

// trialRun returns the identity of an entry's trial run.
func trialRun(entry netip.AddrPort, number uint64) attempt.TrialRun {
	return attempt.TrialRun{Entry: entry.String(), Number: number}
}
