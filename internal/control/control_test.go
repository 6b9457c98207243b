package control_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

const (
	warmUp = 4 * time.Second
	// maxLeaveDelay is the longest time after its stop request in which a backend server may
	// still get new work.
	maxLeaveDelay = 3 * time.Second
)

// Without faults, all calls with and without run keys must be served.
func TestCallsAreServedEndToEnd(t *testing.T) {
	s := newSim(t, 3, 4, 1)
	s.run(warmUp)
	for i := range 60 {
		s.call(s.nodes[i%3], "")
		s.call(s.nodes[(i+1)%3], fmt.Sprint(i))
		s.run(20 * time.Millisecond)
	}
	s.run(2 * time.Second)
	s.c.Assert(s.outcomes, qt.HasLen, 120)
	for request, result := range s.outcomes {
		s.c.Assert(result.Kind, qt.Equals, outcome.Served, qt.Commentf("%s: %+v", request, result))
	}
	s.checkAccounts()
}

// A leaving backend server must get no new work after maxLeaveDelay even if its announcement is
// lost, and no call may fail.
func TestLeavingBackendGetsNoNewWorkWhenLeavingMessageIsLost(t *testing.T) {
	s := newSim(t, 3, 4, 2)
	s.run(warmUp)
	s.dropLeaving = true
	leaving := s.nodes[3]
	s.step(leaving, control.StopRequested{})
	asked := s.now
	for i := range 400 {
		s.call(s.nodes[i%3], "")
		s.run(20 * time.Millisecond)
	}
	for _, run := range s.started {
		late := run.vm == leaving.vm && run.at.Sub(asked) > maxLeaveDelay
		s.c.Assert(late, qt.IsFalse, qt.Commentf("run started %v after the stop request", run.at.Sub(asked)))
	}
	for request, result := range s.outcomes {
		s.c.Assert(result.Kind, qt.Equals, outcome.Served, qt.Commentf("%s: %+v", request, result))
	}
	s.run(15 * time.Second)
	s.c.Assert(leaving.exitReason, qt.Equals, "drained")
}

// A planned stop of an entry must wait for its open calls.
func TestEntryDrainsWithoutCuttingCalls(t *testing.T) {
	s := newSim(t, 3, 4, 3)
	s.run(warmUp)
	entry := s.nodes[0]
	request := s.call(entry, "k")
	s.step(entry, control.StopRequested{})
	s.run(3 * time.Second)
	s.c.Assert(s.outcomes[request].Kind, qt.Equals, outcome.Served)
	s.c.Assert(entry.exitReason, qt.Equals, "drained")
}

// Callers that keep their connections send calls to a stopping entry without a pause. It must end, and refuse what arrives when no new caller
// can come any more: a run key of a call that it took then would be missing in the log that it has handed over.
func TestEntryDrainsUnderSteadyCalls(t *testing.T) {
	s := newSim(t, 3, 4, 3)
	s.run(warmUp)
	entry := s.nodes[0]
	s.step(entry, control.StopRequested{})
	stopped := s.now
	late := map[ident.Request]bool{}
	for i := 0; entry.exitReason == "" && s.now.Sub(stopped) < 20*time.Second; i++ {
		request := s.call(entry, fmt.Sprint("steady-", i))
		late[request] = s.now.Sub(stopped) >= simBalancerLag
		s.run(2 * time.Millisecond)
	}
	s.c.Assert(entry.exitReason, qt.Equals, "drained")
	s.run(2 * time.Second)
	refused := 0
	for request, isLate := range late {
		result := s.outcomes[request]
		if !isLate {
			s.c.Check(result.Kind, qt.Equals, outcome.Served, qt.Commentf("%s: %+v", request, result))
			continue
		}
		refused++
		s.c.Check(result.Kind, qt.Equals, outcome.NotRun)
		s.c.Check(result.Cause, qt.Equals, outcome.CauseLeaving)
		s.c.Check(result.RetryAfter > 0, qt.IsTrue)
	}
	s.c.Assert(refused > 0, qt.IsTrue)
}

// Kills and restarts processes and loses messages at random while callers post the same run
// keys through several entries. No run key may run twice, and no call that was reported as not
// run may have run.
func TestFaultsNeverCauseDuplicateOrUnreportedRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(t, 3, 3, rapid.Uint64Range(1, 1<<40).Draw(rt, "seed"))
		s.run(warmUp)
		steps := rapid.IntRange(20, 80).Draw(rt, "steps")
		for range steps {
			s.randomStep(rt)
			s.run(time.Duration(rapid.IntRange(1, 200).Draw(rt, "ms")) * time.Millisecond)
		}
		s.loss = 0
		s.run(10 * time.Second)
		for key, count := range s.keyRuns {
			if count > 1 {
				rt.Fatalf("run key %s ran %d times", key, count)
			}
		}
		for request, result := range s.outcomes {
			if result.Kind == outcome.NotRun && s.runs[request] > 0 {
				rt.Fatalf("%s was reported as not run (%s) but ran", request, result.Cause)
			}
		}
		s.checkAccounts()
	})
}

func (s *sim) randomStep(rt *rapid.T) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "node")]
	switch rapid.IntRange(0, 9).Draw(rt, "action") {
	case 0:
		s.kill(n)
	case 1:
		s.kill(n)
		s.boot(n)
	case 2:
		s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss")
	case 3:
		if n.down {
			s.boot(n)
		}
	default:
		entry := s.nodes[rapid.IntRange(0, 2).Draw(rt, "entry")]
		if !entry.down {
			s.call(entry, rapid.SampledFrom([]string{"", "a", "b", "c", "d"}).Draw(rt, "key"))
		}
	}
}

// checkAccounts checks that arrivals equal outcomes plus open calls in the overload account of
// every entry.
func (s *sim) checkAccounts() {
	for _, n := range s.nodes {
		if n.entry == nil || n.down {
			continue
		}
		for _, entry := range n.entry.Account() {
			sum := entry.Served + entry.Open
			for _, refusals := range entry.NotRun {
				sum += refusals.Count
			}
			for _, refusals := range entry.Unknown {
				sum += refusals.Count
			}
			s.c.Assert(sum, qt.Equals, entry.Arrivals, qt.Commentf("%s %+v", n.vm, entry))
		}
	}
}

// A forced stop must report the number of open calls that it aborts.
func TestForcedStopReportsOpenCalls(t *testing.T) {
	s := newSim(t, 3, 4, 4)
	s.run(warmUp)
	entry := s.nodes[0]
	s.call(entry, "k")
	s.run(messageDelay)
	entry.entry.Step(s.now, control.StopRequested{})
	var cuts string
	for _, action := range entry.entry.Step(s.now, control.StopForced{}) {
		if event, ok := action.(control.TimelineEvent); ok && event.Kind == "stop-forced" {
			cuts = event.Fields[0].Value
		}
	}
	s.c.Assert(cuts, qt.Equals, "1")
}
