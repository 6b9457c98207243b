package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// Defaults of EngineOptions, and limits of engines.
const (
	defaultMaxRunning  = 8
	defaultMaxWaiting  = 64
	defaultCacheBlocks = 4096
	// maxEndedRequests bounds the ended requests whose streams can still be resumed.
	maxEndedRequests = 1024
)

// EngineOptions configures an engine. A delay of 0 means no delay.
type EngineOptions struct {
	// Credentials are the accepted bearer tokens; if empty, every request is accepted.
	Credentials []string
	// IgnoresFencing makes the engine carry out orders with outdated fencing numbers.
	IgnoresFencing bool
	// Model is the model that is loaded at boot; with "" the engine serves every model.
	Model string
	// StepDelay is the duration of a step with one request.
	StepDelay time.Duration
	// BatchDelay is added to a step for each further request.
	BatchDelay time.Duration
	// PrefillDelay is added to a step for each uncached prompt block of the requests that
	// start in it.
	PrefillDelay time.Duration
	// MaxRunning bounds the running requests; 0 means 8. A request is refused if MaxRunning
	// requests are running and MaxWaiting or more are queued; a MaxWaiting of 0 means 64.
	MaxRunning int
	MaxWaiting int
	// CacheBlocks is the capacity of the prefix cache in blocks; 0 means 4096.
	CacheBlocks int
	// CacheGapEvery drops every n-th cache event; 0 drops none.
	CacheGapEvery uint64
	// CacheEventDelay is the delay until a cache event is published.
	CacheEventDelay time.Duration
	// LoadLag is the age of the load reports.
	LoadLag time.Duration
	// OrderDelay is the duration of an order.
	OrderDelay time.Duration
	// CrashMarker is a text in request bodies: a request that contains it crashes the engine
	// when it starts to run. "" disables this.
	CrashMarker string
	// RestartAfter is how long the engine is unreachable after a crash.
	RestartAfter time.Duration
	// GateSteps makes the engine run only steps that an order has allowed.
	GateSteps bool
	// Layers and Experts are the dimensions of the expert counts.
	Layers  int
	Experts int
	// ChooseExpert returns the expert of a layer that a token is routed to; nil spreads the
	// tokens evenly. The argument tokenHash is a hash of the token and the layer.
	ChooseExpert func(layer int, tokenHash uint64) int
}

func (o EngineOptions) withDefaults() EngineOptions {
	if o.MaxRunning == 0 {
		o.MaxRunning = defaultMaxRunning
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	return o
}

// Engine is a stand-in for a model engine with continuous batching. It is safe for concurrent
// use.
type Engine struct {
	options EngineOptions
	mux     *http.ServeMux
	// group is the engine's lock-step group; nil if it has none.
	group *Group
	runLog

	// lock guards the fields below. The embedded runLog has its own lock, mu.
	lock sync.Mutex
	// boot counts the starts; bootEnded is closed when the current boot ends.
	boot        uint64
	bootEnded   chan struct{}
	downUntil   time.Time
	closed      bool
	loopRunning bool
	loops       sync.WaitGroup
	// sequence counts the jobs that were queued, over all boots.
	sequence   uint64
	waiting    []*job
	running    []*job
	jobs       map[ident.Request]*job
	endedIDs   []ident.Request
	refusedIDs map[ident.Request]bool
	cache      *prefixCache
	load       loadHistory
	orders     orderProcessor
	counts     [][]uint64
	// steps lists the first step of each boot and the steps at which the map changed.
	steps []MapChange
}

// NewEngine returns an engine in its first boot.
func NewEngine(options EngineOptions) *Engine {
	e := &Engine{options: options.withDefaults(), mux: http.NewServeMux()}
	e.reset()
	e.mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	e.mux.HandleFunc("POST /v1/requests/{id}/cancel", e.serveCancel)
	e.mux.HandleFunc("GET /v1/requests/{id}/stream", e.serveResume)
	e.mux.HandleFunc("GET /v1/load", e.serveLoad)
	e.mux.HandleFunc("GET /v1/cache/events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /v1/orders", e.serveOrder)
	e.mux.HandleFunc("GET /v1/orders/state", e.serveReadBack)
	e.mux.HandleFunc("GET /v1/experts/counts", e.serveCounts)
	return e
}

// reset starts the next boot with empty state.
func (e *Engine) reset() {
	e.boot++
	e.bootEnded = make(chan struct{})
	e.loopRunning = false
	e.waiting, e.running, e.endedIDs = nil, nil, nil
	e.jobs = make(map[ident.Request]*job)
	e.refusedIDs = make(map[ident.Request]bool)
	e.cache = newPrefixCache(e.options)
	e.load = loadHistory{}
	e.orders = newOrderProcessor(e.options, e.boot)
	e.counts = make([][]uint64, e.options.Layers)
	for layer := range e.counts {
		e.counts[layer] = make([]uint64, e.options.Experts)
	}
}

// ServeHTTP serves a request, or closes the connection while the engine is down.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.down() {
		abort()
	}
	if !authorized(e.options.Credentials, r) {
		writeError(w, http.StatusForbidden, "credential is not accepted")
		return
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) down() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.isDown(time.Now())
}

func (e *Engine) isDown(now time.Time) bool { return e.closed || now.Before(e.downUntil) }

// Crash ends the boot: the connections of all open model calls are closed without completing
// the response, and the next boot starts with empty state.
// In a lock-step group all ranks crash.
func (e *Engine) Crash() {
	if e.group != nil {
		e.group.Crash()
		return
	}
	e.crashAlone()
}

// crashAlone crashes this engine without the other ranks of its group.
func (e *Engine) crashAlone() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.crash()
}

// crash ends the boot, after a crash or to close the engine, and resets the state for the next
// boot. The caller holds e.lock.
func (e *Engine) crash() {
	for _, j := range e.running {
		e.runLog.end(j.runIndex, RunCrashed)
	}
	close(e.bootEnded)
	e.downUntil = time.Now().Add(e.options.RestartAfter)
	e.reset()
}

// Close stops all work and waits for its end. The engine then closes every connection without
// a response.
func (e *Engine) Close() {
	e.stop()
	e.loops.Wait()
}

func (e *Engine) stop() {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.closed {
		return
	}
	e.closed = true
	e.crash()
}

// Boot returns the number of the current boot.
func (e *Engine) Boot() uint64 {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.boot
}

// MapChange is a step that ran with another map than the step before, or the first step of a
// boot. MapVersion is 0 if the step ran without a map.
type MapChange struct {
	Boot       uint64
	Step       uint64
	MapVersion uint64
}

// MapChanges returns the first step of each boot and every later step at which the map changed.
func (e *Engine) MapChanges() []MapChange {
	e.lock.Lock()
	defer e.lock.Unlock()
	return append([]MapChange(nil), e.steps...)
}

// State returns the engine's state, as ReadBack of a client does.
func (e *Engine) State() platform.EngineState {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.orders.readBack(time.Now())
}
