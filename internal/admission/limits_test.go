package admission_test

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/experiment/overload"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

var stepsPerRun = flag.Int("admission.steps", 220, "steps of 50 ms in each run of TestSumOverNodesNeverExceedsLimit")

// shortLeases returns settings with leases that expire within a short test.
func shortLeases(self ident.Instance) admission.Settings {
	settings := admission.DefaultSettings(self)
	settings.Leases.TTL = 2 * time.Second
	settings.Leases.Freshness = 800 * time.Millisecond
	settings.Leases.Interval = 200 * time.Millisecond
	settings.Leases.MaxHold = 1500 * time.Millisecond
	settings.Leases.BurstWindow = 2 * time.Second
	return settings
}

var customers = []ident.Customer{"a", "b", "c"}

func limitedPlans(limits template.Limits) []template.CustomerPlan {
	class := template.ClassPlan{Name: "lookup", Service: "counter", Worth: 1, Deadline: time.Second, Limits: limits}
	var plans []template.CustomerPlan
	for _, customer := range customers {
		plans = append(plans, template.CustomerPlan{Customer: customer, Weight: 1, Classes: []template.ClassPlan{class}})
	}
	return plans
}

// limitMonitor checks that the requests of a customer that the entries accept together stay within the limit: at most
// limit * (T + window) in any period T, and at most the concurrency open at once.
type limitMonitor struct {
	limits template.Limits
	window time.Duration
	// requestsLeft and tokensLeft are the levels of two token buckets at updatedAt. Each bucket holds what accrues in
	// one window.
	requestsLeft, tokensLeft float64
	updatedAt                time.Time
	open                     int
	accepted                 int
	exceeded                 string
}

// clockError is the greatest difference in speed between two clocks of the test. It equals the ClockDrift of the
// settings.
const clockError = 0.01

func (m *limitMonitor) accept(now time.Time, tokens int) {
	elapsed := now.Sub(m.updatedAt).Seconds() * (1 + clockError)
	m.updatedAt = now
	window := m.window.Seconds()
	m.requestsLeft = min(m.limits.RatePerSecond*window, m.requestsLeft+elapsed*m.limits.RatePerSecond) - 1
	m.tokensLeft = min(m.limits.TokensPerSecond*window, m.tokensLeft+elapsed*m.limits.TokensPerSecond) - float64(tokens)
	m.open++
	m.accepted++
	const rounding = 1e-3
	switch {
	case m.limits.RatePerSecond > 0 && m.requestsLeft < -rounding:
		m.exceeded = "rate"
	case m.limits.TokensPerSecond > 0 && m.tokensLeft < -rounding:
		m.exceeded = "tokens"
	case m.limits.Concurrency > 0 && m.open > m.limits.Concurrency:
		m.exceeded = "concurrency"
	}
}

// limitRun drives a cluster under load and checks its limits.
type limitRun struct {
	cluster  *overload.Cluster
	monitors map[ident.Customer]*limitMonitor
	owners   map[ident.Request]ident.Customer
	random   *rand.Rand
	offering ident.Customer
	// skew is the fraction of the load that is sent to the hot node.
	skew float64
	hot  int
	// load is the greatest number of requests of a customer in a step.
	load int
}

func newLimitRun(size int, seed uint64, limits template.Limits) *limitRun {
	plans := limitedPlans(limits)
	run := &limitRun{
		cluster:  overload.NewCluster(size, seed, plans, shortLeases),
		monitors: make(map[ident.Customer]*limitMonitor),
		owners:   make(map[ident.Request]ident.Customer),
		random:   rand.New(rand.NewPCG(seed, 1)),
		load:     5,
	}
	run.cluster.SetSlots("counter", 1<<20)
	for _, plan := range plans {
		run.monitors[plan.Customer] = &limitMonitor{
			limits: limits, window: shortLeases(ident.Instance{}).Leases.BurstWindow, updatedAt: run.cluster.Now,
			requestsLeft: math.Inf(1), tokensLeft: math.Inf(1),
		}
	}
	run.cluster.OnAccept = func(_ *overload.Node, request ident.Request, tokens int) {
		run.owners[request] = run.offering
		run.monitors[run.offering].accept(run.cluster.Now, tokens)
	}
	run.cluster.OnEnd = func(_ *overload.Node, request ident.Request) {
		run.monitors[run.owners[request]].open--
	}
	return run
}

// step sends some requests of each customer, advances the time by 50 ms and returns the limit that was exceeded; "" if
// none was.
func (r *limitRun) step() string {
	for _, customer := range customers {
		for range r.random.IntN(r.load + 1) {
			node := r.cluster.Nodes[r.random.IntN(len(r.cluster.Nodes))]
			if r.random.Float64() < r.skew {
				node = r.cluster.Nodes[r.hot]
			}
			r.offering = customer
			hold := time.Duration(1+r.random.IntN(1450)) * time.Millisecond
			r.cluster.Offer(node, admission.Arrive{Customer: customer, Class: "lookup", Tokens: 1 + r.random.IntN(40)}, hold)
		}
	}
	r.cluster.Advance(50 * time.Millisecond)
	for _, monitor := range r.monitors {
		if monitor.exceeded != "" {
			return monitor.exceeded
		}
	}
	return ""
}

