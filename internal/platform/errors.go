package platform

import (
	"errors"
	"fmt"
	"time"
)

// ErrorKind classifies errors by cause and by whether the request may have run.
type ErrorKind uint8

// The kinds of errors.
const (
	// KindUnknown means that the request may have started; it is the zero value.
	KindUnknown ErrorKind = iota
	// KindNotStarted means that no byte of the request was sent.
	KindNotStarted
	// KindRefused means that the server responded that it did not run the request.
	KindRefused
	// KindGarbage means that the response is malformed or unexpected, for example a redirect,
	// the response to another request or a stream with a gap; the request may have run.
	KindGarbage
	// KindTooLarge means that the response exceeds the size limit; the request may have run.
	KindTooLarge
	// KindStale means that the response is older than one received before.
	KindStale
)

// String returns the name of the kind used in logs.
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

// Error is the error of one call on a system of the platform.
type Error struct {
	Kind ErrorKind
	// Op is the operation, for example "engine.call".
	Op string
	// Status is the HTTP status of the response; 0 if none was received or recorded.
	Status int
	// RetryAfter is the wait that the server asked for; 0 if it sent none.
	RetryAfter time.Duration
	// Detail is a short explanation; it may be "".
	Detail string
	// Err is the cause; it may be nil.
	Err error
}

// Error returns the error as one line.
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

// MayHaveRun reports whether the server may have run the request.
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

// MayHaveRun reports whether a request that ended with err may have run. It returns true for
// nil and for errors that are not an *Error.
func MayHaveRun(err error) bool {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.MayHaveRun()
	}
	return true
}

// RetryAfterOf returns the RetryAfter of an *Error, and 0 for any other error.
func RetryAfterOf(err error) time.Duration {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.RetryAfter
	}
	return 0
}

// ErrUnchanged is returned by ConfigService.Watch if no newer value was set during the wait.
var ErrUnchanged = errors.New("platform: value unchanged")
