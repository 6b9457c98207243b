package standin

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxRememberedAnswers bounds the answers that are kept for FaultStale.
const maxRememberedAnswers = 256

// FaultKind is a way in which a call on an outside system goes wrong.
type FaultKind string

// The kinds of faults.
const (
	// FaultSlow handles the request late, even if the client has left meanwhile.
	FaultSlow FaultKind = "slow"
	// FaultLostRequest breaks the connection; the request is not handled.
	FaultLostRequest FaultKind = "lost-request"
	// FaultLostAnswer handles the request and breaks the connection.
	FaultLostAnswer FaultKind = "lost-answer"
	// FaultDoubled handles the request twice and answers once.
	FaultDoubled FaultKind = "doubled"
	// FaultReordered handles the request only after a later one was answered.
	FaultReordered FaultKind = "reordered"
	// FaultStale answers with the oldest answer to the same method and path.
	FaultStale FaultKind = "stale"
	// FaultGoingBack answers every second time as FaultStale does.
	FaultGoingBack FaultKind = "going-back"
	// FaultHalf breaks the connection in the middle of the answer.
	FaultHalf FaultKind = "half"
	// FaultHalfClean ends the answer in its middle as if it were whole.
	FaultHalfClean FaultKind = "half-clean"
	// FaultHalfUnmarked sends half an answer without a length and closes the connection.
	FaultHalfUnmarked FaultKind = "half-unmarked"
	// FaultGarbage handles the request and answers with other bytes.
	FaultGarbage FaultKind = "garbage"
	// FaultHuge handles the request and answers with very many bytes.
	FaultHuge FaultKind = "huge"
	// FaultRefusal answers 503 with Retry-After; the request is not handled.
	FaultRefusal FaultKind = "refusal"
	// FaultError handles the request and answers 500.
	FaultError FaultKind = "error"
	// FaultRedirect answers 307 to the same place; the request is not handled.
	FaultRedirect FaultKind = "redirect"
	// FaultSilent neither handles the request nor answers; new connections work.
	FaultSilent FaultKind = "silent"
	// FaultSilentAnswer handles the request and never answers.
	FaultSilentAnswer FaultKind = "silent-answer"
	// FaultLostEvent leaves one event out of a stream.
	FaultLostEvent FaultKind = "lost-event"
	// FaultDoubledEvent sends one event of a stream twice.
	FaultDoubledEvent FaultKind = "doubled-event"
	// FaultReorderedEvents swaps two events of a stream.
	FaultReorderedEvents FaultKind = "reordered-events"
)

// Fault is one fault to inject.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Path is the start of the paths that are hit; "" hits all.
	Path string `json:"path,omitempty"`
	// Skip is the number of matching calls that go well before the first fault.
	Skip int `json:"skip,omitempty"`
	// Count is how often the fault is injected; 0 means always.
	Count int `json:"count,omitempty"`
	// Delay is how late FaultSlow is and what FaultRefusal asks to wait.
	Delay time.Duration `json:"delay,omitempty"`
	// Event is the index of the event of a stream that is hit, or after which it is cut.
	Event int `json:"event,omitempty"`
	// Bytes is the size of FaultHuge's answers; 0 means hugeAnswerBytes.
	Bytes int `json:"bytes,omitempty"`
}

// armed is a fault with the number of calls that it has seen.
type armed struct {
	Fault
	seen int
}

// due counts a matching call and reports whether the fault hits it.
func (a *armed) due() bool {
	a.seen++
	return a.seen > a.Skip && (a.Count == 0 || a.seen <= a.Skip+a.Count)
}

// Faults injects faults into the calls on a stand-in. It is safe for concurrent use.
type Faults struct {
	mu       sync.Mutex
	armed    []*armed
	injected map[FaultKind]int
	// oldest holds the first answer for each method and path.
	oldest map[string]capture
	// answered is closed and replaced when a call was answered.
	answered chan struct{}
}

// NewFaults returns an injector with the given faults. Of several that hit a call, the
// first is injected.
func NewFaults(faults ...Fault) *Faults {
	f := &Faults{
		injected: make(map[FaultKind]int), oldest: make(map[string]capture),
		answered: make(chan struct{}),
	}
	for _, fault := range faults {
		f.Add(fault)
	}
	return f
}

// Add arms a further fault.
func (f *Faults) Add(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.armed = append(f.armed, &armed{Fault: fault})
}

// Clear disarms all faults. Calls that a fault has hit go on as they are.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.armed = nil
}

// Injected returns how often the kind was injected.
func (f *Faults) Injected(kind FaultKind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.injected[kind]
}

// pick returns the fault that hits the call, if one does.
func (f *Faults) pick(path string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var hit *armed
	for _, candidate := range f.armed {
		if strings.HasPrefix(path, candidate.Path) && candidate.due() && hit == nil {
			hit = candidate
		}
	}
	if hit == nil {
		return Fault{}, false
	}
	f.injected[hit.Kind]++
	return hit.Fault, true
}

// Wrap returns a handler that injects the faults into calls on the given one.
func (f *Faults) Wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault, hit := f.pick(r.URL.Path)
		if !hit {
			f.handle(w, r, handler)
			return
		}
		call := &faultyCall{faults: f, fault: fault, handler: handler, writer: w, request: bufferRequest(r)}
		call.inject()
	})
}

// handle handles a call without a fault.
func (f *Faults) handle(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	defer f.announce()
	key := answerKey(r)
	if !f.wants(key) {
		handler.ServeHTTP(w, r)
		return
	}
	tee := &teeWriter{ResponseWriter: w}
	handler.ServeHTTP(tee, r)
	f.remember(key, tee.capture())
}

func answerKey(r *http.Request) string { return r.Method + " " + r.URL.Path }

// wants reports whether the answer to the call is to be remembered.
func (f *Faults) wants(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.oldest[key]
	return !ok && len(f.oldest) < maxRememberedAnswers
}

func (f *Faults) remember(key string, answer capture) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.oldest[key]; !ok {
		f.oldest[key] = answer
	}
}

func (f *Faults) remembered(key string) (capture, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer, ok := f.oldest[key]
	return answer, ok
}

func (f *Faults) announce() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.answered)
	f.answered = make(chan struct{})
}

func (f *Faults) nextAnswer() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answered
}
