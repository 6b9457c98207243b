package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/callermem"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

const (
	// defaultRetryAfter is the Retry-After of refusals for which no better value is known. It is long enough for a read
	// of the store.
	defaultRetryAfter = 500 * time.Millisecond
	// bodyTimeout bounds reading a request's body, from the arrival of the call.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds one write to a caller. Callers give up after gaps of two seconds.
	writeTimeout = 5 * time.Second
)

// call is one request of a caller and the state of serving it.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	// key identifies the call within the process; id is the caller's identifier.
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
	// bodyRead is true once the body is complete, bodyInvalid if its end can't be found because reading it has failed.
	bodyRead, bodyInvalid bool
	// cachedFingerprint is zero until fingerprint is called.
	cachedFingerprint attempt.Fingerprint
	// cachedParts and cachedPartTraits are the results of sharedParts and partTraits; they are valid if partsRead is true.
	cachedParts      []ident.PromptPart
	cachedPartTraits []attempt.Fingerprint
	partsRead        bool
	// memory is what the call has taken from the gateway's memory account.
	memory callermem.Call
	// memoryUse is the state of the memory account because of which the call was refused; nil if it was not.
	memoryUse *admission.MemoryUse

	// tried has the IDs of the backend servers at which a send ended without an outcome of the call, including those to
	// which no connection could be opened.
	tried []string
	// replacement is the backend server that continues a stalled stream.
	replacement *control.Assignment
	// moved is true if the last send ended because its stream moved away from a slow rank.
	moved bool
	// trial is the permit of the present send of a suspect; nil for other sends.
	trial *trialPermit
	// runs records the backend servers that may have run the request.
	runs attempt.Runs
	// endedByClose is true if only the end of the connection marked the end of the last response.
	endedByClose bool
	// connectionRefused is true if the last backend server refused the connection.
	connectionRefused bool
	// headWritten is true once the head of a response has been written, started once that of a streamed one has.
	headWritten, started bool
	// lastEventID is the ID of the last event of a stream that the caller has.
	lastEventID string
	// failureResponse is a backend server's error response. The caller gets it if the call is not served otherwise.
	failureResponse *bufferedResponse
	result          outcome.Outcome
	status          int
	// assigned is the last assignment and lastResult the result of the last send, for the log.
	assigned    control.Assignment
	lastResult  routing.SendResult
	firstByteAt time.Time
	// unfollow stops followCaller; nil if the call does not end when its caller leaves.
	unfollow func() bool
	// refusedRepeat is the state of the limit on repeats because of which the call was refused; nil if it was not.
	refusedRepeat *attempt.RepeatStatus
	// lastEventAt is when the last event of a stream was passed on; longestGap is the longest time between two events.
	lastEventAt time.Time
	longestGap  time.Duration
	// accountKey is the key under which the call is counted while accountOpen is true.
	accountKey  admission.ClassKey
	accountOpen bool
}

// bufferedResponse is a backend server's response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.openCalls.Add(1)
	defer g.openCalls.Add(-1)
	if g.lastCallAt.Swap(int64(bootTime())) < int64(bootTime()-idleAfter) {
		g.follower.Wake()
	}
	c := &call{
		gateway: g, w: w, r: r, key: g.callCounter.Add(1), id: r.Header.Get(g.headers.RequestID),
		arrived: time.Now(), table: g.table.Load(), lastEventID: r.Header.Get(g.headers.LastEventID),
		memory: callermem.Call{Account: g.memory},
	}
	g.callers.RecordRequest(r)
	defer c.closeAccount()
	defer func() {
		if fault := recover(); fault != nil {
			c.endPanicked(fault)
		}
		c.memory.Return()
		c.logOutcome()
		if c.response() != responseComplete || c.bodyInvalid && !c.closesConnection() {
			// Without a response net/http would write an empty success. It has no other way to end a response so that the caller
			// sees that it is truncated, and none to close a connection after a response that does not announce it.
			panic(http.ErrAbortHandler)
		}
	}()
	identified := c.identify()
	c.openAccount()
	if !identified || !c.readBody() {
		c.memory.Return()
		c.discardBody()
		return
	}
	c.serve()
}

// bodyLimit returns the greatest size of the body.
func (c *call) bodyLimit() int64 {
	if c.table == nil {
		return 0
	}
	return int64(c.table.Limits.BodyBytes)
}

