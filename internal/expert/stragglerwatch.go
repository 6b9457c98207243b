package expert

import (
	"cmp"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Parameters of a StragglerWatch.
const (
	// reportDeviation is the standard deviation of the following ratio for a healthy agent: the
	// mean step time in its report, divided by the median agent's step time.
	reportDeviation = 0.04
	// minAgents is the minimum number of agents for a meaningful median.
	minAgents = 3
)

// StragglerWatch detects agents with a straggling rank from the step times in their reports. It
// is not safe for concurrent use.
type StragglerWatch struct {
	config StragglerConfig
	agents map[ident.Instance]*watchedAgent
}

// watchedAgent is the state of one agent.
type watchedAgent struct {
	lastSequence uint64
	// stepSeconds is the step time in the last report, in seconds; 0 before the first one.
	stepSeconds float64
	test        *StragglerTest
}

// NewStragglerWatch returns a watch without agents. A Deviation of 0 means the deviation of a mean
// step time in a report, which is smaller than that of a single step.
func NewStragglerWatch(config StragglerConfig) *StragglerWatch {
	config.Deviation = cmp.Or(config.Deviation, reportDeviation)
	return &StragglerWatch{config: config, agents: map[ident.Instance]*watchedAgent{}}
}

// Add adds a report and returns true if the test decides that its sender has a straggling rank.
// It ignores reports that are duplicated or out of order. It tests no agent until three have
// reported.
func (w *StragglerWatch) Add(report Counts) bool {
	source := w.agents[report.From]
	if source == nil {
		source = &watchedAgent{test: NewStragglerTest(w.config)}
		w.agents[report.From] = source
	}
	if report.Sequence <= source.lastSequence || report.StepTime <= 0 {
		return false
	}
	source.lastSequence = report.Sequence
	source.stepSeconds = report.StepTime.Seconds()
	median, found := w.median()
	return found && source.test.Observe(source.stepSeconds/median)
}

// Remove removes an agent that left the group.
func (w *StragglerWatch) Remove(from ident.Instance) {
	delete(w.agents, from)
}

// median returns the median of the agents' latest step times in seconds, and false if there are
// too few.
func (w *StragglerWatch) median() (float64, bool) {
	var times []float64
	for _, source := range w.agents {
		if source.stepSeconds > 0 {
			times = append(times, source.stepSeconds)
		}
	}
	if len(times) < minAgents {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)/2], true
}
