package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

const (
	// notReadyRetry is the advice of an entry that can't serve yet, or not now: the time of a read of the store.
	notReadyRetry = 500 * time.Millisecond
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds one write to a caller; callers give up after gaps of two seconds.
	writeTimeout = 5 * time.Second
	// maxFallbackBody bounds the body of an answer that is kept whole before it is passed on.
	maxFallbackBody = 16 << 20
)

// call is one request of a caller on its way.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	// key identifies the call within the process, id is the caller's identifier.
	key      uint64
	id       string
	arrived  time.Time
	deadline time.Time
	table    *routing.Table
	route    *routing.Route
	service  ident.Service
	access   routing.CustomerAccess
	// credential is "" for public routes.
	credential string
	body       []byte

	tried []string
	// next is the server that takes over a silent stream.
	next *control.Assignment
	// runs is the number of servers that may have run the request.
	runs int
	// started is true once the answer's head was written.
	started bool
	lastID  string
	// failure is a backend server's own answer of failure, which is passed on if no other is to be had.
	failure *wholeAnswer
	result  outcome.Outcome
	status  int
	// What the log tells of the last decision.
	assigned control.Assignment
	last     routing.SendResult
	firstAt  time.Time
	// eventAt is when the last event of a stream was passed on, longestGap the longest pause between two.
	eventAt    time.Time
	longestGap time.Duration
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.openCalls.Add(1)
	defer g.openCalls.Add(-1)
	if g.lastCall.Swap(int64(bootTime())) < int64(bootTime()-idleAfter) {
		g.follower.Wake()
	}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{
		gateway: g, w: w, r: r, key: g.nextCall.Add(1), id: r.Header.Get(g.headers.RequestID),
		arrived: time.Now(), table: g.table.Load(), lastID: r.Header.Get(g.headers.LastEventID),
	}
	defer func() {
		c.log()
		if c.started && c.result.Kind != outcome.Served {
			// The only way that net/http offers to end an answer so that it does not look whole.
			panic(http.ErrAbortHandler)
		}
	}()
	if !c.identify() || !c.readBody() {
		return
	}
	c.serve()
}

// refuse answers a call that did not run.
func (c *call) refuse(status int, cause outcome.Cause, retryAfter time.Duration) {
	c.result = outcome.Refused(cause)
	c.result.RetryAfter = retryAfter
	c.answer(status)
}

// fail answers a call that may have run.
func (c *call) fail(status int, cause outcome.Cause) {
	c.result = outcome.InDoubt(cause, "")
	c.answer(status)
}

// answer writes an answer of the gateway's own. It leaves an answer that began to be cut.
func (c *call) answer(status int) {
	c.status = status
	if c.started || c.r.Context().Err() != nil {
		return
	}
	header := c.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if c.id != "" {
		header.Set(c.gateway.headers.RequestID, c.id)
	}
	if c.result.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(c.result.RetryAfter.Seconds(), 'f', 3, 64))
	}
	text := c.result.Kind.String() + ": " + string(c.result.Cause) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(status)
	if _, err := io.WriteString(c.w, text); err != nil {
		c.gateway.log.WithError(err).WithField("request", c.id).Debug("caller-gone")
	}
}

// identify finds the route and the customer, or refuses the call.
func (c *call) identify() bool {
	if c.table == nil {
		c.refuse(http.StatusServiceUnavailable, outcome.CauseNotReady, notReadyRetry)
		return false
	}
	if limit := c.table.Limits.HeaderBytes; limit > 0 && headerBytes(c.r) > limit {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, outcome.CauseTooLarge, 0)
		return false
	}
	c.route = c.table.Route(c.r.Host, c.r.URL.EscapedPath())
	if c.route == nil {
		c.refuseUnknown(http.StatusNotFound, outcome.CauseNoRoute)
		return false
	}
	if c.route.Public || !c.table.CredentialsRequired {
		return true
	}
	c.credential = c.r.Header.Get(c.gateway.headers.Credential)
	return c.authorize()
}

// refuseUnknown answers a call whose route or credential the table lacks. An entry that may not know the
// configuration in force does not judge.
func (c *call) refuseUnknown(status int, cause outcome.Cause) {
	if !c.gateway.currentWithin(c.gateway.config.Settings.Bounds.Configuration + proofInterval) {
		c.refuse(http.StatusServiceUnavailable, outcome.CauseNotReady, notReadyRetry)
		return
	}
	c.refuse(status, cause, 0)
}

