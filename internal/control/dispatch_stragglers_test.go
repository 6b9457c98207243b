package control_test

import (
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

// reportLoads reports equal loads of the eight ranks of a group, one of which may be slow.
func reportLoads(d *control.Dispatcher, ms int, group ident.Group, load int, pace admission.GroupPace, slowness float64) []control.Assignment {
	pace.Ranks, pace.Writers, pace.Entries = 8, 8*load, 4
	pace.Slowness = slices.Repeat([]float64{1}, 8)
	pace.Slowness[3] = slowness
	d.RecordProgress(group, clockAt(ms))
	return d.RecordGroupReport(clockAt(ms), control.GroupReport{Group: group, Pace: pace, RankLoads: slices.Repeat([]int{load}, 8)})
}

// A straggler with as many streams as the others determines all passes: it must get no new ones while others have room.
func TestStragglerGetsNoNewStreams(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(1, 0)
	reportLoads(d, 0, "g0", 4, admission.GroupPace{Pass: 60 * time.Millisecond, Skew: 1.3}, 2)
	for i := range uint64(12) {
		answer := single(c, d.RequestBackend(clockAt(1), testRequest(i, clockAt(1), 500)))
		c.Assert(answer.Cause, qt.Equals, outcome.CauseNone)
		c.Assert(answer.Backend.Rank, qt.Not(qt.Equals), ident.Rank(3))
	}
}

// A group in which a stream lengthens the passes of all others more must get the next stream only if its passes are
// shorter by as much, whatever the numbers of open requests.
func TestGroupsAreComparedByThePausesOfAllStreams(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(2, 0)
	reportLoads(d, 0, "g0", 5, admission.GroupPace{Pass: 62 * time.Millisecond, Skew: 3}, 1)
	reportLoads(d, 0, "g1", 6, admission.GroupPace{Pass: 64 * time.Millisecond, Skew: 1.2}, 1)
	answer := single(c, d.RequestBackend(clockAt(1), testRequest(1, clockAt(1), 500)))
	c.Assert(answer.Backend.Group, qt.Equals, ident.Group("g1"))
}

// While a straggler alone exceeds the bound, requests at a full group must wait for a slot as long as their callers do,
// instead of being refused after the usual 120 ms; after the recovery within a second.
func TestQueueOfAGroupThatServesLateIsHeld(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(1, 0)
	pace := admission.GroupPace{Pass: 140 * time.Millisecond, Skew: 1.3}
	reportLoads(d, 0, "g0", 12, pace, 4)
	for i := range uint64(6) {
		c.Assert(d.RequestBackend(clockAt(1), testRequest(i, clockAt(1), 500)), qt.HasLen, 0)
	}
	for ms := 150; ms <= 1050; ms += 150 {
		c.Assert(reportLoads(d, ms, "g0", 12, pace, 4), qt.HasLen, 0, qt.Commentf("%d ms", ms))
	}
	served := reportLoads(d, 1200, "g0", 11, pace, 4)
	c.Assert(len(served) > 0, qt.IsTrue)
	for _, answer := range served {
		c.Assert(answer.Cause, qt.Equals, outcome.CauseNone)
		c.Assert(answer.Mode, qt.Equals, admission.ModeLate)
	}
	for ms := 1350; ms <= 2000; ms += 150 {
		for _, answer := range reportLoads(d, ms, "g0", 12, pace, 4) {
			c.Assert(answer.Cause == outcome.CauseNone || ms >= 1500, qt.IsTrue, qt.Commentf("refused at %d ms", ms))
		}
	}
	c.Assert(d.Waiting(), qt.Equals, 0, qt.Commentf("callers have left"))
	// The rank has recovered: the bound holds again.
	late := true
	for ms := 2100; ms <= 2700; ms += 150 {
		reportLoads(d, ms, "g0", 12, admission.GroupPace{Pass: 110 * time.Millisecond, Skew: 1.3}, 1)
		late = d.GroupModes()[0].Late
	}
	c.Assert(late, qt.IsFalse)
	c.Assert(d.RequestBackend(clockAt(2710), testRequest(100, clockAt(2710), 500)), qt.HasLen, 0)
	c.Assert(single(c, d.Tick(clockAt(2840))).Cause, qt.Equals, outcome.CauseBackendsFull)
}

// The first event of an idle rank comes after the rest of the pass and one pass for each chunk; estimates without a measured
// pass use the idle one.
func TestPromptTime(t *testing.T) {
	engine := routing.EngineModel{Step: 5 * time.Millisecond, StepsPerPass: 7, PromptChunk: 512}
	qt.Assert(t, engine.PromptTime(1000, 80*time.Millisecond), qt.Equals, 200*time.Millisecond)
	qt.Assert(t, engine.PromptTime(0, 0), qt.Equals, 52500*time.Microsecond)
}
