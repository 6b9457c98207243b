package routes

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// The model of a lock-step group. The tokens and the KV cache of a request stay at the rank to which it
// was dispatched. The slowest rank determines the duration of a step.
const (
	// rankPromptPerStep is the most prompt tokens that a rank processes in one step.
	rankPromptPerStep = 512
	// rankCache is the capacity of a rank's KV cache in tokens.
	rankCache = 100_000
	// cacheTime is the time that reading one cached token adds to a step.
	cacheTime = 300 * time.Nanosecond
	// rankReportInterval is the time between two load reports of the ranks.
	rankReportInterval = 500 * time.Millisecond
	rankDuration       = 60 * time.Second
	// rankWarmUp is the time at the start that the results leave out.
	rankWarmUp = 10 * time.Second
)

// rankLoad is the load of one rank; cache is the number of cached tokens.
type rankLoad struct {
	calls []*call
	cache int
}

// tokens returns the number of prompt tokens still to process.
func (r *rankLoad) tokens() int {
	tokens := 0
	for _, c := range r.calls {
		tokens += c.promptLeft
	}
	return tokens
}

// step processes one step of the rank and returns its duration without stepBase.
func (r *rankLoad) step() time.Duration {
	budget, processed, generating := rankPromptPerStep, 0, 0
	kept := r.calls[:0]
	for _, c := range r.calls {
		part := min(c.promptLeft, budget)
		c.promptLeft -= part
		budget -= part
		processed += part
		r.cache += part
		if c.promptLeft == 0 {
			generating++
			c.outputLeft--
			r.cache++
		}
		if c.outputLeft <= 0 {
			r.cache -= c.prompt + c.output
			continue
		}
		kept = append(kept, c)
	}
	r.calls = kept
	return time.Duration(processed)*promptTime + time.Duration(generating)*stepPerRequest + time.Duration(r.cache)*cacheTime
}

// rankPolicy chooses the index of a rank from the state of one entry; draw is a random number.
type rankPolicy struct {
	name   string
	choose func(e *rankEntry, draw uint64) int
}

// rankEntry is the state of one entry: the last reports of the ranks plus its own dispatches since.
type rankEntry struct {
	ranks    []routing.Rank
	requests []int
	next     int
}

func byChooser(chooser routing.RankChooser) func(*rankEntry, uint64) int {
	return func(e *rankEntry, draw uint64) int { return int(chooser.Choose(draw, e.ranks)) }
}

func rankPolicies() []rankPolicy {
	return []rankPolicy{
		{"random", func(e *rankEntry, draw uint64) int { return int(draw % uint64(len(e.ranks))) }},
		{"round robin", func(e *rankEntry, _ uint64) int { e.next++; return e.next % len(e.ranks) }},
		{"least requests", func(e *rankEntry, draw uint64) int { return leastOf(e.requests, draw) }},
		{"tokens alone", byChooser(routing.RankChooser{TokenCost: promptTime})},
		{"cache alone", byChooser(routing.RankChooser{CacheCost: rankCache * cacheTime})},
		{"default", byChooser(routing.DefaultRankChooser())},
		{"tokens and cache, cache once", byChooser(routing.RankChooser{TokenCost: promptTime, CacheCost: rankCache * cacheTime})},
		{"tokens and cache, cache 32 times", byChooser(routing.RankChooser{TokenCost: promptTime, CacheCost: 32 * rankCache * cacheTime})},
		{"tokens and cache, two choices", func(e *rankEntry, draw uint64) int {
			first, second := int(draw%uint64(len(e.ranks))), int(draw>>32%uint64(len(e.ranks)))
			pair := []routing.Rank{e.ranks[first], e.ranks[second]}
			return byChooser(routing.DefaultRankChooser())(&rankEntry{ranks: pair}, draw)
		}},
	}
}

// leastOf returns the index of the smallest count; draw breaks ties.
func leastOf(counts []int, draw uint64) int {
	start := int(draw % uint64(len(counts)))
	best := start
	for i := range counts {
		at := (start + i) % len(counts)
		if counts[at] < counts[best] {
			best = at
		}
	}
	return best
}

// rankWorld simulates one lock-step group and its entries. skews and steps hold one value per measured
// step, steps in seconds; waited is the total time that ranks waited for the slowest one.
type rankWorld struct {
	ranks   []rankLoad
	entries []*rankEntry
	policy  rankPolicy
	random  *rand.Rand
	skews   []float64
	steps   []float64
	waited  time.Duration
	tokens  int
}

