package admission_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// drawEvents returns events of all kinds, including duplicate and invalid ones.
func drawEvents(t *rapid.T) []admission.Event {
	var events []admission.Event
	request := func() ident.Request { return ident.Request(fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "request"))) }
	customer := func() ident.Customer { return rapid.SampledFrom([]ident.Customer{"a", "b", "z"}).Draw(t, "customer") }
	class := func() ident.Class { return rapid.SampledFrom([]ident.Class{"x", "y"}).Draw(t, "class") }
	for range rapid.IntRange(1, 200).Draw(t, "events") {
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0, 1, 2, 3:
			events = append(events, admission.Arrive{
				Request: request(), Customer: customer(), Class: class(), Retry: rapid.Bool().Draw(t, "retry"),
				Tokens: rapid.IntRange(0, 50).Draw(t, "tokens"), Worth: float64(rapid.IntRange(0, 3).Draw(t, "worth")),
			})
		case 4, 5:
			kind := outcome.Kind(rapid.IntRange(1, 3).Draw(t, "outcome"))
			result := outcome.Outcome{Kind: kind, Cause: outcome.CauseConnectionLost}
			events = append(events, admission.Done{Request: request(), Tokens: rapid.IntRange(0, 90).Draw(t, "used"), Outcome: result})
		case 6:
			events = append(events, admission.Cancel{Request: request()})
		case 7:
			events = append(events, admission.Capacity{Service: "model", Slots: rapid.IntRange(-1, 4).Draw(t, "slots")})
		case 8:
			events = append(events, drawConfigure(t))
		default:
			events = append(events, admission.Tick{})
		}
	}
	return events
}

func drawConfigure(t *rapid.T) admission.Configure {
	limits := template.Limits{
		RatePerSecond: rapid.SampledFrom([]float64{0, 1, 50}).Draw(t, "rate"),
		Concurrency:   rapid.SampledFrom([]int{0, 2, 30}).Draw(t, "concurrency"),
	}
	plan := func(name ident.Customer) template.CustomerPlan {
		classes := []template.ClassPlan{
			{Name: "x", Service: "model", Worth: 1, Deadline: time.Second, Limits: limits},
			{Name: "y", Service: rapid.SampledFrom([]ident.Service{"model", "other"}).Draw(t, "service"), Worth: 1, Priority: 1, Deadline: 5 * time.Second},
		}
		return template.CustomerPlan{Customer: name, Weight: float64(rapid.IntRange(1, 3).Draw(t, "weight")), Classes: classes}
	}
	plans := []template.CustomerPlan{plan("a"), plan("b")}
	return admission.Configure{Plans: plans[:rapid.IntRange(1, 2).Draw(t, "plans")], Roster: []ident.VM{"e", "f"}}
}

// actionMonitor tracks the open requests by the events and actions of a controller.
type actionMonitor struct {
	open, admitted map[ident.Request]bool
	arrivals       uint64
}

func (m *actionMonitor) check(t *rapid.T, event admission.Event, actions []admission.Action) {
	if arrive, ok := event.(admission.Arrive); ok && !m.open[arrive.Request] {
		m.open[arrive.Request] = true
		m.arrivals++
	}
	if done, ok := event.(admission.Done); ok && m.admitted[done.Request] {
		delete(m.open, done.Request)
		delete(m.admitted, done.Request)
	}
	for _, action := range actions {
		switch a := action.(type) {
		case admission.Admit:
			if !m.open[a.Request] || m.admitted[a.Request] {
				t.Fatalf("%s was admitted twice or without arrival", a.Request)
			}
			m.admitted[a.Request] = true
		case admission.Refuse:
			if !m.open[a.Request] || m.admitted[a.Request] {
				t.Fatalf("%s was refused after its admission or without arrival", a.Request)
			}
			if a.Outcome.Kind != outcome.NotRun || a.Outcome.Cause == outcome.CauseNone {
				t.Fatalf("%s was refused without cause", a.Request)
			}
			delete(m.open, a.Request)
		}
	}
}

