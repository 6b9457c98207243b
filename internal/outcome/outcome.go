// Package outcome defines the result of a call. Each call has exactly one outcome.
package outcome

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Kind is the kind of an outcome.
type Kind uint8

// The kinds of outcomes.
const (
	// Open means that the call has no outcome yet.
	Open Kind = iota
	// Served means that the caller received the complete answer.
	Served
	// NotRun means that the request was not run and that this call will not run it later.
	NotRun
	// Unknown means that the request may or may not have run.
	Unknown
)

// String returns the value that headers, logs and metrics use for the kind.
func (k Kind) String() string {
	switch k {
	case Open:
		return "open"
	case Served:
		return "served"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// Cause is the reason why a call was not served.
type Cause string

// The causes of outcomes of kind NotRun and Unknown.
const (
	CauseNone             Cause = ""
	CauseBadRequest       Cause = "bad-request"
	CauseUnauthorized     Cause = "unauthorized"
	CauseNoRoute          Cause = "no-route"
	CauseTooLarge         Cause = "too-large"
	CauseRateLimit        Cause = "rate-limit"
	CauseConcurrencyLimit Cause = "concurrency-limit"
	CauseTokenLimit       Cause = "token-limit"
	CauseOverShare        Cause = "over-share"
	CauseBackendsFull     Cause = "backends-full"
	CauseNoBackend        Cause = "no-backend"
	CauseDeadline         Cause = "deadline"
	CauseLeaving          Cause = "leaving"
	CauseQuarantined      Cause = "quarantined"
	CauseKeyConflict      Cause = "key-conflict"
	CauseKeyInDoubt       Cause = "key-in-doubt"
	CauseKeysFull         Cause = "keys-full"
	CauseNotOwner         Cause = "not-owner"
	CauseStaleLease       Cause = "stale-lease"
	CauseRevoked          Cause = "revoked"
	CauseNotReady         Cause = "not-ready"
	CauseRetryBudget      Cause = "retry-budget"
	CauseControlQueueFull Cause = "control-queue-full"
	CauseBackendCrashed   Cause = "backend-crashed"
	CauseBackendError     Cause = "backend-error"
	CauseConnectionLost   Cause = "connection-lost"
	CauseTimeout          Cause = "timeout"
	CauseBrokenStream     Cause = "broken-stream"
	CauseCallerGone       Cause = "caller-gone"
)

// Outcome is the result of a call.
type Outcome struct {
	Kind  Kind  `cbor:"1,keyasint" json:"kind"`
	Cause Cause `cbor:"2,keyasint,omitempty" json:"cause,omitempty"`
	// RetryAfter is how long the caller should wait before a retry; 0 if unknown.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty" json:"retry_after,omitempty"`
	// CausedBy is the customer whose load caused the refusal; "" if no single customer did.
	CausedBy ident.Customer `cbor:"4,keyasint,omitempty" json:"caused_by,omitempty"`
	// RunKey is the key with which the caller can query the result if the outcome is unknown.
	RunKey ident.RunKey `cbor:"5,keyasint,omitempty" json:"run_key,omitempty"`
	// Detail is a short message for the caller.
	Detail string `cbor:"6,keyasint,omitempty" json:"detail,omitempty"`
}

// Refused returns the outcome of a request that was not run, with the cause.
func Refused(cause Cause) Outcome {
	return Outcome{Kind: NotRun, Cause: cause}
}

// InDoubt returns the outcome of a request that may have run.
func InDoubt(cause Cause, key ident.RunKey) Outcome {
	return Outcome{Kind: Unknown, Cause: cause, RunKey: key}
}
