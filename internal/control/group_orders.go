package control

import (
	"strconv"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/expert"
)

// doubtTime is how long an order may be in doubt before operators are told.
const doubtTime = 500 * time.Millisecond

// groupLoads are the weights that wait for the weight store's rate.
type groupLoads struct {
	bucket  *expert.TokenBucket
	pending *expert.LoadWeights
	startAt time.Time
}

func (l *groupLoads) clear() {
	l.pending = nil
}

func (l *groupLoads) drop(version expert.Version) {
	if l.pending != nil && l.pending.Version == version {
		l.pending = nil
	}
}

// load books the weights at the weight store's rate.
func (g *group) load(now time.Time, action expert.LoadWeights) {
	bytes := int64(len(action.Placements)) * g.settings.ExpertBytes
	g.loads.pending = &action
	g.loads.startAt = g.loads.bucket.Reserve(now, float64(bytes))
	g.startLoad(now)
}

// startLoad orders the weights whose time has come.
func (g *group) startLoad(now time.Time) {
	load := g.loads.pending
	if load == nil || now.Before(g.loads.startAt) || !g.engine.known {
		return
	}
	g.loads.pending = nil
	g.want(now, expert.Order{Kind: expert.OrderLoadExperts, Experts: load.Version, Placements: load.Placements})
}

// want asks for an order to the run of the engine that the agent knows.
func (g *group) want(now time.Time, order expert.Order) {
	order.Engine = g.engine.state.Engine
	g.carry(now, g.issuer.Step(now, expert.OrderRequested{Order: order}))
}

func (g *group) takeAnswer(now time.Time, answered expert.OrderAnswered) {
	g.carry(now, g.issuer.Step(now, answered))
	g.settle(now)
}

func (g *group) orderAction(now time.Time, action expert.Action) {
	switch action := action.(type) {
	case expert.SendOrder:
		g.out(GiveOrder{Rank: g.ranks[0], Issuer: g.self, Order: action})
	case expert.CancelOrder:
		g.out(CancelOrder(action))
	case expert.ReadEngine:
		g.out(ReadEngine(action))
	case expert.OrderInDoubt:
		g.doubt = action
	case expert.OrderEnded:
		g.doubt = expert.OrderInDoubt{}
		g.endOrder(now, action)
	}
}

// reportDoubt notes an order whose effect the engine does not show soon after it was sent.
func (g *group) reportDoubt(now time.Time) {
	if g.doubt.Since.IsZero() || now.Sub(g.doubt.Since) < doubtTime {
		return
	}
	g.note("order-in-doubt", SeverityWarning, "", Field{"order", string(g.doubt.Order.Kind)},
		Field{"since", g.doubt.Since.UTC().Format(time.RFC3339Nano)})
	g.doubt = expert.OrderInDoubt{}
}

func (g *group) endOrder(now time.Time, ended expert.OrderEnded) {
	if ended.Result == expert.OrderSuperseded {
		return
	}
	if ended.Result == expert.OrderFailed {
		g.note("order-failed", SeverityWarning, "", Field{"order", string(ended.Order.Kind)}, Field{"cause", ended.Cause})
	}
	current := ended.Order.Engine == g.engine.state.Engine
	switch ended.Order.Kind {
	case expert.OrderLoadExperts:
		g.endLoad(now, ended)
	case expert.OrderCloseSteps:
		g.endClose(now, current, ended)
	case expert.OrderActivateMap, expert.OrderAllowSteps:
		if current && ended.Result == expert.OrderFailed && !g.engine.generation.IsZero() {
			g.restart(now)
		}
	}
}

func (g *group) endLoad(now time.Time, ended expert.OrderEnded) {
	version := ended.Order.Experts
	if ended.Result == expert.OrderDone {
		bytes := int64(len(ended.Order.Placements)) * g.settings.ExpertBytes
		g.moved += bytes
		g.note("group-weights-loaded", SeverityInfo, "", Field{"map", version.String()},
			Field{"replicas", strconv.Itoa(len(ended.Order.Placements))}, Field{"bytes", strconv.FormatInt(bytes, 10)})
		g.carry(now, g.member.Step(now, expert.WeightsLoaded{Version: version}))
		return
	}
	g.carry(now, g.member.Step(now, expert.WeightsFailed{Version: version, Cause: ended.Cause}))
}

// endClose tells the leader that the engine stands still.
func (g *group) endClose(now time.Time, current bool, ended expert.OrderEnded) {
	if !current || !g.engine.generation.IsZero() {
		return
	}
	g.engine.closing = false
	if ended.Result != expert.OrderDone {
		return
	}
	g.engine.closed = true
	if epoch := g.member.Epoch(); !epoch.IsZero() {
		g.send(now, expert.Send{To: epoch.Leader.VM, Message: g.member.Status()})
	}
}

func (g *group) endRollout(ended expert.RolloutEnded) {
	g.rollout.Version = ended.Version.String()
	g.rollout.Result = ended.Result.String()
	g.rollout.Cause = ended.Cause
	g.note("group-rollout-ended", SeverityInfo, "", Field{"map", ended.Version.String()},
		Field{"result", ended.Result.String()}, Field{"step", stepText(ended.Step)},
		Field{"forming", strconv.FormatBool(ended.Forming)}, Field{"cause", ended.Cause})
}