// readBody reads the whole body, so that the request can be sent more than once. If there is no memory for it, the call is refused
// before it is read.
func (c *call) readBody() bool {
	controller := http.NewResponseController(c.w)
	if err := controller.SetReadDeadline(c.arrived.Add(bodyTimeout)); err != nil {
		c.gateway.log.WithError(err).Debug("no-read-deadline")
	}
	keepReading := context.AfterFunc(c.gateway.callsContext, func() {
		// An error means that the connection has already ended.
		_ = controller.SetReadDeadline(time.Now())
	})
	body, err := []byte(nil), error(&http.MaxBytesError{Limit: c.bodyLimit()})
	if c.r.ContentLength <= c.bodyLimit() {
		body, err = callermem.ReadAll(http.MaxBytesReader(c.w, c.r.Body, c.bodyLimit()), c.r.ContentLength, c.bodyLimit(), c.takeRequestMemory)
	}
	if !keepReading() {
		c.refuseLeaving()
		return false
	}
	if err != nil {
		var tooLarge *http.MaxBytesError
		switch {
		case c.gateway.callers.Evicted(c.r.Context()):
			c.bodyInvalid = true
			c.refuseForMemory()
		case errors.As(err, &tooLarge):
			c.endUnserved(unserved{status: http.StatusRequestEntityTooLarge, cause: outcome.CauseTooLarge})
		case errors.Is(err, callermem.ErrFull):
			c.refuseForMemory()
		default:
			c.bodyInvalid = true
			c.endUnserved(unserved{status: http.StatusBadRequest, cause: outcome.CauseBadRequest})
		}
		return false
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		c.gateway.log.WithError(err).Debug("no-read-deadline")
	}
	c.body, c.bodyRead = body, true
	c.gateway.callers.RecordRead(c.r.Context())
	return true
}

// serve sends the request to one backend server after another until the call has an outcome.
func (c *call) serve() {
	c.deadline = c.computeDeadline()
	c.service = c.route.Choose(rand.Uint64())
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.r.Context()), c.deadline)
	defer cancel()
	defer context.AfterFunc(c.gateway.callsContext, cancel)()
	defer c.releaseReplacement()
	if !c.admitInStop() {
		return
	}
	reason := control.SendReasonFirst
	for {
		c.followCaller(cancel)
		assigned, ok := c.nextAssignment(ctx, reason)
		if !ok || assigned.Cause != outcome.CauseNone {
			c.endTrial(false)
			c.endUnassigned(ctx, assigned)
			return
		}
		c.assigned = assigned
		result := c.send(ctx, assigned)
		c.lastResult = result.sendResult
		c.endTrial(result.sendResult == routing.SendBroken || result.sendResult == routing.SendAbandoned)
		c.gateway.metrics.countSend(result.sendResult.String())
		if result.done {
			return
		}
		if ctx.Err() != nil {
			c.endExpired()
			return
		}
		c.tried = append(c.tried, assigned.Backend.ID)
		reason = control.SendReasonRepeat
		if result.sendResult == routing.SendNotConnected || result.sendResult == routing.SendEvacuated {
			reason = control.SendReasonNotConnected
		}
		if !c.maySendAgain() {
			c.endFailed(outcome.CauseBackendError)
			return
		}
	}
}

// followCaller ends the call's context when its caller leaves.
func (c *call) followCaller(cancel context.CancelFunc) {
	if c.unfollow == nil {
		c.unfollow = context.AfterFunc(c.r.Context(), cancel)
	}
}

// commit decides immediately before a send whether the call ends when its caller leaves. A caller that ends its direction of the
// connection may still read, which cannot be told from one that has closed it. What must not run twice is therefore completed once
// it is sent: ending it would leave a caller that still reads in doubt. commit returns false if the caller has left.
func (c *call) commit() bool {
	if c.route.Kind != routing.NotIdempotent {
		return c.r.Context().Err() == nil
	}
	following := c.unfollow()
	c.unfollow = nil
	return following
}

// releaseReplacement ends the assignment of a backend server that was to continue a stream, if the call ends before it does.
func (c *call) releaseReplacement() {
	if c.replacement != nil {
		c.gateway.recordSendEnd(c.replacement, routing.SendAbandoned, 0, nil)
		c.replacement = nil
	}
}

