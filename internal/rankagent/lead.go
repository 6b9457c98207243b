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

// Intervals, timeouts and limits of a leader.
const (
	// reportInterval is the interval at which the group's load is sent to entries. Between two reports, entries correct
	// it by their own requests.
	reportInterval = 150 * time.Millisecond
	// subscriptionTimeout is the time after which a subscription that is not renewed expires: three renewal intervals.
	subscriptionTimeout = 3 * time.Second
	// maxReportedEntries limits the entries that a report names, so that reports grow with the entries rather than with
	// their square.
	maxReportedEntries = 16
	// passTimeSmoothing is the weight of earlier passes in the moving average of the pass time (0 to 1).
	passTimeSmoothing = 0.5
)

// groupState is the state that a leader keeps about its group, apart from the rollout.
type groupState struct {
	demand *expert.Demand
	// subscriptions holds the time of the last renewal by the entry's address.
	subscriptions map[netip.AddrPort]time.Time
	entryDemand   entryDemand
	// loads are the numbers of running and waiting requests by rank.
	loads    []int
	passTime time.Duration
	// step and stepAt are the pass and the time from which the next mean pass time is computed.
	step   uint64
	stepAt time.Time
	speeds rankSpeeds
	// skew is the ratio of the highest rank load, weighted by slowness, to the mean rank load; 1 before demand is known.
	skew       float64
	reportedAt time.Time
	// reportSequence is the number of reports sent.
	reportSequence uint64
	// firstReported is the index of the first subscribed entry that the next report names.
	firstReported int
	maps          expert.MapTrigger
}

// tick removes expired backend servers from the list, checks the leader's timeouts, and sends reports that are due.
func (a *Agent) tick(ctx context.Context, now time.Time) {
	if a.listing.Expire(now) {
		a.updateGroup()
	}
	if a.leader == nil || a.self.Group == "" {
		return
	}
	a.perform(ctx, now, a.leader.Tick(now))
	a.updateSpeeds(ctx, now)
	a.reportToEntries(now)
}

// handleMessage dispatches a message to its handler. It ignores messages of other groups, orders for other ranks, and
// all messages before the first status of its own rank has been read.
func (a *Agent) handleMessage(ctx context.Context, now time.Time, received datagram.Received) {
	message := received.Message
	switch {
	case message.Subscribe != nil:
		a.handleSubscribe(now, message.Subscribe)
	case a.leader == nil:
	case message.Beacon != nil && message.Beacon.Group == a.self.Group:
		a.handleBeacon(ctx, now, message.Beacon)
	case message.Rank != nil && message.Rank.Group == a.self.Group:
		a.handleRankReport(ctx, now, message.Rank)
	case message.Order != nil && message.Order.Group == a.self.Group && message.Order.Rank == a.status.Rank:
		a.handleOrder(ctx, received.From, message.Order)
	case message.Reply != nil && message.Reply.Group == a.self.Group:
		a.handleReply(ctx, now, message.Reply)
	}
}

// handleOrder executes a leader's order at the agent's own engine and sends the reply to the leader. It passes a relayed
// order on first.
func (a *Agent) handleOrder(ctx context.Context, from netip.AddrPort, order *datagram.Order) {
	if order.Relay != nil && len(order.Relay.Ranks) > 0 {
		for _, rank := range a.relays.Targets(a.status.Rank, a.leader.Fence(), &order.Order, order.Relay) {
			if address, ok := a.agentAddress(rank); ok {
				next := *order
				next.Rank = rank
				a.socket.Send(address, datagram.Message{Order: &next})
			}
		}
		leader, ok := a.agentAddress(order.Relay.Ranks[0])
		if !ok {
			a.log.WithFields(logrus.Fields{"leader": order.Relay.Ranks[0], "order": order.Order.Kind}).Warn("leader-not-listed")
			return
		}
		from = leader
	}
	answer := func(reply *datagram.Reply) {
		a.requestPoll(reply)
		a.socket.Send(from, datagram.Message{Reply: reply})
	}
	go a.executeOrder(ctx, a.engine, order, answer)
}

