package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/experiment/overload"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// fairRun sends requests of several customers to one entry at constant rates.
type fairRun struct {
	cluster *overload.Cluster
	node    *overload.Node
	random  *rand.Rand
	sources []*source
	// offered maps each sent request to its source.
	offered map[ident.Request]*source
	// nextID is the ID of the next request that is offered.
	nextID ident.Request
}

// source sends the requests of one class of one customer.
type source struct {
	customer ident.Customer
	class    ident.Class
	// interval is the time between two requests.
	interval time.Duration
	due      time.Time
	// serviceTime is the time that each request spends in its slot.
	serviceTime time.Duration
	// withinShare is true if the customer's demand is below its guaranteed share.
	withinShare bool
	sent        int
	served      int
	refusals    []outcome.Outcome
}

func newFairRun(seed uint64, slots int, plans []template.CustomerPlan, sources []*source) *fairRun {
	r := &fairRun{
		cluster: overload.NewCluster(1, seed, plans, admission.DefaultSettings),
		random:  rand.New(rand.NewPCG(seed, 2)), sources: sources, offered: make(map[ident.Request]*source),
	}
	r.node = r.cluster.Nodes[0]
	for _, s := range sources {
		s.due = r.cluster.Now
	}
	r.cluster.SetSlots("model", slots)
	r.cluster.Start(r.node, r.cluster.VMs(0, 1))
	r.cluster.OnEnd = func(_ *overload.Node, request ident.Request) { r.offered[request].served++ }
	r.cluster.OnRefuse = func(_ *overload.Node, refuse admission.Refuse) {
		from := r.offered[refuse.Request]
		from.refusals = append(from.refusals, refuse.Outcome)
	}
	return r
}

// run sends requests for a time, in steps of 5 ms.
func (r *fairRun) run(d time.Duration) {
	for end := r.cluster.Now.Add(d); r.cluster.Now.Before(end); {
		for _, s := range r.sources {
			for s.due.Before(r.cluster.Now) {
				s.due = s.due.Add(s.interval)
				s.sent++
				r.nextID = r.cluster.NextRequest()
				r.offered[r.nextID] = s
				r.cluster.Offer(r.node, admission.Arrive{Customer: s.customer, Class: s.class}, s.serviceTime)
			}
		}
		r.cluster.Advance(5 * time.Millisecond)
	}
}

// TestCustomerWithinShareIsNotRefusedUnderOverload guards against refusing a customer that stays within its share
// because other customers overload the service. Refusals of the other customers must name the refused
// customer as the cause.
func TestCustomerWithinShareIsNotRefusedUnderOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const serviceTime = 100 * time.Millisecond
		slots := rapid.IntRange(2, 12).Draw(t, "slots")
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 6).Draw(t, "weights")
		total := 0
		for _, weight := range weights {
			total += weight
		}
		var plans []template.CustomerPlan
		var sources []*source
		for i, weight := range weights {
			name := ident.Customer(fmt.Sprintf("c%d", i))
			overloaded := i == 0 || rapid.Bool().Draw(t, "flooding")
			// rate is the guaranteed rate in requests per second.
			rate := float64(slots) / serviceTime.Seconds() * float64(weight) / float64(total)
			load := 0.9
			if overloaded {
				load = rapid.Float64Range(1.5, 20).Draw(t, "load")
			}
			interval := time.Duration(float64(time.Second) / (rate * load))
			// The deadline allows for three service times, because dispatched requests are not interrupted; for one
			// request of each customer, spread over the slots; and for two requests of this customer at its guaranteed
			// rate.
			deadline := 3*serviceTime + serviceTime*time.Duration(len(weights))/time.Duration(slots) + 2*time.Duration(float64(time.Second)/rate)
			class := template.ClassPlan{
				Name: "x", Service: "model", Worth: 1, Deadline: deadline,
				Priority: template.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
			}
			plans = append(plans, template.CustomerPlan{Customer: name, Weight: float64(weight), Classes: []template.ClassPlan{class}})
			sources = append(sources, &source{customer: name, class: "x", interval: interval, serviceTime: serviceTime, withinShare: !overloaded})
		}
		run := newFairRun(rapid.Uint64().Draw(t, "seed"), slots, plans, sources)
		run.run(5 * time.Second)
		for _, s := range sources {
			for _, refused := range s.refusals {
				if s.withinShare {
					t.Fatalf("%s is within its share and was refused: %+v", s.customer, refused)
				}
				if refused.CausedBy != s.customer || refused.RetryAfter <= 0 {
					t.Fatalf("%s exceeds its share and got %+v", s.customer, refused)
				}
			}
		}
	})
}