// nextAssignment returns the backend server that continues a stalled stream if there is one, or requests an assignment.
func (c *call) nextAssignment(ctx context.Context, reason control.SendReason) (control.Assignment, bool) {
	if c.replacement != nil {
		assigned := *c.replacement
		c.replacement = nil
		return assigned, true
	}
	request := c.assignmentRequest(reason)
	assigned, ok := c.requestAssignment(ctx, request)
	if ok && assigned.Cause == outcome.CauseOnTrial {
		return c.requestOnTrial(ctx, request, assigned)
	}
	return assigned, ok
}

// replacementRequest returns the request for a backend server that continues the stream if the assigned one stalls. The
// ranks of a group stall together, so only a server of another group can continue it. Resumed is set even if the caller
// has received no event yet; it exempts the request from admission.PassGate.
func (c *call) replacementRequest() control.BackendRequest {
	request := c.assignmentRequest(control.SendReasonRepeat)
	request.Tried = append(slices.Clone(c.tried), c.assigned.Backend.ID)
	request.Resumed, request.OtherGroupOnly = true, true
	return request
}

// assignmentRequest returns the call's request for a backend server, for the control thread.
func (c *call) assignmentRequest(reason control.SendReason) control.BackendRequest {
	request := control.BackendRequest{
		ID: c.key, Service: c.service, Route: c.route, Customer: c.access.Customer, Priority: c.priority(), Reason: reason,
		Arrived: c.arrived, Deadline: c.deadline, Tried: c.tried, Resumed: c.started,
		PromptTokens: c.gateway.headers.PromptTokens(c.r.Header), Traits: c.knownTraits(),
	}
	if reason == control.SendReasonFirst {
		request.Retry = c.isRetry()
	}
	if c.started {
		// The wait for a server to resume the stream starts now, not at the call's arrival.
		request.Arrived = time.Now()
	}
	return request
}

// extraSends is the number of sends that a call may use on top of the route's MaxServers, for backend servers that do
// not run the request.
const extraSends = 2

// maySendAgain reports whether the request may be sent to another backend server.
func (c *call) maySendAgain() bool {
	if runs := c.runs.Possible(); runs > 0 && (!c.route.Repeatable() || runs >= c.route.MaxServers) {
		return false
	}
	return c.mayTryAfter(len(c.tried))
}

// mayTryAfter reports whether the request may be sent once more after a number of sends.
func (c *call) mayTryAfter(sends int) bool { return sends < c.route.MaxServers+extraSends }

// requestAssignment requests a backend server from the control thread and waits for the assignment. It returns false if
// the call ended first.
func (c *call) requestAssignment(ctx context.Context, request control.BackendRequest) (control.Assignment, bool) {
	g := c.gateway
	assignments := make(chan control.Assignment, 1)
	g.enqueue(func(now time.Time) {
		g.pending[c.key] = assignments
		g.requestBackend(now, request)
	})
	// If no server becomes free, the first Tick after WaitEnd refuses the request; in an outage or while a group serves
	// late, the first one after a later time. So Tick is called at each of these.
	for _, end := range request.DecisionTimes() {
		timer := time.NewTimer(time.Until(end))
		select {
		case assigned := <-assignments:
			timer.Stop()
			return assigned, true
		case <-ctx.Done():
			timer.Stop()
			return c.leaveQueue(ctx, assignments)
		case <-timer.C:
			g.tryEnqueue(func(now time.Time) { g.deliver(g.dispatcher.Tick(now)) })
		}
	}
	return c.leaveQueue(ctx, assignments)
}

// leaveQueue removes the call from the queue. If the control thread has assigned a backend server in the meantime, it
// is returned unless the call has ended.
func (c *call) leaveQueue(ctx context.Context, assignments chan control.Assignment) (control.Assignment, bool) {
	g := c.gateway
	removed := make(chan struct{})
	g.enqueue(func(now time.Time) {
		g.deliver(g.dispatcher.Tick(now))
		g.dispatcher.CancelRequest(now, c.key)
		delete(g.pending, c.key)
		close(removed)
	})
	<-removed
	select {
	case assigned := <-assignments:
		if ctx.Err() != nil && assigned.Cause == outcome.CauseNone {
			g.recordSendEnd(&assigned, routing.SendAbandoned, 0, nil)
			return assigned, false
		}
		return assigned, ctx.Err() == nil
	default:
		return control.Assignment{Cause: outcome.CauseBackendsFull, RetryAfter: defaultRetryAfter}, ctx.Err() == nil
	}
}

