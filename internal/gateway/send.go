package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// verdict is how a sending ended.
type verdict struct {
	result routing.SendResult
	// done is true if the call has its outcome.
	done bool
}

// maxForeign is the number of answers to other requests that are read past.
const maxForeign = 2

// send sends the request to the assigned server and passes the answer on.
func (c *call) send(ctx context.Context, assigned control.Assignment) verdict {
	begun := time.Now()
	verdict := c.exchange(ctx, assigned)
	latency := time.Duration(0)
	if verdict.result == routing.SendServed && !c.firstAt.IsZero() {
		latency = c.firstAt.Sub(begun)
	}
	if !verdict.done && ctx.Err() != nil {
		verdict.result = routing.SendAbandoned
	}
	c.gateway.ended(assigned.Backend.ID, verdict.result, latency)
	if c.next != nil && (verdict.done || ctx.Err() != nil) {
		c.gateway.ended(c.next.Backend.ID, routing.SendAbandoned, 0)
		c.next = nil
	}
	return verdict
}

func (c *call) exchange(ctx context.Context, assigned control.Assignment) verdict {
	if !c.authorize() {
		return verdict{result: routing.SendAbandoned, done: true}
	}
	conn, sent := c.transmit(ctx, assigned)
	if conn == nil {
		return verdict{result: sent}
	}
	stop := context.AfterFunc(ctx, func() { conn.abandon() })
	defer stop()
	watchdog := c.watchSilence(ctx, conn)
	defer func() { c.next = watchdog.stop() }()
	response, foreign, err := c.receive(conn)
	if err != nil {
		conn.abandon()
		return verdict{result: routing.SendBroken}
	}
	if foreign {
		// Bytes that belong to no request came by this connection: it is not used again.
		response.Close = true
	}
	return c.judge(ctx, conn, response, watchdog)
}

// transmit opens a connection and sends the request. Requests that must not run twice go over new connections, as
// an idle one may be closing; others over idle ones, and once more over a new one if nothing was sent.
func (c *call) transmit(ctx context.Context, assigned control.Assignment) (*upstreamConn, routing.SendResult) {
	fresh := !c.route.Repeatable()
	for {
		conn, err := c.gateway.upstreams.get(ctx, assigned.Backend.Address, fresh)
		if err != nil {
			return nil, routing.SendNotConnected
		}
		if ctx.Err() != nil {
			conn.abandon()
			return nil, routing.SendAbandoned
		}
		stop := context.AfterFunc(ctx, func() { conn.abandon() })
		err = conn.send(c.upstreamRequest(assigned))
		stop()
		switch {
		case err == nil:
			c.runs++
			return conn, 0
		case !errors.Is(err, errNothingSent):
			conn.abandon()
			c.runs++
			return nil, routing.SendBroken
		}
		conn.abandon()
		if !conn.reused {
			return nil, routing.SendNotConnected
		}
		fresh = true
	}
}

// upstreamRequest returns the request as the assigned server gets it.
func (c *call) upstreamRequest(assigned control.Assignment) *upstreamRequest {
	names := &c.gateway.headers
	header := endToEnd(c.r.Header)
	for _, name := range []string{names.Credential, names.Customer, names.BackendID, names.Priority, "Content-Length", "Expect"} {
		header.Del(name)
	}
	left := max(time.Until(c.deadline).Milliseconds(), 1)
	header.Set(names.Deadline, strconv.FormatInt(left, 10))
	header.Set(names.BackendID, assigned.Backend.ID)
	if c.access.Customer != "" {
		header.Set(names.Customer, string(c.access.Customer))
	}
	if c.lastID != "" {
		header.Set(names.LastEventID, c.lastID)
	}
	return &upstreamRequest{method: c.r.Method, uri: c.r.RequestURI, host: c.r.Host, header: header, body: c.body}
}

