// Package groups measures how well the decisions on expert maps balance the load of groups of ranks,
// and the cost of rebalancing. It also measures rollouts of maps and the detection of stragglers.
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

// simulatedLayers is the number of layers of each simulated group.
const simulatedLayers = 4

// shapes are the simulated groups: 64 experts per layer on 8, 16 and 64 ranks.
var shapes = []expert.Shape{
	{Ranks: 8, Layers: simulatedLayers, Experts: 64, Slots: 10},
	{Ranks: 16, Layers: simulatedLayers, Experts: 64, Slots: 5},
	{Ranks: 64, Layers: simulatedLayers, Experts: 64, Slots: 2},
}

// maxWorkers bounds the number of simulations that run in parallel.
const maxWorkers = 4

// Experiments lists the experiments of this package.
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
	{
		Name:    "straggler-maps",
		Summary: "Passes and streams on time while ranks are slow, with maps by their estimated and by their true speed.",
		Run:     runSlowMaps,
	},
}

// job is one combination of pattern, shape and policy, with the figures of each seed.
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
		params.ReportProgress(done, total)
	})
	if err != nil {
		return experiment.Result{}, err
	}
	return experiment.Result{Tables: []experiment.Table{skewTable(jobs)}, Plots: skewPlots(jobs)}, nil
}

// forEach calls work with 0 to total-1 on up to maxWorkers goroutines and waits for them. It returns
// the error of ctx if that is canceled before all calls have started.
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

// newCell returns the mean and the sample standard deviation of the values.
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

// skewPlots returns one plot per pattern: the skew of each policy by number of ranks.
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
