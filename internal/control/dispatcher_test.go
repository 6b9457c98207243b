package control_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// clockStart is the initial time of the tests' clock.
var clockStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clockAt returns the time that is ms milliseconds after clockStart.
func clockAt(ms int) time.Time { return clockStart.Add(time.Duration(ms) * time.Millisecond) }

// testEngine has the values of the engines in the users' first deployments.
var testEngine = routing.EngineModel{
	Slots: 12, Step: 4840 * time.Microsecond, PerWriter: 362 * time.Microsecond, PromptRate: 74_800, PromptChunk: 512,
	StepsPerPass: 6, MeanPromptTokens: 835, MeanAnswerTokens: 159, Experts: routing.ExpertLayers{Layers: 6, Experts: 64, Slots: 11, Share: 0.85},
}

var testRoute = routing.Route{
	Name: "drafts", Kind: routing.EventStream, Resumable: true, Timeout: 8 * time.Second, TargetLatency: 400 * time.Millisecond,
	EventGap: 120 * time.Millisecond, MaxServers: 2, Shares: []routing.ServiceShare{{Service: "model", Weight: 1}},
}

func testTable() *routing.Table {
	engine := testEngine
	services := []routing.DirectService{{Name: "model", Engine: &engine}, {Name: "plain"}}
	return routing.NewTable(1, routing.CallerLimits{}, []routing.Route{testRoute}, services, nil)
}

// testBackends returns model groups of eight ranks each, and plain servers.
func testBackends(groups, plain int) []membership.ListedBackend {
	var backends []membership.ListedBackend
	for group := range groups {
		for rank := range 8 {
			backends = append(backends, membership.ListedBackend{
				ID: fmt.Sprintf("g%d-%d", group, rank), Service: "model", Slots: 12,
				Group: ident.Group(fmt.Sprintf("g%d", group)), Rank: ident.Rank(rank), GroupSize: 8, GroupOpen: true,
			})
		}
	}
	for server := range plain {
		backends = append(backends, membership.ListedBackend{ID: fmt.Sprintf("p%d", server), Service: "plain", Slots: 6, Zone: "z"})
	}
	return backends
}

func newTestDispatcher(groups, plain int) *control.Dispatcher {
	repeats := attempt.RepeatConfig{Share: 0.2, Fixed: 176, Window: 10 * time.Second}
	d := control.NewDispatcher("z", 1, repeats)
	d.Configure(testTable())
	d.SetBackends(clockStart, testBackends(groups, plain))
	return d
}

func testRequest(id uint64, at time.Time, tokens int) control.BackendRequest {
	route := testRoute
	return control.BackendRequest{
		ID: id, Service: "model", Route: &route, Arrived: at, Deadline: at.Add(8 * time.Second), PromptTokens: tokens,
	}
}

// single returns the only assignment.
func single(c *qt.C, assignments []control.Assignment) control.Assignment {
	c.Helper()
	c.Assert(assignments, qt.HasLen, 1)
	return assignments[0]
}

// Simulates prompts of different sizes at the arrival rate of a busy day. A rank processes one
// chunk per pass, so that a long prompt delays all requests behind it at the rank although
// slots are free. Placing requests by the number of open requests makes some of them wait for
// passes that add up to seconds.
func TestLongPromptsDelayRequestsBehindThem(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	const pass = 60 * time.Millisecond
	const arrivals, perSecond = 2000, 75
	prompts := make([]int, arrivals)
	gaps := make([]time.Duration, arrivals)
	for i := range prompts {
		prompts[i] = min(int(560*math.Exp(0.9*random.NormFloat64())), 2880)
		gaps[i] = time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
	}
	byPromptTokens := countLatePrompts(prompts, gaps, pass, func(d *control.Dispatcher, now time.Time, i int, _ func(string) int) string {
		answer := d.RequestBackend(now, testRequest(uint64(i), now, prompts[i]))
		return answer[0].Backend.ID
	})
	byOpen := countLatePrompts(prompts, gaps, pass, func(_ *control.Dispatcher, _ time.Time, i int, open func(string) int) string {
		best := ""
		for _, backend := range testBackends(2, 0) {
			if best == "" || open(backend.ID) < open(best) {
				best = backend.ID
			}
		}
		return best
	})
	c.Logf("first events later than 250 ms: %d by unprocessed prompt tokens, %d by open requests, of %d", byPromptTokens, byOpen, arrivals)
	c.Assert(byPromptTokens*5 < byOpen, qt.IsTrue, qt.Commentf("%d by unprocessed prompt tokens, %d by open requests", byPromptTokens, byOpen))
	c.Assert(byPromptTokens < arrivals/50, qt.IsTrue, qt.Commentf("%d late of %d", byPromptTokens, arrivals))
}

