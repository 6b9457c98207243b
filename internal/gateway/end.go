package gateway

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/callerconn"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// unserved says why a call is not served, and how its caller is told if no server can have run the request.
type unserved struct {
	status     int
	cause      outcome.Cause
	retryAfter time.Duration
}

// endUnserved ends a call that is not served. All such ends go through it, since only the runs of the call decide whether
// the caller is told that the request did not run. If a server may have run it, the caller gets that server's error
// response if there is one, and otherwise status 502 or 504, whatever status the reason has.
func (c *call) endUnserved(reason unserved) {
	c.result = c.runs.Unserved(reason.cause)
	switch {
	case c.started:
		// ServeHTTP cuts the response off. Its status is that of its head.
	case c.runs.Possible() == 0:
		c.result.RetryAfter = reason.retryAfter
		c.respond(reason.status)
	case c.failureResponse != nil && !promisesNotRun(c.failureResponse.status):
		c.writeBuffered(c.failureResponse)
	case reason.cause == outcome.CauseTimeout:
		c.respond(http.StatusGatewayTimeout)
	default:
		c.respond(http.StatusBadGateway)
	}
}

// promisesNotRun reports whether callers take a response with the status as a promise that the request did not run. A server
// that may have run it can answer with such a status too; the response is then not passed on.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// textType is the Content-Type of the gateway's own responses.
const textType = "text/plain; charset=utf-8"

// responseText returns the body of the gateway's own response for a result.
func responseText(result outcome.Outcome) string {
	return result.Kind.String() + ": " + string(result.Cause) + "\n"
}

// retryAfter returns the Retry-After of a result, in seconds.
func retryAfter(result outcome.Outcome) string {
	return strconv.FormatFloat(result.RetryAfter.Seconds(), 'f', 3, 64)
}

// connectionRefusal returns the response to callers for whose connections there is no room.
func connectionRefusal() []byte {
	var none attempt.Runs
	result := none.Unserved(outcome.CauseConnectionsFull)
	result.RetryAfter = defaultRetryAfter
	return callerconn.Refusal(http.Header{"Content-Type": {textType}, "Retry-After": {retryAfter(result)}}, responseText(result))
}

// respond writes a response of the gateway itself, also if the caller has ended its direction of the connection: it may still read.
func (c *call) respond(status int) {
	c.status = status
	header := c.w.Header()
	header.Set("Content-Type", textType)
	if c.id != "" {
		header.Set(c.gateway.headers.RequestID, c.id)
	}
	if c.result.RetryAfter > 0 {
		header.Set("Retry-After", retryAfter(c.result))
	}
	text := responseText(c.result)
	header.Set("Content-Length", strconv.Itoa(len(text)))
	if !c.bodyRead {
		callerconn.RespondBeforeBody(c.w, c.r, c.discardLimit(), c.bodyInvalid)
	}
	c.writeHead(status)
	if _, err := io.WriteString(c.w, text); err != nil {
		c.gateway.log.WithError(err).WithField("request", c.id).Debug("caller-gone")
	}
}

// responseState tells how much of a response the caller has got.
type responseState string

const (
	responseNone     responseState = "none"
	responsePartial  responseState = "partial"
	responseComplete responseState = "complete"
)

// response returns how much of the response has been written at the end of the call.
func (c *call) response() responseState {
	switch {
	case !c.headWritten:
		return responseNone
	case c.started && c.result.Kind != outcome.Served:
		return responsePartial
	}
	return responseComplete
}

// endPanicked ends a call in which a fault of the gateway itself caused a panic.
func (c *call) endPanicked(fault any) {
	c.gateway.metrics.count("call_panics")
	c.gateway.log.WithFields(logrus.Fields{"request": c.id, "fault": fault, "stack": string(debug.Stack())}).Error("call-panicked")
	if !c.headWritten {
		c.bodyInvalid = !c.bodyRead
		c.endFailed(outcome.CauseInternalError)
		return
	}
	c.started, c.result = true, c.runs.Unserved(outcome.CauseInternalError)
}

// writeHead writes the head of the response. All heads go through it, since a call that ends without one aborts its connection.
func (c *call) writeHead(status int) {
	c.headWritten = true
	c.extendWriteDeadline()
	if c.gateway.stopping() || c.gateway.callers.Crowded() {
		c.w.Header().Set("Connection", "close")
	}
	c.w.WriteHeader(status)
}

// endUnassigned ends a call that was not assigned a backend server.
func (c *call) endUnassigned(ctx context.Context, refused control.Assignment) {
	if ctx.Err() != nil {
		c.endExpired()
		return
	}
	if c.runs.Possible() == 0 {
		c.assigned = refused
	}
	c.endUnserved(unserved{status: http.StatusServiceUnavailable, cause: refused.Cause, retryAfter: refused.RetryAfter})
	c.result.CausedBy = refused.CausedBy
	c.refusedRepeat = refused.Repeats
}

// endExpired ends a call that a planned stop ends, whose caller disconnected or whose deadline passed.
func (c *call) endExpired() {
	switch {
	case c.gateway.callsContext.Err() != nil:
		c.refuseLeaving()
	case c.r.Context().Err() != nil:
		c.endUnserved(unserved{status: http.StatusServiceUnavailable, cause: outcome.CauseCallerGone, retryAfter: defaultRetryAfter})
	case c.runs.Possible() == 0:
		c.endUnserved(unserved{status: http.StatusServiceUnavailable, cause: outcome.CauseDeadline, retryAfter: defaultRetryAfter})
	default:
		c.endUnserved(unserved{cause: outcome.CauseTimeout})
	}
}

// endFailed ends a call that may not be sent to another backend server.
func (c *call) endFailed(cause outcome.Cause) {
	c.endUnserved(unserved{status: http.StatusServiceUnavailable, cause: cause, retryAfter: defaultRetryAfter})
}

// endBadRequest ends a call whose request a server rejected as invalid without running it. The caller gets that response
// unless another server may have run the request before.
func (c *call) endBadRequest(rejection *bufferedResponse) {
	if c.started || c.runs.Possible() > 0 {
		c.endFailed(outcome.CauseBadRequest)
		return
	}
	c.result = c.runs.Unserved(outcome.CauseBadRequest)
	c.writeBuffered(rejection)
}
