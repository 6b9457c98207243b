package admission_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// benchPlans returns plans with four classes each, two of them with limits.
func benchPlans(customers int) []template.CustomerPlan {
	limits := template.Limits{RatePerSecond: 1e9, Concurrency: 1 << 30}
	classes := []template.ClassPlan{
		{Name: "lookup", Service: "counter", Worth: 1, Deadline: time.Second, Limits: limits},
		{Name: "redemption", Service: "counter", Worth: 5, Priority: 1, Deadline: 4 * time.Second, Limits: limits},
		{Name: "appeal", Service: "model", Worth: 4, Priority: 1, Deadline: 15 * time.Second},
		{Name: "draft", Service: "model", Worth: 3, Priority: 2, Deadline: 40 * time.Second},
	}
	var plans []template.CustomerPlan
	for i := range customers {
		plans = append(plans, template.CustomerPlan{Customer: customerName(i), Weight: float64(1 + i%4), Classes: classes})
	}
	return plans
}

func customerName(i int) ident.Customer {
	return ident.Customer(fmt.Sprintf("customer-%03d", i))
}

func benchRoster(entries int) []ident.VM {
	var roster []ident.VM
	for i := range entries {
		roster = append(roster, ident.VM(fmt.Sprintf("entry-%03d", i)))
	}
	return roster
}

// BenchmarkArriveDone measures one arrival that is queued, the dispatch of another request and its completion, while
// requests of all customers are queued.
func BenchmarkArriveDone(b *testing.B) {
	for _, customers := range []int{10, 100, 570} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			controller := admission.NewController(admission.DefaultSettings(ident.Instance{VM: "entry-000", Incarnation: 1}))
			now := time.Unix(1000, 0)
			controller.Step(now, admission.Configure{Plans: benchPlans(customers), Roster: benchRoster(1)})
			controller.Step(now, admission.Capacity{Service: "model", Slots: 64, ServiceTime: time.Millisecond})
			open := make([]ident.Request, 0, 128)
			names := make([]ident.Request, 1<<16)
			for i := range names {
				names[i] = ident.Request(fmt.Sprint("r", i))
			}
			served := outcome.Outcome{Kind: outcome.Served}
			recordAdmitted := func(actions []admission.Action) {
				for _, action := range actions {
					if admit, ok := action.(admission.Admit); ok {
						open = append(open, admit.Request)
					}
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(15 * time.Microsecond)
				recordAdmitted(controller.Step(now, admission.Arrive{
					Request: names[i%len(names)], Customer: customerNames[i%customers], Class: "draft", Tokens: 100,
				}))
				if len(open) >= 64 {
					done := open[0]
					open = append(open[:0], open[1:]...)
					recordAdmitted(controller.Step(now, admission.Done{Request: done, Outcome: served}))
				}
			}
		})
	}
}

var customerNames = func() []ident.Customer {
	var names []ident.Customer
	for i := range 570 {
		names = append(names, customerName(i))
	}
	return names
}()

// BenchmarkMemory reports the memory of a controller and a coordinator with 570 customers of four classes each, for
// three numbers of entries.
func BenchmarkMemory(b *testing.B) {
	for _, entries := range []int{3, 36, 360} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			plans, roster := benchPlans(570), benchRoster(entries)
			settings := admission.DefaultSettings(ident.Instance{VM: "entry-000", Incarnation: 1})
			for b.Loop() {
				before := heapInUse()
				controller := admission.NewController(settings)
				coordinator := admission.NewLimitCoordinator(settings)
				now := time.Unix(1000, 0)
				start := time.Now()
				controller.Step(now, admission.Configure{Plans: plans, Roster: roster})
				coordinator.Step(now, admission.Configure{Plans: plans, Roster: roster})
				b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "configure-ms")
				start = time.Now()
				controller.Step(now, admission.Configure{Plans: plans, Roster: roster})
				coordinator.Step(now, admission.Configure{Plans: plans, Roster: roster})
				b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "reconfigure-ms")
				for i := range 570 {
					for _, class := range []ident.Class{"lookup", "redemption", "appeal", "draft"} {
						request := ident.Request(fmt.Sprint(i, class))
						controller.Step(now, admission.Arrive{Request: request, Customer: customerNames[i], Class: class})
					}
				}
				b.ReportMetric(float64(heapInUse()-before)/1024, "KiB")
				runtime.KeepAlive(controller)
				runtime.KeepAlive(coordinator)
			}
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkDemandShares measures one decision, which an entry makes ten times a second while there is demand.
func BenchmarkDemandShares(b *testing.B) {
	var demands []admission.CustomerDemand
	for i := range admission.MaxDemandItems {
		demands = append(demands, admission.CustomerDemand{Customer: ident.Customer(fmt.Sprint(i / 3)), Priority: i % 3, Rate: float64(i + 1)})
	}
	for b.Loop() {
		admission.DemandShares{}.Fractions(300, demands)
	}
}
