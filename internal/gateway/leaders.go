package gateway

import (
	"net/netip"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Times of subscriptions to group reports.
const (
	// subscribeInterval is how often an entry renews a subscription. The leader drops a subscription after three
	// intervals without a renewal.
	subscribeInterval = time.Second
	// demandInterval replaces subscribeInterval while there is demand to state, which takes effect within a second. With the
	// ticks of 200 ms, demand is stated every 400 ms, and at the next tick if it has changed much.
	demandInterval = 350 * time.Millisecond
	// leaderTimeout is how long an entry waits for a report before it subscribes at another agent: about three reports.
	// A leader checks every 100 ms whether its report interval of 150 ms has passed, so it reports about every 200 ms.
	leaderTimeout = 600 * time.Millisecond
)

// leaderDirectory tracks the agents of each group and which of them leads, and decides where to send subscriptions.
type leaderDirectory struct {
	groups          map[ident.Group]*groupLeader
	invalidLoggedAt time.Time
}

// groupLeader is the state of the subscription to one group.
type groupLeader struct {
	agents []netip.AddrPort
	// leader is the agent that sent the last report, at lastReportAt.
	leader       netip.AddrPort
	lastReportAt time.Time
	subscribedAt time.Time
	// statedRate is the total of the demand in the last subscription.
	statedRate float64
	// nextAgent is the index of the agent to subscribe at when the leader does not report.
	nextAgent int
	// lastReport is the position of the last report that was accepted, at acceptedAt.
	lastReport       reportPosition
	acceptedAt       time.Time
	outdatedLoggedAt time.Time
}

// subscription is a group and the agent to send the subscription to.
type subscription struct {
	group ident.Group
	agent netip.AddrPort
	// demand is what callers offer at this entry for the group's service.
	demand []admission.CustomerDemand
}

func newLeaderDirectory() *leaderDirectory {
	return &leaderDirectory{groups: map[ident.Group]*groupLeader{}}
}

// setGroups replaces the groups and their agents.
func (d *leaderDirectory) setGroups(agents map[ident.Group][]netip.AddrPort) {
	for name := range d.groups {
		if len(agents[name]) == 0 {
			delete(d.groups, name)
		}
	}
	for name, addresses := range agents {
		if d.groups[name] == nil {
			d.groups[name] = &groupLeader{}
		}
		d.groups[name].agents = addresses
	}
}

// recordReport records the sender of a group's report as its leader.
func (d *leaderDirectory) recordReport(now time.Time, name ident.Group, from netip.AddrPort) {
	if group := d.groups[name]; group != nil {
		group.leader, group.lastReportAt = from, now
	}
}

// due returns the subscriptions to send now and marks them as sent. demandOf returns the demand for a group's service.
func (d *leaderDirectory) due(now time.Time, demandOf func(group ident.Group) []admission.CustomerDemand) []subscription {
	var due []subscription
	for name, group := range d.groups {
		if len(group.agents) == 0 {
			continue
		}
		unresponsive, age := now.Sub(group.lastReportAt) > leaderTimeout, now.Sub(group.subscribedAt)
		demand := demandOf(name)
		rate := admission.TotalRate(demand)
		renewed := age >= subscribeInterval || age >= demandInterval && len(demand) > 0
		if !unresponsive && !renewed && !admission.DemandChanged(group.statedRate, rate) {
			continue
		}
		agent := group.leader
		if unresponsive {
			agent = group.agents[group.nextAgent%len(group.agents)]
			group.nextAgent++
		}
		group.subscribedAt, group.statedRate = now, rate
		due = append(due, subscription{group: name, agent: agent, demand: demand})
	}
	return due
}
