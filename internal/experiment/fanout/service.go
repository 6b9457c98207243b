package fanout

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

const (
	// mainKey is the key of the configuration value or of its manifest.
	mainKey = "configuration"
	// replicas is the number of replicas of the service; each call goes to a random one.
	replicas = 3
)

// service simulates the configuration service, a replicated key-value store with watches.
type service struct {
	world     *world
	fragments [][]byte
	version   template.Version
	// history holds the value of mainKey at each version, parts the values of all other keys.
	history map[template.Version][]byte
	parts   map[string][]byte
	// lag is the number of versions by which each replica lags behind. A replica shows at least version 1
	// once that is published.
	lag     [replicas]template.Version
	down    bool
	blocked func(p *process) bool
	watches []*pendingCall
	// callsPerSecond counts the calls in each second since the start of the simulation.
	callsPerSecond map[int64]int
	calls          int
	bytes          int
	publishAt      map[template.Version]time.Time
	serverTime     time.Duration
}

// pendingCall is a call of a process that a replica handles; done is true after the answer.
type pendingCall struct {
	p           *process
	incarnation int
	call        membership.ServiceCall
	replica     int
	done        bool
}

func newService(w *world, fragments, fragmentSize int) *service {
	s := &service{
		world:          w,
		history:        map[template.Version][]byte{},
		parts:          map[string][]byte{},
		callsPerSecond: map[int64]int{},
		publishAt:      map[template.Version]time.Time{},
		serverTime:     3 * time.Millisecond,
	}
	for i := range fragments {
		s.fragments = append(s.fragments, w.fragment(i, 0, fragmentSize))
	}
	return s
}

// fragment returns one customer's part of the configuration, as random text that compresses badly.
func (w *world) fragment(customer int, version template.Version, size int) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, `{"customer":"c%d","changed":%d,"rules":"`, customer, version)
	for text.Len() < size-3 {
		text.WriteString(strconv.FormatUint(w.random.Uint64(), 36))
	}
	text.WriteString("\"}\n")
	return text.Bytes()
}

var errMalformed = errors.New("configuration value: first line is not a version greater than 0")

// accept returns the version in the first line of a value, and an error if there is none.
func accept(value []byte) (template.Version, error) {
	head, _, _ := bytes.Cut(value, []byte("\n"))
	version, err := strconv.ParseUint(string(head), 10, 64)
	if err != nil || version == 0 {
		return 0, errMalformed
	}
	return template.Version(version), nil
}

// publish changes one customer's fragment and returns the new version.
func (s *service) publish() template.Version {
	s.version++
	changed := s.world.random.IntN(len(s.fragments))
	s.fragments[changed] = s.world.fragment(changed, s.version, len(s.fragments[changed]))
	head := []byte(fmt.Sprintf("%d\n", s.version))
	pieces := append([][]byte{head}, s.fragments...)
	if s.world.layout == membership.ManifestOfParts {
		s.history[s.version] = s.manifest(pieces)
	} else {
		s.history[s.version] = bytes.Join(pieces, nil)
	}
	s.publishAt[s.version] = s.world.now
	s.answerWatches()
	return s.version
}

// manifest stores the pieces under keys made of their digests and returns the encoded manifest.
func (s *service) manifest(pieces [][]byte) []byte {
	manifest := membership.PublishedManifest{Version: s.version}
	for _, piece := range pieces {
		key := fmt.Sprintf("p/%016x", uint64(membership.DigestOf(piece)))
		s.parts[key] = piece
		manifest.Parts = append(manifest.Parts, membership.NewPublishedPart(key, piece))
	}
	data, err := json.Marshal(manifest)
	if err != nil {
		panic("invariant: JSON encoding of a manifest failed: " + err.Error())
	}
	return data
}

// shownVersion returns the version that a replica returns to readers.
func (s *service) shownVersion(replica int) template.Version {
	if s.version <= s.lag[replica] {
		return min(s.version, 1)
	}
	return s.version - s.lag[replica]
}

// call handles a call of a process. Each call counts once, including a watch that waits for a change.
func (s *service) call(p *process, call membership.ServiceCall) {
	second := int64(s.world.now.Sub(s.world.startedAt) / time.Second)
	s.callsPerSecond[second]++
	s.calls++
	incarnation := p.incarnation
	networkDelay := time.Millisecond
	if s.down || s.blocked != nil && s.blocked(p) {
		s.world.after(time.Second, func() { s.reply(p, incarnation, membership.ServiceFailed{Call: call.ID, Reason: "timeout"}) })
		return
	}
	s.world.after(networkDelay+s.serverTime, func() {
		s.answer(&pendingCall{p: p, incarnation: incarnation, call: call, replica: s.world.random.IntN(replicas)})
	})
}

func (s *service) answer(pending *pendingCall) {
	if s.down {
		s.reply(pending.p, pending.incarnation, membership.ServiceFailed{Call: pending.call.ID, Reason: "unavailable"})
		return
	}
	if part, ok := s.parts[pending.call.Key]; ok {
		s.bytes += len(part)
		s.reply(pending.p, pending.incarnation, membership.ServiceAnswered{Call: pending.call.ID, Revision: 1, Value: part})
		return
	}
	shown := s.shownVersion(pending.replica)
	if shown == 0 || pending.call.Key != mainKey {
		s.reply(pending.p, pending.incarnation, membership.ServiceFailed{Call: pending.call.ID, Reason: "no such key"})
		return
	}
	if !pending.call.Watch || uint64(shown) != pending.call.After {
		s.send(pending, shown)
		return
	}
	s.watches = append(s.watches, pending)
	s.world.after(pending.call.Wait, func() {
		if !pending.done {
			pending.done = true
			s.reply(pending.p, pending.incarnation, membership.ServiceAnswered{Call: pending.call.ID, Unchanged: true})
		}
	})
}

func (s *service) send(w *pendingCall, shown template.Version) {
	w.done = true
	value := s.history[shown]
	s.bytes += len(value)
	s.reply(w.p, w.incarnation, membership.ServiceAnswered{Call: w.call.ID, Revision: uint64(shown), Value: value})
}

func (s *service) reply(p *process, incarnation int, event membership.ConfigEvent) {
	s.world.after(time.Millisecond, func() {
		if p.running && p.incarnation == incarnation && !p.paused {
			s.world.step(p, event)
		}
	})
}

// answerWatches answers the waiting watches whose replica returns another version than they know.
func (s *service) answerWatches() {
	waiting := s.watches[:0]
	for _, w := range s.watches {
		shown := s.shownVersion(w.replica)
		switch {
		case w.done:
		case uint64(shown) != w.call.After:
			s.send(w, shown)
		default:
			waiting = append(waiting, w)
		}
	}
	s.watches = waiting
}

// setDown stops or restarts the service. When it stops, the waiting watches fail.
func (s *service) setDown(down bool) {
	s.down = down
	if !down {
		return
	}
	for _, w := range s.watches {
		if !w.done {
			w.done = true
			s.reply(w.p, w.incarnation, membership.ServiceFailed{Call: w.call.ID, Reason: "connection lost"})
		}
	}
	s.watches = nil
}

func (s *service) maxCallsPerSecond() int {
	worst := 0
	for _, count := range s.callsPerSecond {
		worst = max(worst, count)
	}
	return worst
}

func (s *service) resetCalls() {
	s.callsPerSecond = map[int64]int{}
	s.calls, s.bytes = 0, 0
}
