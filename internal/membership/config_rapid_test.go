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

// configValue is the published value of a version; every seventh is malformed.
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
	// reachableVersions are the versions in force, when the process started, at the peers that have
	// been reachable ever since.
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

func (w *configFleet) reachable(a, b *configProcess) bool {
	return w.partition[a.vm] == w.partition[b.vm]
}

func (w *configFleet) start(p *configProcess) {
	p.incarnation++
	p.running, p.paused, p.ready = true, false, false
	p.inForce = membership.Stamp{}
	p.reachableVersions = map[ident.VM]template.Version{}
	var peers []membership.Peer
	for _, other := range w.processes {
		peers = append(peers, membership.Peer{VM: other.vm, Zone: other.zone})
		if other != p && other.running && !other.paused && w.reachable(p, other) {
			p.reachableVersions[other.vm] = other.inForce.Version
		}
	}
	p.node = membership.NewConfigNode(membership.ConfigSettings{
		Self: p.vm, Zone: p.zone, Key: configKey, Layout: w.layout, Accept: acceptConfig, Seed: uint64(p.incarnation),
	})
	w.step(p, membership.PeersChanged{Peers: peers})
}

// dropUnreachable removes peers that are not reachable from every reachableVersions.
func (w *configFleet) dropUnreachable() {
	for _, p := range w.processes {
		for _, other := range w.processes {
			if !other.running || other.paused || p.paused || !w.reachable(p, other) {
				delete(p.reachableVersions, other.vm)
			}
		}
	}
}

func (w *configFleet) schedule(delay time.Duration, deliver func()) {
	w.deliveries = append(w.deliveries, configDelivery{due: w.now.Add(delay), deliver: deliver})
}

func (w *configFleet) step(p *configProcess, event membership.ConfigEvent) {
	for _, action := range p.node.Step(w.now, event) {
		switch action := action.(type) {
		case membership.SendConfig:
			w.transmit(p, action)
		case membership.CallService:
			w.call(p, action.Call)
		case membership.PutInForce:
			w.putInForce(p, action)
		case membership.ReadinessChanged:
			w.checkReadiness(p, action.Ready)
		}
	}
}

func (w *configFleet) putInForce(p *configProcess, action membership.PutInForce) {
	if !p.inForce.Less(action.Stamp) {
		w.t.Fatalf("%s went back from %v to %v", p.vm, p.inForce, action.Stamp)
	}
	if !bytes.Equal(action.Value, configValue(action.Stamp.Version)) {
		w.t.Fatalf("%s put a value in force that differs from version %d", p.vm, action.Stamp.Version)
	}
	p.inForce = action.Stamp
}

func (w *configFleet) checkReadiness(p *configProcess, ready bool) {
	first := ready && !p.ready
	p.ready = ready
	if !first || w.lossy {
		return
	}
	for vm, version := range p.reachableVersions {
		if p.inForce.Version < version {
			w.t.Fatalf("%s became ready with version %d although %s, reachable since its start, had %d", p.vm, p.inForce.Version, vm, version)
		}
	}
}

func (w *configFleet) transmit(from *configProcess, action membership.SendConfig) {
	var to *configProcess
	for _, p := range w.processes {
		if p.vm == action.To {
			to = p
		}
	}
	copies := 1
	delay := time.Duration(rapid.SampledFrom([]int{10, 30, 120}).Draw(w.t, "delay")) * time.Millisecond
	if w.lossy {
		copies = rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(w.t, "copies")
		delay = time.Duration(rapid.SampledFrom([]int{1, 1, 1, 10, 900, 4000}).Draw(w.t, "delay")) * time.Millisecond
	}
	run := to.incarnation
	for range copies {
		w.schedule(delay, func() {
			if to.running && !to.paused && to.incarnation == run && w.reachable(from, to) {
				w.step(to, membership.ConfigReceived{From: from.vm, Message: action.Message})
			}
		})
	}
}

// replicaVersion is the version held by the replica of the service that answers calls.
func (w *configFleet) replicaVersion() template.Version {
	if w.published <= w.replicaLag {
		return min(1, w.published)
	}
	return w.published - w.replicaLag
}

func (w *configFleet) call(p *configProcess, call membership.ServiceCall) {
	run := p.incarnation
	answer := func(event membership.ConfigEvent) {
		w.schedule(10*time.Millisecond, func() {
			if p.running && !p.paused && p.incarnation == run {
				w.step(p, event)
			}
		})
	}
	if w.serviceDown {
		answer(membership.ServiceFailed{Call: call.ID, Reason: "down"})
		return
	}
	if part, ok := w.parts[call.Key]; ok {
		answer(membership.ServiceAnswered{Call: call.ID, Value: part})
		return
	}
	send := func() {
		version := w.replicaVersion()
		answer(membership.ServiceAnswered{Call: call.ID, Revision: uint64(version), Value: w.serviceValue(version)})
	}
	if call.Watch && call.After == uint64(w.replicaVersion()) {
		w.watches = append(w.watches, send)
		return
	}
	send()
}

