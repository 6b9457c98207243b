package groups

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
)

var printSeeds = flag.Int("print-seeds", 0, "run all experiments with this many seeds and print their tables")

var printOnly = flag.String("print-only", "", "the experiment to print; all if empty")

// TestPrint prints the tables when asked to.
func TestPrint(t *testing.T) {
	if *printSeeds == 0 {
		t.Skip("only with -print-seeds")
	}
	for _, e := range Experiments {
		if *printOnly != "" && *printOnly != e.Name {
			continue
		}
		result, err := e.Run(context.Background(), experiment.Params{Seed: 1, Seeds: *printSeeds})
		if err != nil {
			t.Fatal(err)
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
