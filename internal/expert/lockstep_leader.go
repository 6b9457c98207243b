package expert

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// LockstepLeader follows or leads, for one agent, a group whose engines hold passes and arm maps themselves. The
// engines store all state of a rollout, so the leader may change at any time. Two agents that lead at the same
// time are safe: a leader sends no other order before all engines have accepted its fence, and from then on the
// engines refuse the orders of the former leader as stale. Afterwards the leader keeps to two rules:
//
//   - it holds a pass, arms all ranks for that pass, and releases the hold only when all ranks have accepted;
//   - if it finds only some ranks armed, it holds their pass if no pass is held yet, disarms them, and then
//     releases the hold.
//
// As a result, no pass begins while only some ranks are armed for it. LockstepLeader is pure and not safe for
// concurrent use.
type LockstepLeader struct {
	self  ident.Rank
	epoch uint64
	size  int
	// linkRate is the rate of the VM's network link in bytes a second; 0 if unknown.
	linkRate float64

	state chart.State
	// stateDeadline is the time at which the timeout of the current state fires; zero for none.
	stateDeadline time.Time
	fence         uint64
	// version is that of the map being rolled out, step the pass at which the ranks switch to it.
	version uint64
	step    uint64
	// ownHold is the pass that the leader's own rank holds; 0 for none.
	ownHold      uint64
	holdAttempts int
	// unansweredAt is the time of the last LockstepUnanswered.
	unansweredAt time.Time
	proposedAt   time.Time
	// loadedAt is the time at which all experts were loaded, releasedAt that of the group's release.
	loadedAt, releasedAt time.Time
	targetPlacement      LayerPlacements
	currentPlacement     LayerPlacements
	// relay is the tree of the last order to all ranks, or nil if it was sent to each of them. relaySpread is the time
	// in which an order reaches all ranks along the tree.
	relay       *Relay
	relaySpread time.Duration

	// otherFence is the greatest known fence of another leader.
	otherFence uint64
	// takeoverFrom is the time from which takeoverTimeout runs: that of the last beacon of another leader, of the
	// last stale order, of stepping down, of the start of the epoch, or of the start of the process.
	takeoverFrom time.Time
	// lastBeaconAt is the time of the last beacon that this leader sent.
	lastBeaconAt time.Time

	ranks    []rankView
	sequence uint64
	actions  []LockstepAction
}

// rankView is the leader's latest information about one rank.
type rankView struct {
	status      RankStatus
	statusKnown bool
	// statusAt is the time at which status was recorded or, if later, at which the last ReadRank was sent.
	statusAt time.Time
	experts  [][]Expert
	task     *rankTask
	// missedReplies counts consecutive orders without a reply from the agent.
	missedReplies int
}

// rankTask is an order that a rank has not accepted yet.
type rankTask struct {
	order LockstepOrder
	// first and last are the sequence numbers of the first and the last copy of the order.
	first, last uint64
	sentAt      time.Time
	done        bool
}

// NewLockstepLeader returns a follower for the agent of the rank self. size is the number of ranks of the group, linkRate
// the rate of the VM's network link in bytes a second (0: unknown, taken as unlimited).
func NewLockstepLeader(now time.Time, self ident.Rank, size int, epoch uint64, linkRate float64) *LockstepLeader {
	return &LockstepLeader{
		self: self, epoch: epoch, size: size, linkRate: linkRate, state: lockstepChart.Initial(),
		takeoverFrom: now, ranks: make([]rankView, size),
	}
}

// State returns the state in charts/lockstep.json.
func (l *LockstepLeader) State() chart.State { return l.state }

// Leading reports whether the agent leads or claims the leadership.
func (l *LockstepLeader) Leading() bool { return l.state != lockstepFollowing }

// Urgent reports whether the group may be held. If so, Tick should be called every few milliseconds.
func (l *LockstepLeader) Urgent() bool {
	switch l.state {
	case lockstepHolding, lockstepArming, lockstepReleasing, lockstepSecuring, lockstepDisarming:
		return true
	}
	return false
}

// Ready reports whether the agent leads and no rollout is in progress.
func (l *LockstepLeader) Ready() bool { return l.state == lockstepReady }

// Fence returns the greatest fence that the agent has used or received.
func (l *LockstepLeader) Fence() uint64 { return max(l.fence, l.otherFence) }

