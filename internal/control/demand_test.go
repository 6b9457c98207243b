package control_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// fullPace is the pace of a group of eight ranks without room for another stream.
func fullPace() admission.GroupPace {
	gate := admission.PassGate{Engine: &testEngine, MaxEventGap: testRoute.EventGap}
	pace := admission.GroupPace{Ranks: 8, Skew: 1.3, Entries: 1, Pass: 60 * time.Millisecond}
	for gate.Admits(pace, pace.Writers) && pace.Writers < 8*testEngine.Slots-1 {
		pace.Writers++
	}
	pace.Pass = gate.PredictPass(pace, pace.Writers)
	return pace
}

// offer sends a request of a customer and returns the only decision, or none if the request waits.
func offer(d *control.Dispatcher, id uint64, at time.Time, customer ident.Customer, priority int) []control.Assignment {
	request := testRequest(id, at, 100)
	request.Customer, request.Priority = customer, priority
	return d.RequestBackend(at, request)
}

// report passes a leader's report with demand to the dispatcher.
func reportDemand(d *control.Dispatcher, at time.Time, group ident.Group, pace admission.GroupPace, demand []admission.CustomerDemand) {
	d.RecordProgress(group, at)
	d.RecordGroupReport(at, control.GroupReport{Group: group, Pace: pace, RankLoads: make([]int, 8), Demand: demand})
}

// overloadedDispatcher returns a dispatcher with groups that are full and whose demand is three times their capacity: one half
// from a customer that floods, the other from ten customers within their share.
func overloadedDispatcher(groups int, at time.Time) (*control.Dispatcher, []admission.CustomerDemand) {
	d := newTestDispatcher(groups, 0)
	pace := fullPace()
	gate := admission.PassGate{Engine: &testEngine, MaxEventGap: testRoute.EventGap}
	capacity := gate.Capacity(pace) * float64(groups)
	demand := []admission.CustomerDemand{{Customer: "flood", Priority: 3, Rate: 2 * capacity}, {Customer: "flood", Priority: 0, Rate: 0.05 * capacity}}
	for i := range 10 {
		demand = append(demand, admission.CustomerDemand{Customer: ident.Customer(fmt.Sprint("small", i)), Priority: 2, Rate: 0.05 * capacity})
	}
	offer(d, 1, at, "small0", 2) // shows the route's longest pause to the dispatcher
	for group := range groups {
		reportDemand(d, at, ident.Group(fmt.Sprintf("g%d", group)), pace, demand)
	}
	return d, demand
}

// refusedForShare counts the requests of a customer that are refused for its share, of a number of requests.
func refusedForShare(c *qt.C, d *control.Dispatcher, at time.Time, customer ident.Customer, priority, requests int) int {
	refused := 0
	for i := range requests {
		for _, answer := range offer(d, uint64(1000+i), at, customer, priority) {
			if answer.Cause == outcome.CauseOverShare {
				c.Assert(answer.CausedBy, qt.Equals, ident.Customer("flood"))
				c.Assert(answer.RetryAfter >= 700*time.Millisecond && answer.RetryAfter <= 2*time.Second, qt.IsTrue)
				c.Assert(answer.Waited, qt.Equals, time.Duration(0))
				refused++
			}
		}
	}
	return refused
}

// A flood must be refused at once with its cause, while the others and the urgent requests of the flooding customer are not.
// A service in several groups divides the sum of the capacities; the demand, which each group's leader reports, counts once.
func TestFloodIsRefusedForItsShare(t *testing.T) {
	for groups := 1; groups <= 2; groups++ {
		t.Run(fmt.Sprint(groups), func(t *testing.T) {
			c := qt.New(t)
			d, _ := overloadedDispatcher(groups, clockAt(1000))
			at := clockAt(1200)
			// The flood's share is 0.95 - 0.5 of the capacity, of which 0.05 goes to its urgent requests: 0.4 of 2.
			refused := refusedForShare(c, d, at, "flood", 3, 100)
			c.Assert(refused >= 78 && refused <= 82, qt.IsTrue, qt.Commentf("%d of 100", refused))
			c.Assert(refusedForShare(c, d, at, "flood", 0, 20), qt.Equals, 0)
			c.Assert(refusedForShare(c, d, at, "small1", 2, 20), qt.Equals, 0)
			c.Assert(refusedForShare(c, d, at, "unknown", 2, 20), qt.Equals, 0)
		})
	}
}

