package calls

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

const (
	// Times since the start of the simulation.
	faultAt   = 10 * time.Second
	demandEnd = 40 * time.Second
	runEnd    = 50 * time.Second
	// callInterval is the time between two new keys.
	callInterval   = 10 * time.Millisecond
	faultRetention = 24 * time.Hour
	// downAfter is the time without a received message after which an entry regards an agent as down.
	downAfter = 300 * time.Millisecond
)

// fault is one kind of fault; faults of agents affect the first agent.
type fault struct {
	name   string
	inject func(*Simulation)
}

func faults() []fault {
	return []fault{
		{"none", func(*Simulation) {}},
		{"backend server crashes", func(s *Simulation) { s.world.crashBackend(s.firstAgent()) }},
		{"agent killed, back in 1 s", func(s *Simulation) { s.killFirstAgent(time.Second) }},
		{"agent stopped in turn, back in 1 s", stopFirstAgent},
		{"agent paused for 5 s", pauseFirstAgent},
		{"agent paused for 5 s, another started", replacePausedAgent},
		{"VM replaced by a new one, 5 s", replaceVM},
		{"VM taken off the list, alive", delistFirstAgent},
		{"entry killed, back in 1 s", func(s *Simulation) { s.killEntry(0, time.Second) }},
		{"entry killed, then agent killed", func(s *Simulation) {
			s.killEntry(0, time.Second)
			s.after(3*time.Second, func() { s.killFirstAgent(time.Second) })
		}},
		{"entry stopped in turn, then agent killed", func(s *Simulation) {
			s.world.stepLog(s.world.entries[0].current(), attempt.LogStop{})
			s.after(500*time.Millisecond, func() { s.killEntry(0, 500*time.Millisecond) })
			s.after(3*time.Second, func() { s.killFirstAgent(time.Second) })
		}},
		{"all entries killed, back in 1 s", func(s *Simulation) {
			for i := range s.world.entries {
				s.killEntry(i, time.Second)
			}
		}},
		{"link entry to agent cut for 5 s", cutLink},
		{"2 % of messages lost for 5 s", loseMessages},
	}
}

func (s *Simulation) firstAgent() *agentProcess { return s.world.agents[0].current() }

func (s *Simulation) killFirstAgent(downtime time.Duration) {
	s.firstAgent().exited = true
	s.after(downtime, func() { s.world.startAgent(s.world.agents[0], len(s.world.fleets)-1) })
}

func (s *Simulation) killEntry(index int, downtime time.Duration) {
	host := s.world.entries[index]
	host.current().exited = true
	s.after(downtime, func() { s.world.startEntry(host, len(s.world.fleets)-1) })
}

func stopFirstAgent(s *Simulation) {
	s.world.stepOwner(s.firstAgent(), attempt.OwnerStop{})
	s.after(time.Second, func() {
		for _, process := range s.world.agents[0].processes {
			process.exited = true
		}
		s.world.startAgent(s.world.agents[0], len(s.world.fleets)-1)
	})
}

func pauseFirstAgent(s *Simulation) {
	process := s.firstAgent()
	process.paused = true
	s.after(5*time.Second, func() { s.resume(process) })
}

func replacePausedAgent(s *Simulation) {
	process := s.firstAgent()
	process.paused = true
	s.after(time.Second, func() { s.world.startAgent(s.world.agents[0], 0) })
	s.after(5*time.Second, func() { s.resume(process) })
}

// replaceVM destroys the first agent's VM. After 5 s a fleet version with a new VM in its place is
// published, and the agents are notified of the removal.
func replaceVM(s *Simulation) {
	host := s.world.agents[0]
	host.current().exited = true
	host.removed = true
	s.after(5*time.Second, func() {
		added := s.world.addAgentHost()
		s.publishAll()
		s.world.startAgent(added, len(s.world.fleets)-1)
		for _, other := range s.world.agents {
			if process := other.current(); process != nil {
				s.world.stepOwner(process, attempt.VMsRemoved{VMs: []ident.VM{host.vm}})
			}
		}
	})
}

func delistFirstAgent(s *Simulation) {
	var listed []ident.VM
	for _, host := range s.world.agents[1:] {
		listed = append(listed, host.vm)
	}
	s.world.publish(listed)
	s.distributeFleet()
}

func (s *Simulation) publishAll() {
	s.world.publish(s.world.agentVMs())
	s.distributeFleet()
}

// distributeFleet delivers the latest fleet version to each process after a random delay of up to 1 s.
func (s *Simulation) distributeFleet() {
	next := s.world.fleets[len(s.world.fleets)-1]
	for _, host := range s.world.entries {
		process := host.current()
		s.after(time.Duration(s.random.IntN(1000))*time.Millisecond, func() {
			s.world.stepLog(process, attempt.LogFleetChanged{Fleet: next})
		})
	}
	for _, host := range s.world.agents {
		if process := host.current(); process != nil {
			s.after(time.Duration(s.random.IntN(1000))*time.Millisecond, func() {
				s.world.stepOwner(process, attempt.OwnerFleetChanged{Fleet: next})
			})
		}
	}
}

func cutLink(s *Simulation) {
	a, b := s.world.entries[0].vm, s.world.agents[0].vm
	s.world.blocked = map[link]bool{{a, b}: true, {b, a}: true}
	s.after(5*time.Second, func() { s.world.blocked = map[link]bool{} })
}

