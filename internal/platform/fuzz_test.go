package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// FuzzEventReader checks that events are the same after being written and read again.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		events := readEvents(t, input)
		again := readEvents(t, writeEvents(events))
		if len(again) != len(events) {
			t.Fatalf("%d events were read back as %d", len(events), len(again))
		}
		for i, event := range events {
			if event.ID != again[i].ID || event.HasID != again[i].HasID || !bytes.Equal(event.Data, again[i].Data) {
				t.Fatalf("event %+v was read back as %+v", event, again[i])
			}
		}
	})
}

// readEvents reads events up to the first error.
func readEvents(t *testing.T, input []byte) []serverEvent {
	reader := newEventReader(bytes.NewReader(input))
	var events []serverEvent
	for {
		event, err := reader.next()
		if err != nil {
			return events
		}
		if event.Data == nil || len(event.Data) > maxEventBytes {
			t.Fatalf("event %+v", event)
		}
		events = append(events, event)
	}
}

func writeEvents(events []serverEvent) []byte {
	var text bytes.Buffer
	for _, event := range events {
		if event.HasID {
			text.WriteString("id: ")
			text.Write(mustJSON(event.ID))
			text.WriteString("\n")
		}
		for line := range bytes.SplitSeq(event.Data, []byte{'\n'}) {
			text.WriteString("data: ")
			text.Write(line)
			text.WriteString("\n")
		}
		text.WriteString("\n")
	}
	return text.Bytes()
}

func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// FuzzStream checks that a stream ends with io.EOF only after a chunk with a finish reason and
// the end mark.
func FuzzStream(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {\"id\":\"cmpl-r\",\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		response := &http.Response{Body: io.NopCloser(bytes.NewReader(input))}
		stream := newEventStream("fuzz", "r", 0, response, time.Hour, func() {})
		reason, count := "", uint64(0)
		for {
			chunk, err := stream.Next()
			if err != nil {
				checkStreamEnd(t, err, reason, input)
				return
			}
			if chunk.Offset != count || stream.Offset() != count+1 || !strings.Contains(string(chunk.Raw), "r") {
				t.Fatalf("chunk %+v at %d", chunk, count)
			}
			if reason != "" {
				t.Fatalf("chunk %+v after the finish reason", chunk)
			}
			reason = chunk.FinishReason
			count++
		}
	})
}

func checkStreamEnd(t *testing.T, err error, reason string, input []byte) {
	whole := errors.Is(err, io.EOF)
	if whole && (reason == "" || !bytes.Contains(input, []byte(endOfStreamData))) {
		t.Fatal("stream ended with io.EOF without a finish reason or end mark")
	}
	if !whole && !MayHaveRun(err) {
		t.Fatalf("error %v means that the request was not run", err)
	}
}

// FuzzCompletion checks that no response to another request is accepted.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(`{"id":"cmpl-r","choices":[{"text":"a","finish_reason":"stop"}],"usage":{"prompt_tokens":1}}`))
	f.Fuzz(func(t *testing.T, input []byte) {
		got, err := decodeCompletion(input, "r")
		if err != nil {
			return
		}
		var raw struct{ ID string }
		if json.Unmarshal(input, &raw) != nil || raw.ID != "r" && raw.ID != "cmpl-r" {
			t.Fatalf("accepted the response to request %q", raw.ID)
		}
		if got.FinishReason == "" || got.ID != "r" {
			t.Fatalf("accepted %+v", got)
		}
	})
}

// FuzzReports checks that normalized cache events are sorted and free of duplicates, and that
// missing events are counted correctly.
func FuzzReports(f *testing.F) {
	f.Add([]byte(`{"boot":1,"events":[{"sequence":2,"kind":"stored"},{"sequence":2,"kind":"stored"}]}`), uint64(1))
	f.Fuzz(func(t *testing.T, input []byte, after uint64) {
		var page CacheEvents
		if json.Unmarshal(input, &page) != nil {
			return
		}
		page.normalize(after)
		last := after
		for _, event := range page.Events {
			if event.Sequence <= last {
				t.Fatalf("event %d is not newer than event %d", event.Sequence, last)
			}
			last = event.Sequence
		}
		if page.Last != last || page.Missing+uint64(len(page.Events)) != last-after {
			t.Fatalf("page ends at %d with %d missing", page.Last, page.Missing)
		}
	})
}