// TestEachClassGetsItsFloor checks that each class of an overloaded customer gets its floor, although classes of a higher
// priority could use all slots.
func TestEachClassGetsItsFloor(t *testing.T) {
	c := qt.New(t)
	var classes []template.ClassPlan
	var sources []*source
	for i, name := range []ident.Class{"lookup", "redemption", "draft"} {
		classes = append(classes, template.ClassPlan{
			Name: name, Service: "model", Worth: 1, Priority: template.Priority(i), Deadline: 30 * time.Second,
		})
		sources = append(sources, &source{customer: "a", class: name, interval: 10 * time.Millisecond, serviceTime: 100 * time.Millisecond})
	}
	plans := []template.CustomerPlan{{Customer: "a", Weight: 1, Classes: classes}}
	run := newFairRun(1, 4, plans, sources)
	run.run(60 * time.Second)
	total := 0
	for _, s := range sources {
		total += s.served
	}
	for _, s := range sources {
		floor := admission.DefaultSettings(ident.Instance{}).ClassFloor
		share := float64(s.served) / float64(total)
		c.Assert(share > 0.9*floor, qt.IsTrue, qt.Commentf("%s got %.3f", s.class, share))
	}
	c.Assert(sources[0].served > 3*sources[2].served, qt.IsTrue)
}

// TestSharesFollowWeights checks that customers get slot time in proportion to their weights, also if the requests of
// one customer take longer.
func TestSharesFollowWeights(t *testing.T) {
	c := qt.New(t)
	class := template.ClassPlan{Name: "x", Service: "model", Worth: 1, Deadline: 2 * time.Second}
	var plans []template.CustomerPlan
	var sources []*source
	weights := []float64{1, 2, 5}
	for i, weight := range weights {
		name := ident.Customer(fmt.Sprintf("c%d", i))
		plans = append(plans, template.CustomerPlan{Customer: name, Weight: weight, Classes: []template.ClassPlan{class}})
		// Requests of the first customer take three times as long.
		serviceTime := 100 * time.Millisecond
		if i == 0 {
			serviceTime *= 3
		}
		sources = append(sources, &source{customer: name, class: "x", interval: 8 * time.Millisecond, serviceTime: serviceTime})
	}
	run := newFairRun(1, 8, plans, sources)
	run.run(60 * time.Second)
	slotSecondsPerWeight := 8.0 * 60 / (1 + 2 + 5)
	for i, s := range sources {
		slotTime := float64(s.served) * s.serviceTime.Seconds()
		c.Assert(slotTime > 0.9*slotSecondsPerWeight*weights[i], qt.IsTrue, qt.Commentf("%s got %.1f s of slots", s.customer, slotTime))
		c.Assert(slotTime < 1.1*slotSecondsPerWeight*weights[i], qt.IsTrue, qt.Commentf("%s got %.1f s of slots", s.customer, slotTime))
	}
}

