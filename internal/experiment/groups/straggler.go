package groups

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/expert"
)

// Parameters of the simulated steps and of the detectors. Step times are ratios to the median rank's.
const (
	// healthySteps and slowSteps are the steps simulated for false alarms and for one detection.
	healthySteps = 1_000_000
	slowSteps    = 2_000
	// stepDeviation is the standard deviation of the log of the step times.
	stepDeviation = 0.05
	// A step takes spikeFactor times as long with spikeProbability.
	spikeProbability = 0.01
	spikeFactor      = 2.0
	// Thresholds are ratios to the median rank's step time.
	stepThreshold    = 1.3
	windowSteps      = 32
	shortWindowSteps = 16
	windowThreshold  = 1.10
	// slowRuns is the number of repetitions per seed with a slow rank.
	slowRuns = 50
)

// detector detects a straggler from the step times of one rank, each divided by the median rank's.
// Observe records one step and reports whether the detector raises an alarm.
type detector interface {
	Observe(timeOverMedian float64) bool
}

// thresholdDetector raises an alarm at each step over stepThreshold.
type thresholdDetector struct{}

// Observe implements detector.
func (thresholdDetector) Observe(x float64) bool { return x > stepThreshold }

// windowDetector raises an alarm when the mean of a full window exceeds windowThreshold. The next window
// starts empty.
type windowDetector struct {
	ratios []float64
}

// Observe implements detector.
func (d *windowDetector) Observe(x float64) bool {
	d.ratios = append(d.ratios, x)
	if len(d.ratios) < windowSteps {
		return false
	}
	sum := 0.0
	for _, ratio := range d.ratios {
		sum += ratio
	}
	d.ratios = d.ratios[:0]
	return sum/windowSteps > windowThreshold
}

// medianDetector raises an alarm when the median of a sliding window exceeds windowThreshold.
type medianDetector struct {
	size   int
	ratios []float64
}

// Observe implements detector.
func (d *medianDetector) Observe(x float64) bool {
	d.ratios = append(d.ratios, x)
	if len(d.ratios) < d.size {
		return false
	}
	sorted := slices.Clone(d.ratios)
	slices.Sort(sorted)
	d.ratios = d.ratios[1:]
	return sorted[d.size/2] > windowThreshold
}

var detectors = []struct {
	name  string
	build func() detector
}{
	{"one step over 1.3", func() detector { return thresholdDetector{} }},
	{"mean of 32 steps over 1.1", func() detector { return &windowDetector{} }},
	{"median of 32 steps over 1.1", func() detector { return &medianDetector{size: windowSteps} }},
	{"median of 16 steps over 1.1", func() detector { return &medianDetector{size: shortWindowSteps} }},
	{"sequential test", func() detector { return expert.NewStragglerTest(expert.StragglerConfig{}) }},
}

// stepTime returns a random step time of a rank, divided by the median rank's. slowdown is the fraction
// by which the rank is slower.
func stepTime(random *rand.Rand, slowdown float64) float64 {
	x := (1 + slowdown) * math.Exp(stepDeviation*random.NormFloat64())
	if random.Float64() < spikeProbability {
		x *= spikeFactor
	}
	return x
}

func runStragglers(ctx context.Context, params experiment.Params) (experiment.Result, error) {
	table := experiment.Table{
		Title:  "Finding a straggling rank",
		Labels: []string{"slowdown", "detector"},
		Columns: []experiment.Column{
			{Name: "false alarms", Unit: "per million steps"},
			{Name: "time to find", Unit: "steps"},
			{Name: "missed", Unit: "% in 2000 steps"},
		},
	}
	slowdowns := []float64{0.1, 0.15, 0.2, 0.5}
	for i, slowdown := range slowdowns {
		for _, d := range detectors {
			if err := ctx.Err(); err != nil {
				return experiment.Result{}, err
			}
			var alarms, delays, missed []float64
			for seed := range params.Seeds {
				random := rand.New(rand.NewPCG(params.Seed+uint64(seed), 4))
				alarms = append(alarms, falseAlarms(random, d.build()))
				delay, miss := detectionDelay(random, d.build, slowdown)
				delays = append(delays, delay)
				missed = append(missed, miss)
			}
			table.Rows = append(table.Rows, experiment.Row{
				Labels: []string{fmt.Sprintf("%.0f%%", slowdown*100), d.name},
				Cells:  []experiment.Cell{newCell(alarms), newCell(delays), newCell(missed)},
			})
		}
		params.ReportProgress(i+1, len(slowdowns))
	}
	return experiment.Result{Tables: []experiment.Table{table}}, nil
}

// falseAlarms returns the alarms per million steps on a healthy rank.
func falseAlarms(random *rand.Rand, d detector) float64 {
	alarms := 0
	for range healthySteps {
		if d.Observe(stepTime(random, 0)) {
			alarms++
		}
	}
	return float64(alarms) * 1e6 / healthySteps
}

// detectionDelay returns the mean number of steps until a slow rank is detected, and the percentage of
// slow ranks that are not detected within slowSteps.
func detectionDelay(random *rand.Rand, build func() detector, slowdown float64) (float64, float64) {
	steps, missed := 0, 0
	for range slowRuns {
		d := build()
		found := slowSteps
		for step := range slowSteps {
			if d.Observe(stepTime(random, slowdown)) {
				found = step + 1
				break
			}
		}
		if found == slowSteps {
			missed++
		}
		steps += found
	}
	return float64(steps) / slowRuns, float64(missed) * 100 / slowRuns
}
