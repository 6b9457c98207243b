package control

import (
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// DispatchArrived delivers a dispatch whose payload was read in full and matches its digest.
type DispatchArrived struct{ Dispatch attempt.Dispatch }

// RunFinished reports the end of a run at the backend server.
type RunFinished struct{ Result attempt.RunEnded }

// BackendCrashed reports that the backend server crashed with all its runs.
type BackendCrashed struct{}

// BackendLoadReceived delivers the load of the backend server.
type BackendLoadReceived struct{ Load membership.Load }

func (DispatchArrived) isEvent()     {}
func (RunFinished) isEvent()         {}
func (BackendCrashed) isEvent()      {}
func (BackendLoadReceived) isEvent() {}

// StartRun sends a request to the backend server at once. If that fails, the run must not start
// later.
type StartRun struct{ Dispatch attempt.Dispatch }

// StopRun aborts a run whose answer is no longer needed.
type StopRun struct{ ID attempt.AttemptID }

// SendReply sends the agent's reply about an attempt to its entry.
type SendReply struct {
	Reply attempt.Reply
	// Source is the attempt whose answer the reply carries, if it is another one.
	Source attempt.AttemptID
	// Content is the stored answer if it was received in a hand-over; nil otherwise.
	Content []byte
	// Load is the agent's load at the time of the reply.
	Load membership.Load
	// Route is the connection of the query that is answered; nil if the reply answers a
	// dispatch.
	Route Route
}

func (StartRun) isAction()  {}
func (StopRun) isAction()   {}
func (SendReply) isAction() {}

// BackendStatus is the state of an agent as shown to operators.
type BackendStatus struct {
	Open    int             `json:"open"`
	Leaving bool            `json:"leaving"`
	Service ident.Service   `json:"service"`
	Running int             `json:"running"`
	Load    membership.Load `json:"load"`
}