func newRankWorld(ranks, entries int, policy rankPolicy, seed uint64) *rankWorld {
	w := &rankWorld{ranks: make([]rankLoad, ranks), policy: policy, random: rand.New(rand.NewPCG(seed, 4))}
	for range entries {
		e := &rankEntry{ranks: make([]routing.Rank, ranks), requests: make([]int, ranks)}
		w.entries = append(w.entries, e)
		w.report(e)
	}
	return w
}

func (w *rankWorld) report(e *rankEntry) {
	for i := range w.ranks {
		e.ranks[i] = routing.Rank{Rank: ident.Rank(i), Tokens: w.ranks[i].tokens(), CacheUsed: float64(w.ranks[i].cache) / rankCache}
		e.requests[i] = len(w.ranks[i].calls)
	}
}

// arrive dispatches a random call from a random entry.
func (w *rankWorld) arrive() {
	e := w.entries[w.random.IntN(len(w.entries))]
	prompt := 50 + int(math.Exp(6+w.random.NormFloat64()))
	output := 20 + int(math.Exp(4.8+0.8*w.random.NormFloat64()))
	c := &call{prompt: min(prompt, 8000), output: min(output, 2000)}
	c.promptLeft, c.outputLeft = c.prompt, c.output
	at := w.policy.choose(e, w.random.Uint64())
	w.ranks[at].calls = append(w.ranks[at].calls, c)
	e.ranks[at].Tokens += c.prompt
	e.requests[at]++
}

// run simulates the group for rankDuration; rate is the number of calls per second and rank. It returns
// one value per column of the table.
func (w *rankWorld) run(rate float64) []float64 {
	var now, reported time.Duration
	dueCalls := 0.0
	for now < rankDuration {
		step := w.step(now > rankWarmUp)
		now += step
		dueCalls += rate * float64(len(w.ranks)) * step.Seconds()
		for ; dueCalls >= 1; dueCalls-- {
			w.arrive()
		}
		if now-reported >= rankReportInterval {
			reported = now
			for _, e := range w.entries {
				w.report(e)
			}
		}
	}
	seconds := (rankDuration - rankWarmUp).Seconds()
	slices.Sort(w.steps)
	return []float64{
		stat.Mean(w.skews, nil),
		stat.Mean(w.steps, nil),
		quantile(w.steps, 0.95),
		w.waited.Seconds() / seconds / float64(len(w.ranks)),
		float64(w.tokens) / seconds / float64(len(w.ranks)),
	}
}

// step processes one step of all ranks and returns its duration.
func (w *rankWorld) step(measured bool) time.Duration {
	var worst, sum time.Duration
	// openCalls counts the calls at all ranks, including those that still process their prompt.
	openCalls := 0
	for i := range w.ranks {
		before := len(w.ranks[i].calls)
		took := w.ranks[i].step()
		worst, sum = max(worst, took), sum+took
		openCalls += before
	}
	mean := sum / time.Duration(len(w.ranks))
	if measured && mean > 0 {
		w.skews = append(w.skews, float64(worst)/float64(mean))
		w.steps = append(w.steps, (stepBase + worst).Seconds())
		w.waited += worst*time.Duration(len(w.ranks)) - sum
		w.tokens += openCalls
	}
	return stepBase + worst
}

func runRanks(ctx context.Context, params experiment.Params) (experiment.Result, error) {
	table := experiment.Table{
		Title:  "Choice of the rank within a group",
		Labels: []string{"ranks", "calls a second and rank", "policy"},
		Columns: []experiment.Column{
			{Name: "worst rank over mean", Unit: "ratio"},
			{Name: "step, mean", Unit: "s"},
			{Name: "step, 95 in 100", Unit: "s"},
			{Name: "time waited by a rank", Unit: "share"},
			{Name: "tokens of a rank", Unit: "1/s"},
		},
	}
	cases := []struct {
		ranks int
		rate  float64
	}{{8, 2}, {8, 5}, {16, 2}, {16, 5}, {64, 2}, {64, 5}}
	done := 0
	for _, c := range cases {
		for _, policy := range rankPolicies() {
			var samples [][]float64
			for i := range params.Seeds {
				if err := ctx.Err(); err != nil {
					return experiment.Result{}, err
				}
				const entries = 4
				samples = append(samples, newRankWorld(c.ranks, entries, policy, params.Seed+uint64(i)).run(c.rate))
				done++
				params.ReportProgress(done, len(cases)*len(rankPolicies())*params.Seeds)
			}
			labels := []string{fmt.Sprint(c.ranks), fmt.Sprint(c.rate), policy.name}
			table.Rows = append(table.Rows, experiment.Row{Labels: labels, Cells: cells(samples)})
		}
	}
	return experiment.Result{Tables: []experiment.Table{table}}, nil
}
