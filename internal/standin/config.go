package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// ConfigOptions configures a configuration service.
type ConfigOptions struct {
	// CallsPerSecond bounds the calls of all clients together; further calls are refused
	// with status 429. 0 means no limit.
	CallsPerSecond float64
}

// ConfigCalls holds the number of calls on a configuration service.
type ConfigCalls struct {
	Reads   uint64
	Watches uint64
	Refused uint64
}

// ConfigService is a stand-in for the configuration service. It is safe for concurrent use.
type ConfigService struct {
	limiter *rate.Limiter
	mux     *http.ServeMux

	mu       sync.Mutex
	revision uint64
	values   map[string][]platform.Value
	// frozenAt is the newest revision that is served; 0 means no limit.
	frozenAt uint64
	down     bool
	calls    ConfigCalls
	// changed is closed and replaced by Set, SetDown and FreezeAt, but not by Replace.
	changed chan struct{}
}

// NewConfigService returns an empty configuration service.
func NewConfigService(options ConfigOptions) *ConfigService {
	c := &ConfigService{mux: http.NewServeMux(), values: make(map[string][]platform.Value), changed: make(chan struct{})}
	if options.CallsPerSecond > 0 {
		c.limiter = rate.NewLimiter(rate.Limit(options.CallsPerSecond), max(1, int(options.CallsPerSecond)))
	}
	c.mux.HandleFunc("GET /v1/values/{key}", c.serveValue)
	return c
}

// Set stores a new value of the key and returns its revision.
func (c *ConfigService) Set(key string, data []byte) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.values[key] = append(c.values[key], platform.Value{Revision: c.revision, Data: append([]byte(nil), data...)})
	c.notifyWatches()
	return c.revision
}

// Replace changes the content of the key's newest revision. A service that lost its newest
// writes and then reuses their revision numbers shows this fault.
func (c *ConfigService) Replace(key string, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	values := c.values[key]
	if len(values) > 0 {
		values[len(values)-1].Data = append([]byte(nil), data...)
	}
}

// SetDown makes the service unavailable or available. While it is unavailable, it closes
// connections without a response.
func (c *ConfigService) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	c.notifyWatches()
}

// FreezeAt makes the service hide all revisions greater than the given one, as a stale replica
// does. 0 shows all revisions again.
func (c *ConfigService) FreezeAt(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozenAt = revision
	c.notifyWatches()
}

// Calls returns the numbers of calls so far.
func (c *ConfigService) Calls() ConfigCalls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// notifyWatches wakes up the waiting watches. The caller holds c.mu.
func (c *ConfigService) notifyWatches() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// ServeHTTP serves a read or a watch.
func (c *ConfigService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !c.countCall(r.URL.Query().Has("wait")) {
		writeRetryLater(w, http.StatusTooManyRequests, time.Second, "call rate limit exceeded")
		return
	}
	c.mux.ServeHTTP(w, r)
}

// countCall counts a call and returns false if it exceeds the rate limit.
func (c *ConfigService) countCall(watch bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limiter != nil && !c.limiter.Allow() {
		c.calls.Refused++
		return false
	}
	if watch {
		c.calls.Watches++
	} else {
		c.calls.Reads++
	}
	return true
}

// configView is the state of a key that a client reads.
type configView struct {
	value   platform.Value
	found   bool
	down    bool
	changed chan struct{}
}

func (c *ConfigService) view(key string) configView {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := configView{down: c.down, changed: c.changed}
	for _, value := range c.values[key] {
		if c.frozenAt == 0 || value.Revision <= c.frozenAt {
			view.value, view.found = value, true
		}
	}
	return view
}

func (c *ConfigService) serveValue(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	if !query.Has("wait") {
		writeValue(w, c.view(key))
		return
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "query parameter after is not a revision")
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		writeError(w, http.StatusBadRequest, "query parameter wait is not a duration")
		return
	}
	c.serveWatch(w, r, after, wait)
}

// serveWatch responds when the key's revision differs from after. It also responds with an
// older revision, as a service that went back to one does.
func (c *ConfigService) serveWatch(w http.ResponseWriter, r *http.Request, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		view := c.view(r.PathValue("key"))
		if view.down || view.found && view.value.Revision != after {
			writeValue(w, view)
			return
		}
		select {
		case <-view.changed:
		case <-r.Context().Done():
			abort()
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func writeValue(w http.ResponseWriter, view configView) {
	if view.down {
		abort()
	}
	if !view.found {
		writeError(w, http.StatusNotFound, "key does not exist")
		return
	}
	w.Header().Set(platform.HeaderRevision, strconv.FormatUint(view.value.Revision, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	writeBody(w, http.StatusOK, view.value.Data)
}
