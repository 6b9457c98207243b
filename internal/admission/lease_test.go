package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

var testKey = ClassKey{Customer: "c", Class: "lookup"}

// leaseFixture drives a coordinator on "a" with requests of the three VMs of its roster.
type leaseFixture struct {
	coordinator *LimitCoordinator
	settings    Settings
	now         time.Time
	sequence    uint64
	echoNumbers map[ident.VM]uint64
	roster      []ident.VM
}

func newLeaseFixture(limits template.Limits) *leaseFixture {
	settings := DefaultSettings(ident.Instance{VM: "a", Incarnation: 7})
	settings.Leases.MaxCoordinators = 1
	b := &leaseFixture{settings: settings, now: time.Unix(1000, 0), echoNumbers: make(map[ident.VM]uint64)}
	// The VM that coordinates a customer's limits depends on the names of all VMs of the roster. Search for names with
	// which VM "a" coordinates the limits of customer "c", the one of testKey.
	for i := 0; ; i++ {
		b.roster = []ident.VM{"a", ident.VM(fmt.Sprintf("b%d", i)), ident.VM(fmt.Sprintf("c%d", i))}
		if newRoster(b.roster, 1).coordinator("c") == "a" {
			break
		}
	}
	b.coordinator = NewLimitCoordinator(settings)
	class := template.ClassPlan{Name: "lookup", Limits: limits}
	plan := template.CustomerPlan{Customer: "c", Weight: 1, Classes: []template.ClassPlan{class}}
	b.coordinator.Step(b.now, Configure{Plans: []template.CustomerPlan{plan}, Roster: b.roster})
	return b
}

// request sends one request of a node and returns the granted part; false if there is none.
func (b *leaseFixture) request(node int, demand PartDemand) (PartGrant, bool) {
	return b.requestAs(node, 1, demand)
}

// requestAs sends one request of an incarnation of a node's process.
func (b *leaseFixture) requestAs(node int, incarnation ident.Incarnation, demand PartDemand) (PartGrant, bool) {
	vm := b.roster[node]
	b.sequence++
	demand.Key = testKey
	request := LimitRequest{
		From: ident.Instance{VM: vm, Incarnation: incarnation}, Roster: newRoster(b.roster, 1).digest, Sequence: b.sequence,
		EchoNumber: b.echoNumbers[vm], EchoIncarnation: 7, Demands: []PartDemand{demand},
	}
	for _, action := range b.coordinator.Step(b.now, LimitRequested{Request: request}) {
		answer := action.(SendLimitGrant).Message
		b.echoNumbers[vm] = answer.EchoNumber
		for _, grant := range answer.Grants {
			return grant, true
		}
	}
	return PartGrant{}, false
}

// advance moves the time on while the given number of nodes confirm the roster.
func (b *leaseFixture) advance(d time.Duration, nodes int) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(time.Second) {
		for node := range nodes {
			b.request(node, PartDemand{})
		}
		b.coordinator.Step(b.now, Tick{})
	}
}

// takeoverTime is long enough for the takeover and for all earlier leases to expire.
const takeoverTime = 2 * time.Minute

// A new coordinator must not grant a part while leases of an earlier coordinator may be in use.
func TestNoGrantBeforeEarlierLeasesExpire(t *testing.T) {
	c := qt.New(t)
	b := newLeaseFixture(template.Limits{RatePerSecond: 100})
	b.advance(b.settings.Leases.TTL, 3)
	grant, _ := b.request(1, PartDemand{Requested: Part{Rate: 10}})
	c.Assert(grant.Part, qt.Equals, Part{})
	b.advance(takeoverTime, 3)
	grant, _ = b.request(1, PartDemand{Requested: Part{Rate: 10}})
	c.Assert(grant.Part.Rate >= 10, qt.IsTrue)
}

