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
	vm      ident.VM
	zone    ident.Zone
	node    *membership.ConfigNode
	run     int
	alive   bool
	paused  bool
	ready   bool
	inForce membership.Stamp
	// known are the versions of the peers that could be reached all the time since the start.
	known map[ident.VM]template.Version
}

type configMail struct {
	due     time.Time
	deliver func()
}

// configWorld is a small fleet with a configuration service whose replicas lag.
type configWorld struct {
	t         *rapid.T
	now       time.Time
	lossy     bool
	layout    membership.Layout
	processes []*configProcess
	mail      []configMail
	side      map[ident.VM]int
	published template.Version
	lag       template.Version
	down      bool
	parts     map[string][]byte
	watches   []func()
}

func (w *configWorld) reachable(a, b *configProcess) bool {
	return w.side[a.vm] == w.side[b.vm]
}

func (w *configWorld) start(p *configProcess) {
	p.run++
	p.alive, p.paused, p.ready = true, false, false
	p.inForce = membership.Stamp{}
	p.known = map[ident.VM]template.Version{}
	var peers []membership.Peer
	for _, other := range w.processes {
		peers = append(peers, membership.Peer{VM: other.vm, Zone: other.zone})
		if other != p && other.alive && !other.paused && w.reachable(p, other) {
			p.known[other.vm] = other.inForce.Version
		}
	}
	p.node = membership.NewConfigNode(membership.ConfigSettings{
		Self: p.vm, Zone: p.zone, Key: configKey, Layout: w.layout, Accept: acceptConfig, Seed: uint64(p.run),
	})
	w.step(p, membership.PeersChanged{Peers: peers})
}

// forget takes away the processes that could not be reached all the time from what
// starting processes must have heard.
func (w *configWorld) forget() {
	for _, p := range w.processes {
		for _, other := range w.processes {
			if !other.alive || other.paused || p.paused || !w.reachable(p, other) {
				delete(p.known, other.vm)
			}
		}
	}
}

func (w *configWorld) post(delay time.Duration, deliver func()) {
	w.mail = append(w.mail, configMail{due: w.now.Add(delay), deliver: deliver})
}

func (w *configWorld) step(p *configProcess, event membership.ConfigEvent) {
	for _, action := range p.node.Step(w.now, event) {
		switch action := action.(type) {
		case membership.SendConfig:
			w.transmit(p, action)
		case membership.CallService:
			w.call(p, action.Call)
		case membership.PutInForce:
			w.putInForce(p, action)
		case membership.ReadinessChanged:
			w.readiness(p, action.Ready)
		}
	}
}

func (w *configWorld) putInForce(p *configProcess, action membership.PutInForce) {
	if !p.inForce.Less(action.Stamp) {
		w.t.Fatalf("%s goes from %v back to %v", p.vm, p.inForce, action.Stamp)
	}
	if !bytes.Equal(action.Value, configValue(action.Stamp.Version)) {
		w.t.Fatalf("%s has a value in force that is not version %d", p.vm, action.Stamp.Version)
	}
	p.inForce = action.Stamp
}

func (w *configWorld) readiness(p *configProcess, ready bool) {
	first := ready && !p.ready
	p.ready = ready
	if !first || w.lossy {
		return
	}
	for vm, version := range p.known {
		if p.inForce.Version < version {
			w.t.Fatalf("%s serves version %d though %s had %d all the time", p.vm, p.inForce.Version, vm, version)
		}
	}
}

func (w *configWorld) transmit(from *configProcess, action membership.SendConfig) {
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
	run := to.run
	for range copies {
		w.post(delay, func() {
			if to.alive && !to.paused && to.run == run && w.reachable(from, to) {
				w.step(to, membership.ConfigReceived{From: from.vm, Message: action.Message})
			}
		})
	}
}

// shown is the version that the asked replica of the service has.
func (w *configWorld) shown() template.Version {
	if w.published <= w.lag {
		return min(1, w.published)
	}
	return w.published - w.lag
}