func (a *Agent) handleBeacon(ctx context.Context, now time.Time, beacon *datagram.Beacon) {
	if beacon.Epoch == a.leader.Epoch() && beacon.Fence >= a.leader.Fence() && beacon.Rank != a.leaderRank {
		a.leaderRank = beacon.Rank
		a.log.WithFields(logrus.Fields{"leader": beacon.Rank, "epoch": beacon.Epoch, "fence": beacon.Fence}).Info("leader-heard")
	}
	a.perform(ctx, now, a.leader.ReceiveBeacon(now, beacon.Rank, expert.Beacon{Epoch: beacon.Epoch, Fence: beacon.Fence}))
}

// handleSubscribe adds or renews an entry's subscription to reports. An agent that does not lead forwards it to the
// leader.
func (a *Agent) handleSubscribe(now time.Time, subscribe *datagram.Subscribe) {
	if subscribe.Group != a.self.Group || a.leader == nil {
		return
	}
	if !a.leader.Leading() {
		if address, ok := a.agentAddress(a.leaderRank); ok {
			a.socket.Send(address, datagram.Message{Subscribe: subscribe})
		}
		return
	}
	address, err := netip.ParseAddrPort(subscribe.Entry)
	if err != nil {
		a.reportMessageError(err)
		return
	}
	state := a.ensureGroupState()
	state.subscriptions[address] = now
	state.entryDemand.record(address, subscribe.Demand)
}

// ensureGroupState returns the group's state. It creates the state on the first call after this agent became the
// leader.
func (a *Agent) ensureGroupState() *groupState {
	if a.group == nil {
		a.group = &groupState{
			subscriptions: map[netip.AddrPort]time.Time{}, skew: 1, speeds: rankSpeeds{estimate: expert.NewRankSpeeds()},
		}
	}
	return a.group
}

// handleRankReport processes a rank's status and expert counts if this agent leads.
func (a *Agent) handleRankReport(ctx context.Context, now time.Time, report *datagram.RankReport) {
	if !a.leader.Leading() {
		return
	}
	a.perform(ctx, now, a.leader.ReceiveStatus(now, report.Status))
	state := a.ensureGroupState()
	if state.speeds.estimate.Observe(now, &report.Status) {
		state.observe(now, &report.Status)
	} else {
		a.scope.Counter("rank_status_implausible").Inc(1)
	}
	a.updateSpeeds(ctx, now)
	size := a.expertLayers()
	if size.Layers == 0 || len(report.Counts.Layers) != size.Layers {
		return
	}
	if state.demand == nil {
		state.demand = expert.NewDemand(size.Layers, size.Experts)
	}
	if state.demand.Add(now, report.Counts) {
		a.updateSkew()
		a.plan(ctx, now)
	}
}

// observe updates the rank loads and the moving average of the pass time. A measurement of the pass time spans at
// least two passes. It restarts if it spans more than a second, because the group was idle during it.
func (s *groupState) observe(now time.Time, status *expert.RankStatus) {
	if len(s.loads) != status.Size {
		s.loads = make([]int, status.Size)
	}
	if rank := int(status.Rank); rank >= 0 && rank < len(s.loads) {
		s.loads[rank] = status.Running + status.Waiting
	}
	switch passes := status.Step - min(s.step, status.Step); {
	case s.stepAt.IsZero() || status.Step < s.step || now.Sub(s.stepAt) > time.Second:
		s.step, s.stepAt = status.Step, now
	case passes >= 2:
		mean := now.Sub(s.stepAt) / time.Duration(passes)
		s.passTime = time.Duration(passTimeSmoothing*float64(s.passTime) + (1-passTimeSmoothing)*float64(mean))
		s.step, s.stepAt = status.Step, now
	}
}

