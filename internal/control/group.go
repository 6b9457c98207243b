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
	// groupOrderTimeout is the time after which an order counts as unanswered.
	groupOrderTimeout = 2 * time.Second
	// groupReadInterval is the time between reads while an order is in doubt.
	groupReadInterval = 100 * time.Millisecond
	// groupHeartbeat is the time between two heartbeats of a leader without a rollout.
	groupHeartbeat = 500 * time.Millisecond
	// spareSlots is the number of replicas that a rank holds in a layer beyond its part.
	spareSlots = 1
	// weightBurst is the number of experts that may be loaded at once from an idle store.
	weightBurst = 64
)

// GroupSettings sets the part of an agent in its model group; zero fields have defaults.
type GroupSettings struct {
	// OrderLifetime is the time after which an order that did not take effect never will,
	// at engines that ignore fencing numbers. 0 means expert.DefaultOrderLifetime.
	OrderLifetime time.Duration
	// StepWindow is the number of steps that an engine is allowed ahead.
	StepWindow expert.Step
	// PlanInterval is the time between two plans of a leader.
	PlanInterval time.Duration
	// ExpertBytes is the size of one expert's weights in one layer.
	ExpertBytes int64
	// StoreRate is the weight store's rate for one agent in bytes a second.
	StoreRate float64
	// StepTime is the time of a step without skew.
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

// group is an agent's part in its model group: it takes part in rollouts, may lead them,
// and lets the engine run steps only under the map that its gate allows. It is not safe
// for concurrent use.
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
	peers      peerWatch
	links      groupLinks
	engine     groupEngine
	counts     groupCounts
	loads      groupLoads
	plans      groupPlans
	moved      int64
	rollout    RolloutStatus
	// doubt is an order in doubt that was not noted yet; zero for none.
	doubt expert.OrderInDoubt

	// local holds messages of the agent to itself.
	local []expert.Message
	out   func(Action)
}

// groupConfig describes a group to its constructor.
type groupConfig struct {
	name     ident.Group
	self     ident.Instance
	ranks    []ident.Rank
	shape    expert.Shape
	settings GroupSettings
	weights  template.ExpertWeights
	fenced   bool
	out      func(Action)
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
		peers:    peerWatch{heard: map[ident.VM]time.Time{}, suspects: map[ident.VM]time.Time{}},
		links:    groupLinks{routes: map[ident.VM]Route{}, asked: map[ident.VM]time.Time{}},
		out:      config.out,
	}
	slices.Sort(g.ranks)
	g.loads.bucket = expert.NewTokenBucket(now, settings.StoreRate, float64(weightBurst*settings.ExpertBytes))
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
	return g, g.usePlanner()
}

