package gateway

import (
	"net/netip"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Times of subscriptions.
const (
	// subscribeInterval is how often an entry renews its subscription at a leader, which ends after
	// three of them.
	subscribeInterval = time.Second
	// leaderQuiet is the silence after which an entry asks another agent: three reports.
	leaderQuiet = 600 * time.Millisecond
)

// leaderDirectory knows which agents to ask for the reports of which group.
type leaderDirectory struct {
	groups map[ident.Group]*groupLeader
}

type groupLeader struct {
	agents []netip.AddrPort
	// leader sent the last report at heardAt.
	leader  netip.AddrPort
	heardAt time.Time
	askedAt time.Time
	// next is the index of the agent to ask if the leader is silent.
	next int
}

// subscription is a group with the agent to ask.
type subscription struct {
	group ident.Group
	agent netip.AddrPort
}

func newLeaderDirectory() *leaderDirectory {
	return &leaderDirectory{groups: map[ident.Group]*groupLeader{}}
}

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

func (d *leaderDirectory) heard(now time.Time, name ident.Group, from netip.AddrPort) {
	if group := d.groups[name]; group != nil {
		group.leader, group.heardAt = from, now
	}
}

// due returns the subscriptions that are to be renewed now.
func (d *leaderDirectory) due(now time.Time) []subscription {
	var due []subscription
	for name, group := range d.groups {
		quiet := now.Sub(group.heardAt) > leaderQuiet
		if !quiet && now.Sub(group.askedAt) < subscribeInterval || len(group.agents) == 0 {
			continue
		}
		agent := group.leader
		if quiet {
			agent = group.agents[group.next%len(group.agents)]
			group.next++
		}
		group.askedAt = now
		due = append(due, subscription{group: name, agent: agent})
	}
	return due
}
