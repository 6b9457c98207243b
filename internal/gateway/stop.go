package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/callerconn"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

const (
	// balancerLag is how long the external load balancer may send new connections after readiness turned false: two
	// checks one second apart, plus the time to open a connection.
	balancerLag = 2500 * time.Millisecond
	// intakeTime is the first part of a stop, in which requests are sent whose deadlines are after its end. The platform
	// tolerates that requests which were sent within 3 s are cut off at the end of a stop, and most end long before.
	intakeTime = 3 * time.Second
	// closeReserve is the last part of the stop time, reserved for the responses of the calls that are still open.
	closeReserve = 500 * time.Millisecond
	// exitReserve is the last part of closeReserve, reserved for the end of the process.
	exitReserve = 100 * time.Millisecond
	// connectionsCheckInterval is the interval at which a stop looks for connections without a request.
	connectionsCheckInterval = 20 * time.Millisecond
	// leavingRetryAfter is the Retry-After of requests that are refused because of a stop: the other entries can serve them.
	leavingRetryAfter = 50 * time.Millisecond
)

// stopPlan has the times of a planned stop.
type stopPlan struct {
	began time.Time
	// listenerCloses is when callers can open no more connections.
	listenerCloses time.Time
	// intakeEnds is the end of intakeTime, or of the first half of a short stop.
	intakeEnds time.Time
	// callsEnd is when calls that are still open end, connectionsEnd when all connections are closed.
	callsEnd, connectionsEnd time.Time
}

// planStop returns the times of a stop that begins now and may take until the limit.
func planStop(now time.Time, limit time.Duration) stopPlan {
	return stopPlan{
		began: now, listenerCloses: now.Add(min(balancerLag, limit/2)), intakeEnds: now.Add(min(intakeTime, limit/2)),
		callsEnd: now.Add(limit - closeReserve), connectionsEnd: now.Add(limit - exitReserve),
	}
}

// admits reports whether a request may be sent to a backend server now: late in the stop, only one that ends before it.
func (p *stopPlan) admits(now, deadline time.Time) bool {
	return now.Before(p.intakeEnds) || deadline.Before(p.callsEnd)
}

// stopping reports whether a planned stop has begun.
func (g *Gateway) stopping() bool { return g.stopPlan.Load() != nil }

// stop performs a planned stop. Readiness turns false first. The listener closes when the load balancer no longer sends new
// connections, and each connection when no request uses it. Every request that is read gets a response. http.Server.Shutdown
// is not used, since the server would close the connections of requests that it reads from then on without a response.
func (g *Gateway) stop(ctx context.Context, callers net.Listener) {
	plan := planStop(time.Now(), g.config.Settings.Bounds.Stop)
	g.stopPlan.Store(&plan)
	log := func() *logrus.Entry {
		return g.log.WithFields(logrus.Fields{
			"open_calls": g.openCalls.Load(), "connections": g.callers.Count(), "took": time.Since(plan.began),
		})
	}
	log().WithField("calls_end", plan.callsEnd.Sub(plan.began)).Info("stop-began")
	sleepUntil(ctx, plan.listenerCloses)
	if err := callers.Close(); err != nil {
		g.log.WithError(err).Warn("listener-not-closed")
	}
	for now := time.Now(); ctx.Err() == nil && g.callers.Count() > 0 && now.Before(plan.connectionsEnd); now = time.Now() {
		if now.After(plan.callsEnd) && g.callsContext.Err() == nil {
			log().Warn("stop-ends-calls")
			g.endCalls()
		}
		g.callers.CloseUnused(now)
		sleepUntil(ctx, now.Add(connectionsCheckInterval))
	}
	if g.callers.Count() > 0 {
		log().Warn("stop-ended")
		return
	}
	log().Info("stop-ended")
}

// sleepUntil waits for a time or the end of the context.
func sleepUntil(ctx context.Context, end time.Time) {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// admitInStop refuses the call if a planned stop has begun and the request may not be sent any more.
func (c *call) admitInStop() bool {
	plan := c.gateway.stopPlan.Load()
	if plan == nil || plan.admits(time.Now(), c.deadline) {
		return true
	}
	c.refuseLeaving()
	return false
}

// refuseLeaving ends a call because of a planned stop of the entry.
func (c *call) refuseLeaving() {
	c.endUnserved(unserved{status: http.StatusServiceUnavailable, cause: outcome.CauseLeaving, retryAfter: leavingRetryAfter})
}

// recordDropped logs and counts a connection that ended with a request which reached no call.
func (g *Gateway) recordDropped(caller *callerconn.Conn) {
	g.metrics.count("requests_dropped")
	g.log.WithFields(logrus.Fields{"caller": caller.RemoteAddr(), "stopping": g.stopping()}).Warn("request-dropped")
}