// authorize checks the credential against the newest table, or refuses the call. It is called again before
// each sending, since time may have passed.
func (c *call) authorize() bool {
	if c.route.Public || !c.table.CredentialsRequired {
		return true
	}
	access, ok := c.gateway.table.Load().Access(c.credential)
	if !ok {
		c.refuseUnknown(http.StatusUnauthorized, outcome.CauseUnauthorized)
		return false
	}
	if !c.gateway.credentialsCurrent() {
		c.refuse(http.StatusServiceUnavailable, outcome.CauseNotReady, notReadyRetry)
		return false
	}
	c.access = access
	return true
}

// readBody reads the whole body, so that the request can be sent again.
func (c *call) readBody() bool {
	controller := http.NewResponseController(c.w)
	if err := controller.SetReadDeadline(c.arrived.Add(bodyTimeout)); err != nil {
		c.gateway.log.WithError(err).Debug("no-read-deadline")
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, int64(c.table.Limits.BodyBytes)))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			c.refuse(http.StatusRequestEntityTooLarge, outcome.CauseTooLarge, 0)
			return false
		}
		c.refuse(http.StatusBadRequest, outcome.CauseBadRequest, 0)
		return false
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		c.gateway.log.WithError(err).Debug("no-read-deadline")
	}
	c.body = body
	return true
}

// deadlineOf returns when the call is of no use any more.
func (c *call) deadlineOf() time.Time {
	end := c.arrived.Add(c.route.Timeout)
	if left, err := strconv.ParseInt(c.r.Header.Get(c.gateway.headers.Deadline), 10, 64); err == nil && left >= 0 {
		if deadline := c.arrived.Add(time.Duration(left) * time.Millisecond); deadline.Before(end) {
			end = deadline
		}
	}
	return end
}

// serve sends the request until it has its outcome.
func (c *call) serve() {
	c.deadline = c.deadlineOf()
	c.service = c.route.Choose(rand.Uint64())
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	sending := control.SendingFirst
	for {
		assigned, ok := c.nextServer(ctx, sending)
		if !ok || assigned.Cause != outcome.CauseNone {
			c.endUnassigned(ctx, assigned)
			return
		}
		c.assigned = assigned
		verdict := c.send(ctx, assigned)
		c.last = verdict.result
		c.gateway.metrics.sent(verdict.result.String())
		if verdict.done {
			return
		}
		if ctx.Err() != nil {
			c.endInTime()
			return
		}
		c.tried = append(c.tried, assigned.Backend.ID)
		sending = control.SendingRepeat
		if verdict.result == routing.SendNotConnected {
			sending = control.SendingAgain
		}
		if !c.maySendAgain() {
			c.endFailed(outcome.CauseBackendError)
			return
		}
	}
}

// nextServer returns the server that takes over a silent stream, or asks for one.
func (c *call) nextServer(ctx context.Context, sending control.Sending) (control.Assignment, bool) {
	if c.next != nil {
		assigned := *c.next
		c.next = nil
		return assigned, true
	}
	return c.ask(ctx, c.want(sending))
}

// wantInstead asks for a server in place of the assigned one, should that be silent.
func (c *call) wantInstead() control.Want {
	want := c.want(control.SendingRepeat)
	want.Tried = append(slices.Clone(c.tried), c.assigned.Backend.ID)
	want.Resumed, want.Instead = true, true
	return want
}

// want returns what the call asks the control thread for.
func (c *call) want(sending control.Sending) control.Want {
	want := control.Want{
		Request: c.key, Service: c.service, Route: c.route, Priority: c.priority(), Sending: sending,
		Arrived: c.arrived, Deadline: c.deadline, Tried: c.tried, Resumed: c.started,
		PromptTokens: c.gateway.headers.PromptTokens(c.r.Header),
	}
	if c.started {
		want.Arrived = time.Now()
	}
	return want
}

// extraSends is how many servers may turn a request down before it is given up, beside those that may run it.
const extraSends = 2

// maySendAgain reports whether a further server may get the request.
func (c *call) maySendAgain() bool {
	if c.runs > 0 && (!c.route.Repeatable() || c.runs >= c.route.MaxServers) {
		return false
	}
	return len(c.tried) < c.route.MaxServers+extraSends
}

// ask asks the control thread for a server. It returns false if the call ended first.
func (c *call) ask(ctx context.Context, want control.Want) (control.Assignment, bool) {
	g := c.gateway
	answers := make(chan control.Assignment, 1)
	g.must(func(now time.Time) {
		g.pending[c.key] = answers
		g.noteProgress()
		g.deliver(g.dispatcher.Ask(now, want))
	})
	for _, end := range []time.Time{want.WaitEnd(), want.OutageEnd()} {
		timer := time.NewTimer(time.Until(end))
		select {
		case assigned := <-answers:
			timer.Stop()
			return assigned, true
		case <-ctx.Done():
			timer.Stop()
			return c.leaveQueue(ctx, answers)
		case <-timer.C:
			g.post(func(now time.Time) { g.deliver(g.dispatcher.Tick(now)) })
		}
	}
	return c.leaveQueue(ctx, answers)
}

