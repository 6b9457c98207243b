package routing_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// candidate returns a backend server that accepts requests.
func candidate(i int) routing.Candidate {
	return routing.Candidate{
		BackendView: membership.BackendView{
			VM:           ident.VM(fmt.Sprintf("backend-%02d", i)),
			State:        membership.StateAlive,
			Incarnation:  ident.Incarnation(100 + i),
			Lease:        membership.LeaseNumber(200 + i),
			Expires:      now.Add(time.Second),
			Credits:      8,
			FirstGranted: now.Add(-time.Hour),
		},
		Zone:     "z0",
		Capacity: 16,
	}
}

func candidates(count int) []routing.Candidate {
	list := make([]routing.Candidate, count)
	for i := range list {
		list[i] = candidate(i)
	}
	return list
}

func newPicker(seed uint64) *routing.Picker {
	return routing.NewPicker(routing.DefaultPolicy(routing.DefaultEstimate()), seed)
}

// countPicks returns how often each candidate is picked in 1000 picks.
func countPicks(list []routing.Candidate, request routing.Request, prefixes routing.PrefixLookup) map[ident.VM]int {
	picker := newPicker(1)
	picked := map[ident.VM]int{}
	for range 1000 {
		picked[picker.Pick(now, request, routing.Snapshot{Candidates: list, Prefixes: prefixes}).VM]++
	}
	return picked
}

func TestPickReturnsLease(t *testing.T) {
	c := qt.New(t)
	decision := newPicker(1).Pick(now, routing.Request{}, routing.Snapshot{Candidates: candidates(1)})
	c.Assert(decision.Cause, qt.Equals, outcome.CauseNone)
	c.Assert(decision.VM, qt.Equals, ident.VM("backend-00"))
	c.Assert(decision.Incarnation, qt.Equals, ident.Incarnation(100))
	c.Assert(decision.Lease, qt.Equals, membership.LeaseNumber(200))
	c.Assert(decision.Rank, qt.Equals, routing.NoRank)
}

func TestRefusalCauses(t *testing.T) {
	full := func(c *routing.Candidate) { c.Open = c.Credits }
	leaving := func(c *routing.Candidate) { c.State = membership.StateLeaving }
	suspect := func(c *routing.Candidate) { c.State = membership.StateSuspect }
	expired := func(c *routing.Candidate) { c.Expires = now }
	busy := func(c *routing.Candidate) { c.Load.Tokens = 1000000 }
	runsSuspect := func(c *routing.Candidate) { c.SuspectRequests = 1 }
	cases := []struct {
		name    string
		first   func(*routing.Candidate)
		second  func(*routing.Candidate)
		request routing.Request
		cause   outcome.Cause
		retry   bool
	}{
		{"suspect and expired", suspect, expired, routing.Request{}, outcome.CauseNoBackend, false},
		{"all leaving", leaving, leaving, routing.Request{}, outcome.CauseLeaving, false},
		{"one leaving, one suspect", leaving, suspect, routing.Request{}, outcome.CauseLeaving, false},
		{"one leaving, one full", leaving, full, routing.Request{}, outcome.CauseBackendsFull, true},
		{"all full", full, full, routing.Request{}, outcome.CauseBackendsFull, true},
		{"all run suspects", runsSuspect, runsSuspect, routing.Request{}, outcome.CauseBackendsFull, true},
		{"deadline", busy, busy, routing.Request{Deadline: now.Add(time.Second), PromptTokens: 1}, outcome.CauseDeadline, true},
		{"deadline, one full", busy, full, routing.Request{Deadline: now.Add(time.Second), PromptTokens: 1}, outcome.CauseDeadline, true},
		{"excluded", nil, nil, routing.Request{Excluded: []ident.VM{"backend-00", "backend-01"}}, outcome.CauseNoBackend, false},
		{"unknown owner", nil, nil, routing.Request{Owner: "backend-07"}, outcome.CauseNoBackend, false},
		{"owner leaving", leaving, nil, routing.Request{Owner: "backend-00"}, outcome.CauseLeaving, false},
		{"owner full", full, nil, routing.Request{Owner: "backend-00"}, outcome.CauseBackendsFull, true},
		{"owner suspect, other full", suspect, full, routing.Request{Owner: "backend-00"}, outcome.CauseNoBackend, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			list := candidates(2)
			for i, change := range []func(*routing.Candidate){tc.first, tc.second} {
				if change != nil {
					change(&list[i])
				}
			}
			decision := newPicker(1).Pick(now, tc.request, routing.Snapshot{Candidates: list})
			c.Assert(decision.Cause, qt.Equals, tc.cause)
			c.Assert(decision.VM, qt.Equals, ident.VM(""))
			c.Assert(decision.RetryAfter > 0, qt.Equals, tc.retry)
		})
	}
	qt.Assert(t, newPicker(1).Pick(now, routing.Request{}, routing.Snapshot{}).Cause, qt.Equals, outcome.CauseNoBackend)
}

