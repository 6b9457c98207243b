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
	// hugeAnswerBytes is the usual size of FaultHuge's answers.
	hugeAnswerBytes = 32 << 20
	// defaultRefusalWait is the Retry-After of FaultRefusal.
	defaultRefusalWait = time.Second
)

// faultyCall is one call that a fault hits.
type faultyCall struct {
	faults  *Faults
	fault   Fault
	handler http.Handler
	writer  http.ResponseWriter
	request bufferedRequest
}

// inject carries out the fault.
func (c *faultyCall) inject() {
	switch c.fault.Kind {
	case FaultSlow:
		time.Sleep(c.fault.Delay)
		c.run().write(c.writer)
	case FaultLostRequest:
		abort()
	case FaultLostAnswer:
		c.run()
		abort()
	case FaultDoubled:
		c.run()
		c.run().write(c.writer)
	case FaultReordered:
		c.overtaken()
	case FaultStale:
		c.stale()
	case FaultGoingBack:
		c.goingBack()
	case FaultHalf, FaultHalfClean, FaultHalfUnmarked:
		c.half(c.run())
	case FaultGarbage:
		c.garbage(c.run())
	case FaultHuge:
		c.huge(c.run())
	case FaultRefusal:
		c.refusal()
	case FaultError:
		c.run()
		refuse(c.writer, http.StatusInternalServerError, "internal error")
	case FaultRedirect:
		http.Redirect(c.writer, c.request.original, c.request.original.URL.RequestURI(), http.StatusTemporaryRedirect)
	case FaultSilent:
		c.silent()
	case FaultSilentAnswer:
		c.run()
		c.silent()
	case FaultLostEvent, FaultDoubledEvent, FaultReorderedEvents:
		c.editEvents(c.run())
	default:
		panic(fmt.Sprintf("invariant: unknown fault %q", c.fault.Kind))
	}
}

// run handles the request and returns the answer.
func (c *faultyCall) run() capture {
	defer c.faults.announce()
	return captureAnswer(c.handler, c.request.fresh())
}

// overtaken handles the request after another call was answered, or after the client has left.
func (c *faultyCall) overtaken() {
	select {
	case <-c.faults.nextAnswer():
	case <-c.request.original.Context().Done():
	}
	c.run().write(c.writer)
}

// stale answers as the first call was answered; the first call itself is handled.
func (c *faultyCall) stale() {
	key := answerKey(c.request.original)
	if answer, ok := c.faults.remembered(key); ok {
		answer.write(c.writer)
		return
	}
	answer := c.run()
	c.faults.remember(key, answer)
	answer.write(c.writer)
}

func (c *faultyCall) goingBack() {
	if c.faults.Injected(FaultGoingBack)%2 == 0 {
		c.stale()
		return
	}
	answer := c.run()
	c.faults.remember(answerKey(c.request.original), answer)
	answer.write(c.writer)
}

// half sends the first half of an answer, or the events of a stream before the fault's
// event and half of that one.
func (c *faultyCall) half(answer capture) {
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
		c.unmarked(part)
	default:
		c.broken(part, answer)
	}
}

// broken sends a part with the length of the whole and breaks the connection.
func (c *faultyCall) broken(part, whole capture) {
	length := len(whole.body)
	if whole.isStream() {
		length = -1
	}
	part.writeHeader(c.writer, length)
	c.writer.Write(part.body)
	_ = http.NewResponseController(c.writer).Flush()
	abort()
}

// unmarked sends a part whose end is the end of the connection, without a digest.
func (c *faultyCall) unmarked(part capture) {
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

// garbage answers with bytes that mean nothing, in the frame of the true answer.
func (c *faultyCall) garbage(answer capture) {
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

func (c *faultyCall) huge(answer capture) {
	answer.writeHeader(c.writer, -1)
	block := bytes.Repeat([]byte("x"), 64<<10)
	size := cmp.Or(c.fault.Bytes, hugeAnswerBytes)
	for sent := 0; sent < size; sent += len(block) {
		if _, err := c.writer.Write(block); err != nil {
			abort()
		}
	}
}

func (c *faultyCall) refusal() {
	wait := cmp.Or(c.fault.Delay, defaultRefusalWait)
	refuseFor(c.writer, http.StatusServiceUnavailable, wait, "refused")
}

// silent waits until the client gives the connection up.
func (c *faultyCall) silent() {
	<-c.request.original.Context().Done()
	abort()
}

// editEvents sends a stream with one fault in its events. Other answers are sent as they are.
func (c *faultyCall) editEvents(answer capture) {
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
