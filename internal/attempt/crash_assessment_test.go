package attempt

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An assessment takes 0.5 to 2 ms of the control thread. One for each served run of a suspect would slow all requests.
func TestServedRunsPlanFewAssessments(t *testing.T) {
	c := qt.New(t)
	config, now, trait := DefaultCrashConfig(), time.Unix(1_000_000, 0), Fingerprint{1}
	register := NewCrashRegister(config, 1<<32)
	for _, server := range []string{"server-0", "server-1"} {
		instance := ServerInstance{ID: server}
		register.RecordBroken(now, instance, BrokenSend{Suspected: []Fingerprint{trait}, StartedAt: now.Add(-time.Second)})
		register.RecordEnd(now, instance, "service")
	}
	now = now.Add(config.SettleTime)
	register.Tick(now)
	c.Assert(register.assessAt.IsZero(), qt.IsTrue)
	register.RecordServed(now, []Fingerprint{trait})
	c.Check(register.assessAt, qt.Equals, now.Add(config.SettleTime))
	for range 4 {
		register.RecordServed(now, []Fingerprint{trait})
	}
	register.Tick(now.Add(config.SettleTime))
	// Five runs are no step.
	register.RecordServed(now, []Fingerprint{trait})
	register.Tick(now.Add(2 * config.SettleTime))
	register.RecordServed(now.Add(2*config.SettleTime), []Fingerprint{trait})
	c.Check(register.assessAt.IsZero(), qt.IsTrue)
}
