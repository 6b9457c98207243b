package groups

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
)

// slowShapes are the groups of the users' deployments: one of 72 ranks, and two of 32, whose slow ranks are spread over both.
var slowShapes = []struct {
	name                          string
	groups, ranks, experts, slots int
}{
	{"72", 1, 72, 144, 3},
	{"2 x 32", 2, 32, 128, 5},
}

// slowJob is a row of the table: the figures of each policy over the seeds.
type slowJob struct {
	labels  []string
	cases   []slowCase
	figures [3][]slowFigures
}

// slowJobs returns all combinations of parameters.
func slowJobs() []*slowJob {
	durations := []struct {
		name             string
		duration, period time.Duration
	}{
		{"2 s", 2 * time.Second, 0},
		{"20 s", 20 * time.Second, 0},
		{"20 s, 0.5 s slow and 0.5 s not", 20 * time.Second, time.Second},
	}
	var jobs []*slowJob
	for _, shape := range slowShapes {
		usual := slowCase{ranks: shape.ranks, experts: shape.experts, slots: shape.slots, factor: 1, duration: 20 * time.Second}
		jobs = append(jobs, &slowJob{labels: []string{shape.name, "0", "1", "20 s"}, cases: []slowCase{usual}})
		for _, slow := range []int{1, 2, 8} {
			for _, factor := range []float64{1.3, 2, 4, 8} {
				for _, d := range durations {
					job := &slowJob{labels: []string{shape.name, fmt.Sprint(slow), fmt.Sprint(factor), d.name}}
					for group := range shape.groups {
						parameters := usual
						parameters.slowRanks, parameters.factor = (slow+shape.groups-1-group)/shape.groups, factor
						parameters.duration, parameters.flapPeriod = d.duration, d.period
						job.cases = append(job.cases, parameters)
					}
					jobs = append(jobs, job)
				}
			}
		}
	}
	return jobs
}

// run simulates all groups and policies of a job for one seed and returns the figures of each policy.
func (j *slowJob) run(seed uint64) [3]slowFigures {
	var results [3]slowFigures
	for policy := range results {
		sum := &results[policy]
		sum.detected, sum.mapped, sum.recovered = math.NaN(), math.NaN(), math.NaN()
		for group, parameters := range j.cases {
			figures := newSlowGroup(parameters, speedPolicy(policy), seed*uint64(len(slowShapes))+uint64(group)).run()
			share := 1 / float64(len(j.cases))
			sum.value += share * figures.value
			sum.pass += share * figures.pass
			sum.maps += share * figures.maps
			sum.detected = latest(sum.detected, figures.detected)
			sum.mapped = latest(sum.mapped, figures.mapped)
			sum.recovered = latest(sum.recovered, figures.recovered)
		}
	}
	return results
}

// latest returns the later of two times; NaN stands for none.
func latest(a, b float64) float64 {
	if math.IsNaN(a) || b > a {
		return b
	}
	return a
}

func runSlowMaps(ctx context.Context, params experiment.Params) (experiment.Result, error) {
	jobs := slowJobs()
	var group sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, maxWorkers)
	done := 0
	for _, job := range jobs {
		for policy := range job.figures {
			job.figures[policy] = make([]slowFigures, params.Seeds)
		}
		for seed := range params.Seeds {
			group.Add(1)
			slots <- struct{}{}
			go func() {
				defer func() { <-slots; group.Done() }()
				if ctx.Err() != nil {
					return
				}
				results := job.run(params.Seed + uint64(seed))
				mu.Lock()
				defer mu.Unlock()
				for policy, figures := range results {
					job.figures[policy][seed] = figures
				}
				done++
				params.ReportProgress(done, len(jobs)*params.Seeds)
			}()
		}
	}
	group.Wait()
	if err := ctx.Err(); err != nil {
		return experiment.Result{}, err
	}
	table := experiment.Table{
		Title:  "Expert maps while ranks are slow",
		Labels: []string{"ranks", "slow ranks", "times the work", "slow for"},
		Columns: []experiment.Column{
			{Name: "value: previous", Unit: "of a stream"},
			{Name: "estimate", Unit: "of a stream"},
			{Name: "oracle", Unit: "of a stream"},
			{Name: "pass: previous", Unit: "ms"},
			{Name: "estimate", Unit: "ms"},
			{Name: "oracle", Unit: "ms"},
			{Name: "maps: previous", Unit: "in force"},
			{Name: "maps: estimate", Unit: "in force"},
			{Name: "detected", Unit: "s"},
			{Name: "map", Unit: "s"},
			{Name: "recovered", Unit: "s"},
		},
	}
	for _, job := range jobs {
		table.Rows = append(table.Rows, experiment.Row{Labels: job.labels, Cells: job.cells()})
	}
	return experiment.Result{Tables: []experiment.Table{table}}, nil
}

// cells returns the cells of a job's row. A time that no seed has is 0.
func (j *slowJob) cells() []experiment.Cell {
	column := func(policy speedPolicy, figure func(slowFigures) float64) experiment.Cell {
		var values []float64
		for _, figures := range j.figures[policy] {
			if value := figure(figures); !math.IsNaN(value) {
				values = append(values, value)
			}
		}
		return newCell(values)
	}
	var cells []experiment.Cell
	for _, figure := range []func(slowFigures) float64{
		func(f slowFigures) float64 { return f.value }, func(f slowFigures) float64 { return f.pass },
	} {
		cells = append(cells, column(speedsUnknown, figure), column(speedsEstimated, figure), column(speedsKnown, figure))
	}
	maps := func(f slowFigures) float64 { return f.maps }
	return append(
		cells, column(speedsUnknown, maps), column(speedsEstimated, maps),
		column(speedsEstimated, func(f slowFigures) float64 { return f.detected }),
		column(speedsEstimated, func(f slowFigures) float64 { return f.mapped }),
		column(speedsEstimated, func(f slowFigures) float64 { return f.recovered }),
	)
}
