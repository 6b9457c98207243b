package entry

import (
	"context"
	"errors"
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
	// openTimeout bounds the opening of a call stream, and the write of the messages that start it.
	openTimeout = 2 * time.Second
	// answerMemoryInterval is the interval at which a part of an answer that finds no memory is tried again.
	answerMemoryInterval = 20 * time.Millisecond
	// maxAnswerBytes is the maximum size of an answer's body.
	maxAnswerBytes = 8 << 20
)

// openAttempt sends a dispatch and its payload in a new goroutine.
func (x *exchange) openAttempt(open control.OpenAttempt) {
	payload := *x.payload
	if open.Rank != routing.NoRank {
		payload.Rank = int(open.Rank) + 1
	}
	buffer := x.answerBuffer(open.Dispatch.ID)
	x.entry.host.Spawn(func(ctx context.Context) {
		x.sendDispatch(ctx, open.Dispatch, &payload, buffer)
	})
}

// sendDispatch posts DispatchFailed if no byte of the dispatch was sent, and AnswerBroken if a
// part of it may have been sent.
func (x *exchange) sendDispatch(ctx context.Context, dispatch attempt.Dispatch, payload *relay.Payload, buffer *relay.AnswerBuffer) {
	call, err := x.openCall(ctx, dispatch.Target.VM)
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
	x.receiveAnswer(call, dispatch.ID, dispatch.Target, buffer, 0)
}

// resumeAttempt requests the rest of an answer, from the end of the buffered part on.
func (x *exchange) resumeAttempt(resume attempt.Resume) {
	buffer := x.answerBuffer(resume.ID)
	resume.Offset = buffer.Answer().Length
	x.entry.host.Spawn(func(ctx context.Context) {
		call, err := x.openCall(ctx, resume.Target.VM)
		if err == nil {
			defer call.Close()
			call.SetWriteDeadline(time.Now().Add(openTimeout))
			err = call.Write(&resume)
		}
		if err != nil {
			x.entry.host.Post(control.AnswerBroken{ID: resume.ID})
			return
		}
		x.receiveAnswer(call, resume.ID, resume.Target, buffer, resume.Offset)
	})
}

func (x *exchange) openCall(ctx context.Context, vm ident.VM) (*wire.Call, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return x.entry.host.Transport().OpenCall(ctx, x.entry.host.Directory().Target(vm))
}

// receiveAnswer reads an answer from a call stream up to the final reply. A message that does not
// belong to the attempt, or a part at a wrong offset, ends the stream.
func (x *exchange) receiveAnswer(call *wire.Call, id attempt.AttemptID, agent ident.Instance, buffer *relay.AnswerBuffer, offset int64) {
	for {
		envelope, err := call.Read()
		if err != nil {
			break
		}
		switch message := envelope.Body.(type) {
		case *relay.AnswerHead:
			if message.ID != id || message.Agent.VM != agent.VM {
				x.rejectStream(id)
				return
			}
			if buffer.Head() == nil {
				buffer.SetHead(*message)
				x.startStream(id, *message, buffer)
			}
		case *relay.AnswerData:
			if message.ID != id || message.Offset != offset {
				x.rejectStream(id)
				return
			}
			err := x.appendAnswer(call.Context(), buffer, message.Bytes)
			if errors.Is(err, relay.ErrNoMemory) {
				x.entry.host.Count("answers_dropped", "memory")
				x.entry.host.Post(control.AnswerBroken{ID: id})
				return
			}
			if err != nil {
				x.rejectStream(id)
				return
			}
			offset += int64(len(message.Bytes))
		case *relay.LoadNote:
			if message.Agent == envelope.From {
				x.entry.host.Offer(control.AgentLoadReceived{Agent: message.Agent, Load: message.Load})
			}
		case *attempt.Reply:
			x.handleReply(id, *message, buffer)
			return
		}
	}
	x.entry.host.Post(control.AnswerBroken{ID: id})
}

// appendAnswer adds a part of an answer to its buffer. If there is no memory for it, the agent waits, as long as the entry waits for a write
// to a caller.
func (x *exchange) appendAnswer(ctx context.Context, buffer *relay.AnswerBuffer, part []byte) error {
	ctx, cancel := context.WithTimeout(ctx, x.entry.writeTimeout())
	defer cancel()
	for {
		err := buffer.Append(part)
		if !errors.Is(err, relay.ErrNoMemory) || ctx.Err() != nil || x.memory.Ended() {
			return err
		}
		select {
		case <-time.After(answerMemoryInterval):
		case <-ctx.Done():
		}
	}
}

// rejectStream counts a stream whose content does not match its attempt, and posts AnswerBroken. All such streams have
// the reason "foreign": messages of another attempt or agent, data at a wrong offset or beyond maxAnswerBytes, and a
// body whose length or digest differs from the final reply's.
func (x *exchange) rejectStream(id attempt.AttemptID) {
	x.entry.host.Count("answers_dropped", "foreign")
	x.entry.host.Post(control.AnswerBroken{ID: id})
}

// handleReply posts the final reply. The length and digest of a finished answer must match the
// received body.
func (x *exchange) handleReply(id attempt.AttemptID, reply attempt.Reply, buffer *relay.AnswerBuffer) {
	if reply.ID != id {
		x.rejectStream(id)
		return
	}
	received := buffer.Answer()
	if reply.State == attempt.ReplyFinished && (received.Length != reply.Answer.Length || received.Digest != reply.Answer.Digest) {
		x.rejectStream(id)
		return
	}
	x.entry.host.Post(control.ReplyArrived{Reply: reply})
}

// startStream starts to write a streamed answer to the caller, unless the answer of another
// attempt is already being written.
func (x *exchange) startStream(id attempt.AttemptID, head relay.AnswerHead, buffer *relay.AnswerBuffer) {
	if !x.payload.Stream || head.Status != http.StatusOK {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.streaming != nil {
		return
	}
	x.streaming = &id
	x.streamDone = make(chan struct{})
	x.entry.host.Spawn(func(ctx context.Context) {
		defer close(x.streamDone)
		sink := &callerSink{exchange: x, id: id}
		_, x.streamErr = buffer.Copy(ctx, 0, sink)
		x.streamedBytes = sink.offset
	})
}

// callerSink writes a streamed answer to the caller.
type callerSink struct {
	exchange *exchange
	id       attempt.AttemptID
	// offset is the number of body bytes written.
	offset       int64
	lastReportAt time.Time
}

// Head writes the answer's status and header. The outcome follows as a trailer.
func (s *callerSink) Head(head relay.AnswerHead) error {
	x := s.exchange
	x.setAnswerHeader(head)
	x.writer.Header().Set("Trailer", HeaderOutcome)
	x.entry.extendWriteDeadline(x.writer)
	x.writer.WriteHeader(head.Status)
	return nil
}

// Data writes and flushes a part of the body.
func (s *callerSink) Data(offset int64, data []byte) error {
	x := s.exchange
	x.entry.extendWriteDeadline(x.writer)
	if _, err := x.writer.Write(data); err != nil {
		return err
	}
	if err := http.NewResponseController(x.writer).Flush(); err != nil {
		return err
	}
	s.offset = offset + int64(len(data))
	if now := time.Now(); now.Sub(s.lastReportAt) >= progressInterval {
		s.lastReportAt = now
		x.entry.host.Post(control.AnswerProgress{ID: s.id, Offset: s.offset})
	}
	return nil
}
