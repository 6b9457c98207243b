package fanout

import (
	"context"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// runBytes counts the bytes and calls that 10 changes of a configuration of 1 MB cost, for both layouts.
func runBytes(ctx context.Context, params experiment.Params) (experiment.Result, error) {
	const changes = 10
	table := experiment.Table{
		Title:  "Bytes a process for a change every 11 s of a configuration of 1 MB",
		Labels: []string{"layout", "entries+agents"},
		Columns: []experiment.Column{
			{Name: "peers, mean", Unit: "B/s"},
			{Name: "peers, most", Unit: "B/s"},
			{Name: "service to a reader", Unit: "B/s"},
			{Name: "service calls a change", Unit: "calls"},
			{Name: "in force, worst", Unit: "s"},
		},
	}
	layouts := []struct {
		name   string
		layout membership.Layout
	}{{"one value", membership.SingleValue}, {"manifest of parts", membership.ManifestOfParts}}
	sizes := fleets()[:2]
	done := 0
	for _, layout := range layouts {
		for _, fleet := range sizes {
			var samples [][]float64
			for i := range params.Seeds {
				if err := ctx.Err(); err != nil {
					return experiment.Result{}, err
				}
				m := measureBytes(fleet, layout.layout, params.Seed+uint64(i), changes)
				samples = append(samples, m)
				done++
				params.ReportProgress(done, len(layouts)*len(sizes)*params.Seeds)
			}
			table.Rows = append(table.Rows, experiment.Row{Labels: []string{layout.name, fleet.String()}, Cells: cells(samples)})
		}
	}
	return experiment.Result{Tables: []experiment.Table{table}}, nil
}

func measureBytes(fleet fleetSize, layout membership.Layout, seed uint64, changes int) []float64 {
	m := &measurement{world: newWorld(fleet, seed, layout, fullFragments, fullFragmentSize)}
	m.service.publish()
	m.startAll()
	m.run(2 * startupTime)
	m.resetTraffic()
	m.service.resetCalls()
	start := m.now
	m.changes(changes, nil)
	m.seconds = m.now.Sub(start).Seconds()
	readers := 0
	for _, p := range m.processes {
		if p.node.Status().Reader {
			readers++
		}
	}
	mean, most := m.byteRates()
	return []float64{
		mean,
		most,
		float64(m.service.bytes) / float64(readers) / m.seconds,
		float64(m.service.calls) / float64(changes),
		quantile(m.waits, 1),
	}
}
