package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/callerconn"
	"github.com/bramleyspool/bramleyspool/internal/callermem"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/published"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// Header fields of the HTTP interface for callers.
const (
	HeaderRequest = "Bramleyspool-Request-Id"
	HeaderOutcome = "Bramleyspool-Outcome"
	HeaderCause   = "Bramleyspool-Cause"
	HeaderClass   = "Bramleyspool-Class"
	// HeaderRetry marks a call as a retry. Callers send it with any value that is not empty.
	HeaderRetry          = "Bramleyspool-Retry"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	pathCompletions     = "/v1/completions"
	pathChatCompletions = "/v1/chat/completions"
	pathCalls           = "/v1/calls/{key}"
	pathLive            = "/livez"
	pathReady           = "/readyz"

	// maxKeyBytes is the maximum length of the caller's idempotency key.
	maxKeyBytes = 256
	// inquiryTimeout bounds an inquiry about the state of a run key.
	inquiryTimeout = 2 * time.Second
	// memoryRetryAfter is the Retry-After of calls for whose body there is no memory.
	memoryRetryAfter = time.Second
	// bodyCopies is how often a body is in memory at a time: as read, and as sent to an agent.
	bodyCopies = 2
)

func (e *Entry) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathLive, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET "+pathReady, e.serveReady)
	mux.HandleFunc("GET "+pathCalls, e.serveInquiry)
	mux.HandleFunc("POST "+pathCompletions, e.serveModel)
	mux.HandleFunc("POST "+pathChatCompletions, e.serveModel)
	mux.HandleFunc("/", e.servePlain)
	return mux
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.host.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// authenticatedCall is a call whose customer was identified by its credential.
type authenticatedCall struct {
	id            ident.Request
	customer      ident.Customer
	configuration *published.Configuration
}

// authenticate identifies the customer of a call. It refuses calls without a valid credential, and all calls once the control thread has ended.
func (e *Entry) authenticate(w http.ResponseWriter, r *http.Request) (authenticatedCall, bool) {
	call := authenticatedCall{id: e.newRequestID(), configuration: e.configuration.Load()}
	w.Header().Set(HeaderRequest, string(call.id))
	if e.host.Context().Err() != nil {
		e.refuse(w, r, control.RefusedLeaving())
		return call, false
	}
	if call.configuration == nil {
		e.refuse(w, r, outcome.Refused(outcome.CauseNotReady))
		return call, false
	}
	credential, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		call.customer, ok = call.configuration.Templates.CustomerOf(credential)
	}
	if !ok {
		e.refuse(w, r, outcome.Refused(outcome.CauseUnauthorized))
		return call, false
	}
	return call, true
}

// refuse answers a call or an inquiry that was not passed to the control thread, and counts it in front_refused by its
// cause.
func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, refused outcome.Outcome) {
	e.host.Count("front_refused", string(refused.Cause))
	if r.ContentLength != 0 {
		callerconn.RespondBeforeBody(w, r, e.config.Settings.MaxBodyBytes, false)
	}
	e.writeProblem(w, refused)
}

// refuseAndRecord refuses a customer's call and posts the refusal to the control thread, which
// counts it in the overload account.
func (e *Entry) refuseAndRecord(w http.ResponseWriter, r *http.Request, call authenticatedCall, class ident.Class, refused outcome.Outcome) {
	e.host.Post(control.CallRejected{Customer: call.customer, Class: class, Outcome: refused})
	e.refuse(w, r, refused)
}

func (e *Entry) serveModel(w http.ResponseWriter, r *http.Request) {
	call, ok := e.authenticate(w, r)
	if !ok {
		return
	}
	class := call.configuration.Templates.ModelClass(call.customer, ident.Class(r.Header.Get(HeaderClass)))
	if class == nil {
		e.refuseAndRecord(w, r, call, "", outcome.Refused(outcome.CauseNoRoute))
		return
	}
	e.serve(w, r, call, class)
}

func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request) {
	call, ok := e.authenticate(w, r)
	if !ok {
		return
	}
	class := call.configuration.Templates.ClassOfRoute(call.customer, r.Method, r.URL.Path)
	if class == nil {
		e.refuseAndRecord(w, r, call, "", outcome.Refused(outcome.CauseNoRoute))
		return
	}
	e.serve(w, r, call, class)
}

