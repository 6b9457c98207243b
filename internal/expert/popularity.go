package expert

import (
	"math"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Load is the number of tokens a step that choose each expert, by layer and expert, over
// all ranks of a group.
type Load [][]float64

// NewLoad returns a load of zeros.
func NewLoad(layers, experts int) Load {
	load := make(Load, layers)
	cells := make([]float64, layers*experts)
	for i := range load {
		load[i] = cells[i*experts : (i+1)*experts : (i+1)*experts]
	}
	return load
}

const countScale = 255

// ScaleCounts returns the counts of one layer, scaled so that the greatest fills a byte.
func ScaleCounts(tokens []uint64) LayerCounts {
	var greatest uint64
	for _, n := range tokens {
		greatest = max(greatest, n)
	}
	scaled := LayerCounts{Unit: float32(greatest) / countScale, Scaled: make([]byte, len(tokens))}
	if greatest == 0 {
		return scaled
	}
	for i, n := range tokens {
		scaled.Scaled[i] = byte(math.Round(float64(n) / float64(greatest) * countScale))
	}
	return scaled
}

// Tokens returns the number of tokens counted for an expert.
func (c LayerCounts) Tokens(expert int) float64 {
	return float64(c.Unit) * float64(c.Scaled[expert])
}

// DefaultHalfLife is the number of steps after which a count weighs half.
const DefaultHalfLife = 150

// PopularityConfig describes an estimate.
type PopularityConfig struct {
	Shape Shape
	// HalfLife is the number of steps after which a count weighs half; 0 means DefaultHalfLife.
	HalfLife float64
}

// Popularity estimates how many tokens choose each expert from counts that come late,
// twice, out of order, and from some ranks only. The order of reports does not change
// the estimate. It is not safe for concurrent use.
type Popularity struct {
	config     PopularityConfig
	generation Generation
	sources    map[ident.Instance]*countSource
	// reference is the step at which a count weighs 1; earlier is the number of steps of
	// earlier generations.
	reference Step
	earlier   Step
	counts    Load
	// rankSteps is the weighted number of steps counted, times ranks.
	rankSteps float64
}

// countSource keeps which reports of one agent were counted.
type countSource struct {
	greatest uint64
	// seen has bit i set if report greatest-i was counted.
	seen uint64
}

const seenWindow = 64

// NewPopularity returns an estimate without counts.
func NewPopularity(config PopularityConfig) *Popularity {
	if config.HalfLife <= 0 {
		config.HalfLife = DefaultHalfLife
	}
	return &Popularity{
		config:  config,
		sources: map[ident.Instance]*countSource{},
		counts:  NewLoad(config.Shape.Layers, config.Shape.Experts),
	}
}

// Add counts a report. It returns false for one that was counted already, that is of an
// earlier generation, or that does not fit the shape.
func (p *Popularity) Add(report Counts) bool {
	if !p.fits(report) || report.Generation.Compare(p.generation) < 0 {
		return false
	}
	if report.Generation != p.generation {
		p.renumber(report.Generation)
	}
	if !p.source(report.From).count(report.Sequence) {
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

func (p *Popularity) fits(report Counts) bool {
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

// renumber starts the steps of a new generation; what was counted before stays.
func (p *Popularity) renumber(generation Generation) {
	p.generation = generation
	p.earlier += p.reference
	p.reference = 0
	p.sources = map[ident.Instance]*countSource{}
}

// Steps returns the number of steps that reports tell of, over all generations.
func (p *Popularity) Steps() float64 {
	return float64(p.earlier + p.reference)
}

func (p *Popularity) source(from ident.Instance) *countSource {
	if p.sources[from] == nil {
		p.sources[from] = &countSource{}
	}
	return p.sources[from]
}

// count reports whether a report is new, and remembers it.
func (s *countSource) count(sequence uint64) bool {
	if sequence > s.greatest {
		s.seen <<= min(sequence-s.greatest, seenWindow)
		s.seen |= 1
		s.greatest = sequence
		return true
	}
	age := s.greatest - sequence
	if age >= seenWindow || s.seen&(1<<age) != 0 {
		return false
	}
	s.seen |= 1 << age
	return true
}

// advance moves the reference to a later step; what was counted fades.
func (p *Popularity) advance(until Step) {
	if until <= p.reference {
		return
	}
	fade := math.Exp2(-float64(until-p.reference) / p.config.HalfLife)
	p.reference = until
	p.rankSteps *= fade
	for _, layer := range p.counts {
		for expert := range layer {
			layer[expert] *= fade
		}
	}
}

func (p *Popularity) weight(until Step) float64 {
	return math.Exp2(-float64(p.reference-until) / p.config.HalfLife)
}

// Load returns the estimate for the whole group. Ranks that did not report are taken to
// be like those that did. It is all zero before the first report.
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
