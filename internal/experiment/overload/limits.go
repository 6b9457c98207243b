package overload

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/experiment"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// limitScenario describes the demand of one customer whose rate limit applies across all entries.
type limitScenario struct {
	name    string
	entries int
	// demand is the demand as a multiple of the limit.
	demand float64
	// hot is the fraction of the demand that goes to one entry.
	hot float64
	// hotInterval is the time after which the next entry becomes the hot one; 0 for never.
	hotInterval time.Duration
	// restartInterval is the time between two restarts; the entries are restarted in turn. 0 for none.
	restartInterval time.Duration
	// fault is applied to the cluster when the measurement begins; nil for none.
	fault func(c *Cluster)
}

// The customer's limit in requests per second, and the times of the limit scenarios.
const (
	limitRate     = 100.0
	limitWarmUp   = 50 * time.Second
	limitDuration = 60 * time.Second
	limitStep     = 50 * time.Millisecond
)

func limitScenarios() []limitScenario {
	halves := func(c *Cluster) {
		c.Cut = func(from, to *Node) bool { return c.inFirstHalf(from) != c.inFirstHalf(to) }
	}
	restartAll := func(c *Cluster) {
		for _, node := range c.Nodes {
			c.Start(node, node.Roster)
		}
	}
	stopOne := func(c *Cluster) { c.Stop(c.Nodes[len(c.Nodes)-1]) }
	var list []limitScenario
	for _, entries := range []int{3, 36} {
		list = append(list,
			limitScenario{name: "even", entries: entries, demand: 0.8},
			limitScenario{name: "90% at one entry", entries: entries, demand: 0.8, hot: 0.9},
			limitScenario{name: "90% at one entry, moving each 20 s", entries: entries, demand: 0.8, hot: 0.9, hotInterval: 20 * time.Second},
			limitScenario{name: "flood at one entry", entries: entries, demand: 5, hot: 0.9},
			limitScenario{name: "one entry stopped", entries: entries, demand: 0.8, hot: 0.5, fault: stopOne},
			limitScenario{name: "halves cut off", entries: entries, demand: 0.8, hot: 0.5, fault: halves},
			limitScenario{name: "an entry restarted each 20 s", entries: entries, demand: 0.8, hot: 0.5, restartInterval: 20 * time.Second},
			limitScenario{name: "all restarted", entries: entries, demand: 0.8, hot: 0.5, fault: restartAll},
		)
	}
	return list
}

// inFirstHalf reports whether a node is in the first half of the cluster's nodes.
func (c *Cluster) inFirstHalf(node *Node) bool {
	for i, other := range c.Nodes {
		if other == node {
			return i < len(c.Nodes)/2
		}
	}
	return false
}

// limitPolicies are the compared ways to divide a limit among the entries. With the static split, the whole
// limit is split evenly over the roster and nothing is left to lease.
var limitPolicies = []struct {
	name   string
	adjust func(*admission.LeaseSettings)
}{
	{"static split", func(l *admission.LeaseSettings) { l.StaticFraction, l.RosterOverlap = 1, 1 }},
	{"leases", func(*admission.LeaseSettings) {}},
}

var limitColumns = []experiment.Column{
	{Name: "accepted of demand up to the limit", Unit: "%"},
	{Name: "most in 10 s of the limit", Unit: "%"},
	{Name: "messages an entry", Unit: "1/s"},
	{Name: "bytes an entry", Unit: "B/s"},
}

func runLimits(ctx context.Context, params experiment.Params) (experiment.Result, error) {
	table := experiment.Table{
		Title: "One rate limit over all entries", Labels: []string{"demand", "entries", "division"}, Columns: limitColumns,
	}
	list := limitScenarios()
	total := len(list) * len(limitPolicies) * params.Seeds
	done := 0
	for _, s := range list {
		for _, policy := range limitPolicies {
			var samples [][]float64
			for i := range params.Seeds {
				if err := ctx.Err(); err != nil {
					return experiment.Result{}, err
				}
				samples = append(samples, s.run(params.Seed+uint64(i), policy.adjust))
				done++
				params.ReportProgress(done, total)
			}
			labels := []string{s.name, fmt.Sprint(s.entries), policy.name}
			table.Rows = append(table.Rows, experiment.Row{Labels: labels, Cells: summarize(samples)})
		}
	}
	return experiment.Result{Tables: []experiment.Table{table}}, nil
}

// run simulates the scenario and returns one value per entry of limitColumns.
func (s limitScenario) run(seed uint64, adjust func(*admission.LeaseSettings)) []float64 {
	class := template.ClassPlan{
		Name: "lookup", Service: "counter", Worth: 1, Deadline: time.Second, Limits: template.Limits{RatePerSecond: limitRate},
	}
	plan := template.CustomerPlan{Customer: "customer", Weight: 1, Classes: []template.ClassPlan{class}}
	c := NewCluster(s.entries, seed, []template.CustomerPlan{plan}, func(self ident.Instance) admission.Settings {
		settings := admission.DefaultSettings(self)
		adjust(&settings.Leases)
		return settings
	})
	c.SetSlots("counter", 1<<20)
	c.Size = encodedSize
	for _, node := range c.Nodes {
		c.Start(node, c.VMs(0, s.entries))
	}
	random := rand.New(rand.NewPCG(seed, 4))
	var accepted []time.Time
	c.OnAccept = func(*Node, ident.Request, int) { accepted = append(accepted, c.Now) }
	s.drive(c, random, limitWarmUp)
	if s.fault != nil {
		s.fault(c)
	}
	accepted, c.Messages, c.Bytes = nil, 0, 0
	s.drive(c, random, limitDuration)
	seconds := limitDuration.Seconds()
	const percent = 100
	return []float64{
		percent * float64(len(accepted)) / (math.Min(1, s.demand) * limitRate * seconds),
		percent * maxInWindow(accepted, 10*time.Second) / (limitRate * 10),
		float64(c.Messages) / seconds / float64(s.entries),
		float64(c.Bytes) / seconds / float64(s.entries),
	}
}

// drive offers the demand as a Poisson process for the duration d. Requests for a stopped entry go to the
// next running one.
func (s limitScenario) drive(c *Cluster, random *rand.Rand, d time.Duration) {
	perStep := s.demand * limitRate * limitStep.Seconds()
	for end := c.Now.Add(d); c.Now.Before(end); {
		if since := c.Now.Sub(startTime); s.restartInterval > 0 && since > limitWarmUp && since%s.restartInterval == 0 {
			node := c.Nodes[int(since/s.restartInterval)%s.entries]
			c.Start(node, node.Roster)
		}
		hot := 0
		if s.hotInterval > 0 {
			hot = int(c.Now.Sub(startTime)/s.hotInterval) % s.entries
		}
		for arrival := random.ExpFloat64(); arrival < perStep; arrival += random.ExpFloat64() {
			at := random.IntN(s.entries)
			if random.Float64() < s.hot {
				at = hot
			}
			for c.Nodes[at].Down {
				at = (at + 1) % s.entries
			}
			c.Offer(c.Nodes[at], admission.Arrive{Customer: "customer", Class: "lookup"}, 100*time.Millisecond)
		}
		c.Advance(limitStep)
	}
}

// maxInWindow returns the largest number of times that lie in one window; times must be in order.
func maxInWindow(times []time.Time, window time.Duration) float64 {
	best, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		best = max(best, i-first+1)
	}
	return float64(best)
}

func encodedSize(message any) int {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic("invariant: CBOR encoding of a message failed: " + err.Error())
	}
	return len(data)
}
