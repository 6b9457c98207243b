package admission

import "time"

// Constants of LateMode.
const (
	// lateEnter is the time for which the demand rule must hold before a group serves late. A jump of skew makes it hold
	// for up to 0.6 s at most, and a report is at most 0.2 s old.
	lateEnter = 700 * time.Millisecond
	// lateLeave is the time after which a group that may serve on time does so. Together with the time until a
	// recovery is reported, 0.3 to 0.5 s, it stays below 1 s.
	lateLeave = 450 * time.Millisecond
	// enterShare is the share of the streams served late below which keeping the bound serves less value: lateValue.
	// leaveShare is the one from which the bound is kept again.
	enterShare = lateValue
	leaveShare = 0.5
)

// LateMode decides whether a group serves streams late because no admission keeps them on time, or because keeping the
// bound would refuse most of the demand. Load pattern: a straggler at four times its work takes 4 x 33.9 ms = 136 ms of
// 120 ms by itself; half of the ranks are lost under full demand. A late stream has 0.3 to 0.5 of its value, a refused
// one none.
type LateMode struct {
	late bool
	// since is when the condition of the other mode began to hold; zero while it does not.
	since time.Time
	// Changed is when the mode last changed.
	Changed time.Time
}

// LateInputs are what LateMode decides by.
type LateInputs struct {
	// OwnPart is the slowest rank's own part of an idle group, Bound the longest pass of streams on time. OwnPart counts the
	// steps of a straggler without requests, which by the assumption in docs/design/0025 delay no pass.
	OwnPart, Bound time.Duration
	// OnTime is the number of streams per second that are served on time, Late that with all slots, Demand that of the
	// offered ones.
	OnTime, Late, Demand float64
}

// LateInputs returns the inputs of a group's LateMode. Between jumps, the skew is that of the current map.
func (g PassGate) LateInputs(pace GroupPace, demand float64) LateInputs {
	if pace.Forecast.CalmSkew > 0 {
		pace.Skew = min(pace.Skew, pace.Forecast.CalmSkew)
	}
	pace.Loading, pace.Pass = false, 0
	inputs := LateInputs{OwnPart: g.slowestOwnPart(pace, 0, 0), Bound: g.currentBound(), Demand: demand}
	inputs.OnTime = g.throughput(pace, g.writersWithin(pace, inputs.Bound))
	inputs.Late = g.throughput(pace, g.slots(pace))
	return inputs
}

// throughput returns the number of streams per second that a number of writers are.
func (g PassGate) throughput(pace GroupPace, writers int) float64 {
	life := g.StreamTime(g.PredictPass(pace, writers))
	if life <= 0 {
		return 0
	}
	return float64(writers) / life.Seconds()
}

// Late returns whether the group serves late.
func (m *LateMode) Late() bool { return m.late }

// LateAt returns whether the group served late at a time. Only the last change of the mode is known.
func (m *LateMode) LateAt(at time.Time) bool { return m.late || at.Before(m.Changed) }

// Update returns whether the group serves late from now on.
func (m *LateMode) Update(now time.Time, inputs LateInputs) bool {
	if inputs.Bound <= 0 {
		m.late, m.since = false, time.Time{}
		return false
	}
	beyond := inputs.OwnPart >= inputs.Bound
	share, hold := enterShare, lateEnter
	if m.late {
		share, hold = leaveShare, lateLeave
	}
	wanted := beyond || inputs.OnTime < share*min(inputs.Late, inputs.Demand)
	switch {
	case wanted == m.late:
		m.since = time.Time{}
		return m.late
	case m.since.IsZero():
		m.since = now
	}
	if wanted && beyond || now.Sub(m.since) >= hold {
		m.late, m.since, m.Changed = wanted, time.Time{}, now
	}
	return m.late
}
