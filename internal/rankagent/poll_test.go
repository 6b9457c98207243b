package rankagent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/expert"
)

// A busy rank must not be polled at the idle interval because two readings fall into the same pass: a rollout would
// wait for the next report.
func TestBusyRankIsPolledSoonBetweenPasses(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	schedule := pollSchedule{}
	busy := expert.RankStatus{Step: 7, Running: 3}
	choicesDue := func(now time.Time, status *expert.RankStatus) bool {
		due, endsWindow := schedule.choicesDue(now, status)
		c.Assert(endsWindow, qt.Equals, due, qt.Commentf("in a small group all choices are reported"))
		return due
	}
	c.Assert(choicesDue(now, &busy), qt.IsTrue)
	c.Assert(schedule.nextInterval(now, &busy, true), qt.Equals, pollInterval)
	c.Assert(choicesDue(now.Add(pollInterval), &busy), qt.IsFalse, qt.Commentf("no pass has begun since the last reading"))
	next := expert.RankStatus{Step: 8, Running: 3}
	c.Assert(choicesDue(now.Add(fastPollInterval), &next), qt.IsFalse, qt.Commentf("the last reading is too recent"))
	c.Assert(choicesDue(now.Add(pollInterval), &next), qt.IsTrue)
	c.Assert(schedule.nextInterval(now, &busy, true), qt.Equals, pollInterval)
	idle := expert.RankStatus{Step: 7}
	c.Assert(schedule.nextInterval(now, &idle, true), qt.Equals, idlePollInterval)
	c.Assert(schedule.nextInterval(now, &busy, false), qt.Equals, idlePollInterval, qt.Commentf("the status could not be read"))
	schedule.pollFast(now, 0)
	c.Assert(schedule.nextInterval(now, &idle, true), qt.Equals, fastPollInterval, qt.Commentf("an order was sent"))
	c.Assert(schedule.nextInterval(now.Add(fastPollAfterOrder), &idle, true), qt.Equals, idlePollInterval)
	schedule.pollFast(now, 5)
	c.Assert(schedule.nextInterval(now.Add(2*fastPollAfterOrder), &idle, true), qt.Equals, fastPollInterval, qt.Commentf("experts are being loaded"))
	loaded := expert.RankStatus{Step: 7, Prepared: 5}
	later := now.Add(3 * fastPollAfterOrder)
	c.Assert(schedule.nextInterval(later, &loaded, true), qt.Equals, fastPollInterval, qt.Commentf("the map is about to be armed"))
	c.Assert(schedule.nextInterval(later.Add(fastPollAfterOrder), &loaded, true), qt.Equals, idlePollInterval)
	armed := expert.RankStatus{Step: 7, Running: 3, Armed: 9}
	c.Assert(schedule.nextInterval(now.Add(fastPollAfterOrder), &armed, true), qt.Equals, fastPollInterval)
}
