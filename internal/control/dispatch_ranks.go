package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// groupChoice is a group with room, and its best rank.
type groupChoice struct {
	rank    *routing.Server
	pass    time.Duration
	writers int
	age     time.Duration
}

// pickRank picks the group whose streams would be fastest with the request, and its least loaded rank.
// It answers the load pattern of all entries looking for room at once: reports of the leaders, and the
// entry's own changes since, keep them from choosing the same idle rank.
func (d *Dispatcher) pickRank(now time.Time, want *Want, engine *routing.EngineModel, candidates []*routing.Server, answer *Assignment) *routing.Server {
	gate := admission.PassGate{Engine: engine, Gap: want.Route.EventGap}
	byGroup := map[ident.Group][]*routing.Server{}
	for _, server := range candidates {
		byGroup[server.Group] = append(byGroup[server.Group], server)
	}
	var best groupChoice
	retry := time.Duration(0)
	for name, servers := range byGroup {
		choice, wait := d.groupChoice(now, gate, name, servers, want)
		if choice.rank != nil && (best.rank == nil || d.better(choice, best)) {
			best = choice
		}
		if choice.rank == nil && (retry == 0 || wait < retry) {
			retry = wait
		}
	}
	if best.rank == nil {
		answer.RetryAfter = retry
		return nil
	}
	answer.Pass, answer.Writers, answer.PaceAge = best.pass, best.writers, best.age
	return best.rank
}

func (d *Dispatcher) better(a, b groupChoice) bool {
	if a.pass != b.pass {
		return a.pass < b.pass
	}
	return a.rank.RankCost() < b.rank.RankCost()
}

// groupChoice returns the group's best rank if the group has room, else the time to wait for some.
func (d *Dispatcher) groupChoice(now time.Time, gate admission.PassGate, name ident.Group, servers []*routing.Server, want *Want) (groupChoice, time.Duration) {
	group := d.groups[name]
	if group != nil && now.Before(group.pausedUntil) {
		return groupChoice{}, group.pausedUntil.Sub(now)
	}
	choice := groupChoice{age: -1}
	pace := admission.GroupPace{}
	if group != nil && group.pace.Fresh(now) {
		pace = group.pace
		choice.age = now.Sub(pace.At)
		choice.writers = gate.Estimate(pace, group.open()-group.openAtReport)
		choice.pass = gate.Predict(pace, choice.writers+1)
		if !want.Resumed && !gate.Admits(pace, choice.writers) {
			return groupChoice{}, gate.RetryAfter(pace, choice.writers, len(d.waiting))
		}
	}
	choice.rank = d.leastLoaded(now, gate.Engine.Slots, servers)
	if choice.rank == nil {
		return groupChoice{}, gate.RetryAfter(pace, choice.writers, len(d.waiting))
	}
	return choice, 0
}

// leastLoaded returns the rank with the least load that has a slot, equal ones by lot.
func (d *Dispatcher) leastLoaded(now time.Time, slots int, servers []*routing.Server) *routing.Server {
	var best *routing.Server
	offset := d.random.IntN(len(servers))
	for i := range servers {
		server := servers[(i+offset)%len(servers)]
		if !server.GroupOpen || server.Paused(now) || server.Load() >= slots {
			continue
		}
		if best == nil || server.RankCost() < best.RankCost() {
			best = server
		}
	}
	return best
}
