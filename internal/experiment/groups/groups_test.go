package groups

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
)

var (
	tableSeeds = flag.Int("table-seeds", 1, "number of seeds of the experiments that BenchmarkTables prints")
	tableOnly  = flag.String("table-only", "", "the experiment that BenchmarkTables prints; all if empty")
)

// BenchmarkTables prints the tables of the experiments.
func BenchmarkTables(b *testing.B) {
	for _, e := range Experiments {
		if *tableOnly != "" && *tableOnly != e.Name {
			continue
		}
		result, err := e.Run(context.Background(), experiment.Params{Seed: 1, Seeds: *tableSeeds})
		if err != nil {
			b.Fatal(err)
		}
		for _, table := range result.Tables {
			printTable(table)
		}
	}
}

func printTable(table experiment.Table) {
	heads := append([]string{}, table.Labels...)
	for _, column := range table.Columns {
		heads = append(heads, fmt.Sprintf("%s (%s)", column.Name, column.Unit))
	}
	fmt.Printf("\n%s\n\n| %s |\n|%s\n", table.Title, strings.Join(heads, " | "), strings.Repeat("---|", len(heads)))
	for _, row := range table.Rows {
		cells := append([]string{}, row.Labels...)
		for _, cell := range row.Cells {
			cells = append(cells, fmt.Sprintf("%.3g ± %.2g", cell.Mean, cell.Spread))
		}
		fmt.Printf("| %s |\n", strings.Join(cells, " | "))
	}
}

// testTicks covers two periods of drifting popularity and several flips.
const testTicks = 480

// measured simulates a policy on 16 ranks with one seed.
func measured(t *testing.T, pattern Pattern, name string) runFigures {
	for _, c := range namedPolicies {
		if c.name == name {
			return simulateTicks(testTicks, pattern, shapes[1], c.build(shapes[1]), 1)
		}
	}
	t.Fatalf("no policy is named %q", name)
	return runFigures{}
}

// TestPlannerMeetsItsTargets checks the targets at 16 ranks. With drifting popularity, the skew is at
// most 5% above that of a full re-plan and the loaded bytes are at most a tenth. With flipping
// popularity, the skew is at most 1% above that of the static map.
func TestPlannerMeetsItsTargets(t *testing.T) {
	c := qt.New(t)
	full := measured(t, Drifting, "full re-plan")
	static := measured(t, Flipping, "static")
	for _, name := range []string{"planner, Ndiaye", "planner, Andina"} {
		drifting := measured(t, Drifting, name)
		c.Check(drifting.skew <= 1.05*full.skew, qt.IsTrue, qt.Commentf("%s: skew %v with drifting popularity, full re-plan %v", name, drifting.skew, full.skew))
		c.Check(drifting.bytes <= 0.1*full.bytes, qt.IsTrue, qt.Commentf("%s: %v bytes loaded with drifting popularity, full re-plan %v", name, drifting.bytes, full.bytes))
		flipping := measured(t, Flipping, name)
		c.Check(flipping.skew <= 1.01*static.skew, qt.IsTrue, qt.Commentf("%s: skew %v with flipping popularity, static map %v", name, flipping.skew, static.skew))
	}
}

// TestRunsRepeat checks that a simulation is reproducible: its result depends only on its seed.
func TestRunsRepeat(t *testing.T) {
	c := qt.New(t)
	const ticks = 100
	build := func() policy { return newPeriodicPlanner(plannerConfig(shapes[0], ndiayeWeights)) }
	first := simulateTicks(ticks, Bursty, shapes[0], build(), 7)
	c.Assert(simulateTicks(ticks, Bursty, shapes[0], build(), 7) == first, qt.IsTrue)
	c.Assert(simulateTicks(ticks, Bursty, shapes[0], build(), 8) == first, qt.IsFalse)
}

// TestRolloutTableIsFull checks the rollout experiment: it returns a row per fault and a cell per
// column, and without faults all rollouts complete.
func TestRolloutTableIsFull(t *testing.T) {
	c := qt.New(t)
	result, err := runRollouts(context.Background(), experiment.Params{Seed: 1, Seeds: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(result.Tables[0].Rows, qt.HasLen, len(faults))
	for _, row := range result.Tables[0].Rows {
		c.Assert(row.Cells, qt.HasLen, len(result.Tables[0].Columns))
	}
	c.Assert(result.Tables[0].Rows[0].Cells[0].Mean > 99, qt.IsTrue, qt.Commentf("percentage of completed rollouts without faults"))
}