// Nothing is refused for shares where overload is not certain: without a recent report of each group, with demand within the
// capacity, or while a group has room for more streams.
func TestNothingIsRefusedForSharesWithoutOverload(t *testing.T) {
	c := qt.New(t)
	d, _ := overloadedDispatcher(1, clockAt(1000))
	c.Assert(refusedForShare(c, d, clockAt(2100), "flood", 3, 50), qt.Equals, 0, qt.Commentf("old report"))

	d, demand := overloadedDispatcher(2, clockAt(1000))
	reportDemand(d, clockAt(1900), "g0", fullPace(), demand)
	c.Assert(refusedForShare(c, d, clockAt(2100), "flood", 3, 50), qt.Equals, 0, qt.Commentf("old report of one group"))

	d, demand = overloadedDispatcher(1, clockAt(1000))
	for i := range demand {
		demand[i].Rate /= 3
	}
	reportDemand(d, clockAt(1200), "g0", fullPace(), demand)
	c.Assert(refusedForShare(c, d, clockAt(1201), "flood", 3, 50), qt.Equals, 0, qt.Commentf("demand within the capacity"))

	d, demand = overloadedDispatcher(1, clockAt(1000))
	pace := fullPace()
	pace.Writers /= 2
	pace.Pass /= 2
	reportDemand(d, clockAt(1200), "g0", pace, demand)
	c.Assert(refusedForShare(c, d, clockAt(1201), "flood", 3, 5), qt.Equals, 0, qt.Commentf("group with room"))
}

// A group that cannot run requests has no capacity: on one side of a partition, the other group's ranks do not answer and its leader
// is not heard, and the entries divide what is left.
func TestSharesOnOneSideOfAPartition(t *testing.T) {
	c := qt.New(t)
	d, demand := overloadedDispatcher(2, clockAt(1000))
	d.RecordEnd(clockAt(2050), "g1-0", routing.SendGroupBroken, 0)
	for i := range demand {
		demand[i].Rate /= 2 // the other side has the other half of the demand
	}
	reportDemand(d, clockAt(2100), "g0", fullPace(), demand)
	refused := refusedForShare(c, d, clockAt(2110), "flood", 3, 100)
	c.Assert(refused >= 78 && refused <= 82, qt.IsTrue, qt.Commentf("%d of 100", refused))
	c.Assert(refusedForShare(c, d, clockAt(2120), "small1", 2, 20), qt.Equals, 0)
}

// Reports with demand within the capacity must not change any decision: the same load gives the same assignments with and
// without them.
func TestDemandWithinCapacityChangesNothing(t *testing.T) {
	c := qt.New(t)
	run := func(demand []admission.CustomerDemand) []string {
		d := newTestDispatcher(2, 2)
		var decisions []string
		pace := admission.GroupPace{Writers: 30, Ranks: 8, Pass: 60 * time.Millisecond, Skew: 1.3, Entries: 3}
		for ms := range 3000 {
			at := clockAt(ms)
			if ms%200 == 0 {
				pace.Writers = 30 + ms/100 // up to a group that is full
				for _, group := range []ident.Group{"g0", "g1"} {
					reportDemand(d, at, group, pace, demand)
				}
			}
			if ms%20 != 0 {
				continue
			}
			request := testRequest(uint64(ms), at, 300)
			request.Customer, request.Priority = ident.Customer(fmt.Sprint(ms%3)), ms%4
			if ms%60 == 0 {
				request.Service = "plain"
			}
			for _, answer := range append(d.RequestBackend(at, request), d.Tick(at)...) {
				decisions = append(decisions, fmt.Sprint(ms, answer.Request, answer.Backend.ID, answer.Cause, answer.RetryAfter))
				if answer.Cause == outcome.CauseNone && ms%40 == 0 {
					decisions = append(decisions, fmt.Sprint(d.RecordEnd(at, answer.Backend.ID, routing.SendServed, 0)))
				}
			}
		}
		return decisions
	}
	var demand []admission.CustomerDemand
	for i := range 12 {
		demand = append(demand, admission.CustomerDemand{Customer: ident.Customer(fmt.Sprint(i % 3)), Priority: i / 3, Rate: 2, Retries: 0.2})
	}
	c.Assert(run(demand), qt.DeepEquals, run(nil))
}

