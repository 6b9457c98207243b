package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/bramleyspool/bramleyspool/internal/control"
)

// A group that serves late must be reported, once for each change: an overload that is served late shows in no refusal.
func TestChangesOfAGroupsModeAreReported(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	scope := tally.NewTestScope("", nil)
	g := &Gateway{log: logrus.NewEntry(logger), metrics: newMetrics(scope)}
	lines := func(late bool) int {
		for range 3 {
			g.passModes.report(time.Unix(100, 0), g, []control.GroupMode{{Group: "g0", Late: late}, {Group: "g1"}})
		}
		return strings.Count(out.String(), "group-mode-changed")
	}
	gauge := func() float64 { return scope.Snapshot().Gauges()["group_serves_late+group=g0"].Value() }
	c.Assert(lines(false), qt.Equals, 0)
	c.Assert(lines(true), qt.Equals, 1)
	c.Assert(gauge(), qt.Equals, 1.0)
	c.Assert(lines(false), qt.Equals, 2)
	c.Assert(gauge(), qt.Equals, 0.0)
	c.Assert(out.String(), qt.Contains, "group=g0")
	c.Assert(out.String(), qt.Not(qt.Contains), "group=g1")
}