// Epoch returns the group's epoch.
func (l *LockstepLeader) Epoch() uint64 { return l.epoch }

// Placement returns the placement in use, or nil if it is unknown. It is current only while Ready.
func (l *LockstepLeader) Placement() LayerPlacements { return l.currentPlacement }

// Statuses returns the last known status of each rank, and whether that status is known.
func (l *LockstepLeader) Statuses() ([]RankStatus, []bool) {
	statuses, known := make([]RankStatus, l.size), make([]bool, l.size)
	for i := range l.ranks {
		statuses[i], known[i] = l.ranks[i].status, l.ranks[i].statusKnown
	}
	return statuses, known
}

// ReceiveBeacon handles another agent's beacon. The agent follows a leader whose fence is not smaller than the greatest
// one that the agent has used or received. It ignores other beacons.
func (l *LockstepLeader) ReceiveBeacon(now time.Time, from ident.Rank, beacon Beacon) []LockstepAction {
	l.actions = nil
	if beacon.Epoch != l.epoch || from == l.self {
		return nil
	}
	if beacon.Fence >= l.Fence() {
		l.takeoverFrom, l.otherFence = now, beacon.Fence
		if l.Leading() {
			l.fire(now, "outranked")
		}
	}
	return l.actions
}

// ReceiveStatus handles the state of a rank as reported by its agent. A greater epoch in it replaces the leader's epoch.
func (l *LockstepLeader) ReceiveStatus(now time.Time, status RankStatus) []LockstepAction {
	l.actions = nil
	if !l.answeredClaim(status.Rank) || status.Epoch > l.epoch {
		l.recordStatus(now, status)
	}
	l.checkStatuses(now)
	return l.actions
}

// answeredClaim reports whether a rank has answered the claim in progress. The status in that answer was read after
// the engine accepted the claim. A report that was sent earlier must not replace it: what it says about arms and
// holds may be out of date.
func (l *LockstepLeader) answeredClaim(rank ident.Rank) bool {
	if l.state != lockstepClaiming || int(rank) < 0 || int(rank) >= l.size {
		return false
	}
	task := l.ranks[rank].task
	return task != nil && task.done
}

// recordStatus records the status of a rank. It ignores a status with impossible values, one of an earlier epoch, and one
// that shows an earlier pass than the status recorded last. A status of a later epoch starts that epoch.
func (l *LockstepLeader) recordStatus(now time.Time, status RankStatus) {
	if !status.Valid() {
		return
	}
	if status.Epoch > l.epoch {
		l.startEpoch(now, status)
	}
	if status.Epoch != l.epoch || int(status.Rank) < 0 || int(status.Rank) >= l.size {
		return
	}
	view := &l.ranks[status.Rank]
	if view.statusKnown && status.Step < view.status.Step {
		return
	}
	view.status, view.statusKnown, view.statusAt = status, true, now
}

// startEpoch discards all state of the group's former epoch.
func (l *LockstepLeader) startEpoch(now time.Time, status RankStatus) {
	l.epoch, l.size = status.Epoch, status.Size
	l.ranks = make([]rankView, l.size)
	l.currentPlacement, l.targetPlacement, l.ownHold = nil, nil, 0
	l.takeoverFrom = now
	if l.Leading() {
		l.fire(now, "epoch-changed")
	}
}

// checkStatuses fires the events that follow from the ranks' statuses.
func (l *LockstepLeader) checkStatuses(now time.Time) {
	switch l.state {
	case lockstepPreparing:
		if l.all(func(s *RankStatus) bool { return s.Prepared == l.version }) {
			l.loadedAt = now
			l.fire(now, "all-prepared")
		}
	case lockstepSwitching:
		if l.all(func(s *RankStatus) bool { return s.Armed == 0 && s.Map == l.version }) {
			l.fire(now, "in-force")
		}
	}
}

func (l *LockstepLeader) all(condition func(*RankStatus) bool) bool {
	for i := range l.ranks {
		if !l.ranks[i].statusKnown || !condition(&l.ranks[i].status) {
			return false
		}
	}
	return true
}

func (l *LockstepLeader) any(condition func(*RankStatus) bool) bool {
	for i := range l.ranks {
		if l.ranks[i].statusKnown && condition(&l.ranks[i].status) {
			return true
		}
	}
	return false
}