// serve reads the call, passes it to the control thread and executes the resulting actions until
// the call has an outcome.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, call authenticatedCall, class *template.ClassPlan) {
	// A call above the limit of open calls is refused with the same cause as one that finds the control queue full.
	if e.openCalls.Add(1) > int64(e.config.Settings.MaxOpenCalls) {
		e.openCalls.Add(-1)
		e.refuseAndRecord(w, r, call, class.Name, outcome.Refused(outcome.CauseControlQueueFull))
		return
	}
	defer e.openCalls.Add(-1)
	memory := &callermem.Call{Account: e.memory}
	defer memory.Return()
	body, err := e.readBody(w, r, call, memory)
	if err != nil {
		e.refuseAndRecord(w, r, call, class.Name, e.bodyReadOutcome(r, err))
		return
	}
	arrived, payload, result := parseCall(r, call, class, body)
	if result.Kind != outcome.Open {
		e.refuseAndRecord(w, r, call, class.Name, result)
		return
	}
	exchange := newExchange(e, w, r, call.id, payload, memory)
	e.addExchange(exchange)
	defer e.removeExchange(exchange)
	if !e.host.Offer(arrived) {
		e.refuseAndRecord(w, r, call, class.Name, outcome.Refused(outcome.CauseControlQueueFull))
		return
	}
	exchange.run()
}

// readBody reads the body of a call, which has none afterwards. The error is a *http.MaxBytesError if it is too long, and
// callermem.ErrFull if there is no memory for it; nothing of such a body is read if its length is known.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, call authenticatedCall, memory *callermem.Call) ([]byte, error) {
	limit := e.config.Settings.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	weight := call.configuration.Templates.RelativeWeight(call.customer)
	take := func(bytes int64) bool {
		bytes *= bodyCopies
		return e.connections.TakeBody(r.Context(), bytes, func() bool { return memory.TakeRequest(call.customer, weight, bytes) })
	}
	body, err := callermem.ReadAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, take)
	if err != nil {
		return nil, err
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	e.connections.RecordRead(r.Context())
	r.Body, r.ContentLength = http.NoBody, 0
	return body, nil
}

// bodyReadOutcome returns the outcome of a call whose body could not be read.
func (e *Entry) bodyReadOutcome(r *http.Request, err error) outcome.Outcome {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return outcome.Refused(outcome.CauseTooLarge)
	case errors.Is(err, callermem.ErrFull), e.connections.Evicted(r.Context()):
		refused := outcome.Refused(outcome.CauseMemoryFull)
		refused.RetryAfter = memoryRetryAfter
		return refused
	}
	refused := outcome.Refused(outcome.CauseBadRequest)
	refused.Detail = "the body could not be read"
	return refused
}

// serveInquiry reports the state of a run key.
func (e *Entry) serveInquiry(w http.ResponseWriter, r *http.Request) {
	call, ok := e.authenticate(w, r)
	if !ok {
		return
	}
	service := inquiryService(call, ident.Service(r.URL.Query().Get("service")))
	if service == "" {
		refused := outcome.Refused(outcome.CauseBadRequest)
		refused.Detail = "the query parameter service must name a service of the customer's classes that are not idempotent"
		e.refuse(w, r, refused)
		return
	}
	answers := make(chan attempt.KeyAnswer, 1)
	e.mu.Lock()
	e.inquiries[call.id] = answers
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.inquiries, call.id)
		e.mu.Unlock()
	}()
	key := ident.NewRunKey(call.customer, service, r.PathValue("key"))
	if !e.host.Offer(control.KeyInquiry{Request: call.id, Service: service, RunKey: key}) {
		e.refuse(w, r, outcome.Refused(outcome.CauseControlQueueFull))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), inquiryTimeout)
	defer cancel()
	select {
	case answer := <-answers:
		e.writeKeyAnswer(w, r.PathValue("key"), answer)
	case <-ctx.Done():
		e.writeProblem(w, outcome.InDoubt(outcome.CauseTimeout, key))
	}
}

// inquiryService returns the service of a run key: the named one, or else the customer's only
// service whose classes are not idempotent. It returns "" if there is no such service, or none is
// named and there are several.
func inquiryService(call authenticatedCall, named ident.Service) ident.Service {
	plan := call.configuration.Templates.Plan(call.customer)
	var found ident.Service
	for i := range plan.Classes {
		class := &plan.Classes[i]
		if class.Idempotent || (named != "" && class.Service != named) {
			continue
		}
		if found != "" && found != class.Service {
			return ""
		}
		found = class.Service
	}
	return found
}