// recordSendEnd reports the result of a send to the control thread. evidence is what crashEvidence returned; it may be nil.
func (g *Gateway) recordSendEnd(assigned *control.Assignment, result routing.SendResult, latency time.Duration, evidence func(now time.Time)) {
	backend, suspect := assigned.Backend.ID, assigned.Suspect
	g.enqueue(func(now time.Time) {
		if suspect {
			g.dispatcher.RecordSuspectEnd(backend)
		}
		if evidence != nil {
			evidence(now)
		}
		g.deliver(g.dispatcher.RecordEnd(now, backend, result, latency))
		if g.dispatcher.NeedsListing() {
			g.applyListing(now)
		}
	})
}

// logOutcome writes the log line and the metrics of a completed call.
func (c *call) logOutcome() {
	g := c.gateway
	requestKind := ""
	fields := logrus.Fields{
		"request": c.id, "outcome": c.result.Kind, "cause": c.result.Cause, "status": c.status,
		"response": c.response(), "total_ms": time.Since(c.arrived).Milliseconds(), "tries": len(c.tried), "runs": c.runs.Possible(),
		"config_age_ms": g.configurationAge().Milliseconds(),
	}
	if c.table != nil {
		fields["config"] = c.table.Version
	}
	if c.route != nil {
		requestKind = c.route.Kind.String()
		fields["route"], fields["service"], fields["customer"] = c.route.Name, c.service, c.access.Customer
	}
	if a := c.assigned; a.Request != 0 {
		fields["backend"], fields["address"] = a.Backend.ID, a.Backend.Address
		fields["waited_ms"], fields["load"] = a.Waited.Milliseconds(), a.Load
		fields["last_result"] = c.lastResult
		if a.Suspect {
			fields["suspect"] = true
		}
		if a.Cause == outcome.CauseOnTrial {
			fields["on_trial"] = a.Trial
		}
		if a.ReportAge >= 0 {
			addPassFields(fields, &a)
		}
		g.metrics.waitTimes.RecordDuration(a.Waited)
	}
	if c.cachedFingerprint != (attempt.Fingerprint{}) {
		fields["fingerprint"] = c.cachedFingerprint
	}
	if c.result.Cause == outcome.CauseQuarantined {
		fields["quarantined"], fields["prompt_parts"] = c.assigned.Quarantined, c.sharedParts()
	}
	if c.result.CausedBy != "" {
		fields["caused_by"], fields["share"] = c.result.CausedBy, c.assigned.Share
	}
	if r := c.refusedRepeat; r != nil {
		fields["repeats"], fields["repeat_limit"], fields["repeat_requests"] = r.Repeats, r.Limit, r.Requests
	}
	if use := c.memoryUse; use != nil {
		fields["body_bytes"], fields["memory_requests"], fields["memory_responses"] = c.r.ContentLength, use.Requests, use.Responses
		fields["memory_customer"], fields["memory_limit"] = use.Customer, use.Limits.Requests
	}
	if c.result.RetryAfter > 0 {
		fields["retry_after_ms"] = c.result.RetryAfter.Milliseconds()
	}
	if !c.firstByteAt.IsZero() {
		fields["first_ms"] = c.firstByteAt.Sub(c.arrived).Milliseconds()
		g.metrics.firstByteTimes.RecordDuration(c.firstByteAt.Sub(c.arrived))
	}
	if c.longestGap > 0 {
		fields["longest_gap_ms"] = c.longestGap.Milliseconds()
	}
	g.metrics.callTimes.RecordDuration(time.Since(c.arrived))
	g.metrics.countCall(c.result.Kind, c.result.Cause, requestKind)
	if c.response() == responseComplete || c.result.Cause == outcome.CauseCallerGone {
		g.log.WithFields(fields).Info("call")
		return
	}
	g.metrics.countUnanswered(c.response(), c.result.Cause, requestKind)
	g.log.WithFields(fields).Warn("call")
}
