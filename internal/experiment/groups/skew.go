// Package groups measures how the decisions on expert maps balance groups of ranks, and
// what they cost.
package groups

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"sync"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/expert"
)

// Shapes of the groups: 64 experts a layer at 8, 16 and 64 ranks.
const simulatedLayers = 4

var shapes = []expert.Shape{
	{Ranks: 8, Layers: simulatedLayers, Experts: 64, Slots: 10},
	{Ranks: 16, Layers: simulatedLayers, Experts: 64, Slots: 5},
	{Ranks: 64, Layers: simulatedLayers, Experts: 64, Slots: 2},
}

// maxWorkers bounds the runs that go on at once.
const maxWorkers = 4

// Experiments lists the measurements of this package.
var Experiments = []experiment.Experiment{
	{
		Name:    "expert-maps",
		Summary: "Skew and cost of rebalancing of expert maps under moving popularity.",
		Run:     runSkew,
	},
	{
		Name:    "expert-drift",
		Summary: "Planning at fixed times against planning when a test finds drift.",
		Run:     runDrift,
	},
	{
		Name:    "expert-rollout",
		Summary: "Time, held steps and messages of rollouts of an expert map under faults.",
		Run:     runRollouts,
	},
	{
		Name:    "stragglers",
		Summary: "Time to find a straggling rank, and false alarms, of several detectors.",
		Run:     runStragglers,
	},
}

// job is one run of the experiment.
type job struct {
	pattern Pattern
	shape   expert.Shape
	policy  namedPolicy
	figures []runFigures
}

func runSkew(ctx context.Context, params experiment.Params) (experiment.Result, error) {
	var jobs []*job
	for _, pattern := range Patterns {
		for _, shape := range shapes {
			for _, c := range namedPolicies {
				jobs = append(jobs, &job{pattern: pattern, shape: shape, policy: c, figures: make([]runFigures, params.Seeds)})
			}
		}
	}
	total := len(jobs) * params.Seeds
	var done int
	var mutex sync.Mutex
	err := forEach(ctx, total, func(i int) {
		j := jobs[i/params.Seeds]
		seed := i % params.Seeds
		j.figures[seed] = simulate(j.pattern, j.shape, j.policy.build(j.shape), params.Seed+uint64(seed))
		mutex.Lock()
		defer mutex.Unlock()
		done++
		params.Report(done, total)
	})
	if err != nil {
		return experiment.Result{}, err
	}
	return experiment.Result{Tables: []experiment.Table{skewTable(jobs)}, Plots: skewPlots(jobs)}, nil
}

// forEach calls work for 0 to total-1 on some goroutines.
func forEach(ctx context.Context, total int, work func(i int)) error {
	indices := make(chan int)
	var group sync.WaitGroup
	for range min(maxWorkers, runtime.GOMAXPROCS(0)) {
		group.Go(func() {
			for i := range indices {
				work(i)
			}
		})
	}
	defer group.Wait()
	defer close(indices)
	for i := range total {
		select {
		case indices <- i:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func skewTable(jobs []*job) experiment.Table {
	table := experiment.Table{
		Title:  "Skew and cost of rebalancing of expert maps",
		Labels: []string{"popularity", "ranks", "policy"},
		Columns: []experiment.Column{
			{Name: "skew", Unit: "worst/mean"},
			{Name: "bound", Unit: "worst/mean"},
			{Name: "waited", Unit: "% of rank time"},
			{Name: "loaded", Unit: "GB"},
			{Name: "moves", Unit: "replicas"},
			{Name: "maps", Unit: "activations"},
			{Name: "delayed", Unit: "steps"},
		},
	}
	const percent, gigabyte = 100, 1e9
	for _, j := range jobs {
		table.Rows = append(table.Rows, experiment.Row{
			Labels: []string{string(j.pattern), fmt.Sprint(j.shape.Ranks), j.policy.name},
			Cells: []experiment.Cell{
				j.cell(func(o runFigures) float64 { return o.skew }),
				j.cell(func(o runFigures) float64 { return o.bound }),
				j.cell(func(o runFigures) float64 { return o.waitFraction * percent }),
				j.cell(func(o runFigures) float64 { return o.bytes / gigabyte }),
				j.cell(func(o runFigures) float64 { return o.moves }),
				j.cell(func(o runFigures) float64 { return o.rollouts }),
				j.cell(func(o runFigures) float64 { return o.delayed }),
			},
		})
	}
	return table
}

func (j *job) cell(value func(runFigures) float64) experiment.Cell {
	values := make([]float64, len(j.figures))
	for i, o := range j.figures {
		values[i] = value(o)
	}
	return newCell(values)
}

func newCell(values []float64) experiment.Cell {
	mean := 0.0
	for _, value := range values {
		mean += value / float64(len(values))
	}
	if len(values) < 2 {
		return experiment.Cell{Mean: mean}
	}
	squares := 0.0
	for _, value := range values {
		squares += (value - mean) * (value - mean)
	}
	return experiment.Cell{Mean: mean, Spread: math.Sqrt(squares / float64(len(values)-1))}
}

// skewPlots draws the skew by ranks of each policy, one plot a pattern.
func skewPlots(jobs []*job) []experiment.Plot {
	var plots []experiment.Plot
	for _, pattern := range Patterns {
		plot := experiment.Plot{Title: "Skew, " + string(pattern) + " popularity", XLabel: "ranks", YLabel: "worst rank over mean"}
		for _, c := range namedPolicies {
			series := experiment.Series{Name: c.name}
			for _, j := range jobs {
				if j.pattern == pattern && j.policy.name == c.name {
					series.X = append(series.X, float64(j.shape.Ranks))
					series.Y = append(series.Y, j.cell(func(o runFigures) float64 { return o.skew }).Mean)
				}
			}
			plot.Series = append(plot.Series, series)
		}
		plots = append(plots, plot)
	}
	return plots
}
