package expert

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// evaluateGuard evaluates a guard of charts/lockstep.json.
func (l *LockstepLeader) evaluateGuard(guard chart.Guard) bool {
	switch guard {
	case "placement-unknown":
		// This is the placement of the map that the ranks switch to, not Placement().
		return l.targetPlacement == nil
	case "armed":
		return l.any(isArmed)
	case "armed-in-part":
		return l.partlyArmed()
	case "armed-in-part-unheld":
		return l.partlyArmed() && !l.any(isHeld)
	case "held":
		return l.any(isHeld)
	case "may-hold-again":
		return l.holdAttempts < maxHoldAttempts
	}
	return false
}

func isArmed(s *RankStatus) bool { return s.Armed != 0 }

func isHeld(s *RankStatus) bool { return s.Held != 0 }

// partlyArmed reports whether some ranks are armed, but not all of them for the same map.
func (l *LockstepLeader) partlyArmed() bool {
	version := uint64(0)
	for i := range l.ranks {
		version = max(version, l.ranks[i].status.Armed)
	}
	return version != 0 && !l.all(func(s *RankStatus) bool { return s.Armed == version })
}

func (l *LockstepLeader) perform(now time.Time, action chart.Action, event chart.Event) {
	switch action {
	case "claim":
		l.claim(now, string(event))
	case "step-down":
		l.stepDown(now, string(event))
	case "hold-armed-step":
		l.holdArmedStep(now)
	case "disarm":
		l.disarm(now)
	case "release":
		l.release(now)
	case "prepare":
		l.prepare(now)
	case "hold":
		l.hold(now)
	case "arm":
		l.orderAll(now, LockstepOrder{Kind: LockstepArm, Version: l.version, Step: l.step})
	case "report-done":
		l.currentPlacement = l.targetPlacement
		l.emit(MapInForce{
			Version: l.version, Took: now.Sub(l.proposedAt),
			Loaded: l.loadedAt.Sub(l.proposedAt), Released: l.releasedAt.Sub(l.proposedAt),
		})
	}
}

// claim chooses a fence that is greater than all known ones and orders all engines to accept it. Fences are unique:
// they contain the rank, and each claim of a rank chooses a greater one. Map versions count up from the fence, because
// engines refuse to prepare a version that is not greater than all earlier ones, and a new leader may not know the
// versions of earlier leaders.
func (l *LockstepLeader) claim(now time.Time, reason string) {
	unit := max(uint64(now.UnixMilli()), l.Fence()/fencesPerMillisecond+1)
	l.fence = unit*fencesPerMillisecond + uint64(l.self)
	l.version = max(l.version, l.fence)
	for i := range l.ranks {
		l.ranks[i].statusKnown = false
	}
	l.emit(LockstepLeadership{Leading: true, Fence: l.fence, Reason: reason})
	l.lastBeaconAt = now
	l.emit(Beacon{Epoch: l.epoch, Fence: l.fence})
	l.orderAll(now, LockstepOrder{Kind: LockstepClaim})
}

func (l *LockstepLeader) stepDown(now time.Time, reason string) {
	l.takeoverFrom = now
	l.clearTasks()
	l.emit(LockstepLeadership{Fence: l.Fence(), Reason: reason})
}

func (l *LockstepLeader) clearTasks() {
	l.relay = nil
	for i := range l.ranks {
		l.ranks[i].task = nil
	}
}

// holdArmedStep holds the pass for which some ranks are armed, so that it cannot begin before they are disarmed.
func (l *LockstepLeader) holdArmedStep(now time.Time) {
	l.clearTasks()
	step := uint64(0)
	for i := range l.ranks {
		step = max(step, l.ranks[i].status.ArmedStep)
	}
	if step == 0 {
		step = l.lastStep() + 1
	}
	l.order(now, l.self, LockstepOrder{Kind: LockstepHold, Step: step})
}

// lastStep returns the last pass that has begun according to the ranks' statuses.
func (l *LockstepLeader) lastStep() uint64 {
	step := uint64(0)
	for i := range l.ranks {
		step = max(step, l.ranks[i].status.Step)
	}
	return step
}

// disarm disarms all ranks. It includes ranks that do not report an arm, because a rank that is armed without the
// leader's knowledge would switch maps alone.
func (l *LockstepLeader) disarm(now time.Time) {
	l.clearTasks()
	newest := uint64(0)
	for i := range l.ranks {
		newest = max(newest, l.ranks[i].status.Armed)
	}
	for i := range l.ranks {
		version := newest
		if armed := l.ranks[i].status.Armed; armed != 0 {
			version = armed
		}
		l.order(now, ident.Rank(i), LockstepOrder{Kind: LockstepDisarm, Version: version})
	}
}

