package expert

import (
	"math"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Load holds the number of tokens routed to each expert, by layer and expert, over all ranks of
// a group. It is in tokens per step unless its producer says otherwise.
type Load [][]float64

// NewLoad returns an all-zero load.
func NewLoad(layers, experts int) Load {
	load := make(Load, layers)
	cells := make([]float64, layers*experts)
	for i := range load {
		load[i] = cells[i*experts : (i+1)*experts : (i+1)*experts]
	}
	return load
}

// maxScaledCount is the byte to which ScaleCounts scales the largest count.
const maxScaledCount = 255

// ScaleCounts returns the counts of one layer as bytes, scaled so that the largest is 255.
func ScaleCounts(tokens []uint64) LayerCounts {
	var largest uint64
	for _, n := range tokens {
		largest = max(largest, n)
	}
	scaled := LayerCounts{Unit: float32(largest) / maxScaledCount, Scaled: make([]byte, len(tokens))}
	if largest == 0 {
		return scaled
	}
	for i, n := range tokens {
		scaled.Scaled[i] = byte(math.Round(float64(n) / float64(largest) * maxScaledCount))
	}
	return scaled
}

// Tokens returns the approximate number of tokens counted for an expert.
func (c LayerCounts) Tokens(expert int) float64 {
	return float64(c.Unit) * float64(c.Scaled[expert])
}

// DefaultHalfLife is the default of PopularityConfig.HalfLife, in steps.
const DefaultHalfLife = 75

// PopularityConfig sets the shape and the half-life of an estimate.
type PopularityConfig struct {
	Shape Shape
	// HalfLife is the number of steps after which a count has half its weight; 0 means
	// DefaultHalfLife.
	HalfLife float64
}

// Popularity estimates the load of each expert from reports of counts, which may be delayed,
// duplicated, out of order and from only some ranks. The estimate does not depend on the order
// of the reports of a generation. Popularity is not safe for concurrent use.
type Popularity struct {
	config     PopularityConfig
	generation Generation
	sources    map[ident.Instance]*reportWindow
	// referenceStep is the latest step reported, at which a count has weight 1. earlierSteps
	// is the number of steps of earlier generations.
	referenceStep Step
	earlierSteps  Step
	// counts is the weighted number of tokens routed to each expert.
	counts Load
	// rankSteps is the weighted number of steps counted, summed over ranks.
	rankSteps float64
}

// reportWindow records which reports of one agent were counted.
type reportWindow struct {
	maxSequence uint64
	// received has bit i set if report maxSequence-i was counted.
	received uint64
}

// reportWindowSize is the number of sequence numbers, up to the highest, in which reports are
// accepted. It is the number of bits of reportWindow.received.
const reportWindowSize = 64

// NewPopularity returns an empty estimate.
func NewPopularity(config PopularityConfig) *Popularity {
	if config.HalfLife <= 0 {
		config.HalfLife = DefaultHalfLife
	}
	return &Popularity{
		config:  config,
		sources: map[ident.Instance]*reportWindow{},
		counts:  NewLoad(config.Shape.Layers, config.Shape.Experts),
	}
}

// Add adds a report to the estimate. It returns false and ignores the report if it was counted
// before, precedes the last 64 sequence numbers of its agent, belongs to an earlier generation,
// or does not match the shape.
func (p *Popularity) Add(report Counts) bool {
	if !p.matchesShape(report) || report.Generation.Compare(p.generation) < 0 {
		return false
	}
	if report.Generation != p.generation {
		p.startGeneration(report.Generation)
	}
	if !p.source(report.From).markReceived(report.Sequence) {
		return false
	}
	p.advance(report.Until)
	weight := p.weight(report.Until)
	p.rankSteps += weight * float64(report.Steps) * float64(report.Ranks)
	for layer, counts := range report.Layers {
		for expert := range counts.Scaled {
			p.counts[layer][expert] += weight * counts.Tokens(expert)
		}
	}
	return true
}

func (p *Popularity) matchesShape(report Counts) bool {
	if len(report.Layers) != p.config.Shape.Layers || report.Steps == 0 || report.Ranks == 0 {
		return false
	}
	for _, counts := range report.Layers {
		if len(counts.Scaled) != p.config.Shape.Experts || !(counts.Unit >= 0) || math.IsInf(float64(counts.Unit), 0) {
			return false
		}
	}
	return true
}

// startGeneration starts the step numbers of a new generation. Earlier counts are kept.
func (p *Popularity) startGeneration(generation Generation) {
	p.generation = generation
	p.earlierSteps += p.referenceStep
	p.referenceStep = 0
	p.sources = map[ident.Instance]*reportWindow{}
}

// Steps returns the number of steps covered by reports, over all generations.
func (p *Popularity) Steps() float64 {
	return float64(p.earlierSteps + p.referenceStep)
}

func (p *Popularity) source(from ident.Instance) *reportWindow {
	if p.sources[from] == nil {
		p.sources[from] = &reportWindow{}
	}
	return p.sources[from]
}

// markReceived records a report and returns whether it is new.
func (s *reportWindow) markReceived(sequence uint64) bool {
	if sequence > s.maxSequence {
		s.received <<= min(sequence-s.maxSequence, reportWindowSize)
		s.received |= 1
		s.maxSequence = sequence
		return true
	}
	age := s.maxSequence - sequence
	if age >= reportWindowSize || s.received&(1<<age) != 0 {
		return false
	}
	s.received |= 1 << age
	return true
}

// advance moves the reference to a later step and reduces the weight of earlier counts.
func (p *Popularity) advance(until Step) {
	if until <= p.referenceStep {
		return
	}
	decay := math.Exp2(-float64(until-p.referenceStep) / p.config.HalfLife)
	p.referenceStep = until
	p.rankSteps *= decay
	for _, layer := range p.counts {
		for expert := range layer {
			layer[expert] *= decay
		}
	}
}

func (p *Popularity) weight(until Step) float64 {
	return math.Exp2(-float64(p.referenceStep-until) / p.config.HalfLife)
}

// Load returns the estimate for the whole group, in tokens per step. It assumes that ranks
// without reports have the same load as those with reports. It is all zero before the first
// report.
func (p *Popularity) Load() Load {
	load := NewLoad(p.config.Shape.Layers, p.config.Shape.Experts)
	if p.rankSteps == 0 {
		return load
	}
	factor := float64(p.config.Shape.Ranks) / p.rankSteps
	for layer := range load {
		for expert, tokens := range p.counts[layer] {
			load[layer][expert] = tokens * factor
		}
	}
	return load
}
