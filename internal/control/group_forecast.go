package control

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// groupForecast is what an entry has learned of the passes of a group from its reports.
type groupForecast struct {
	peaks  admission.SkewPeaks
	errors admission.PassError
	// modes has a LateMode for each bound on the pauses of streams.
	modes map[time.Duration]*admission.LateMode
	// demand is that of the last decision, at demandAt.
	demand   float64
	demandAt time.Time
}

// demandMaxAge is the time without a request after which a group has no demand.
const demandMaxAge = time.Second

// record adds a report to the forecast, and the forecast to the group's pace. While ranks are slow, skew and passes say nothing
// about the next jumps of demand: the skew is weighted by slowness, and passes last until the slow ranks have no streams.
func (f *groupForecast) record(now time.Time, engine *routing.EngineModel, pace *admission.GroupPace, slowRanks bool) {
	if engine == nil {
		return
	}
	gate := admission.PassGate{Engine: engine}
	if pace.Writers >= pace.Ranks && !slowRanks {
		f.errors.Record(now, pace.Pass, gate.ModelledPass(*pace))
	}
	if !slowRanks {
		f.peaks.Record(now, pace.Skew)
	}
	pace.Forecast = f.peaks.Forecast(now, routing.LoadAge)
	pace.Forecast.Margin = f.errors.Margin()
	if now.Sub(f.demandAt) > demandMaxAge {
		f.demand = 0
	}
	for gap, mode := range f.modes {
		gate.MaxEventGap = gap
		pace.Forecast.Late = mode.Update(now, gate.LateInputs(*pace, f.demand)) || pace.Forecast.Late
	}
}

// serveLate returns whether the group serves streams with the gate's bound late.
func (f *groupForecast) serveLate(now time.Time, gate admission.PassGate, pace admission.GroupPace, demand float64) bool {
	f.demand, f.demandAt = demand, now
	if f.modes == nil {
		f.modes = map[time.Duration]*admission.LateMode{}
	}
	mode := f.modes[gate.MaxEventGap]
	if mode == nil {
		mode = &admission.LateMode{}
		f.modes[gate.MaxEventGap] = mode
	}
	return mode.Update(now, gate.LateInputs(pace, demand))
}

// keepsQueued reports whether a request that came while the group served late may wait as long as then: it would be late
// anyway, and the callers of a queue that is refused at once would all retry together.
func (f *groupForecast) keepsQueued(gate admission.PassGate, request *BackendRequest) bool {
	mode := f.modes[gate.MaxEventGap]
	return mode != nil && !request.Resumed && mode.LateAt(request.Arrived)
}

// currentPace returns the group's last report, with the forecast as of now; false if there is no recent one.
func (d *Dispatcher) currentPace(now time.Time, gate admission.PassGate, group *groupState, demand float64) (admission.GroupPace, bool) {
	if group == nil || !group.pace.Fresh(now) {
		return admission.GroupPace{}, false
	}
	pace := group.pace
	pace.Forecast = pace.Forecast.Elapsed(now.Sub(pace.ReceivedAt))
	pace.Forecast.Late = group.forecast.serveLate(now, gate, pace, demand)
	group.pace.Forecast.Late = pace.Forecast.Late
	return pace, true
}

// groupDemand returns the streams per second that are offered to each of the groups of a service, estimated as the number
// of entries times the demand at this one.
func (d *Dispatcher) groupDemand(now time.Time, service ident.Service, groups int, entries int) float64 {
	trend := d.arrivals[service]
	if trend == nil {
		return 0
	}
	return trend.Rate(now) * float64(max(entries, 1)) / float64(max(groups, 1))
}

// recordArrival counts a new request for its service.
func (d *Dispatcher) recordArrival(now time.Time, service ident.Service) {
	trend := d.arrivals[service]
	if trend == nil {
		trend = &admission.ArrivalTrend{}
		d.arrivals[service] = trend
	}
	trend.Record(now)
}

// GroupMode says how a group admits streams, for logs and metrics.
type GroupMode struct {
	Group ident.Group
	Pace  admission.GroupPace
	// Late is true if streams are served late; since Changed.
	Late    bool
	Changed time.Time
	// Demand is the demand that the last decision assumed, in streams per second.
	Demand float64
}

// GroupModes returns the modes of all groups in the order of their names.
func (d *Dispatcher) GroupModes() []GroupMode {
	var modes []GroupMode
	for _, name := range slices.Sorted(maps.Keys(d.groups)) {
		group := d.groups[name]
		mode := GroupMode{Group: name, Pace: group.pace, Demand: group.forecast.demand}
		for _, late := range group.forecast.modes {
			mode.Late = mode.Late || late.Late()
			if late.Changed.After(mode.Changed) {
				mode.Changed = late.Changed
			}
		}
		modes = append(modes, mode)
	}
	return modes
}
