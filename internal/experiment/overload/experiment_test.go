package overload_test

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/experiment/overload"
)

var printSeeds = flag.Int("overload.seeds", 0, "print the tables of all experiments over this many seeds")

var printOnly = flag.String("overload.only", "", "the experiment to print; empty for all")

// TestPrintTables prints the tables as Markdown if -overload.seeds is set.
func TestPrintTables(t *testing.T) {
	if *printSeeds == 0 {
		t.Skip("-overload.seeds is not set")
	}
	c := qt.New(t)
	for _, e := range overload.Experiments {
		if *printOnly != "" && e.Name != *printOnly {
			continue
		}
		result, err := e.Run(context.Background(), experiment.Params{Seed: 1, Seeds: *printSeeds})
		c.Assert(err, qt.IsNil)
		for _, table := range result.Tables {
			fmt.Println(markdown(table))
		}
	}
}

func markdown(table experiment.Table) string {
	head := table.Labels
	for _, column := range table.Columns {
		head = append(head, strings.TrimSpace(column.Name+" "+column.Unit))
	}
	lines := []string{strings.Join(head, " | "), strings.Repeat("---|", len(head))}
	for _, row := range table.Rows {
		fields := row.Labels
		for _, cell := range row.Cells {
			fields = append(fields, fmt.Sprintf("%.3g ± %.2g", cell.Mean, cell.Spread))
		}
		lines = append(lines, strings.Join(fields, " | "))
	}
	return table.Title + "\n\n" + strings.Join(lines, "\n")
}
