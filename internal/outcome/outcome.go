// Package outcome defines what became of a call. Every call has exactly one outcome.
package outcome

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Kind is the kind of an outcome.
type Kind uint8

// The kinds of outcome.
const (
	// Open means that the call has no outcome yet.
	Open Kind = iota
	// Served means that the caller got the whole answer.
	Served
	// NotRun means that the request was not run and will not be run by this call.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the kind as it is written in headers, logs and metrics.
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

// Cause says why a call was not served.
type Cause string

// The causes of refusals and of unknown outcomes.
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

// Outcome is what became of a call.
type Outcome struct {
	Kind  Kind  `cbor:"1,keyasint" json:"kind"`
	Cause Cause `cbor:"2,keyasint,omitempty" json:"cause,omitempty"`
	// RetryAfter is how long the caller should wait before it asks again; 0 if unknown.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty" json:"retry_after,omitempty"`
	// CausedBy is the customer whose demand caused the refusal; "" if none did.
	CausedBy ident.Customer `cbor:"4,keyasint,omitempty" json:"caused_by,omitempty"`
	// RunKey is the key to ask with when the outcome is unknown.
	RunKey ident.RunKey `cbor:"5,keyasint,omitempty" json:"run_key,omitempty"`
	// Detail is a short explanation for the caller.
	Detail string `cbor:"6,keyasint,omitempty" json:"detail,omitempty"`
}

// Refused returns the outcome of a request that was not run for the cause.
func Refused(cause Cause) Outcome {
	return Outcome{Kind: NotRun, Cause: cause}
}

// InDoubt returns the outcome of a request that may have run.
func InDoubt(cause Cause, key ident.RunKey) Outcome {
	return Outcome{Kind: Unknown, Cause: cause, RunKey: key}
}
