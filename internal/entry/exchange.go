package entry

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/callermem"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/relay"
)

// progressInterval is the minimum time between two AnswerProgress events of a stream.
const progressInterval = 200 * time.Millisecond

// exchange serves one call: it buffers the answers of all its attempts and writes one of them to
// the caller.
type exchange struct {
	entry   *Entry
	id      ident.Request
	writer  http.ResponseWriter
	request *http.Request
	payload *relay.Payload
	// memory is what the call has taken from the entry's memory account.
	memory *callermem.Call

	mu      sync.Mutex
	actions []control.Action
	// notify has an element while actions may be queued.
	notify chan struct{}
	// opened is true once an attempt was opened, so that the request may have been sent. Only run uses it.
	opened bool
	// answers holds the answers received so far by attempt.
	answers map[attempt.AttemptID]*relay.AnswerBuffer
	// streaming is the attempt whose answer is being written to the caller.
	streaming *attempt.AttemptID
	// streamDone is closed when the copying of the streaming attempt's answer has ended. Then
	// streamErr is its error and streamedBytes the number of body bytes written.
	streamDone    chan struct{}
	streamErr     error
	streamedBytes int64
}

func newExchange(e *Entry, w http.ResponseWriter, r *http.Request, id ident.Request, payload *relay.Payload, memory *callermem.Call) *exchange {
	return &exchange{
		entry:   e,
		id:      id,
		writer:  w,
		request: r,
		payload: payload,
		memory:  memory,
		notify:  make(chan struct{}, 1),
		answers: map[attempt.AttemptID]*relay.AnswerBuffer{},
	}
}

func (x *exchange) enqueueAction(action control.Action) {
	x.mu.Lock()
	x.actions = append(x.actions, action)
	x.mu.Unlock()
	select {
	case x.notify <- struct{}{}:
	default:
	}
}

func (x *exchange) dequeueActions() []control.Action {
	x.mu.Lock()
	defer x.mu.Unlock()
	queued := x.actions
	x.actions = nil
	return queued
}

// run executes the queued actions until the call has an outcome.
func (x *exchange) run() {
	disconnected := x.request.Context().Done()
	for {
		select {
		case <-x.notify:
		case <-disconnected:
			disconnected = nil
			x.entry.host.Post(control.CallerDisconnected{Request: x.id})
		case <-x.entry.host.Context().Done():
			x.abort()
			return
		}
		for _, action := range x.dequeueActions() {
			switch action := action.(type) {
			case control.OpenAttempt:
				x.opened = true
				x.openAttempt(action)
			case control.ResumeAttempt:
				x.opened = true
				x.resumeAttempt(action.Resume)
			case control.FinishCall:
				x.finish(action)
				return
			}
		}
	}
}

// abort ends the call when the process stops before the outcome is known.
func (x *exchange) abort() {
	if x.isStreaming() {
		<-x.streamDone
		abortConnection()
	}
	if !x.opened {
		x.entry.writeProblem(x.writer, control.RefusedLeaving())
		return
	}
	x.entry.writeProblem(x.writer, outcome.InDoubt(outcome.CauseConnectionLost, ""))
}

func (x *exchange) isStreaming() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.streaming != nil
}

// answerBuffer returns the buffer of an attempt's answer. It creates a missing one.
func (x *exchange) answerBuffer(id attempt.AttemptID) *relay.AnswerBuffer {
	x.mu.Lock()
	defer x.mu.Unlock()
	answer := x.answers[id]
	if answer == nil {
		answer = relay.NewAnswerBuffer(maxAnswerBytes, x.memory.TakeResponse)
		x.answers[id] = answer
	}
	return answer
}

// finish delivers the outcome to the caller and posts the outcome that the caller received.
func (x *exchange) finish(finish control.FinishCall) {
	result := x.deliver(finish)
	x.entry.host.Post(control.CallDelivered{Request: x.id, Outcome: result})
	if result.Kind != outcome.Served && x.isStreaming() {
		abortConnection()
	}
}

// abortConnection ends a handler and closes the caller's connection, so that the caller detects
// an incomplete answer. The panic with http.ErrAbortHandler is the method that net/http provides
// for this: net/http recovers it, so it is not an invariant violation.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

// deliver writes the answer or the problem to the caller and returns the outcome that the caller
// received.
func (x *exchange) deliver(finish control.FinishCall) outcome.Outcome {
	if finish.Outcome.Kind != outcome.Served {
		if x.isStreaming() {
			x.endStream(finish)
			return x.partialOutcome(finish.Outcome)
		}
		x.entry.writeProblem(x.writer, finish.Outcome)
		return finish.Outcome
	}
	if x.isStreaming() {
		return x.deliverStream(finish)
	}
	return x.deliverWhole(finish)
}

// partialOutcome returns the outcome of a call whose caller received only a part of the answer: in
// doubt instead of served or not run.
func (x *exchange) partialOutcome(result outcome.Outcome) outcome.Outcome {
	if result.Kind == outcome.NotRun || result.Kind == outcome.Served {
		return outcome.InDoubt(outcome.CauseBrokenStream, result.RunKey)
	}
	return result
}

// deliverWhole writes a complete buffered answer.
func (x *exchange) deliverWhole(finish control.FinishCall) outcome.Outcome {
	head, body := x.answerBuffer(finish.Source).Content()
	if head == nil || int64(body.Len()) != finish.Answer.Length {
		incomplete := outcome.InDoubt(outcome.CauseBrokenStream, "")
		x.entry.writeProblem(x.writer, incomplete)
		return incomplete
	}
	x.setAnswerHeader(*head)
	x.writer.Header().Set(HeaderOutcome, outcome.Served.String())
	x.writer.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	x.entry.extendWriteDeadline(x.writer)
	x.writer.WriteHeader(head.Status)
	if _, err := body.WriteTo(x.writer); err != nil {
		return outcome.InDoubt(outcome.CauseCallerGone, "")
	}
	if err := http.NewResponseController(x.writer).Flush(); err != nil {
		return outcome.InDoubt(outcome.CauseCallerGone, "")
	}
	return finish.Outcome
}

// deliverStream waits until a streamed answer is written completely.
func (x *exchange) deliverStream(finish control.FinishCall) outcome.Outcome {
	if *x.streaming != finish.Source {
		x.endStream(finish)
		return outcome.InDoubt(outcome.CauseBrokenStream, "")
	}
	x.endStream(finish)
	if x.streamErr != nil {
		return outcome.InDoubt(outcome.CauseCallerGone, "")
	}
	if x.streamedBytes != finish.Answer.Length {
		return outcome.InDoubt(outcome.CauseBrokenStream, "")
	}
	x.writer.Header().Set(HeaderOutcome, outcome.Served.String())
	return finish.Outcome
}

// endStream ends the buffer of the streaming attempt and waits until it is copied to the caller.
func (x *exchange) endStream(finish control.FinishCall) {
	x.answerBuffer(*x.streaming).End(attempt.Reply{Outcome: finish.Outcome})
	<-x.streamDone
}

// setAnswerHeader adds the answer's header fields that are returned to callers.
func (x *exchange) setAnswerHeader(head relay.AnswerHead) {
	header := x.writer.Header()
	for _, field := range head.Header {
		if returnedHeaders[http.CanonicalHeaderKey(field.Name)] {
			header.Add(field.Name, field.Value)
		}
	}
}

// returnedHeaders are the header fields of a backend server's answer that are returned to callers.
var returnedHeaders = map[string]bool{
	"Content-Type":     true,
	"Content-Language": true,
	"Etag":             true,
	"Last-Modified":    true,
	"Location":         true,
	"Cache-Control":    true,
}
