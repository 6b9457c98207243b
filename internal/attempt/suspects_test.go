package attempt_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

func TestQuarantineNeedsACrashAlone(t *testing.T) {
	c := qt.New(t)
	suspects := attempt.NewSuspects(attempt.DefaultSuspectConfig())
	poison, innocent := attempt.Fingerprint{1}, attempt.Fingerprint{2}
	crash := func(agent ident.Instance, number uint64, running ...attempt.Fingerprint) []attempt.QuarantineNotice {
		return suspects.Crash(start, attempt.CrashReport{Agent: agent, Crash: number, Running: running})
	}
	c.Assert(suspects.Judge(start, poison), qt.Equals, attempt.JudgeFree)
	c.Assert(crash(agentA, 1, poison, innocent), qt.HasLen, 0)
	c.Assert(crash(agentA, 1, poison, innocent), qt.HasLen, 0)
	c.Assert(crash(agentB, 1, poison, innocent), qt.HasLen, 0)
	c.Assert(suspects.Judge(start, innocent), qt.Equals, attempt.JudgeSuspect)
	c.Assert(crash(agentB, 2, poison), qt.HasLen, 1)
	c.Assert(suspects.Judge(start, poison), qt.Equals, attempt.JudgeQuarantined)
	c.Assert(suspects.Judge(start, innocent), qt.Equals, attempt.JudgeSuspect)
	suspects.Clear(innocent)
	c.Assert(suspects.Judge(start, innocent), qt.Equals, attempt.JudgeFree)
	over := start.Add(attempt.DefaultSuspectConfig().QuarantineFor)
	c.Assert(suspects.Judge(over, poison), qt.Equals, attempt.JudgeFree)
}

func TestQuarantinedRequestIsRefusedOnEveryEntry(t *testing.T) {
	b := newCallerBench(t, nil)
	d := b.dispatched("r1", lookup, agentA)
	fingerprint := d.Fingerprint()
	b.step(attempt.QuarantineNoticed{Notice: attempt.QuarantineNotice{Fingerprint: fingerprint, Crashes: 2, ExpiresIn: time.Hour}})
	b.reply(d.ID, agentA, attempt.ReplyInDoubt, crashed)
	b.finished(outcome.Unknown, outcome.CauseQuarantined)
	b.step(attempt.CallStarted{Call: attempt.Call{Request: "r2", Customer: "c", Class: lookup, Deadline: b.now.Add(time.Second)}})
	b.finished(outcome.NotRun, outcome.CauseQuarantined)
	b.c.Assert(only[attempt.Finish](b).Outcome.RetryAfter, qt.Equals, time.Hour)
}

// TestGroupCrashesQuarantineTheCulpritOnly shows that in a model group, whose ranks die
// together, only a request that ran as a suspect in two crashes is quarantined.
func TestGroupCrashesQuarantineTheCulpritOnly(t *testing.T) {
	c := qt.New(t)
	suspects := attempt.NewSuspects(attempt.DefaultSuspectConfig())
	poison, innocent, late := attempt.Fingerprint{1}, attempt.Fingerprint{2}, attempt.Fingerprint{3}
	crash := func(agent ident.Instance, number uint64, alone bool, running ...attempt.Fingerprint) []attempt.QuarantineNotice {
		report := attempt.CrashReport{Agent: agent, Crash: number, Group: "g", Alone: alone, Running: running}
		return suspects.Crash(start, report)
	}
	// The poison crashes the group while the innocent is alone on another rank.
	c.Assert(crash(agentA, 1, false, poison), qt.HasLen, 0)
	c.Assert(crash(agentB, 1, false, innocent), qt.HasLen, 0)
	// The innocent runs as a suspect when another request crashes the group for the first time.
	c.Assert(crash(agentA, 2, true, innocent), qt.HasLen, 0)
	c.Assert(crash(agentB, 2, false, late), qt.HasLen, 0)
	c.Assert(suspects.Judge(start, innocent), qt.Equals, attempt.JudgeSuspect)
	// The poison runs as a suspect twice.
	c.Assert(crash(agentA, 3, true, poison), qt.HasLen, 0)
	c.Assert(crash(agentA, 4, true, poison), qt.HasLen, 1)
	c.Assert(suspects.Judge(start, poison), qt.Equals, attempt.JudgeQuarantined)
	c.Assert(suspects.Judge(start, innocent), qt.Equals, attempt.JudgeSuspect)
}
