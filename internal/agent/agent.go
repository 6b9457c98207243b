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
	// answerRetention is how long an answer is kept after its end, so that entries can resume its
	// stream.
	answerRetention = 2 * time.Minute
	// sweepInterval is the time between two removals of expired answers.
	sweepInterval = 5 * time.Second
	// cancelTimeout bounds the cancellation of a run at the engine.
	cancelTimeout = 2 * time.Second
)

// Config configures an agent.
type Config struct {
	Host *node.Host
	// Engine is the model engine beside the agent; nil for a plain service.
	Engine platform.Engine
	// Plain is the plain service beside the agent; nil for a model engine.
	Plain    platform.PlainService
	Settings settings.Backend
	Self     control.Self
	// Network opens the connections for health checks.
	Network network.Network
}

// Agent is the agent process. It implements node.Role.
type Agent struct {
	config  Config
	host    *node.Host
	machine *control.Agent
	backend *backend
	health  *healthMonitor
	group   *groupEngine

	mu   sync.Mutex
	jobs map[attempt.AttemptID]*job
}

// job holds the request and the answer of an attempt at this agent.
type job struct {
	// payload is the request; nil after its run has ended.
	payload *relay.Payload
	answer  *relay.AnswerBuffer
	// load is the agent's load at the time of the final reply; nil before.
	load atomic.Pointer[membership.Load]
	// cancel cancels the run; nil before it starts.
	cancel context.CancelFunc
	// endedAt is the time of the first sweep that found the answer ended.
	endedAt time.Time
}

func (j *job) replyLoad() *membership.Load {
	return j.load.Load()
}

// New returns an agent. Run starts it.
func New(config Config) *Agent {
	a := &Agent{
		config:  config,
		host:    config.Host,
		backend: &backend{engine: config.Engine, plain: config.Plain, self: config.Self.Instance},
		jobs:    map[attempt.AttemptID]*job{},
	}
	a.group = &groupEngine{host: config.Host, engine: config.Engine, cancels: map[uint64]context.CancelFunc{}}
	a.health = &healthMonitor{
		host:      config.Host,
		engine:    config.Engine,
		client:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: config.Network.DialTCP}},
		healthURL: strings.TrimSuffix(config.Settings.URL, "/") + config.Settings.HealthPath,
	}
	return a
}

// Run runs the agent until it has drained or the context ends. It returns the reason for its end.
func (a *Agent) Run(ctx context.Context) (string, error) {
	machine, first, err := control.NewAgent(time.Now(), a.config.Self)
	if err != nil {
		return "", err
	}
	a.machine = machine
	return a.host.Run(ctx, machine, a, first), nil
}

// Inspector returns the interface through which operators read the control state.
func (a *Agent) Inspector() node.Inspector {
	return a.machine
}

// Start starts the agent's background goroutines. The host calls it when it runs.
func (a *Agent) Start() {
	a.host.Spawn(a.health.run)
	a.host.Spawn(a.sweep)
}

// UseConfiguration starts to poll the engine once the configuration assigns it to a group.
func (a *Agent) UseConfiguration(configuration *published.Configuration) {
	a.group.startIfGrouped(configuration, a.config.Self.Instance.VM)
}

// SetReady does nothing: entries receive the agent's readiness through the lease protocol.
func (a *Agent) SetReady(bool) {}

// Execute executes an action of the control thread.
func (a *Agent) Execute(action control.Action) {
	switch action := action.(type) {
	case control.StartRun:
		issuedAt := time.Now()
		a.host.Spawn(func(ctx context.Context) { a.run(ctx, action.Dispatch, issuedAt) })
	case control.StopRun:
		a.stopRun(action.ID)
	case control.SendReply:
		a.handleReply(action)
	case control.SendEngineOrder:
		a.group.startOrder(action)
	case control.CancelOrder:
		a.group.cancelOrder(action.Number)
	case control.ReadEngine:
		a.host.Spawn(func(ctx context.Context) { a.group.readForControl(ctx, action.Request) })
	case control.MakePlan:
		a.host.Spawn(func(context.Context) { a.group.computePlan(action) })
	}
}

// addJob registers an attempt. It returns the attempt's job and whether this call
// added it.
func (a *Agent) addJob(id attempt.AttemptID, payload *relay.Payload) (*job, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.jobs[id]; known != nil {
		return known, false
	}
	created := &job{payload: payload, answer: relay.NewAnswerBuffer(a.config.Settings.MaxAnswerBytes, nil)}
	a.jobs[id] = created
	return created, true
}

// jobOf returns the job of an attempt; nil if there is none.
func (a *Agent) jobOf(id attempt.AttemptID) *job {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.jobs[id]
}

// run runs a request at the backend server and posts the result. The control thread issued the
// action at issuedAt.
func (a *Agent) run(ctx context.Context, dispatch attempt.Dispatch, issuedAt time.Time) {
	job := a.jobOf(dispatch.ID)
	if job == nil {
		panic("invariant: no job is registered for a started run")
	}
	timeout := time.Duration(a.config.Settings.CallTimeoutMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.mu.Lock()
	job.cancel = cancel
	a.mu.Unlock()
	if membership.Gap(issuedAt, time.Now()) > attempt.DefaultStartsWithin {
		// The process was paused for so long that another agent may own the run key now.
		a.refuseRun(dispatch, outcome.CauseStaleLease)
		return
	}
	if !a.health.checkReachable(ctx) {
		a.refuseRun(dispatch, outcome.CauseBackendError)
		return
	}
	result := a.backend.run(ctx, dispatch, job.payload, job.answer)
	a.health.checkAfterRun(ctx, result.Outcome)
	result.Content = a.encodeStoredAnswer(job)
	a.mu.Lock()
	job.payload = nil
	a.mu.Unlock()
	a.host.Post(control.RunFinished{Result: result})
}

// refuseRun posts that a request was not sent to the backend server.
func (a *Agent) refuseRun(dispatch attempt.Dispatch, cause outcome.Cause) {
	refused := attempt.RunEnded{ID: dispatch.ID, Outcome: outcome.Refused(cause)}
	a.host.Post(control.RunFinished{Result: refused})
}

// stopRun cancels a run whose answer is no longer needed.
func (a *Agent) stopRun(id attempt.AttemptID) {
	a.mu.Lock()
	job := a.jobs[id]
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

// sweep periodically removes answers whose retention has expired.
func (a *Agent) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			a.removeExpired(now)
		case <-ctx.Done():
			return
		}
	}
}

// removeExpired removes the jobs whose answers ended more than answerRetention ago.
func (a *Agent) removeExpired(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, job := range a.jobs {
		if !job.answer.Ended() {
			continue
		}
		if job.endedAt.IsZero() {
			job.endedAt = now
		}
		if now.Sub(job.endedAt) > answerRetention {
			delete(a.jobs, id)
		}
	}
}
