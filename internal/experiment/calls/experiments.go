package calls

import (
	"gonum.org/v1/gonum/stat"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
)

// Experiments are the measurements of package attempt.
var Experiments = []experiment.Experiment{
	{
		Name:    "calls-faults",
		Summary: "Outcomes of non-idempotent calls by fault, and time until keys run again, against two baselines.",
		Run:     runFaults,
	},
	{
		Name:    "calls-quarantine",
		Summary: "Crashes and harm to innocents from a request that crashes its backend servers, by policy.",
		Run:     runQuarantines,
	},
}

// cellsOf returns the mean and standard deviation of each column; samples[i] are the values of column i.
func cellsOf(samples [][]float64) []experiment.Cell {
	cells := make([]experiment.Cell, len(samples))
	for i, column := range samples {
		cells[i].Mean = stat.Mean(column, nil)
		if len(column) > 1 {
			cells[i].Spread = stat.StdDev(column, nil)
		}
	}
	return cells
}