// TestRefusalCauses checks the cause, the causing customer and the limit of most kinds of refusal. Refusals for the
// share, the queue length and the retry budget are not among them.
func TestRefusalCauses(t *testing.T) {
	now := time.Unix(100, 0)
	limited := func(limits template.Limits) template.ClassPlan {
		return template.ClassPlan{Name: "x", Service: "model", Worth: 2, Deadline: time.Second, Limits: limits}
	}
	flood := func(count int, tokens int) []admission.Event {
		events := []admission.Event{admission.Capacity{Service: "model", Slots: 2, ServiceTime: 400 * time.Millisecond}}
		for i := range count {
			// As retries, the requests are also checked against the retry budget. No case expects a refusal by it.
			events = append(events, admission.Arrive{
				Request: ident.Request(fmt.Sprint(i)), Customer: "a", Class: "x", Tokens: tokens, Retry: true,
			})
		}
		return events
	}
	cases := []struct {
		name  string
		class template.ClassPlan
		// events are sent to the controller; nil stands for a pause of 2 s.
		events   []admission.Event
		cause    outcome.Cause
		causedBy ident.Customer
		limit    admission.LimitKind
	}{
		{"rate", limited(template.Limits{RatePerSecond: 1}), flood(2, 0), outcome.CauseRateLimit, "a", admission.LimitRate},
		{"concurrency", limited(template.Limits{Concurrency: 10}), flood(5, 0), outcome.CauseConcurrencyLimit, "a", admission.LimitConcurrency},
		{"tokens", limited(template.Limits{TokensPerSecond: 5}), flood(1, 900), outcome.CauseTokenLimit, "a", admission.LimitTokens},
		{"no backend", limited(template.Limits{}), flood(1, 0)[1:], outcome.CauseNoBackend, "", admission.LimitCapacity},
		{"own demand fills the service", limited(template.Limits{}), flood(30, 0), outcome.CauseBackendsFull, "a", admission.LimitCapacity},
		{"unknown customer", limited(template.Limits{}), []admission.Event{admission.Arrive{Request: "1", Customer: "z", Class: "x"}}, outcome.CauseNoRoute, "", admission.LimitNone},
		{
			"deadline before any answer", limited(template.Limits{}),
			[]admission.Event{
				admission.Capacity{Service: "model", Slots: 2, AnswerTime: 3 * time.Second},
				admission.Arrive{Request: "1", Customer: "a", Class: "x"},
			},
			outcome.CauseDeadline, "", admission.LimitNone,
		},
		{"caller disconnected", limited(template.Limits{}), append(flood(3, 0), admission.Cancel{Request: "2"}), outcome.CauseCallerGone, "", admission.LimitNone},
		{
			"capacity lost while waiting", limited(template.Limits{}),
			append(flood(4, 0), admission.Capacity{Service: "model", Slots: 1}, nil, admission.Tick{}),
			outcome.CauseBackendsFull, "", admission.LimitCapacity,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			controller := admission.NewController(admission.DefaultSettings(ident.Instance{VM: "e", Incarnation: 1}))
			plan := template.CustomerPlan{Customer: "a", Weight: 1, Classes: []template.ClassPlan{tc.class}}
			controller.Step(now, admission.Configure{Plans: []template.CustomerPlan{plan}, Roster: []ident.VM{"e"}})
			at := now
			var last *admission.Refuse
			for _, event := range tc.events {
				if event == nil {
					at = at.Add(2 * time.Second)
					continue
				}
				for _, action := range controller.Step(at, event) {
					if refuse, ok := action.(admission.Refuse); ok {
						last = &refuse
					}
				}
			}
			c.Assert(last, qt.IsNotNil)
			c.Assert(last.Outcome.Kind, qt.Equals, outcome.NotRun)
			c.Assert(last.Outcome.Cause, qt.Equals, tc.cause)
			c.Assert(last.Outcome.CausedBy, qt.Equals, tc.causedBy)
			c.Assert(last.Limit, qt.Equals, tc.limit)
		})
	}
}