// MayReplace reports whether a new map may replace that of the rollout in progress, which is possible while experts
// are being loaded.
func (l *LockstepLeader) MayReplace() bool { return l.state == lockstepPreparing }

// Propose starts the rollout of a placement. It is ignored unless Ready or MayReplace.
func (l *LockstepLeader) Propose(now time.Time, target LayerPlacements) []LockstepAction {
	l.actions = nil
	if !l.Ready() && !l.MayReplace() {
		return nil
	}
	l.targetPlacement, l.proposedAt = target, now
	l.fire(now, "planned")
	return l.actions
}

// ReceiveReply handles the reply to an order.
func (l *LockstepLeader) ReceiveReply(now time.Time, reply LockstepReply) []LockstepAction {
	l.actions = nil
	if reply.HasStatus && !l.answeredClaim(reply.Rank) {
		l.recordStatus(now, reply.Status)
	}
	if int(reply.Rank) < 0 || int(reply.Rank) >= l.size {
		return l.actions
	}
	view := &l.ranks[reply.Rank]
	view.missedReplies = 0
	task := view.task
	if task == nil || task.done || reply.Sequence < task.first {
		l.checkStatuses(now)
		return l.actions
	}
	switch reply.Result {
	case LockstepAccepted:
		l.handleAccepted(now, view, task, reply)
	case LockstepUnanswered:
		l.unansweredAt = now
		switch {
		case reply.Sequence < task.last:
		case l.relay != nil:
			task.sentAt = time.Time{} // is sent again by Tick, a few copies at a time
		default:
			l.send(now, reply.Rank)
		}
	case LockstepRefused:
		l.handleRefused(now, view, task, reply.HasStatus)
	case LockstepStale:
		// The reply does not contain the greater fence that the engine has accepted; l.fence+1 is its lower bound.
		l.otherFence = max(l.otherFence, l.fence+1)
		l.takeoverFrom = now
		l.fire(now, "outranked")
	}
	l.checkStatuses(now)
	return l.actions
}

func (l *LockstepLeader) handleAccepted(now time.Time, view *rankView, task *rankTask, reply LockstepReply) {
	if task.order.Kind == LockstepClaim {
		if !reply.HasStatus || reply.Experts == nil {
			l.send(now, reply.Rank)
			return
		}
		view.experts = reply.Experts
	}
	if task.order.Kind == LockstepHold {
		l.ownHold = task.order.Step
	}
	task.done = true
	l.checkTasks(now)
}

// handleRefused handles the refusal of an order. An engine may refuse a retried order because an earlier copy of it
// took effect. If the status in the reply shows that effect, the order counts as accepted.
func (l *LockstepLeader) handleRefused(now time.Time, view *rankView, task *rankTask, hasStatus bool) {
	status := &view.status
	applied := false
	switch task.order.Kind {
	case LockstepPrepare:
		applied = status.Prepared == task.order.Version || status.Loading
	case LockstepArm:
		applied = status.Armed == task.order.Version
	case LockstepHold:
		applied = status.Held == task.order.Step
	case LockstepDisarm, LockstepRelease, LockstepClaim:
	}
	if hasStatus && applied {
		task.done = true
		l.checkTasks(now)
		return
	}
	l.fire(now, "refused")
}

// checkTasks fires "all-accepted" if no order is pending. It does not do so while experts are being loaded, because an
// accepted order to prepare a map only starts the loading.
func (l *LockstepLeader) checkTasks(now time.Time) {
	for i := range l.ranks {
		if task := l.ranks[i].task; task != nil && !task.done {
			return
		}
	}
	switch l.state {
	case lockstepPreparing:
		return
	case lockstepClaiming:
		l.adoptPlacement()
	}
	l.fire(now, "all-accepted")
}

