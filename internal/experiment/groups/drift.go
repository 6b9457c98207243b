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
	// driftExcess is the excess of the skew over that of the last plan, as a fraction of the latter.
	driftExcess = 0.05
	// driftWindow is in ticks.
	driftWindow = 8
	// driftHealthyShare and driftMovedShare are the fractions of ticks whose excess is over driftExcess,
	// without and with drift.
	driftHealthyShare = 0.2
	driftMovedShare   = 0.7
	// driftFalseAlarm and driftMiss are the error probabilities of the sequential test.
	driftFalseAlarm = 0.01
	driftMiss       = 0.05
)

// driftTest decides whether popularity has drifted. Its input is the relative excess of the skew over
// that of the last plan.
type driftTest interface {
	// planDue records the excess of one tick and reports whether a plan is due.
	planDue(excess float64) bool
}

// fixedInterval plans every planTicks ticks.
type fixedInterval struct{ ticks int }

func (a *fixedInterval) planDue(float64) bool {
	a.ticks++
	return a.ticks%planTicks == 0
}

// thresholdTest plans at each tick whose excess is over driftExcess.
type thresholdTest struct{}

func (thresholdTest) planDue(excess float64) bool { return excess > driftExcess }

// windowTest plans when the mean excess of a full window is over driftExcess. The next window starts
// empty.
type windowTest struct {
	ticks int
	sum   float64
}

func (w *windowTest) planDue(excess float64) bool {
	w.ticks++
	w.sum += excess
	if w.ticks < driftWindow {
		return false
	}
	found := w.sum/driftWindow > driftExcess
	w.ticks, w.sum = 0, 0
	return found
}

// sequentialTest is Wald's sequential probability ratio test on the share of ticks whose excess is over
// driftExcess. logRatio is the log of the likelihood ratio.
type sequentialTest struct{ logRatio float64 }

func (s *sequentialTest) planDue(excess float64) bool {
	if excess > driftExcess {
		s.logRatio += math.Log(driftMovedShare / driftHealthyShare)
	} else {
		s.logRatio += math.Log((1 - driftMovedShare) / (1 - driftHealthyShare))
	}
	found := s.logRatio >= math.Log((1-driftMiss)/driftFalseAlarm)
	if found || s.logRatio <= math.Log(driftMiss/(1-driftFalseAlarm)) {
		s.logRatio = 0
	}
	return found
}

// planOnDrift calls the planner when a test detects drift.
type planOnDrift struct {
	planner *expert.Planner
	test    driftTest
	// plannedSkew is the skew after the last plan. The first drift test sets it to 1, which holds until the
	// first plan.
	plannedSkew float64
	// calls is the number of calls of the planner.
	calls int
}

func (p *planOnDrift) plan(tick int, current expert.Map, load expert.Load) (expert.Map, bool) {
	if tick < planTicks {
		return expert.Map{}, false
	}
	skew := expert.Skew(current, load, nil)
	if p.plannedSkew == 0 {
		p.plannedSkew = 1
	}
	if !p.test.planDue(skew/p.plannedSkew - 1) {
		return expert.Map{}, false
	}
	p.calls++
	plan := p.planner.Plan(expert.PlanInput{Steps: float64(tick * stepsPerTick), Current: current, Load: load})
	p.plannedSkew = plan.SkewAfter
	return plan.Map, plan.Kind != expert.PlanNone
}

var driftTests = []struct {
	name  string
	build func() driftTest
}{
	{"every 250 steps", func() driftTest { return &fixedInterval{} }},
	{"skew 5% over the plan's", func() driftTest { return thresholdTest{} }},
	{"mean of 200 steps 5% over", func() driftTest { return &windowTest{} }},
	{"sequential test", func() driftTest { return &sequentialTest{} }},
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
				outcomes := make([]runFigures, params.Seeds)
				calls := make([]float64, params.Seeds)
				err := forEach(ctx, params.Seeds, func(seed int) {
					chosen := &planOnDrift{planner: mustPlanner(plannerConfig(shape, ndiayeWeights)), test: test.build()}
					outcomes[seed] = simulate(pattern, shape, chosen, params.Seed+uint64(seed))
					calls[seed] = float64(chosen.calls)
					mutex.Lock()
					defer mutex.Unlock()
					done++
					params.ReportProgress(done, total)
				})
				if err != nil {
					return experiment.Result{}, err
				}
				j := job{figures: outcomes}
				const gigabyte = 1e9
				table.Rows = append(table.Rows, experiment.Row{
					Labels: []string{string(pattern), fmt.Sprint(shape.Ranks), test.name},
					Cells: []experiment.Cell{
						j.cell(func(o runFigures) float64 { return o.skew }),
						j.cell(func(o runFigures) float64 { return o.bytes / gigabyte }),
						newCell(calls),
						j.cell(func(o runFigures) float64 { return o.rollouts }),
					},
				})
			}
		}
	}
	return experiment.Result{Tables: []experiment.Table{table}}, nil
}
