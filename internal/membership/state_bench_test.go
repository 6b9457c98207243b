package membership_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// heapBytesOf returns the mean heap size in bytes of the objects that build returns.
func heapBytesOf(count int, build func(i int) any) float64 {
	kept := []any{}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range count {
		kept = append(kept, build(i))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(count)
}

// BenchmarkState reports the heap sizes of one ConfigNode, one Holder and one Grantor, in bytes (B), at three
// fleet sizes.
func BenchmarkState(b *testing.B) {
	value := append([]byte("5\n"), make([]byte, 1<<20)...)
	for i := range value[2:] {
		value[2+i] = byte(i * i >> 7)
	}
	for _, size := range []struct{ entries, agents, zones, subset int }{{3, 20, 3, 20}, {36, 250, 6, 21}, {360, 5000, 21, 42}} {
		b.Run(fmt.Sprintf("%d+%d", size.entries, size.agents), func(b *testing.B) {
			peers := make([]membership.Peer, size.entries+size.agents)
			for i := range peers {
				peers[i] = membership.Peer{VM: ident.VM(fmt.Sprintf("vm-%d", i)), Zone: ident.Zone(fmt.Sprintf("z%d", i%size.zones))}
			}
			for b.Loop() {
				b.ReportMetric(heapBytesOf(4, func(int) any { return configState(peers, value) }), "config-B")
				b.ReportMetric(heapBytesOf(20, func(int) any { return holderState(size.subset) }), "holder-B")
				b.ReportMetric(heapBytesOf(200, func(int) any { return grantorState(4) }), "grantor-B")
			}
		})
	}
}

func configState(peers []membership.Peer, value []byte) *membership.ConfigNode {
	node := membership.NewConfigNode(membership.ConfigSettings{Self: peers[0].VM, Zone: peers[0].Zone, Key: configKey, Accept: acceptConfig})
	node.Step(start, membership.PeersChanged{Peers: peers})
	digest := membership.DigestOf(value)
	stamp := membership.Stamp{Version: 5, Digest: digest}
	node.Step(start, membership.ConfigReceived{From: peers[1].VM, Message: membership.ConfigDigest{Held: stamp}})
	for at := time.Duration(0); at < 2*time.Second; at += 100 * time.Millisecond {
		node.Step(start.Add(at), membership.ConfigTick{})
	}
	node.Step(start.Add(2*time.Second), membership.ConfigReceived{From: peers[1].VM, Message: membership.ConfigDigest{Held: stamp}})
	body := append([]byte(nil), value...)
	node.Step(start.Add(2*time.Second), membership.ConfigReceived{From: peers[1].VM, Message: membership.ConfigManifest{
		Stamp: stamp, Segments: []membership.Segment{{Chunks: []membership.Digest{digest}}}, Bodies: [][]byte{body},
	}})
	if node.Status().InForce != stamp {
		panic("invariant: the configuration is not in force")
	}
	return node
}

func holderState(subset int) *membership.Holder {
	holder, err := membership.NewHolder(membership.HolderSettings{}, charts.Files)
	if err != nil {
		panic(err)
	}
	var vms []ident.VM
	for i := range subset {
		vms = append(vms, ident.VM(fmt.Sprintf("backend-%d", i)))
	}
	holder.Step(start, membership.BackendsChosen{VMs: vms})
	return holder
}

func grantorState(entries int) *membership.Grantor {
	grantor := newGrantor(1, 40)
	for i := range entries {
		for sequence := range membership.Sequence(3) {
			from := ident.Instance{VM: ident.VM(fmt.Sprintf("entry-%d", i)), Incarnation: 1}
			grantor.Step(start, membership.LeaseRequested{From: from, Request: membership.LeaseRequest{Sequence: sequence}})
		}
	}
	return grantor
}

// BenchmarkChange measures receiving a change of one part of a 1 MB configuration from a peer.
func BenchmarkChange(b *testing.B) {
	const parts = 128
	peer := membership.Peer{VM: "vm-1", Zone: "z0"}
	node := membership.NewConfigNode(membership.ConfigSettings{Self: "vm-0", Zone: "z0", Key: configKey, Accept: acceptConfig})
	node.Step(start, membership.PeersChanged{Peers: []membership.Peer{peer}})
	node.Step(start, membership.ConfigReceived{From: peer.VM, Message: membership.ConfigDigest{}})
	value := make([][]byte, parts)
	for i := range value {
		value[i] = fmt.Appendf(nil, "\npart %d %08000d", i, i)
	}
	var held membership.Stamp
	version := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		version++
		value[0] = fmt.Appendf(nil, "%d", version)
		whole := slices.Concat(value...)
		next := membership.Stamp{Version: template.Version(version), Digest: membership.DigestOf(whole)}
		message := membership.ConfigManifest{Stamp: next, Bodies: value[:1], Segments: []membership.Segment{{Chunks: []membership.Digest{membership.DigestOf(value[0])}}}}
		if held.IsZero() {
			message.Bodies = value
			for _, part := range value[1:] {
				message.Segments[0].Chunks = append(message.Segments[0].Chunks, membership.DigestOf(part))
			}
		} else {
			message.Base = held
			message.Segments = append(message.Segments, membership.Segment{From: 1, Count: parts - 1})
		}
		b.StartTimer()
		node.Step(start, membership.ConfigReceived{From: peer.VM, Message: membership.ConfigDigest{Held: next}})
		node.Step(start, membership.ConfigReceived{From: peer.VM, Message: message})
		held = next
	}
	if node.Status().InForce != held {
		b.Fatalf("%v in force, want %v", node.Status().InForce, held)
	}
}
