package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// passEngine has the values of the deployments of docs/hard-load.md.
var passEngine = routing.EngineModel{
	Slots: 10, Step: 4840 * time.Microsecond, PerWriter: 435 * time.Microsecond, PromptRate: 74_800, PromptChunk: 512, StepsPerPass: 7,
	MeanPromptTokens: 868, MeanAnswerTokens: 158, Experts: routing.ExpertLayers{Layers: 12, Experts: 128, Slots: 5, Share: 0.85},
}

var passGate = admission.PassGate{Engine: &passEngine, MaxEventGap: 120 * time.Millisecond}

var passStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func passAt(ms int) time.Time { return passStart.Add(time.Duration(ms) * time.Millisecond) }

// withSlowRank returns a pace with even loads and one slow rank.
func withSlowRank(ranks, each int, slowness float64) admission.GroupPace {
	pace := admission.GroupPace{Ranks: ranks, Writers: ranks * each, Skew: 1.3, Entries: 6}
	for rank := range ranks {
		pace.RankWriters = append(pace.RankWriters, each)
		pace.Slowness = append(pace.Slowness, 1)
		if rank == 0 {
			pace.Slowness[0] = slowness
		}
	}
	return pace
}

// A straggler determines the passes of its group: a prediction by means would admit streams that are all late.
func TestPredictionFollowsTheSlowestRank(t *testing.T) {
	c := qt.New(t)
	even, slow := withSlowRank(32, 5, 1), withSlowRank(32, 5, 3)
	c.Assert(passGate.Admits(even, even.Writers), qt.IsTrue)
	c.Assert(passGate.Admits(slow, slow.Writers), qt.IsFalse)
	// 3 x (7 x 4.84 ms + 5 writers x 0.457 ms) + 5 x 2.588 ms x 1.3.
	c.Assert(passGate.PredictPass(slow, slow.Writers).Milliseconds(), qt.Equals, int64(125))
	// New streams go to the other ranks: they lengthen the expert part only.
	added := passGate.PredictPass(slow, slow.Writers+32) - passGate.PredictPass(slow, slow.Writers)
	c.Assert(added < 4*time.Millisecond, qt.IsTrue, qt.Commentf("%v", added))
}

// A group whose ranks are all slow by the same factor, or whose leader says so, must keep serving on all of them.
func TestEvenlySlowGroupUsesAllRanks(t *testing.T) {
	c := qt.New(t)
	pace := withSlowRank(32, 9, 1.3)
	for rank := range pace.Slowness {
		pace.Slowness[rank] = 1.3
	}
	c.Assert(passGate.WorthAdding(pace, 1.3, time.Millisecond, 80*time.Millisecond, pace.Writers), qt.IsTrue)
	c.Assert(passGate.Capacity(pace) > 0.7*passGate.Capacity(withSlowRank(32, 9, 1)), qt.IsTrue)
}

// A straggler that is already the slowest rank must get no stream while others have room: it would delay all of them.
func TestStreamAtAStragglerCostsMoreThanItServes(t *testing.T) {
	c := qt.New(t)
	pace := withSlowRank(32, 7, 2)
	slowest := passGate.OwnPart(2, 7, 0)
	added := passGate.AddedOwnPart(slowest, 2, 7)
	c.Assert(passGate.WorthAdding(pace, 2, added, 90*time.Millisecond, pace.Writers), qt.IsFalse)
	c.Assert(passGate.AddedOwnPart(slowest, 1, 7), qt.Equals, time.Duration(0))
}

// The capacity that the shares of customers are computed from must not rise with a straggler, nor be zero where the group
// serves late.
func TestCapacityOfStragglers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slowness := rapid.Float64Range(1, 8).Draw(t, "slowness")
		each := rapid.IntRange(0, 10).Draw(t, "each")
		even, slow := withSlowRank(32, each, 1), withSlowRank(32, each, slowness)
		if passGate.Capacity(slow) > passGate.Capacity(even)+1 {
			t.Fatalf("capacity %.1f with a straggler, %.1f without", passGate.Capacity(slow), passGate.Capacity(even))
		}
		slow.Forecast.Late = true
		if passGate.Capacity(slow) <= 0 {
			t.Fatalf("capacity %.1f of a group that serves late", passGate.Capacity(slow))
		}
	})
}

// Without peaks, stragglers and late mode, the prediction is that of the version before.
func TestPredictionWithoutPeaksIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pace := admission.GroupPace{
			Ranks: rapid.IntRange(1, 96).Draw(t, "ranks"), Writers: rapid.IntRange(0, 900).Draw(t, "writers"),
			Pass: time.Duration(rapid.IntRange(0, 150).Draw(t, "pass")) * time.Millisecond, Skew: rapid.Float64Range(1, 4).Draw(t, "skew"),
		}
		writers := rapid.IntRange(0, 900).Draw(t, "estimate")
		perWriter := float64(passEngine.PerWriter) * 7 * (0.15 + 0.85*pace.Skew) / float64(pace.Ranks)
		idle := 7 * float64(passEngine.Step)
		before := max(idle, max(float64(pace.Pass), idle+perWriter*float64(pace.Writers))+perWriter*float64(writers-pace.Writers))
		got := passGate.PredictPass(pace, writers)
		if diff := got - time.Duration(before); diff.Abs() > 10*time.Microsecond {
			t.Fatalf("predicted %v, before %v", got, time.Duration(before))
		}
		if decision := passGate.Decide(pace, writers, 1000); decision.Admitted != passGate.Admits(pace, writers) || decision.Mode != admission.ModeOnTime {
			t.Fatalf("%+v", decision)
		}
	})
}

// Measured passes that are longer than predicted, for example by long contexts, must raise the margin, and a straggler
// that the model does not know must not raise it without bound.
func TestMarginFollowsTheMeasuredError(t *testing.T) {
	c := qt.New(t)
	var errors admission.PassError
	record := func(from, to int, factor float64) {
		for ms := from; ms < to; ms += 150 {
			errors.Record(passAt(ms), time.Duration(factor*float64(80*time.Millisecond)), 80*time.Millisecond)
		}
	}
	record(0, 10_000, 0.9)
	c.Assert(errors.Margin() < 0.02, qt.IsTrue, qt.Commentf("%.3f", errors.Margin()))
	record(10_000, 30_000, 1.1)
	c.Assert(errors.Margin() > 0.09 && errors.Margin() < 0.15, qt.IsTrue, qt.Commentf("%.3f", errors.Margin()))
	record(30_000, 60_000, 3)
	c.Assert(errors.Margin(), qt.Equals, 0.2)
	// A straggler that has recovered must not tighten admission for long.
	record(60_000, 70_000, 1)
	c.Assert(errors.Margin() < 0.1, qt.IsTrue, qt.Commentf("%.3f", errors.Margin()))
}