// TestRefusalAtFullServiceNamesCustomerOverShare checks that a customer within its share, whose request expires in the
// queue, gets a refusal that names the customer with all the slots.
func TestRefusalAtFullServiceNamesCustomerOverShare(t *testing.T) {
	c := qt.New(t)
	controller := admission.NewController(admission.DefaultSettings(ident.Instance{VM: "e", Incarnation: 1}))
	class := template.ClassPlan{Name: "x", Service: "model", Worth: 1, Deadline: time.Second}
	var plans []template.CustomerPlan
	for _, name := range []ident.Customer{"a", "b"} {
		plans = append(plans, template.CustomerPlan{Customer: name, Weight: 1, Classes: []template.ClassPlan{class}})
	}
	now := time.Unix(100, 0)
	controller.Step(now, admission.Configure{Plans: plans, Roster: []ident.VM{"e"}})
	controller.Step(now, admission.Capacity{Service: "model", Slots: 4})
	for i := range 4 {
		controller.Step(now, admission.Arrive{Request: ident.Request(fmt.Sprint(i)), Customer: "a", Class: "x"})
	}
	c.Assert(controller.Step(now, admission.Arrive{Request: "b", Customer: "b", Class: "x"}), qt.HasLen, 0)
	c.Assert(controller.Queues(), qt.DeepEquals, []admission.QueueState{
		{Service: "model", Customer: "a", Open: 4, Slots: 2},
		{Service: "model", Customer: "b", Waiting: 1, Slots: 2},
	})
	actions := controller.Step(now.Add(2*time.Second), admission.Tick{})
	at := slices.IndexFunc(actions, func(a admission.Action) bool { _, ok := a.(admission.Refuse); return ok })
	refused := actions[at].(admission.Refuse).Outcome
	c.Assert(refused.Cause, qt.Equals, outcome.CauseBackendsFull)
	c.Assert(refused.CausedBy, qt.Equals, ident.Customer("a"))
}

// TestSharesCountMeasuredSlotTime guards against unfair shares when requests take much longer than estimated. All
// requests end with an unknown outcome, so that the cost estimate never improves.
func TestSharesCountMeasuredSlotTime(t *testing.T) {
	c := qt.New(t)
	controller := admission.NewController(admission.DefaultSettings(ident.Instance{VM: "e", Incarnation: 1}))
	class := template.ClassPlan{Name: "x", Service: "model", Worth: 1, Deadline: 50 * time.Second}
	serviceTimes := map[ident.Customer]time.Duration{"long": time.Second, "short": 100 * time.Millisecond}
	var plans []template.CustomerPlan
	for _, name := range []ident.Customer{"long", "short"} {
		plans = append(plans, template.CustomerPlan{Customer: name, Weight: 1, Classes: []template.ClassPlan{class}})
	}
	now := time.Unix(100, 0)
	controller.Step(now, admission.Configure{Plans: plans, Roster: []ident.VM{"e"}})
	running := ident.Request("")
	recordAdmitted := func(actions []admission.Action) {
		for _, action := range actions {
			if admit, ok := action.(admission.Admit); ok {
				running = admit.Request
			}
		}
	}
	owners := make(map[ident.Request]ident.Customer)
	got := make(map[ident.Customer]time.Duration)
	recordAdmitted(controller.Step(now, admission.Capacity{Service: "model", Slots: 1}))
	for i := range 1000 {
		for _, name := range []ident.Customer{"long", "short"} {
			request := ident.Request(fmt.Sprint(name, i))
			owners[request] = name
			recordAdmitted(controller.Step(now, admission.Arrive{Request: request, Customer: name, Class: "x"}))
		}
		serviceTime := serviceTimes[owners[running]]
		got[owners[running]] += serviceTime
		now = now.Add(serviceTime)
		unknown := outcome.InDoubt(outcome.CauseConnectionLost, "")
		recordAdmitted(controller.Step(now, admission.Done{Request: running, Outcome: unknown}))
	}
	ratio := got["long"].Seconds() / got["short"].Seconds()
	c.Assert(ratio > 0.9 && ratio < 1.1, qt.IsTrue, qt.Commentf("slot time %v", got))
}