// A lowered part must not be granted to another entry before its holder has acknowledged the lower grant, or both
// could use it.
func TestPartIncreasesOnlyAfterOthersReleaseTheirs(t *testing.T) {
	c := qt.New(t)
	b := newLeaseFixture(template.Limits{RatePerSecond: 100})
	b.advance(takeoverTime, 3)
	first, _ := b.request(1, PartDemand{Requested: Part{Rate: 50}})
	b.now = b.now.Add(time.Second)
	lowered, _ := b.request(1, PartDemand{Requested: Part{Rate: 20}, Grantor: 7, Grant: first.Number, Held: first.Part})
	c.Assert(lowered.Part.Rate < first.Part.Rate, qt.IsTrue)
	pool := leasedPool(template.Limits{RatePerSecond: 100}, b.settings.Leases).Rate
	// The holder may not have received the lower grant.
	other, _ := b.request(2, PartDemand{Requested: Part{Rate: 80}})
	c.Assert(other.Part.Rate, qt.Equals, pool-first.Part.Rate)
	b.now = b.now.Add(time.Second)
	b.request(1, PartDemand{Requested: Part{Rate: 20}, Grantor: 7, Grant: lowered.Number, Held: lowered.Part})
	other, _ = b.request(2, PartDemand{Requested: Part{Rate: 80}})
	c.Assert(other.Part.Rate, qt.Equals, pool-lowered.Part.Rate)
}

// Delayed messages that return an old echo number must not keep a coordinator active.
func TestStaleEchoIsNoConfirmation(t *testing.T) {
	c := qt.New(t)
	b := newLeaseFixture(template.Limits{RatePerSecond: 100})
	b.advance(takeoverTime, 3)
	c.Assert(b.coordinator.authority.active, qt.IsTrue)
	// Messages with old echo numbers keep arriving after the entries have changed to another roster.
	for range 20 {
		b.now = b.now.Add(time.Second)
		old := b.echoNumbers["a"]
		for node := range 3 {
			b.request(node, PartDemand{})
			b.echoNumbers[b.roster[node]] = old
		}
		b.coordinator.Step(b.now, Tick{})
	}
	c.Assert(b.coordinator.authority.active, qt.IsFalse)
}

// While a coordinator is inactive, another one may grant leases. When the first one becomes active again, it may only
// renew leases that entries report until the leases of the other one have expired.
func TestCoordinatorOnlyRenewsAfterReactivation(t *testing.T) {
	c := qt.New(t)
	b := newLeaseFixture(template.Limits{RatePerSecond: 100})
	b.advance(takeoverTime, 3)
	b.advance(8*time.Second, 1)
	c.Assert(b.coordinator.authority.active, qt.IsFalse)
	b.advance(10*time.Second, 3)
	c.Assert(b.coordinator.authority.active, qt.IsTrue)
	grant, _ := b.request(1, PartDemand{Requested: Part{Rate: 10}})
	c.Assert(grant.Part, qt.Equals, Part{})
	grant, _ = b.request(2, PartDemand{Requested: Part{Rate: 10}, Grantor: 3, GrantorVM: "z", Grant: 5, Held: Part{Rate: 4}})
	c.Assert(grant.Part, qt.Equals, Part{Rate: 4})
	c.Assert(grant.RenewedGrant, qt.Equals, uint64(5))
	c.Assert(grant.RenewedGrantor, qt.Equals, ident.Incarnation(3))
	b.advance(takeoverTime, 3)
	grant, _ = b.request(1, PartDemand{Requested: Part{Rate: 10}})
	c.Assert(grant.Part.Rate >= 10, qt.IsTrue)
}

// An active coordinator must keep granting parts when an entry fails and a majority remains.
func TestCoordinatorStaysActiveWithMajority(t *testing.T) {
	c := qt.New(t)
	b := newLeaseFixture(template.Limits{RatePerSecond: 100})
	b.advance(takeoverTime, 3)
	b.advance(takeoverTime, 2)
	grant, _ := b.request(1, PartDemand{Requested: Part{Rate: 10}})
	c.Assert(grant.Part.Rate >= 10, qt.IsTrue)
}

