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
	mainKey = "configuration"
	// replicas is the number of copies that answer calls.
	replicas = 3
)

// service is a small stand-in of the configuration service.
type service struct {
	world     *world
	fragments [][]byte
	version   template.Version
	// history holds the value of the main key at each version.
	history map[template.Version][]byte
	parts   map[string][]byte
	// lag is by how many versions each replica is behind.
	lag     [replicas]template.Version
	down    bool
	blocked func(p *process) bool
	watches []*pendingCall
	// callsPerSecond counts calls.
	callsPerSecond map[int64]int
	calls          int
	bytes          int
	publishAt      map[template.Version]time.Time
	serverTime     time.Duration
}

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

// fragment is one customer's part of the configuration, as text of some entropy.
func (w *world) fragment(customer int, version template.Version, size int) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, `{"customer":"c%d","changed":%d,"rules":"`, customer, version)
	for text.Len() < size-3 {
		text.WriteString(strconv.FormatUint(w.random.Uint64(), 36))
	}
	text.WriteString("\"}\n")
	return text.Bytes()
}

var errMalformed = errors.New("head: expected a version")

// accept refuses values without a head that gives the version.
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

// manifest stores the pieces under their digests and names them.
func (s *service) manifest(pieces [][]byte) []byte {
	manifest := membership.PublishedManifest{Version: s.version}
	for _, piece := range pieces {
		key := fmt.Sprintf("p/%016x", uint64(membership.DigestOf(piece)))
		s.parts[key] = piece
		manifest.Parts = append(manifest.Parts, membership.NewPublishedPart(key, piece))
	}
	data, err := json.Marshal(manifest)
	if err != nil {
		panic("invariant: a manifest can't be encoded: " + err.Error())
	}
	return data
}

// shownVersion is the version that a replica shows.
func (s *service) shownVersion(replica int) template.Version {
	if s.version <= s.lag[replica] {
		return min(s.version, 1)
	}
	return s.version - s.lag[replica]
}

// call takes a call of a process; each counts, a waiting watch as one.
func (s *service) call(p *process, call membership.ServiceCall) {
	second := int64(s.world.now.Sub(s.world.startedAt) / time.Second)
	s.callsPerSecond[second]++
	s.calls++
	run := p.incarnation
	way := time.Millisecond
	if s.down || s.blocked != nil && s.blocked(p) {
		s.world.after(time.Second, func() { s.reply(p, run, membership.ServiceFailed{Call: call.ID, Reason: "timeout"}) })
		return
	}
	s.world.after(way+s.serverTime, func() {
		s.answer(&pendingCall{p: p, incarnation: run, call: call, replica: s.world.random.IntN(replicas)})
	})
}

func (s *service) answer(w *pendingCall) {
	if s.down {
		s.reply(w.p, w.incarnation, membership.ServiceFailed{Call: w.call.ID, Reason: "unavailable"})
		return
	}
	if part, ok := s.parts[w.call.Key]; ok {
		s.bytes += len(part)
		s.reply(w.p, w.incarnation, membership.ServiceAnswered{Call: w.call.ID, Revision: 1, Value: part})
		return
	}
	shown := s.shownVersion(w.replica)
	if shown == 0 || w.call.Key != mainKey {
		s.reply(w.p, w.incarnation, membership.ServiceFailed{Call: w.call.ID, Reason: "no such key"})
		return
	}
	if !w.call.Watch || uint64(shown) != w.call.After {
		s.send(w, shown)
		return
	}
	s.watches = append(s.watches, w)
	s.world.after(w.call.Wait, func() {
		if !w.done {
			w.done = true
			s.reply(w.p, w.incarnation, membership.ServiceAnswered{Call: w.call.ID, Unchanged: true})
		}
	})
}

func (s *service) send(w *pendingCall, shown template.Version) {
	w.done = true
	value := s.history[shown]
	s.bytes += len(value)
	s.reply(w.p, w.incarnation, membership.ServiceAnswered{Call: w.call.ID, Revision: uint64(shown), Value: value})
}

func (s *service) reply(p *process, run int, event membership.ConfigEvent) {
	s.world.after(time.Millisecond, func() {
		if p.running && p.incarnation == run && !p.paused {
			s.world.step(p, event)
		}
	})
}

// answerWatches answers the watches whose replica shows another version.
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

// setDown takes the service away or brings it back; waiting watches break.
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
