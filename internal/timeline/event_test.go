package timeline_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/timeline"
)

var start = time.UnixMilli(1_800_000_000_000)

func newBuffer(vm ident.VM, capacity int) *timeline.Buffer {
	instance := ident.Instance{VM: vm, Incarnation: 7}
	return timeline.NewBuffer(instance, timeline.NewClock(instance), capacity)
}

// Keys and values with spaces, newlines, '=' or control characters must be quoted: otherwise a value from a request could
// add lines or fields to the text.
func TestEventAsText(t *testing.T) {
	c := qt.New(t)
	buffer := newBuffer("entry-1", 10)
	buffer.Add(start, timeline.Event{
		Kind: "call-dispatched", Request: "r1", Customer: "sen gor", About: "agent-2",
		Fields: []timeline.Field{
			timeline.String("cause", "line\nbreak"), timeline.Int("attempt", 2), timeline.Float("load", 0.5),
			timeline.Bool("hedged", true), timeline.Duration("wait", 1500*time.Millisecond),
		},
	}, timeline.String("forged\nline", ""), timeline.String("shell", "\x1b[0m"), timeline.String("pair", "a=b"))
	var text bytes.Buffer
	c.Assert(timeline.WriteText(&text, buffer.Events()), qt.IsNil)
	c.Assert(text.String(), qt.Equals, "time=2027-01-15T08:00:00.000Z+0 event=call-dispatched vm=entry-1 incarnation=7 "+
		`request=r1 customer="sen gor" about=agent-2 cause="line\nbreak" attempt=2 load=0.5 hedged=true wait=1.5s "forged\nline"="" shell="\x1b[0m" pair="a=b"`+"\n")
}

func TestEventsRoundTripThroughJSONAndCBOR(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		event := timeline.Event{
			Stamp:       timeline.Stamp{Wall: rapid.Int64Min(0).Draw(t, "wall"), Counter: rapid.Uint32().Draw(t, "counter"), Node: 3},
			VM:          ident.VM(rapid.String().Draw(t, "vm")),
			Incarnation: ident.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
			Sequence:    rapid.Uint64().Draw(t, "sequence"), Kind: "k", Request: "r",
			Fields: []timeline.Field{
				timeline.String("s", rapid.String().Draw(t, "s")), timeline.Int("i", rapid.Int64().Draw(t, "i")),
				timeline.Float("f", rapid.Float64().Draw(t, "f")), timeline.Bool("b", rapid.Bool().Draw(t, "b")),
				timeline.Duration("d", time.Duration(rapid.Int64().Draw(t, "d"))),
			},
		}
		var fromJSON, fromCBOR timeline.Event
		checkRoundTrip(t, event, &fromJSON, json.Marshal, json.Unmarshal)
		checkRoundTrip(t, event, &fromCBOR, cbor.Marshal, cbor.Unmarshal)
	})
}

func checkRoundTrip(t *rapid.T, event timeline.Event, decoded *timeline.Event, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	data, err := encode(event)
	if err != nil {
		t.Fatal(err)
	}
	if err := decode(data, decoded); err != nil {
		t.Fatal(err)
	}
	if fmt.Sprintf("%#v", event) != fmt.Sprintf("%#v", *decoded) {
		t.Fatalf("got %#v, expected %#v", *decoded, event)
	}
}

func TestFieldRejectsInvalidJSON(t *testing.T) {
	for _, data := range []string{`{"key":"k","type":"int","value":"x"}`, `{"key":"k","type":"date","value":""}`, `[]`} {
		t.Run(data, func(t *testing.T) {
			var field timeline.Field
			qt.Assert(t, json.Unmarshal([]byte(data), &field), qt.IsNotNil)
		})
	}
}

