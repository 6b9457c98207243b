package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// PlainOptions configures a plain service.
type PlainOptions struct {
	// Credentials are the accepted bearer tokens; if empty, every request is accepted.
	Credentials []string
	// Delay is the duration of a run.
	Delay time.Duration
	// MaxRunning bounds the concurrent runs; further requests are refused with status 429.
	// 0 means no limit.
	MaxRunning int
	// CrashMarker is a text in request bodies: a request that contains it crashes the service
	// when it starts to run. "" disables this.
	CrashMarker string
	// RestartAfter is how long the service is unreachable after a crash.
	RestartAfter time.Duration
}

// Plain is a stand-in for a plain service. It runs every request that it receives, even a
// duplicate. It is safe for concurrent use.
type Plain struct {
	options PlainOptions
	runLog

	// lock guards the fields below. The embedded runLog has its own lock, mu.
	lock      sync.Mutex
	boot      uint64
	bootEnded chan struct{}
	downUntil time.Time
	running   map[int]bool
}

// NewPlain returns a plain service in its first boot.
func NewPlain(options PlainOptions) *Plain {
	return &Plain{options: options, boot: 1, bootEnded: make(chan struct{}), running: make(map[int]bool)}
}

// PlainResult is the JSON response of a plain service.
type PlainResult struct {
	Request   ident.Request `json:"request"`
	Operation string        `json:"operation"`
	// Result is derived from the operation and the body, so that tests detect a response to
	// another request.
	Result string `json:"result"`
	// Run is the sequence number of the run.
	Run uint64 `json:"run"`
	// Padding makes the response as long as the request asks for, see QueryPadding.
	Padding string `json:"padding,omitempty"`
}

// QueryPadding is the name of a query parameter with the length of PlainResult.Padding in bytes.
const QueryPadding = "padding"

// maxPadding bounds PlainResult.Padding in bytes.
const maxPadding = 8 << 20

// paddingFor returns the padding that a request asks for; "" if it asks for none or for an invalid length.
func paddingFor(r *http.Request) string {
	length, err := strconv.Atoi(r.URL.Query().Get(QueryPadding))
	if err != nil || length < 0 || length > maxPadding {
		return ""
	}
	return strings.Repeat("x", length)
}

// Result returns the PlainResult.Result that any Plain sends in response to a call. The
// operation is the method and the request URI, separated by a space.
func Result(operation string, body []byte) string {
	return fmt.Sprintf("%016x", hashPair(xxhash.Sum64String(operation), xxhash.Sum64(body)))
}

// ServeHTTP runs the request.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.down() {
		abort()
	}
	if !authorized(p.options.Credentials, r) {
		writeError(w, http.StatusForbidden, "credential is not accepted")
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
	index, bootEnded, ok := p.begin(run)
	if !ok {
		writeRetryLater(w, http.StatusTooManyRequests, time.Second, "too many concurrent requests")
		return
	}
	if marker := p.options.CrashMarker; marker != "" && strings.Contains(string(body), marker) {
		p.Crash()
		abort()
	}
	p.waitDelay(bootEnded)
	p.end(index, bootEnded)
	result := PlainResult{
		Request: run.Request, Operation: run.Operation, Result: Result(run.Operation, body), Run: uint64(index) + 1,
		Padding: paddingFor(r),
	}
	writeJSON(w, http.StatusOK, result)
}

func (p *Plain) down() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return time.Now().Before(p.downUntil)
}

// begin starts a run and returns false if MaxRunning runs are in progress.
func (p *Plain) begin(run Run) (int, chan struct{}, bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.options.MaxRunning > 0 && len(p.running) >= p.options.MaxRunning {
		return 0, nil, false
	}
	run.Boot = p.boot
	index := p.runLog.start(run)
	p.running[index] = true
	return index, p.bootEnded, true
}

// waitDelay waits for the duration of a run. It closes the connection if the service crashes.
func (p *Plain) waitDelay(bootEnded chan struct{}) {
	if !sleep(p.options.Delay, bootEnded) {
		abort()
	}
}

// end finishes a run, or closes the connection if the service has crashed since its start.
func (p *Plain) end(index int, bootEnded chan struct{}) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.bootEnded != bootEnded {
		abort()
	}
	delete(p.running, index)
	p.runLog.end(index, RunFinished)
}

// Crash ends all runs and closes the connections of their requests. Until RestartAfter has
// passed, the connection of every further request is closed without a response.
func (p *Plain) Crash() {
	p.lock.Lock()
	defer p.lock.Unlock()
	for index := range p.running {
		p.runLog.end(index, RunCrashed)
	}
	clear(p.running)
	close(p.bootEnded)
	p.bootEnded = make(chan struct{})
	p.boot++
	p.downUntil = time.Now().Add(p.options.RestartAfter)
}

// ParseResult decodes the response of a plain service.
func ParseResult(body []byte) (PlainResult, error) {
	var result PlainResult
	err := json.Unmarshal(body, &result)
	return result, err
}

// action identifies the effect of a run. Two runs with the same action are duplicates.
type action struct {
	operation string
	digest    uint64
}

// DuplicateRuns returns the runs with the same operation and body as an earlier run. It ignores
// runs whose operation does not start with the prefix.
func DuplicateRuns(runs []Run, prefix string) []Run {
	seen := make(map[action]bool)
	var duplicates []Run
	for _, run := range runs {
		if !strings.HasPrefix(run.Operation, prefix) {
			continue
		}
		a := action{operation: run.Operation, digest: run.BodyDigest}
		if seen[a] {
			duplicates = append(duplicates, run)
		}
		seen[a] = true
	}
	return duplicates
}
