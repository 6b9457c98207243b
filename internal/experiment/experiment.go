// Package experiment defines the form of the measurements that `bramleyspool experiment` runs.
package experiment

import "context"

// Params are the parameters of one run of an experiment.
type Params struct {
	// Seed is the first seed.
	Seed uint64
	// Seeds is the number of consecutive seeds.
	Seeds int
	// Progress is called with the number of finished and of all parts; it may be nil.
	Progress func(done, total int)
}

// Report tells progress if someone listens.
func (p Params) Report(done, total int) {
	if p.Progress != nil {
		p.Progress(done, total)
	}
}

// Cell is one figure with its spread over the seeds.
type Cell struct {
	Mean float64
	// Spread is the sample standard deviation over the seeds.
	Spread float64
}

// Row is one line of a table: labels first, then figures.
type Row struct {
	Labels []string
	Cells  []Cell
}

// Column names a column of figures.
type Column struct {
	Name string
	Unit string
}

// Table is the result of an experiment.
type Table struct {
	Title   string
	Labels  []string
	Columns []Column
	Rows    []Row
}

// Series is one line of a plot.
type Series struct {
	Name string
	X    []float64
	Y    []float64
}

// Plot is a picture of an experiment's result.
type Plot struct {
	Title  string
	XLabel string
	YLabel string
	Series []Series
}

// Result is all that an experiment yields.
type Result struct {
	Tables []Table
	Plots  []Plot
}

// Experiment is one measurement that can be run by name.
type Experiment struct {
	Name string
	// Summary is one sentence for the command's help.
	Summary string
	Run     func(ctx context.Context, params Params) (Result, error)
}
