package routes

import (
	"context"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
)

// Targets for the time to the first token and between two tokens.
const (
	firstTokenTarget = 580 * time.Millisecond
	interTokenTarget = 47 * time.Millisecond
)

// figures are the results of one simulation after the warm-up; refusals also count those before.
type figures struct {
	// firstTokenTimes and interTokenTimes are samples in seconds.
	firstTokenTimes []float64
	interTokenTimes []float64
	// inTime counts the calls whose first token was generated within firstTokenTarget.
	inTime       int
	served       int
	promptTokens int
	cachedTokens int
	refusals     int
	loadSpreads  []float64
	// stillWaiting counts the calls without a first token at the end.
	stillWaiting int
}

func (f *figures) measured(w *world) bool {
	return w.now.Sub(w.start) > warmUp
}

// tokenRecorder returns a function that records the time between tokens. With the
// first token of a call, it sends the replica's load to the entry instead.
func (w *world) tokenRecorder(r *replica) func(*call, time.Duration) {
	return func(c *call, gap time.Duration) {
		if gap == 0 {
			w.sendLoad(r, c)
			return
		}
		// A sample of one token in eight suffices for the quantiles.
		if w.figures.measured(w) && w.random.IntN(8) == 0 {
			w.figures.interTokenTimes = append(w.figures.interTokenTimes, gap.Seconds())
		}
	}
}

func (f *figures) recordCall(w *world, c *call) {
	if !f.measured(w) {
		return
	}
	wait := c.first.Sub(c.arrived)
	f.firstTokenTimes = append(f.firstTokenTimes, wait.Seconds())
	if wait <= firstTokenTarget {
		f.inTime++
	}
	f.served++
	f.promptTokens += c.prompt
	f.cachedTokens += c.cached
}

// sampleSpread records the coefficient of variation of the replicas' open requests.
func (w *world) sampleSpread() {
	var loads []float64
	for _, r := range w.replicas {
		if !r.leaving {
			loads = append(loads, float64(r.engine.open()))
		}
	}
	if mean := stat.Mean(loads, nil); mean > 0 && w.figures.measured(w) {
		w.figures.loadSpreads = append(w.figures.loadSpreads, stat.StdDev(loads, nil)/mean)
	}
}

// countWaiting counts the calls that are without a first token at the end; they count as late.
func (f *figures) countWaiting(w *world) {
	for _, e := range w.entries {
		f.stillWaiting += len(e.queue)
	}
	for _, r := range w.replicas {
		for _, c := range append(slices.Clone(r.engine.running), r.engine.waiting...) {
			if c.first.IsZero() {
				f.stillWaiting++
			}
		}
	}
}

var columns = []experiment.Column{
	{Name: "first token, median", Unit: "s"},
	{Name: "first token, 95 in 100", Unit: "s"},
	{Name: "first token, 99 in 100", Unit: "s"},
	{Name: "within 0.58 s", Unit: "share"},
	{Name: "between tokens, 95 in 100", Unit: "s"},
	{Name: "prompt tokens cached", Unit: "share"},
	{Name: "load spread", Unit: "deviation over mean"},
	{Name: "served", Unit: "calls a second"},
	{Name: "refused by agents", Unit: "in 1000"},
}

// values returns one value per entry of columns; duration is the length of the simulation.
func (f *figures) values(duration time.Duration) []float64 {
	slices.Sort(f.firstTokenTimes)
	slices.Sort(f.interTokenTimes)
	return []float64{
		quantile(f.firstTokenTimes, 0.5),
		quantile(f.firstTokenTimes, 0.95),
		quantile(f.firstTokenTimes, 0.99),
		float64(f.inTime) / math.Max(float64(f.served+f.stillWaiting), 1),
		quantile(f.interTokenTimes, 0.95),
		float64(f.cachedTokens) / math.Max(float64(f.promptTokens), 1),
		stat.Mean(f.loadSpreads, nil),
		float64(f.served) / (duration - warmUp).Seconds(),
		1000 * float64(f.refusals) / math.Max(float64(f.served), 1),
	}
}

// quantile returns the q-quantile of sorted values; 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return stat.Quantile(q, stat.Empirical, sorted, nil)
}

// setups returns the cases of the measurement.
func setups() []setup {
	const length = 100 * time.Second
	return []setup{
		{name: "half loaded", entries: 3, replicas: 16, rate: 3, duration: length, straggler: 1},
		{name: "well loaded", entries: 3, replicas: 16, rate: 5, duration: length, straggler: 1},
		{name: "near capacity", entries: 3, replicas: 16, rate: 6, duration: length, straggler: 1},
		{name: "many entries", entries: 12, replicas: 48, rate: 5, duration: length, straggler: 1},
		{name: "many entries, subsets", entries: 12, replicas: 48, rate: 5, duration: length, straggler: 1, subsets: true},
		{name: "uneven entries", entries: 6, replicas: 16, rate: 5, duration: length, straggler: 1, uneven: true},
		{name: "straggler", entries: 3, replicas: 16, rate: 4.5, duration: length, straggler: 1.8},
		{name: "four replicas join", entries: 6, replicas: 16, rate: 5, duration: length, straggler: 1, joins: 4},
		{name: "two replicas leave", entries: 6, replicas: 16, rate: 4.5, duration: length, straggler: 1, leaves: 2},
	}
}

// All returns the measurements of this package.
func All() []experiment.Experiment {
	return []experiment.Experiment{
		{Name: "routes", Summary: "Compares ways to choose a backend server on a model of engines that batch and cache prefixes.", Run: run},
		{Name: "ranks", Summary: "Compares ways to choose the rank of a group whose ranks step together.", Run: runRanks},
	}
}

func run(ctx context.Context, params experiment.Params) (experiment.Result, error) {
	table := experiment.Table{Title: "Choice of the backend server", Labels: []string{"case", "policy"}, Columns: columns}
	total := len(setups()) * len(policies()) * params.Seeds
	done := 0
	for _, s := range setups() {
		for _, p := range policies() {
			var samples [][]float64
			for i := range params.Seeds {
				if err := ctx.Err(); err != nil {
					return experiment.Result{}, err
				}
				samples = append(samples, newWorld(s, p, params.Seed+uint64(i)).run().values(s.duration))
				done++
				params.ReportProgress(done, total)
			}
			table.Rows = append(table.Rows, experiment.Row{Labels: []string{s.name, p.name}, Cells: cells(samples)})
		}
	}
	return experiment.Result{Tables: []experiment.Table{table}}, nil
}

// cells returns the mean and the sample standard deviation of each column over the samples.
func cells(samples [][]float64) []experiment.Cell {
	list := make([]experiment.Cell, len(samples[0]))
	column := make([]float64, len(samples))
	for i := range list {
		for j := range samples {
			column[j] = samples[j][i]
		}
		list[i].Mean = stat.Mean(column, nil)
		if len(column) > 1 {
			list[i].Spread = stat.StdDev(column, nil)
		}
	}
	return list
}