func (w *configWorld) call(p *configProcess, call membership.ServiceCall) {
	run := p.run
	answer := func(event membership.ConfigEvent) {
		w.post(10*time.Millisecond, func() {
			if p.alive && !p.paused && p.run == run {
				w.step(p, event)
			}
		})
	}
	if w.down {
		answer(membership.ServiceFailed{Call: call.ID, Reason: "down"})
		return
	}
	if part, ok := w.parts[call.Key]; ok {
		answer(membership.ServiceAnswered{Call: call.ID, Value: part})
		return
	}
	send := func() {
		version := w.shown()
		answer(membership.ServiceAnswered{Call: call.ID, Revision: uint64(version), Value: w.serviceValue(version)})
	}
	if call.Watch && call.After == uint64(w.shown()) {
		w.watches = append(w.watches, send)
		return
	}
	send()
}

// serviceValue is what the service holds under the configuration's key.
func (w *configWorld) serviceValue(version template.Version) []byte {
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

func (w *configWorld) publish() {
	w.published++
	waiting := w.watches
	w.watches = nil
	for _, send := range waiting {
		send()
	}
}

// advance lets time pass in steps of a tick.
func (w *configWorld) advance(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		next := w.now.Add(tick)
		for {
			sort.SliceStable(w.mail, func(i, j int) bool { return w.mail[i].due.Before(w.mail[j].due) })
			if len(w.mail) == 0 || w.mail[0].due.After(next) {
				break
			}
			first := w.mail[0]
			w.mail = w.mail[1:]
			w.now = first.due
			first.deliver()
		}
		w.now = next
		for _, p := range w.processes {
			if p.alive && !p.paused {
				w.step(p, membership.ConfigTick{})
			}
		}
	}
}

func (w *configWorld) fault() {
	p := w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(w.t, "process")]
	switch rapid.IntRange(0, 9).Draw(w.t, "kind") {
	case 0, 1, 2:
		w.publish()
	case 3:
		p.alive = false
	case 4:
		p.alive = false
		w.forget()
		w.start(p)
	case 5:
		p.paused = !p.paused
	case 6:
		w.side[p.vm] = rapid.IntRange(0, 1).Draw(w.t, "side")
	case 7:
		w.down = !w.down
	case 8:
		w.lag = template.Version(rapid.IntRange(0, 4).Draw(w.t, "lag"))
	case 9:
		for _, other := range w.processes {
			if !other.alive {
				w.start(other)
			}
		}
	}
	w.forget()
}

// heal ends all faults and returns the version that all must come to.
func (w *configWorld) heal() template.Version {
	w.lossy, w.down, w.lag = false, false, 0
	w.side = map[ident.VM]int{}
	for _, p := range w.processes {
		p.paused = false
		if !p.alive {
			w.start(p)
		}
	}
	w.publish()
	if w.published%7 == 6 {
		w.publish()
	}
	return w.published
}

func TestConfigurationUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &configWorld{
			t:      t,
			now:    start,
			lossy:  rapid.Bool().Draw(t, "lossy"),
			layout: rapid.SampledFrom([]membership.Layout{membership.SingleValue, membership.ManifestOfParts}).Draw(t, "layout"),
			side:   map[ident.VM]int{},
			parts:  map[string][]byte{},
		}
		for i := range rapid.IntRange(1, 6).Draw(t, "processes") {
			w.processes = append(w.processes, &configProcess{vm: ident.VM(fmt.Sprintf("vm-%d", i)), zone: ident.Zone(fmt.Sprintf("z%d", i%2))})
		}
		w.publish()
		for _, p := range w.processes {
			w.start(p)
		}
		w.forget()
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			w.advance(time.Duration(rapid.SampledFrom([]int{0, 100, 100, 300, 1000, 3000}).Draw(t, "ms")) * time.Millisecond)
			w.fault()
		}
		want := w.heal()
		w.advance(40 * time.Second)
		for _, p := range w.processes {
			if p.inForce.Version != want || !p.ready {
				t.Fatalf("%s has version %d in force, ready %v, after all faults ended; want %d", p.vm, p.inForce.Version, p.ready, want)
			}
		}
	})
}
