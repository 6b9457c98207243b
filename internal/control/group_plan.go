package control

import (
	"strconv"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

const (
	// electedTimeout is the time without a message from the elected agent after which another
	// agent is elected.
	electedTimeout = 3 * time.Second
	// suspectDuration is the time after that in which the agent can't be elected.
	suspectDuration = 10 * time.Second
)

// peerMonitor decides which agents of the group may be elected.
type peerMonitor struct {
	lastReceivedAt map[ident.VM]time.Time
	suspectedAt    map[ident.VM]time.Time
	// elected is the agent elected last, at electedAt.
	elected   ident.VM
	electedAt time.Time
	// reported is the elected agent last reported to this agent's leader part; valid if
	// hasReported is true.
	reported    ident.VM
	hasReported bool
}

// recordReceived records a message from an agent.
func (p *peerMonitor) recordReceived(now time.Time, vm ident.VM) {
	p.lastReceivedAt[vm] = now
	delete(p.suspectedAt, vm)
}

// eligible reports whether an agent may be elected.
func (p *peerMonitor) eligible(now time.Time, self, vm ident.VM) bool {
	if vm == self {
		return true
	}
	since, suspected := p.suspectedAt[vm]
	return !suspected || now.Sub(since) >= suspectDuration
}

// elect returns the elected agent. It suspects the one elected last if no message was received
// from it for electedTimeout.
func (p *peerMonitor) elect(now time.Time, name ident.Group, self ident.VM, roster expert.Roster) ident.VM {
	if p.elected != "" && p.elected != self {
		last := p.electedAt
		if received := p.lastReceivedAt[p.elected]; received.After(last) {
			last = received
		}
		if now.Sub(last) > electedTimeout {
			p.suspectedAt[p.elected] = now
		}
	}
	elected := expert.Elect(name, roster, func(vm ident.VM) bool { return p.eligible(now, self, vm) })
	if elected != p.elected {
		p.elected, p.electedAt = elected, now
	}
	return elected
}

// groupCounts is the state of the engine's token counts at the last report.
type groupCounts struct {
	sequence uint64
	boot     string
	step     uint64
	layers   [][]uint64
}

// reportCounts reports the tokens since the last counts to the elected agent.
func (g *group) reportCounts(now time.Time, received CountsReceived) {
	last := g.counts
	g.counts.boot, g.counts.step, g.counts.layers = received.Boot, received.Step, received.Layers
	if last.boot != received.Boot || received.Step <= last.step || !g.engine.firstStepKnown || received.Step < g.engine.firstStep {
		return
	}
	g.counts.sequence++
	report := expert.Counts{
		Group:      g.name,
		From:       g.self,
		Sequence:   g.counts.sequence,
		Generation: g.engine.generation,
		Until:      expert.Step(received.Step-g.engine.firstStep) + 1,
		Steps:      uint32(received.Step - last.step),
		Ranks:      uint16(len(g.ranks)),
	}
	for layer, counts := range received.Layers {
		report.Layers = append(report.Layers, expert.ScaleCounts(subtractCounts(counts, last.layers[layer])))
	}
	if g.peers.elected == g.self.VM {
		g.popularity.Add(report)
		return
	}
	if g.peers.elected != "" {
		g.send(now, expert.Send{To: g.peers.elected, Message: report})
	}
}

// subtractCounts returns the increase of each count; 0 where it did not increase.
func subtractCounts(counts, before []uint64) []uint64 {
	tokens := make([]uint64, len(counts))
	for i := range counts {
		if counts[i] > before[i] {
			tokens[i] = counts[i] - before[i]
		}
	}
	return tokens
}

// groupPlans is the planning state of a leader.
type groupPlans struct {
	nextAt time.Time
	number uint64
	last   *PlanStatus
	// generation is that of the last plan. earlierSteps counts the steps of the generations
	// before it, and latestStep is the last step started in it.
	generation   expert.Generation
	earlierSteps expert.Step
	latestStep   expert.Step
}

// stepsRun returns the number of steps that the group has run in all generations.
func (p *groupPlans) stepsRun(gate *expert.StepGate) float64 {
	if gate.Generation() != p.generation {
		p.earlierSteps += p.latestStep
		p.generation = gate.Generation()
	}
	p.latestStep = gate.Started()
	return float64(p.earlierSteps + p.latestStep)
}

// requestPlan requests a plan every PlanInterval while the agent leads and no rollout is in
// progress.
func (g *group) requestPlan(now time.Time) {
	if now.Before(g.plans.nextAt) {
		return
	}
	if !g.leader.Ready() {
		return
	}
	g.plans.nextAt = now.Add(g.settings.PlanInterval)
	g.plans.number++
	g.emit(MakePlan{Number: g.plans.number, Epoch: g.leader.Epoch(), Planner: g.planner, Input: expert.PlanInput{
		Steps: g.plans.stepsRun(g.member.Gate()), Current: g.leader.Map(), Load: g.popularity.Load(),
	}})
}

// receivePlan proposes a plan unless the leadership has changed since it was requested.
func (g *group) receivePlan(now time.Time, made PlanMade) {
	if made.Number != g.plans.number || made.Epoch != g.leader.Epoch() || !g.leader.Ready() {
		return
	}
	plan := made.Plan
	g.plans.last = &PlanStatus{
		At: now, Kind: plan.Kind.String(), Moves: plan.Moves, Bytes: plan.Bytes,
		SkewBefore: plan.SkewBefore, SkewAfter: plan.SkewAfter, Gain: plan.Gain, Cost: plan.Cost,
	}
	if plan.Kind == expert.PlanNone {
		return
	}
	g.recordEvent("group-rollout-started", SeverityInfo, "", Field{"plan", plan.Kind.String()},
		Field{"moves", strconv.Itoa(plan.Moves)}, Field{"bytes", strconv.FormatInt(plan.Bytes, 10)},
		Field{"skew-before", formatSkew(plan.SkewBefore)}, Field{"skew-after", formatSkew(plan.SkewAfter)})
	g.handleActions(now, g.leader.Step(now, expert.Propose{Map: plan.Map}))
	g.flush(now)
}

func formatSkew(skew float64) string {
	return strconv.FormatFloat(skew, 'f', 3, 64)
}

// recordRollout records the map that the agent rolls out as the leader.
func (g *group) recordRollout(message expert.Message) {
	if prepare, ok := message.(expert.Prepare); ok {
		if version := prepare.Map.Version.String(); version != g.rollout.Version {
			g.rollout = RolloutStatus{Version: version}
		}
	}
}
