// Package output prints the results of experiments and writes them as CSV and PNG files.
package output

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
)

const (
	fileMode          = 0o644
	plotWidth         = 9 * vg.Inch
	plotHeight        = 5 * vg.Inch
	significantDigits = 4
)

// Print writes all tables of a result as aligned text, each value with its spread.
func Print(out io.Writer, result experiment.Result) error {
	for _, table := range result.Tables {
		fmt.Fprintf(out, "\n%s\n", table.Title)
		writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(writer, strings.Join(columnHeadings(table), "\t"))
		for _, row := range table.Rows {
			fmt.Fprintln(writer, strings.Join(append(append([]string(nil), row.Labels...), formatCells(row)...), "\t"))
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func columnHeadings(table experiment.Table) []string {
	names := append([]string(nil), table.Labels...)
	for _, column := range table.Columns {
		name := column.Name
		if column.Unit != "" {
			name += " [" + column.Unit + "]"
		}
		names = append(names, name)
	}
	return names
}

func formatCells(row experiment.Row) []string {
	var texts []string
	for _, cell := range row.Cells {
		text := formatNumber(cell.Mean)
		if cell.Spread > 0 {
			text += " ±" + formatNumber(cell.Spread)
		}
		texts = append(texts, text)
	}
	return texts
}

func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'g', significantDigits, 64)
}

// Write writes each table of a result as a CSV file and each plot as a PNG file. It creates the
// directory if needed and returns the paths of the files, also of those written before an error.
func Write(directory, name string, result experiment.Result) ([]string, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, err
	}
	var files []string
	for i, table := range result.Tables {
		file := filepath.Join(directory, fileName(name, i, len(result.Tables))+".csv")
		if err := writeTable(file, table); err != nil {
			return files, err
		}
		files = append(files, file)
	}
	for i, picture := range result.Plots {
		file := filepath.Join(directory, fileName(name, i, len(result.Plots))+".png")
		if err := writePlot(file, picture); err != nil {
			return files, err
		}
		files = append(files, file)
	}
	return files, nil
}

func fileName(name string, index, count int) string {
	if count == 1 {
		return name
	}
	return fmt.Sprintf("%s-%d", name, index+1)
}

func writeTable(file string, table experiment.Table) error {
	var text strings.Builder
	writer := csv.NewWriter(&text)
	names := append([]string(nil), table.Labels...)
	for _, column := range table.Columns {
		names = append(names, column.Name, column.Name+" spread")
	}
	if err := writer.Write(names); err != nil {
		return err
	}
	for _, row := range table.Rows {
		record := append([]string(nil), row.Labels...)
		for _, cell := range row.Cells {
			record = append(record, strconv.FormatFloat(cell.Mean, 'g', -1, 64), strconv.FormatFloat(cell.Spread, 'g', -1, 64))
		}
		if err := writer.Write(record); err != nil {
			return err
		}
	}
	writer.Flush()
	if err := writer.Error(); err != nil {
		return err
	}
	return os.WriteFile(file, []byte(text.String()), fileMode)
}

func writePlot(file string, picture experiment.Plot) error {
	p := plot.New()
	p.Title.Text = picture.Title
	p.X.Label.Text = picture.XLabel
	p.Y.Label.Text = picture.YLabel
	p.Legend.Top = true
	for i, series := range picture.Series {
		if len(series.X) != len(series.Y) {
			return fmt.Errorf("plot %q: series %q has %d x and %d y values", picture.Title, series.Name, len(series.X), len(series.Y))
		}
		line, points, err := plotter.NewLinePoints(pointsOf(series))
		if err != nil {
			return fmt.Errorf("plot %q: series %q: %w", picture.Title, series.Name, err)
		}
		line.Color = plotutil.Color(i)
		points.Color = plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(series.Name, line, points)
	}
	return p.Save(plotWidth, plotHeight, file)
}

func pointsOf(series experiment.Series) plotter.XYs {
	points := make(plotter.XYs, len(series.X))
	for i := range points {
		points[i].X = series.X[i]
		points[i].Y = series.Y[i]
	}
	return points
}
