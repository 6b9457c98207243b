package expert

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Defaults of a LeaderConfig, and limits of a Leader.
const (
	DefaultRetryInterval     = 250 * time.Millisecond
	DefaultHeartbeatInterval = 2 * time.Second
	DefaultStepMargin        = Step(8)
	maxStepMargin            = Step(1024)
	maxRetainedMaps          = 4
)

// LeaderConfig configures an agent's Leader. Zero durations and a zero StepMargin mean the
// defaults.
type LeaderConfig struct {
	Group ident.Group
	Self  ident.Instance
	Shape Shape
	// RetryInterval is the time after which the messages of a claim or a rollout are sent
	// again.
	RetryInterval time.Duration
	// HeartbeatInterval is the time between heartbeats while no rollout is in progress, or
	// after all agents have accepted the Prepare of a rollout.
	HeartbeatInterval time.Duration
	// StepMargin is the number of steps between the greatest known one and the first step
	// of a new map. It doubles with each retry of a hold.
	StepMargin Step
}

func (c LeaderConfig) withDefaults() LeaderConfig {
	c.RetryInterval = cmp.Or(c.RetryInterval, DefaultRetryInterval)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.StepMargin = cmp.Or(c.StepMargin, DefaultStepMargin)
	return c
}

// Leader claims the leadership of a group when its agent is elected, forms generations and
// rolls out maps. It is not safe for concurrent use.
type Leader struct {
	config  LeaderConfig
	chart   *chart.Chart
	state   chart.State
	elected bool
	roster  Roster
	epoch   Epoch
	// greatestEpochNumber is the greatest Epoch.Number that was claimed or received.
	greatestEpochNumber uint64
	// versionSequence is the Sequence of the last map version in the epoch.
	versionSequence uint64
	members         []memberView
	maps            []Map
	rollout         leaderRollout
	proposal        Map
	// retryAt is the time at which the messages of the current state are sent again; zero for
	// none.
	retryAt time.Time
	// expireAt is the time at which the timeout of the current state fires; zero for none.
	expireAt time.Time
}

// memberView is the leader's latest information about an agent of the roster.
type memberView struct {
	vm ident.VM
	// instance is zero until the agent has promised the epoch.
	instance ident.Instance
	status   Status
}

// leaderRollout is the rollout in progress, or the last one of the epoch if open is false.
type leaderRollout struct {
	// open is true until the end of the rollout has been reported.
	open      bool
	expertMap Map
	forming   bool
	// generation is the group's generation, or the one to form if forming is true. It also
	// applies while no rollout is in progress.
	generation Generation
	step       Step
	margin     Step
	cause      string
}

const (
	leaderStandby    chart.State = "standby"
	leaderBackingOff chart.State = "backing-off"
	leaderClaiming   chart.State = "claiming"
	leaderReady      chart.State = "ready"
	leaderPreparing  chart.State = "preparing"
	leaderHolding    chart.State = "holding"
	leaderActivating chart.State = "activating"
	leaderAborting   chart.State = "aborting"
)

// LeaderVocabulary lists the guards and actions of the state chart "rollout".
func LeaderVocabulary() chart.Vocabulary {
	return chart.Vocabulary{
		Guards: []chart.Guard{"must-form", "must-complete", "must-abort", "settled", "forming"},
		Actions: []chart.Action{
			"claim", "step-down", "lead", "form", "complete", "abort-left-over", "prepare",
			"hold", "activate", "abort", "report-done", "report-given-up",
		},
	}
}

// NewLeader returns a leader on standby. It returns an error if the state chart "rollout"
// or the shape is invalid.
func NewLeader(config LeaderConfig) (*Leader, error) {
	if err := config.Shape.Validate(); err != nil {
		return nil, err
	}
	parsed, err := chart.Load(charts.Files, "rollout", LeaderVocabulary())
	if err != nil {
		return nil, err
	}
	return &Leader{config: config.withDefaults(), chart: parsed, state: parsed.Initial()}, nil
}

// Ready reports whether the leader accepts a proposal.
func (l *Leader) Ready() bool {
	return l.state == leaderReady && l.noMapScheduled()
}

// Leading reports whether all agents have promised the leader's epoch.
func (l *Leader) Leading() bool {
	return l.state != leaderStandby && l.state != leaderBackingOff && l.state != leaderClaiming
}

// State returns the state in the chart "rollout".
func (l *Leader) State() chart.State { return l.state }

// Epoch returns the last epoch that the leader claimed.
func (l *Leader) Epoch() Epoch { return l.epoch }

// Map returns the newest map that any agent uses or has scheduled, or the zero map if none is
// known.
func (l *Leader) Map() Map {
	version := l.newestInUseOrScheduled()
	for _, known := range l.maps {
		if known.Version == version {
			return known
		}
	}
	return Map{}
}

// Statuses returns the last status of each agent that has promised the epoch.
func (l *Leader) Statuses() []Status {
	var statuses []Status
	for _, view := range l.members {
		if view.instance.VM != "" {
			statuses = append(statuses, view.status)
		}
	}
	return statuses
}

// NextTick returns the time at which a Tick is due; the zero time means never.
func (l *Leader) NextTick() time.Time {
	switch {
	case l.expireAt.IsZero():
		return l.retryAt
	case l.retryAt.IsZero() || l.expireAt.Before(l.retryAt):
		return l.expireAt
	default:
		return l.retryAt
	}
}

