package calls

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// Record holds all runs at the backend servers and the outcomes that the callers received, and
// detects violations of the at-most-once guarantee.
type Record struct {
	retention  time.Duration
	calls      map[ident.Request]*CallRecord
	runs       map[ident.RunKey][]keyRun
	violations []string
}

type keyRun struct {
	at time.Time
	id attempt.AttemptID
}

// CallRecord holds one call and the outcome that its caller received.
type CallRecord struct {
	Call    attempt.Call
	Started time.Time
	Ended   time.Time
	Outcome outcome.Outcome
	// Ran is the number of runs of the call's attempts.
	Ran int
	// Attempts is the number of attempts that the entry reports.
	Attempts int
}

// NewRecord returns an empty record for a service with the given run key retention.
func NewRecord(retention time.Duration) *Record {
	return &Record{
		retention: retention,
		calls:     map[ident.Request]*CallRecord{},
		runs:      map[ident.RunKey][]keyRun{},
	}
}

// Violations returns a description of each violation found so far.
func (r *Record) Violations() []string { return r.violations }

// Record returns the record of all calls and runs.
func (w *World) Record() *Record { return w.record }

// Calls returns all calls by request.
func (r *Record) Calls() map[ident.Request]*CallRecord { return r.calls }

func (r *Record) addViolation(format string, arguments ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, arguments...))
}

func (r *Record) addCall(now time.Time, call attempt.Call) {
	r.calls[call.Request] = &CallRecord{Call: call, Started: now}
}

// addRun records that a backend server starts a request.
func (r *Record) addRun(now time.Time, dispatch attempt.Dispatch) {
	call := r.calls[dispatch.ID.Request]
	call.Ran++
	if call.Outcome.Kind == outcome.NotRun {
		r.addViolation("%s: %v runs after the caller received the outcome not run (%s)", now.Format("05.000"), dispatch.ID, call.Outcome.Cause)
	}
	if dispatch.Idempotent {
		return
	}
	if call.Ran > 1 {
		r.addViolation("%s: %v runs a second time within one call", now.Format("05.000"), dispatch.ID)
	}
	if dispatch.RunKey == "" {
		return
	}
	for _, earlier := range r.runs[dispatch.RunKey] {
		if now.Sub(earlier.at) < r.retention {
			r.addViolation("%s: key %s runs as %v on %v although it ran as %v %v earlier", now.Format("05.000"), dispatch.RunKey, dispatch.ID, dispatch.Target, earlier.id, now.Sub(earlier.at))
		}
	}
	r.runs[dispatch.RunKey] = append(r.runs[dispatch.RunKey], keyRun{at: now, id: dispatch.ID})
}

// removeRun removes a run after the backend server has proved that it did not start it.
func (r *Record) removeRun(dispatch attempt.Dispatch) {
	r.calls[dispatch.ID.Request].Ran--
	runs := r.runs[dispatch.RunKey]
	for i, run := range runs {
		if run.id == dispatch.ID {
			r.runs[dispatch.RunKey] = append(runs[:i:i], runs[i+1:]...)
			return
		}
	}
}

// recordOutcome records the outcome that the caller received.
func (r *Record) recordOutcome(now time.Time, finish attempt.Finish) {
	call := r.calls[finish.Request]
	if call.Outcome.Kind != outcome.Open {
		r.addViolation("%s has a second outcome %v after %v", finish.Request, finish.Outcome, call.Outcome)
	}
	call.Outcome = finish.Outcome
	call.Ended = now
	call.Attempts = finish.Attempts
	switch finish.Outcome.Kind {
	case outcome.NotRun:
		if call.Ran > 0 {
			r.addViolation("%s has the outcome not run (%s) although it ran", finish.Request, finish.Outcome.Cause)
		}
	case outcome.Served:
		if finish.Answer.Digest != answerDigest(call.Call.RunKey, call.Call.Request, call.Call.Body) {
			r.addViolation("%s received the answer to another request", finish.Request)
		}
	case outcome.Open:
		r.addViolation("%s was finished without an outcome", finish.Request)
	case outcome.Unknown:
	}
}

// answerDigest returns the digest of the answer to a request; requests with the same run key have the
// same answer.
func answerDigest(key ident.RunKey, request ident.Request, body attempt.Digest) attempt.Digest {
	identity := string(key)
	if identity == "" {
		identity = string(request)
	}
	return sha256.Sum256(append([]byte(identity+"\x1f"), body[:]...))
}

var servedOutcome = outcome.Outcome{Kind: outcome.Served}
