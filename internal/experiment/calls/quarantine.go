package calls

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

const (
	poisonBody = "poison"
	// poisonAt is the time of the first poisoned call since the start of the simulation.
	poisonAt       = 10 * time.Second
	poisonInterval = 4 * time.Second
	// crashAfter is the time from the start of a poisoned run to the crash of its backend server.
	crashAfter = 300 * time.Millisecond
	// backendRestart is the time for which a backend server is down after a crash.
	backendRestart = 5 * time.Second
	draftInterval  = 25 * time.Millisecond
	// draftMean is the mean duration of a run of the other calls.
	draftMean = 1500 * time.Millisecond
	// quarantineEnd is the length of the simulation.
	quarantineEnd    = 90 * time.Second
	quarantineAgents = 8
)

// suspectPolicies are the compared policies for requests that ran when a backend server crashed. With
// AllowConcurrent, suspects run together with other requests and the crash count alone decides.
var suspectPolicies = []struct {
	name   string
	change func(*attempt.SuspectConfig)
}{
	{"none", func(c *attempt.SuspectConfig) { c.AllowConcurrent, c.CrashLimit = true, math.MaxInt }},
	{"count 2 crashes", func(c *attempt.SuspectConfig) { c.AllowConcurrent, c.CrashLimit = true, 2 }},
	{"count 3 crashes", func(c *attempt.SuspectConfig) { c.AllowConcurrent, c.CrashLimit = true, 3 }},
	{"run alone on 1 backend server", func(c *attempt.SuspectConfig) { c.Hosts = 1 }},
	{"run alone on 2 backend servers", func(c *attempt.SuspectConfig) { c.Hosts = 2 }},
	{"run alone on 4 backend servers", func(c *attempt.SuspectConfig) { c.Hosts = 4 }},
}

// quarantineFigures are the results of one simulation: the number of crashes, the outcomes of the other
// calls in percent, and the 99th percentile of their response times in seconds.
type quarantineFigures struct {
	crashes, served, quarantined, unknown, other, p99 float64
}

func runQuarantine(change func(*attempt.SuspectConfig), seed uint64) quarantineFigures {
	caller := func(config *attempt.CallConfig) { change(&config.Suspects) }
	s := NewSimulation(Config{Entries: 3, Agents: quarantineAgents, Retention: faultRetention, Caller: caller, DownAfter: downAfter}, seed)
	draft := template.ClassPlan{Name: "draft", Service: serviceName, Idempotent: true, Deadline: 20 * time.Second}
	crashes := 0
	down := map[ident.VM]time.Time{}
	s.serve = func(dispatch attempt.Dispatch) (time.Duration, bool) {
		if dispatch.Body == bodyDigest(poisonBody) {
			return crashAfter, true
		}
		return time.Duration(s.random.ExpFloat64() * float64(draftMean)), false
	}
	s.backendDown = func(process *agentProcess) bool { return s.world.now.Before(down[process.host.vm]) }
	s.onCrash = func(process *agentProcess) {
		crashes++
		down[process.host.vm] = s.world.now.Add(backendRestart)
	}
	s.world.route = func(process *entryProcess, need attempt.NeedRoute) (ident.VM, bool) {
		return s.leastLoaded(process, need)
	}
	posted := 0
	var postDraft, postPoison func()
	postDraft = func() {
		posted++
		s.post(request{class: draft, body: fmt.Sprintf("draft%d", posted), entry: s.random.IntN(3)})
		s.after(draftInterval, postDraft)
	}
	postPoison = func() {
		s.post(request{class: draft, body: poisonBody, entry: s.random.IntN(3)})
		s.after(poisonInterval, postPoison)
	}
	s.after(time.Second, postDraft)
	s.after(poisonAt, postPoison)
	s.run(quarantineEnd)
	figures := s.otherCallFigures()
	figures.crashes = float64(crashes)
	return figures
}

// leastLoaded picks the agent with the fewest runs, among those that the request allows and whose
// backend server is up.
func (s *Simulation) leastLoaded(process *entryProcess, need attempt.NeedRoute) (ident.VM, bool) {
	candidates := need.Among
	if len(candidates) == 0 {
		candidates = s.world.agentVMs()
	}
	var best ident.VM
	fewest := math.MaxInt
	for _, vm := range candidates {
		agent := s.world.agentHostOf(vm).current()
		if s.backendDown != nil && s.backendDown(agent) {
			continue
		}
		running := len(agent.running)
		if _, known := process.agents[vm]; known && !slices.Contains(need.Exclude, vm) && running < fewest {
			best, fewest = vm, running
		}
	}
	return best, best != ""
}