func loseMessages(s *Simulation) {
	s.drop = func(envelope) bool { return s.random.IntN(50) == 0 }
	s.after(5*time.Second, func() { s.drop = nil })
}

// doubtPolicies are the compared policies for keys in doubt, which an earlier owner may have run.
var doubtPolicies = []struct {
	name  string
	doubt attempt.DoubtPolicy
}{
	{"ask entries and earlier owners", attempt.DoubtAsk},
	{"refuse for the retention", attempt.DoubtRefuse},
	{"no ownership check", attempt.DoubtIgnore},
}

// faultFigures are the results of one simulation; served, notRun and unknown are percentages.
type faultFigures struct {
	served, notRun, unknown float64
	// recovery is the time from the fault to the latest point at which a call that was not served at its
	// first try may be retried: the end of that try plus its RetryAfter.
	recovery time.Duration
	// duplicateRuns is the number of violations of the at-most-once guarantee.
	duplicateRuns int
}

// demand posts calls with new keys at a constant rate. It resends calls that were not served, 1 s after
// their deadline and through another entry.
type demand struct {
	simulation *Simulation
	class      template.ClassPlan
	// firstTry is true for first tries, by request.
	firstTry map[ident.Request]bool
	posted   int
}

func (d *demand) postNext() {
	s := d.simulation
	if s.world.now.Sub(s.world.started) >= demandEnd {
		return
	}
	d.posted++
	d.post(request{
		class: d.class, key: fmt.Sprintf("voucher%d", d.posted), body: fmt.Sprintf("body%d", d.posted),
		entry: s.random.IntN(len(s.world.entries)),
	}, 0)
	s.after(callInterval, d.postNext)
}

func (d *demand) post(r request, resends int) {
	const maxResends = 3
	s := d.simulation
	id, ok := s.post(r)
	if !ok {
		return
	}
	d.firstTry[id] = resends == 0
	s.after(d.class.Deadline+time.Second, func() {
		if s.outcomeOf(id).Kind != outcome.Served && resends < maxResends {
			r.entry++
			d.post(r, resends+1)
		}
	})
}

func runFault(f fault, doubt attempt.DoubtPolicy, seed uint64) faultFigures {
	s := NewSimulation(Config{Entries: 3, Agents: 3, Retention: faultRetention, OpenedAt: 500 * time.Millisecond, Doubt: doubt, DownAfter: downAfter}, seed)
	d := &demand{
		simulation: s, firstTry: map[ident.Request]bool{},
		class: template.ClassPlan{Name: "redemption", Service: serviceName, Deadline: 2 * time.Second},
	}
	s.after(time.Second, d.postNext)
	s.after(faultAt, func() { f.inject(s) })
	s.run(runEnd)
	return d.figures()
}

func (d *demand) figures() faultFigures {
	s := d.simulation
	faultTime := s.world.started.Add(faultAt)
	counts := map[outcome.Kind]float64{}
	var figures faultFigures
	total := 0.0
	for id, call := range s.world.record.calls {
		if call.Started.Before(faultTime) || call.Started.After(faultTime.Add(20*time.Second)) {
			continue
		}
		counts[call.Outcome.Kind]++
		total++
		if d.firstTry[id] && call.Outcome.Kind != outcome.Served {
			recovered := call.Ended.Sub(faultTime) + call.Outcome.RetryAfter
			figures.recovery = max(figures.recovery, recovered)
		}
	}
	percent := func(kind outcome.Kind) float64 { return 100 * counts[kind] / math.Max(total, 1) }
	figures.served = percent(outcome.Served)
	figures.notRun = percent(outcome.NotRun)
	figures.unknown = percent(outcome.Unknown)
	figures.duplicateRuns = len(s.world.record.violations)
	return figures
}

func runFaults(ctx context.Context, params experiment.Params) (experiment.Result, error) {
	table := experiment.Table{
		Title:  "Non-idempotent calls in the 20 s after a fault: 3 entries, 3 agents, 100 new keys a second, resent up to 3 times",
		Labels: []string{"fault", "keys in doubt"},
		Columns: []experiment.Column{
			{Name: "served", Unit: "%"},
			{Name: "not run", Unit: "%"},
			{Name: "unknown", Unit: "%"},
			{Name: "all new keys run again", Unit: "s"},
			{Name: "doubled runs"},
		},
	}
	kinds := faults()
	done := 0
	for _, f := range kinds {
		for _, policy := range doubtPolicies {
			samples := make([][]float64, len(table.Columns))
			for i := range params.Seeds {
				if err := ctx.Err(); err != nil {
					return experiment.Result{}, err
				}
				figures := runFault(f, policy.doubt, params.Seed+uint64(i))
				for column, value := range []float64{
					figures.served, figures.notRun, figures.unknown, figures.recovery.Seconds(), float64(figures.duplicateRuns),
				} {
					samples[column] = append(samples[column], value)
				}
				done++
				params.ReportProgress(done, len(kinds)*len(doubtPolicies)*params.Seeds)
			}
			table.Rows = append(table.Rows, experiment.Row{Labels: []string{f.name, policy.name}, Cells: cellsOf(samples)})
		}
	}
	return experiment.Result{Tables: []experiment.Table{table}}, nil
}
