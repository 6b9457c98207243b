package standin

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxRecordedAnswers bounds the number of responses that are kept for FaultStale.
const maxRecordedAnswers = 256

// FaultKind is a kind of failure of a call on a system of the platform.
type FaultKind string

// The kinds of faults.
const (
	// FaultSlow handles the request after Delay, even if the client has disconnected.
	FaultSlow FaultKind = "slow"
	// FaultLostRequest closes the connection without handling the request.
	FaultLostRequest FaultKind = "lost-request"
	// FaultLostAnswer handles the request and closes the connection without a response.
	FaultLostAnswer FaultKind = "lost-answer"
	// FaultDoubled handles the request twice and sends one response.
	FaultDoubled FaultKind = "doubled"
	// FaultReordered handles the request after another call was handled or the client has
	// disconnected.
	FaultReordered FaultKind = "reordered"
	// FaultStale sends the first response to the same method and path again.
	FaultStale FaultKind = "stale"
	// FaultGoingBack acts like FaultStale at every second call into which it is injected; the
	// first of each two calls is handled normally.
	FaultGoingBack FaultKind = "going-back"
	// FaultHalf closes the connection in the middle of the response.
	FaultHalf FaultKind = "half"
	// FaultHalfClean sends half of the response body as if it were the whole.
	FaultHalfClean FaultKind = "half-clean"
	// FaultHalfUnmarked sends half of the response without a length and closes the connection.
	FaultHalfUnmarked FaultKind = "half-unmarked"
	// FaultGarbage handles the request and sends a malformed body.
	FaultGarbage FaultKind = "garbage"
	// FaultHuge handles the request and sends a body of at least Bytes bytes.
	FaultHuge FaultKind = "huge"
	// FaultRefusal responds with 503 and Retry-After without handling the request.
	FaultRefusal FaultKind = "refusal"
	// FaultError handles the request and responds with 500.
	FaultError FaultKind = "error"
	// FaultRedirect responds with a 307 redirect to the same URL without handling the request.
	FaultRedirect FaultKind = "redirect"
	// FaultSilent neither handles the request nor responds, and keeps the connection open. Other
	// connections still work.
	FaultSilent FaultKind = "silent"
	// FaultSilentAnswer handles the request and never responds.
	FaultSilentAnswer FaultKind = "silent-answer"
	// FaultLostEvent omits one event of a stream.
	FaultLostEvent FaultKind = "lost-event"
	// FaultDoubledEvent sends one event of a stream twice.
	FaultDoubledEvent FaultKind = "doubled-event"
	// FaultReorderedEvents swaps two events of a stream.
	FaultReorderedEvents FaultKind = "reordered-events"
)

// Fault is one fault to inject.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Path is the prefix of the URL paths that match; "" matches all.
	Path string `json:"path,omitempty"`
	// Skip is the number of matching calls before the first fault.
	Skip int `json:"skip,omitempty"`
	// Count is how often the fault is injected; 0 means no limit.
	Count int `json:"count,omitempty"`
	// Delay is the delay of FaultSlow and the Retry-After of FaultRefusal. For
	// FaultRefusal, 0 means 1 s.
	Delay time.Duration `json:"delay,omitempty"`
	// Event is the index of the stream event that is changed, or at which the stream is
	// truncated.
	Event int `json:"event,omitempty"`
	// Bytes is the minimum body size of FaultHuge; 0 means 32 MiB.
	Bytes int `json:"bytes,omitempty"`
}

// activeFault is a fault and the number of calls that matched it.
type activeFault struct {
	Fault
	matched int
}

// countMatch counts a matching call and reports whether to inject the fault into it.
func (a *activeFault) countMatch() bool {
	a.matched++
	return a.matched > a.Skip && (a.Count == 0 || a.matched <= a.Skip+a.Count)
}

// Faults injects faults into the calls on a stand-in. It is safe for concurrent use.
type Faults struct {
	mu       sync.Mutex
	active   []*activeFault
	injected map[FaultKind]int
	// firstAnswers holds the first response for each method and path.
	firstAnswers map[string]capture
	// answered is closed and replaced when a call has been handled, even if its response is
	// not yet sent or is never sent.
	answered chan struct{}
}

// NewFaults returns an injector with the given faults. If several faults apply to a call, the
// first is injected.
func NewFaults(faults ...Fault) *Faults {
	f := &Faults{
		injected: make(map[FaultKind]int), firstAnswers: make(map[string]capture),
		answered: make(chan struct{}),
	}
	for _, fault := range faults {
		f.Add(fault)
	}
	return f
}

// Add adds a fault.
func (f *Faults) Add(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append(f.active, &activeFault{Fault: fault})
}

// Clear removes all faults. It has no effect on calls into which a fault was injected.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = nil
}

// Injected returns how often faults of the kind were injected.
func (f *Faults) Injected(kind FaultKind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.injected[kind]
}

// selectFault returns the fault to inject into the call, if any.
func (f *Faults) selectFault(path string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var hit *activeFault
	for _, candidate := range f.active {
		if strings.HasPrefix(path, candidate.Path) && candidate.countMatch() && hit == nil {
			hit = candidate
		}
	}
	if hit == nil {
		return Fault{}, false
	}
	f.injected[hit.Kind]++
	return hit.Fault, true
}

// Wrap returns a handler that injects the faults into calls on the given handler.
func (f *Faults) Wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault, hit := f.selectFault(r.URL.Path)
		if !hit {
			f.serve(w, r, handler)
			return
		}
		call := &faultyCall{faults: f, fault: fault, handler: handler, writer: w, request: bufferRequest(r)}
		call.inject()
	})
}

// serve handles a call without a fault.
func (f *Faults) serve(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	defer f.notifyAnswered()
	key := answerKey(r)
	if !f.shouldRecord(key) {
		handler.ServeHTTP(w, r)
		return
	}
	tee := &teeWriter{ResponseWriter: w}
	handler.ServeHTTP(tee, r)
	f.recordAnswer(key, tee.capture())
}

func answerKey(r *http.Request) string { return r.Method + " " + r.URL.Path }

// shouldRecord reports whether the response to the call is to be recorded.
func (f *Faults) shouldRecord(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.firstAnswers[key]
	return !ok && len(f.firstAnswers) < maxRecordedAnswers
}

func (f *Faults) recordAnswer(key string, answer capture) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.firstAnswers[key]; !ok {
		f.firstAnswers[key] = answer
	}
}

func (f *Faults) recordedAnswer(key string) (capture, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer, ok := f.firstAnswers[key]
	return answer, ok
}

// notifyAnswered reports that a call has been handled.
func (f *Faults) notifyAnswered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.answered)
	f.answered = make(chan struct{})
}

// nextAnswered returns a channel that is closed when the next call has been handled.
func (f *Faults) nextAnswered() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answered
}
