package control_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// reportSlowRank reports a group of 72 ranks of which one works at a quarter of its speed.
func reportSlowRank(d *control.Dispatcher, now time.Time, slow, loadThere int) {
	report := control.GroupReport{Group: "g0", Pace: admission.GroupPace{Ranks: 72, Pass: 60 * time.Millisecond, Skew: 1.2, Entries: 1, Slowness: make([]float64, 72)}}
	for rank := range 72 {
		load := 5
		report.Pace.Slowness[rank] = 1
		if rank == slow {
			load, report.Pace.Slowness[rank] = loadThere, 4
		}
		report.RankLoads = append(report.RankLoads, load)
		report.Pace.Writers += load
	}
	d.RecordGroupReport(now, report)
}

// A rank turns slow while the entry has streams there. They must be named for a move, no new stream may go there, and the rank
// must be in use again once it is reported as usual or nothing is reported for a second.
func TestSlowRankIsAvoidedAndUsedAgain(t *testing.T) {
	c := qt.New(t)
	day := crestDay{groups: 1, ranks: 72}
	d := newCrestDispatcher(day, 0).(*control.Dispatcher)
	now := clockStart
	reportSlowRank(d, now, -1, 5)
	route := crestRoute
	send := func(id uint64) ident.Rank {
		got := d.RequestBackend(now, control.BackendRequest{
			ID: id, Service: "model", Route: &route, Arrived: now, Deadline: now.Add(8 * time.Second), PromptTokens: 500,
		})
		c.Assert(got, qt.HasLen, 1)
		c.Assert(got[0].Backend.ID, qt.Not(qt.Equals), "")
		return got[0].Backend.Rank
	}
	slow := send(1)
	now = now.Add(150 * time.Millisecond)
	reportSlowRank(d, now, int(slow), 6)
	moves := d.SlowRanks(now, "g0")
	c.Assert(moves, qt.HasLen, 1)
	c.Assert(moves[0].Streams, qt.Equals, 1)
	c.Assert(moves[0].Slowness, qt.Equals, 4.0)
	for id := range uint64(100) {
		c.Assert(send(10+id), qt.Not(qt.Equals), slow)
	}
	now = now.Add(1100 * time.Millisecond)
	c.Assert(d.SlowRanks(now, "g0"), qt.HasLen, 0, qt.Commentf("an old report names no slow rank"))
	reportSlowRank(d, now, -1, 5)
	d.RecordProgress("g0", now)
	c.Assert(d.SlowRanks(now, "g0"), qt.HasLen, 0)
	used := false
	for id := range uint64(50) {
		used = used || send(200+id) == slow
	}
	c.Assert(used, qt.IsTrue, qt.Commentf("a rank that has recovered is used again"))
}
