package rankagent

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Times and limits of leading.
const (
	// reportInterval is how often entries get the group's load. They correct it by their own requests.
	reportInterval = 150 * time.Millisecond
	// subscriptionLife is three renewals.
	subscriptionLife = 3 * time.Second
	// passMemory is the weight of earlier passes in the mean pass time.
	passMemory = 0.5
	// firstLoading is how long a rank may load experts for the first map after a jump, and laterLoading for the maps
	// that refine it: four and eight experts of 0.42 GB, one and two of 1.7 GB. Passes are long until a map is in force,
	// so that little and soon is worth more than much and late. See docs/measurements/platform.md.
	firstLoading = 160 * time.Millisecond
	laterLoading = 300 * time.Millisecond
	// leastGainPerSecond is what a second of loading must take off the worst ranks, as a part of the mean load: 0.004 for
	// an expert of 1.7 GB, 0.001 for one of 0.42 GB. Finer copies cost more worth in memory moved than they saved.
	leastGainPerSecond = 0.027
	// leastImprovement is the part of the work of experts that a map must save: it pays for the passes that
	// are 15 in 100 longer while a second of loading goes on in a phase of some seconds.
	leastImprovement = 0.06
)

// groupView is what the leader knows of its group beside the rollout.
type groupView struct {
	demand  *expert.Demand
	entries map[netip.AddrPort]time.Time
	loads   []int
	pass    time.Duration
	step    uint64
	stepAt  time.Time
	skew    float64
	sentAt  time.Time
	// jumps is the number of jumps in demand for which a map was proposed.
	jumps int
}

// tick lets time pass for the leader.
func (a *Agent) tick(ctx context.Context, now time.Time) {
	if a.listing.Expire(now) {
		a.listed()
	}
	if a.leader == nil || a.self.Group == "" {
		return
	}
	a.perform(ctx, now, a.leader.Tick(now))
	a.tellEntries(now)
}

// received takes a message.
func (a *Agent) received(ctx context.Context, now time.Time, received datagram.Received) {
	message := received.Message
	switch {
	case message.Subscribe != nil:
		a.subscribed(now, message.Subscribe)
	case a.leader == nil:
	case message.Beacon != nil && message.Beacon.Group == a.self.Group:
		a.beaconHeard(ctx, now, message.Beacon)
	case message.Rank != nil && message.Rank.Group == a.self.Group:
		a.rankReported(ctx, now, message.Rank)
	case message.Order != nil && message.Order.Group == a.self.Group && message.Order.Rank == a.status.Rank:
		a.orderReceived(ctx, received.From, message.Order)
	case message.Reply != nil && message.Reply.Group == a.self.Group:
		a.replied(ctx, now, message.Reply)
	}
}

// orderReceived carries out a leader's order and answers it.
func (a *Agent) orderReceived(ctx context.Context, from netip.AddrPort, order *datagram.Order) {
	answer := func(reply *datagram.Reply) {
		a.orderGiven(reply)
		a.socket.Send(from, datagram.Message{Reply: reply})
	}
	go a.carryOut(ctx, a.engine, order, answer)
}

func (a *Agent) beaconHeard(ctx context.Context, now time.Time, beacon *datagram.Beacon) {
	if beacon.Epoch == a.leader.Epoch() && beacon.Fence >= a.leader.Fence() && beacon.Rank != a.leaderRank {
		a.leaderRank = beacon.Rank
		a.log.WithFields(logrus.Fields{"leader": beacon.Rank, "epoch": beacon.Epoch, "fence": beacon.Fence}).Info("leader-heard")
	}
	a.perform(ctx, now, a.leader.ReceiveBeacon(now, beacon.Rank, expert.Beacon{Epoch: beacon.Epoch, Fence: beacon.Fence}))
}

// subscribed takes an entry's wish for reports or passes it on to the leader.
func (a *Agent) subscribed(now time.Time, subscribe *datagram.Subscribe) {
	if subscribe.Group != a.self.Group || a.leader == nil {
		return
	}
	if !a.leader.Leading() {
		if address, ok := a.agentOf(a.leaderRank); ok {
			a.socket.Send(address, datagram.Message{Subscribe: subscribe})
		}
		return
	}
	address, err := netip.ParseAddrPort(subscribe.Entry)
	if err != nil {
		a.messageFault(err)
		return
	}
	a.view().entries[address] = now
}

// view returns what the leader knows of the group, which it starts to gather when it begins to lead.
func (a *Agent) view() *groupView {
	if a.group == nil {
		a.group = &groupView{entries: map[netip.AddrPort]time.Time{}, skew: 1}
	}
	return a.group
}