// release ends all holds. Armed ranks stay armed. It first updates the ranks' statuses with the arm and disarm orders
// that the ranks have accepted, because the recorded statuses may be older, and the guard "armed" reads them afterwards.
func (l *LockstepLeader) release(now time.Time) {
	l.releasedAt = now
	armed := uint64(0)
	for i := range l.ranks {
		view := &l.ranks[i]
		if view.task != nil && view.task.order.Kind == LockstepDisarm {
			view.status.Armed = 0
		}
		if view.task != nil && view.task.order.Kind == LockstepArm {
			view.status.Armed = view.task.order.Version
		}
		armed = max(armed, view.status.Armed)
	}
	if armed != 0 && armed != l.version {
		// The ranks are armed with the map of another rollout, whose placement is unknown here. After the switch, the
		// guard "placement-unknown" leads to a new claim, which reads it from the engines.
		l.version, l.targetPlacement = armed, nil
	}
	l.clearTasks()
	if l.ownHold != 0 {
		l.ranks[l.self].status.Held = l.ownHold
		l.ownHold = 0
	}
	for i := range l.ranks {
		if held := l.ranks[i].status.Held; held != 0 {
			l.order(now, ident.Rank(i), LockstepOrder{Kind: LockstepRelease, Step: held})
			l.ranks[i].status.Held = 0
		}
	}
	l.checkTasks(now)
}

func (l *LockstepLeader) prepare(now time.Time) {
	l.version = max(l.version, l.fence) + 1
	l.holdAttempts = 0
	l.orderAll(now, LockstepOrder{Kind: LockstepPrepare, Version: l.version, Placement: l.targetPlacement})
}

// hold chooses the pass of the switch and holds it. Each further attempt doubles the margin.
func (l *LockstepLeader) hold(now time.Time) {
	l.clearTasks()
	l.holdAttempts++
	margin := uint64(stepMargin)
	if now.Sub(l.unansweredAt) < unansweredWindow {
		margin = unansweredStepMargin
	}
	l.step = l.lastStep() + margin<<(l.holdAttempts-1)
	l.order(now, l.self, LockstepOrder{Kind: LockstepHold, Step: l.step})
}

// orderAll orders all ranks. An order too large to be sent to each of them within directSendTime is relayed.
func (l *LockstepLeader) orderAll(now time.Time, order LockstepOrder) {
	l.clearTasks()
	l.relayOrder(&order)
	if l.relay == nil {
		for i := range l.ranks {
			l.order(now, ident.Rank(i), order)
		}
		return
	}
	order.Epoch, order.Fence = l.epoch, l.fence
	for i := range l.ranks {
		l.ranks[i].task = &rankTask{order: order, first: l.sequence + 1, sentAt: now}
	}
	l.send(now, l.self)
	for _, rank := range l.relay.Children(l.self) {
		l.send(now, rank)
	}
}

// relayOrder sets relay and relaySpread for an order to all ranks.
func (l *LockstepLeader) relayOrder(order *LockstepOrder) {
	l.relay = nil
	if order.Kind != LockstepPrepare {
		return
	}
	size := order.Placement.encodedBytes()
	l.relay = newRelay(l.self, l.size, size, l.linkRate, func(rank ident.Rank) bool { return l.ranks[rank].missedReplies > 0 })
	if l.relay != nil {
		l.relaySpread = l.relay.spreadTime(size, l.linkRate)
	}
}

// order sends an order to a rank. It is sent again until the rank accepts it or the order is replaced.
func (l *LockstepLeader) order(now time.Time, rank ident.Rank, order LockstepOrder) {
	order.Epoch, order.Fence = l.epoch, l.fence
	l.ranks[rank].task = &rankTask{order: order, first: l.sequence + 1}
	l.send(now, rank)
}

func (l *LockstepLeader) send(now time.Time, rank ident.Rank) {
	view := &l.ranks[rank]
	l.sequence++
	view.task.last, view.task.sentAt = l.sequence, now
	l.emit(SendLockstepOrder{
		Rank: rank, Sequence: l.sequence, Direct: view.missedReplies >= directOrderThreshold, Order: view.task.order, Relay: l.relay,
	})
}