// serviceValue is what the service holds under the configuration's key.
func (w *configFleet) serviceValue(version template.Version) []byte {
	value := configValue(version)
	if w.layout == membership.SingleValue || version%7 == 6 {
		return value
	}
	var manifest bytes.Buffer
	fmt.Fprintf(&manifest, `{"version":%d,"parts":[`, version)
	for i, line := range bytes.SplitAfter(value, []byte("\n")) {
		key := fmt.Sprintf("part-%d", i)
		w.parts[key] = line
		if i > 0 {
			manifest.WriteByte(',')
		}
		part := membership.NewPublishedPart(key, line)
		fmt.Fprintf(&manifest, `{"key":%q,"digest":%q}`, part.Key, part.Digest)
	}
	manifest.WriteString("]}")
	return manifest.Bytes()
}

func (w *configFleet) publish() {
	w.published++
	waiting := w.watches
	w.watches = nil
	for _, send := range waiting {
		send()
	}
}

// advance runs the simulation for a duration in ticks.
func (w *configFleet) advance(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		next := w.now.Add(tick)
		for {
			sort.SliceStable(w.deliveries, func(i, j int) bool { return w.deliveries[i].due.Before(w.deliveries[j].due) })
			if len(w.deliveries) == 0 || w.deliveries[0].due.After(next) {
				break
			}
			first := w.deliveries[0]
			w.deliveries = w.deliveries[1:]
			w.now = first.due
			first.deliver()
		}
		w.now = next
		for _, p := range w.processes {
			if p.running && !p.paused {
				w.step(p, membership.ConfigTick{})
			}
		}
	}
}

func (w *configFleet) injectFault() {
	p := w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(w.t, "process")]
	switch rapid.IntRange(0, 9).Draw(w.t, "kind") {
	case 0, 1, 2:
		w.publish()
	case 3:
		p.running = false
	case 4:
		p.running = false
		w.dropUnreachable()
		w.start(p)
	case 5:
		p.paused = !p.paused
	case 6:
		w.partition[p.vm] = rapid.IntRange(0, 1).Draw(w.t, "side")
	case 7:
		w.serviceDown = !w.serviceDown
	case 8:
		w.replicaLag = template.Version(rapid.IntRange(0, 4).Draw(w.t, "lag"))
	case 9:
		for _, other := range w.processes {
			if !other.running {
				w.start(other)
			}
		}
	}
	w.dropUnreachable()
}

// endFaults ends all faults, publishes a valid version and returns it. All processes must put it in
// force.
func (w *configFleet) endFaults() template.Version {
	w.lossy, w.serviceDown, w.replicaLag = false, false, 0
	w.partition = map[ident.VM]int{}
	for _, p := range w.processes {
		p.paused = false
		if !p.running {
			w.start(p)
		}
	}
	w.publish()
	if w.published%7 == 6 {
		w.publish()
	}
	return w.published
}

// Restarts, pauses, partitions, lost messages and lagging replicas must never make a process go back
// to an older version or put a damaged value in force. A process must not become ready with an older
// version than a peer that was reachable all the time, and all reach the newest version after the
// faults.
func TestConfigurationUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &configFleet{
			t:         t,
			now:       start,
			lossy:     rapid.Bool().Draw(t, "lossy"),
			layout:    rapid.SampledFrom([]membership.Layout{membership.SingleValue, membership.ManifestOfParts}).Draw(t, "layout"),
			partition: map[ident.VM]int{},
			parts:     map[string][]byte{},
		}
		for i := range rapid.IntRange(1, 6).Draw(t, "processes") {
			w.processes = append(w.processes, &configProcess{vm: ident.VM(fmt.Sprintf("vm-%d", i)), zone: ident.Zone(fmt.Sprintf("z%d", i%2))})
		}
		w.publish()
		for _, p := range w.processes {
			w.start(p)
		}
		w.dropUnreachable()
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			w.advance(time.Duration(rapid.SampledFrom([]int{0, 100, 100, 300, 1000, 3000}).Draw(t, "ms")) * time.Millisecond)
			w.injectFault()
		}
		want := w.endFaults()
		w.advance(40 * time.Second)
		for _, p := range w.processes {
			if p.inForce.Version != want || !p.ready {
				t.Fatalf("%s has version %d in force, ready %v, after the end of all faults; want %d", p.vm, p.inForce.Version, p.ready, want)
			}
		}
	})
}
