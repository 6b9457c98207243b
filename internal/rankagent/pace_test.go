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
	c.Assert(pace.stepped(&busy), qt.IsTrue)
	c.Assert(pace.next(now, &busy, true), qt.Equals, pollInterval)
	c.Assert(pace.stepped(&busy), qt.IsFalse)
	c.Assert(pace.next(now, &busy, true), qt.Equals, pollInterval)
	idle := expert.RankStatus{Step: 7}
	c.Assert(pace.next(now, &idle, true), qt.Equals, idleInterval)
	c.Assert(pace.next(now, &busy, false), qt.Equals, idleInterval, qt.Commentf("the engine did not answer"))
	pace.hurryUntil = now.Add(orderSettle)
	c.Assert(pace.next(now, &idle, true), qt.Equals, loadingInterval, qt.Commentf("an order was given"))
	c.Assert(pace.next(now.Add(orderSettle), &idle, true), qt.Equals, idleInterval)
	armed := expert.RankStatus{Step: 7, Running: 3, Armed: 9}
	c.Assert(pace.next(now.Add(orderSettle), &armed, true), qt.Equals, loadingInterval)
}
