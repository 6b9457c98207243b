package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// After a period of slow answers the expected answer time exceeded the deadlines of all requests. They were refused, and since none was
// served any more, for ever.
func TestExpectedAnswerTimeRecoversWithoutServedRequests(t *testing.T) {
	c := qt.New(t)
	service := &serviceState{}
	now := time.Unix(1000, 0)
	service.recordTimes(now, 10*time.Second, 10*time.Second)
	c.Assert(service.expectedAnswerTime(now), qt.Equals, 10*time.Second)
	c.Assert(service.expectedAnswerTime(now.Add(answerTimeHalfLife)), qt.Equals, 5*time.Second)
	now = now.Add(10 * answerTimeHalfLife)
	c.Assert(service.expectedAnswerTime(now) < 10*time.Millisecond, qt.IsTrue)
	service.recordTimes(now, 20*time.Millisecond, 20*time.Millisecond)
	c.Assert(service.expectedAnswerTime(now) < 20*time.Millisecond, qt.IsTrue)
	c.Assert(service.expectedAnswerTime(now.Add(-time.Second)), qt.Equals, service.expectedAnswerTime(now), qt.Commentf("an earlier time"))
	c.Assert(service.expectedAnswerTime(now.Add(24*time.Hour)), qt.Equals, time.Duration(0))
}
