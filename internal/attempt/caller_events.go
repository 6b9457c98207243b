package attempt

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// CallEvent is an event of a CallTable.
type CallEvent interface{ isCallEvent() }

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
type DispatchUnsent struct{ ID AttemptID }

// ConnectionLost reports that a connection to an agent ended or became unresponsive.
type ConnectionLost struct{ Target ident.Instance }

// StreamProgress reports the offset up to which the caller has received the answer.
type StreamProgress struct {
	ID     AttemptID
	Offset int64
}

// StreamBroken reports that the stream of an answer ended before the answer was complete.
type StreamBroken struct{ ID AttemptID }

// CallerDisconnected reports that the caller closed its connection.
type CallerDisconnected struct{ Request ident.Request }

// CrashReportReceived carries an agent's report of a crash.
type CrashReportReceived struct{ Report CrashReport }

// QuarantineNoticeReceived carries another entry's quarantine notice.
type QuarantineNoticeReceived struct{ Notice QuarantineNotice }

// SuspectCleared reports that a request ran alone and did not crash its backend server.
type SuspectCleared struct{ Fingerprint Fingerprint }

// CallTick advances the time: it checks deadlines and unanswered messages.
type CallTick struct{}

func (CallStarted) isCallEvent()              {}
func (Routed) isCallEvent()                   {}
func (NoRoute) isCallEvent()                  {}
func (ReplyReceived) isCallEvent()            {}
func (DispatchUnsent) isCallEvent()           {}
func (ConnectionLost) isCallEvent()           {}
func (StreamProgress) isCallEvent()           {}
func (StreamBroken) isCallEvent()             {}
func (CallerDisconnected) isCallEvent()       {}
func (CrashReportReceived) isCallEvent()      {}
func (QuarantineNoticeReceived) isCallEvent() {}
func (SuspectCleared) isCallEvent()           {}
func (CallTick) isCallEvent()                 {}

// CallAction is an action of a CallTable.
type CallAction interface{ isCallAction() }

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
	Source AttemptID
	// Attempts is the number of dispatches.
	Attempts int
}

func (NeedRoute) isCallAction()      {}
func (SendDispatch) isCallAction()   {}
func (SendRevoke) isCallAction()     {}
func (SendQuery) isCallAction()      {}
func (SendCancel) isCallAction()     {}
func (ResumeStream) isCallAction()   {}
func (SendQuarantine) isCallAction() {}
func (SendCleared) isCallAction()    {}
func (Finish) isCallAction()         {}