// receive reads the head of the answer to this request. Late answers to other requests are read past.
func (c *call) receive(conn *upstreamConn) (response *http.Response, foreign bool, err error) {
	for range maxForeign + 1 {
		response, err = conn.receive(c.r.Method)
		if err != nil {
			return nil, foreign, err
		}
		id := response.Header.Get(c.gateway.headers.RequestID)
		if id == c.id || id == "" && c.notExecuted(response) {
			return response, foreign, nil
		}
		foreign = true
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			break
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxFallbackBody)); err != nil {
			return nil, foreign, err
		}
	}
	return nil, foreign, errForeign
}

var errForeign = errors.New("the answer belongs to another request")

// notExecuted reports whether an answer is the server's word that it did not run the request.
func (c *call) notExecuted(response *http.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(c.gateway.headers.NotExecuted) != ""
}

// judge passes an answer on or decides that another server is to be asked.
func (c *call) judge(ctx context.Context, conn *upstreamConn, response *http.Response, watchdog *silenceWatchdog) verdict {
	if c.notExecuted(response) {
		return c.judgeRejection(conn, response)
	}
	signed := response.Header.Get(c.gateway.headers.Signature) != ""
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	switch {
	case success && !signed:
		conn.abandon()
		return verdict{result: routing.SendBroken}
	case success && c.route.Kind == routing.EventStream:
		return c.relay(ctx, conn, response, watchdog)
	}
	whole, err := c.readWhole(conn, response)
	if err != nil {
		return verdict{result: routing.SendBroken}
	}
	c.firstAt = time.Now()
	if success {
		c.result = outcome.Outcome{Kind: outcome.Served}
		c.pass(whole)
		return verdict{result: routing.SendServed, done: true}
	}
	c.failure = whole
	if whole.status >= http.StatusInternalServerError && c.maySendAgain() && c.runs < c.route.MaxServers && c.route.Repeatable() {
		return verdict{result: routing.SendFailed}
	}
	c.endFailed(outcome.CauseBackendError)
	return verdict{result: routing.SendFailed, done: true}
}

// judgeRejection takes a server's word that it did not run the request.
func (c *call) judgeRejection(conn *upstreamConn, response *http.Response) verdict {
	c.runs--
	whole, err := c.readWhole(conn, response)
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		return verdict{result: routing.SendMisdirected}
	case response.StatusCode == http.StatusBadRequest && err == nil:
		c.result = outcome.Refused(outcome.CauseBadRequest)
		c.pass(whole)
		return verdict{result: routing.SendServed, done: true}
	case response.Header.Get(c.gateway.headers.FaultyBackend) != "":
		return verdict{result: routing.SendGroupBroken}
	}
	return verdict{result: routing.SendRejected}
}

// readWhole reads an answer to its end. An answer without a length that ends with its connection is whole
// unless the connection was reset.
func (c *call) readWhole(conn *upstreamConn, response *http.Response) (*wholeAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxFallbackBody+1))
	if err == nil && len(body) > maxFallbackBody {
		err = errors.New("answer too large")
	}
	if err != nil {
		conn.abandon()
		return nil, err
	}
	c.gateway.upstreams.put(conn, response)
	return &wholeAnswer{status: response.StatusCode, header: response.Header, body: body}, nil
}

// pass writes a backend server's whole answer to the caller.
func (c *call) pass(whole *wholeAnswer) {
	c.status = whole.status
	if c.result.Kind == outcome.Open {
		c.result = outcome.InDoubt(outcome.CauseBackendError, "")
	}
	header := c.w.Header()
	closing := header.Get("Connection")
	for name, values := range endToEnd(whole.header) {
		header[name] = values
	}
	if closing != "" {
		header.Set("Connection", closing)
	}
	header.Set("Content-Length", strconv.Itoa(len(whole.body)))
	if whole.status == http.StatusNoContent || whole.status == http.StatusNotModified {
		header.Del("Content-Length")
	}
	c.allowWrite()
	c.w.WriteHeader(whole.status)
	if c.r.Method == http.MethodHead {
		return
	}
	if _, err := c.w.Write(whole.body); err != nil {
		c.result = outcome.InDoubt(outcome.CauseCallerGone, "")
	}
}

// allowWrite bounds the next write to the caller.
func (c *call) allowWrite() {
	if err := http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		c.gateway.log.WithError(err).Debug("no-write-deadline")
	}
}
