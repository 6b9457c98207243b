package standin

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/platform"
)

const (
	// hugeAnswerBytes is the default body size of FaultHuge.
	hugeAnswerBytes = 32 << 20
	// defaultRefusalWait is the default Retry-After of FaultRefusal.
	defaultRefusalWait = time.Second
)

// faultyCall is one call into which a fault is injected.
type faultyCall struct {
	faults  *Faults
	fault   Fault
	handler http.Handler
	writer  http.ResponseWriter
	request bufferedRequest
}

// inject handles the call according to the fault.
func (c *faultyCall) inject() {
	switch c.fault.Kind {
	case FaultSlow:
		time.Sleep(c.fault.Delay)
		c.handle().write(c.writer)
	case FaultLostRequest:
		abort()
	case FaultLostAnswer:
		c.handle()
		abort()
	case FaultDoubled:
		c.handle()
		c.handle().write(c.writer)
	case FaultReordered:
		c.handleReordered()
	case FaultStale:
		c.writeStale()
	case FaultGoingBack:
		c.writeGoingBack()
	case FaultHalf, FaultHalfClean, FaultHalfUnmarked:
		c.writeHalf(c.handle())
	case FaultGarbage:
		c.writeGarbage(c.handle())
	case FaultHuge:
		c.writeHuge(c.handle())
	case FaultRefusal:
		c.writeRefusal()
	case FaultError:
		c.handle()
		writeError(c.writer, http.StatusInternalServerError, "internal error")
	case FaultRedirect:
		http.Redirect(c.writer, c.request.original, c.request.original.URL.RequestURI(), http.StatusTemporaryRedirect)
	case FaultSilent:
		c.waitForDisconnect()
	case FaultSilentAnswer:
		c.handle()
		c.waitForDisconnect()
	case FaultLostEvent, FaultDoubledEvent, FaultReorderedEvents:
		c.writeEditedEvents(c.handle())
	default:
		panic(fmt.Sprintf("invariant: unknown fault kind %q", c.fault.Kind))
	}
}

// handle handles the request and returns the response.
func (c *faultyCall) handle() capture {
	defer c.faults.notifyAnswered()
	return captureResponse(c.handler, c.request.clone())
}

// handleReordered handles the request after another call was handled or the client has
// disconnected.
func (c *faultyCall) handleReordered() {
	select {
	case <-c.faults.nextAnswered():
	case <-c.request.original.Context().Done():
	}
	c.handle().write(c.writer)
}

// writeStale sends the recorded first response for the method and path. If there is none, it
// handles the request and records the response.
func (c *faultyCall) writeStale() {
	key := answerKey(c.request.original)
	if answer, ok := c.faults.recordedAnswer(key); ok {
		answer.write(c.writer)
		return
	}
	answer := c.handle()
	c.faults.recordAnswer(key, answer)
	answer.write(c.writer)
}

func (c *faultyCall) writeGoingBack() {
	if c.faults.Injected(FaultGoingBack)%2 == 0 {
		c.writeStale()
		return
	}
	answer := c.handle()
	c.faults.recordAnswer(answerKey(c.request.original), answer)
	answer.write(c.writer)
}

// writeHalf sends the first half of a response. Of a stream it sends the events before
// Fault.Event and, for FaultHalf, half of that event.
func (c *faultyCall) writeHalf(answer capture) {
	cut := len(answer.body) / 2
	if answer.isStream() {
		events := answer.events()
		index := min(c.fault.Event, len(events)-1)
		cut = len(strings.Join(events[:index], ""))
		if c.fault.Kind == FaultHalf {
			cut += len(events[index]) / 2
		}
	}
	part := capture{status: answer.status, header: answer.header, body: answer.body[:cut]}
	switch c.fault.Kind {
	case FaultHalfClean:
		part.write(c.writer)
	case FaultHalfUnmarked:
		c.writeUnmarked(part)
	default:
		c.writeBroken(part, answer)
	}
}

// writeBroken sends a part of a response and closes the connection. The Content-Length is that
// of the whole response; a stream has none.
func (c *faultyCall) writeBroken(part, whole capture) {
	length := len(whole.body)
	if whole.isStream() {
		length = -1
	}
	part.writeHeader(c.writer, length)
	c.writer.Write(part.body)
	_ = http.NewResponseController(c.writer).Flush()
	abort()
}

// writeUnmarked sends a part without length, chunked encoding and digest, so that only the
// closing of the connection marks its end.
func (c *faultyCall) writeUnmarked(part capture) {
	conn, _, err := http.NewResponseController(c.writer).Hijack()
	if err != nil {
		abort()
	}
	defer func() { _ = conn.Close() }()
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nConnection: close\r\n", part.status, http.StatusText(part.status))
	part.header.Del("Content-Length")
	part.header.Del(platform.HeaderDigest)
	_ = part.header.Write(&text)
	text.WriteString("\r\n")
	text.Write(part.body)
	_, _ = conn.Write(text.Bytes())
}

// writeGarbage sends a malformed body with the headers of the response, except that a revision
// header gets an invalid value. A digest header stays and does not match the body.
func (c *faultyCall) writeGarbage(answer capture) {
	body := []byte("\x00\xff{]garbage")
	if answer.isStream() {
		body = []byte("id: 0\ndata: \xff{]garbage\n\n")
	}
	header := answer.header.Clone()
	if header.Get(platform.HeaderRevision) != "" {
		header.Set(platform.HeaderRevision, "-x")
	}
	capture{status: http.StatusOK, header: header, body: body}.write(c.writer)
}

func (c *faultyCall) writeHuge(answer capture) {
	answer.writeHeader(c.writer, -1)
	block := bytes.Repeat([]byte("x"), 64<<10)
	size := cmp.Or(c.fault.Bytes, hugeAnswerBytes)
	for sent := 0; sent < size; sent += len(block) {
		if _, err := c.writer.Write(block); err != nil {
			abort()
		}
	}
}

func (c *faultyCall) writeRefusal() {
	wait := cmp.Or(c.fault.Delay, defaultRefusalWait)
	writeRetryLater(c.writer, http.StatusServiceUnavailable, wait, "refused")
}

// waitForDisconnect waits until the client disconnects.
func (c *faultyCall) waitForDisconnect() {
	<-c.request.original.Context().Done()
	abort()
}

// writeEditedEvents sends a stream with one event omitted, duplicated or swapped. It sends other
// responses unchanged.
func (c *faultyCall) writeEditedEvents(answer capture) {
	if !answer.isStream() {
		answer.write(c.writer)
		return
	}
	events := answer.events()
	index := min(c.fault.Event, len(events)-1)
	switch c.fault.Kind {
	case FaultLostEvent:
		events = slices.Delete(events, index, index+1)
	case FaultDoubledEvent:
		events = slices.Insert(events, index, events[index])
	case FaultReorderedEvents:
		next := min(index+1, len(events)-1)
		events[index], events[next] = events[next], events[index]
	}
	answer.writeHeader(c.writer, -1)
	fmt.Fprint(c.writer, strings.Join(events, ""))
}
