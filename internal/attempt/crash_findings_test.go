package attempt_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
)

// Without findings, the logs of an incident do not show whether a request that ended three servers lacked evidence, ran
// beside another suspect, or was known to too few entries.
func TestAssessmentsOfSuspectsAreReported(t *testing.T) {
	c := qt.New(t)
	register := attempt.NewCrashRegister(attempt.DefaultCrashConfig(), registerNumber)
	register.SetServers(start, "service", 3)
	fingerprint, now := attempt.Fingerprint{1}, start
	settled := func() []attempt.CrashFinding {
		now = now.Add(time.Second)
		register.Tick(now)
		return register.TakeFindings()
	}
	endRun(register, now, "server-0", fingerprint, 900*time.Millisecond)
	endRun(register, now, "server-1", fingerprint, 800*time.Millisecond)
	c.Assert(settled(), qt.HasLen, 0)
	endRun(register, now, "server-2", fingerprint, 700*time.Millisecond)
	findings := settled()
	c.Assert(findings, qt.HasLen, 1)
	c.Check(findings[0].Trait, qt.Equals, fingerprint)
	c.Check(findings[0].Decision, qt.Equals, attempt.CrashEvidenceShort)
	c.Check(findings[0].Ends, qt.Equals, 3)
	c.Check(findings[0].Events, qt.Equals, 2)
	c.Check(findings[0].Longest, qt.Equals, 900*time.Millisecond)
	c.Check(settled(), qt.HasLen, 0)
	for _, server := range []string{"server-3", "server-4", "server-5"} {
		endRun(register, now, server, fingerprint, time.Millisecond)
		now = now.Add(100 * time.Millisecond)
	}
	findings = settled()
	c.Assert(findings, qt.HasLen, 1)
	c.Check(findings[0].Decision, qt.Equals, attempt.CrashQuarantined)
	c.Check(findings[0].Events, qt.Equals, 5)
	c.Check(findings[0].Nats >= attempt.DefaultCrashConfig().EvidenceLimit, qt.IsTrue)
	// Of the shares of crashing runs that are weighed, 1/4 is outweighed last: 6 ends of 8 + ln(1/4) nats by 138 served runs of
	// -ln(3/4) nats, as one end by 23.
	for range 137 {
		register.RecordServed(now, []attempt.Fingerprint{fingerprint})
	}
	c.Assert(settled(), qt.HasLen, 0)
	register.RecordServed(now, []attempt.Fingerprint{fingerprint})
	findings = settled()
	c.Assert(findings, qt.HasLen, 1)
	c.Check(findings[0].Decision, qt.Equals, attempt.CrashLifted)
}
