package expert

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// RankCounts holds what an engine counted on one rank over some steps.
type RankCounts struct {
	Rank       ident.Rank
	Generation Generation
	// Until is the last step counted, and Steps is the number of steps counted.
	Until Step
	Steps uint32
	// Tokens is the number of tokens routed to each expert, by layer and expert.
	Tokens [][]uint64
	// StepTime is the rank's mean compute time per step.
	StepTime time.Duration
}

// CountCollector adds up the counts of an agent's ranks for the reports to the group's leader.
// It is not safe for concurrent use.
type CountCollector struct {
	shape Shape
	group ident.Group
	self  ident.Instance
	// sequence is the number of the last report.
	sequence uint64
	// current holds the maximum Until and StepTime for the next report.
	current Counts
	// tokens holds the number of tokens counted, by layer and expert.
	tokens [][]uint64
	// rankSteps is the number of steps counted, summed over ranks.
	rankSteps uint64
	// ranks holds the ranks that were counted.
	ranks map[ident.Rank]bool
}

// NewCountCollector returns an empty collector. Reports carry group and self as their origin.
func NewCountCollector(group ident.Group, self ident.Instance, shape Shape) *CountCollector {
	c := &CountCollector{shape: shape, group: group, self: self}
	c.reset(Generation{})
	return c
}

func (c *CountCollector) reset(generation Generation) {
	c.current = Counts{Generation: generation}
	c.rankSteps = 0
	c.ranks = map[ident.Rank]bool{}
	c.tokens = make([][]uint64, c.shape.Layers)
	for layer := range c.tokens {
		c.tokens[layer] = make([]uint64, c.shape.Experts)
	}
}

// Add adds the counts of a rank. It returns false and ignores them if they do not match the
// shape or belong to an earlier generation. Counts of a later generation discard those
// collected so far.
func (c *CountCollector) Add(counted RankCounts) bool {
	if !c.matchesShape(counted) || counted.Generation.Compare(c.current.Generation) < 0 {
		return false
	}
	if counted.Generation != c.current.Generation {
		c.reset(counted.Generation)
	}
	for layer, tokens := range counted.Tokens {
		for expert, n := range tokens {
			c.tokens[layer][expert] += n
		}
	}
	c.rankSteps += uint64(counted.Steps)
	c.ranks[counted.Rank] = true
	c.current.Until = max(c.current.Until, counted.Until)
	c.current.StepTime = max(c.current.StepTime, counted.StepTime)
	return true
}

func (c *CountCollector) matchesShape(counted RankCounts) bool {
	if counted.Steps == 0 || len(counted.Tokens) != c.shape.Layers {
		return false
	}
	for _, tokens := range counted.Tokens {
		if len(tokens) != c.shape.Experts {
			return false
		}
	}
	return true
}

// Report returns the counts added since the last report and starts the next one. It returns
// false if there are none.
func (c *CountCollector) Report() (Counts, bool) {
	if c.rankSteps == 0 {
		return Counts{}, false
	}
	c.sequence++
	report := c.current
	report.Group = c.group
	report.From = c.self
	report.Sequence = c.sequence
	report.Ranks = uint16(len(c.ranks))
	report.Steps = uint32(max(1, c.rankSteps/uint64(len(c.ranks))))
	for _, tokens := range c.tokens {
		report.Layers = append(report.Layers, ScaleCounts(tokens))
	}
	c.reset(c.current.Generation)
	return report, true
}