// countLatePrompts returns how many prompts are processed more than 250 ms after their arrival.
// The second and later passes of the prompt itself are not counted in this time.
func countLatePrompts(prompts []int, gaps []time.Duration, pass time.Duration, place func(d *control.Dispatcher, now time.Time, i int, open func(string) int) string) int {
	d := newTestDispatcher(2, 0)
	free := map[string]time.Time{}
	open := map[string][]time.Time{}
	// ends are the requests in flight; each is reported to the dispatcher when it ends.
	type end struct {
		at time.Time
		id string
	}
	var ends []end
	now, late := clockStart, 0
	for i, tokens := range prompts {
		now = now.Add(gaps[i])
		ends = slices.DeleteFunc(ends, func(e end) bool {
			if !e.at.After(now) {
				d.RecordEnd(e.at, e.id, routing.SendServed, 0)
				return true
			}
			return false
		})
		for group := range 2 {
			d.RecordProgress(ident.Group(fmt.Sprintf("g%d", group)), now)
		}
		if i%20 == 0 {
			for group := range 2 {
				d.RecordGroupReport(now, control.GroupReport{
					Group: ident.Group(fmt.Sprintf("g%d", group)), RankLoads: make([]int, 8),
					Pace: admission.GroupPace{Writers: 55, Ranks: 8, Pass: pass, Skew: 1.2, Entries: 1},
				})
			}
		}
		id := place(d, now, i, func(id string) int {
			open[id] = slices.DeleteFunc(open[id], func(end time.Time) bool { return !end.After(now) })
			return len(open[id])
		})
		start := now
		if free[id].After(start) {
			start = free[id]
		}
		passes := (tokens + testEngine.PromptChunk - 1) / testEngine.PromptChunk
		free[id] = start.Add(time.Duration(passes) * pass)
		// A mean answer of 159 tokens takes 26 passes of 6 steps.
		open[id] = append(open[id], free[id].Add(26*pass))
		if free[id].Sub(now) > 250*time.Millisecond+time.Duration(passes-1)*pass {
			late++
		}
		ends = append(ends, end{at: free[id].Add(26 * pass), id: id})
	}
	return late
}

// Simulates a group that is stalled: its load looks low because its leader sends no reports. It
// must get no new requests until it sends events again.
func TestStalledGroupGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(2, 0)
	for i := range uint64(8) {
		d.RequestBackend(clockAt(0), testRequest(i, clockAt(0), 500))
	}
	d.RecordProgress("g0", clockAt(100))
	d.RecordProgress("g1", clockAt(600))
	for i := range uint64(10) {
		answer := single(c, d.RequestBackend(clockAt(650), testRequest(100+i, clockAt(650), 500)))
		c.Assert(answer.Backend.Group, qt.Equals, ident.Group("g1"))
	}
	d.RecordProgress("g0", clockAt(700))
	groups := map[ident.Group]int{}
	for i := range uint64(10) {
		groups[single(c, d.RequestBackend(clockAt(710), testRequest(200+i, clockAt(710), 500))).Backend.Group]++
	}
	c.Assert(groups["g0"] > 0, qt.IsTrue)
}

// Simulates a group whose only stream waits for its caller to read. It must get the requests of others, unless they get no event either.
func TestGroupWithHeldStreamsGetsRequests(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(1, 0)
	single(c, d.RequestBackend(clockAt(0), testRequest(1, clockAt(0), 500)))
	d.RecordProgress("g0", clockAt(100))
	d.RecordHeld("g0", 1)
	c.Assert(single(c, d.RequestBackend(clockAt(1000), testRequest(2, clockAt(1000), 500))).Backend.Group, qt.Equals, ident.Group("g0"))
	c.Assert(single(c, d.RequestBackend(clockAt(1300), testRequest(3, clockAt(1300), 500))).Backend.Group, qt.Equals, ident.Group("g0"))
	c.Assert(d.RequestBackend(clockAt(1500), testRequest(4, clockAt(1500), 500)), qt.HasLen, 0, qt.Commentf("the group is stalled"))
}

