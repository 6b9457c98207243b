package rankagent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/expert"
)

// Two readings within one pass of a busy group must not make the agent take its rank for idle: a rollout waits for the
// report that follows.
func TestBusyRankIsReadSoonBetweenPasses(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	pace := pollPace{}
	busy := expert.RankStatus{Step: 7, Running: 3}
	c.Assert(pace.choicesDue(now, &busy), qt.IsTrue)
	c.Assert(pace.next(now, &busy, true), qt.Equals, pollInterval)
	c.Assert(pace.choicesDue(now.Add(pollInterval), &busy), qt.IsFalse, qt.Commentf("no pass began"))
	next := expert.RankStatus{Step: 8, Running: 3}
	c.Assert(pace.choicesDue(now.Add(loadingInterval), &next), qt.IsFalse, qt.Commentf("read a moment ago"))
	c.Assert(pace.choicesDue(now.Add(pollInterval), &next), qt.IsTrue)
	c.Assert(pace.next(now, &busy, true), qt.Equals, pollInterval)
	idle := expert.RankStatus{Step: 7}
	c.Assert(pace.next(now, &idle, true), qt.Equals, idleInterval)
	c.Assert(pace.next(now, &busy, false), qt.Equals, idleInterval, qt.Commentf("the engine did not answer"))
	pace.expect(now, 0)
	c.Assert(pace.next(now, &idle, true), qt.Equals, loadingInterval, qt.Commentf("an order was given"))
	c.Assert(pace.next(now.Add(orderSettle), &idle, true), qt.Equals, idleInterval)
	pace.expect(now, 5)
	c.Assert(pace.next(now.Add(2*orderSettle), &idle, true), qt.Equals, loadingInterval, qt.Commentf("experts are loaded"))
	loaded := expert.RankStatus{Step: 7, Prepared: 5}
	later := now.Add(3 * orderSettle)
	c.Assert(pace.next(later, &loaded, true), qt.Equals, loadingInterval, qt.Commentf("the map is about to be armed"))
	c.Assert(pace.next(later.Add(orderSettle), &loaded, true), qt.Equals, idleInterval)
	armed := expert.RankStatus{Step: 7, Running: 3, Armed: 9}
	c.Assert(pace.next(now.Add(orderSettle), &armed, true), qt.Equals, loadingInterval)
}