// Tick fires timeouts, sends orders without a reply again, and sends beacons.
func (l *LockstepLeader) Tick(now time.Time) []LockstepAction {
	l.actions = nil
	if !l.Leading() {
		if l.epoch > unformedEpoch && now.Sub(l.takeoverFrom) > l.takeoverTimeout() {
			l.fire(now, "leader-silent")
		}
		return l.actions
	}
	if now.Sub(l.lastBeaconAt) >= beaconInterval {
		l.lastBeaconAt = now
		l.emit(Beacon{Epoch: l.epoch, Fence: l.fence})
	}
	if !l.stateDeadline.IsZero() && !now.Before(l.stateDeadline) {
		timeout, _ := lockstepChart.TimeoutOf(l.state)
		l.fire(now, timeout.Event)
	}
	l.resendOverdue(now)
	for i := range l.ranks {
		l.readUnresponsive(now, ident.Rank(i))
	}
	return l.actions
}

// retryInterval returns the time without a reply after which an order is sent again.
func (l *LockstepLeader) retryInterval() time.Duration {
	allReplies := time.Duration(l.size) * replyTimePerRank
	if l.Urgent() {
		return max(urgentRetryInterval, allReplies)
	}
	interval := max(orderRetryInterval, 2*allReplies)
	if l.relay != nil {
		interval += l.relaySpread
	}
	return interval
}

// resendOverdue sends orders without a reply again. Of a relayed order it sends a few copies at a time, first to the ranks
// that have missed the fewest: a rank whose relay failed passes the order on to the ranks below it.
func (l *LockstepLeader) resendOverdue(now time.Time) {
	interval := l.retryInterval()
	var overdue []ident.Rank
	for i := range l.ranks {
		if task := l.ranks[i].task; task != nil && !task.done && now.Sub(task.sentAt) >= interval {
			overdue = append(overdue, ident.Rank(i))
		}
	}
	if l.relay != nil {
		slices.SortStableFunc(overdue, func(a, b ident.Rank) int {
			return cmp.Or(
				cmp.Compare(l.ranks[a].missedReplies, l.ranks[b].missedReplies),
				cmp.Compare(slices.Index(l.relay.Ranks, a), slices.Index(l.relay.Ranks, b)),
			)
		})
		overdue = overdue[:min(len(overdue), l.relay.FanOut)]
	}
	for _, rank := range overdue {
		l.ranks[rank].missedReplies++
		l.send(now, rank)
	}
}

// readUnresponsive reads the state of a rank from its engine if a rollout waits for it and the last status is too old.
func (l *LockstepLeader) readUnresponsive(now time.Time, rank ident.Rank) {
	view := &l.ranks[rank]
	if l.state != lockstepPreparing && l.state != lockstepSwitching || now.Sub(view.statusAt) < maxStatusAge {
		return
	}
	view.statusAt = now
	l.emit(ReadRank{Rank: rank})
}

// adoptPlacement sets the current placement from the ranks' replies to a claim. It sets it to nil (unknown) if the
// ranks use different maps or report different numbers of layers.
func (l *LockstepLeader) adoptPlacement() {
	layers := len(l.ranks[0].experts)
	version := l.ranks[0].status.Map
	placement := make(LayerPlacements, layers)
	for layer := range placement {
		placement[layer] = make([][]Expert, l.size)
	}
	for i := range l.ranks {
		view := &l.ranks[i]
		if len(view.experts) != layers || view.status.Map != version {
			l.currentPlacement = nil
			return
		}
		for layer := range view.experts {
			placement[layer][i] = view.experts[layer]
		}
	}
	l.currentPlacement = placement
}

// takeoverTimeout returns the time without a beacon after which this agent claims the leadership.
func (l *LockstepLeader) takeoverTimeout() time.Duration {
	timeout := leaderTimeout
	if l.otherFence == 0 && l.fence == 0 {
		timeout = initialLeaderTimeout
	}
	return timeout + min(time.Duration(l.self)*takeoverDelay, maxTakeoverDelay)
}

func (l *LockstepLeader) emit(action LockstepAction) {
	l.actions = append(l.actions, action)
}

func (l *LockstepLeader) fire(now time.Time, event chart.Event) {
	transition, err := lockstepChart.Next(l.state, event, l.evaluateGuard)
	if err != nil {
		panic("invariant: " + err.Error())
	}
	if transition.Ignored {
		return
	}
	l.state = transition.To
	l.stateDeadline = time.Time{}
	if timeout, found := lockstepChart.TimeoutOf(l.state); found {
		l.stateDeadline = now.Add(time.Duration(timeout.After))
	}
	for _, action := range transition.Actions {
		l.perform(now, action, event)
	}
}
