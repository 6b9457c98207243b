// Package experiment defines the types of the measurements that `bramleyspool experiment` runs.
package experiment

import "context"

// Params configure one execution of an experiment.
type Params struct {
	// Seed is the first seed.
	Seed uint64
	// Seeds is the number of consecutive seeds; each cell is the mean over them.
	Seeds int
	// Progress is called with the number of finished parts and the total number of parts; it may be nil.
	Progress func(done, total int)
}

// ReportProgress calls Progress unless it is nil.
func (p Params) ReportProgress(done, total int) {
	if p.Progress != nil {
		p.Progress(done, total)
	}
}

// Cell is one measured value, averaged over the seeds.
type Cell struct {
	Mean float64
	// Spread is the sample standard deviation over the seeds; 0 with a single seed.
	Spread float64
}

// Row is one line of a table: labels first, then values.
type Row struct {
	Labels []string
	Cells  []Cell
}

// Column describes a column of values; Unit may be empty.
type Column struct {
	Name string
	Unit string
}

// Table is one table of an experiment's result. Each row has one label per entry of Labels and one
// cell per entry of Columns.
type Table struct {
	Title   string
	Labels  []string
	Columns []Column
	Rows    []Row
}

// Series is one line of a plot. X and Y have the same length.
type Series struct {
	Name string
	X    []float64
	Y    []float64
}

// Plot is one line chart of an experiment's result.
type Plot struct {
	Title  string
	XLabel string
	YLabel string
	Series []Series
}

// Result holds the tables and plots that an experiment returns.
type Result struct {
	Tables []Table
	Plots  []Plot
}

// Experiment is one measurement that can be run by name.
type Experiment struct {
	Name string
	// Summary is one sentence for the help text of the command.
	Summary string
	Run     func(ctx context.Context, params Params) (Result, error)
}
