package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/callerconn"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

const (
	problemType = "application/problem+json"
	// connectionRetryAfter is the Retry-After for callers for whose connections there is no room: connections of callers that comply end
	// within it.
	connectionRetryAfter = time.Second
)

// problem is the problem details body (RFC 9457) of a call that was not served.
type problem struct {
	Type    string        `json:"type"`
	Title   string        `json:"title"`
	Status  int           `json:"status"`
	Outcome string        `json:"outcome"`
	Cause   outcome.Cause `json:"cause"`
	Detail  string        `json:"detail,omitempty"`
	// CausedBy is the customer whose demand caused the refusal. writeProblem does not set it, and the body omits it.
	CausedBy          ident.Customer `json:"caused_by,omitempty"`
	RetryAfterSeconds int            `json:"retry_after_seconds,omitempty"`
}

// httpStatus returns the HTTP status for an outcome other than served.
func httpStatus(result outcome.Outcome) int {
	// The outcome is in doubt: the request may have run.
	if result.Kind == outcome.Unknown {
		if result.Cause == outcome.CauseTimeout || result.Cause == outcome.CauseDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch result.Cause {
	case outcome.CauseBadRequest:
		return http.StatusBadRequest
	case outcome.CauseUnauthorized:
		return http.StatusUnauthorized
	case outcome.CauseNoRoute:
		return http.StatusNotFound
	case outcome.CauseTooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.CauseKeyConflict:
		return http.StatusConflict
	case outcome.CauseRateLimit, outcome.CauseConcurrencyLimit, outcome.CauseTokenLimit, outcome.CauseOverShare, outcome.CauseRetryBudget:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// retrySeconds returns the wait in seconds, rounded up.
func retrySeconds(wait time.Duration) int {
	return int(math.Ceil(wait.Seconds()))
}

// extendWriteDeadline sets the deadline of the next write to the caller.
func (e *Entry) extendWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(e.writeTimeout()))
}

// writeProblem answers a call that was not served.
func (e *Entry) writeProblem(w http.ResponseWriter, result outcome.Outcome) {
	e.extendWriteDeadline(w)
	body := problemOf(result)
	body.setFields(w.Header())
	writeJSON(w, problemType, body.Status, body)
}

// problemOf returns the problem details of a result.
func problemOf(result outcome.Outcome) problem {
	status := httpStatus(result)
	return problem{
		Type:              "about:blank",
		Title:             http.StatusText(status),
		Status:            status,
		Outcome:           result.Kind.String(),
		Cause:             result.Cause,
		Detail:            result.Detail,
		RetryAfterSeconds: retrySeconds(result.RetryAfter),
	}
}

// setFields sets the header fields that repeat a part of the problem details.
func (p problem) setFields(header http.Header) {
	header.Set(HeaderOutcome, p.Outcome)
	header.Set(HeaderCause, string(p.Cause))
	if p.RetryAfterSeconds > 0 {
		header.Set("Retry-After", strconv.Itoa(p.RetryAfterSeconds))
	}
}

// connectionRefusal returns the response to callers for whose connections there is no room.
func connectionRefusal() []byte {
	result := outcome.Refused(outcome.CauseConnectionsFull)
	result.RetryAfter = connectionRetryAfter
	body := problemOf(result)
	header := http.Header{"Content-Type": {problemType}}
	body.setFields(header)
	// The fields of a problem are strings and numbers.
	text, _ := json.Marshal(body)
	return callerconn.Refusal(header, string(text)+"\n")
}

func writeJSON(w http.ResponseWriter, contentType string, status int, body any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// keyState is the JSON body of the answer to an inquiry about a run key.
type keyState struct {
	Key string `json:"key"`
	// State is "absent", "waiting" (accepted, but its run has not started), "running", "served" or "in-doubt".
	State   string        `json:"state"`
	Outcome string        `json:"outcome,omitempty"`
	Cause   outcome.Cause `json:"cause,omitempty"`
	// Status is the HTTP status of the answer; 0 if there is none.
	Status int `json:"status,omitempty"`
}

func (e *Entry) writeKeyAnswer(w http.ResponseWriter, key string, answer attempt.KeyAnswer) {
	e.extendWriteDeadline(w)
	state := keyState{Key: key, Cause: answer.Outcome.Cause, Status: answer.Answer.Status}
	switch answer.Status {
	case attempt.KeyAbsent:
		state.State, state.Outcome = "absent", outcome.NotRun.String()
	case attempt.KeyHeld:
		state.State, state.Outcome = "waiting", outcome.Open.String()
	case attempt.KeyRunning:
		state.State, state.Outcome = "running", outcome.Open.String()
	case attempt.KeyServed:
		state.State, state.Outcome = "served", outcome.Served.String()
	default:
		state.State, state.Outcome = "in-doubt", outcome.Unknown.String()
	}
	writeJSON(w, "application/json", http.StatusOK, state)
}
