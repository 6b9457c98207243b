package agent

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/relay"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

const (
	// dispatchReadTimeout bounds the time to read a dispatch and its payload.
	dispatchReadTimeout = 10 * time.Second
	// writeTimeout bounds the write of one message of an answer to the entry.
	writeTimeout = 20 * time.Second
	// maxStoredAnswerBytes is the maximum body size of an answer that is stored with its run key
	// and included in hand-overs.
	maxStoredAnswerBytes = 64 << 10
)

// storedAnswer is the CBOR form of an answer that is stored with a run key.
type storedAnswer struct {
	Head relay.AnswerHead `cbor:"1,keyasint"`
	Body []byte           `cbor:"2,keyasint"`
}

// ServeCall serves a call stream of an entry: a dispatch or the resumption of an answer.
func (a *Agent) ServeCall(peer wire.Identity, call *wire.Call) {
	call.SetReadDeadline(time.Now().Add(dispatchReadTimeout))
	envelope, err := call.Read()
	if err != nil {
		return
	}
	switch message := envelope.Body.(type) {
	case *attempt.Dispatch:
		if message.ID.Entry == envelope.From && envelope.From.VM == peer.VM {
			a.serveDispatch(call, message)
		}
	case *attempt.Resume:
		a.serveResume(call, message)
	}
}

// serveDispatch reads the payload of a dispatch, posts the dispatch and sends its answer. The job
// is registered before the post, so that the run finds its payload. Without memory for it, the dispatch is refused and not posted.
func (a *Agent) serveDispatch(call *wire.Call, dispatch *attempt.Dispatch) {
	envelope, err := call.Read()
	if err != nil {
		return
	}
	payload, ok := envelope.Body.(*relay.Payload)
	if !ok || payload.Digest() != dispatch.Body {
		return
	}
	job := a.store.add(dispatch.ID, payload)
	if job == nil {
		a.host.Count("dispatches_refused", string(outcome.CauseMemoryFull))
		_ = call.Write(&attempt.Reply{
			ID: dispatch.ID, Agent: a.config.Self.Instance, State: attempt.ReplyNeverStarted, Outcome: memoryRefusal(),
		})
		return
	}
	if !a.host.Post(control.DispatchArrived{Dispatch: *dispatch}) {
		return
	}
	a.sendAnswer(call, dispatch.ID, job, 0)
}

// serveResume sends an answer from the requested offset on. It replies with ReplyForeign if this
// incarnation has no such attempt.
func (a *Agent) serveResume(call *wire.Call, resume *attempt.Resume) {
	job := a.store.job(resume.ID)
	if job == nil || resume.Target != a.config.Self.Instance {
		_ = call.Write(&attempt.Reply{ID: resume.ID, Agent: a.config.Self.Instance, State: attempt.ReplyForeign})
		return
	}
	a.sendAnswer(call, resume.ID, job, resume.Offset)
}

// sendAnswer sends an answer from a byte offset on, then the agent's load and the final reply.
func (a *Agent) sendAnswer(call *wire.Call, id attempt.AttemptID, job *job, offset int64) {
	ctx, cancel := context.WithCancel(a.host.Context())
	defer cancel()
	stop := context.AfterFunc(call.Context(), cancel)
	defer stop()
	a.store.beginStream(job)
	sent := false
	defer func() { a.store.endStream(job, sent) }()
	sink := &callSink{call: call, id: id, agent: a}
	reply, err := job.answer.Copy(ctx, offset, sink)
	if err != nil {
		call.Abort()
		return
	}
	if load := job.replyLoad(); load != nil {
		_ = sink.write(&relay.LoadNote{Agent: a.config.Self.Instance, Load: *load})
	}
	sent = sink.write(&reply) == nil
}

// callSink writes an answer to a call stream.
type callSink struct {
	call  *wire.Call
	id    attempt.AttemptID
	agent *Agent
}

func (s *callSink) write(message wire.Message) error {
	s.call.SetWriteDeadline(time.Now().Add(writeTimeout))
	return s.call.Write(message)
}

// Head sends the answer's head with the ID of this stream's attempt, since the head may have been
// copied from another attempt with the same run key.
func (s *callSink) Head(head relay.AnswerHead) error {
	head.ID = s.id
	return s.write(&head)
}

// Data sends a part of the body.
func (s *callSink) Data(offset int64, data []byte) error {
	return s.write(&relay.AnswerData{ID: s.id, Agent: s.agent.config.Self.Instance, Offset: offset, Bytes: data})
}

// handleReply sends a reply of the control thread to the entry. A reply to a query is sent on the
// query's connection. A final reply also ends the attempt's answer; sendAnswer then sends the reply
// on the attempt's call stream. A reply to a dispatch that is not final, or whose attempt has no
// job, is sent as a message.
func (a *Agent) handleReply(action control.SendReply) {
	reply := action.Reply
	if action.Route != nil {
		a.sendReply(action.Route, reply)
	}
	job := a.store.job(reply.ID)
	switch reply.State {
	case attempt.ReplyQueued, attempt.ReplyStarted:
		if action.Route == nil {
			a.sendReply(nil, reply)
		}
		return
	case attempt.ReplyFinished, attempt.ReplyNeverStarted, attempt.ReplyInDoubt, attempt.ReplyForeign:
	}
	if job == nil {
		if action.Route == nil {
			a.sendReply(nil, reply)
		}
		return
	}
	if reply.State == attempt.ReplyFinished && !job.answer.Ended() && errors.Is(a.copyAnswer(job, action), relay.ErrNoMemory) {
		reply.State, reply.Outcome, reply.Answer = attempt.ReplyInDoubt, outcome.InDoubt(outcome.CauseMemoryFull, ""), attempt.Answer{}
	}
	job.load.Store(&action.Load)
	job.answer.End(reply)
	a.store.end(job, time.Now())
}

func (a *Agent) sendReply(route control.Route, reply attempt.Reply) {
	a.host.Send(control.Send{To: reply.ID.Entry.VM, Body: &reply, Route: route})
}

// copyAnswer copies the answer of another attempt with the same run key into job. The error is that of its Append.
func (a *Agent) copyAnswer(job *job, action control.SendReply) error {
	if action.Source == action.Reply.ID || action.Source == (attempt.AttemptID{}) && action.Content == nil {
		return nil
	}
	if source := a.store.job(action.Source); source != nil {
		if head, body := source.answer.Content(); head != nil {
			job.answer.SetHead(*head)
			return job.answer.Append(body.Parts()...)
		}
	}
	var stored storedAnswer
	if cbor.Unmarshal(action.Content, &stored) != nil {
		return nil
	}
	job.answer.SetHead(stored.Head)
	return job.answer.Append(stored.Body)
}

// encodeStoredAnswer returns the CBOR encoding of a job's answer as a storedAnswer. It returns nil
// if there is no answer or its body exceeds maxStoredAnswerBytes.
func (a *Agent) encodeStoredAnswer(job *job) []byte {
	head, body := job.answer.Content()
	if head == nil || body.Len() > maxStoredAnswerBytes {
		return nil
	}
	content, err := cbor.Marshal(storedAnswer{Head: *head, Body: body.Bytes()})
	if err != nil {
		return nil
	}
	return content
}
