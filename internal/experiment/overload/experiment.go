package overload

import (
	"context"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// policies are the compared policies.
var policies = []struct {
	name      string
	newPolicy func(entry int) Policy
}{
	{"first come, static limit", func(int) Policy { return NewFirstCome() }},
	{"weighted fair queueing", func(int) Policy { return NewFairQueue() }},
	{"admission controller", newController},
}

func newController(entry int) Policy {
	self := ident.Instance{VM: ident.VM(fmt.Sprint("entry-", entry)), Incarnation: 1}
	return admission.NewController(admission.DefaultSettings(self))
}

var evenSplit = []float64{1.0 / 3, 1.0 / 3, 1.0 / 3}

// unevenSplit models a load balancer in front of the entries that prefers one of them.
var unevenSplit = []float64{0.7, 0.2, 0.1}

// scenarios returns four kinds of demand at each of five loads.
func scenarios() []scenario {
	var list []scenario
	for _, load := range []float64{0.5, 1, 2, 5, 10} {
		list = append(list,
			scenario{name: "all customers", load: load, split: evenSplit},
			scenario{name: "flood", load: load, flood: true, split: evenSplit},
			scenario{name: "flood, retries", load: load, flood: true, retries: true, split: evenSplit},
			scenario{name: "flood, uneven entries", load: load, flood: true, split: unevenSplit},
		)
	}
	return list
}

// Experiments are the measurements of this package.
var Experiments = []experiment.Experiment{
	{
		Name:    "overload",
		Summary: "Worth served, waits and fairness under overload, floods and retries, against two baselines.",
		Run:     runOverload,
	},
	{
		Name:    "limits",
		Summary: "Use of one rate limit over unevenly loaded entries and under faults, against a static split.",
		Run:     runLimits,
	},
}

// overloadColumns are the columns of the overload table. Worth is ClassPlan.Worth, the relative value of one request of
// a class. "the same within share" is Lookup wait p99 of the customers within their share.
var overloadColumns = []experiment.Column{
	{Name: "worth served", Unit: "1/s"},
	{Name: "Lookup wait p50", Unit: "ms"},
	{Name: "Lookup wait p99", Unit: "ms"},
	{Name: "the same within share", Unit: "ms"},
	{Name: "Draft wait p50", Unit: "s"},
	{Name: "Drafts served", Unit: "%"},
	{Name: "Jain's index", Unit: ""},
	{Name: "refused within share", Unit: "%"},
}

func runOverload(ctx context.Context, params experiment.Params) (experiment.Result, error) {
	table := experiment.Table{
		Title: "Overload by scenario and policy", Labels: []string{"scenario", "load", "policy"}, Columns: overloadColumns,
	}
	plot := experiment.Plot{Title: "Worth served beside a flood", XLabel: "load", YLabel: "worth per second"}
	for _, policy := range policies {
		plot.Series = append(plot.Series, experiment.Series{Name: policy.name})
	}
	list := scenarios()
	total := len(list) * len(policies) * params.Seeds
	done := 0
	for _, s := range list {
		for p, policy := range policies {
			var samples [][]float64
			for i := range params.Seeds {
				if err := ctx.Err(); err != nil {
					return experiment.Result{}, err
				}
				samples = append(samples, s.summary(runBench(s, params.Seed+uint64(i), policy.newPolicy)))
				done++
				params.ReportProgress(done, total)
			}
			cells := summarize(samples)
			table.Rows = append(table.Rows, experiment.Row{Labels: []string{s.name, fmt.Sprint(s.load), policy.name}, Cells: cells})
			if s.name == "flood" {
				plot.Series[p].X = append(plot.Series[p].X, s.load)
				plot.Series[p].Y = append(plot.Series[p].Y, cells[0].Mean)
			}
		}
	}
	return experiment.Result{Tables: []experiment.Table{table}, Plots: []experiment.Plot{plot}}, nil
}

// summary returns one value per entry of overloadColumns.
func (s scenario) summary(f figures) []float64 {
	measured := (duration - warmUp).Seconds()
	const percent = 100
	entitled := s.entitled()
	var ratios []float64
	for i, got := range f.slotTime {
		ratios = append(ratios, got/(entitled[i]*counterSlots*measured))
	}
	return []float64{
		f.worth / measured,
		quantile(f.lookups, 0.5) * 1000,
		quantile(f.lookups, 0.99) * 1000,
		quantile(f.withinShareLookups, 0.99) * 1000,
		quantile(f.drafts, 0.5),
		percent * float64(len(f.drafts)) / math.Max(1, float64(f.draftsSent)),
		jain(ratios),
		percent * float64(f.withinShareRefused) / math.Max(1, float64(f.withinShare)),
	}
}

// jain returns Jain's fairness index, which is 1 for equal values and 1/n if one of n gets everything.
func jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(values)) * squares)
}

func quantile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return stat.Quantile(p, stat.Empirical, sorted, nil)
}

// summarize returns the mean and the sample standard deviation of each column over the samples.
func summarize(samples [][]float64) []experiment.Cell {
	var cells []experiment.Cell
	for column := range samples[0] {
		var values []float64
		for _, sample := range samples {
			values = append(values, sample[column])
		}
		mean, deviation := stat.MeanStdDev(values, nil)
		if len(values) < 2 {
			deviation = 0
		}
		cells = append(cells, experiment.Cell{Mean: mean, Spread: deviation})
	}
	return cells
}
