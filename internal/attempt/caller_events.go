package attempt

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// CallerEvent is an event of a Caller.
type CallerEvent interface{ isCallerEvent() }

// CallStarted carries an admitted call.
type CallStarted struct{ Call Call }

// Routed carries the target for a NeedRoute, with the number of the lease held on it.
type Routed struct {
	Request ident.Request
	Target  ident.Instance
	Lease   Number
}

// NoRoute reports that no target can accept the request.
type NoRoute struct {
	Request    ident.Request
	Cause      outcome.Cause
	RetryAfter time.Duration
	CausedBy   ident.Customer
}

// ReplyReceived carries an agent's reply about an attempt.
type ReplyReceived struct{ Reply Reply }

// DispatchUnsent reports that no byte of a dispatch was sent and that none will be.
type DispatchUnsent struct{ ID Attempt }

// ConnectionLost reports that a connection to an agent ended or became unresponsive.
type ConnectionLost struct{ Target ident.Instance }

// StreamProgress reports the offset up to which the caller has received the answer.
type StreamProgress struct {
	ID     Attempt
	Offset int64
}

// StreamBroken reports that the stream of an answer ended before the answer was complete.
type StreamBroken struct{ ID Attempt }

// CallerDisconnected reports that the caller closed its connection.
type CallerDisconnected struct{ Request ident.Request }

// CrashReportReceived carries an agent's report of a crash.
type CrashReportReceived struct{ Report CrashReport }

// QuarantineNoticeReceived carries another entry's quarantine notice.
type QuarantineNoticeReceived struct{ Notice QuarantineNotice }

// SuspectCleared reports that a request ran alone and did not crash its backend server.
type SuspectCleared struct{ Fingerprint Fingerprint }

// CallerTick advances the time: it checks deadlines and unanswered messages.
type CallerTick struct{}

func (CallStarted) isCallerEvent()              {}
func (Routed) isCallerEvent()                   {}
func (NoRoute) isCallerEvent()                  {}
func (ReplyReceived) isCallerEvent()            {}
func (DispatchUnsent) isCallerEvent()           {}
func (ConnectionLost) isCallerEvent()           {}
func (StreamProgress) isCallerEvent()           {}
func (StreamBroken) isCallerEvent()             {}
func (CallerDisconnected) isCallerEvent()       {}
func (CrashReportReceived) isCallerEvent()      {}
func (QuarantineNoticeReceived) isCallerEvent() {}
func (SuspectCleared) isCallerEvent()           {}
func (CallerTick) isCallerEvent()               {}

// CallerAction is an action of a Caller.
type CallerAction interface{ isCallerAction() }

// NeedRoute requests a target. It is answered with Routed or NoRoute.
type NeedRoute struct {
	Request  ident.Request
	Customer ident.Customer
	Class    template.ClassPlan
	// Only is the one VM that may run the request; "" for any.
	Only ident.VM
	// Among are the VMs that may run the request; empty for any.
	Among []ident.VM
	// Exclude are VMs that are not used again, as an attempt there failed or is still open.
	Exclude []ident.VM
	// Alone is true for a suspect, which must run alone on its backend server.
	Alone bool
	// Hedge is true if another attempt is still open.
	Hedge bool
}

// SendDispatch sends a dispatch, followed by the body of the request.
type SendDispatch struct{ Dispatch Dispatch }

// SendRevoke sends a revocation.
type SendRevoke struct{ Revoke Revoke }

// SendQuery queries the state of an attempt over a new connection.
type SendQuery struct{ Query Query }

// SendCancel notifies an agent that no caller waits for an answer.
type SendCancel struct{ Cancel Cancel }

// ResumeStream requests the rest of an answer.
type ResumeStream struct{ Resume Resume }

// SendQuarantine notifies all entries of the roster that a request is refused from now on.
type SendQuarantine struct{ Notice QuarantineNotice }

// SendCleared notifies all entries of the roster that a request is no longer a suspect.
type SendCleared struct{ Fingerprint Fingerprint }

// Finish ends a call with its outcome. No later action concerns the call.
type Finish struct {
	Request ident.Request
	Outcome outcome.Outcome
	// Answer describes the answer of a served call; its body is that of the attempt Source.
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
