package expert

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// LockstepLeader is one agent's part in leading a group whose engines hold and arm maps themselves. All
// state of a rollout is in the engines: who leads may change at any moment, and two agents that both
// lead are harmless, since an agent gives no order before all engines accepted its fence. Then:
//
//   - the leader holds a pass, arms all ranks for it, and releases the hold only when all have accepted;
//   - a leader that finds a hold and only some ranks armed disarms these before it releases the hold.
//
// So no pass begins while ranks differ. It is pure and not safe for concurrent use.
type LockstepLeader struct {
	self  ident.Rank
	epoch uint64
	size  int

	state   chart.State
	until   time.Time
	fence   uint64
	version uint64
	step    uint64
	// ownHold is the pass that the leader's own rank holds; 0 for none.
	ownHold   uint64
	holdTries int
	// unansweredAt is when an engine last left an order unanswered.
	unansweredAt time.Time
	plannedAt    time.Time
	// loadedAt and releasedAt are when the rollout had loaded all experts, and when it released the group.
	loadedAt, releasedAt time.Time
	target               LayerPlacements
	current              LayerPlacements

	// seen is the greatest fence of another leader; heardAt is when it was last heard.
	seen     uint64
	heardAt  time.Time
	beaconAt time.Time

	ranks    []rankView
	sequence uint64
	actions  []LockstepAction
}

// rankView is what the leader knows of one rank.
type rankView struct {
	status   RankStatus
	known    bool
	statusAt time.Time
	experts  [][]Expert
	task     *rankTask
	// silent counts orders to the agent without an answer.
	silent int
}

// rankTask is an order that a rank has not accepted yet.
type rankTask struct {
	order LockstepOrder
	// first and last number the copies of the order.
	first, last uint64
	sentAt      time.Time
	done        bool
}

// NewLockstepLeader returns the part of the agent of a rank in the group's epoch.
func NewLockstepLeader(now time.Time, self ident.Rank, size int, epoch uint64) *LockstepLeader {
	return &LockstepLeader{
		self: self, epoch: epoch, size: size, state: lockstepChart.Initial(),
		heardAt: now, ranks: make([]rankView, size),
	}
}

// State returns the state as in charts/lockstep.json.
func (l *LockstepLeader) State() chart.State { return l.state }

// Leading reports whether the agent leads or tries to.
func (l *LockstepLeader) Leading() bool { return l.state != lockstepFollowing }

// Urgent reports whether the group may be held, so that Tick should be called every few milliseconds.
func (l *LockstepLeader) Urgent() bool {
	switch l.state {
	case lockstepHolding, lockstepArming, lockstepReleasing, lockstepSecuring, lockstepDisarming:
		return true
	}
	return false
}

// Ready reports whether a new map may be proposed.
func (l *LockstepLeader) Ready() bool { return l.state == lockstepReady }

// Fence returns the greatest fence that the agent used or heard of.
func (l *LockstepLeader) Fence() uint64 { return max(l.fence, l.seen) }

// Epoch returns the group's epoch.
func (l *LockstepLeader) Epoch() uint64 { return l.epoch }

// Placement returns the placement in use, which a leader knows in the state ready.
func (l *LockstepLeader) Placement() LayerPlacements { return l.current }

// Statuses returns the newest known state of each rank and whether there is one.
func (l *LockstepLeader) Statuses() ([]RankStatus, []bool) {
	statuses, known := make([]RankStatus, l.size), make([]bool, l.size)
	for i := range l.ranks {
		statuses[i], known[i] = l.ranks[i].status, l.ranks[i].known
	}
	return statuses, known
}

// Heard takes another agent's beacon.
func (l *LockstepLeader) Heard(now time.Time, from ident.Rank, beacon Beacon) []LockstepAction {
	l.actions = nil
	if beacon.Epoch != l.epoch || from == l.self {
		return nil
	}
	if beacon.Fence >= l.Fence() {
		l.heardAt, l.seen = now, beacon.Fence
		if l.Leading() {
			l.fire(now, "outranked")
		}
	}
	return l.actions
}

// Status takes the state of a rank as its agent reports it, and the group's epoch with it.
func (l *LockstepLeader) Status(now time.Time, status RankStatus) []LockstepAction {
	l.actions = nil
	if !l.claimed(status.Rank) || status.Epoch > l.epoch {
		l.take(now, status)
	}
	l.observe(now)
	return l.actions
}

// claimed reports whether a rank has answered the claim in progress. What it answered was read after its engine had
// accepted the claim; a report may have been under way since before, and be wrong about what is armed and held.
func (l *LockstepLeader) claimed(rank ident.Rank) bool {
	if l.state != lockstepClaiming || int(rank) < 0 || int(rank) >= l.size {
		return false
	}
	task := l.ranks[rank].task
	return task != nil && task.done
}

func (l *LockstepLeader) take(now time.Time, status RankStatus) {
	if status.Epoch > l.epoch {
		l.reform(now, status)
	}
	if status.Epoch != l.epoch || int(status.Rank) < 0 || int(status.Rank) >= l.size {
		return
	}
	view := &l.ranks[status.Rank]
	if view.known && status.Step < view.status.Step {
		return
	}
	view.status, view.known, view.statusAt = status, true, now
}

// reform forgets the former life of the group.
func (l *LockstepLeader) reform(now time.Time, status RankStatus) {
	l.epoch, l.size = status.Epoch, status.Size
	l.ranks = make([]rankView, l.size)
	l.current, l.target, l.ownHold = nil, nil, 0
	l.heardAt = now
	if l.Leading() {
		l.fire(now, "epoch-changed")
	}
}