// fault applies one random fault or change to the cluster.
func (r *limitRun) fault(t *rapid.T) {
	c := r.cluster
	size := len(c.Nodes)
	node := c.Nodes[rapid.IntRange(0, size-1).Draw(t, "node")]
	rosters := [][]ident.VM{c.VMs(0, size-1), c.VMs(1, size), c.VMs(0, size)}
	roster := rosters[rapid.IntRange(0, len(rosters)-1).Draw(t, "roster")]
	switch rapid.SampledFrom([]string{"restart", "stop", "pause", "roster", "everywhere", "partition", "split", "heal", "loss", "shift", "shift"}).Draw(t, "fault") {
	case "restart":
		c.Start(node, roster)
	case "stop":
		c.Stop(node)
	case "pause":
		node.PausedUntil = c.Now.Add(time.Duration(rapid.IntRange(50, 5000).Draw(t, "ms")) * time.Millisecond)
	case "roster":
		if c.Running(node) {
			c.Configure(node, roster)
		}
	case "everywhere":
		for _, each := range c.Nodes {
			if c.Running(each) {
				c.Configure(each, roster)
			}
		}
	case "partition":
		side := rapid.SliceOfN(rapid.Bool(), size, size).Draw(t, "sides")
		c.Cut = func(from, to *overload.Node) bool {
			return side[indexOf(c, from)] != side[indexOf(c, to)]
		}
	case "split":
		// Two partitions of the cluster use different rosters.
		at := rapid.IntRange(1, size-1).Draw(t, "at")
		c.Cut = func(from, to *overload.Node) bool { return (indexOf(c, from) < at) != (indexOf(c, to) < at) }
		for i, each := range c.Nodes {
			if c.Running(each) && i < at {
				c.Configure(each, rosters[0])
			}
			if c.Running(each) && i >= at {
				c.Configure(each, rosters[1])
			}
		}
	case "shift":
		r.hot = rapid.IntRange(0, size-1).Draw(t, "hot")
		r.load = rapid.IntRange(0, 8).Draw(t, "load")
	case "heal":
		c.Cut = nil
		for _, each := range c.Nodes {
			if each.Down {
				c.Start(each, roster)
			}
		}
	case "loss":
		c.Loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		c.Duplication = rapid.Float64Range(0, 0.3).Draw(t, "double")
		c.MaxDelay = time.Duration(rapid.IntRange(1, 3000).Draw(t, "delay")) * time.Millisecond
	}
}

func indexOf(c *overload.Cluster, node *overload.Node) int {
	for i, other := range c.Nodes {
		if other == node {
			return i
		}
	}
	return -1
}

func drawLimits(t *rapid.T) template.Limits {
	return rapid.SampledFrom([]template.Limits{
		{RatePerSecond: 30},
		{RatePerSecond: 1.5},
		{Concurrency: 20},
		{Concurrency: 3},
		{TokensPerSecond: 500},
		{RatePerSecond: 20, Concurrency: 15, TokensPerSecond: 300},
	}).Draw(t, "limits")
}

// TestSumOverNodesNeverExceedsLimit guards against entries that together accept more than a customer's limit during
// restarts, pauses, partitions, message loss, clock drift and roster changes.
func TestSumOverNodesNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(4, 9).Draw(t, "size")
		run := newLimitRun(size, rapid.Uint64().Draw(t, "seed"), drawLimits(t))
		run.skew = rapid.Float64Range(0, 0.9).Draw(t, "skew")
		for _, node := range run.cluster.Nodes {
			node.Offset = time.Duration(rapid.IntRange(0, 100000).Draw(t, "offset")) * time.Millisecond
			node.Speed = rapid.Float64Range(1-clockError/2, 1+clockError/2).Draw(t, "speed")
			run.cluster.Start(node, run.cluster.VMs(0, size-1))
		}
		next := rapid.IntRange(0, 150).Draw(t, "first")
		for step := range *stepsPerRun {
			if step == next {
				run.fault(t)
				next = step + rapid.IntRange(1, 80).Draw(t, "gap")
			}
			if exceeded := run.step(); exceeded != "" {
				t.Fatalf("the requests accepted by all entries exceeded the %s limit at step %d", exceeded, step)
			}
		}
	})
}

// TestLeasesFollowUnevenDemand guards against refusing demand at one entry while leases stay unused at others: with most
// of the load at one entry, the whole leased pool must be used.
func TestLeasesFollowUnevenDemand(t *testing.T) {
	c := qt.New(t)
	limits := template.Limits{RatePerSecond: 30}
	run := newLimitRun(5, 7, limits)
	run.skew = 0.9
	for _, node := range run.cluster.Nodes {
		run.cluster.Start(node, run.cluster.VMs(0, 5))
	}
	const warmUp, measured = 200, 400
	for range warmUp {
		c.Assert(run.step(), qt.Equals, "")
	}
	before := run.monitors["a"].accepted
	for range measured {
		c.Assert(run.step(), qt.Equals, "")
	}
	got := float64(run.monitors["a"].accepted-before) / (measured * 0.05)
	// The load is 50 requests per second, so that at least the whole leased pool is used.
	pool := (1 - shortLeases(ident.Instance{}).Leases.StaticFraction) * limits.RatePerSecond
	c.Assert(got > pool, qt.IsTrue, qt.Commentf("accepted %.1f a second", got))
}
