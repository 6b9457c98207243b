package attempt_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// TestQuarantineNeedsCrashWhileAlone guards against quarantine of a request that only ran
// together with the one that crashed the backend server.
func TestQuarantineNeedsCrashWhileAlone(t *testing.T) {
	c := qt.New(t)
	suspects := attempt.NewSuspects(attempt.DefaultSuspectConfig())
	faulty, harmless := attempt.Fingerprint{1}, attempt.Fingerprint{2}
	crash := func(agent ident.Instance, number uint64, running ...attempt.Fingerprint) []attempt.QuarantineNotice {
		return suspects.RecordCrash(start, attempt.CrashReport{Agent: agent, Crash: number, Running: running})
	}
	c.Assert(suspects.Status(start, faulty), qt.Equals, attempt.RequestNormal)
	c.Assert(crash(agentA, 1, faulty, harmless), qt.HasLen, 0)
	c.Assert(crash(agentA, 1, faulty, harmless), qt.HasLen, 0)
	c.Assert(crash(agentB, 1, faulty, harmless), qt.HasLen, 0)
	c.Assert(suspects.Status(start, harmless), qt.Equals, attempt.RequestSuspect)
	c.Assert(crash(agentB, 2, faulty), qt.HasLen, 1)
	c.Assert(suspects.Status(start, faulty), qt.Equals, attempt.RequestQuarantined)
	c.Assert(suspects.Status(start, harmless), qt.Equals, attempt.RequestSuspect)
	suspects.Clear(harmless)
	c.Assert(suspects.Status(start, harmless), qt.Equals, attempt.RequestNormal)
	over := start.Add(attempt.DefaultSuspectConfig().QuarantineFor)
	c.Assert(suspects.Status(over, faulty), qt.Equals, attempt.RequestNormal)
}

// TestQuarantineNoticeOfAnotherEntryIsApplied guards against an entry running a request that
// another entry has quarantined, both for an open call and for a new one.
func TestQuarantineNoticeOfAnotherEntryIsApplied(t *testing.T) {
	h := newCallHarness(t, nil)
	d := h.dispatched("r1", lookup, agentA)
	fingerprint := d.Fingerprint()
	h.step(attempt.QuarantineNoticeReceived{Notice: attempt.QuarantineNotice{Fingerprint: fingerprint, Crashes: 2, ExpiresIn: time.Hour}})
	h.reply(d.ID, agentA, attempt.ReplyInDoubt, crashed)
	h.assertFinished(outcome.Unknown, outcome.CauseQuarantined)
	h.step(attempt.CallStarted{Call: attempt.Call{Request: "r2", Customer: "c", Class: lookup, Deadline: h.now.Add(time.Second)}})
	h.assertFinished(outcome.NotRun, outcome.CauseQuarantined)
	h.c.Assert(single[attempt.Finish](h).Outcome.RetryAfter, qt.Equals, time.Hour)
}

// TestGroupCrashesQuarantineOnlyTheCause guards against quarantine of a request that ran alone
// on one rank while another rank's request crashed the model group: all ranks fail together.
func TestGroupCrashesQuarantineOnlyTheCause(t *testing.T) {
	c := qt.New(t)
	suspects := attempt.NewSuspects(attempt.DefaultSuspectConfig())
	faulty, harmless, late := attempt.Fingerprint{1}, attempt.Fingerprint{2}, attempt.Fingerprint{3}
	crash := func(agent ident.Instance, number uint64, alone bool, running ...attempt.Fingerprint) []attempt.QuarantineNotice {
		report := attempt.CrashReport{Agent: agent, Crash: number, Group: "g", Alone: alone, Running: running}
		return suspects.RecordCrash(start, report)
	}
	// The faulty request crashes the group. The harmless one is the only request on another rank, but
	// not as a suspect.
	c.Assert(crash(agentA, 1, false, faulty), qt.HasLen, 0)
	c.Assert(crash(agentB, 1, false, harmless), qt.HasLen, 0)
	// The harmless request runs as a suspect when another one crashes the group for the first time.
	c.Assert(crash(agentA, 2, true, harmless), qt.HasLen, 0)
	c.Assert(crash(agentB, 2, false, late), qt.HasLen, 0)
	c.Assert(suspects.Status(start, harmless), qt.Equals, attempt.RequestSuspect)
	// The faulty request runs as a suspect twice.
	c.Assert(crash(agentA, 3, true, faulty), qt.HasLen, 0)
	c.Assert(crash(agentA, 4, true, faulty), qt.HasLen, 1)
	c.Assert(suspects.Status(start, faulty), qt.Equals, attempt.RequestQuarantined)
	c.Assert(suspects.Status(start, harmless), qt.Equals, attempt.RequestSuspect)
}
