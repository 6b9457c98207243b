package calls_test

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/experiment/calls"
)

var (
	printName  = flag.String("calls.print", "", "experiment to run and print")
	printSeeds = flag.Int("calls.seeds", 10, "seeds of the printed experiment")
)

// TestPrintExperiment prints an experiment's tables: -args -calls.print NAME -calls.seeds N.
func TestPrintExperiment(t *testing.T) {
	for _, e := range calls.Experiments {
		if e.Name != *printName {
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
	fmt.Println(table.Title)
	header := append([]string(nil), table.Labels...)
	for _, column := range table.Columns {
		header = append(header, strings.TrimSpace(column.Name+" "+column.Unit))
	}
	fmt.Println("| " + strings.Join(header, " | ") + " |")
	fmt.Println("|" + strings.Repeat("---|", len(header)))
	for _, row := range table.Rows {
		fields := append([]string(nil), row.Labels...)
		for _, cell := range row.Cells {
			fields = append(fields, fmt.Sprintf("%.2f ± %.2f", cell.Mean, cell.Spread))
		}
		fmt.Println("| " + strings.Join(fields, " | ") + " |")
	}
}
