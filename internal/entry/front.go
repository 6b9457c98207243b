package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/published"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// Header fields of the callers' interface.
const (
	HeaderRequest        = "Bramleyspool-Request-Id"
	HeaderOutcome        = "Bramleyspool-Outcome"
	HeaderCause          = "Bramleyspool-Cause"
	HeaderClass          = "Bramleyspool-Class"
	HeaderRetry          = "Bramleyspool-Retry"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	pathCompletions     = "/v1/completions"
	pathChatCompletions = "/v1/chat/completions"
	pathCalls           = "/v1/calls/{key}"
	pathLive            = "/livez"
	pathReady           = "/readyz"

	maxKeyBytes    = 256
	inquiryTimeout = 2 * time.Second
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

// admitted is a call whose customer is known.
type admitted struct {
	id            ident.Request
	customer      ident.Customer
	configuration *published.Configuration
}

// identify finds the customer of a call. It refuses calls without a valid credential.
func (e *Entry) identify(w http.ResponseWriter, r *http.Request) (admitted, bool) {
	call := admitted{id: e.newRequest(), configuration: e.configuration.Load()}
	w.Header().Set(HeaderRequest, string(call.id))
	if call.configuration == nil {
		e.refuse(w, outcome.Refused(outcome.CauseNotReady))
		return call, false
	}
	credential, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		call.customer, ok = call.configuration.Templates.CustomerOf(credential)
	}
	if !ok {
		e.refuse(w, outcome.Refused(outcome.CauseUnauthorized))
		return call, false
	}
	return call, true
}

// refuse answers a call that never reached the control thread.
func (e *Entry) refuse(w http.ResponseWriter, refused outcome.Outcome) {
	e.host.Count("front_refused", string(refused.Cause))
	writeProblem(w, refused)
}

// reject answers a customer's call that never reached the control thread and enters it
// in the account.
func (e *Entry) reject(w http.ResponseWriter, call admitted, class ident.Class, refused outcome.Outcome) {
	e.host.Post(control.CallRejected{Customer: call.customer, Class: class, Outcome: refused})
	e.refuse(w, refused)
}

func (e *Entry) serveModel(w http.ResponseWriter, r *http.Request) {
	call, ok := e.identify(w, r)
	if !ok {
		return
	}
	class := call.configuration.Templates.ModelClass(call.customer, ident.Class(r.Header.Get(HeaderClass)))
	if class == nil {
		e.reject(w, call, "", outcome.Refused(outcome.CauseNoRoute))
		return
	}
	e.serve(w, r, call, class)
}

func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request) {
	call, ok := e.identify(w, r)
	if !ok {
		return
	}
	class := call.configuration.Templates.ClassOfRoute(call.customer, r.Method, r.URL.Path)
	if class == nil {
		e.reject(w, call, "", outcome.Refused(outcome.CauseNoRoute))
		return
	}
	e.serve(w, r, call, class)
}

// serve reads the call, hands it to the control thread and carries out what it is told
// until the call has its outcome.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, call admitted, class *template.ClassPlan) {
	if e.openCalls.Add(1) > int64(e.config.Settings.MaxOpenCalls) {
		e.openCalls.Add(-1)
		e.reject(w, call, class.Name, outcome.Refused(outcome.CauseControlQueueFull))
		return
	}
	defer e.openCalls.Add(-1)
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(e.readTimeout()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.config.Settings.MaxBodyBytes))
	if err != nil {
		e.reject(w, call, class.Name, bodyRefusal(err))
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	arrived, payload, refused := readCall(r, call, class, body)
	if refused.Kind != outcome.Open {
		e.reject(w, call, class.Name, refused)
		return
	}
	exchange := newExchange(e, w, r, call.id, payload)
	e.open(exchange)
	defer e.close(exchange)
	if !e.host.Offer(arrived) {
		e.reject(w, call, class.Name, outcome.Refused(outcome.CauseControlQueueFull))
		return
	}
	exchange.run()
}

func bodyRefusal(err error) outcome.Outcome {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return outcome.Refused(outcome.CauseTooLarge)
	}
	refused := outcome.Refused(outcome.CauseBadRequest)
	refused.Detail = "the body could not be read"
	return refused
}

// serveInquiry tells what became of a run key.
func (e *Entry) serveInquiry(w http.ResponseWriter, r *http.Request) {
	call, ok := e.identify(w, r)
	if !ok {
		return
	}
	service := inquiryService(call, ident.Service(r.URL.Query().Get("service")))
	if service == "" {
		refused := outcome.Refused(outcome.CauseBadRequest)
		refused.Detail = "the query parameter service must name a service of the customer's classes that are not idempotent"
		e.refuse(w, refused)
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
		e.refuse(w, outcome.Refused(outcome.CauseControlQueueFull))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), inquiryTimeout)
	defer cancel()
	select {
	case answer := <-answers:
		writeKeyAnswer(w, r.PathValue("key"), answer)
	case <-ctx.Done():
		writeProblem(w, outcome.InDoubt(outcome.CauseTimeout, key))
	}
}

// inquiryService returns the service of a run key: the named one, or the only one that
// the customer has with run keys.
func inquiryService(call admitted, named ident.Service) ident.Service {
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