// Events that stand for missing events must be selected whenever one of the missing events could have been selected.
func TestFilter(t *testing.T) {
	entry, agent := newBuffer("entry-1", 10), newBuffer("agent-1", 2)
	entry.Add(start, timeline.Event{Kind: "a", Request: "r1", Customer: "c1", About: "agent-1"})
	entry.Add(start.Add(time.Second), timeline.Event{Kind: "b", Request: "r2", Customer: "c2", Group: "g"})
	for i := range 3 {
		agent.Add(start.Add(time.Duration(i)*time.Second), timeline.Event{Kind: "c", Request: "r3", Customer: "c1"})
	}
	events := timeline.Merge(entry.Events(), agent.Events(), entry.Events(),
		[]timeline.Event{timeline.Unreachable(timeline.Stamp{Wall: start.UnixMilli()}, "agent-9", "timeout")})
	cases := []struct {
		name   string
		filter timeline.Filter
		kinds  string
	}{
		{"all", timeline.Filter{}, "[a events-dropped process-unreachable b c c]"},
		{"request", timeline.Filter{Request: "r2"}, "[events-dropped process-unreachable b]"},
		{"customer", timeline.Filter{Customer: "c1"}, "[a events-dropped process-unreachable c c]"},
		{"group", timeline.Filter{Group: "g"}, "[events-dropped process-unreachable b]"},
		{"vm", timeline.Filter{VM: "agent-1"}, "[a events-dropped process-unreachable c c]"},
		{"from", timeline.Filter{From: start.Add(2 * time.Second)}, "[process-unreachable c]"},
		{"to", timeline.Filter{To: start.Add(time.Second)}, "[a events-dropped process-unreachable]"},
		{"both", timeline.Filter{Customer: "c1", Request: "r2"}, "[events-dropped process-unreachable]"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var kinds []timeline.Kind
			for _, event := range tc.filter.Apply(events) {
				kinds = append(kinds, event.Kind)
			}
			qt.Assert(t, sorted(kinds), qt.Equals, sortedText(tc.kinds))
		})
	}
}

// Concurrent calls of Add must not lose events or assign a stamp or sequence number out of order. Run with -race.
func TestBufferAllowsConcurrentAdds(t *testing.T) {
	c := qt.New(t)
	const goroutines, eventsPerGoroutine = 8, 500
	buffer := newBuffer("entry-1", goroutines*eventsPerGoroutine/2)
	var group sync.WaitGroup
	for range goroutines {
		group.Go(func() {
			for range eventsPerGoroutine {
				buffer.Add(start, timeline.Event{Kind: "k"}, timeline.Int("n", 1))
				buffer.Since(goroutines * eventsPerGoroutine)
			}
		})
	}
	group.Wait()
	events := buffer.Events()
	c.Assert(buffer.Dropped(), qt.Equals, uint64(goroutines*eventsPerGoroutine/2))
	c.Assert(events, qt.HasLen, goroutines*eventsPerGoroutine/2+1)
	for i := 1; i < len(events); i++ {
		c.Assert(events[i-1].Stamp.Compare(events[i].Stamp) < 0, qt.IsTrue)
		c.Assert(events[i-1].Sequence+1, qt.Equals, events[i].Sequence)
	}
}

// Add reuses the memory of the fields in the ring. Events that were returned before must not change.
func TestReturnedEventsAreCopies(t *testing.T) {
	c := qt.New(t)
	buffer := newBuffer("entry-1", 1)
	buffer.Add(start, timeline.Event{Kind: "k", Fields: []timeline.Field{timeline.Int("n", 1)}})
	events := buffer.Events()
	buffer.Add(start, timeline.Event{Kind: "k"}, timeline.Int("n", 2))
	c.Assert(events[0].Fields[0].Value(), qt.Equals, "1")
}

func BenchmarkAdd(b *testing.B) {
	buffer := newBuffer("entry-1", timeline.DefaultCapacity)
	b.ReportAllocs()
	for b.Loop() {
		addTypical(buffer)
	}
}

func BenchmarkAddParallel(b *testing.B) {
	buffer := newBuffer("entry-1", timeline.DefaultCapacity)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			addTypical(buffer)
		}
	})
}

func addTypical(buffer *timeline.Buffer) {
	buffer.Add(start, timeline.Event{
		Kind: "call-dispatched", Request: "r1", Customer: "c1", About: "agent-1",
	}, timeline.Int("attempt", 1), timeline.Duration("wait", time.Millisecond), timeline.String("class", "draft"))
}

// sorted returns the kinds in alphabetical order, in the form of fmt.Sprint.
func sorted(kinds []timeline.Kind) string {
	kinds = slices.Clone(kinds)
	slices.Sort(kinds)
	return fmt.Sprint(kinds)
}

// sortedText sorts the kinds of a list in the form of fmt.Sprint.
func sortedText(list string) string {
	words := strings.Fields(strings.Trim(list, "[]"))
	slices.Sort(words)
	return fmt.Sprint(words)
}
