package fanout

import (
	"context"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
)

// fleets returns the measured fleet sizes: small, medium and large.
func fleets() []fleetSize {
	return []fleetSize{
		{Entries: 3, Agents: 20, Regions: 1, Zones: 3},
		{Entries: 36, Agents: 250, Regions: 2, Zones: 3},
		{Entries: 360, Agents: 2500, Regions: 6, Zones: 4},
	}
}

const (
	// The configuration in the fault scenarios consists of fragments of fragmentSize bytes each.
	fragments    = 128
	fragmentSize = 250
	// A configuration of 1 MB consists of fullFragments of fullFragmentSize bytes each.
	fullFragments    = 128
	fullFragmentSize = 7800
)

// All returns the measurements of this package.
func All() []experiment.Experiment {
	return []experiment.Experiment{
		{Name: "fanout", Summary: "Distributes configuration changes over fleets of three sizes under faults.", Run: runFanout},
		{Name: "fanout-bytes", Summary: "Counts the bytes that changes of a configuration of 1 MB cost each process.", Run: runBytes},
		{Name: "leases", Summary: "Counts the bytes that leases cost an entry and an agent.", Run: runLeases},
		{Name: "subsets", Summary: "Compares ways to assign subsets of backend servers to entries.", Run: runSubsets},
	}
}

var fanoutColumns = []experiment.Column{
	{Name: "in force, median", Unit: "s"},
	{Name: "in force, worst", Unit: "s"},
	// "late or missing" and "reverted" count cases, a process and a version each, so that one process may
	// count several times.
	{Name: "late or missing", Unit: "processes"},
	{Name: "reverted", Unit: "processes"},
	{Name: "start to ready, worst", Unit: "s"},
	{Name: "recovery", Unit: "s"},
	{Name: "service calls, worst second", Unit: "calls"},
	{Name: "bytes of a process, mean", Unit: "B/s"},
	{Name: "bytes of a process, most", Unit: "B/s"},
}

func runFanout(ctx context.Context, params experiment.Params) (experiment.Result, error) {
	table := experiment.Table{Title: "Configuration in force under faults", Labels: []string{"entries+agents", "fault"}, Columns: fanoutColumns}
	total := len(fleets()) * len(scenarios()) * params.Seeds
	done := 0
	for _, fleet := range fleets() {
		for _, s := range scenarios() {
			var samples [][]float64
			for i := range params.Seeds {
				if err := ctx.Err(); err != nil {
					return experiment.Result{}, err
				}
				samples = append(samples, measure(fleet, s, params.Seed+uint64(i), downtimeOf(fleet)).figures())
				done++
				params.ReportProgress(done, total)
			}
			table.Rows = append(table.Rows, experiment.Row{Labels: []string{fleet.String(), s.name}, Cells: cells(samples)})
		}
	}
	return experiment.Result{Tables: []experiment.Table{table}}, nil
}

// figures returns one value per entry of fanoutColumns.
func (m *measurement) figures() []float64 {
	mean, most := m.byteRates()
	return []float64{
		quantile(m.waits, 0.5),
		quantile(m.waits, 1),
		float64(m.late),
		float64(m.reverted),
		quantile(m.restarts, 1),
		m.recovery.Seconds(),
		float64(m.service.maxCallsPerSecond()),
		mean,
		most,
	}
}

// byteRates returns the mean and the maximum over all processes of the bytes sent and received per
// second, including packet headers.
func (m *measurement) byteRates() (mean, most float64) {
	for _, p := range m.processes {
		rate := (p.sent.wireBytes() + p.received.wireBytes()) / m.seconds
		mean += rate / float64(len(m.processes))
		most = max(most, rate)
	}
	return mean, most
}

// wireBytes returns the number of bytes including packet headers.
func (t traffic) wireBytes() float64 {
	return float64(t.bytes + t.packets*packetOverhead)
}

// quantile returns the q-quantile in seconds; 0 if there are no durations.
func quantile(durations []time.Duration, q float64) float64 {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Seconds()
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
