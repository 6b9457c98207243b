package control

import (
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// CallArrived brings a call that the front has read whole and found a class for.
type CallArrived struct {
	Call attempt.Call
	// Tokens is the estimate of prompt and output tokens; 0 for plain services.
	Tokens int
	// PromptTokens and OutputTokens are the parts of the estimate.
	PromptTokens int
	OutputTokens int
	// Blocks are the hashes of the prompt's prefixes, shortest first.
	Blocks []routing.Block
	// Retry is true if the caller says that it sends the request again.
	Retry bool
}

// CallRejected reports a customer's call that the front refused by itself. The class is
// "" if none was found.
type CallRejected struct {
	Customer ident.Customer
	Class    ident.Class
	Outcome  outcome.Outcome
}

// ReplyArrived brings an agent's word that came on a call stream.
type ReplyArrived struct{ Reply attempt.Reply }

// LoadNoted brings the load that rode on an answer.
type LoadNoted struct {
	Agent ident.Instance
	Load  membership.Load
}

// DispatchFailed reports that no byte of a dispatch was sent, nor ever will be.
type DispatchFailed struct{ ID attempt.Attempt }

// AnswerBroken reports that the stream of an answer ended before its end.
type AnswerBroken struct{ ID attempt.Attempt }

// AnswerProgress reports up to which offset the caller has got an answer.
type AnswerProgress struct {
	ID     attempt.Attempt
	Offset int64
}

// CallerLeft reports that the caller closed its connection.
type CallerLeft struct{ Request ident.Request }

// CallDelivered reports what the caller was told in the end: the outcome of a FinishCall,
// or another one if the answer could not be written whole.
type CallDelivered struct {
	Request ident.Request
	Outcome outcome.Outcome
	// Tokens is the number of tokens of the answer; 0 if unknown.
	Tokens int
}

// KeyInquiry asks what became of a run key.
type KeyInquiry struct {
	Request ident.Request
	Service ident.Service
	RunKey  ident.RunKey
}

func (CallArrived) isEvent()    {}
func (CallRejected) isEvent()   {}
func (ReplyArrived) isEvent()   {}
func (LoadNoted) isEvent()      {}
func (DispatchFailed) isEvent() {}
func (AnswerBroken) isEvent()   {}
func (AnswerProgress) isEvent() {}
func (CallerLeft) isEvent()     {}
func (CallDelivered) isEvent()  {}
func (KeyInquiry) isEvent()     {}

// OpenAttempt sends a dispatch with its payload over a call stream.
type OpenAttempt struct {
	Dispatch attempt.Dispatch
	// Rank is the rank to enter at, or routing.NoRank.
	Rank ident.Rank
}

// ResumeAttempt asks for the rest of an answer over a new call stream.
type ResumeAttempt struct{ Resume attempt.Resume }

// FinishCall gives a call its outcome.
type FinishCall struct {
	Request ident.Request
	Outcome outcome.Outcome
	// Answer describes the answer of a served call, which attempt Source carries.
	Answer attempt.Answer
	Source attempt.Attempt
}

// KeyFound answers a KeyInquiry.
type KeyFound struct{ Answer attempt.KeyAnswer }

func (OpenAttempt) isAction()   {}
func (ResumeAttempt) isAction() {}
func (FinishCall) isAction()    {}
func (KeyFound) isAction()      {}

// ClearedNotice tells an entry that a request is no longer under suspicion.
type ClearedNotice struct {
	Fingerprint attempt.Fingerprint `cbor:"1,keyasint"`
}
