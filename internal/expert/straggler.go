package expert

import "math"

// Defaults of a StragglerConfig, in the units of its fields.
const (
	DefaultStragglerSlowdown  = 0.15
	DefaultStragglerDeviation = 0.08
	DefaultFalseAlarm         = 1e-8
	DefaultMiss               = 1e-2
	// stragglerClipDeviations is the number of standard deviations, from the midpoint between a healthy
	// rank's and a straggler's step time, at which step times are clipped.
	stragglerClipDeviations = 2.0
)

// StragglerConfig configures a sequential test for a slow rank. Fields that are not positive are
// replaced by the defaults.
type StragglerConfig struct {
	// Slowdown is the relative increase of a straggler's step time over the median rank's.
	Slowdown float64
	// Deviation is the standard deviation of the following ratio for a healthy rank: its step
	// time divided by the median rank's step time.
	Deviation float64
	// FalseAlarm is the probability that one execution of the test finds a healthy rank to be a
	// straggler. Miss is the probability that it finds a straggler to be healthy.
	FalseAlarm float64
	Miss       float64
}

func (c StragglerConfig) withDefaults() StragglerConfig {
	if c.Slowdown <= 0 {
		c.Slowdown = DefaultStragglerSlowdown
	}
	if c.Deviation <= 0 {
		c.Deviation = DefaultStragglerDeviation
	}
	if c.FalseAlarm <= 0 {
		c.FalseAlarm = DefaultFalseAlarm
	}
	if c.Miss <= 0 {
		c.Miss = DefaultMiss
	}
	return c
}

// StragglerTest is Wald's sequential probability ratio test for one rank. It tests whether the
// rank's step time equals the median rank's or is longer by the configured slowdown. It restarts
// after each decision. Long step times are clipped, so that a single long step does not make a
// rank a straggler.
type StragglerTest struct {
	config StragglerConfig
	// upper and lower are the decision thresholds of logRatio.
	upper float64
	lower float64
	// logRatio is the log-likelihood ratio of straggler to healthy rank.
	logRatio float64
}

// NewStragglerTest returns a test without observations.
func NewStragglerTest(config StragglerConfig) *StragglerTest {
	config = config.withDefaults()
	return &StragglerTest{
		config: config,
		upper:  math.Log((1 - config.Miss) / config.FalseAlarm),
		lower:  math.Log(config.Miss / (1 - config.FalseAlarm)),
	}
}

// Observe adds an observation: the rank's step time divided by the median rank's. It returns true
// if the test decides that the rank is a straggler.
func (t *StragglerTest) Observe(timeOverMedian float64) bool {
	limit := 1 + t.config.Slowdown/2 + stragglerClipDeviations*t.config.Deviation
	excess := min(timeOverMedian, limit) - 1
	variance := t.config.Deviation * t.config.Deviation
	t.logRatio += t.config.Slowdown / variance * (excess - t.config.Slowdown/2)
	switch {
	case t.logRatio >= t.upper:
		t.logRatio = 0
		return true
	case t.logRatio <= t.lower:
		t.logRatio = 0
	}
	return false
}
