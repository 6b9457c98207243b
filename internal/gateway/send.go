package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/callermem"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// exchangeResult is the result of sending a call's request to one backend server.
type exchangeResult struct {
	sendResult routing.SendResult
	// done is true if the call has its outcome and must not be sent again.
	done bool
}

// maxMismatchedResponses is the number of responses to other requests that are discarded before the connection is given up.
const maxMismatchedResponses = 2

// send sends the request to the assigned backend server, passes the response on and reports the result to the control
// thread.
func (c *call) send(ctx context.Context, assigned control.Assignment) exchangeResult {
	start := time.Now()
	c.moved = false
	recorded := false
	defer func() {
		if !recorded { // exchange panicked
			c.gateway.recordSendEnd(&assigned, routing.SendBroken, 0, nil)
		}
	}()
	result := c.exchange(ctx, assigned)
	recorded = true
	latency := time.Duration(0)
	if result.sendResult == routing.SendServed && !c.firstByteAt.IsZero() {
		latency = c.firstByteAt.Sub(start)
	}
	if !result.done && (ctx.Err() != nil || c.moved) {
		result.sendResult = routing.SendAbandoned
	}
	evidence := c.crashEvidence(ctx, assigned.Backend, start, result.sendResult, c.replacement == nil)
	c.gateway.recordSendEnd(&assigned, result.sendResult, latency, evidence)
	if result.done || ctx.Err() != nil {
		c.releaseReplacement()
	}
	return result
}

// exchange checks the credential again if the request cannot have run, sends the request and handles the response.
func (c *call) exchange(ctx context.Context, assigned control.Assignment) exchangeResult {
	if c.runs.Possible() == 0 && (!c.authorize() || !c.admitInStop()) {
		return exchangeResult{sendResult: routing.SendAbandoned, done: true}
	}
	conn, sent := c.transmit(ctx, assigned)
	if conn == nil {
		return exchangeResult{sendResult: sent}
	}
	stop := context.AfterFunc(ctx, func() { conn.reset() })
	defer stop()
	watchdog := c.startWatchdog(ctx, conn)
	defer func() { c.replacement, c.moved = watchdog.stop() }()
	response, mismatched, err := c.receive(conn)
	if err != nil {
		if response != nil {
			c.gateway.recordStatement(assigned.Backend, response)
		}
		conn.reset()
		return exchangeResult{sendResult: routing.SendBroken}
	}
	if mismatched {
		// The server sent a response that belongs to no request of this connection: the connection is not reused.
		response.Close = true
	}
	c.gateway.recordStatement(assigned.Backend, response)
	return c.handleResponse(ctx, conn, response, watchdog)
}

// transmit gets a connection and sends the request. A request that must not run twice uses a new connection, since the
// server may be closing an idle one. Other requests use an idle connection, and a new one if no byte could be sent on
// it.
func (c *call) transmit(ctx context.Context, assigned control.Assignment) (*backendConn, routing.SendResult) {
	newOnly, committed := !c.route.Repeatable(), false
	for {
		conn, err := c.gateway.pool.get(ctx, assigned.Backend.Address, c.id, newOnly)
		c.connectionRefused = errors.Is(err, syscall.ECONNREFUSED)
		if err != nil {
			return nil, routing.SendNotConnected
		}
		if ctx.Err() != nil {
			conn.reset()
			return nil, routing.SendAbandoned
		}
		if c.evacuatedSinceAssignment(ctx, &assigned.Backend) {
			conn.reset()
			return nil, routing.SendEvacuated
		}
		if !committed {
			if committed = c.commit(); !committed {
				conn.reset()
				return nil, routing.SendAbandoned
			}
		}
		stop := context.AfterFunc(ctx, func() { conn.reset() })
		err = conn.send(c.backendRequest(assigned))
		stop()
		switch {
		case err == nil:
			c.runs.RecordSent()
			return conn, 0
		case !errors.Is(err, errNothingSent):
			conn.reset()
			c.runs.RecordSent()
			return nil, routing.SendBroken
		}
		conn.reset()
		if !conn.reused {
			return nil, routing.SendNotConnected
		}
		newOnly = true
	}
}

// backendRequest returns the request with the header fields that the assigned backend server gets.
func (c *call) backendRequest(assigned control.Assignment) *backendRequest {
	names := &c.gateway.headers
	header := endToEndHeader(c.r.Header)
	for _, name := range []string{names.Credential, names.Customer, names.BackendID, names.Priority, "Content-Length", "Expect"} {
		header.Del(name)
	}
	remaining := max(time.Until(c.deadline).Milliseconds(), 1)
	header.Set(names.Deadline, strconv.FormatInt(remaining, 10))
	header.Set(names.BackendID, assigned.Backend.ID)
	if c.access.Customer != "" {
		header.Set(names.Customer, string(c.access.Customer))
	}
	if c.lastEventID != "" {
		header.Set(names.LastEventID, c.lastEventID)
	}
	return &backendRequest{method: c.r.Method, uri: c.r.RequestURI, host: c.r.Host, header: header, body: c.body}
}

