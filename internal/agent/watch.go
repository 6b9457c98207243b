package agent

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/node"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/platform"
)

const (
	loadInterval = 500 * time.Millisecond
	probeTimeout = time.Second
	perMille     = 1000
)

// watcher follows the backend server's load and notices its death.
type watcher struct {
	host   *node.Host
	engine platform.Engine
	// client and healthURL ask whether the backend server lives.
	client    *http.Client
	healthURL string

	mu   sync.Mutex
	boot uint64
	dead bool
}

// run reports the load of an engine until the context ends. Plain services report none.
func (w *watcher) run(ctx context.Context) {
	if w.engine == nil {
		return
	}
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		if w.check(ctx) {
			w.host.Post(control.BackendLost{})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// diedDuring reports whether the backend server died during a run that ended in doubt.
func (w *watcher) diedDuring(ctx context.Context, result outcome.Outcome) bool {
	if result.Kind != outcome.Unknown || ctx.Err() != nil {
		return false
	}
	return w.check(ctx)
}

// check looks at the backend server and reports whether it died since the last look.
func (w *watcher) check(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if w.engine == nil {
		return w.note(w.reachable(ctx), 0)
	}
	load, err := w.engine.Load(ctx)
	if err != nil {
		return w.note(w.reachable(ctx), 0)
	}
	w.host.Offer(control.LoadSeen{Load: loadOf(load)})
	return w.note(true, load.Boot)
}

// note records a look and reports whether a death was seen first now. Boot 0 means that
// the backend server does not tell its boot.
func (w *watcher) note(reachable bool, boot uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !reachable {
		first := !w.dead
		w.dead = true
		return first
	}
	restarted := boot != 0 && w.boot != 0 && boot != w.boot && !w.dead
	w.dead = false
	if boot != 0 {
		w.boot = boot
	}
	return restarted
}

// reachable reports whether the backend server answers at all.
func (w *watcher) reachable(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, w.healthURL, nil)
	if err != nil {
		return false
	}
	response, err := w.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

func loadOf(report platform.LoadReport) membership.Load {
	return membership.Load{
		Running:   uint32(max(report.Running, 0)),
		Waiting:   uint32(max(report.Waiting, 0)),
		CacheUsed: membership.PerMille(report.KVCacheUse * perMille),
		StepTime:  stepMicroseconds(report),
		Age:       membership.ToMilliseconds(report.Age),
	}
}

// stepMicroseconds returns the mean time of a step: each running request gets a token in
// each step. It is 0 if the engine generates nothing.
func stepMicroseconds(report platform.LoadReport) uint32 {
	if report.Running <= 0 || report.GeneratedTokensPerSecond <= 0 {
		return 0
	}
	step := float64(report.Running) / report.GeneratedTokensPerSecond * float64(time.Second/time.Microsecond)
	return uint32(min(step, math.MaxUint32))
}
