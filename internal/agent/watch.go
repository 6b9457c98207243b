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
		w.check(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// lookAfter looks at the backend server after a run that ended in doubt, before the end
// of the run is posted.
func (w *watcher) lookAfter(ctx context.Context, result outcome.Outcome) {
	if result.Kind == outcome.Unknown && ctx.Err() == nil {
		w.check(ctx)
	}
}

// alive reports whether requests may be handed to the backend server. One that was found
// dead is asked again first: a request that is not handed over is proven not to run, and a
// death that follows is a new one.
func (w *watcher) alive(ctx context.Context) bool {
	if !w.isDead() {
		return true
	}
	w.check(ctx)
	return !w.isDead()
}

func (w *watcher) isDead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}

// check looks at the backend server.
func (w *watcher) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if w.engine == nil {
		w.note(w.reachable(ctx), 0)
		return
	}
	load, err := w.engine.Load(ctx)
	if err != nil {
		w.note(w.reachable(ctx), 0)
		return
	}
	w.host.Offer(control.BackendLoadReceived{Load: loadOf(load)})
	w.note(true, load.Boot)
}

// note records a look, and posts a death that is seen first now. It is posted under the
// lock, so that no run that the death ended is posted as ended before it. Boot 0 means
// that the backend server does not tell its boot.
func (w *watcher) note(reachable bool, boot uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !reachable {
		lost := !w.dead
		w.dead = true
		if lost {
			w.host.Post(control.BackendCrashed{})
		}
		return
	}
	restarted := boot != 0 && w.boot != 0 && boot != w.boot
	if w.dead {
		// One start more follows from the death that is known.
		restarted = restarted && boot > w.boot+1
	}
	w.dead = false
	if boot != 0 {
		w.boot = boot
	}
	if restarted {
		w.host.Post(control.BackendCrashed{})
	}
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