// Where all slots of a plain service are taken, the requests of a customer within its share must not wait behind those of a
// flood that arrived before, urgent ones go first, and nothing is refused for shares.
func TestPlainServiceServesCustomersWithinTheirShareFirst(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(0, 1)
	send := func(id uint64, at time.Time, customer ident.Customer, priority int) {
		request := testRequest(id, at, 0)
		request.Service, request.Customer, request.Priority = "plain", customer, priority
		for _, answer := range d.RequestBackend(at, request) {
			c.Assert(answer.Cause, qt.Equals, outcome.CauseNone)
		}
	}
	// The flood fills the 24 places of the server; 8 requests end and 20 wait.
	for id := range uint64(44) {
		send(id+1, clockAt(1100+int(id)), "flood", 2)
	}
	for range 8 {
		d.RecordEnd(clockAt(1150), "p0", routing.SendServed, 0)
	}
	for id := range uint64(8) {
		send(id+101, clockAt(1151), "flood", 2)
	}
	send(901, clockAt(1153), "small", 2)
	send(902, clockAt(1154), "small", 1)
	var order []uint64
	for range 12 {
		for _, served := range d.RecordEnd(clockAt(1160), "p0", routing.SendServed, 0) {
			order = append(order, served.Request)
		}
	}
	c.Assert(order, qt.HasLen, 12)
	c.Assert(order[0], qt.Equals, uint64(902))
	// Fewer than half of the 20 waiting requests of the flood are within its share.
	c.Assert(slices.Index(order, 901) >= 0, qt.IsTrue, qt.Commentf("order %v", order))
}

// An entry states what callers offer for the service of a group, also what it refuses, and each request once.
func TestOfferedDemandIsCountedOnce(t *testing.T) {
	c := qt.New(t)
	d, _ := overloadedDispatcher(1, clockAt(1000))
	for i := range 20 {
		at := clockAt(1200 + i)
		request := testRequest(uint64(2000+i), at, 100)
		request.Customer, request.Priority, request.Retry = "flood", 3, i%4 == 0
		d.RequestBackend(at, request)
		request.Reason = control.SendReasonNotConnected
		d.RequestBackend(at, request)
	}
	demand := d.GroupDemand(clockAt(1400), "g0")
	c.Assert(demand, qt.HasLen, 2)
	c.Assert(demand[0].Customer, qt.Equals, ident.Customer("flood"))
	c.Assert(demand[0].Rate >= 20 && demand[0].Rate <= 25, qt.IsTrue, qt.Commentf("%+v", demand[0]))
	c.Assert(demand[0].Retries, qt.Equals, demand[0].Rate/4)
}

