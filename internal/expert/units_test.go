package expert

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Guards against transitions of the charts "rank", "rollout" and "order" that cannot be taken, or that have another
// target or other actions than specified.
func TestChartTransitions(t *testing.T) {
	c := qt.New(t)
	member, err := NewMember(MemberConfig{Shape: Shape{Ranks: 1, Layers: 1, Experts: 1, Slots: 1}})
	c.Assert(err, qt.IsNil)
	leader, err := NewLeader(LeaderConfig{Shape: Shape{Ranks: 1, Layers: 1, Experts: 1, Slots: 1}})
	c.Assert(err, qt.IsNil)
	issuer, err := NewOrderIssuer(time.Time{}, OrderConfig{})
	c.Assert(err, qt.IsNil)
	for _, parsed := range []*chart.Chart{member.chart, leader.chart, issuer.chart} {
		taken := map[string]bool{}
		for _, state := range parsed.Spec().States {
			for _, transition := range state.On {
				from := state.Name
				if state.Abstract {
					from = childOf(parsed.Spec(), state.Name)
				}
				step, err := parsed.Next(from, transition.Event, func(g chart.Guard) bool { return g == transition.Guard })
				c.Assert(err, qt.IsNil)
				c.Assert(step.To, qt.Equals, transition.Target, qt.Commentf("%s on %s", from, transition.Event))
				c.Assert(step.Actions, qt.DeepEquals, transition.Actions)
				taken[string(state.Name)] = true
			}
		}
		c.Assert(len(taken) > 3, qt.IsTrue)
	}
}

// childOf returns the first concrete child of an abstract state.
func childOf(spec chart.Spec, parent chart.State) chart.State {
	for _, state := range spec.States {
		if state.Parent == parent && !state.Abstract {
			return state.Name
		}
	}
	return parent
}

// Guards against messages that change in an envelope, and against envelopes with no or several messages.
func TestEnvelopeRoundTrip(t *testing.T) {
	c := qt.New(t)
	header := Header{Group: "g", Epoch: Epoch{Number: 3, Leader: ident.Instance{VM: "a", Incarnation: 9}}, To: ident.Instance{VM: "b"}}
	version := Version{Epoch: header.Epoch, Sequence: 2}
	messages := []Message{
		Claim{Header: header, Roster: Roster{Version: 4, Members: []RosterMember{{VM: "a", Ranks: []ident.Rank{0, 1}}}}},
		Heartbeat{Header: header},
		Prepare{Header: header, Map: StaticMap(version, Shape{Ranks: 2, Layers: 1, Experts: 2, Slots: 2}), Forming: true, RosterDigest: 5},
		Hold{Header: header, Version: version, Step: 7},
		Activate{Header: header, Version: version, Generation: header.Epoch, Step: 7},
		Abort{Header: header, Version: version},
		Status{Group: "g", Sequence: 8, Rollout: RolloutState{Version: version, Phase: PhaseHolding, HoldFrom: 7}},
		Counts{Group: "g", Until: 5, Steps: 5, Ranks: 1, Layers: []LayerCounts{{Unit: 2, Scaled: []byte{1, 255}}}},
	}
	for _, message := range messages {
		data, err := cbor.Marshal(Wrap(message))
		c.Assert(err, qt.IsNil)
		var envelope Envelope
		c.Assert(cbor.Unmarshal(data, &envelope), qt.IsNil)
		unwrapped, err := envelope.Unwrap()
		c.Assert(err, qt.IsNil)
		c.Assert(unwrapped, qt.DeepEquals, message)
	}
	_, err := Envelope{Hold: &Hold{}, Abort: &Abort{}}.Unwrap()
	c.Assert(err, qt.ErrorIs, ErrEnvelope)
	_, err = Envelope{}.Unwrap()
	c.Assert(err, qt.ErrorIs, ErrEnvelope)
}