// TestAccountIsConserved checks that each request is admitted or refused once, and that at every step the arrivals
// equal the sum of outcomes and open requests, whatever the order of events. The same events must also produce the
// same actions on a second controller.
func TestAccountIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := admission.DefaultSettings(ident.Instance{VM: "e", Incarnation: 1})
		controller, second := admission.NewController(settings), admission.NewController(settings)
		monitor := &actionMonitor{open: make(map[ident.Request]bool), admitted: make(map[ident.Request]bool)}
		now := time.Unix(100, 0)
		for _, event := range append([]admission.Event{drawConfigure(t)}, drawEvents(t)...) {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			// Expired requests are refused first, so that a request with the same ID can arrive again.
			monitor.check(t, admission.Tick{}, controller.Step(now, admission.Tick{}))
			second.Step(now, admission.Tick{})
			actions := controller.Step(now, event)
			if !reflect.DeepEqual(actions, second.Step(now, event)) {
				t.Fatalf("the same events gave different actions")
			}
			monitor.check(t, event, actions)
			var arrivals, open uint64
			for _, entry := range controller.Account().Snapshot() {
				arrivals += entry.Arrivals
				open += entry.Open
				if !entry.Conserved() {
					t.Fatalf("not conserved: %+v", entry)
				}
			}
			if arrivals != monitor.arrivals || open != uint64(len(monitor.open)) {
				t.Fatalf("the events and actions show %d arrivals and %d open requests, the account counts %d and %d", monitor.arrivals, len(monitor.open), arrivals, open)
			}
		}
	})
}

// TestCollectorMergesAndReportsLoss guards against wrong totals when account reports arrive duplicated or reordered,
// or when reports are lost that later ones supersede.
func TestCollectorMergesAndReportsLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		collector := admission.NewAccountCollector()
		var want uint64
		lost := 0
		for process := range rapid.IntRange(1, 4).Draw(t, "processes") {
			account := admission.NewAccount(ident.Instance{VM: ident.VM(fmt.Sprint(process)), Incarnation: 1})
			var reports []admission.AccountReport
			for range rapid.IntRange(1, 30).Draw(t, "reports") {
				key := admission.ClassKey{Customer: "a", Class: rapid.SampledFrom([]ident.Class{"x", "y"}).Draw(t, "class")}
				account.Arrive(key)
				if rapid.Bool().Draw(t, "close") {
					account.Close(key, outcome.Refused(outcome.CauseRateLimit), admission.LimitRate, 2)
				}
				want++
				report, _ := account.Report(false)
				reports = append(reports, report)
			}
			final, _ := account.Report(true)
			// The final report has no entries. The test therefore never loses the last report with entries, whose
			// counts no later report includes.
			received := append([]admission.AccountReport{}, reports[len(reports)-1], final)
			// lastOfClass is the index of each class's last report, which includes all earlier counts of the class.
			lastOfClass := map[ident.Class]int{}
			for i, report := range reports {
				lastOfClass[report.Entries[0].Key.Class] = i
			}
			for i, report := range reports[:len(reports)-1] {
				if lastOfClass[report.Entries[0].Key.Class] != i && rapid.Bool().Draw(t, "lose") {
					lost++
					continue
				}
				received = append(received, report, report)
			}
			rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0)).Shuffle(len(received), func(i, j int) {
				received[i], received[j] = received[j], received[i]
			})
			for _, report := range received {
				collector.Add(report)
			}
		}
		merged := collector.Snapshot()
		var arrivals uint64
		for _, entry := range merged.Entries {
			arrivals += entry.Arrivals
			if !entry.Conserved() {
				t.Fatalf("not conserved: %+v", entry)
			}
		}
		if arrivals != want || merged.Lost != uint64(lost) {
			t.Fatalf("the processes counted %d arrivals and %d reports were lost, the collector has %d and %d", want, lost, arrivals, merged.Lost)
		}
	})
}

// TestCollectorAcceptsHugeSequence guards against unbounded work and memory when a report has a huge sequence number.
func TestCollectorAcceptsHugeSequence(t *testing.T) {
	c := qt.New(t)
	collector := admission.NewAccountCollector()
	collector.Add(admission.AccountReport{Sequence: 1 << 60})
	c.Assert(collector.Snapshot().Lost, qt.Equals, uint64(1<<60-1))
}

// TestNoRefusalIsLostBeyondMaxUnservedCounts checks that no refusal is lost when the list of an account
// entry is full and further customers are counted together.
func TestNoRefusalIsLostBeyondMaxUnservedCounts(t *testing.T) {
	c := qt.New(t)
	account := admission.NewAccount(ident.Instance{})
	key := admission.ClassKey{Customer: "a", Class: "x"}
	const refusals = 3 * admission.MaxUnservedCounts
	for i := range refusals {
		account.Arrive(key)
		refused := outcome.Refused(outcome.CauseBackendsFull)
		refused.CausedBy = ident.Customer(fmt.Sprint(i))
		account.Close(key, refused, admission.LimitCapacity, 1)
	}
	entry := account.Snapshot()[0]
	c.Assert(entry.Conserved(), qt.IsTrue)
	c.Assert(len(entry.NotRun) <= admission.MaxUnservedCounts+1, qt.IsTrue)
	worth := 0.0
	for _, refused := range entry.NotRun {
		worth += refused.Worth
	}
	c.Assert(worth, qt.Equals, float64(refusals))
}