// Step handles an event and returns the resulting actions.
func (l *Leader) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case RosterChanged:
		return l.rosterChanged(now, e.Roster)
	case ElectionChanged:
		l.elected = e.Elected
		if e.Elected {
			return l.fire(now, "elected")
		}
		return l.fire(now, "deposed")
	case Propose:
		return l.propose(now, e.Map)
	case Tick:
		return l.tick(now)
	case Received:
		if status, ok := e.Message.(Status); ok {
			return l.handleStatus(now, status)
		}
		return nil
	default:
		return nil
	}
}

func (l *Leader) rosterChanged(now time.Time, roster Roster) []Action {
	if roster.Version < l.roster.Version {
		return nil
	}
	same := roster.Digest() == l.roster.Digest()
	l.roster = roster
	if same {
		return nil
	}
	return l.fire(now, "member-changed")
}

func (l *Leader) propose(now time.Time, proposed Map) []Action {
	if !l.Ready() {
		return []Action{RolloutEnded{Version: proposed.Version, Result: RolloutRefused, Cause: "leader is not ready"}}
	}
	if err := proposed.Validate(l.config.Shape); err != nil {
		return []Action{RolloutEnded{Version: proposed.Version, Result: RolloutRefused, Cause: err.Error()}}
	}
	l.proposal = proposed.Clone()
	return l.fire(now, "propose")
}

func (l *Leader) tick(now time.Time) []Action {
	var actions []Action
	if !l.expireAt.IsZero() && !now.Before(l.expireAt) {
		timeout, _ := l.chart.TimeoutOf(l.state)
		l.expireAt = time.Time{}
		actions = append(actions, l.fire(now, timeout.Event)...)
	}
	if !l.retryAt.IsZero() && !now.Before(l.retryAt) {
		actions = append(actions, l.sendCurrentMessages(now)...)
	}
	return actions
}

// handleStatus records the status of an agent and fires the events that follow from it.
func (l *Leader) handleStatus(now time.Time, status Status) []Action {
	if status.Group != l.config.Group {
		return nil
	}
	l.greatestEpochNumber = max(l.greatestEpochNumber, status.Epoch.Number)
	if l.state == leaderStandby || l.state == leaderBackingOff {
		return nil
	}
	if status.Epoch.Compare(l.epoch) > 0 {
		return l.fire(now, "outbid")
	}
	view := l.view(status.From.VM)
	if view == nil {
		return nil
	}
	if view.instance.VM == "" {
		return l.recordPromise(now, view, status)
	}
	if view.instance != status.From {
		return l.fire(now, "member-changed")
	}
	if status.Sequence <= view.status.Sequence || status.Epoch != l.epoch {
		return nil
	}
	view.status = status
	return l.progress(now)
}

func (l *Leader) view(vm ident.VM) *memberView {
	for i := range l.members {
		if l.members[i].vm == vm {
			return &l.members[i]
		}
	}
	return nil
}

func (l *Leader) recordPromise(now time.Time, view *memberView, status Status) []Action {
	if status.Epoch != l.epoch {
		return nil
	}
	view.instance = status.From
	view.status = status
	for _, known := range status.Maps {
		if known.Validate(l.config.Shape) == nil {
			l.retainMap(known)
		}
	}
	view.status.Maps = nil
	return l.progress(now)
}

// retainMap adds a map to the known maps, of which it keeps the newest ones.
func (l *Leader) retainMap(known Map) {
	i, found := slices.BinarySearchFunc(l.maps, known.Version, func(m Map, v Version) int { return m.Version.Compare(v) })
	if !found {
		l.maps = slices.Insert(l.maps, i, known)
	}
	if len(l.maps) > maxRetainedMaps {
		l.maps = slices.Delete(l.maps, 0, 1)
	}
}

// fire passes an event to the state chart and performs the actions of the transition.
func (l *Leader) fire(now time.Time, event chart.Event) []Action {
	transition, err := l.chart.Next(l.state, event, l.evaluateGuard)
	if err != nil {
		panic(fmt.Sprintf("invariant: %v", err))
	}
	if transition.Ignored {
		return nil
	}
	l.state = transition.To
	l.expireAt = time.Time{}
	if timeout, found := l.chart.TimeoutOf(l.state); found {
		l.expireAt = now.Add(time.Duration(timeout.After))
	}
	var actions []Action
	for _, action := range transition.Actions {
		actions = append(actions, l.perform(action)...)
	}
	return append(actions, l.sendCurrentMessages(now)...)
}

// sendCurrentMessages sends each agent the message of the current state, and sets the time of
// the next retry. A Claim is sent only to agents that have not promised the epoch, and agents
// that have accepted a Prepare get a Heartbeat instead. Hold, Activate and Abort are sent
// again to all agents until the state ends, also to those that have answered.
func (l *Leader) sendCurrentMessages(now time.Time) []Action {
	l.retryAt = time.Time{}
	if l.state == leaderStandby || l.state == leaderBackingOff {
		return nil
	}
	l.retryAt = now.Add(l.resendInterval())
	var actions []Action
	for i := range l.members {
		if message := l.currentMessage(&l.members[i]); message != nil {
			actions = append(actions, Send{To: l.members[i].vm, Message: message})
		}
	}
	return actions
}

// resendInterval returns the time until messages are sent again. Agents report the end of
// loading on their own, so heartbeats suffice once all agents have accepted the Prepare.
func (l *Leader) resendInterval() time.Duration {
	allAccepted := l.state == leaderPreparing && l.all(l.hasAcceptedPrepare)
	if l.state == leaderReady || allAccepted {
		return l.config.HeartbeatInterval
	}
	return l.config.RetryInterval
}
