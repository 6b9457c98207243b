package attempt

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// CallerEvent is an event of a Caller.
type CallerEvent interface{ isCallerEvent() }

// CallStarted brings an admitted call.
type CallStarted struct{ Call Call }

// Routed brings the target of a NeedRoute, with the number of the lease held at it.
type Routed struct {
	Request ident.Request
	Target  ident.Instance
	Lease   Number
}

// NoRoute says that no target can take the request.
type NoRoute struct {
	Request    ident.Request
	Cause      outcome.Cause
	RetryAfter time.Duration
	CausedBy   ident.Customer
}

// ReplyReceived brings an agent's word.
type ReplyReceived struct{ Reply Reply }

// DispatchUnsent says that not one byte of a dispatch left the process, nor ever will.
type DispatchUnsent struct{ ID Attempt }

// ConnectionLost says that a connection to an agent ended or went silent.
type ConnectionLost struct{ Target ident.Instance }

// StreamProgress says up to which offset the caller has got the answer.
type StreamProgress struct {
	ID     Attempt
	Offset int64
}

// StreamBroken says that the stream of an answer broke before its end.
type StreamBroken struct{ ID Attempt }

// CallerGone says that the caller closed its connection.
type CallerGone struct{ Request ident.Request }

// CrashReported brings an agent's report of a crash.
type CrashReported struct{ Report CrashReport }

// QuarantineNoticed brings another entry's notice.
type QuarantineNoticed struct{ Notice QuarantineNotice }

// SuspectCleared says that a request ran alone and did not crash its backend server.
type SuspectCleared struct{ Fingerprint Fingerprint }

// CallerTick lets time pass.
type CallerTick struct{}

func (CallStarted) isCallerEvent()       {}
func (Routed) isCallerEvent()            {}
func (NoRoute) isCallerEvent()           {}
func (ReplyReceived) isCallerEvent()     {}
func (DispatchUnsent) isCallerEvent()    {}
func (ConnectionLost) isCallerEvent()    {}
func (StreamProgress) isCallerEvent()    {}
func (StreamBroken) isCallerEvent()      {}
func (CallerGone) isCallerEvent()        {}
func (CrashReported) isCallerEvent()     {}
func (QuarantineNoticed) isCallerEvent() {}
func (SuspectCleared) isCallerEvent()    {}
func (CallerTick) isCallerEvent()        {}

// CallerAction is an action of a Caller.
type CallerAction interface{ isCallerAction() }

// NeedRoute asks for a target. It is answered with Routed or NoRoute.
type NeedRoute struct {
	Request  ident.Request
	Customer ident.Customer
	Class    template.ClassPlan
	// Only is the one VM that may run the request; "" for any.
	Only ident.VM
	// Among are the VMs that may run the request; empty for any.
	Among []ident.VM
	// Exclude are VMs that an earlier attempt found wanting.
	Exclude []ident.VM
	// Alone is true for a suspect that runs with nothing beside it.
	Alone bool
	// Hedge is true if another attempt is still open.
	Hedge bool
}

// SendDispatch sends a dispatch and then the body.
type SendDispatch struct{ Dispatch Dispatch }

// SendRevoke sends a revocation.
type SendRevoke struct{ Revoke Revoke }

// SendQuery asks for the word on an attempt, over a new connection.
type SendQuery struct{ Query Query }

// SendCancel tells an agent that nobody waits for an answer.
type SendCancel struct{ Cancel Cancel }

// ResumeStream asks for the rest of an answer.
type ResumeStream struct{ Resume Resume }

// SendQuarantine tells all entries of the roster that a request is refused from now on.
type SendQuarantine struct{ Notice QuarantineNotice }

// SendCleared tells all entries of the roster that a request is no longer under suspicion.
type SendCleared struct{ Fingerprint Fingerprint }

// Finish gives a call its outcome. Nothing more is sent to the caller.
type Finish struct {
	Request ident.Request
	Outcome outcome.Outcome
	// Answer describes the answer of a served call, which Source carries.
	Answer Answer
	Source Attempt
	// Attempts is the number of dispatches.
	Attempts int
}

func (NeedRoute) isCallerAction()      {}
func (SendDispatch) isCallerAction()   {}
func (SendRevoke) isCallerAction()     {}
func (SendQuery) isCallerAction()      {}
func (SendCancel) isCallerAction()     {}
func (ResumeStream) isCallerAction()   {}
func (SendQuarantine) isCallerAction() {}
func (SendCleared) isCallerAction()    {}
func (Finish) isCallerAction()         {}
