package control

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// Defaults of GroupSettings.
const (
	DefaultStepWindow   = expert.Step(64)
	DefaultPlanInterval = 5 * time.Second
	// groupOrderTimeout is how long the agent waits for the answer to an order.
	groupOrderTimeout = 2 * time.Second
	// groupReadInterval is the time between reads of the engine's state while an order is in
	// doubt, which means that it is unknown whether the order has taken or will take effect.
	groupReadInterval = 100 * time.Millisecond
	// groupHeartbeat is the time between heartbeats of a leader that runs no rollout.
	groupHeartbeat = 500 * time.Millisecond
	// spareSlots is the number of replicas that a rank holds in each layer beyond its even
	// share.
	spareSlots = 1
	// weightBurstExperts is the number of experts that may be loaded at once after the weight
	// store was idle.
	weightBurstExperts = 64
)

// GroupSettings configures an agent's part in its model group. Zero fields have defaults.
type GroupSettings struct {
	// OrderLifetime is the longest time between the end of an order's connection and the
	// order's effect. It is used only for engines that ignore fencing numbers. 0 means
	// expert.DefaultOrderLifetime.
	OrderLifetime time.Duration
	// StepWindow is the number of steps that are allowed to an engine in advance.
	StepWindow expert.Step
	// PlanInterval is the time between plans of a leader.
	PlanInterval time.Duration
	// ExpertBytes is the size of one expert's weights in one layer.
	ExpertBytes int64
	// StoreRate is the rate in bytes per second at which one agent may load from the weight
	// store.
	StoreRate float64
	// StepTime is the duration of a step without skew.
	StepTime time.Duration
}

func (s GroupSettings) withDefaults() GroupSettings {
	s.StepWindow = cmp.Or(s.StepWindow, DefaultStepWindow)
	s.PlanInterval = cmp.Or(s.PlanInterval, DefaultPlanInterval)
	s.ExpertBytes = cmp.Or(s.ExpertBytes, expert.DefaultExpertBytes)
	s.StoreRate = cmp.Or(s.StoreRate, float64(expert.DefaultStoreRate))
	s.StepTime = cmp.Or(s.StepTime, expert.DefaultStepTime)
	return s
}

// group is an agent's part in its model group. It takes part in rollouts of expert maps, may
// lead them, and orders the engine to run a step only once expert.StepGate has allowed it: when
// the map of the step is decided. It is not safe for concurrent use.
type group struct {
	name     ident.Group
	self     ident.Instance
	ranks    []ident.Rank
	shape    expert.Shape
	settings GroupSettings
	weights  template.ExpertWeights
	roster   expert.Roster

	member     *expert.Member
	leader     *expert.Leader
	issuer     *expert.OrderIssuer
	popularity *expert.Popularity
	planner    *expert.Planner
	peers      peerMonitor
	links      groupLinks
	engine     groupEngine
	counts     groupCounts
	loads      groupLoads
	plans      groupPlans
	// bytesLoaded is the size in bytes of all weights that the engine loaded on the agent's
	// orders.
	bytesLoaded int64
	rollout     RolloutStatus
	// inDoubt is an order in doubt that was not reported yet; zero for none.
	inDoubt expert.OrderInDoubt

	// loopback holds messages that the agent sent to itself.
	loopback []expert.Message
	emit     func(Action)
}

// groupConfig configures newGroup.
type groupConfig struct {
	name     ident.Group
	self     ident.Instance
	ranks    []ident.Rank
	shape    expert.Shape
	settings GroupSettings
	weights  template.ExpertWeights
	fenced   bool
	emit     func(Action)
}

func newGroup(now time.Time, config groupConfig) (*group, error) {
	settings := config.settings.withDefaults()
	g := &group{
		name:     config.name,
		self:     config.self,
		ranks:    slices.Clone(config.ranks),
		shape:    config.shape,
		settings: settings,
		weights:  config.weights,
		peers:    peerMonitor{lastReceivedAt: map[ident.VM]time.Time{}, suspectedAt: map[ident.VM]time.Time{}},
		links:    groupLinks{routes: map[ident.VM]Route{}, unansweredSince: map[ident.VM]time.Time{}},
		emit:     config.emit,
	}
	slices.Sort(g.ranks)
	g.loads.bucket = expert.NewTokenBucket(now, settings.StoreRate, float64(weightBurstExperts*settings.ExpertBytes))
	g.popularity = expert.NewPopularity(expert.PopularityConfig{Shape: g.shape})
	g.plans.nextAt = now.Add(settings.PlanInterval)
	var err error
	g.member, err = expert.NewMember(expert.MemberConfig{Group: g.name, Self: g.self, Ranks: g.ranks, Shape: g.shape})
	if err != nil {
		return nil, err
	}
	g.leader, err = expert.NewLeader(expert.LeaderConfig{
		Group: g.name, Self: g.self, Shape: g.shape, HeartbeatInterval: groupHeartbeat,
	})
	if err != nil {
		return nil, err
	}
	g.issuer, err = expert.NewOrderIssuer(now, expert.OrderConfig{
		Issuer:         g.self.Incarnation,
		HonoursFencing: config.fenced,
		Timeout:        groupOrderTimeout,
		Lifetime:       settings.OrderLifetime,
		ReadInterval:   groupReadInterval,
	})
	if err != nil {
		return nil, err
	}
	return g, g.buildPlanner()
}

// buildPlanner creates a planner with the weights in force.
func (g *group) buildPlanner() error {
	planner, err := expert.NewPlanner(expert.PlannerConfig{
		Shape:       g.shape,
		Weights:     g.weights,
		ExpertBytes: g.settings.ExpertBytes,
		StoreRate:   g.settings.StoreRate,
		StepTime:    g.settings.StepTime,
	})
	g.planner = planner
	return err
}

