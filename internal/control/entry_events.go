package control

import (
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// CallArrived reports a call that the front has read in full and assigned to a class.
type CallArrived struct {
	Call attempt.Call
	// Tokens is the estimated number of prompt and output tokens; 0 for plain services.
	Tokens int
	// PromptTokens and OutputTokens are the two parts of the estimate.
	PromptTokens int
	OutputTokens int
	// Blocks are the hashes of the prompt's prefixes, shortest first.
	Blocks []routing.Block
	// Retry is true if the caller marked the request as a retry.
	Retry bool
}

// CallRejected reports a customer's call that the front refused before admission. Class is ""
// if no class matched.
type CallRejected struct {
	Customer ident.Customer
	Class    ident.Class
	Outcome  outcome.Outcome
}

// ReplyArrived delivers an agent's reply that was received on a call stream.
type ReplyArrived struct{ Reply attempt.Reply }

// AgentLoadReceived delivers an agent's load that was sent with an answer.
type AgentLoadReceived struct {
	Agent ident.Instance
	Load  membership.Load
}

// DispatchFailed reports that a dispatch could not be sent: no byte of it was or will be sent.
type DispatchFailed struct{ ID attempt.AttemptID }

// AnswerBroken reports that the stream of an answer broke before the answer was complete.
type AnswerBroken struct{ ID attempt.AttemptID }

// AnswerProgress reports the offset in bytes up to which an answer was delivered to the caller.
type AnswerProgress struct {
	ID     attempt.AttemptID
	Offset int64
}

// CallerDisconnected reports that the caller closed its connection.
type CallerDisconnected struct{ Request ident.Request }

// CallDelivered reports the outcome that the caller received: that of the FinishCall, or
// another one if the answer could not be written in full.
type CallDelivered struct {
	Request ident.Request
	Outcome outcome.Outcome
	// Tokens is the number of tokens of the answer; 0 if unknown.
	Tokens int
}

// KeyInquiry requests the state of a run key. A KeyAnswered answers it.
type KeyInquiry struct {
	Request ident.Request
	Service ident.Service
	RunKey  ident.RunKey
}

func (CallArrived) isEvent()        {}
func (CallRejected) isEvent()       {}
func (ReplyArrived) isEvent()       {}
func (AgentLoadReceived) isEvent()  {}
func (DispatchFailed) isEvent()     {}
func (AnswerBroken) isEvent()       {}
func (AnswerProgress) isEvent()     {}
func (CallerDisconnected) isEvent() {}
func (CallDelivered) isEvent()      {}
func (KeyInquiry) isEvent()         {}

// OpenAttempt sends a dispatch and its payload over a call stream.
type OpenAttempt struct {
	Dispatch attempt.Dispatch
	// Rank is the rank that receives the request, or routing.NoRank.
	Rank ident.Rank
}

// ResumeAttempt requests the rest of an answer over a new call stream.
type ResumeAttempt struct{ Resume attempt.Resume }

// FinishCall reports the outcome of a call to the front.
type FinishCall struct {
	Request ident.Request
	Outcome outcome.Outcome
	// Answer describes the answer of a served call. Source is the attempt whose stream carries
	// it.
	Answer attempt.Answer
	Source attempt.AttemptID
}

// KeyAnswered reports the state of a run key in answer to a KeyInquiry.
type KeyAnswered struct{ Answer attempt.KeyAnswer }

func (OpenAttempt) isAction()   {}
func (ResumeAttempt) isAction() {}
func (FinishCall) isAction()    {}
func (KeyAnswered) isAction()   {}

// ClearedNotice informs the other entries that a request is no longer suspected of crashing
// backend servers.
type ClearedNotice struct {
	Fingerprint attempt.Fingerprint `cbor:"1,keyasint"`
}
