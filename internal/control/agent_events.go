package control

import (
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// DispatchArrived brings a dispatch whose payload was read whole and fits its digest.
type DispatchArrived struct{ Dispatch attempt.Dispatch }

// RunFinished reports how a run on the backend server ended.
type RunFinished struct{ Result attempt.RunEnded }

// BackendLost reports that the backend server died with all that ran on it.
type BackendLost struct{}

// LoadSeen brings the backend server's load.
type LoadSeen struct{ Load membership.Load }

func (DispatchArrived) isEvent() {}
func (RunFinished) isEvent()     {}
func (BackendLost) isEvent()     {}
func (LoadSeen) isEvent()        {}

// StartRun hands a request to the backend server, now or never.
type StartRun struct{ Dispatch attempt.Dispatch }

// StopRun cuts a run whose answer nobody waits for.
type StopRun struct{ ID attempt.Attempt }

// Answer sends the agent's word on an attempt to its entry.
type Answer struct {
	Reply attempt.Reply
	// Source is the attempt whose answer the reply carries, if it is another one.
	Source attempt.Attempt
	// Content is the stored answer if it came by a hand-over; nil otherwise.
	Content []byte
	// Load is the agent's load at the time of the reply.
	Load membership.Load
	// Route is the connection of the question that is answered; nil if the reply is the
	// answer to a dispatch.
	Route Route
}

func (StartRun) isAction() {}
func (StopRun) isAction()  {}
func (Answer) isAction()   {}

// BackendStatus is what operators see of an agent.
type BackendStatus struct {
	Open    int             `json:"open"`
	Leaving bool            `json:"leaving"`
	Service ident.Service   `json:"service"`
	Running int             `json:"running"`
	Load    membership.Load `json:"load"`
}
