package control

import (
	"strconv"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/expert"
)

// inDoubtNoticeDelay is how long an order may be in doubt before it is reported to operators.
const inDoubtNoticeDelay = 500 * time.Millisecond

// groupLoads holds weights whose loading is delayed to keep within the rate of the weight
// store.
type groupLoads struct {
	bucket  *expert.TokenBucket
	pending *expert.LoadWeights
	startAt time.Time
}

func (l *groupLoads) clearPending() {
	l.pending = nil
}

func (l *groupLoads) dropPending(version expert.Version) {
	if l.pending != nil && l.pending.Version == version {
		l.pending = nil
	}
}

// scheduleLoad reserves the bytes of the weights at the weight store's rate, and orders the
// load at once if there is no delay.
func (g *group) scheduleLoad(now time.Time, action expert.LoadWeights) {
	bytes := int64(len(action.Placements)) * g.settings.ExpertBytes
	g.loads.pending = &action
	g.loads.startAt = g.loads.bucket.Reserve(now, float64(bytes))
	g.startLoad(now)
}

// startLoad orders the engine to load the pending weights once their reserved time has come.
func (g *group) startLoad(now time.Time) {
	load := g.loads.pending
	if load == nil || now.Before(g.loads.startAt) || !g.engine.known {
		return
	}
	g.loads.pending = nil
	g.requestOrder(now, expert.Order{Kind: expert.OrderLoadExperts, MapVersion: load.Version, Placements: load.Placements})
}

// requestOrder passes an order for the current boot of the engine to the order issuer.
func (g *group) requestOrder(now time.Time, order expert.Order) {
	order.Boot = g.engine.state.Boot
	g.handleActions(now, g.issuer.Step(now, expert.OrderRequested{Order: order}))
}

func (g *group) receiveOrderAnswer(now time.Time, answered expert.OrderAnswered) {
	g.handleActions(now, g.issuer.Step(now, answered))
	g.flush(now)
}

func (g *group) handleOrderAction(now time.Time, action expert.Action) {
	switch action := action.(type) {
	case expert.SendOrder:
		g.emit(SendEngineOrder{Rank: g.ranks[0], Issuer: g.self, Order: action})
	case expert.CancelOrder:
		g.emit(CancelOrder(action))
	case expert.ReadEngine:
		g.emit(ReadEngine(action))
	case expert.OrderInDoubt:
		g.inDoubt = action
	case expert.OrderEnded:
		g.inDoubt = expert.OrderInDoubt{}
		g.endOrder(now, action)
	}
}

// reportInDoubt reports an order that has been in doubt for inDoubtNoticeDelay.
func (g *group) reportInDoubt(now time.Time) {
	if g.inDoubt.Since.IsZero() || now.Sub(g.inDoubt.Since) < inDoubtNoticeDelay {
		return
	}
	g.recordEvent("order-in-doubt", SeverityWarning, "", Field{"order", string(g.inDoubt.Order.Kind)},
		Field{"since", g.inDoubt.Since.UTC().Format(time.RFC3339Nano)})
	g.inDoubt = expert.OrderInDoubt{}
}

// endOrder handles the end of an order.
func (g *group) endOrder(now time.Time, ended expert.OrderEnded) {
	if ended.Result == expert.OrderSuperseded {
		return
	}
	if ended.Result == expert.OrderFailed {
		g.recordEvent("order-failed", SeverityWarning, "", Field{"order", string(ended.Order.Kind)}, Field{"cause", ended.Cause})
	}
	current := ended.Order.Boot == g.engine.state.Boot
	switch ended.Order.Kind {
	case expert.OrderLoadExperts:
		g.endLoad(now, ended)
	case expert.OrderCloseSteps:
		g.endClose(now, current, ended)
	case expert.OrderActivateMap, expert.OrderAllowSteps:
		// Without the ordered map or steps the engine can't continue in the generation, so that
		// the agent leaves it as after a restart of the engine.
		if current && ended.Result == expert.OrderFailed && !g.engine.generation.IsZero() {
			g.handleEngineRestart(now)
		}
	}
}

func (g *group) endLoad(now time.Time, ended expert.OrderEnded) {
	version := ended.Order.MapVersion
	if ended.Result == expert.OrderDone {
		bytes := int64(len(ended.Order.Placements)) * g.settings.ExpertBytes
		g.bytesLoaded += bytes
		g.recordEvent("group-weights-loaded", SeverityInfo, "", Field{"map", version.String()},
			Field{"replicas", strconv.Itoa(len(ended.Order.Placements))}, Field{"bytes", strconv.FormatInt(bytes, 10)})
		g.handleActions(now, g.member.Step(now, expert.WeightsLoaded{Version: version}))
		return
	}
	g.handleActions(now, g.member.Step(now, expert.WeightsFailed{Version: version, Cause: ended.Cause}))
}

// endClose reports to the leader that the engine starts no more steps.
func (g *group) endClose(now time.Time, current bool, ended expert.OrderEnded) {
	if !current || !g.engine.generation.IsZero() {
		return
	}
	g.engine.closingSteps = false
	if ended.Result != expert.OrderDone {
		return
	}
	g.engine.stepsClosed = true
	if epoch := g.member.Epoch(); !epoch.IsZero() {
		g.send(now, expert.Send{To: epoch.Leader.VM, Message: g.member.Status()})
	}
}

func (g *group) endRollout(ended expert.RolloutEnded) {
	g.rollout.Version = ended.Version.String()
	g.rollout.Result = ended.Result.String()
	g.rollout.Cause = ended.Cause
	g.recordEvent("group-rollout-ended", SeverityInfo, "", Field{"map", ended.Version.String()},
		Field{"result", ended.Result.String()}, Field{"step", formatStep(ended.Step)},
		Field{"forming", strconv.FormatBool(ended.Forming)}, Field{"cause", ended.Cause})
}
