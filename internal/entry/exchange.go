package entry

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/relay"
)

// progressInterval is the least time between two reports of how far a stream got.
const progressInterval = 200 * time.Millisecond

// exchange is one call of a caller: the answers of its attempts come in, and one of them
// goes out to the caller.
type exchange struct {
	entry   *Entry
	id      ident.Request
	writer  http.ResponseWriter
	request *http.Request
	payload *relay.Payload

	mu           sync.Mutex
	instructions []control.Action
	notify       chan struct{}
	answers      map[attempt.Attempt]*relay.Execution
	// streaming is the attempt whose answer is being written to the caller.
	streaming *attempt.Attempt
	// written is closed when the answer of the streaming attempt was copied.
	written  chan struct{}
	writeErr error
	length   int64
}

func newExchange(e *Entry, w http.ResponseWriter, r *http.Request, id ident.Request, payload *relay.Payload) *exchange {
	return &exchange{
		entry:   e,
		id:      id,
		writer:  w,
		request: r,
		payload: payload,
		notify:  make(chan struct{}, 1),
		answers: map[attempt.Attempt]*relay.Execution{},
	}
}

func (x *exchange) instruct(instruction control.Action) {
	x.mu.Lock()
	x.instructions = append(x.instructions, instruction)
	x.mu.Unlock()
	select {
	case x.notify <- struct{}{}:
	default:
	}
}

func (x *exchange) take() []control.Action {
	x.mu.Lock()
	defer x.mu.Unlock()
	taken := x.instructions
	x.instructions = nil
	return taken
}

// run carries out instructions until the call has its outcome.
func (x *exchange) run() {
	left := x.request.Context().Done()
	for {
		select {
		case <-x.notify:
		case <-left:
			left = nil
			x.entry.host.Post(control.CallerDisconnected{Request: x.id})
		case <-x.entry.host.Context().Done():
			x.cut()
			return
		}
		for _, instruction := range x.take() {
			switch instruction := instruction.(type) {
			case control.OpenAttempt:
				x.openAttempt(instruction)
			case control.ResumeAttempt:
				x.resumeAttempt(instruction.Resume)
			case control.FinishCall:
				x.finish(instruction)
				return
			}
		}
	}
}

// cut ends a call whose process stops before the outcome is known.
func (x *exchange) cut() {
	if x.isStreaming() {
		<-x.written
		abortConnection()
	}
	writeProblem(x.writer, outcome.InDoubt(outcome.CauseConnectionLost, ""))
}

func (x *exchange) isStreaming() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.streaming != nil
}

// answer returns the buffer of an attempt's answer.
func (x *exchange) answer(id attempt.Attempt) *relay.Execution {
	x.mu.Lock()
	defer x.mu.Unlock()
	answer := x.answers[id]
	if answer == nil {
		answer = relay.NewExecution(maxAnswerBytes)
		x.answers[id] = answer
	}
	return answer
}

// finish delivers the outcome and reports what the caller was told.
func (x *exchange) finish(finished control.FinishCall) {
	result := x.deliver(finished)
	x.entry.host.Post(control.CallDelivered{Request: x.id, Outcome: result})
	if result.Kind != outcome.Served && x.isStreaming() {
		abortConnection()
	}
}

// abortConnection ends a handler so that the caller sees an answer that is not whole. This
// panic is the way of net/http to do so, which recovers from it; no invariant is broken.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

func (x *exchange) deliver(finished control.FinishCall) outcome.Outcome {
	if finished.Outcome.Kind != outcome.Served {
		if x.isStreaming() {
			x.endStream(finished)
			return x.cutShort(finished.Outcome)
		}
		writeProblem(x.writer, finished.Outcome)
		return finished.Outcome
	}
	if x.isStreaming() {
		return x.deliverStream(finished)
	}
	return x.deliverWhole(finished)
}

// cutShort returns the outcome of an answer of which the caller got a part.
func (x *exchange) cutShort(result outcome.Outcome) outcome.Outcome {
	if result.Kind == outcome.NotRun || result.Kind == outcome.Served {
		return outcome.InDoubt(outcome.CauseBrokenStream, result.RunKey)
	}
	return result
}

// deliverWhole writes an answer that is complete.
func (x *exchange) deliverWhole(finished control.FinishCall) outcome.Outcome {
	head, body := x.answer(finished.Source).Content()
	if head == nil || int64(len(body)) != finished.Answer.Length {
		lost := outcome.InDoubt(outcome.CauseBrokenStream, "")
		writeProblem(x.writer, lost)
		return lost
	}
	x.writeHead(*head)
	x.writer.Header().Set(HeaderOutcome, outcome.Served.String())
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.extendWrite()
	x.writer.WriteHeader(head.Status)
	if _, err := x.writer.Write(body); err != nil {
		return outcome.InDoubt(outcome.CauseCallerGone, "")
	}
	if err := http.NewResponseController(x.writer).Flush(); err != nil {
		return outcome.InDoubt(outcome.CauseCallerGone, "")
	}
	return finished.Outcome
}

// deliverStream waits until a streamed answer is written whole.
func (x *exchange) deliverStream(finished control.FinishCall) outcome.Outcome {
	if *x.streaming != finished.Source {
		x.endStream(finished)
		return outcome.InDoubt(outcome.CauseBrokenStream, "")
	}
	x.endStream(finished)
	if x.writeErr != nil {
		return outcome.InDoubt(outcome.CauseCallerGone, "")
	}
	if x.length != finished.Answer.Length {
		return outcome.InDoubt(outcome.CauseBrokenStream, "")
	}
	x.writer.Header().Set(HeaderOutcome, outcome.Served.String())
	return finished.Outcome
}

// endStream ends the copying to the caller and waits for it.
func (x *exchange) endStream(finished control.FinishCall) {
	x.answer(*x.streaming).End(attempt.Reply{Outcome: finished.Outcome})
	<-x.written
}

func (x *exchange) writeHead(head relay.AnswerHead) {
	header := x.writer.Header()
	for _, field := range head.Header {
		if answerHeaders[http.CanonicalHeaderKey(field.Name)] {
			header.Add(field.Name, field.Value)
		}
	}
}

// answerHeaders are the header fields of a backend server's answer that callers get.
var answerHeaders = map[string]bool{
	"Content-Type":     true,
	"Content-Language": true,
	"Etag":             true,
	"Last-Modified":    true,
	"Location":         true,
	"Cache-Control":    true,
}

// extendWrite bounds the wait of the next write to the caller.
func (x *exchange) extendWrite() {
	_ = http.NewResponseController(x.writer).SetWriteDeadline(time.Now().Add(x.entry.writeTimeout()))
}