// Shares must take effect within a second of a flood, stay steady while it lasts, with callers that retry once, and end within a
// second of it. Statements and reports take the time that they take between processes: ticks of 200 ms at both.
func TestSharesFollowAFloodWithinASecond(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(1, 0)
	pace := fullPace()
	gate := admission.PassGate{Engine: &testEngine, MaxEventGap: testRoute.EventGap}
	capacity := gate.Capacity(pace)
	const begin, end, last = 3000, 9000, 12000
	var stated []admission.CustomerDemand
	statedRate, reportedRate, first := 0.0, 0.0, 0
	offered, refused := make([]float64, last/1000), make([]float64, last/1000)
	retries := map[int]int{}
	id := uint64(0)
	send := func(ms int, customer ident.Customer, retry bool) {
		id++
		request := testRequest(id, clockAt(ms), 100)
		request.Customer, request.Priority, request.Retry = customer, 2, retry
		if customer == "flood" {
			offered[ms/1000]++
		}
		for _, answer := range d.RequestBackend(clockAt(ms), request) {
			if answer.Cause != outcome.CauseOverShare {
				continue
			}
			c.Assert(customer, qt.Equals, ident.Customer("flood"))
			refused[ms/1000]++
			if first == 0 {
				first = ms
			}
			if !retry {
				retries[ms+int(answer.RetryAfter.Milliseconds())]++
			}
		}
	}
	smallCredit, floodCredit := 0.0, 0.0
	for ms := range last {
		if ms%200 == 0 {
			demand := d.GroupDemand(clockAt(ms), "g0")
			if rate := admission.TotalRate(demand); ms%400 == 0 || admission.DemandChanged(statedRate, rate) {
				stated, statedRate = demand, rate
			}
			d.Tick(clockAt(ms))
		}
		if ms%200 == 100 {
			var demand []admission.CustomerDemand
			if ms%400 == 100 || admission.DemandChanged(reportedRate, statedRate) {
				demand, reportedRate = stated, statedRate
			}
			reportDemand(d, clockAt(ms), "g0", pace, demand)
		}
		for range retries[ms] {
			send(ms, "flood", true)
		}
		if smallCredit += 0.4 * capacity / 1000; smallCredit >= 1 {
			smallCredit--
			send(ms, "small", false)
		}
		if floodCredit += 2 * capacity / 1000; ms >= begin && ms < end && floodCredit >= 1 {
			floodCredit--
			send(ms, "flood", false)
		}
		floodCredit = min(floodCredit, 1)
	}
	c.Logf("first refusal %d ms after the beginning; of %v offered each second, %v refused", first-begin, offered, refused)
	c.Check(first > begin && first <= begin+1000, qt.IsTrue)
	for second := begin/1000 + 2; second < end/1000; second++ {
		// The flood's share is 0.95 - 0.4 of the capacity.
		admitted := (offered[second] - refused[second]) / capacity
		c.Check(admitted > 0.4 && admitted < 0.7, qt.IsTrue, qt.Commentf("second %d: %.2f of the capacity", second, admitted))
	}
	// Retries arrive up to 2 s after the flood; what they ask for is within the share after one.
	c.Check(refused[end/1000+2], qt.Equals, 0.0)
}

// A large customer that demands as much as usual must not be refused for another's flood. With equal weights it would exceed its
// share in each overload.
func TestLargeCustomersKeepTheirUsualShare(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(1, 0)
	pace := fullPace()
	gate := admission.PassGate{Engine: &testEngine, MaxEventGap: testRoute.EventGap}
	capacity := gate.Capacity(pace)
	usual := []admission.CustomerDemand{{Customer: "large", Priority: 1, Rate: 0.4 * capacity}}
	for i := range 10 {
		usual = append(usual, admission.CustomerDemand{Customer: ident.Customer(fmt.Sprint("small", i)), Priority: 3, Rate: 0.02 * capacity})
	}
	for ms := 1000; ms < 3000; ms += 200 {
		offer(d, uint64(ms), clockAt(ms), "small0", 3)
		reportDemand(d, clockAt(ms+100), "g0", pace, usual)
	}
	flood := append(slices.Clone(usual), admission.CustomerDemand{Customer: "flood", Priority: 0, Rate: 3 * capacity})
	for ms := 3000; ms < 4000; ms += 200 {
		reportDemand(d, clockAt(ms), "g0", pace, flood)
	}
	at := clockAt(3900)
	c.Assert(refusedForShare(c, d, at, "flood", 0, 40) > 30, qt.IsTrue)
	c.Assert(refusedForShare(c, d, at, "large", 1, 40), qt.Equals, 0)
	c.Assert(refusedForShare(c, d, at, "small3", 3, 40), qt.Equals, 0)
}