// rankReported takes a rank's state and choices at the leader.
func (a *Agent) rankReported(ctx context.Context, now time.Time, report *datagram.RankReport) {
	if !a.leader.Leading() {
		return
	}
	a.perform(ctx, now, a.leader.ReceiveStatus(now, report.Status))
	view := a.view()
	view.observe(now, &report.Status)
	size := a.layers()
	if size.Layers == 0 || len(report.Counts.Layers) != size.Layers {
		return
	}
	if view.demand == nil {
		view.demand = expert.NewDemand(size.Layers, size.Experts)
	}
	if view.demand.Add(now, report.Counts) {
		a.plan(ctx, now)
	}
}

// observe keeps the loads and the pace of the group.
func (v *groupView) observe(now time.Time, status *expert.RankStatus) {
	if len(v.loads) != status.Size {
		v.loads = make([]int, status.Size)
	}
	if rank := int(status.Rank); rank >= 0 && rank < len(v.loads) {
		v.loads[rank] = status.Running + status.Waiting
	}
	switch passes := status.Step - min(v.step, status.Step); {
	case v.stepAt.IsZero() || status.Step < v.step || now.Sub(v.stepAt) > time.Second:
		v.step, v.stepAt = status.Step, now
	case passes >= 2:
		mean := now.Sub(v.stepAt) / time.Duration(passes)
		v.pass = time.Duration(passMemory*float64(v.pass) + (1-passMemory)*float64(mean))
		v.step, v.stepAt = status.Step, now
	}
}

// plan proposes a map for the demand if it is worth its loading.
func (a *Agent) plan(ctx context.Context, now time.Time) {
	view := a.view()
	placement := a.leader.Placement()
	load, buckets := view.demand.Estimate()
	if placement == nil || len(placement) != len(load) {
		return
	}
	size := a.layers()
	jumps := view.demand.Jumps()
	jumped := jumps != view.jumps
	loading := laterLoading
	if jumped || buckets <= 1 {
		loading = firstLoading
	}
	limits := expert.CopyLimits{
		Slots: size.Slots, PerRank: size.LoadsWithin(loading), PerLayer: size.NewPerLayer,
		MinGain: leastGainPerSecond * size.LoadTime.Seconds(),
	}
	if !a.leader.Ready() && (!jumped || !a.leader.MayReplace()) {
		return
	}
	plan := expert.PlanCopies(placement, load, limits)
	view.skew = plan.SkewBefore
	if plan.Copies == 0 || (plan.SkewBefore-plan.SkewAfter)/plan.SkewBefore < leastImprovement {
		return
	}
	view.jumps = jumps
	a.log.WithFields(logrus.Fields{
		"group": a.self.Group, "copies": plan.Copies, "longest": plan.MaxPerRank, "skew": plan.SkewBefore,
		"skew_after": plan.SkewAfter, "jumps": jumps, "buckets": buckets, "pass_ms": view.pass.Milliseconds(),
	}).Info("map-planned")
	a.perform(ctx, now, a.leader.Propose(now, plan.Placement))
	if jumped {
		view.sentAt = time.Time{} // entries must hear of a jump before its passes get long
		a.tellEntries(now)
	}
}

// tellEntries sends the group's load to the entries that want it.
func (a *Agent) tellEntries(now time.Time) {
	if !a.leader.Leading() || a.group == nil || now.Sub(a.group.sentAt) < reportInterval {
		return
	}
	view := a.group
	view.sentAt = now
	for address, renewed := range view.entries {
		if now.Sub(renewed) > subscriptionLife {
			delete(view.entries, address)
		}
	}
	report := &datagram.GroupReport{
		Group: a.self.Group, Loads: slices.Clone(view.loads), PassMicros: view.pass.Microseconds(),
		Skew: view.skew, Loading: a.leader.MayReplace(), Entries: slices.SortedFunc(maps.Keys(view.entries), netip.AddrPort.Compare),
	}
	for address := range view.entries {
		a.socket.Send(address, datagram.Message{Group: report})
	}
}

func (a *Agent) replied(ctx context.Context, now time.Time, reply *datagram.Reply) {
	a.perform(ctx, now, a.leader.ReceiveReply(now, expert.LockstepReply{
		Rank: reply.Rank, Sequence: reply.Sequence, Result: reply.Result,
		Status: reply.Status, HasStatus: reply.HasStatus, Experts: reply.Experts,
	}))
}