// Moving rate from one entry to another must not let the two token buckets together exceed the limit.
func TestMovedRateStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, window = 10.0, 2.0
		now := time.Unix(0, 0)
		buckets := []*bucket{{refilledAt: now}, {refilledAt: now}}
		share := limit
		// allowance is the number of units that the limit still permits.
		allowance, used := limit*window, 0.0
		for range 60 {
			step := rapid.Float64Range(0, 3).Draw(t, "seconds")
			now = now.Add(time.Duration(step * float64(time.Second)))
			// The part that shrinks is released before the other one grows.
			share = rapid.SampledFrom([]float64{0, limit / 2, limit, share}).Draw(t, "share")
			parts := []float64{share, limit - share}
			order := []int{0, 1}
			if parts[1] < buckets[1].rate {
				order = []int{1, 0}
			}
			for _, i := range order {
				buckets[i].resize(now, parts[i], parts[i]*window)
			}
			allowance = min(limit*window, allowance+step*limit)
			for _, b := range buckets {
				if rapid.Bool().Draw(t, "use") && b.level > 0 {
					allowance -= b.level
					used += b.level
					b.level = 0
				}
			}
			if allowance < -1e-6 {
				t.Fatalf("%.3f units beyond the limit, %.3f used", -allowance, used)
			}
		}
	})
}

// A holder must apply a renewal by a new coordinator only while it holds the renewed grant. Otherwise it would use a
// part that has expired or was replaced.
func TestHolderRenewsOnlyHeldGrant(t *testing.T) {
	limits := template.Limits{RatePerSecond: 100}
	class := template.ClassPlan{Name: "lookup", Limits: limits}
	plans := []template.CustomerPlan{{Customer: "c", Weight: 1, Classes: []template.ClassPlan{class}}}
	self, old, next := ident.Instance{VM: "a", Incarnation: 1}, ident.Instance{VM: "a", Incarnation: 2}, ident.Instance{VM: "a", Incarnation: 3}
	cases := []struct {
		name   string
		later  time.Duration
		renews uint64
		want   float64
	}{
		{"held", time.Second, 5, 30},
		{"another grant", time.Second, 4, 40},
		{"run out", time.Minute, 5, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			holder := newLimitHolder(DefaultSettings(self))
			r := newRoster([]ident.VM{"a"}, 1)
			now := time.Unix(1000, 0)
			holder.configure(now, plans, r)
			answer := func(from ident.Instance, grant PartGrant) {
				request := holder.tick(now)[0].Message
				grant.Key = testKey
				holder.handleGrant(now, LimitGrant{
					From: from, To: self, Roster: r.digest, Sequence: request.Sequence, TTL: 20 * time.Second, Grants: []PartGrant{grant},
				})
			}
			answer(old, PartGrant{Number: 5, Part: Part{Rate: 40}})
			now = now.Add(tc.later)
			holder.expediteRequest(now, "a")
			answer(next, PartGrant{Number: 1, Part: Part{Rate: 30}, RenewedGrant: tc.renews, RenewedGrantor: 2})
			c.Assert(holder.limits[testKey].lease.part.Rate, qt.Equals, tc.want)
		})
	}
}

// The rate of a process that was replaced on its VM must be available at once, but not before it is certain that the
// process was replaced.
func TestPartOfReplacedProcessIsReleased(t *testing.T) {
	c := qt.New(t)
	b := newLeaseFixture(template.Limits{RatePerSecond: 100})
	b.advance(takeoverTime, 3)
	first, _ := b.request(1, PartDemand{Requested: Part{Rate: 80}})
	c.Assert(first.Part.Rate, qt.Equals, 80.0)
	b.now = b.now.Add(time.Second)
	// A message without a later echo number may be a delayed one of an earlier process.
	b.echoNumbers[b.roster[1]] = 0
	grant, _ := b.requestAs(1, 2, PartDemand{Requested: Part{Rate: 80}})
	c.Assert(grant.Part.Rate, qt.Equals, 0.0)
	b.now = b.now.Add(time.Second)
	grant, _ = b.requestAs(1, 2, PartDemand{Requested: Part{Rate: 80}})
	c.Assert(grant.Part.Rate, qt.Equals, 80.0)
}