// A refusal for a request with an owner must return the wait at the owner, not at a server that may not run it.
func TestRetryAfterUsesOwner(t *testing.T) {
	list := candidates(2)
	list[0].Open, list[0].Load.Running = list[0].Credits, 160
	decision := newPicker(1).Pick(now, routing.Request{Owner: "backend-00", PromptTokens: 1, OutputTokens: 100}, routing.Snapshot{Candidates: list})
	qt.Assert(t, decision.Cause, qt.Equals, outcome.CauseBackendsFull)
	qt.Assert(t, decision.RetryAfter > 10*time.Second, qt.IsTrue, qt.Commentf("%v", decision.RetryAfter))
}

// A server must not be preferred because its old load report lacks requests that this entry sent since then.
func TestOwnDispatchesAreAddedToOldReport(t *testing.T) {
	list := candidates(2)
	list[0].Load.Running, list[1].Load.Running = 2, 5
	list[0].SinceLoad, list[0].Open = 4, 4
	picked := countPicks(list, routing.Request{}, nil)
	qt.Assert(t, picked["backend-01"] > picked["backend-00"], qt.IsTrue, qt.Commentf("%v", picked))
}

// A new backend server is idle, so that all entries would send their requests to it at once if it counted with its full
// capacity.
func TestNewBackendIsNotOverloaded(t *testing.T) {
	list := candidates(8)
	for i := range list {
		list[i].Load.Running = 4
	}
	list[0].Load.Running = 0
	warm := countPicks(list, routing.Request{}, nil)
	list[0].FirstGranted = now.Add(-time.Second)
	fresh := countPicks(list, routing.Request{}, nil)
	qt.Check(t, warm["backend-00"] > 1000/8, qt.IsTrue, qt.Commentf("%v", warm))
	qt.Check(t, fresh["backend-00"] <= 2*1000/8, qt.IsTrue, qt.Commentf("%v", fresh))
}

func TestStragglerGetsFewerRequests(t *testing.T) {
	for name, change := range map[string]func(*routing.Candidate){
		"reported": func(c *routing.Candidate) { c.Load.StepTime = 90000 },
		"known":    func(c *routing.Candidate) { c.Straggler = true },
	} {
		t.Run(name, func(t *testing.T) {
			list := candidates(4)
			for i := range list {
				list[i].Load.StepTime = 30000
			}
			change(&list[0])
			picked := countPicks(list, routing.Request{PromptTokens: 100, OutputTokens: 200}, nil)
			qt.Assert(t, picked["backend-00"] < 1000/8, qt.IsTrue, qt.Commentf("%v", picked))
		})
	}
}

func TestSameZoneAndFreeCacheArePreferred(t *testing.T) {
	list := candidates(2)
	list[0].Zone = "z1"
	request := routing.Request{Zone: "z0"}
	qt.Check(t, countPicks(list, request, nil)["backend-01"] > 600, qt.IsTrue)
	list[1].Load.CacheUsed = 990
	qt.Check(t, countPicks(list, request, nil)["backend-00"] > 600, qt.IsTrue)
}

// fullyCached is a PrefixLookup by which one backend server has all prefixes cached.
type fullyCached struct{ vm ident.VM }

func (e fullyCached) Match(_ time.Time, vm ident.VM, blocks []routing.Block) int {
	if vm == e.vm {
		return len(blocks)
	}
	return 0
}

// Requests must go to the server with the cached prefix, but not when waiting there takes longer than processing the
// prompt elsewhere.
func TestCachedPrefixIsPreferredUnlessServerIsBusy(t *testing.T) {
	request := routing.Request{Blocks: make([]routing.Block, 30), PromptTokens: 2000, OutputTokens: 100}
	list := candidates(8)
	qt.Check(t, countPicks(list, request, fullyCached{"backend-03"})["backend-03"] > 900, qt.IsTrue)
	list[3].Load.Running, list[3].Load.Tokens = 16, 20000
	qt.Check(t, countPicks(list, request, fullyCached{"backend-03"})["backend-03"] < 100, qt.IsTrue)
}

// Requests suspected of crashing backend servers must reach as few of them as possible, and never share one.
func TestSuspectsUseIdleOrFixedBackendServer(t *testing.T) {
	c := qt.New(t)
	list := candidates(6)
	for i := range list {
		list[i].Load.Running = 3
	}
	c.Check(countPicks(list, routing.Request{RunAlone: true}, nil), qt.HasLen, 1)
	list[4].Load.Running = 0
	c.Check(countPicks(list, routing.Request{RunAlone: true}, nil)["backend-04"], qt.Equals, 1000)
	list[4].SuspectRequests = 1
	c.Check(countPicks(list, routing.Request{RunAlone: true}, nil)["backend-04"], qt.Equals, 0)
	c.Check(countPicks(list, routing.Request{}, nil)["backend-04"], qt.Equals, 0)
}