// Guards against estimates that depend on the order of reports or count a duplicate: it adds reports in order, and
// shuffled with one duplicate.
func TestPopularityIndependentOfReportOrder(t *testing.T) {
	shape := Shape{Ranks: 4, Layers: 1, Experts: 3, Slots: 1}
	rapid.Check(t, func(t *rapid.T) {
		var reports []Counts
		for i := range rapid.IntRange(1, 20).Draw(t, "reports") {
			tokens := []uint64{rapid.Uint64Range(0, 1000).Draw(t, "a"), rapid.Uint64Range(0, 1000).Draw(t, "b"), 500}
			reports = append(reports, Counts{
				From:     ident.Instance{VM: ident.VM(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "vm"))},
				Sequence: uint64(i + 1), Until: Step(10 * (i + 1)), Steps: 10, Ranks: 2,
				Layers: []LayerCounts{ScaleCounts(tokens)},
			})
		}
		inOrder := NewPopularity(PopularityConfig{Shape: shape})
		shuffled := NewPopularity(PopularityConfig{Shape: shape})
		for _, report := range reports {
			inOrder.Add(report)
		}
		for _, report := range append(rapid.Permutation(reports).Draw(t, "order"), reports[0]) {
			shuffled.Add(report)
		}
		want, got := inOrder.Load(), shuffled.Load()
		for e := range want[0] {
			if math.Abs(want[0][e]-got[0][e]) > 1e-6*(1+want[0][e]) {
				t.Fatalf("expert %d: %v in order, %v shuffled", e, want[0][e], got[0][e])
			}
		}
	})
}

// Guards against estimates that cover only the ranks with reports, duplicates that count, and reports of another shape.
func TestPopularityScalesToGroup(t *testing.T) {
	c := qt.New(t)
	p := NewPopularity(PopularityConfig{Shape: Shape{Ranks: 8, Layers: 1, Experts: 2, Slots: 1}})
	report := Counts{Sequence: 1, Until: 100, Steps: 100, Ranks: 2, Layers: []LayerCounts{ScaleCounts([]uint64{6000, 2000})}}
	c.Assert(p.Add(report), qt.IsTrue)
	c.Assert(p.Add(report), qt.IsFalse)
	load := p.Load()
	c.Assert(math.Abs(load[0][0]-240) < 1, qt.IsTrue)
	c.Assert(math.Abs(load[0][1]-80) < 1, qt.IsTrue)
	report.Layers = nil
	c.Assert(p.Add(report), qt.IsFalse)
}

// Guards against reservations that exceed the rate and burst.
func TestTokenBucketLimitsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		now := start
		bucket := NewTokenBucket(now, 100, 50)
		taken := 0.0
		for range rapid.IntRange(1, 30).Draw(t, "takes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			units := float64(rapid.IntRange(1, 200).Draw(t, "units"))
			taken += units
			ready := bucket.Reserve(now, units)
			if most := 50 + 100*ready.Sub(start).Seconds(); taken > most+1e-3 {
				t.Fatalf("%v units are usable after %s", taken, ready.Sub(start))
			}
		}
	})
}

// Guards against choosing a rank that is unavailable, lacks cache space, or would have to compute a prompt that another
// rank has cached.
func TestChooseRank(t *testing.T) {
	c := qt.New(t)
	ranks := []RankLoad{{Rank: 0, Tokens: 10}, {Rank: 1, Tokens: 5, CacheTokens: 900, CacheLimit: 1000}, {Rank: 2, Tokens: 7}, {Rank: 3, Unavailable: true}}
	chosen, found := ChooseRank(ranks, RankRequest{PromptTokens: 50, ExpectedTokens: 40})
	c.Assert(found, qt.IsTrue)
	c.Assert(chosen, qt.Equals, ident.Rank(1))
	chosen, _ = ChooseRank(ranks, RankRequest{PromptTokens: 150, ExpectedTokens: 40})
	c.Assert(chosen, qt.Equals, ident.Rank(2), qt.Commentf("the request exceeds the cache capacity of rank 1"))
	chosen, _ = ChooseRank(ranks, RankRequest{PromptTokens: 150, CachedTokens: map[ident.Rank]float64{0: 150}})
	c.Assert(chosen, qt.Equals, ident.Rank(0), qt.Commentf("rank 0 has the prompt cached"))
	_, found = ChooseRank(ranks[3:], RankRequest{})
	c.Assert(found, qt.IsFalse)
}

