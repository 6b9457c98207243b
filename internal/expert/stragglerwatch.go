package expert

import (
	"cmp"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Parameters of a StragglerWatch.
const (
	// reportDeviation is the deviation of a healthy agent's mean step time over a report.
	reportDeviation = 0.04
	// leastAgents is the number of agents from which a median means something.
	leastAgents = 3
)

// StragglerWatch finds agents with a slow rank from the step times in reports of counts.
// It is not safe for concurrent use.
type StragglerWatch struct {
	config  StragglerConfig
	sources map[ident.Instance]*watchedSource
}

type watchedSource struct {
	sequence uint64
	seconds  float64
	test     *StragglerTest
}

// NewStragglerWatch returns a watch without reports. A Deviation of 0 means that of the
// mean step time over a report.
func NewStragglerWatch(config StragglerConfig) *StragglerWatch {
	config.Deviation = cmp.Or(config.Deviation, reportDeviation)
	return &StragglerWatch{config: config, sources: map[ident.Instance]*watchedSource{}}
}

// Add takes in a report. It returns true if the agent that sent it has a straggling rank.
// Late and doubled reports are ignored, and so are all until three agents have reported.
func (w *StragglerWatch) Add(report Counts) bool {
	source := w.sources[report.From]
	if source == nil {
		source = &watchedSource{test: NewStragglerTest(w.config)}
		w.sources[report.From] = source
	}
	if report.Sequence <= source.sequence || report.StepTime <= 0 {
		return false
	}
	source.sequence = report.Sequence
	source.seconds = report.StepTime.Seconds()
	median, found := w.median()
	return found && source.test.Observe(source.seconds/median)
}

// Forget drops an agent that left the group.
func (w *StragglerWatch) Forget(from ident.Instance) {
	delete(w.sources, from)
}

func (w *StragglerWatch) median() (float64, bool) {
	var times []float64
	for _, source := range w.sources {
		if source.seconds > 0 {
			times = append(times, source.seconds)
		}
	}
	if len(times) < leastAgents {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)/2], true
}
