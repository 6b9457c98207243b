package routes

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// policy is a named way to choose a backend server.
type policy struct {
	name string
	// prefixes is true if the policy uses cached prefixes, credits if an entry dispatches
	// only within its credits, the open requests that a lease allows it.
	prefixes bool
	credits  bool
	routing  func() routing.Policy
}

// openWork scores candidates by their number of open requests.
type openWork struct{}

// Cost implements routing.Scorer.
func (openWork) Cost(_ time.Time, _ *routing.Request, candidate *routing.Candidate, _ routing.Match) float64 {
	return float64(candidate.OpenWork())
}

// roundRobin chooses the candidates in turn.
type roundRobin struct{ next int }

// Choose implements routing.Chooser.
func (r *roundRobin) Choose(_ uint64, scored []routing.Scored) int {
	r.next++
	return r.next % len(scored)
}

func estimate() routing.Estimate {
	return routing.Estimate{PromptRate: float64(time.Second) / float64(promptTime), StepTime: stepBase, OutputTokens: 110, ServiceTime: time.Second}
}

// baselinePolicy returns a policy without credits, with the given scorers and chooser.
func baselinePolicy(chooser func() routing.Chooser, scorers ...routing.Scorer) func() routing.Policy {
	return func() routing.Policy {
		return routing.Policy{Filters: []routing.Filter{routing.Usable{}}, Scorers: scorers, Chooser: chooser(), Estimate: estimate()}
	}
}

// defaultPolicy returns the default policy after a change; change may be nil.
func defaultPolicy(change func(*routing.Policy)) func() routing.Policy {
	return func() routing.Policy {
		p := routing.DefaultPolicy(estimate())
		if change != nil {
			change(&p)
		}
		return p
	}
}

// policies returns the baselines, the default policy, and variants of the default policy that differ in
// one part.
func policies() []policy {
	return []policy{
		{name: "random", routing: baselinePolicy(func() routing.Chooser { return routing.Random{} })},
		{name: "round robin", routing: baselinePolicy(func() routing.Chooser { return &roundRobin{} })},
		{name: "least requests", routing: baselinePolicy(func() routing.Chooser { return routing.Cheapest{} }, openWork{})},
		{name: "two choices", routing: baselinePolicy(func() routing.Chooser { return routing.TwoChoices{} }, openWork{})},
		{name: "default", prefixes: true, credits: true, routing: defaultPolicy(nil)},
		{name: "default without prefixes", credits: true, routing: defaultPolicy(nil)},
		{name: "default without credits", prefixes: true, routing: defaultPolicy(withoutCredits)},
		{name: "default, of three and longest prefix", prefixes: true, credits: true, routing: defaultPolicy(func(p *routing.Policy) { p.Chooser = routing.Sampled{Count: 3} })},
		{name: "default, softmin 20 ms", prefixes: true, credits: true, routing: defaultPolicy(func(p *routing.Policy) { p.Chooser = routing.Softmin{Temperature: 0.02} })},
		{name: "default, cheapest", prefixes: true, credits: true, routing: defaultPolicy(func(p *routing.Policy) { p.Chooser = routing.Cheapest{} })},
		{name: "default, two choices", prefixes: true, credits: true, routing: defaultPolicy(func(p *routing.Policy) { p.Chooser = routing.TwoChoices{} })},
	}
}

func withoutCredits(p *routing.Policy) {
	kept := p.Filters[:0]
	for _, filter := range p.Filters {
		if _, credits := filter.(routing.WithinCredits); !credits {
			kept = append(kept, filter)
		}
	}
	p.Filters = kept
}
