package gateway

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Guards against a frozen leader that resumes and reinstates an old estimate, and against reports that are delayed or
// duplicated. Reports of a new leader or epoch must be accepted at once, also if their numbers begin anew.
func TestOutdatedReportsAreIgnored(t *testing.T) {
	c := qt.New(t)
	directory := newLeaderDirectory()
	directory.setGroups(map[ident.Group][]netip.AddrPort{"g": {netip.MustParseAddrPort("127.0.0.1:80")}})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	accepted := func(epoch, fence, sequence uint64) bool {
		now = now.Add(10 * time.Millisecond)
		return directory.acceptReport(now, &datagram.GroupReport{Group: "g", Epoch: epoch, Fence: fence, Sequence: sequence})
	}
	c.Check(accepted(1, 100, 1), qt.IsTrue)
	c.Check(accepted(1, 100, 3), qt.IsTrue)
	c.Check(accepted(1, 100, 2), qt.IsFalse, qt.Commentf("delayed"))
	c.Check(accepted(1, 100, 3), qt.IsFalse, qt.Commentf("duplicated"))
	c.Check(accepted(1, 200, 1), qt.IsTrue, qt.Commentf("the next leader"))
	c.Check(accepted(1, 100, 4), qt.IsFalse, qt.Commentf("the former leader resumed"))
	c.Check(accepted(2, 150, 1), qt.IsTrue, qt.Commentf("the next epoch"))
	c.Check(accepted(1, 300, 1), qt.IsFalse, qt.Commentf("an agent that has not learned of the next epoch"))
	c.Check(accepted(2, 150, 2), qt.IsTrue)
	c.Check(accepted(0, 0, 0), qt.IsFalse, qt.Commentf("an agent of an earlier version beside a leader of this one"))
	now = now.Add(reportSilence)
	c.Check(accepted(1, 50, 1), qt.IsTrue, qt.Commentf("epochs began anew, and nothing is known any more"))
	c.Check(accepted(1, 50, 2), qt.IsTrue)
	c.Check(accepted(2, 150, 3), qt.IsTrue)
	now = now.Add(reportSilence)
	c.Check(accepted(0, 0, 0), qt.IsTrue)
	c.Check(accepted(0, 0, 0), qt.IsTrue, qt.Commentf("reports of an earlier version have no numbers"))
}

// Guards against an estimate with a wrong number of ranks, and against one where no rank is slow.
func TestRankSlownessFromReport(t *testing.T) {
	c := qt.New(t)
	c.Assert(rankSlowness(&datagram.GroupReport{Loads: make([]int, 3)}), qt.IsNil)
	report := &datagram.GroupReport{Loads: make([]int, 3), Slow: []datagram.RankSlowness{{Rank: 1, Percent: 250}, {Rank: 9, Percent: 400}, {Rank: 2, Percent: 90}}}
	c.Assert(rankSlowness(report), qt.DeepEquals, []float64{1, 2.5, 1})
}