// Simulates the restart after a loss of power, when no group runs requests for a second.
// Requests must wait for a group, and be refused with a retry time if none is back in time.
func TestOutageOfAllGroups(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(2, 0)
	first := single(c, d.RequestBackend(clockAt(0), testRequest(1, clockAt(0), 500)))
	second := single(c, d.RequestBackend(clockAt(0), testRequest(2, clockAt(0), 500)))
	c.Assert(first.Backend.Group, qt.Not(qt.Equals), second.Backend.Group)
	d.RecordEnd(clockAt(10), first.Backend.ID, routing.SendGroupBroken, 0)
	d.RecordEnd(clockAt(10), second.Backend.ID, routing.SendGroupBroken, 0)
	c.Assert(d.RequestBackend(clockAt(20), testRequest(3, clockAt(20), 500)), qt.HasLen, 0, qt.Commentf("the request waits"))
	answer := single(c, d.Tick(clockAt(270)))
	c.Assert(answer.Cause, qt.Equals, outcome.CauseNone)
	c.Assert(answer.Request, qt.Equals, uint64(3))
	d.RecordEnd(clockAt(280), answer.Backend.ID, routing.SendGroupBroken, 0)
	d.SetBackends(clockAt(300), closed(testBackends(2, 0)))
	c.Assert(d.RequestBackend(clockAt(400), testRequest(4, clockAt(400), 500)), qt.HasLen, 0)
	c.Assert(d.Tick(clockAt(1399)), qt.HasLen, 0)
	refused := single(c, d.Tick(clockAt(1400)))
	c.Assert(refused.Cause, qt.Equals, outcome.CauseNoBackend)
	c.Assert(refused.RetryAfter, qt.Equals, 1500*time.Millisecond)
}

func closed(backends []membership.ListedBackend) []membership.ListedBackend {
	for i := range backends {
		backends[i].GroupOpen = false
	}
	return backends
}

// Simulates a spike beyond the load at which streams stay on time. The excess must be refused
// after a short wait, with the time after which slots are expected. No request may wait until
// its deadline.
func TestExcessRequestsAreRefusedSoon(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(1, 0)
	report := func(ms, writers int, pass time.Duration) []control.Assignment {
		return d.RecordGroupReport(clockAt(ms), control.GroupReport{
			Group: "g0", RankLoads: []int{writers / 8, writers / 8, writers / 8, writers / 8, writers / 8, writers / 8, writers / 8, writers / 8},
			Pace: admission.GroupPace{Writers: writers, Ranks: 8, Pass: pass, Skew: 2.5, Entries: 4},
		})
	}
	report(0, 80, 105*time.Millisecond)
	admitted, waiting := 0, 0
	for i := range uint64(20) {
		answers := d.RequestBackend(clockAt(1), testRequest(i, clockAt(1), 500))
		if len(answers) == 0 {
			waiting++
			continue
		}
		admitted++
	}
	c.Assert(admitted < 4, qt.IsTrue, qt.Commentf("%d admitted", admitted))
	c.Assert(waiting, qt.Equals, 20-admitted)
	c.Assert(d.Tick(clockAt(120)), qt.HasLen, 0)
	refused := d.Tick(clockAt(122))
	c.Assert(refused, qt.HasLen, waiting)
	for _, answer := range refused {
		c.Assert(answer.Cause, qt.Equals, outcome.CauseBackendsFull)
		c.Assert(answer.RetryAfter >= 700*time.Millisecond && answer.RetryAfter <= 2*time.Second, qt.IsTrue)
	}
	// The next map shortens passes: requests that wait then are served at once.
	for i := range uint64(3) {
		c.Assert(d.RequestBackend(clockAt(200), testRequest(100+i, clockAt(200), 500)), qt.HasLen, 0)
	}
	served := report(250, 60, 60*time.Millisecond)
	c.Assert(served, qt.HasLen, 3)
	for _, answer := range served {
		c.Assert(answer.Cause, qt.Equals, outcome.CauseNone)
	}
}

