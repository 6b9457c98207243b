package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/relay"
	"github.com/bramleyspool/bramleyspool/internal/routing"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

const (
	openTimeout = 2 * time.Second
	// maxAnswerBytes is the greatest size of an answer.
	maxAnswerBytes = 8 << 20
)

// openAttempt sends a dispatch with its payload in a goroutine of its own.
func (x *exchange) openAttempt(open control.OpenAttempt) {
	payload := *x.payload
	if open.Rank != routing.NoRank {
		payload.Rank = int(open.Rank) + 1
	}
	answer := x.answer(open.Dispatch.ID)
	x.entry.host.Spawn(func(ctx context.Context) {
		x.dispatch(ctx, open.Dispatch, &payload, answer)
	})
}

func (x *exchange) dispatch(ctx context.Context, dispatch attempt.Dispatch, payload *relay.Payload, answer *relay.Execution) {
	call, err := x.call(ctx, dispatch.Target.VM)
	if err != nil {
		x.entry.host.Post(control.DispatchFailed{ID: dispatch.ID})
		return
	}
	defer call.Close()
	call.SetWriteDeadline(time.Now().Add(openTimeout))
	if call.Write(&dispatch) != nil || call.Write(payload) != nil {
		call.Abort()
		x.entry.host.Post(control.AnswerBroken{ID: dispatch.ID})
		return
	}
	x.receive(call, dispatch.ID, dispatch.Target, answer, 0)
}

func (x *exchange) resumeAttempt(resume attempt.Resume) {
	answer := x.answer(resume.ID)
	resume.Offset = answer.Answer().Length
	x.entry.host.Spawn(func(ctx context.Context) {
		call, err := x.call(ctx, resume.Target.VM)
		if err == nil {
			defer call.Close()
			call.SetWriteDeadline(time.Now().Add(openTimeout))
			err = call.Write(&resume)
		}
		if err != nil {
			x.entry.host.Post(control.AnswerBroken{ID: resume.ID})
			return
		}
		x.receive(call, resume.ID, resume.Target, answer, resume.Offset)
	})
}

func (x *exchange) call(ctx context.Context, vm ident.VM) (*wire.Call, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return x.entry.host.Transport().OpenCall(ctx, x.entry.host.Directory().Target(vm))
}

// receive takes an answer from a call stream until the agent's last word. What does not
// belong to the attempt ends the stream.
func (x *exchange) receive(call *wire.Call, id attempt.Attempt, agent ident.Instance, answer *relay.Execution, offset int64) {
	for {
		envelope, err := call.Read()
		if err != nil {
			break
		}
		switch message := envelope.Body.(type) {
		case *relay.AnswerHead:
			if message.ID != id || message.Agent.VM != agent.VM {
				x.foreign(id)
				return
			}
			if head, _ := answer.Content(); head == nil {
				answer.Start(*message)
				x.startStream(id, *message, answer)
			}
		case *relay.AnswerData:
			if message.ID != id || message.Offset != offset || answer.Append(message.Bytes) != nil {
				x.foreign(id)
				return
			}
			offset += int64(len(message.Bytes))
		case *relay.LoadNote:
			if message.Agent == envelope.From {
				x.entry.host.Offer(control.AgentLoadReceived{Agent: message.Agent, Load: message.Load})
			}
		case *attempt.Reply:
			x.lastWord(id, *message, answer)
			return
		}
	}
	x.entry.host.Post(control.AnswerBroken{ID: id})
}

// foreign reports a stream that carries what does not belong to its attempt.
func (x *exchange) foreign(id attempt.Attempt) {
	x.entry.host.Count("answers_dropped", "foreign")
	x.entry.host.Post(control.AnswerBroken{ID: id})
}

// lastWord passes the agent's word on if the answer is whole.
func (x *exchange) lastWord(id attempt.Attempt, reply attempt.Reply, answer *relay.Execution) {
	if reply.ID != id {
		x.foreign(id)
		return
	}
	got := answer.Answer()
	if reply.State == attempt.ReplyFinished && (got.Length != reply.Answer.Length || got.Digest != reply.Answer.Digest) {
		x.foreign(id)
		return
	}
	x.entry.host.Post(control.ReplyArrived{Reply: reply})
}

// startStream begins to write a streamed answer to the caller, if no other was begun.
func (x *exchange) startStream(id attempt.Attempt, head relay.AnswerHead, answer *relay.Execution) {
	if !x.payload.Stream || head.Status != http.StatusOK {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.streaming != nil {
		return
	}
	x.streaming = &id
	x.written = make(chan struct{})
	x.entry.host.Spawn(func(ctx context.Context) {
		defer close(x.written)
		sink := &callerSink{exchange: x, id: id}
		_, x.writeErr = answer.Copy(ctx, 0, sink)
		x.length = sink.offset
	})
}

// callerSink writes a streamed answer to the caller.
type callerSink struct {
	exchange *exchange
	id       attempt.Attempt
	offset   int64
	reported time.Time
}

// Head writes the answer's status and header. The outcome follows as a trailer.
func (s *callerSink) Head(head relay.AnswerHead) error {
	x := s.exchange
	x.writeHead(head)
	x.writer.Header().Set("Trailer", HeaderOutcome)
	x.extendWrite()
	x.writer.WriteHeader(head.Status)
	return nil
}

// Data writes and flushes a part of the body.
func (s *callerSink) Data(offset int64, data []byte) error {
	x := s.exchange
	x.extendWrite()
	if _, err := x.writer.Write(data); err != nil {
		return err
	}
	if err := http.NewResponseController(x.writer).Flush(); err != nil {
		return err
	}
	s.offset = offset + int64(len(data))
	if now := time.Now(); now.Sub(s.reported) >= progressInterval {
		s.reported = now
		x.entry.host.Post(control.AnswerProgress{ID: s.id, Offset: s.offset})
	}
	return nil
}
