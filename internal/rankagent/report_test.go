package rankagent

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// group is the size of a group and the rate of its VMs' links in bytes a second.
type group struct {
	ranks, layers, experts int
	linkRate               float64
	sampled                bool
}

// groups are those of the users' deployments.
var groups = []group{
	{8, 6, 64, 2.5e6, false}, {12, 3, 96, 2.5e6, false}, {24, 16, 96, 1e6, false}, {32, 12, 128, 1e6, false}, {96, 16, 192, 0.75e6, true},
}

// The counts of all ranks of a large group would fill the leader's link several times over, so that replies, beacons and reports
// of the other kinds are lost. Smaller groups must report as often as before, as each report lost delays a map.
func TestCountsFillAPartOfTheLeadersLink(t *testing.T) {
	for _, g := range groups {
		t.Run(fmt.Sprint(g.ranks), func(t *testing.T) {
			c := qt.New(t)
			const seconds = 20
			bytes, reports := 0, 0
			busiest := map[int]int{}
			for rank := range g.ranks {
				schedule := pollSchedule{}
				began := time.Time{}
				for at := range seconds * 20 {
					now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(at) * 50 * time.Millisecond)
					status := expert.RankStatus{Step: uint64(at), Rank: ident.Rank(rank), Size: g.ranks, Running: 3}
					due, endsWindow := schedule.choicesDue(now, &status)
					if !due {
						continue
					}
					if endsWindow && at > 0 {
						reports++
						bytes += statusReportBytes + g.layers*g.experts
						busiest[at/20] += statusReportBytes + g.layers*g.experts
						if g.sampled && !began.IsZero() && at > 20 {
							c.Assert(now.Sub(began) <= 2*pollInterval, qt.IsTrue, qt.Commentf("a report covers %s", now.Sub(began)))
						}
					}
					began = now
					schedule.limitChoices(now, &status, g.layers*g.experts, g.linkRate)
				}
			}
			perRank := float64(reports) / float64(g.ranks) / seconds
			c.Logf("%d ranks: %.1f reports a second and rank, %.0f %% of the link", g.ranks, perRank, 100*float64(bytes)/seconds/g.linkRate)
			if !g.sampled {
				c.Assert(perRank >= 9, qt.IsTrue)
				return
			}
			c.Assert(float64(reports)/seconds >= 50, qt.IsTrue, qt.Commentf("%d reports", reports))
			for second, sent := range busiest {
				if second > 1 {
					c.Assert(float64(sent) < 0.5*g.linkRate, qt.IsTrue, qt.Commentf("second %d: %d bytes", second, sent))
				}
			}
		})
	}
}

// Changes on which a rollout may wait must be reported at once; other readings of 95 ranks would fill the leader's link while
// experts are loaded.
func TestOnlyChangesAreReportedAtOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	large := groups[len(groups)-1]
	schedule := reportSchedule{}
	report := func(after time.Duration, change func(*expert.RankStatus)) bool {
		now = now.Add(after)
		status := schedule.last
		status.Size, status.Step = large.ranks, status.Step+1
		change(&status)
		return schedule.due(now, &datagram.RankReport{Status: status}, large.linkRate)
	}
	same := func(*expert.RankStatus) {}
	c.Assert(report(0, func(s *expert.RankStatus) { s.Epoch, s.Open = 1, true }), qt.IsTrue)
	c.Assert(report(fastPollInterval, same), qt.IsFalse)
	for name, change := range map[string]func(*expert.RankStatus){
		"epoch": func(s *expert.RankStatus) { s.Epoch++ }, "open": func(s *expert.RankStatus) { s.Open = !s.Open },
		"map": func(s *expert.RankStatus) { s.Map++ }, "prepared": func(s *expert.RankStatus) { s.Prepared++ },
		"armed": func(s *expert.RankStatus) { s.Armed++ }, "held": func(s *expert.RankStatus) { s.Held++ },
	} {
		c.Assert(report(fastPollInterval, change), qt.IsTrue, qt.Commentf("%s", name))
	}
	sent := 0
	for range 100 {
		if report(fastPollInterval, same) {
			sent++
		}
	}
	perSecond := float64(sent) / (100 * fastPollInterval.Seconds())
	c.Assert(perSecond*float64(large.ranks*statusReportBytes) <= 1.1*statusLinkShare*large.linkRate, qt.IsTrue, qt.Commentf("%g a second", perSecond))
	c.Assert(perSecond >= 4, qt.IsTrue, qt.Commentf("entries need the load: %g a second", perSecond))
}

// A report names a bounded number of entries, but all of them within a few reports: entries learn of each other from them.
func TestReportsNameAllEntriesInTurn(t *testing.T) {
	c := qt.New(t)
	state := groupState{subscriptions: map[netip.AddrPort]time.Time{}}
	for i := range 53 {
		state.subscriptions[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7340)] = time.Time{}
	}
	named := map[netip.AddrPort]bool{}
	for range 4 {
		entries := state.someEntries()
		c.Assert(entries, qt.HasLen, maxReportedEntries)
		for _, entry := range entries {
			named[entry] = true
		}
	}
	c.Assert(named, qt.HasLen, 53)
}