// Simulates the loss of one of two groups: ten entries look for slots at the other one, whose
// reports are up to 250 ms old. The sends that they report to each other must keep them from
// filling the same slots.
func TestLostGroupDoesNotOverfillTheOther(t *testing.T) {
	c := qt.New(t)
	const entries, life = 10, 1500 * time.Millisecond
	random := rand.New(rand.NewPCG(11, 12))
	dispatchers := make([]*control.Dispatcher, entries)
	for i := range dispatchers {
		dispatchers[i] = newTestDispatcher(1, 0)
	}
	type run struct {
		entry int
		id    string
		end   time.Time
	}
	var runs []run
	var loads []int
	sent, overfilled := 0, 0
	for ms := range 4000 {
		now := clockAt(ms)
		runs = slices.DeleteFunc(runs, func(r run) bool {
			if !now.Before(r.end) {
				dispatchers[r.entry].RecordEnd(now, r.id, routing.SendServed, 0)
				return true
			}
			return false
		})
		if ms%100 == 0 {
			loads = make([]int, 8)
			for _, r := range runs {
				loads[slices.IndexFunc(testBackends(1, 0), func(b membership.ListedBackend) bool { return b.ID == r.id })]++
			}
		}
		for i, d := range dispatchers {
			if ms%150 == 15*i {
				writers := 0
				for _, load := range loads {
					writers += load
				}
				d.RecordGroupReport(now, control.GroupReport{Group: "g0", RankLoads: loads, Pace: admission.GroupPace{
					Writers: writers, Ranks: 8, Pass: 60 * time.Millisecond, Skew: 1.2, Entries: entries,
				}})
			}
			d.RecordProgress("g0", now)
		}
		// 100 requests arrive per second, but the 96 slots of the group can serve only 64, as
		// each request takes 1.5 s.
		if random.IntN(10) != 0 {
			continue
		}
		entry := random.IntN(entries)
		for _, answer := range dispatchers[entry].RequestBackend(now, testRequest(uint64(ms), now, 700)) {
			if answer.Cause != outcome.CauseNone {
				continue
			}
			at := 0
			for _, r := range runs {
				if r.id == answer.Backend.ID {
					at++
				}
			}
			if sent++; at >= testEngine.Slots {
				overfilled++
			}
			runs = append(runs, run{entry: entry, id: answer.Backend.ID, end: now.Add(life)})
			for i, d := range dispatchers {
				if i != entry {
					d.RecordRemoteSend(now, control.RemoteSend{Group: "g0", Rank: answer.Backend.Rank, PromptTokens: 700})
				}
			}
		}
		for _, d := range dispatchers {
			// A request's ID is the millisecond of its arrival. It may wait for 120 ms: waitShare
			// of the target time of 400 ms.
			d.CancelRequest(clockAt(ms), uint64(ms-120))
		}
	}
	c.Logf("%d of %d requests came to a rank without a free slot", overfilled, sent)
	c.Assert(sent > 200, qt.IsTrue)
	c.Assert(overfilled*50 < sent, qt.IsTrue, qt.Commentf("%d of %d overfilled", overfilled, sent))
}

// Simulates the return of power: the list contains the earlier incarnations of the servers
// beside the new ones at the same addresses. No request may go to the earlier ones, which would
// reject all of them and use up the limit on repeats.
func TestReplacedServersGetNoRequests(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(1, 3)
	var listed []membership.ListedBackend
	for i, backend := range testBackends(1, 3) {
		backend.Address = fmt.Sprintf("10.0.0.%d:80", i)
		backend.Started = 1000
		listed = append(listed, backend)
		backend.ID, backend.Started = "new-"+backend.ID, 9000
		listed = append(listed, backend)
	}
	d.SetBackends(clockAt(0), listed)
	for i := range uint64(40) {
		answer := single(c, d.RequestBackend(clockAt(int(i)), testRequest(i, clockAt(int(i)), 500)))
		c.Assert(strings.HasPrefix(answer.Backend.ID, "new-"), qt.IsTrue, qt.Commentf("sent to %s", answer.Backend.ID))
	}
}

