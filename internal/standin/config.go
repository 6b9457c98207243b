package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// ConfigOptions are the settings of a configuration service.
type ConfigOptions struct {
	// CallsPerSecond bounds the calls of all readers; more are refused with 429. 0 means no bound.
	CallsPerSecond float64
}

// ConfigCalls counts the calls on a configuration service.
type ConfigCalls struct {
	Reads   uint64
	Watches uint64
	Refused uint64
}

// Config is a stand-in for the configuration service.
type Config struct {
	limiter *rate.Limiter
	mux     *http.ServeMux

	mu       sync.Mutex
	revision uint64
	values   map[string][]platform.Value
	// frozenAt hides all revisions beyond it, if it is not 0.
	frozenAt uint64
	down     bool
	calls    ConfigCalls
	// changed is closed and replaced when something changes.
	changed chan struct{}
}

// NewConfig returns an empty configuration service.
func NewConfig(options ConfigOptions) *Config {
	c := &Config{mux: http.NewServeMux(), values: make(map[string][]platform.Value), changed: make(chan struct{})}
	if options.CallsPerSecond > 0 {
		c.limiter = rate.NewLimiter(rate.Limit(options.CallsPerSecond), max(1, int(options.CallsPerSecond)))
	}
	c.mux.HandleFunc("GET /v1/values/{key}", c.serveValue)
	return c
}

// Set publishes a value and returns its revision.
func (c *Config) Set(key string, data []byte) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.values[key] = append(c.values[key], platform.Value{Revision: c.revision, Data: append([]byte(nil), data...)})
	c.announce()
	return c.revision
}

// Replace puts other bytes in the place of the newest value without a new revision, as a
// service does that has lost its newest writes.
func (c *Config) Replace(key string, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	values := c.values[key]
	if len(values) > 0 {
		values[len(values)-1].Data = append([]byte(nil), data...)
	}
}

// SetDown takes the service away or brings it back. While it is away, connections break.
func (c *Config) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	c.announce()
}

// FreezeAt makes the service show no revision beyond the given one, as a stale replica
// does; 0 shows all again.
func (c *Config) FreezeAt(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozenAt = revision
	c.announce()
}

// Calls returns the number of calls so far.
func (c *Config) Calls() ConfigCalls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// announce wakes the waiting watches. The caller holds the lock.
func (c *Config) announce() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// ServeHTTP answers a read or a watch.
func (c *Config) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !c.count(r.URL.Query().Has("wait")) {
		refuseFor(w, http.StatusTooManyRequests, time.Second, "too many calls")
		return
	}
	c.mux.ServeHTTP(w, r)
}

// count counts a call; false if it is beyond the rate.
func (c *Config) count(watch bool) bool {
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

// configView is what a reader sees at one moment.
type configView struct {
	value   platform.Value
	found   bool
	down    bool
	changed chan struct{}
}

func (c *Config) view(key string) configView {
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

func (c *Config) serveValue(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	if !query.Has("wait") {
		writeValue(w, c.view(key))
		return
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "no revision to watch after")
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		refuse(w, http.StatusBadRequest, "no time to wait")
		return
	}
	c.serveWatch(w, r, after, wait)
}

// serveWatch answers when the key has a revision other than the one that the watcher
// has. A service that has gone back shows it.
func (c *Config) serveWatch(w http.ResponseWriter, r *http.Request, after uint64, wait time.Duration) {
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
		refuse(w, http.StatusNotFound, "no such key")
		return
	}
	w.Header().Set(platform.HeaderRevision, strconv.FormatUint(view.value.Revision, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	writeWhole(w, http.StatusOK, view.value.Data)
}