// Guards against single long steps that make a healthy rank a straggler, and against stragglers that are not detected.
func TestStragglerTestIgnoresSingleLongSteps(t *testing.T) {
	c := qt.New(t)
	test := NewStragglerTest(StragglerConfig{})
	for i := range 1000 {
		x := 1.0
		if i%20 == 0 {
			x = 5
		}
		c.Assert(test.Observe(x), qt.IsFalse)
	}
	steps := 0
	for !test.Observe(1.2) {
		steps++
		c.Assert(steps < 100, qt.IsTrue)
	}
}

// Guards against a watch that reports a healthy agent, reports the slow agent before it is slow, or misses it.
func TestStragglerWatchFindsSlowAgent(t *testing.T) {
	c := qt.New(t)
	watch := NewStragglerWatch(StragglerConfig{})
	found := map[ident.VM]int{}
	for sequence := uint64(1); sequence <= 30; sequence++ {
		for _, vm := range []ident.VM{"a", "b", "c", "slow"} {
			report := Counts{From: ident.Instance{VM: vm}, Sequence: sequence, StepTime: 40 * time.Millisecond}
			if vm == "slow" && sequence > 10 {
				report.StepTime = 46 * time.Millisecond
			}
			for range 2 {
				if watch.Add(report) {
					found[vm]++
					c.Assert(sequence > 10, qt.IsTrue)
				}
			}
		}
	}
	c.Assert(found["slow"] > 0, qt.IsTrue)
	c.Assert(found, qt.HasLen, 1)
}

// Guards against a step count that starts again at zero in a new generation, as step numbers do, and against counting
// reports of earlier generations.
func TestPopularityCountsStepsOverGenerations(t *testing.T) {
	c := qt.New(t)
	p := NewPopularity(PopularityConfig{Shape: Shape{Ranks: 1, Layers: 1, Experts: 1, Slots: 1}})
	report := Counts{Sequence: 1, Until: 70, Steps: 10, Ranks: 1, Layers: []LayerCounts{ScaleCounts([]uint64{5})}}
	old := report
	old.Sequence = 2
	p.Add(report)
	report.Generation = Epoch{Number: 2}
	report.Until = 30
	c.Assert(p.Add(report), qt.IsTrue)
	c.Assert(p.Add(old), qt.IsFalse, qt.Commentf("each generation has its own step numbers"))
	c.Assert(p.Steps(), qt.Equals, 100.0)
}

// Guards against electing a member that is not live.
func TestElectChoosesLiveMember(t *testing.T) {
	c := qt.New(t)
	roster := Roster{Members: []RosterMember{{VM: "a"}, {VM: "b"}, {VM: "c"}}}
	first := Elect("g", roster, func(ident.VM) bool { return true })
	second := Elect("g", roster, func(vm ident.VM) bool { return vm != first })
	c.Assert(second != first && second != "", qt.IsTrue)
	c.Assert(Elect("g", roster, func(ident.VM) bool { return false }), qt.Equals, ident.VM(""))
}

// Guards against reports that cover only some ranks, repeat counts, or mix generations.
func TestCollectorReportsAllRanks(t *testing.T) {
	c := qt.New(t)
	shape := Shape{Ranks: 4, Layers: 1, Experts: 2, Slots: 1}
	collector := NewCountCollector("g", ident.Instance{VM: "a"}, shape)
	counted := RankCounts{Until: 100, Steps: 50, Tokens: [][]uint64{{1000, 500}}, StepTime: time.Millisecond}
	c.Assert(collector.Add(counted), qt.IsTrue)
	counted.Rank, counted.Until = 1, 90
	c.Assert(collector.Add(counted), qt.IsTrue)
	c.Assert(collector.Add(RankCounts{Steps: 1}), qt.IsFalse)
	report, found := collector.Report()
	c.Assert(found, qt.IsTrue)
	c.Assert(report.Until, qt.Equals, Step(100))
	_, found = collector.Report()
	c.Assert(found, qt.IsFalse)
	p := NewPopularity(PopularityConfig{Shape: shape})
	c.Assert(p.Add(report), qt.IsTrue)
	c.Assert(math.Abs(p.Load()[0][0]-80) < 0.5, qt.IsTrue, qt.Commentf("20 tokens per step on each of 4 ranks"))
	counted.Generation = Epoch{Number: 1}
	c.Assert(collector.Add(counted), qt.IsTrue)
	counted.Generation = Generation{}
	c.Assert(collector.Add(counted), qt.IsFalse)
}
