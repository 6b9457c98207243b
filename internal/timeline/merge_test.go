package timeline_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/timeline"
)

// maxTestSkew is the maximum deviation of a simulated clock from the true time.
const maxTestSkew = 10 * time.Minute

// simulation is a set of processes with skewed clocks that exchange messages.
type simulation struct {
	trueTime  time.Time
	processes []*process
	inFlight  []message
	events    int
	// causes maps each event to the events that directly precede it: the process's last one and the sending of a message.
	causes map[string][]string
}

type process struct {
	skew      time.Duration
	clock     *timeline.Clock
	buffer    *timeline.Buffer
	lastEvent string
	added     int
}

type message struct {
	to    int
	stamp timeline.Stamp
	cause string
}

func newSimulation(t *rapid.T, capacity int) *simulation {
	s := &simulation{trueTime: time.UnixMilli(1_800_000_000_000), causes: make(map[string][]string)}
	count := rapid.IntRange(2, 5).Draw(t, "processes")
	for i := range count {
		instance := ident.Instance{VM: ident.VM(fmt.Sprintf("vm-%d", i)), Incarnation: ident.Incarnation(i + 1)}
		clock := timeline.NewClock(instance)
		s.processes = append(s.processes, &process{
			skew: drawSkew(t), clock: clock, buffer: timeline.NewBuffer(instance, clock, capacity),
		})
	}
	return s
}

func drawSkew(t *rapid.T) time.Duration {
	return time.Duration(rapid.Int64Range(-int64(maxTestSkew), int64(maxTestSkew)).Draw(t, "skew"))
}

// addEvent adds an event at process p. other is the event that sent the message, or "" for no message.
func (s *simulation) addEvent(p *process, other string) {
	id := strconv.Itoa(s.events)
	s.events++
	p.added++
	for _, cause := range []string{p.lastEvent, other} {
		if cause != "" {
			s.causes[id] = append(s.causes[id], cause)
		}
	}
	p.buffer.Add(s.trueTime.Add(p.skew), timeline.Event{Kind: "step", Request: ident.Request(id)})
	p.lastEvent = id
}

func (s *simulation) send(t *rapid.T, p *process) {
	s.addEvent(p, "")
	to := rapid.IntRange(0, len(s.processes)-1).Draw(t, "to")
	s.inFlight = append(s.inFlight, message{to: to, stamp: p.clock.Next(s.trueTime.Add(p.skew)), cause: p.lastEvent})
}

// deliver delivers a message to its receiver. The message stays in flight and can be delivered again.
func (s *simulation) deliver(t *rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}
	m := s.inFlight[rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message")]
	p := s.processes[m.to]
	if !p.clock.Receive(s.trueTime.Add(p.skew), m.stamp) {
		t.Fatalf("clock refused stamp %v", m.stamp)
	}
	s.addEvent(p, m.cause)
}

func (s *simulation) run(t *rapid.T) {
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		s.trueTime = s.trueTime.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * time.Millisecond)
		p := s.processes[rapid.IntRange(0, len(s.processes)-1).Draw(t, "process")]
		switch rapid.IntRange(0, 3).Draw(t, "action") {
		case 0:
			s.addEvent(p, "")
		case 1:
			s.send(t, p)
		case 2:
			s.deliver(t)
		case 3:
			p.skew = drawSkew(t)
		}
	}
}

func (s *simulation) merged() []timeline.Event {
	var lists [][]timeline.Event
	for _, p := range s.processes {
		lists = append(lists, p.buffer.Events())
	}
	return timeline.Merge(lists...)
}

// Merge must put the sending of a message before its receipt although the processes' clocks differ and jump.
func TestMergeKeepsCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 1000)
		s.run(t)
		merged := s.merged()
		if len(merged) != s.events {
			t.Fatalf("%d events merged, %d added", len(merged), s.events)
		}
		seen := make(map[string]bool)
		for i := range merged {
			id := string(merged[i].Request)
			for _, cause := range s.causes[id] {
				if !seen[cause] {
					t.Fatalf("event %s was merged before its cause %s:\n%s", id, cause, &merged[i])
				}
			}
			seen[id] = true
		}
	})
}

// Dropped events must be counted in an events-dropped event, so that a reader can detect that the list is incomplete.
func TestDroppedEventsAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(1, 8).Draw(t, "capacity"))
		s.run(t)
		for _, p := range s.processes {
			after := uint64(rapid.IntRange(0, p.added).Draw(t, "after"))
			checkAllCounted(t, p.buffer.Since(after), uint64(p.added)-after)
			checkAllCounted(t, p.buffer.Events(), uint64(p.added))
		}
	})
}

// checkAllCounted checks that the events and the count of the dropped ones add up to the number of added events.
func checkAllCounted(t *rapid.T, events []timeline.Event, added uint64) {
	var counted uint64
	for i, event := range events {
		if event.Kind != timeline.KindDropped {
			counted++
			continue
		}
		count, err := strconv.ParseUint(event.Fields[0].Value(), 10, 64)
		if err != nil || count == 0 || i != 0 {
			t.Fatalf("invalid events-dropped event at index %d: %s", i, &event)
		}
		counted += count
	}
	if counted != added {
		t.Fatalf("the events account for %d events, %d were added", counted, added)
	}
}

// A process whose clock is far ahead must not advance the clocks of the processes that receive its messages.
func TestClockRejectsStampsFarAhead(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	clock := timeline.NewClock(ident.Instance{VM: "vm-1", Incarnation: 1})
	first := clock.Next(now)
	c.Assert(clock.Receive(now, timeline.Stamp{Wall: now.Add(timeline.MaxSkew + time.Second).UnixMilli()}), qt.IsFalse)
	c.Assert(clock.Receive(now, timeline.Stamp{Wall: -1}), qt.IsFalse)
	c.Assert(clock.Receive(now, timeline.Stamp{Counter: 1 << 31}), qt.IsFalse)
	c.Assert(clock.Refused(), qt.Equals, uint64(3))
	c.Assert(clock.Next(now), qt.Equals, timeline.Stamp{Wall: first.Wall, Counter: first.Counter + 1, Node: first.Node})
}

// The counter has 20 bits. When it overflows, the next stamp must still be greater than the last one.
func TestCounterOverflowAdvancesWallTime(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	clock := timeline.NewClock(ident.Instance{VM: "vm-1", Incarnation: 1})
	full := timeline.Stamp{Wall: now.UnixMilli(), Counter: 1<<20 - 1}
	c.Assert(clock.Receive(now, full), qt.IsTrue)
	next := clock.Next(now)
	c.Assert(next.Compare(full) > 0, qt.IsTrue)
	c.Assert(next.Wall, qt.Equals, full.Wall+1)
}
