package platform

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// benchChunks is the number of chunks of the benchmarked stream.
const benchChunks = 256

func benchStream() []byte {
	var text bytes.Buffer
	for i := range benchChunks {
		reason := "null"
		if i == benchChunks-1 {
			reason = `"stop"`
		}
		fmt.Fprintf(&text, "id: %d\ndata: {\"id\":\"cmpl-r\",\"object\":\"text_completion\",\"model\":\"m\",\"choices\":[{\"index\":0,\"text\":\"word \",\"finish_reason\":%s}]}\n\n", i, reason)
	}
	text.WriteString("data: [DONE]\n\n")
	return text.Bytes()
}

// BenchmarkStreamNext measures Stream.Next.
func BenchmarkStreamNext(b *testing.B) {
	text := benchStream()
	var stream *eventStream
	open := func() {
		response := &http.Response{Body: io.NopCloser(bytes.NewReader(text))}
		stream = newEventStream("bench", "r", 0, response, time.Hour, func() {})
	}
	open()
	b.ReportAllocs()
	for b.Loop() {
		_, err := stream.Next()
		if errors.Is(err, io.EOF) {
			open()
			continue
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}