// perform carries out a leader's actions.
func (a *Agent) perform(ctx context.Context, now time.Time, actions []expert.LockstepAction) {
	for _, action := range actions {
		switch action := action.(type) {
		case expert.SendLockstepOrder:
			a.sendOrder(ctx, action)
		case expert.ReadRank:
			a.readRank(ctx, action.Rank)
		case expert.Beacon:
			a.tellGroup(action)
		case expert.MapInForce:
			a.log.WithFields(logrus.Fields{
				"group": a.self.Group, "version": action.Version, "took_ms": action.Took.Milliseconds(),
				"loaded_ms": action.Loaded.Milliseconds(), "released_ms": action.Released.Milliseconds(),
			}).Info("map-in-force")
			a.scope.Counter("maps_in_force").Inc(1)
		case expert.LockstepLeadership:
			a.log.WithFields(logrus.Fields{
				"group": a.self.Group, "leading": action.Leading, "fence": action.Fence, "epoch": a.leader.Epoch(), "reason": action.Reason,
			}).Info("leadership")
			if !action.Leading {
				a.group = nil
			}
		}
	}
}

func (a *Agent) tellGroup(beacon expert.Beacon) {
	a.leaderRank = a.status.Rank
	message := datagram.Message{Beacon: &datagram.Beacon{Group: a.self.Group, Epoch: beacon.Epoch, Fence: beacon.Fence, Rank: a.status.Rank}}
	for rank := range a.ranks {
		if address, ok := a.agentOf(rank); ok && rank != a.status.Rank {
			a.socket.Send(address, message)
		}
	}
}

// sendOrder gives an order to the own engine, through another agent, or straight to an engine.
func (a *Agent) sendOrder(ctx context.Context, action expert.SendLockstepOrder) {
	order := &datagram.Order{Group: a.self.Group, Rank: action.Rank, Sequence: action.Sequence, Order: action.Order}
	take := func(reply *datagram.Reply) {
		a.orderGiven(reply)
		a.post(func(now time.Time) { a.replied(ctx, now, reply) })
	}
	switch address, ok := a.agentOf(action.Rank); {
	case action.Rank == a.status.Rank:
		go a.carryOut(ctx, a.engine, order, take)
	case !ok:
	case action.Direct:
		go a.carryOut(ctx, a.engineOf(action.Rank), order, take)
	default:
		a.socket.Send(address, datagram.Message{Order: order})
	}
}

// engineOf returns a client of another rank's engine.
func (a *Agent) engineOf(rank ident.Rank) Engine {
	address := a.ranks[rank].Address
	if a.direct[address] == nil {
		a.direct[address] = a.config.Dial(address)
	}
	return a.direct[address]
}

// carryOut gives an order to an engine and answers with the state after it.
func (a *Agent) carryOut(ctx context.Context, engine Engine, order *datagram.Order, answer func(*datagram.Reply)) {
	reply := &datagram.Reply{Group: order.Group, Rank: order.Rank, Sequence: order.Sequence}
	if order.Order.Kind == expert.LockstepPrepare {
		reply.Version = order.Order.Version
	}
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var err error
	if reply.Result, err = engine.Order(limited, order.Order); err != nil {
		a.log.WithError(err).WithFields(logrus.Fields{"order": order.Order.Kind, "rank": order.Rank, "result": reply.Result}).Warn("order-unanswered")
	}
	a.scope.Tagged(map[string]string{"order": string(order.Order.Kind), "result": string(reply.Result)}).Counter("orders").Inc(1)
	reading, cancelReading := context.WithTimeout(ctx, engineTimeout)
	defer cancelReading()
	if status, ok, err := engine.Status(reading); err == nil && ok {
		reply.Status, reply.HasStatus = status, true
	}
	if order.Order.Kind == expert.LockstepClaim && reply.HasStatus {
		if reply.Experts, err = engine.Experts(reading); err != nil {
			a.log.WithError(err).Warn("experts-unread")
		}
	}
	answer(reply)
}

// readRank reads the state of a rank whose agent is silent.
func (a *Agent) readRank(ctx context.Context, rank ident.Rank) {
	if _, ok := a.ranks[rank]; !ok {
		return
	}
	engine := a.engineOf(rank)
	go func() {
		limited, cancel := context.WithTimeout(ctx, engineTimeout)
		defer cancel()
		if status, ok, err := engine.Status(limited); err == nil && ok {
			a.post(func(now time.Time) { a.perform(ctx, now, a.leader.ReceiveStatus(now, status)) })
		}
	}()
}
