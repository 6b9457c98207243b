package membership_test

import (
	"bytes"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

const configKey = "configuration"

// configValue returns the published value of a version. Every seventh, from version 6 on, is malformed.
func configValue(version template.Version) []byte {
	if version%7 == 6 {
		return []byte("malformed " + strconv.Itoa(int(version)))
	}
	text := fmt.Appendf(nil, "%d\n", version)
	for i := range 40 {
		text = fmt.Appendf(text, "customer %d, changed in %d, %s\n", i, int(version)-(i+int(version))%5, bytes.Repeat([]byte("."), 40))
	}
	return text
}

func acceptConfig(value []byte) (template.Version, error) {
	head, _, _ := bytes.Cut(value, []byte("\n"))
	version, err := strconv.ParseUint(string(head), 10, 64)
	if err != nil {
		return 0, errors.New("head: expected a version")
	}
	return template.Version(version), nil
}

type configProcess struct {
	vm          ident.VM
	zone        ident.Zone
	node        *membership.ConfigNode
	incarnation int
	running     bool
	paused      bool
	ready       bool
	inForce     membership.Stamp
	// reachableVersions has, for each peer that has been reachable since this process started, the
	// version that the peer had in force at that start.
	reachableVersions map[ident.VM]template.Version
}

type configDelivery struct {
	due     time.Time
	deliver func()
}

// configFleet simulates a small fleet with a configuration service whose replicas lag.
type configFleet struct {
	t           *rapid.T
	now         time.Time
	lossy       bool
	layout      membership.Layout
	processes   []*configProcess
	deliveries  []configDelivery
	partition   map[ident.VM]int
	published   template.Version
	replicaLag  template.Version
	serviceDown bool
	parts       map[string][]byte
	watches     []func()
}

func (f *configFleet) reachable(a, b *configProcess) bool {
	return f.partition[a.vm] == f.partition[b.vm]
}

func (f *configFleet) start(p *configProcess) {
	p.incarnation++
	p.running, p.paused, p.ready = true, false, false
	p.inForce = membership.Stamp{}
	p.reachableVersions = map[ident.VM]template.Version{}
	var peers []membership.Peer
	for _, other := range f.processes {
		peers = append(peers, membership.Peer{VM: other.vm, Zone: other.zone})
		if other != p && other.running && !other.paused && f.reachable(p, other) {
			p.reachableVersions[other.vm] = other.inForce.Version
		}
	}
	p.node = membership.NewConfigNode(membership.ConfigSettings{
		Self: p.vm, Zone: p.zone, Key: configKey, Layout: f.layout, Accept: acceptConfig, Seed: uint64(p.incarnation),
	})
	f.step(p, membership.PeersChanged{Peers: peers})
}

// dropUnreachable removes, from the reachableVersions of each process, the peers that it can't reach.
func (f *configFleet) dropUnreachable() {
	for _, p := range f.processes {
		for _, other := range f.processes {
			if !other.running || other.paused || p.paused || !f.reachable(p, other) {
				delete(p.reachableVersions, other.vm)
			}
		}
	}
}

func (f *configFleet) schedule(delay time.Duration, deliver func()) {
	f.deliveries = append(f.deliveries, configDelivery{due: f.now.Add(delay), deliver: deliver})
}

func (f *configFleet) step(p *configProcess, event membership.ConfigEvent) {
	for _, action := range p.node.Step(f.now, event) {
		switch action := action.(type) {
		case membership.SendConfig:
			f.transmit(p, action)
		case membership.CallService:
			f.call(p, action.Call)
		case membership.PutInForce:
			f.putInForce(p, action)
		case membership.ReadinessChanged:
			f.checkReadiness(p, action.Ready)
		}
	}
}

func (f *configFleet) putInForce(p *configProcess, action membership.PutInForce) {
	if !p.inForce.Less(action.Stamp) {
		f.t.Fatalf("%s went back from %v to %v", p.vm, p.inForce, action.Stamp)
	}
	if !bytes.Equal(action.Value, configValue(action.Stamp.Version)) {
		f.t.Fatalf("%s put a value in force that differs from version %d", p.vm, action.Stamp.Version)
	}
	p.inForce = action.Stamp
}

func (f *configFleet) checkReadiness(p *configProcess, ready bool) {
	becameReady := ready && !p.ready
	p.ready = ready
	if !becameReady || f.lossy {
		return
	}
	for vm, version := range p.reachableVersions {
		if p.inForce.Version < version {
			f.t.Fatalf("%s became ready with version %d although %s, reachable since its start, had %d", p.vm, p.inForce.Version, vm, version)
		}
	}
}

func (f *configFleet) transmit(from *configProcess, action membership.SendConfig) {
	var to *configProcess
	for _, p := range f.processes {
		if p.vm == action.To {
			to = p
		}
	}
	copies := 1
	delay := time.Duration(rapid.SampledFrom([]int{10, 30, 120}).Draw(f.t, "delay")) * time.Millisecond
	if f.lossy {
		copies = rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(f.t, "copies")
		delay = time.Duration(rapid.SampledFrom([]int{1, 1, 1, 10, 900, 4000}).Draw(f.t, "delay")) * time.Millisecond
	}
	incarnation := to.incarnation
	for range copies {
		f.schedule(delay, func() {
			if to.running && !to.paused && to.incarnation == incarnation && f.reachable(from, to) {
				f.step(to, membership.ConfigReceived{From: from.vm, Message: action.Message})
			}
		})
	}
}

// replicaVersion is the version held by the replica of the service that answers calls.
func (f *configFleet) replicaVersion() template.Version {
	if f.published <= f.replicaLag {
		return min(1, f.published)
	}
	return f.published - f.replicaLag
}

func (f *configFleet) call(p *configProcess, call membership.ServiceCall) {
	incarnation := p.incarnation
	answer := func(event membership.ConfigEvent) {
		f.schedule(10*time.Millisecond, func() {
			if p.running && !p.paused && p.incarnation == incarnation {
				f.step(p, event)
			}
		})
	}
	if f.serviceDown {
		answer(membership.ServiceFailed{Call: call.ID, Reason: "down"})
		return
	}
	if part, ok := f.parts[call.Key]; ok {
		answer(membership.ServiceAnswered{Call: call.ID, Value: part})
		return
	}
	send := func() {
		version := f.replicaVersion()
		answer(membership.ServiceAnswered{Call: call.ID, Revision: uint64(version), Value: f.serviceValue(version)})
	}
	if call.Watch && call.After == uint64(f.replicaVersion()) {
		f.watches = append(f.watches, send)
		return
	}
	send()
}

// serviceValue is what the service holds under the configuration's key.
func (f *configFleet) serviceValue(version template.Version) []byte {
	value := configValue(version)
	if f.layout == membership.SingleValue || version%7 == 6 {
		return value
	}
	var manifest bytes.Buffer
	fmt.Fprintf(&manifest, `{"version":%d,"parts":[`, version)
	for i, line := range bytes.SplitAfter(value, []byte("\n")) {
		key := fmt.Sprintf("part-%d", i)
		f.parts[key] = line
		if i > 0 {
			manifest.WriteByte(',')
		}
		part := membership.NewPublishedPart(key, line)
		fmt.Fprintf(&manifest, `{"key":%q,"digest":%q}`, part.Key, part.Digest)
	}
	manifest.WriteString("]}")
	return manifest.Bytes()
}

func (f *configFleet) publish() {
	f.published++
	waiting := f.watches
	f.watches = nil
	for _, send := range waiting {
		send()
	}
}

// advance runs the simulation for a duration in ticks.
func (f *configFleet) advance(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		next := f.now.Add(tick)
		for {
			sort.SliceStable(f.deliveries, func(i, j int) bool { return f.deliveries[i].due.Before(f.deliveries[j].due) })
			if len(f.deliveries) == 0 || f.deliveries[0].due.After(next) {
				break
			}
			first := f.deliveries[0]
			f.deliveries = f.deliveries[1:]
			f.now = first.due
			first.deliver()
		}
		f.now = next
		for _, p := range f.processes {
			if p.running && !p.paused {
				f.step(p, membership.ConfigTick{})
			}
		}
	}
}

