package expert

import "math"

// Defaults of a StragglerConfig.
const (
	DefaultStragglerSlowdown  = 0.15
	DefaultStragglerDeviation = 0.08
	DefaultFalseAlarm         = 1e-8
	DefaultMiss               = 1e-2
	stragglerClip             = 2.0
)

// StragglerConfig describes a sequential test for a slow rank.
type StragglerConfig struct {
	// Slowdown is the part by which a straggler's steps take longer than the median rank's.
	Slowdown float64
	// Deviation is the standard deviation of a healthy rank's step time over the median's.
	Deviation float64
	// FalseAlarm and Miss are the error rates of one run of the test.
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

// StragglerTest is Wald's sequential probability ratio test for one rank: is its step
// time that of the median rank, or longer by the configured slowdown? It starts anew
// whenever it finds the rank healthy. Single long steps are clipped, so that a hiccup is
// no straggler.
type StragglerTest struct {
	config StragglerConfig
	upper  float64
	lower  float64
	ratio  float64
}

// NewStragglerTest returns a test that has seen no step.
func NewStragglerTest(config StragglerConfig) *StragglerTest {
	config = config.withDefaults()
	return &StragglerTest{
		config: config,
		upper:  math.Log((1 - config.Miss) / config.FalseAlarm),
		lower:  math.Log(config.Miss / (1 - config.FalseAlarm)),
	}
}

// Observe takes in one step: the rank's time over the median rank's. It returns true
// when the rank is found to be a straggler; the test then starts anew.
func (t *StragglerTest) Observe(timeOverMedian float64) bool {
	limit := 1 + t.config.Slowdown/2 + stragglerClip*t.config.Deviation
	x := min(timeOverMedian, limit) - 1
	variance := t.config.Deviation * t.config.Deviation
	t.ratio += t.config.Slowdown / variance * (x - t.config.Slowdown/2)
	switch {
	case t.ratio >= t.upper:
		t.ratio = 0
		return true
	case t.ratio <= t.lower:
		t.ratio = 0
	}
	return false
}