// observe raises the events that follow from the ranks' states.
func (l *LockstepLeader) observe(now time.Time) {
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

func (l *LockstepLeader) all(holds func(*RankStatus) bool) bool {
	for i := range l.ranks {
		if !l.ranks[i].known || !holds(&l.ranks[i].status) {
			return false
		}
	}
	return true
}

func (l *LockstepLeader) any(holds func(*RankStatus) bool) bool {
	for i := range l.ranks {
		if l.ranks[i].known && holds(&l.ranks[i].status) {
			return true
		}
	}
	return false
}

// MayReplace reports whether a rollout is at a stage at which another map may take its place.
func (l *LockstepLeader) MayReplace() bool { return l.state == lockstepPreparing }

// Propose asks for a rollout of a placement. It is ignored unless the leader is ready, or may replace the
// rollout in progress.
func (l *LockstepLeader) Propose(now time.Time, target LayerPlacements) []LockstepAction {
	l.actions = nil
	if !l.Ready() && !l.MayReplace() {
		return nil
	}
	l.target, l.plannedAt = target, now
	l.fire(now, "planned")
	return l.actions
}

// Reply takes the answer to an order.
func (l *LockstepLeader) Reply(now time.Time, reply LockstepReply) []LockstepAction {
	l.actions = nil
	if reply.HasStatus && !l.claimed(reply.Rank) {
		l.take(now, reply.Status)
	}
	if int(reply.Rank) < 0 || int(reply.Rank) >= l.size {
		return l.actions
	}
	view := &l.ranks[reply.Rank]
	view.silent = 0
	task := view.task
	if task == nil || task.done || reply.Sequence < task.first {
		l.observe(now)
		return l.actions
	}
	switch reply.Result {
	case LockstepAccepted:
		l.accepted(now, view, task, reply)
	case LockstepUnanswered:
		l.unansweredAt = now
		if reply.Sequence < task.last {
			break
		}
		l.send(now, reply.Rank)
	case LockstepRefused:
		l.refused(now, view, task, reply.HasStatus)
	case LockstepStale:
		l.seen = max(l.seen, l.fence+1)
		l.heardAt = now
		l.fire(now, "outranked")
	}
	l.observe(now)
	return l.actions
}

func (l *LockstepLeader) accepted(now time.Time, view *rankView, task *rankTask, reply LockstepReply) {
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

// refused takes an order that an engine refused. One that was given more than once may be refused because
// an earlier copy took effect; then the rank's state shows it.
func (l *LockstepLeader) refused(now time.Time, view *rankView, task *rankTask, fresh bool) {
	status := &view.status
	fits := false
	switch task.order.Kind {
	case LockstepPrepare:
		fits = status.Prepared == task.order.Version || status.Loading
	case LockstepArm:
		fits = status.Armed == task.order.Version
	case LockstepHold:
		fits = status.Held == task.order.Step
	case LockstepDisarm, LockstepRelease, LockstepClaim:
	}
	if fresh && fits {
		task.done = true
		l.checkTasks(now)
		return
	}
	l.fire(now, "refused")
}

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

// Tick raises timeouts, repeats orders without an answer, and tells the group who leads.
func (l *LockstepLeader) Tick(now time.Time) []LockstepAction {
	l.actions = nil
	if !l.Leading() {
		if now.Sub(l.heardAt) > l.patience() {
			l.fire(now, "leader-silent")
		}
		return l.actions
	}
	if now.Sub(l.beaconAt) >= beaconInterval {
		l.beaconAt = now
		l.act(Beacon{Epoch: l.epoch, Fence: l.fence})
	}
	if !l.until.IsZero() && !now.Before(l.until) {
		timeout, _ := lockstepChart.TimeoutOf(l.state)
		l.fire(now, timeout.Event)
	}
	repeat := orderRepeat
	if l.Urgent() {
		repeat = urgentRepeat
	}
	for i := range l.ranks {
		task := l.ranks[i].task
		if task != nil && !task.done && now.Sub(task.sentAt) >= repeat {
			l.ranks[i].silent++
			l.send(now, ident.Rank(i))
		}
		l.readSilent(now, ident.Rank(i))
	}
	return l.actions
}

// readSilent reads the state of a rank whose agent does not answer, while a rollout waits for it.
func (l *LockstepLeader) readSilent(now time.Time, rank ident.Rank) {
	view := &l.ranks[rank]
	if l.state != lockstepPreparing && l.state != lockstepSwitching || now.Sub(view.statusAt) < statusLife {
		return
	}
	view.statusAt = now
	l.act(ReadRank{Rank: rank})
}

// adoptPlacement takes the placement in use from the ranks' answers to a claim.
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
			l.current = nil
			return
		}
		for layer := range view.experts {
			placement[layer][i] = view.experts[layer]
		}
	}
	l.current = placement
}

// patience returns how long the agent bears a silent leader.
func (l *LockstepLeader) patience() time.Duration {
	silence := leaderSilence
	if l.seen == 0 && l.fence == 0 {
		silence = firstPatience
	}
	return silence + min(time.Duration(l.self)*successionDelay, maxSuccession)
}

func (l *LockstepLeader) act(action LockstepAction) {
	l.actions = append(l.actions, action)
}

func (l *LockstepLeader) fire(now time.Time, event chart.Event) {
	step, err := lockstepChart.Next(l.state, event, l.holds)
	if err != nil {
		panic("invariant: " + err.Error())
	}
	if step.Ignored {
		return
	}
	l.state = step.To
	l.until = time.Time{}
	if timeout, found := lockstepChart.TimeoutOf(l.state); found {
		l.until = now.Add(time.Duration(timeout.After))
	}
	for _, action := range step.Actions {
		l.perform(now, action, event)
	}
}
