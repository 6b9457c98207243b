package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// Defaults of engines.
const (
	defaultMaxRunning  = 8
	defaultMaxWaiting  = 64
	defaultCacheBlocks = 4096
	// keptRequests bounds the ended requests whose answers can be resumed.
	keptRequests = 1024
)

// EngineOptions are the settings of an engine. Zero delays mean that nothing waits.
type EngineOptions struct {
	// Credentials are the accepted bearer tokens; without any, the engine checks nobody.
	Credentials []string
	// IgnoresFencing makes the engine carry out orders with old fencing numbers.
	IgnoresFencing bool
	// Model is the model that is loaded at boot; "" answers for every model.
	Model string
	// StepDelay is the time of one step with one request.
	StepDelay time.Duration
	// BatchDelay is added to a step for each further request.
	BatchDelay time.Duration
	// PrefillDelay is added to a step for each uncached block of new prompts.
	PrefillDelay time.Duration
	// MaxRunning and MaxWaiting bound the requests; 0 means a default.
	MaxRunning int
	MaxWaiting int
	// CacheBlocks bounds the prefix cache; 0 means a default.
	CacheBlocks int
	// CacheGapEvery drops every n-th cache event; 0 drops none.
	CacheGapEvery uint64
	// CacheEventDelay is how late cache events are published.
	CacheEventDelay time.Duration
	// LoadLag is how old load reports are.
	LoadLag time.Duration
	// OrderDelay is how long an order takes.
	OrderDelay time.Duration
	// CrashMarker crashes the engine when a request runs whose body holds it; "" never does.
	CrashMarker string
	// RestartAfter is how long the engine is away after a crash.
	RestartAfter time.Duration
	// GateSteps makes the engine run only steps that an order has allowed.
	GateSteps bool
	// Layers and Experts are the size of the expert counts.
	Layers  int
	Experts int
	// ChooseExpert returns the expert of a layer that a token is routed to; nil spreads
	// tokens evenly. Token is a random number of the token.
	ChooseExpert func(layer int, token uint64) int
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

// Engine is a stand-in for a model engine with continuous batching.
type Engine struct {
	options EngineOptions
	mux     *http.ServeMux
	// group is the engine's lock-step group; nil outside groups.
	group *Group
	record

	lock sync.Mutex
	// boot numbers the starts; dead is closed when the boot ends.
	boot      uint64
	dead      chan struct{}
	downUntil time.Time
	closed    bool
	looping   bool
	loops     sync.WaitGroup
	sequence  uint64
	waiting   []*job
	running   []*job
	jobs      map[ident.Request]*job
	ended     []ident.Request
	refused   map[ident.Request]bool
	cache     *prefixCache
	load      loadHistory
	orders    orderBook
	counts    [][]uint64
	steps     []StepMap
}

// NewEngine returns an engine that has just booted.
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

// reset starts the next boot with nothing left of the one before.
func (e *Engine) reset() {
	e.boot++
	e.dead = make(chan struct{})
	e.looping = false
	e.waiting, e.running, e.ended = nil, nil, nil
	e.jobs = make(map[ident.Request]*job)
	e.refused = make(map[ident.Request]bool)
	e.cache = newPrefixCache(e.options)
	e.load = loadHistory{}
	e.orders = newOrderBook(e.options, e.boot)
	e.counts = make([][]uint64, e.options.Layers)
	for layer := range e.counts {
		e.counts[layer] = make([]uint64, e.options.Experts)
	}
}

// ServeHTTP answers a request, or breaks the connection while the engine is down.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.down() {
		abort()
	}
	if !allowed(e.options.Credentials, r) {
		refuse(w, http.StatusForbidden, "unknown issuer")
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

// Crash ends the boot: all connections break, and the next boot starts empty. A rank of
// a group takes the others with it.
func (e *Engine) Crash() {
	if e.group != nil {
		e.group.Crash()
		return
	}
	e.crashAlone()
}

func (e *Engine) crashAlone() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	for _, j := range e.running {
		e.record.end(j.record, RunCrashed)
	}
	close(e.dead)
	e.downUntil = time.Now().Add(e.options.RestartAfter)
	e.reset()
}

// Close stops all work and waits for its end. The engine answers nobody from then on.
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

// StepMap tells from which step on an engine used a map.
type StepMap struct {
	Boot       uint64
	Step       uint64
	MapVersion uint64
}

// StepMaps returns the steps that ran at which the map changed, first steps included.
func (e *Engine) StepMaps() []StepMap {
	e.lock.Lock()
	defer e.lock.Unlock()
	return append([]StepMap(nil), e.steps...)
}

// State returns the state that orders have led to.
func (e *Engine) State() platform.EngineState {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.orders.readBack(time.Now())
}