// Simulates a jump in the demand for some experts at a usual number of requests: measured
// passes are still short, but the skew predicts that they will be too long while experts are
// loaded. Requests that arrive in that time must wait and be served with the next map.
func TestSkewStopsAdmissionBeforePassesGrow(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(1, 0)
	report := func(ms int, skew float64, loading bool) []control.Assignment {
		return d.RecordGroupReport(clockAt(ms), control.GroupReport{
			Group: "g0", RankLoads: []int{10, 11, 10, 11, 10, 11, 10, 11},
			Pace: admission.GroupPace{Writers: 84, Ranks: 8, Pass: 52 * time.Millisecond, Skew: skew, Loading: loading, Entries: 4},
		})
	}
	report(0, 1.2, false)
	c.Assert(d.RequestBackend(clockAt(1), testRequest(1, clockAt(1), 500)), qt.HasLen, 1)
	report(10, 3.2, true)
	c.Assert(d.RequestBackend(clockAt(11), testRequest(2, clockAt(11), 500)), qt.HasLen, 0, qt.Commentf("the request waits for the next map"))
	served := report(100, 1.4, false)
	c.Assert(served, qt.HasLen, 1)
	c.Assert(served[0].Cause, qt.Equals, outcome.CauseNone)
}

// Interrupted streams must be served first, then urgent requests, then the others by arrival.
func TestWaitingRequestsAreServedInOrder(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(1, 0)
	d.SetBackends(clockAt(0), closed(testBackends(1, 0)))
	late, urgent, resumed := testRequest(1, clockAt(1), 1), testRequest(2, clockAt(2), 1), testRequest(3, clockAt(3), 1)
	late.Priority, urgent.Priority, resumed.Priority = 2, 1, 2
	resumed.Resumed = true
	for _, request := range []control.BackendRequest{late, urgent, resumed} {
		c.Assert(d.RequestBackend(request.Arrived, request), qt.HasLen, 0)
	}
	served := d.SetBackends(clockAt(50), testBackends(1, 0))
	var order []uint64
	for _, answer := range served {
		order = append(order, answer.Request)
	}
	c.Assert(order, qt.DeepEquals, []uint64{3, 2, 1})
}

// A server that is leaving or no longer listed must get no requests, and one that fails or is
// slow only few.
func TestUnhealthyPlainServersGetFewRequests(t *testing.T) {
	plain := func(id uint64, at time.Time) control.BackendRequest {
		route := routing.Route{Kind: routing.Idempotent, TargetLatency: 100 * time.Millisecond, MaxServers: 2}
		return control.BackendRequest{ID: id, Service: "plain", Route: &route, Arrived: at, Deadline: at.Add(600 * time.Millisecond)}
	}
	for _, test := range []struct {
		name    string
		result  routing.SendResult
		latency time.Duration
	}{
		{"fails", routing.SendFailed, 0},
		{"is slow", routing.SendServed, 100 * time.Millisecond},
		{"breaks off", routing.SendBroken, 0},
		{"takes no connections", routing.SendNotConnected, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newTestDispatcher(0, 3)
			bad := 0
			for i := range 60 {
				now := clockAt(i * 20)
				answer := single(c, d.RequestBackend(now, plain(uint64(i), now)))
				result, latency := routing.SendServed, 15*time.Millisecond
				if answer.Backend.ID == "p0" {
					bad++
					result, latency = test.result, test.latency
				}
				d.RecordEnd(now.Add(latency), answer.Backend.ID, result, latency)
			}
			c.Assert(bad <= 12, qt.IsTrue, qt.Commentf("%d of 60", bad))
		})
	}
	t.Run("leaves", func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(0, 3)
		backends := testBackends(0, 3)
		backends[0].Leaving = true
		d.SetBackends(clockAt(0), backends[:2])
		for i := range 20 {
			answer := single(c, d.RequestBackend(clockAt(i), plain(uint64(i), clockAt(i))))
			c.Assert(answer.Backend.ID, qt.Equals, "p1")
		}
	})
}