// usePlanner builds the planner for the weights in force.
func (g *group) usePlanner() error {
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

// useConfiguration takes in an accepted roster and the weights of the templates.
func (g *group) useConfiguration(now time.Time, roster expert.Roster, weights template.ExpertWeights) {
	g.roster = roster
	if weights != g.weights {
		g.weights = weights
		if err := g.usePlanner(); err != nil {
			panic("invariant: " + err.Error())
		}
	}
	g.both(now, expert.RosterChanged{Roster: roster})
	g.elect(now)
}

func (g *group) receive(now time.Time, from ident.Instance, route Route, envelope expert.Envelope) {
	message, err := envelope.Unwrap()
	if err != nil {
		g.note("group-message-invalid", SeverityWarning, from.VM, Field{"error", err.Error()})
		return
	}
	g.peers.hear(now, from.VM)
	g.links.hear(from.VM, route)
	if counts, ok := message.(expert.Counts); ok {
		if counts.Group == g.name {
			g.popularity.Add(counts)
		}
		return
	}
	g.both(now, expert.Received{Message: message})
}

func (g *group) tick(now time.Time) {
	g.elect(now)
	g.carry(now, g.leader.Step(now, expert.Tick{}))
	g.carry(now, g.issuer.Step(now, expert.Tick{}))
	g.reportDoubt(now)
	g.startLoad(now)
	g.ensureClosed(now)
	g.retryFirstRead(now)
	g.plan(now)
	g.settle(now)
}

// elect tells the leader whether this agent is the one to lead.
func (g *group) elect(now time.Time) {
	elected := g.peers.elect(now, g.name, g.self.VM, g.roster)
	if elected == g.peers.told && g.peers.any {
		return
	}
	g.peers.told, g.peers.any = elected, true
	g.carry(now, g.leader.Step(now, expert.ElectionChanged{Elected: elected == g.self.VM}))
	if elected != "" {
		// A leader that knows an earlier process of the VM learns of this one.
		g.send(now, expert.Send{To: elected, Message: g.member.Status()})
	}
	g.settle(now)
}

// both hands an event to the member and the leader.
func (g *group) both(now time.Time, event expert.Event) {
	g.carry(now, g.member.Step(now, event))
	g.carry(now, g.leader.Step(now, event))
	g.settle(now)
}

// settle hands over the messages of the agent to itself, then orders the steps that the
// gate allowed.
func (g *group) settle(now time.Time) {
	for len(g.local) > 0 {
		message := g.local[0]
		g.local = g.local[1:]
		g.carry(now, g.member.Step(now, expert.Received{Message: message}))
		g.carry(now, g.leader.Step(now, expert.Received{Message: message}))
	}
	g.orderAllowed(now)
}

func (g *group) carry(now time.Time, actions []expert.Action) {
	for _, action := range actions {
		g.act(now, action)
	}
}

func (g *group) act(now time.Time, action expert.Action) {
	switch action := action.(type) {
	case expert.Send:
		g.send(now, action)
	case expert.LoadWeights:
		g.load(now, action)
	case expert.DropWeights:
		g.loads.drop(action.Version)
	case expert.AllowStep:
		g.engine.allow(action)
	case expert.StepHeld:
		g.note("step-held", SeverityDebug, "", Field{"step", stepText(action.Step)})
	case expert.RefuseStep:
		g.note("group-step-refused", SeverityWarning, "", Field{"step", stepText(action.Step)},
			Field{"generation", action.Generation.String()})
	case expert.JoinGeneration:
		g.join(action)
	case expert.LeaveGeneration:
		g.leave(now, action)
	case expert.MapScheduled:
		g.schedule(now, action)
	case expert.LeadershipChanged:
		g.note("group-leadership", SeverityInfo, "", Field{"epoch", action.Epoch.String()},
			Field{"leading", strconv.FormatBool(action.Leading)})
	case expert.RolloutEnded:
		g.endRollout(action)
	default:
		g.orderAction(now, action)
	}
}

// send sends a message. A status tells that a forming rollout is prepared only once the
// engine starts no step that was allowed before.
func (g *group) send(now time.Time, action expert.Send) {
	message := action.Message
	if status, ok := message.(expert.Status); ok {
		if status.Rollout.Forming && status.Rollout.Phase == expert.PhaseLoaded && !g.engine.closed {
			status.Rollout.Phase = expert.PhaseLoading
		}
		message = status
	}
	g.noteRollout(message)
	if action.To == g.self.VM {
		g.local = append(g.local, message)
		return
	}
	envelope := expert.Wrap(message)
	out := Send{To: action.To, Body: &envelope}
	switch message.(type) {
	case expert.Status, expert.Counts:
		out.Route = g.links.routes[action.To]
	default:
		out.NewConnection = g.links.ask(now, action.To)
	}
	g.out(out)
}

func (g *group) note(kind string, severity Severity, about ident.VM, fields ...Field) {
	g.out(Note{Kind: kind, Severity: severity, Group: g.name, About: about, Fields: fields})
}

func stepText(step expert.Step) string {
	return strconv.FormatUint(uint64(step), 10)
}