// plan proposes a map for the current demand and speeds if it is worth the time for loading experts.
func (a *Agent) plan(ctx context.Context, now time.Time) {
	state := a.ensureGroupState()
	placement := a.leader.Placement()
	if state.demand == nil || len(placement) == 0 {
		return
	}
	// buckets is the number of time buckets in the estimate since the last jump in demand.
	load, buckets := state.demand.Estimate()
	if buckets == 0 || len(placement) != len(load) {
		return
	}
	size := a.expertLayers()
	slowness := state.speeds.estimate.Slowness()
	proposal, found := state.maps.Decide(&expert.MapInput{
		Now: now, Placement: placement, Demand: state.demand, Slowness: slowness,
		Leaving: a.leavingRanks(len(placement[0])), Slots: size.Slots, NewPerLayer: size.NewPerLayer,
		LoadsWithin: size.LoadsWithin, LoadTime: size.LoadTime, Ready: a.leader.Ready(), MayReplace: a.leader.MayReplace(),
		Pass: state.passTime, ExpertPart: state.expertPart(a.engineModel()),
	})
	if !found {
		return
	}
	plan := &proposal.Plan
	a.log.WithFields(logrus.Fields{
		"group": a.self.Group, "cause": proposal.Cause(), "copies": plan.Copies, "longest": plan.MaxPerRank, "skew": plan.SkewBefore,
		"skew_after": plan.SkewAfter, "jumps": state.demand.Jumps(), "buckets": buckets, "pass_ms": state.passTime.Milliseconds(),
		"slow": len(reportedSlowness(slowness)),
	}).Info("map-planned")
	a.scope.Tagged(map[string]string{"cause": proposal.Cause()}).Counter("maps_planned").Inc(1)
	a.perform(ctx, now, a.leader.Propose(now, plan.Placement))
	if proposal.Jumped {
		state.reportedAt = time.Time{} // sends the report now: entries need it before the jump slows down passes
		a.reportToEntries(now)
	}
}

// reportToEntries sends the group's load to all subscribed entries, at most once per reportInterval. It removes
// expired subscriptions. Without the status of any rank it sends none: entries would take the group to have no ranks.
func (a *Agent) reportToEntries(now time.Time) {
	if !a.leader.Leading() || a.group == nil || len(a.group.loads) == 0 || now.Sub(a.group.reportedAt) < reportInterval {
		return
	}
	state := a.group
	state.reportedAt = now
	state.reportSequence++
	for address, renewed := range state.subscriptions {
		if now.Sub(renewed) > subscriptionTimeout {
			delete(state.subscriptions, address)
			state.entryDemand.forget(address)
		}
	}
	// MayReplace is true exactly while ranks load the experts of a map.
	report := &datagram.GroupReport{
		Group: a.self.Group, Loads: slices.Clone(state.loads), PassMicros: state.passTime.Microseconds(),
		Skew: state.skew, Loading: a.leader.MayReplace(), Entries: state.someEntries(),
		EntryCount: len(state.subscriptions), Slow: reportedSlowness(state.speeds.estimate.Slowness()),
		Epoch: a.leader.Epoch(), Fence: a.leader.Fence(), Sequence: state.reportSequence, Demand: state.entryDemand.due(now),
	}
	for address := range state.subscriptions {
		a.socket.Send(address, datagram.Message{GroupReport: report})
	}
}

// someEntries returns up to maxReportedEntries of the subscribed entries, the next ones at each call.
func (s *groupState) someEntries() []netip.AddrPort {
	entries := slices.SortedFunc(maps.Keys(s.subscriptions), netip.AddrPort.Compare)
	if len(entries) <= maxReportedEntries {
		return entries
	}
	first := s.firstReported % len(entries)
	s.firstReported = first + maxReportedEntries
	return slices.Concat(entries[first:], entries[:first])[:maxReportedEntries]
}

func (a *Agent) handleReply(ctx context.Context, now time.Time, reply *datagram.Reply) {
	a.perform(ctx, now, a.leader.ReceiveReply(now, expert.LockstepReply{
		Rank: reply.Rank, Sequence: reply.Sequence, Result: reply.Result,
		Status: reply.Status, HasStatus: reply.HasStatus, Experts: reply.Experts,
	}))
}

// perform executes the actions that expert.LockstepLeader requests.
func (a *Agent) perform(ctx context.Context, now time.Time, actions []expert.LockstepAction) {
	for _, action := range actions {
		switch action := action.(type) {
		case expert.SendLockstepOrder:
			a.sendOrder(ctx, action)
		case expert.ReadRank:
			a.readRank(ctx, action.Rank)
		case expert.Beacon:
			a.sendBeacons(action)
		case expert.MapInForce:
			a.log.WithFields(logrus.Fields{
				"group": a.self.Group, "version": action.Version, "took_ms": action.Took.Milliseconds(),
				"loaded_ms": action.Loaded.Milliseconds(), "released_ms": action.Released.Milliseconds(),
			}).Info("map-in-force")
			a.scope.Counter("maps_in_force").Inc(1)
			a.updateSkew()
		case expert.LockstepLeadership:
			a.log.WithFields(logrus.Fields{
				"group": a.self.Group, "leading": action.Leading, "fence": action.Fence, "epoch": a.leader.Epoch(), "reason": action.Reason,
			}).Info("leadership")
			if !action.Leading {
				a.group = nil
				a.scope.Gauge("ranks_slow").Update(0)
				a.scope.Gauge("rank_slowness_highest").Update(1)
			}
		}
	}
}