// otherCallFigures returns the results of all calls except the poisoned ones, from the first poisoned
// call on. It leaves out the last 25 s, whose calls may not have ended.
func (s *Simulation) otherCallFigures() quarantineFigures {
	var figures quarantineFigures
	var delays []float64
	total := 0.0
	for _, call := range s.world.record.calls {
		since := call.Started.Sub(s.world.started)
		if call.Call.Body == bodyDigest(poisonBody) || since < poisonAt || since > quarantineEnd-25*time.Second {
			continue
		}
		total++
		switch {
		case call.Outcome.Kind == outcome.Served:
			figures.served++
			delays = append(delays, call.Ended.Sub(call.Started).Seconds())
		case call.Outcome.Cause == outcome.CauseQuarantined:
			figures.quarantined++
		case call.Outcome.Kind == outcome.Unknown:
			figures.unknown++
		default:
			figures.other++
		}
	}
	sort.Float64s(delays)
	if len(delays) > 0 {
		figures.p99 = delays[len(delays)*99/100]
	}
	figures.served *= 100 / total
	figures.quarantined *= 100 / total
	figures.unknown *= 100 / total
	figures.other *= 100 / total
	return figures
}

func runQuarantines(ctx context.Context, params experiment.Params) (experiment.Result, error) {
	table := experiment.Table{
		Title:  "A Draft that crashes its backend server, sent every 4 s: 8 backend servers, 40 innocent Drafts a second, 80 s",
		Labels: []string{"suspects"},
		Columns: []experiment.Column{
			{Name: "crashes"},
			{Name: "innocents served", Unit: "%"},
			{Name: "innocents quarantined", Unit: "%"},
			{Name: "innocents unknown", Unit: "%"},
			{Name: "innocents refused otherwise", Unit: "%"},
			{Name: "p99 of served", Unit: "s"},
		},
	}
	done := 0
	for _, policy := range suspectPolicies {
		samples := make([][]float64, len(table.Columns))
		for i := range params.Seeds {
			if err := ctx.Err(); err != nil {
				return experiment.Result{}, err
			}
			f := runQuarantine(policy.change, params.Seed+uint64(i))
			for column, value := range []float64{f.crashes, f.served, f.quarantined, f.unknown, f.other, f.p99} {
				samples[column] = append(samples[column], value)
			}
			done++
			params.ReportProgress(done, len(suspectPolicies)*params.Seeds)
		}
		table.Rows = append(table.Rows, experiment.Row{Labels: []string{policy.name}, Cells: cellsOf(samples)})
	}
	return experiment.Result{Tables: []experiment.Table{table, searchTable(params)}}, nil
}

// searchTable compares ways to find the poisoned request among the requests that ran at a crash. In
// the model, each other request takes a random time, and the poisoned one crashes its backend server.
func searchTable(params experiment.Params) experiment.Table {
	table := experiment.Table{
		Title:  "Finding one poisoned request among n suspects on 2 backend servers (model)",
		Labels: []string{"search", "suspects"},
		Columns: []experiment.Column{
			{Name: "more crashes"},
			{Name: "mean wait of innocents", Unit: "s"},
			{Name: "longest wait of innocents", Unit: "s"},
		},
	}
	for _, search := range []struct {
		name string
		run  func(*rand.Rand, int) (float64, []float64)
	}{{"one at a time", searchAlone}, {"halves", searchHalves}} {
		for _, n := range []int{2, 4, 8, 16} {
			samples := make([][]float64, len(table.Columns))
			for i := range params.Seeds {
				random := rand.New(rand.NewPCG(params.Seed+uint64(i), uint64(n)))
				crashes, waits := search.run(random, n)
				samples[0] = append(samples[0], crashes)
				samples[1] = append(samples[1], meanOf(waits))
				samples[2] = append(samples[2], maxOf(waits))
			}
			table.Rows = append(table.Rows, experiment.Row{Labels: []string{search.name, fmt.Sprint(n)}, Cells: cellsOf(samples)})
		}
	}
	return table
}

func drawDraftTime(random *rand.Rand) float64 { return random.ExpFloat64() * draftMean.Seconds() }

// searchAlone runs each suspect alone, on whichever of two backend servers is free first. It returns the
// number of further crashes and the waits of the other requests in seconds.
func searchAlone(random *rand.Rand, n int) (float64, []float64) {
	poison := random.IntN(n)
	var freeAt [2]float64
	var waits []float64
	for suspect := range n {
		host := 0
		if freeAt[1] < freeAt[0] {
			host = 1
		}
		if suspect == poison {
			freeAt[host] += crashAfter.Seconds() + backendRestart.Seconds()
			continue
		}
		freeAt[host] += drawDraftTime(random)
		waits = append(waits, freeAt[host])
	}
	return 1, waits
}

// searchHalves runs each half of the suspects on its own backend server, in parallel, and repeats this
// with the half that crashed. It returns the same kinds of values as searchAlone.
func searchHalves(random *rand.Rand, n int) (float64, []float64) {
	var waits []float64
	now, crashes := 0.0, 0.0
	for n > 1 {
		half := n / 2
		for range n - half {
			waits = append(waits, now+drawDraftTime(random))
		}
		crashes++
		now += crashAfter.Seconds() + backendRestart.Seconds()
		n = half
	}
	return crashes, waits
}

func meanOf(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / math.Max(1, float64(len(values)))
}

func maxOf(values []float64) float64 {
	largest := 0.0
	for _, value := range values {
		largest = max(largest, value)
	}
	return largest
}