// applyConfiguration applies an accepted roster and the planner weights of the templates.
func (g *group) applyConfiguration(now time.Time, roster expert.Roster, weights template.ExpertWeights) {
	g.roster = roster
	if weights != g.weights {
		g.weights = weights
		if err := g.buildPlanner(); err != nil {
			panic("invariant: " + err.Error())
		}
	}
	g.stepBoth(now, expert.RosterChanged{Roster: roster})
	g.updateElection(now)
}

// receive handles a message of another agent of the group.
func (g *group) receive(now time.Time, from ident.Instance, route Route, envelope expert.Envelope) {
	message, err := envelope.Unwrap()
	if err != nil {
		g.recordEvent("group-message-invalid", SeverityWarning, from.VM, Field{"error", err.Error()})
		return
	}
	g.peers.recordReceived(now, from.VM)
	g.links.recordReceived(from.VM, route)
	if counts, ok := message.(expert.Counts); ok {
		if counts.Group == g.name {
			g.popularity.Add(counts)
		}
		return
	}
	g.stepBoth(now, expert.Received{Message: message})
}

func (g *group) tick(now time.Time) {
	g.updateElection(now)
	g.handleActions(now, g.leader.Step(now, expert.Tick{}))
	g.handleActions(now, g.issuer.Step(now, expert.Tick{}))
	g.reportInDoubt(now)
	g.startLoad(now)
	g.ensureStepsClosed(now)
	g.retryFirstStepRead(now)
	g.requestPlan(now)
	g.flush(now)
}

// updateElection runs the election. If the elected agent changed, it reports this to the leader
// part of this agent (g.leader) and sends the member's status to the elected agent.
func (g *group) updateElection(now time.Time) {
	elected := g.peers.elect(now, g.name, g.self.VM, g.roster)
	if elected == g.peers.reported && g.peers.hasReported {
		return
	}
	g.peers.reported, g.peers.hasReported = elected, true
	g.handleActions(now, g.leader.Step(now, expert.ElectionChanged{Elected: elected == g.self.VM}))
	if elected != "" {
		// A leader that has stored an earlier incarnation of this agent detects the restart from
		// the status.
		g.send(now, expert.Send{To: elected, Message: g.member.Status()})
	}
	g.flush(now)
}

// stepBoth passes an event to the member and the leader.
func (g *group) stepBoth(now time.Time, event expert.Event) {
	g.handleActions(now, g.member.Step(now, event))
	g.handleActions(now, g.leader.Step(now, event))
	g.flush(now)
}

// flush delivers the messages that the agent sent to itself, then orders the steps that the
// gate has allowed.
func (g *group) flush(now time.Time) {
	for len(g.loopback) > 0 {
		message := g.loopback[0]
		g.loopback = g.loopback[1:]
		g.handleActions(now, g.member.Step(now, expert.Received{Message: message}))
		g.handleActions(now, g.leader.Step(now, expert.Received{Message: message}))
	}
	g.orderAllowedSteps(now)
}

func (g *group) handleActions(now time.Time, actions []expert.Action) {
	for _, action := range actions {
		g.handleAction(now, action)
	}
}

func (g *group) handleAction(now time.Time, action expert.Action) {
	switch action := action.(type) {
	case expert.Send:
		g.send(now, action)
	case expert.LoadWeights:
		g.scheduleLoad(now, action)
	case expert.DropWeights:
		g.loads.dropPending(action.Version)
	case expert.AllowStep:
		g.engine.allow(action)
	case expert.StepHeld:
		g.recordEvent("step-held", SeverityDebug, "", Field{"step", formatStep(action.Step)})
	case expert.RefuseStep:
		g.recordEvent("group-step-refused", SeverityWarning, "", Field{"step", formatStep(action.Step)},
			Field{"generation", action.Generation.String()})
	case expert.JoinGeneration:
		g.joinGeneration(action)
	case expert.LeaveGeneration:
		g.leaveGeneration(now, action)
	case expert.MapScheduled:
		g.scheduleMap(now, action)
	case expert.LeadershipChanged:
		g.recordEvent("group-leadership", SeverityInfo, "", Field{"epoch", action.Epoch.String()},
			Field{"leading", strconv.FormatBool(action.Leading)})
	case expert.RolloutEnded:
		g.endRollout(action)
	default:
		g.handleOrderAction(now, action)
	}
}

// send sends a message to an agent of the group. A status reports a rollout that forms a
// generation as loaded only once the engine starts no step that was allowed before.
func (g *group) send(now time.Time, action expert.Send) {
	message := action.Message
	if status, ok := message.(expert.Status); ok {
		if status.Rollout.Forming && status.Rollout.Phase == expert.PhaseLoaded && !g.engine.stepsClosed {
			status.Rollout.Phase = expert.PhaseLoading
		}
		message = status
	}
	g.recordRollout(message)
	if action.To == g.self.VM {
		g.loopback = append(g.loopback, message)
		return
	}
	envelope := expert.Wrap(message)
	out := Send{To: action.To, Body: &envelope}
	switch message.(type) {
	case expert.Status, expert.Counts:
		out.Route = g.links.routes[action.To]
	default:
		out.NewConnection = g.links.recordRequest(now, action.To)
	}
	g.emit(out)
}

func (g *group) recordEvent(kind string, severity Severity, about ident.VM, fields ...Field) {
	g.emit(TimelineEvent{Kind: kind, Severity: severity, Group: g.name, About: about, Fields: fields})
}

func formatStep(step expert.Step) string {
	return strconv.FormatUint(uint64(step), 10)
}
