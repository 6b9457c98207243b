package agent

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/network"
	"github.com/bramleyspool/bramleyspool/internal/node"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/published"
	"github.com/bramleyspool/bramleyspool/internal/relay"
	"github.com/bramleyspool/bramleyspool/internal/settings"
)

const (
	// keepAnswers is how long an answer is kept for resumption after it ended.
	keepAnswers   = 2 * time.Minute
	sweepInterval = 5 * time.Second
	cancelTimeout = 2 * time.Second
)

// Config sets an agent up.
type Config struct {
	Host *node.Host
	// Engine is the model engine beside the agent; nil for a plain service.
	Engine platform.Engine
	// Plain is the plain service beside the agent; nil for a model engine.
	Plain    platform.PlainService
	Settings settings.Backend
	Self     control.Self
	// Network opens the connections of health checks.
	Network network.Network
}

// Agent is the agent process.
type Agent struct {
	config  Config
	host    *node.Host
	machine *control.Agent
	backend *backend
	watch   *watcher
	group   *groupEngine

	mu         sync.Mutex
	executions map[attempt.Attempt]*job
}

// job is one attempt at the agent.
type job struct {
	// payload is the request until its run ended; nil afterwards.
	payload   *relay.Payload
	execution *relay.Execution
	// load is the agent's load at its last word; nil before.
	load    atomic.Pointer[membership.Load]
	cancel  context.CancelFunc
	endedAt time.Time
}

func (j *job) lastLoad() *membership.Load {
	return j.load.Load()
}

// New returns an agent that is not running yet.
func New(config Config) *Agent {
	a := &Agent{
		config:     config,
		host:       config.Host,
		backend:    &backend{engine: config.Engine, plain: config.Plain, self: config.Self.Instance},
		executions: map[attempt.Attempt]*job{},
	}
	a.group = &groupEngine{host: config.Host, engine: config.Engine, cancels: map[uint64]context.CancelFunc{}}
	a.watch = &watcher{
		host:      config.Host,
		engine:    config.Engine,
		client:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: config.Network.DialTCP}},
		healthURL: strings.TrimSuffix(config.Settings.URL, "/") + config.Settings.HealthPath,
	}
	return a
}

// Run runs the agent until it has drained or the context ends, and returns why it ended.
func (a *Agent) Run(ctx context.Context) (string, error) {
	machine, first, err := control.NewAgent(time.Now(), a.config.Self)
	if err != nil {
		return "", err
	}
	a.machine = machine
	return a.host.Run(ctx, machine, a, first), nil
}

// Inspector gives operators a look at the control state.
func (a *Agent) Inspector() node.Inspector {
	return a.machine
}

// Start begins the background work of the agent once the host runs.
func (a *Agent) Start() {
	a.host.Spawn(a.watch.run)
	a.host.Spawn(a.sweep)
}

// UseConfiguration begins to follow the engine once the configuration names its group.
func (a *Agent) UseConfiguration(configuration *published.Configuration) {
	a.group.use(configuration, a.config.Self.Instance.VM)
}

// SetReady takes note of the readiness; the lease protocol tells it to entries.
func (a *Agent) SetReady(bool) {}

// Execute carries out an action of the control thread.
func (a *Agent) Execute(action control.Action) {
	switch action := action.(type) {
	case control.StartRun:
		decided := time.Now()
		a.host.Spawn(func(ctx context.Context) { a.run(ctx, action.Dispatch, decided) })
	case control.StopRun:
		a.stopRun(action.ID)
	case control.Answer:
		a.answer(action)
	case control.SendEngineOrder:
		a.group.give(action)
	case control.CancelOrder:
		a.group.cancel(action.Number)
	case control.ReadEngine:
		a.host.Spawn(func(ctx context.Context) { a.group.read(ctx, action.Request) })
	case control.MakePlan:
		a.host.Spawn(func(context.Context) { a.group.plan(action) })
	}
}

// put registers an attempt and reports whether it was new.
func (a *Agent) put(id attempt.Attempt, payload *relay.Payload) (*job, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.executions[id]; known != nil {
		return known, false
	}
	created := &job{payload: payload, execution: relay.NewExecution(a.config.Settings.MaxAnswerBytes)}
	a.executions[id] = created
	return created, true
}

func (a *Agent) get(id attempt.Attempt) *job {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.executions[id]
}

// run hands a request to the backend server and reports how it ended.
func (a *Agent) run(ctx context.Context, dispatch attempt.Dispatch, decided time.Time) {
	job := a.get(dispatch.ID)
	if job == nil {
		panic("invariant: a run without its payload")
	}
	timeout := time.Duration(a.config.Settings.CallTimeoutMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.mu.Lock()
	job.cancel = cancel
	a.mu.Unlock()
	if membership.Gap(decided, time.Now()) > attempt.DefaultStartsWithin {
		// The process was paused: another agent may own the run key by now.
		a.refuseRun(dispatch, outcome.CauseStaleLease)
		return
	}
	if !a.watch.alive(ctx) {
		a.refuseRun(dispatch, outcome.CauseBackendError)
		return
	}
	result := a.backend.run(ctx, dispatch, job.payload, job.execution)
	a.watch.lookAfter(ctx, result.Outcome)
	result.Content = a.stored(job)
	a.mu.Lock()
	job.payload = nil
	a.mu.Unlock()
	a.host.Post(control.RunFinished{Result: result})
}

// refuseRun reports that a request was not handed to the backend server.
func (a *Agent) refuseRun(dispatch attempt.Dispatch, cause outcome.Cause) {
	refused := attempt.RunEnded{ID: dispatch.ID, Outcome: outcome.Refused(cause)}
	a.host.Post(control.RunFinished{Result: refused})
}

// stopRun cuts a run that nobody waits for.
func (a *Agent) stopRun(id attempt.Attempt) {
	a.mu.Lock()
	job := a.executions[id]
	a.mu.Unlock()
	if job == nil {
		return
	}
	a.host.Spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		a.backend.cancel(ctx, attempt.Dispatch{ID: id})
		a.mu.Lock()
		stop := job.cancel
		a.mu.Unlock()
		if stop != nil {
			stop()
		}
	})
}

// sweep forgets answers that nobody can ask for any more.
func (a *Agent) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			a.forget(now)
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) forget(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, job := range a.executions {
		if !job.execution.Ended() {
			continue
		}
		if job.endedAt.IsZero() {
			job.endedAt = now
		}
		if now.Sub(job.endedAt) > keepAnswers {
			delete(a.executions, id)
		}
	}
}
