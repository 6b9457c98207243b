package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// PlainOptions are the settings of a plain service.
type PlainOptions struct {
	// Credentials are the accepted bearer tokens; without any, the service checks nobody.
	Credentials []string
	// Delay is how long a run takes.
	Delay time.Duration
	// MaxRunning bounds the runs at once; more are refused with 429. 0 means no bound.
	MaxRunning int
	// CrashMarker crashes the service when a request runs whose body holds it; "" never does.
	CrashMarker string
	// RestartAfter is how long the service is away after a crash.
	RestartAfter time.Duration
}

// Plain is a stand-in for a plain service. It runs every request that reaches it, also
// one that it has run before.
type Plain struct {
	options PlainOptions
	record

	lock      sync.Mutex
	boot      uint64
	dead      chan struct{}
	downUntil time.Time
	running   map[int]bool
}

// NewPlain returns a plain service.
func NewPlain(options PlainOptions) *Plain {
	return &Plain{options: options, boot: 1, dead: make(chan struct{}), running: make(map[int]bool)}
}

// PlainResult is the JSON answer of a plain service.
type PlainResult struct {
	Request   ident.Request `json:"request"`
	Operation string        `json:"operation"`
	// Result is derived from the operation and the body, so that a crossed answer shows.
	Result string `json:"result"`
	// Run is the sequence number of the run.
	Run uint64 `json:"run"`
}

// Result returns the result that every plain service gives for a call; the operation is
// the method and the path.
func Result(operation string, body []byte) string {
	return fmt.Sprintf("%016x", mix(xxhash.Sum64String(operation), xxhash.Sum64(body)))
}

// ServeHTTP runs the request.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.down() {
		abort()
	}
	if !allowed(p.options.Credentials, r) {
		refuse(w, http.StatusForbidden, "unknown issuer")
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		abort()
	}
	run := Run{
		Request: ident.Request(r.Header.Get(platform.HeaderRequestID)), Key: r.Header.Get(platform.HeaderIdempotencyKey),
		Operation: r.Method + " " + r.URL.RequestURI(), BodyDigest: xxhash.Sum64(body),
	}
	index, dead, ok := p.begin(run)
	if !ok {
		refuseFor(w, http.StatusTooManyRequests, time.Second, "too many requests")
		return
	}
	if marker := p.options.CrashMarker; marker != "" && strings.Contains(string(body), marker) {
		p.Crash()
		abort()
	}
	p.work(dead)
	p.end(index, dead)
	result := PlainResult{
		Request: run.Request, Operation: run.Operation, Result: Result(run.Operation, body), Run: uint64(index) + 1,
	}
	writeJSON(w, http.StatusOK, result)
}

func (p *Plain) down() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return time.Now().Before(p.downUntil)
}

// begin starts a run unless too many are running.
func (p *Plain) begin(run Run) (int, chan struct{}, bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.options.MaxRunning > 0 && len(p.running) >= p.options.MaxRunning {
		return 0, nil, false
	}
	run.Boot = p.boot
	index := p.record.start(run)
	p.running[index] = true
	return index, p.dead, true
}

// work takes as long as a run does. It breaks the connection if the service crashes.
func (p *Plain) work(dead chan struct{}) {
	if !sleep(p.options.Delay, dead) {
		abort()
	}
}

// end finishes a run, or breaks the connection if the service has crashed meanwhile.
func (p *Plain) end(index int, dead chan struct{}) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.dead != dead {
		abort()
	}
	delete(p.running, index)
	p.record.end(index, RunFinished)
}

// Crash breaks all connections; the service comes back after its restart time.
func (p *Plain) Crash() {
	p.lock.Lock()
	defer p.lock.Unlock()
	for index := range p.running {
		p.record.end(index, RunCrashed)
	}
	clear(p.running)
	close(p.dead)
	p.dead = make(chan struct{})
	p.boot++
	p.downUntil = time.Now().Add(p.options.RestartAfter)
}

// ParseResult decodes the answer of a plain service.
func ParseResult(body []byte) (PlainResult, error) {
	var result PlainResult
	err := json.Unmarshal(body, &result)
	return result, err
}

// action identifies what a run did: a second run with the same action did it again.
type action struct {
	operation string
	digest    uint64
}

// DoubledRuns returns the runs that did again what an earlier run had done, among those
// whose operation starts with the prefix.
func DoubledRuns(runs []Run, prefix string) []Run {
	seen := make(map[action]bool)
	var doubled []Run
	for _, run := range runs {
		if !strings.HasPrefix(run.Operation, prefix) {
			continue
		}
		a := action{operation: run.Operation, digest: run.BodyDigest}
		if seen[a] {
			doubled = append(doubled, run)
		}
		seen[a] = true
	}
	return doubled
}
