package membership_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// edgeValue draws numbers at and near the limits of integer types.
func edgeValue(t *rapid.T, label string) uint64 {
	return rapid.SampledFrom([]uint64{0, 1, 2, 3, 5, 1 << 31, 1 << 32, math.MaxInt64, math.MaxUint64}).Draw(t, label)
}

func drawStamp(t *rapid.T) membership.Stamp {
	if rapid.Bool().Draw(t, "valid stamp") {
		return stampOf(template.Version(rapid.IntRange(1, 5).Draw(t, "version")))
	}
	return membership.Stamp{Version: template.Version(edgeValue(t, "version")), Digest: membership.Digest(edgeValue(t, "digest"))}
}

func drawDigests(t *rapid.T) []membership.Digest {
	var digests []membership.Digest
	for range rapid.IntRange(0, 3).Draw(t, "digests") {
		digests = append(digests, membership.Digest(edgeValue(t, "digest")))
	}
	return digests
}

func drawBodies(t *rapid.T) [][]byte {
	var bodies [][]byte
	for range rapid.IntRange(0, 2).Draw(t, "bodies") {
		bodies = append(bodies, rapid.SampledFrom([][]byte{nil, {}, []byte("5\n"), configValue(3)}).Draw(t, "body"))
	}
	return bodies
}

func drawConfigMessage(t *rapid.T) membership.ConfigMessage {
	switch rapid.IntRange(0, 4).Draw(t, "message") {
	case 0:
		beat := membership.ReaderHeartbeat{VM: "vm-1", Age: membership.Milliseconds(uint32(edgeValue(t, "age")))}
		return membership.ConfigDigest{Held: drawStamp(t), Ask: rapid.Bool().Draw(t, "ask"), Readers: []membership.ReaderHeartbeat{beat}}
	case 1:
		return membership.ConfigFetch{Want: drawStamp(t), Have: drawStamp(t)}
	case 2:
		segment := membership.Segment{From: uint32(edgeValue(t, "from")), Count: uint32(edgeValue(t, "count")), Chunks: drawDigests(t)}
		return membership.ConfigManifest{Stamp: drawStamp(t), Base: drawStamp(t), Segments: []membership.Segment{segment}, Bodies: drawBodies(t)}
	case 3:
		return membership.ConfigChunksRequest{Stamp: drawStamp(t), Chunks: drawDigests(t)}
	}
	return membership.ConfigChunks{Stamp: drawStamp(t), Bodies: drawBodies(t)}
}

// Faulty or malicious peers may send any message. None may cause a panic, make the configuration older
// or put an invalid one in force.
func TestArbitraryConfigMessagesKeepValidConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := []membership.Peer{{VM: "vm-1", Zone: "z0"}, {VM: "vm-2", Zone: "z1"}}
		node := membership.NewConfigNode(membership.ConfigSettings{Self: "vm-0", Zone: "z0", Key: configKey, Accept: acceptConfig})
		node.Step(start, membership.PeersChanged{Peers: peers})
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			before := node.Status().InForce
			node.Step(now, membership.ConfigTick{})
			from := rapid.SampledFrom([]ident.VM{"vm-1", "vm-2", "stranger", ""}).Draw(t, "from")
			node.Step(now, membership.ConfigReceived{From: from, Message: drawConfigMessage(t)})
			node.Step(now, membership.ServiceAnswered{Call: membership.CallID(edgeValue(t, "call")), Value: configValue(2)})
			inForce := node.Status().InForce
			if inForce.Less(before) || !inForce.IsZero() && inForce != stampOf(inForce.Version) {
				t.Fatalf("%v in force after %v", inForce, before)
			}
		}
	})
}

// A faulty agent may grant a lease of any duration. None may be usable for 3 s or more.
func TestArbitraryGrantsDoNotExceedMaxLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder, err := membership.NewHolder(membership.HolderSettings{}, charts.Files)
		if err != nil {
			t.Fatal(err)
		}
		holder.Step(start, membership.BackendsChosen{VMs: []ident.VM{agentVM}})
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			holder.Step(now, membership.HolderTick{})
			holder.Step(now, membership.GrantReceived{
				From: rapid.SampledFrom([]ident.VM{agentVM, "stranger"}).Draw(t, "from"),
				Grant: membership.LeaseGrant{
					Sequence:    membership.Sequence(edgeValue(t, "sequence")),
					Incarnation: ident.Incarnation(edgeValue(t, "incarnation")),
					Number:      membership.LeaseNumber(edgeValue(t, "number")),
					Duration:    membership.Milliseconds(uint32(edgeValue(t, "duration"))),
					Credits:     uint32(edgeValue(t, "credits")),
					Leaving:     rapid.Bool().Draw(t, "leaving"),
				},
				NewConnection: rapid.Bool().Draw(t, "new connection"),
			})
			view, _ := holder.View(agentVM)
			if view.Usable(now.Add(3 * time.Second)) {
				t.Fatalf("a lease until %v is usable 3 s after %v", view.Expires, now)
			}
		}
	})
}

// A faulty entry may send any numbers. No grant may have more credits than the agent has slots.
func TestArbitraryLeaseRequestsDoNotExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grantor := newGrantor(7, 5)
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			from := ident.Instance{VM: rapid.SampledFrom([]ident.VM{"", "entry-1", "entry-2"}).Draw(t, "from"), Incarnation: ident.Incarnation(edgeValue(t, "incarnation"))}
			actions := grantor.Step(now, membership.LeaseRequested{From: from, Request: membership.LeaseRequest{
				Sequence:    membership.Sequence(edgeValue(t, "sequence")),
				Held:        membership.LeaseNumber(edgeValue(t, "held")),
				Incarnation: ident.Incarnation(rapid.SampledFrom([]uint64{0, 7, 9}).Draw(t, "held incarnation")),
				Demand:      uint32(edgeValue(t, "demand")),
			}})
			if credits := actions[0].(membership.SendGrant).Grant.Credits; credits > 5 {
				t.Fatalf("%d credits granted for 5 slots", credits)
			}
		}
	})
}

// A grant for a request that was never sent must not change the lease.
func TestGrantWithUnknownSequenceIsIgnored(t *testing.T) {
	p := newPair(qt.New(t))
	p.stepHolder(membership.GrantReceived{From: agentVM, Grant: membership.LeaseGrant{Sequence: math.MaxUint64, Incarnation: 7}})
	p.c.Assert(p.view().Usable(p.now), qt.IsTrue)
}
