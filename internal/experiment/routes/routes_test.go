package routes

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
	name  = flag.String("experiment", "", "run this experiment and print its tables")
	seeds = flag.Int("seeds", 1, "number of seeds")
)

// print writes a table as Markdown.
func printTable(table experiment.Table) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s\n|%s|", table.Title, strings.Join(table.Labels, "|"))
	for _, column := range table.Columns {
		fmt.Fprintf(&text, "%s (%s)|", column.Name, column.Unit)
	}
	text.WriteString("\n")
	for _, row := range table.Rows {
		fmt.Fprintf(&text, "|%s|", strings.Join(row.Labels, "|"))
		for _, cell := range row.Cells {
			fmt.Fprintf(&text, "%.3g ± %.2g|", cell.Mean, cell.Spread)
		}
		text.WriteString("\n")
	}
	return text.String()
}

func TestPrintExperiment(t *testing.T) {
	for _, e := range All() {
		if e.Name != *name {
			continue
		}
		result, err := e.Run(context.Background(), experiment.Params{Seed: 1, Seeds: *seeds})
		qt.Assert(t, err, qt.IsNil)
		for _, table := range result.Tables {
			fmt.Println(printTable(table))
		}
	}
}
