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
	// loadInterval is the time between two reads of an engine's load.
	loadInterval = 500 * time.Millisecond
	// probeTimeout bounds one check of the backend server.
	probeTimeout = time.Second
	perMille     = 1000
)

// healthMonitor reports the backend server's load and detects its crashes.
type healthMonitor struct {
	host   *node.Host
	engine platform.Engine
	// client and healthURL probe whether the backend server is reachable.
	client    *http.Client
	healthURL string

	mu sync.Mutex
	// boot is the engine's last known boot number; 0 if unknown.
	boot        uint64
	unreachable bool
}

// run checks an engine periodically until the context ends. A plain service reports no load. It is
// checked only after a run that ended in doubt, and before a run while it is unreachable.
func (m *healthMonitor) run(ctx context.Context) {
	if m.engine == nil {
		return
	}
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		m.check(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// checkAfterRun checks the backend server after a run that ended in doubt, so that a crash is
// posted before the end of the run.
func (m *healthMonitor) checkAfterRun(ctx context.Context, result outcome.Outcome) {
	if result.Kind == outcome.Unknown && ctx.Err() == nil {
		m.check(ctx)
	}
}

// checkReachable reports whether requests may be sent to the backend server. If the last check
// failed, it checks again. If that check fails too, the request is not sent, and its outcome is
// certain: it did not run. After a successful check, the next crash is posted as a new one.
func (m *healthMonitor) checkReachable(ctx context.Context) bool {
	if !m.isUnreachable() {
		return true
	}
	m.check(ctx)
	return !m.isUnreachable()
}

func (m *healthMonitor) isUnreachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreachable
}

// check reads the engine's load and records the result. If there is no engine, or its load can't
// be read, it probes the backend server instead.
func (m *healthMonitor) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if m.engine == nil {
		m.recordCheck(m.probe(ctx), 0)
		return
	}
	load, err := m.engine.Load(ctx)
	if err != nil {
		m.recordCheck(m.probe(ctx), 0)
		return
	}
	m.host.Offer(control.BackendLoadReceived{Load: convertLoad(load)})
	m.recordCheck(true, load.Boot)
}

// recordCheck records the result of a check and posts a crash that it detects: the backend server
// became unreachable, or its boot number changed. Boot 0 means that the boot number is unknown.
//
// The crash is posted under the lock, so that it precedes the ends of the runs that it aborted: after
// a run in doubt, checkAfterRun waits for the lock before the end of the run is posted.
func (m *healthMonitor) recordCheck(reachable bool, boot uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !reachable {
		crashed := !m.unreachable
		m.unreachable = true
		if crashed {
			m.host.Post(control.BackendCrashed{})
		}
		return
	}
	restarted := boot != 0 && m.boot != 0 && boot != m.boot
	if m.unreachable {
		// The boot number is assumed to rise by 1 with each restart. The first restart belongs to the
		// crash that was already posted; a greater rise means another crash.
		restarted = restarted && boot > m.boot+1
	}
	m.unreachable = false
	if boot != 0 {
		m.boot = boot
	}
	if restarted {
		m.host.Post(control.BackendCrashed{})
	}
}

// probe reports whether the backend server answers the health check with any status.
func (m *healthMonitor) probe(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, m.healthURL, nil)
	if err != nil {
		return false
	}
	response, err := m.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

// convertLoad converts a load of the platform's engine interface.
func convertLoad(report platform.LoadReport) membership.Load {
	return membership.Load{
		Running:   uint32(max(report.Running, 0)),
		Waiting:   uint32(max(report.Waiting, 0)),
		CacheUsed: membership.PerMille(report.KVCacheUse * perMille),
		StepTime:  stepMicroseconds(report),
		Age:       membership.ToMilliseconds(report.Age),
	}
}

// stepMicroseconds returns the mean time of a step in microseconds. Each step generates one token
// for each running request. It returns 0 if the engine generates no tokens.
func stepMicroseconds(report platform.LoadReport) uint32 {
	if report.Running <= 0 || report.GeneratedTokensPerSecond <= 0 {
		return 0
	}
	step := float64(report.Running) / report.GeneratedTokensPerSecond * float64(time.Second/time.Microsecond)
	return uint32(min(step, math.MaxUint32))
}