// receive reads the head of the response to this request. It discards late responses to other requests; mismatched is
// true if there were any. With an error it returns the response that may belong to another request, if there is one.
func (c *call) receive(conn *backendConn) (response *http.Response, mismatched bool, err error) {
	for range maxMismatchedResponses + 1 {
		response, err = conn.receive(c.r.Method)
		if err != nil {
			return nil, mismatched, err
		}
		id := response.Header.Get(c.gateway.headers.RequestID)
		unnamedRefusal := id == "" && c.notExecuted(response)
		if id == c.id || unnamedRefusal && !conn.reused {
			return response, mismatched, nil
		}
		if unnamedRefusal {
			// It may be one of an earlier request on this connection, or of this one, which then gets no further response.
			return response, true, errMismatchedResponse
		}
		mismatched = true
		if endsByClose(response) {
			break
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBody)); err != nil {
			return nil, mismatched, err
		}
	}
	return nil, mismatched, errMismatchedResponse
}

var errMismatchedResponse = errors.New("response belongs to another request")

// notExecuted reports whether the response states that the server did not run the request.
func (c *call) notExecuted(response *http.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(c.gateway.headers.NotExecuted) != ""
}

// handleResponse passes a response on to the caller, or returns a result with which the call may be sent to another
// backend server.
func (c *call) handleResponse(ctx context.Context, conn *backendConn, response *http.Response, watchdog *stallWatchdog) exchangeResult {
	if c.notExecuted(response) {
		return c.handleRejection(conn, response)
	}
	c.endedByClose = endsByClose(response)
	signed := response.Header.Get(c.gateway.headers.Signature) != ""
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	switch {
	case success && !signed:
		conn.reset()
		return exchangeResult{sendResult: routing.SendBroken}
	case success && c.route.Kind == routing.EventStream && !c.mayContinue(response):
		conn.reset()
		return c.handleInterruption(ctx)
	case success && c.route.Kind == routing.EventStream:
		return c.relayStream(ctx, conn, response, watchdog)
	}
	buffered, err := c.bufferResponse(conn, response)
	if errors.Is(err, callermem.ErrFull) {
		return c.endForMemory(conn)
	}
	if err != nil {
		return exchangeResult{sendResult: routing.SendBroken}
	}
	c.firstByteAt = time.Now()
	if success {
		c.result = outcome.Outcome{Kind: outcome.Served}
		c.writeBuffered(buffered)
		return exchangeResult{sendResult: routing.SendServed, done: true}
	}
	c.failureResponse = buffered
	if buffered.status >= http.StatusInternalServerError && c.maySendAgain() && c.runs.Possible() < c.route.MaxServers && c.route.Repeatable() {
		return exchangeResult{sendResult: routing.SendFailed}
	}
	c.endFailed(outcome.CauseBackendError)
	return exchangeResult{sendResult: routing.SendFailed, done: true}
}

// endsByClose reports whether a response has neither a length nor chunks, so that the end of its connection marks its end.
func endsByClose(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// handleRejection handles a response which states that the server did not run the request.
func (c *call) handleRejection(conn *backendConn, response *http.Response) exchangeResult {
	c.runs.RecordNotExecuted()
	conn.refused = append(conn.refused, c.id)
	buffered, err := c.bufferResponse(conn, response)
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		return exchangeResult{sendResult: routing.SendMisdirected}
	case response.StatusCode == http.StatusBadRequest && err == nil:
		c.endBadRequest(buffered)
		return exchangeResult{sendResult: routing.SendServed, done: true}
	case response.Header.Get(c.gateway.headers.FaultyBackend) != "":
		return exchangeResult{sendResult: routing.SendGroupBroken}
	}
	return exchangeResult{sendResult: routing.SendRejected}
}

// writeBuffered writes a backend server's complete response to the caller.
func (c *call) writeBuffered(buffered *bufferedResponse) {
	c.status = buffered.status
	header := c.w.Header()
	for name, values := range endToEndHeader(buffered.header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(buffered.body)))
	if buffered.status == http.StatusNoContent || buffered.status == http.StatusNotModified {
		header.Del("Content-Length")
	}
	c.writeHead(buffered.status)
	if c.r.Method == http.MethodHead {
		return
	}
	if _, err := c.w.Write(buffered.body); err != nil {
		c.result = c.runs.Unserved(outcome.CauseCallerGone)
	}
}

// extendWriteDeadline sets the deadline of the next write to the caller.
func (c *call) extendWriteDeadline() {
	if err := http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		c.gateway.log.WithError(err).Debug("no-write-deadline")
	}
}
