package groups

import (
	"context"
	"fmt"
	"math"
	"sync"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/expert"
)

// Parameters of the tests for drift.
const (
	driftExcess       = 0.05
	driftWindow       = 8
	driftHealthyShare = 0.2
	driftMovedShare   = 0.7
	driftFalseAlarm   = 0.01
	driftMiss         = 0.05
)

// driftTest decides from the excess of skew over that of the last plan whether
// popularity has drifted.
type driftTest interface {
	// drifted takes in one tick. It returns true when a plan is due.
	drifted(excess float64) bool
}

// alwaysDue plans at fixed times.
type alwaysDue struct{ ticks int }

func (a *alwaysDue) drifted(float64) bool {
	a.ticks++
	return a.ticks%planTicks == 0
}

// thresholdDue plans at the first excess.
type thresholdDue struct{}

func (thresholdDue) drifted(excess float64) bool { return excess > driftExcess }

// windowDue plans when the mean over a window is in excess.
type windowDue struct {
	ticks int
	sum   float64
}

func (w *windowDue) drifted(excess float64) bool {
	w.ticks++
	w.sum += excess
	if w.ticks < driftWindow {
		return false
	}
	found := w.sum/driftWindow > driftExcess
	w.ticks, w.sum = 0, 0
	return found
}

// sequentialDue is Wald's sequential probability ratio test on the share of ticks in excess.
type sequentialDue struct{ ratio float64 }

func (s *sequentialDue) drifted(excess float64) bool {
	if excess > driftExcess {
		s.ratio += math.Log(driftMovedShare / driftHealthyShare)
	} else {
		s.ratio += math.Log((1 - driftMovedShare) / (1 - driftHealthyShare))
	}
	found := s.ratio >= math.Log((1-driftMiss)/driftFalseAlarm)
	if found || s.ratio <= math.Log(driftMiss/(1-driftFalseAlarm)) {
		s.ratio = 0
	}
	return found
}

// planOnDrift asks the planner when a test finds drift.
type planOnDrift struct {
	planner *expert.Planner
	test    driftTest
	// planned is the skew right after the last plan.
	planned float64
	calls   int
}

func (p *planOnDrift) plan(tick int, current expert.Map, load expert.Load) (expert.Map, bool) {
	if tick < planTicks {
		return expert.Map{}, false
	}
	skew := expert.Skew(current, load)
	if p.planned == 0 {
		p.planned = 1
	}
	if !p.test.drifted(skew/p.planned - 1) {
		return expert.Map{}, false
	}
	p.calls++
	plan := p.planner.Plan(expert.PlanInput{Steps: float64(tick * stepsPerTick), Current: current, Load: load})
	p.planned = plan.SkewAfter
	return plan.Map, plan.Kind != expert.PlanNone
}

var driftTests = []struct {
	name  string
	build func() driftTest
}{
	{"every 250 steps", func() driftTest { return &alwaysDue{} }},
	{"skew 5% over the plan's", func() driftTest { return thresholdDue{} }},
	{"mean of 200 steps 5% over", func() driftTest { return &windowDue{} }},
	{"sequential test", func() driftTest { return &sequentialDue{} }},
}

func runDrift(ctx context.Context, params experiment.Params) (experiment.Result, error) {
	table := experiment.Table{
		Title:  "When to plan: fixed times against tests for drift",
		Labels: []string{"popularity", "ranks", "plan"},
		Columns: []experiment.Column{
			{Name: "skew", Unit: "worst/mean"},
			{Name: "loaded", Unit: "GB"},
			{Name: "plans", Unit: "calls"},
			{Name: "maps", Unit: "activations"},
		},
	}
	patterns := []Pattern{Steady, Drifting, Flipping, Bursty}
	total := len(patterns) * len(shapes) * len(driftTests) * params.Seeds
	done := 0
	var mutex sync.Mutex
	for _, pattern := range patterns {
		for _, shape := range shapes {
			for _, test := range driftTests {
				outcomes := make([]outcome, params.Seeds)
				calls := make([]float64, params.Seeds)
				err := forEach(ctx, params.Seeds, func(seed int) {
					chosen := &planOnDrift{planner: mustPlanner(plannerConfig(shape, ndiayeWeights)), test: test.build()}
					outcomes[seed] = run(pattern, shape, chosen, params.Seed+uint64(seed))
					calls[seed] = float64(chosen.calls)
					mutex.Lock()
					defer mutex.Unlock()
					done++
					params.Report(done, total)
				})
				if err != nil {
					return experiment.Result{}, err
				}
				j := job{outcomes: outcomes}
				const gigabyte = 1e9
				table.Rows = append(table.Rows, experiment.Row{
					Labels: []string{string(pattern), fmt.Sprint(shape.Ranks), test.name},
					Cells: []experiment.Cell{
						j.cell(func(o outcome) float64 { return o.skew }),
						j.cell(func(o outcome) float64 { return o.bytes / gigabyte }),
						newCell(calls),
						j.cell(func(o outcome) float64 { return o.rollouts }),
					},
				})
			}
		}
	}
	return experiment.Result{Tables: []experiment.Table{table}}, nil
}