func TestRankChoice(t *testing.T) {
	chooser := routing.DefaultRankChooser()
	cases := []struct {
		name  string
		ranks []routing.Rank
		want  []ident.Rank
	}{
		{"none", nil, []ident.Rank{routing.NoRank}},
		{"fewest tokens", []routing.Rank{{Rank: 3, Tokens: 900}, {Rank: 5, Tokens: 100}, {Rank: 7, Tokens: 500}}, []ident.Rank{5}},
		{"most cache free", []routing.Rank{{Rank: 3, Tokens: 100, CacheUsed: 0.9}, {Rank: 5, Tokens: 100, CacheUsed: 0.1}}, []ident.Rank{5}},
		{"full cache outweighs few tokens", []routing.Rank{{Rank: 3, Tokens: 80, CacheUsed: 0.95}, {Rank: 5, Tokens: 100, CacheUsed: 0.2}}, []ident.Rank{5}},
		{"equal ones at random", []routing.Rank{{Rank: 3}, {Rank: 5}}, []ident.Rank{3, 5}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			seen := map[ident.Rank]bool{}
			for draw := range uint64(64) {
				seen[chooser.Choose(draw, tc.ranks)] = true
			}
			qt.Assert(t, seen, qt.HasLen, len(tc.want))
			for _, rank := range tc.want {
				qt.Assert(t, seen[rank], qt.IsTrue)
			}
		})
	}
}

func drawCandidate(t *rapid.T, i int) routing.Candidate {
	c := candidate(i)
	c.State = rapid.SampledFrom([]chart.State{"alive", "alive", "alive", "suspect", "leaving", "gone", "unleased"}).Draw(t, "state")
	c.Expires = now.Add(time.Duration(rapid.IntRange(-1, 3).Draw(t, "expires")) * time.Second)
	c.Credits = uint32(rapid.IntRange(0, 4).Draw(t, "credits"))
	c.Open = uint32(rapid.IntRange(0, 4).Draw(t, "open"))
	c.SinceLoad = uint32(rapid.IntRange(0, 4).Draw(t, "since"))
	c.Load.Running = uint32(rapid.IntRange(0, 20).Draw(t, "running"))
	c.Load.Tokens = uint32(rapid.IntRange(0, 50000).Draw(t, "tokens"))
	c.Load.CacheUsed = membership.PerMille(rapid.IntRange(0, 1000).Draw(t, "cache"))
	c.Capacity = rapid.IntRange(0, 16).Draw(t, "capacity")
	c.SuspectRequests = rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "suspects")
	return c
}

// feasible reports whether a request may be sent to a candidate. It is independent of the filters.
func feasible(request routing.Request, c routing.Candidate) bool {
	owned := request.Owner == "" || request.Owner == c.VM
	leased := c.State == membership.StateAlive && c.Expires.After(now) && c.Credits > c.Open
	return owned && leased && c.SuspectRequests == 0 && !slices.Contains(request.Excluded, c.VM)
}

// Every pick must be feasible and repeatable with the same seed, and a request may be refused only if no candidate is
// feasible.
func TestPicksAreFeasibleAndRefusalsJustified(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := make([]routing.Candidate, rapid.IntRange(0, 8).Draw(t, "candidates"))
		for i := range list {
			list[i] = drawCandidate(t, i)
		}
		request := routing.Request{
			RunAlone:     rapid.Bool().Draw(t, "alone"),
			PromptTokens: rapid.IntRange(0, 3000).Draw(t, "prompt"),
			OutputTokens: rapid.IntRange(0, 300).Draw(t, "output"),
		}
		if rapid.Bool().Draw(t, "owned") {
			request.Owner = candidate(rapid.IntRange(0, 8).Draw(t, "owner")).VM
		}
		for i := range rapid.IntRange(0, 3).Draw(t, "excluded") {
			request.Excluded = append(request.Excluded, candidate(i).VM)
		}
		seed := rapid.Uint64().Draw(t, "seed")
		decision := newPicker(seed).Pick(now, request, routing.Snapshot{Candidates: list})
		if again := newPicker(seed).Pick(now, request, routing.Snapshot{Candidates: list}); again != decision {
			t.Fatalf("the same pick gives %v and %v", decision, again)
		}
		anyFeasible := false
		for _, c := range list {
			anyFeasible = anyFeasible || feasible(request, c)
			if decision.Cause == outcome.CauseNone && c.VM == decision.VM && !feasible(request, c) {
				t.Fatalf("picked %s, which is not feasible", c.VM)
			}
		}
		if anyFeasible != (decision.Cause == outcome.CauseNone) {
			t.Fatalf("feasible %v, decision %+v", anyFeasible, decision)
		}
	})
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{16, 64, 256} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			list := candidates(count)
			index := routing.NewPrefixIndex(now, 2048, 0)
			blocks := make([]routing.Block, 32)
			for i := range blocks {
				blocks[i] = routing.Block(i + 1)
			}
			for i := range list {
				index.Expect(now, list[i].VM, blocks[:i%len(blocks)])
			}
			picker := newPicker(1)
			request := routing.Request{Blocks: blocks, PromptTokens: 2048, OutputTokens: 200, Zone: "z0"}
			b.ReportAllocs()
			for b.Loop() {
				picker.Pick(now, request, routing.Snapshot{Candidates: list, Prefixes: index})
			}
		})
	}
}
