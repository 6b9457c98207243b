package groups

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Parameters of the agents' reports of counts; times are in ticks.
const (
	ranksPerAgent = 8
	// reportTicks is the time between two reports of an agent, maxDelayTicks the longest delay of one.
	reportTicks   = 10
	maxDelayTicks = 4
	// lossProbability is the probability that a report is lost.
	lossProbability = 0.1
	// idleShare is the fraction of the agents that send no reports.
	idleShare = 0.25
	// biasLogDeviation is the standard deviation of the log of an agent's bias per expert.
	biasLogDeviation = 0.2
)

// reporters simulates the agents of a group, which count the tokens per expert of their own ranks.
// pending holds the sent reports by the tick of their arrival.
type reporters struct {
	shape   expert.Shape
	random  *rand.Rand
	agents  []reporter
	pending map[int][]expert.Counts
}

// reporter is one agent. The popularity among its ranks is that of the group multiplied by bias.
type reporter struct {
	idle     bool
	ranks    int
	sequence uint64
	bias     expert.Load
	counted  expert.Load
}

func newReporters(shape expert.Shape, seed uint64) *reporters {
	r := &reporters{shape: shape, random: rand.New(rand.NewPCG(seed, 2)), pending: map[int][]expert.Counts{}}
	agents := max(2, shape.Ranks/ranksPerAgent)
	for i := range agents {
		agent := reporter{
			idle:    float64(i) < idleShare*float64(agents) && i < agents-1,
			ranks:   shape.Ranks / agents,
			bias:    expert.NewLoad(shape.Layers, shape.Experts),
			counted: expert.NewLoad(shape.Layers, shape.Experts),
		}
		for _, layer := range agent.bias {
			for e := range layer {
				layer[e] = math.Exp(biasLogDeviation * r.random.NormFloat64())
			}
		}
		r.agents = append(r.agents, agent)
	}
	return r
}

// count adds the tokens of a tick to the agents' counts and returns the reports that arrive in it.
func (r *reporters) count(tick int, popularity expert.Load) []expert.Counts {
	for i := range r.agents {
		agent := &r.agents[i]
		if agent.idle {
			continue
		}
		agent.add(popularity, r.shape.Ranks)
		if (tick+i)%reportTicks == reportTicks-1 {
			r.send(tick, i, agent)
		}
	}
	arrived := r.pending[tick]
	delete(r.pending, tick)
	return arrived
}

func (a *reporter) add(popularity expert.Load, ranks int) {
	part := float64(a.ranks) / float64(ranks) * stepsPerTick
	for l, layer := range a.counted {
		for e := range layer {
			layer[e] += popularity[l][e] * a.bias[l][e] * part
		}
	}
}

func (r *reporters) send(tick, index int, agent *reporter) {
	agent.sequence++
	report := expert.Counts{
		From:     ident.Instance{VM: ident.VM(fmt.Sprintf("vm%d", index)), Incarnation: 1},
		Sequence: agent.sequence,
		Until:    expert.Step((tick + 1) * stepsPerTick),
		Steps:    reportTicks * stepsPerTick,
		Ranks:    uint16(agent.ranks),
	}
	for _, layer := range agent.counted {
		counts := make([]uint64, len(layer))
		for e, mean := range sample(r.random, layer) {
			counts[e] = uint64(mean)
			layer[e] = 0
		}
		report.Layers = append(report.Layers, expert.ScaleCounts(counts))
	}
	if r.random.Float64() < lossProbability {
		return
	}
	due := tick + 1 + r.random.IntN(maxDelayTicks)
	r.pending[due] = append(r.pending[due], report)
}