func (f *configFleet) injectFault() {
	p := f.processes[rapid.IntRange(0, len(f.processes)-1).Draw(f.t, "process")]
	switch rapid.IntRange(0, 9).Draw(f.t, "kind") {
	case 0, 1, 2:
		f.publish()
	case 3:
		p.running = false
	case 4:
		p.running = false
		f.dropUnreachable()
		f.start(p)
	case 5:
		p.paused = !p.paused
	case 6:
		f.partition[p.vm] = rapid.IntRange(0, 1).Draw(f.t, "side")
	case 7:
		f.serviceDown = !f.serviceDown
	case 8:
		f.replicaLag = template.Version(rapid.IntRange(0, 4).Draw(f.t, "lag"))
	case 9:
		for _, other := range f.processes {
			if !other.running {
				f.start(other)
			}
		}
	}
	f.dropUnreachable()
}

// endFaults ends all faults, publishes a valid version and returns it. All processes must put it in
// force.
func (f *configFleet) endFaults() template.Version {
	f.lossy, f.serviceDown, f.replicaLag = false, false, 0
	f.partition = map[ident.VM]int{}
	for _, p := range f.processes {
		p.paused = false
		if !p.running {
			f.start(p)
		}
	}
	f.publish()
	if f.published%7 == 6 {
		f.publish()
	}
	return f.published
}

// Restarts, pauses, partitions, lost messages and lagging replicas must never make a process go back
// to an older version or put a damaged value in force. A process must not become ready with an older
// version than a peer that was reachable all the time, and all reach the newest version after the
// faults.
func TestConfigurationUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &configFleet{
			t:         t,
			now:       start,
			lossy:     rapid.Bool().Draw(t, "lossy"),
			layout:    rapid.SampledFrom([]membership.Layout{membership.SingleValue, membership.ManifestOfParts}).Draw(t, "layout"),
			partition: map[ident.VM]int{},
			parts:     map[string][]byte{},
		}
		for i := range rapid.IntRange(1, 6).Draw(t, "processes") {
			f.processes = append(f.processes, &configProcess{vm: ident.VM(fmt.Sprintf("vm-%d", i)), zone: ident.Zone(fmt.Sprintf("z%d", i%2))})
		}
		f.publish()
		for _, p := range f.processes {
			f.start(p)
		}
		f.dropUnreachable()
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			f.advance(time.Duration(rapid.SampledFrom([]int{0, 100, 100, 300, 1000, 3000}).Draw(t, "ms")) * time.Millisecond)
			f.injectFault()
		}
		want := f.endFaults()
		f.advance(40 * time.Second)
		for _, p := range f.processes {
			if p.inForce.Version != want || !p.ready {
				t.Fatalf("%s has version %d in force, ready %v, after the end of all faults; want %d", p.vm, p.inForce.Version, p.ready, want)
			}
		}
	})
}
