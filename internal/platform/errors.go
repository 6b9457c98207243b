package platform

import (
	"errors"
	"fmt"
	"time"
)

// ErrorKind classifies the failures of calls on outside systems.
type ErrorKind uint8

// The kinds of errors.
const (
	// KindUnknown means that the request may have started; it is the zero value.
	KindUnknown ErrorKind = iota
	// KindNotStarted means that not one byte of the request left this process.
	KindNotStarted
	// KindRefused means that the other side answered that it does not run the request.
	KindRefused
	// KindGarbage means that the answer can't be understood; the request may have run.
	KindGarbage
	// KindTooLarge means that the answer exceeds the limit; the request may have run.
	KindTooLarge
	// KindStale means that the answer is older than what the caller already had.
	KindStale
)

// String returns the kind as it is written in logs.
func (k ErrorKind) String() string {
	switch k {
	case KindUnknown:
		return "unknown"
	case KindNotStarted:
		return "not-started"
	case KindRefused:
		return "refused"
	case KindGarbage:
		return "garbage"
	case KindTooLarge:
		return "too-large"
	case KindStale:
		return "stale"
	}
	return "invalid"
}

// Error is the failure of one call on an outside system.
type Error struct {
	Kind ErrorKind
	// Op names the call, for example "engine.call".
	Op string
	// Status is the HTTP status of the answer; 0 if there was none.
	Status int
	// RetryAfter is how long the other side asks to wait; 0 if it did not say.
	RetryAfter time.Duration
	// Detail is a short explanation.
	Detail string
	// Err is the cause; it may be nil.
	Err error
}

// Error returns the failure as one line.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Op, e.Kind)
	if e.Status != 0 {
		text += fmt.Sprintf(": status %d", e.Status)
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MayHaveRun reports whether the other side may have run the request.
func (e *Error) MayHaveRun() bool {
	return e.Kind != KindNotStarted && e.Kind != KindRefused
}

// KindOf returns the kind of an error of this package, and KindUnknown for any other error.
func KindOf(err error) ErrorKind {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return KindUnknown
}

// MayHaveRun reports whether a request that ended with err may have run. Errors of
// other packages count as yes; nil counts as yes.
func MayHaveRun(err error) bool {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.MayHaveRun()
	}
	return true
}

// RetryAfterOf returns how long the other side asked to wait; 0 if it did not say.
func RetryAfterOf(err error) time.Duration {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.RetryAfter
	}
	return 0
}

// ErrUnchanged is returned by Watch when the wait ended without a newer value.
var ErrUnchanged = errors.New("platform: value unchanged")