// sendBeacons announces this agent as the leader to the agents of all other ranks.
func (a *Agent) sendBeacons(beacon expert.Beacon) {
	a.leaderRank = a.status.Rank
	message := datagram.Message{Beacon: &datagram.Beacon{Group: a.self.Group, Epoch: beacon.Epoch, Fence: beacon.Fence, Rank: a.status.Rank}}
	for rank := range a.ranks {
		if address, ok := a.agentAddress(rank); ok && rank != a.status.Rank {
			a.socket.Send(address, message)
		}
	}
}

// sendOrder sends an order to the agent's own engine, to another rank's agent, or directly to another rank's engine.
// An order to a rank that is not listed is dropped; the leader retries it.
func (a *Agent) sendOrder(ctx context.Context, action expert.SendLockstepOrder) {
	order := &datagram.Order{Group: a.self.Group, Rank: action.Rank, Sequence: action.Sequence, Order: action.Order, Relay: action.Relay}
	onReply := func(reply *datagram.Reply) {
		a.requestPoll(reply)
		a.post(func(now time.Time) { a.handleReply(ctx, now, reply) })
	}
	switch address, ok := a.agentAddress(action.Rank); {
	case action.Rank == a.status.Rank:
		go a.executeOrder(ctx, a.engine, order, onReply)
	case !ok:
	case action.Direct:
		go a.executeOrder(ctx, a.engineClient(action.Rank), order, onReply)
	default:
		a.socket.Send(address, datagram.Message{Order: order})
	}
}

// engineClient returns the client of another rank's engine. It creates one client per address.
func (a *Agent) engineClient(rank ident.Rank) Engine {
	address := a.ranks[rank].Address
	if a.engineClients[address] == nil {
		a.engineClients[address] = a.config.Dial(address)
	}
	return a.engineClients[address]
}

// executeOrder sends an order to an engine, reads the status after it, and calls answer with the reply. The reply to
// a claim also contains the rank's experts.
func (a *Agent) executeOrder(ctx context.Context, engine Engine, order *datagram.Order, answer func(*datagram.Reply)) {
	reply := &datagram.Reply{Group: order.Group, Rank: order.Rank, Sequence: order.Sequence}
	if order.Order.Kind == expert.LockstepPrepare {
		reply.Version = order.Order.Version
	}
	attempts := 1
	if order.Relay != nil {
		attempts = relayedOrderAttempts
	}
	for range attempts {
		if reply.Result = a.giveOrder(ctx, engine, order); reply.Result != expert.LockstepUnanswered {
			break
		}
	}
	statusCtx, cancelStatus := context.WithTimeout(ctx, engineTimeout)
	defer cancelStatus()
	if status, ok, err := engine.Status(statusCtx); err == nil && ok {
		reply.Status, reply.HasStatus = status, true
	}
	if order.Order.Kind == expert.LockstepClaim && reply.HasStatus {
		var err error
		if reply.Experts, err = engine.Experts(statusCtx); err != nil {
			a.log.WithError(err).Warn("experts-unread")
		}
	}
	answer(reply)
}

// giveOrder sends an order to an engine once and returns its result.
func (a *Agent) giveOrder(ctx context.Context, engine Engine, order *datagram.Order) expert.LockstepResult {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result, err := engine.Order(ctx, order.Order)
	if err != nil {
		a.log.WithError(err).WithFields(logrus.Fields{"order": order.Order.Kind, "rank": order.Rank, "result": result}).Warn("order-unanswered")
	}
	a.scope.Tagged(map[string]string{"order": string(order.Order.Kind), "result": string(result)}).Counter("orders").Inc(1)
	return result
}

// readRank reads the status of a rank from its engine because no message arrives from its agent.
func (a *Agent) readRank(ctx context.Context, rank ident.Rank) {
	if _, ok := a.ranks[rank]; !ok {
		return
	}
	engine := a.engineClient(rank)
	go func() {
		statusCtx, cancel := context.WithTimeout(ctx, engineTimeout)
		defer cancel()
		if status, ok, err := engine.Status(statusCtx); err == nil && ok {
			a.post(func(now time.Time) { a.perform(ctx, now, a.leader.ReceiveStatus(now, status)) })
		}
	}()
}
