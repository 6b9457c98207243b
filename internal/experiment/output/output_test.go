package output_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/experiment/output"
)

func result() experiment.Result {
	return experiment.Result{
		Tables: []experiment.Table{{
			Title:   "skew",
			Labels:  []string{"policy"},
			Columns: []experiment.Column{{Name: "skew", Unit: "ratio"}},
			Rows: []experiment.Row{
				{Labels: []string{"static"}, Cells: []experiment.Cell{{Mean: 1.5, Spread: 0.25}}},
				{Labels: []string{"planned"}, Cells: []experiment.Cell{{Mean: 1.125}}},
			},
		}},
		Plots: []experiment.Plot{{Title: "skew", Series: []experiment.Series{{Name: "a", X: []float64{1, 2}, Y: []float64{3, 4}}}}},
	}
}

// TestPrintShowsFiguresWithSpread checks that a spread follows each mean unless it is zero.
func TestPrintShowsFiguresWithSpread(t *testing.T) {
	c := qt.New(t)
	var text strings.Builder
	c.Assert(output.Print(&text, result()), qt.IsNil)
	c.Assert(text.String(), qt.Equals, "\nskew\npolicy   skew [ratio]\nstatic   1.5 ±0.25\nplanned  1.125\n")
}

// TestWriteCreatesCSVAndPNG checks the header and rows of the CSV file and the type of the plot file.
func TestWriteCreatesCSVAndPNG(t *testing.T) {
	c := qt.New(t)
	files, err := output.Write(t.TempDir(), "groups", result())
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.HasLen, 2)
	table, err := os.ReadFile(files[0])
	c.Assert(err, qt.IsNil)
	c.Assert(string(table), qt.Equals, "policy,skew,skew spread\nstatic,1.5,0.25\nplanned,1.125,0\n")
	picture, err := os.ReadFile(files[1])
	c.Assert(err, qt.IsNil)
	c.Assert(string(picture[1:4]), qt.Equals, "PNG")
}

// TestWriteRejectsSeriesOfDifferentLengths guards against a panic on a series with fewer y than x values.
func TestWriteRejectsSeriesOfDifferentLengths(t *testing.T) {
	c := qt.New(t)
	mismatched := result()
	mismatched.Plots[0].Series[0].Y = nil
	_, err := output.Write(t.TempDir(), "groups", mismatched)
	c.Assert(err, qt.ErrorMatches, `.*series "a" has 2 x and 0 y values`)
}
