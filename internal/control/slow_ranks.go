package control

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// SlowRank is a rank whose running streams should continue at other ranks of its group.
type SlowRank struct {
	Backend string
	Group   ident.Group
	// Slowness is the factor by which the rank's work takes longer than usual.
	Slowness float64
	// Streams is the number of this entry's open requests there, Load that of all entries.
	Streams, Load int
	// Pass is the mean duration of the group's last passes, ReportAge the age of the report that says so.
	Pass, ReportAge time.Duration
}

// updateSlowRanks decides from the group's last report which ranks get no streams. These delay no passes once their streams
// have left, so that the predictions take them for usual ones.
func (d *Dispatcher) updateSlowRanks(now time.Time, group *groupState) {
	for _, server := range group.ranks {
		server.Avoided = false
	}
	group.pace.Receiving = d.receivingRanks(group)
	loads := make([]int, max(group.pace.Ranks, 0))
	var service ident.Service
	for _, server := range group.ranks {
		if rank := int(server.Rank); rank >= 0 && rank < len(loads) {
			loads[rank] = server.Load(now)
		}
		service = server.Service
	}
	engine := d.engineModel(service)
	var slow []bool
	pace := group.pace
	pace.Forecast = group.forecast.peaks.Forecast(now, routing.LoadAge)
	if engine != nil && len(group.pace.Slowness) == len(loads) {
		slow = admission.PassGate{Engine: engine, MaxEventGap: d.table.EventGap(service)}.SlowRanks(pace, loads)
	}
	group.slowness = group.pace.Slowness
	if slow != nil {
		group.pace.Slowness = slices.Clone(group.slowness)
	}
	for _, server := range group.ranks {
		rank := int(server.Rank)
		if server.Avoided = rank >= 0 && rank < len(slow) && slow[rank]; server.Avoided {
			group.pace.Slowness[rank] = 1
		}
	}
	group.pace.Receiving = d.receivingRanks(group)
}

// SlowRanks returns the ranks at which this entry has streams that should continue elsewhere.
func (d *Dispatcher) SlowRanks(now time.Time, name ident.Group) []SlowRank {
	group := d.groups[name]
	if group == nil || !group.pace.Fresh(now) {
		return nil
	}
	var slow []SlowRank
	for _, server := range group.ranks {
		if server.Avoided && server.Open > 0 {
			slow = append(slow, SlowRank{
				Backend: server.ID, Group: name, Slowness: group.slowness[server.Rank], Streams: server.Open,
				Load: server.Load(now), Pass: group.pace.Pass, ReportAge: now.Sub(group.pace.ReceivedAt),
			})
		}
	}
	return slow
}

// avoided reports whether the server is a slow rank that gets no streams while others have room. Without a recent report of
// its group nothing is known about its speed.
func (d *Dispatcher) avoided(now time.Time, server *routing.Server) bool {
	if !server.Avoided {
		return false
	}
	group := d.groups[server.Group]
	return group != nil && group.pace.Fresh(now)
}
