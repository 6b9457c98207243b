package agent

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/relay"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

const (
	// requestTimeout bounds the time to read a dispatch with its payload.
	requestTimeout = 10 * time.Second
	// writeTimeout bounds the time that a part of an answer waits for the entry.
	writeTimeout = 20 * time.Second
	// maxStoredAnswer is the greatest size of an answer that is handed over with its run key.
	maxStoredAnswer = 64 << 10
)

// storedAnswer is an answer in the form that is kept with a run key.
type storedAnswer struct {
	Head relay.AnswerHead `cbor:"1,keyasint"`
	Body []byte           `cbor:"2,keyasint"`
}

// ServeCall serves one call stream of an entry.
func (a *Agent) ServeCall(peer wire.Identity, call *wire.Call) {
	call.SetReadDeadline(time.Now().Add(requestTimeout))
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

func (a *Agent) serveDispatch(call *wire.Call, dispatch *attempt.Dispatch) {
	envelope, err := call.Read()
	if err != nil {
		return
	}
	payload, ok := envelope.Body.(*relay.Payload)
	if !ok || payload.Digest() != dispatch.Body {
		return
	}
	job, _ := a.put(dispatch.ID, payload)
	if !a.host.Post(control.DispatchArrived{Dispatch: *dispatch}) {
		return
	}
	a.send(call, dispatch.ID, job, 0)
}

func (a *Agent) serveResume(call *wire.Call, resume *attempt.Resume) {
	job := a.get(resume.ID)
	if job == nil || resume.Target != a.config.Self.Instance {
		_ = call.Write(&attempt.Reply{ID: resume.ID, Agent: a.config.Self.Instance, State: attempt.ReplyForeign})
		return
	}
	a.send(call, resume.ID, job, resume.Offset)
}

// send sends an answer from an offset and then the agent's last word.
func (a *Agent) send(call *wire.Call, id attempt.Attempt, job *job, offset int64) {
	ctx, cancel := context.WithCancel(a.host.Context())
	defer cancel()
	stop := context.AfterFunc(call.Context(), cancel)
	defer stop()
	sink := &callSink{call: call, id: id, agent: a}
	reply, err := job.execution.Copy(ctx, offset, sink)
	if err != nil {
		call.Abort()
		return
	}
	if load := job.lastLoad(); load != nil {
		_ = sink.write(&relay.LoadNote{Agent: a.config.Self.Instance, Load: *load})
	}
	_ = sink.write(&reply)
}

// callSink writes an answer to a call stream.
type callSink struct {
	call  *wire.Call
	id    attempt.Attempt
	agent *Agent
}

func (s *callSink) write(message wire.Message) error {
	s.call.SetWriteDeadline(time.Now().Add(writeTimeout))
	return s.call.Write(message)
}

// Head sends the answer's status and header.
func (s *callSink) Head(head relay.AnswerHead) error {
	head.ID = s.id
	return s.write(&head)
}

// Data sends a part of the body.
func (s *callSink) Data(offset int64, data []byte) error {
	return s.write(&relay.AnswerData{ID: s.id, Agent: s.agent.config.Self.Instance, Offset: offset, Bytes: data})
}

// answer passes the owner's word on to the entry.
func (a *Agent) answer(action control.Answer) {
	reply := action.Reply
	if action.Route != nil {
		a.sendMessage(action.Route, reply)
	}
	job := a.get(reply.ID)
	switch reply.State {
	case attempt.ReplyQueued, attempt.ReplyStarted:
		if action.Route == nil {
			a.sendMessage(nil, reply)
		}
		return
	case attempt.ReplyFinished, attempt.ReplyNeverStarted, attempt.ReplyInDoubt, attempt.ReplyForeign:
	}
	if job == nil {
		if action.Route == nil {
			a.sendMessage(nil, reply)
		}
		return
	}
	if reply.State == attempt.ReplyFinished && !job.execution.Ended() {
		a.copyAnswer(job, action)
	}
	job.load.Store(&action.Load)
	job.execution.End(reply)
}

func (a *Agent) sendMessage(route control.Route, reply attempt.Reply) {
	a.host.Send(control.Send{To: reply.ID.Entry.VM, Body: &reply, Route: route})
}

// copyAnswer fills the answer of another attempt in, whose run key is the same.
func (a *Agent) copyAnswer(job *job, action control.Answer) {
	if action.Source == action.Reply.ID || action.Source == (attempt.Attempt{}) && action.Content == nil {
		return
	}
	if source := a.get(action.Source); source != nil {
		if head, body := source.execution.Content(); head != nil {
			job.execution.Start(*head)
			_ = job.execution.Append(body)
			return
		}
	}
	var stored storedAnswer
	if cbor.Unmarshal(action.Content, &stored) == nil {
		job.execution.Start(stored.Head)
		_ = job.execution.Append(stored.Body)
	}
}

// stored returns an ended answer in the form that is kept with its run key; nil if it is
// too large or there is none.
func (a *Agent) stored(job *job) []byte {
	head, body := job.execution.Content()
	if head == nil || len(body) > maxStoredAnswer {
		return nil
	}
	content, err := cbor.Marshal(storedAnswer{Head: *head, Body: body})
	if err != nil {
		return nil
	}
	return content
}
