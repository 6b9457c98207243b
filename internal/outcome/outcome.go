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
	// NotRun means that the request was not run and will not be run later on behalf of this call. If the caller resends it,
	// that is a new call.
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
	// CauseOverShare: the customer's demand exceeds its fair share of a service that other customers use at the same
	// time.
	CauseOverShare    Cause = "over-share"
	CauseBackendsFull Cause = "backends-full"
	CauseNoBackend    Cause = "no-backend"
	// CauseEvacuated: all backend servers that could take the request are in evacuated availability zones.
	CauseEvacuated Cause = "evacuated"
	CauseDeadline  Cause = "deadline"
	// CauseLeaving: the process that would have to pass the request on is in a planned stop: the entry, or the backend server's agent.
	CauseLeaving Cause = "leaving"
	// CauseQuarantined: the request is quarantined, since backend servers crashed while they ran it. All requests of
	// the same customer, class and body are quarantined together.
	CauseQuarantined Cause = "quarantined"
	// CauseOnTrial: the request has ended several backend servers, but may be sound, and another entry runs it at present.
	CauseOnTrial     Cause = "on-trial"
	CauseKeyConflict Cause = "key-conflict"
	// CauseKeyInDoubt: an earlier dispatch with the same run key may have run, so the key must not run again.
	CauseKeyInDoubt Cause = "key-in-doubt"
	CauseKeysFull   Cause = "keys-full"
	// CauseNotOwner: the agent to which the request was dispatched is not the owner of its run key.
	CauseNotOwner Cause = "not-owner"
	// CauseStaleLease: the agent has no valid lease of the entry with the dispatch's number, or it was paused for too long
	// before the start of the run.
	CauseStaleLease Cause = "stale-lease"
	// CauseRevoked: the entry revoked the attempt before it ran. It is the cause of an attempt only: the call ends with
	// CauseDeadline or CauseCallerGone.
	CauseRevoked     Cause = "revoked"
	CauseNotReady    Cause = "not-ready"
	CauseRetryBudget Cause = "retry-budget"
	// CauseControlQueueFull: the entry has too many open calls, or the event queue of its control thread is full.
	CauseControlQueueFull Cause = "control-queue-full"
	CauseBackendCrashed   Cause = "backend-crashed"
	CauseBackendError     Cause = "backend-error"
	CauseConnectionLost   Cause = "connection-lost"
	CauseTimeout          Cause = "timeout"
	CauseBrokenStream     Cause = "broken-stream"
	CauseCallerGone       Cause = "caller-gone"
	// CauseMemoryFull: the entry has no memory for the request's body.
	CauseMemoryFull Cause = "memory-full"
	// CauseConnectionsFull: the entry has closed the caller's connection to make room for others, or has no room for it.
	CauseConnectionsFull Cause = "connections-full"
	// CauseInternalError: a fault of the process itself ended the call.
	CauseInternalError Cause = "internal-error"
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

// DidNotRun reports whether the request was not run and will not be run.
func (o Outcome) DidNotRun() bool { return o.Kind == NotRun }

// Refused returns an outcome of kind NotRun with the cause.
func Refused(cause Cause) Outcome {
	return Outcome{Kind: NotRun, Cause: cause}
}

// InDoubt returns an outcome of kind Unknown with the cause. The key is "" for a request without a run key.
func InDoubt(cause Cause, key ident.RunKey) Outcome {
	return Outcome{Kind: Unknown, Cause: cause, RunKey: key}
}