// leaveQueue takes the call out of the queue. A server that it was given meanwhile is used if the call still goes on.
func (c *call) leaveQueue(ctx context.Context, answers chan control.Assignment) (control.Assignment, bool) {
	g := c.gateway
	left := make(chan struct{})
	g.must(func(now time.Time) {
		g.deliver(g.dispatcher.Tick(now))
		g.dispatcher.Leave(c.key)
		delete(g.pending, c.key)
		close(left)
	})
	<-left
	select {
	case assigned := <-answers:
		if ctx.Err() != nil && assigned.Cause == outcome.CauseNone {
			g.ended(assigned.Backend.ID, routing.SendAbandoned, 0)
			return assigned, false
		}
		return assigned, ctx.Err() == nil
	default:
		return control.Assignment{Cause: outcome.CauseBackendsFull, RetryAfter: notReadyRetry}, ctx.Err() == nil
	}
}

func (c *call) priority() int {
	if c.access.HasPriority {
		return c.access.Priority
	}
	return c.route.Priority
}

// ended tells the control thread how a request at a server ended.
func (g *Gateway) ended(backend string, result routing.SendResult, latency time.Duration) {
	g.must(func(now time.Time) {
		g.deliver(g.dispatcher.Ended(now, backend, result, latency))
	})
}

// endUnassigned ends a call for which there is no server.
func (c *call) endUnassigned(ctx context.Context, refused control.Assignment) {
	switch {
	case ctx.Err() != nil:
		c.endInTime()
	case c.runs > 0 || c.started:
		c.endFailed(refused.Cause)
	default:
		c.assigned = refused
		c.refuse(http.StatusServiceUnavailable, refused.Cause, refused.RetryAfter)
	}
}

// endInTime ends a call whose caller left or whose time is up.
func (c *call) endInTime() {
	switch {
	case c.r.Context().Err() != nil:
		c.result = outcome.InDoubt(outcome.CauseCallerGone, "")
		if c.runs == 0 {
			c.result = outcome.Refused(outcome.CauseCallerGone)
		}
	case c.runs == 0:
		c.refuse(http.StatusServiceUnavailable, outcome.CauseDeadline, notReadyRetry)
	default:
		c.fail(http.StatusGatewayTimeout, outcome.CauseTimeout)
	}
}

// endFailed ends a call that no further server may get.
func (c *call) endFailed(cause outcome.Cause) {
	switch {
	case c.failure != nil && !c.started:
		c.pass(c.failure)
	case c.runs == 0 && !c.started:
		c.refuse(http.StatusServiceUnavailable, cause, notReadyRetry)
	default:
		c.fail(http.StatusBadGateway, cause)
	}
}

// log writes the line that explains the call's outcome.
func (c *call) log() {
	g := c.gateway
	kind := ""
	fields := logrus.Fields{
		"request": c.id, "outcome": c.result.Kind, "cause": c.result.Cause, "status": c.status,
		"total_ms": time.Since(c.arrived).Milliseconds(), "tries": len(c.tried), "runs": c.runs,
		"config_age_ms": g.configurationAge().Milliseconds(),
	}
	if c.table != nil {
		fields["config"] = c.table.Version
	}
	if c.route != nil {
		kind = c.route.Kind.String()
		fields["route"], fields["service"], fields["customer"] = c.route.Name, c.service, c.access.Customer
	}
	if a := c.assigned; a.Request != 0 {
		fields["backend"], fields["address"] = a.Backend.ID, a.Backend.Address
		fields["waited_ms"], fields["load"] = a.Waited.Milliseconds(), a.Load
		fields["last_result"] = c.last
		if a.PaceAge >= 0 {
			fields["prompt"], fields["predicted_first_ms"] = a.PromptTokens, a.FirstEvent.Milliseconds()
			fields["writers"], fields["pass_ms"], fields["pace_age_ms"] = a.Writers, a.Pass.Milliseconds(), a.PaceAge.Milliseconds()
		}
		g.metrics.waitTimes.RecordDuration(a.Waited)
	}
	if c.result.RetryAfter > 0 {
		fields["retry_after_ms"] = c.result.RetryAfter.Milliseconds()
	}
	if !c.firstAt.IsZero() {
		fields["first_ms"] = c.firstAt.Sub(c.arrived).Milliseconds()
		g.metrics.first.RecordDuration(c.firstAt.Sub(c.arrived))
	}
	if c.longestGap > 0 {
		fields["longest_gap_ms"] = c.longestGap.Milliseconds()
	}
	g.metrics.whole.RecordDuration(time.Since(c.arrived))
	g.metrics.ended(c.result.Kind, c.result.Cause, kind)
	g.log.WithFields(fields).Info("call")
}
