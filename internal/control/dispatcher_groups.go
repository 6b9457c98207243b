package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// GroupReport is the periodic report of a group's leader to the entries.
type GroupReport struct {
	Group ident.Group
	Pace  admission.GroupPace
	// RankLoads are the numbers of running and queued requests by rank.
	RankLoads []int
	// SilentEntries is the number of other entries that do not notify this one of their sends.
	SilentEntries int
	// Demand is the sum of the demand of all entries for the group's service; nil if the report has none.
	Demand []admission.CustomerDemand
}

type groupState struct {
	pace admission.GroupPace
	// slowness is the reported one by rank; that in pace leaves out the ranks that are avoided.
	slowness []float64
	forecast groupForecast
	// silent is the number of other entries whose sends are unknown.
	silent int
	// openAtReport is the number of this entry's open requests at the group when the last
	// report was received.
	openAtReport int
	pausedUntil  time.Time
	// pauses is the number of pauses since the group last served a request.
	pauses int
	ranks  []*routing.Server
	// progressAt is when the group last sent an event to this entry, or got a request while it
	// had none open, apart from the held ones.
	progressAt time.Time
	// held is the number of streams that wait for their callers to read an event.
	held   int
	demand groupDemand
}

// stalled reports whether the group has open requests, apart from the held ones, but has sent no event for stallTimeout.
func (g *groupState) stalled(now time.Time) bool {
	return g.openRequests() > g.held && now.Sub(g.progressAt) > stallTimeout
}

// countedWriters returns the number of requests at all ranks by the last report and the sends since, if this entry hears of all
// sends; otherwise 0.
func (g *groupState) countedWriters(now time.Time) int {
	if g.silent > 0 {
		return 0
	}
	writers := 0
	for _, server := range g.ranks {
		writers += server.Load(now)
	}
	return writers
}

// openRequests returns the number of this entry's open requests at the group.
func (g *groupState) openRequests() int {
	open := 0
	for _, server := range g.ranks {
		open += server.Open
	}
	return open
}

func (d *Dispatcher) addToGroup(server *routing.Server) {
	group := d.groups[server.Group]
	if group == nil {
		group = &groupState{}
		d.groups[server.Group] = group
	}
	group.ranks = append(group.ranks, server)
}

// RecordGroupReport records a leader's report of its group.
func (d *Dispatcher) RecordGroupReport(now time.Time, report GroupReport) []Assignment {
	group := d.groups[report.Group]
	if group == nil {
		return nil
	}
	group.pace = report.Pace
	group.pace.ReceivedAt = now
	group.pace.RankWriters = report.RankLoads
	group.silent = report.SilentEntries
	group.openAtReport = group.openRequests()
	for _, server := range group.ranks {
		if rank := int(server.Rank); rank >= 0 && rank < len(report.RankLoads) {
			server.RecordReport(now, report.RankLoads[rank])
		}
	}
	d.updateSlowRanks(now, group)
	if len(group.ranks) > 0 {
		group.forecast.record(now, d.engineModel(group.ranks[0].Service), &group.pace, group.slowness != nil)
	}
	d.recordGroupDemand(now, group, &report)
	return d.assignWaiting(now)
}

// RemoteSend is another entry's message that it sent a prompt to a rank.
type RemoteSend struct {
	Group        ident.Group
	Rank         ident.Rank
	PromptTokens int
}

// RecordRemoteSend records a prompt that another entry sent to a rank.
func (d *Dispatcher) RecordRemoteSend(now time.Time, sent RemoteSend) {
	group := d.groups[sent.Group]
	if group == nil {
		return
	}
	for _, server := range group.ranks {
		if server.Rank != sent.Rank {
			continue
		}
		server.RecordRemoteSend(now)
		d.recordRemoteColdSend(now, server, group)
		if engine := d.engineModel(server.Service); engine != nil {
			server.AddPrompt(now, sent.PromptTokens, engine.PromptRateFor(group.pace.Pass))
		}
	}
}

// engineModel returns the engine model of a service; nil for plain services.
func (d *Dispatcher) engineModel(name ident.Service) *routing.EngineModel {
	if d.table == nil || d.table.Service(name) == nil {
		return nil
	}
	return d.table.Service(name).Engine
}

// RecordProgress records when a group last sent an event to this entry.
func (d *Dispatcher) RecordProgress(name ident.Group, at time.Time) {
	if group := d.groups[name]; group != nil && at.After(group.progressAt) {
		group.progressAt = at
	}
}

// RecordHeld records how many streams of a group wait for their callers to read an event.
func (d *Dispatcher) RecordHeld(name ident.Group, held int) {
	if group := d.groups[name]; group != nil {
		group.held = held
	}
}

// recordResult pauses a group that reports that it can't run requests. Each pause until it
// serves a request again is longer.
func (g *groupState) recordResult(now time.Time, result routing.SendResult) {
	switch {
	case result == routing.SendServed:
		g.pauses = 0
	case result == routing.SendGroupBroken && !now.Before(g.pausedUntil):
		g.pausedUntil = now.Add(min(minGroupPause<<min(g.pauses, 4), maxGroupPause))
		g.pauses++
	}
}
