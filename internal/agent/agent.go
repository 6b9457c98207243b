package agent

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/network"
	"github.com/bramleyspool/bramleyspool/internal/node"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/published"
	"github.com/bramleyspool/bramleyspool/internal/settings"
)

const (
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

	// store has the attempts that entries have dispatched to this agent.
	store *store
}

// New returns an agent. Run starts it.
func New(config Config) *Agent {
	a := &Agent{
		config:  config,
		host:    config.Host,
		backend: &backend{engine: config.Engine, plain: config.Plain, self: config.Self.Instance},
		store:   newStore(config.Settings.MaxMemoryBytes, config.Settings.MaxAnswerBytes, dropCounter(config.Host)),
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

// dropCounter returns a function that counts an answer that is dropped to make room, in answers_dropped.
func dropCounter(host *node.Host) func(sent bool) {
	return func(sent bool) {
		reason := "memory"
		if sent {
			reason = "memory-after-sending"
		}
		host.Count("answers_dropped", reason)
	}
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

// run runs a request at the backend server and posts the result. The control thread issued the
// action at issuedAt.
func (a *Agent) run(ctx context.Context, dispatch attempt.Dispatch, issuedAt time.Time) {
	job := a.store.job(dispatch.ID)
	if job == nil {
		panic("invariant: no job is registered for a started run")
	}
	timeout := time.Duration(a.config.Settings.CallTimeoutMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	payload, room := a.store.beginRun(job, cancel)
	if !room {
		a.refuseRun(dispatch, memoryRefusal())
		return
	}
	if membership.Gap(issuedAt, time.Now()) > attempt.DefaultStartsWithin {
		// The process was paused for so long that another agent may own the run key now.
		a.refuseRun(dispatch, outcome.Refused(outcome.CauseStaleLease))
		return
	}
	if !a.health.checkReachable(ctx) {
		a.refuseRun(dispatch, outcome.Refused(outcome.CauseBackendError))
		return
	}
	result := a.backend.run(ctx, dispatch, payload, answerWriter{store: a.store, job: job})
	a.health.checkAfterRun(ctx, result.Outcome)
	result.Content = a.encodeStoredAnswer(job)
	a.store.returnRequest(job)
	a.host.Post(control.RunFinished{Result: result})
}

// refuseRun posts that a request was not sent to the backend server.
func (a *Agent) refuseRun(dispatch attempt.Dispatch, refusal outcome.Outcome) {
	a.host.Post(control.RunFinished{Result: attempt.RunEnded{ID: dispatch.ID, Outcome: refusal}})
}

// stopRun cancels a run whose answer is no longer needed.
func (a *Agent) stopRun(id attempt.AttemptID) {
	job := a.store.job(id)
	if job == nil {
		return
	}
	a.host.Spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		a.backend.cancel(ctx, attempt.Dispatch{ID: id})
		if stop := a.store.cancelOf(job); stop != nil {
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
			a.store.removeExpired(now)
		case <-ctx.Done():
			return
		}
	}
}
