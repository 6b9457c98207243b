package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/callermem"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxBufferStep is by how much the buffer of a long event grows at a time.
	maxBufferStep = 64 << 10
	// streamStallTimeout is how long a stream may send no event before a replacement is requested. A group sends nothing
	// for 1.5 s and more if it lost a rank, or if an order holds its next pass while ranks switch maps. Callers give up
	// after a gap of two seconds.
	streamStallTimeout = 800 * time.Millisecond
)

// Errors of event streams.
var (
	errTruncatedEvent = errors.New("stream ended within an event")
	errEventTooLarge  = errors.New("event exceeds the size limit")
	errNoEvent        = errors.New("stream ended before its first event")
	// errUnnumberedEvent is the error of a server that does not continue a stream of numbered events.
	errUnnumberedEvent = errors.New("first event of a continued stream has no number")
)

// rawEvent is one server-sent event with its bytes as received.
type rawEvent struct {
	bytes []byte
	// id is the event's numeric ID; it is valid if numbered is true.
	id       uint64
	numbered bool
	// comment is true for a block without fields, which a server may send to keep the connection open.
	comment bool
}

// eventReader splits a stream into its events.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
	// take takes memory for a larger buffer; taken is how much it has taken.
	take  func(bytes int64) bool
	taken int64
}

func newEventReader(reader io.Reader, take func(bytes int64) bool) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(reader, connBufferBytes), take: take}
}

// reserve makes the buffer large enough for more bytes. It doubles a short buffer and lets a long one grow in steps of maxBufferStep, so
// that a stream holds little more than its largest event. It returns false if there is no memory.
func (r *eventReader) reserve(bytes int) bool {
	needed, size := len(r.buffer)+bytes, cap(r.buffer)
	if needed <= size {
		return true
	}
	grown := max(needed, size+min(max(size, connBufferBytes), maxBufferStep))
	if !r.take(int64(grown - size)) {
		return false
	}
	r.taken += int64(grown - size)
	r.buffer = append(make([]byte, 0, grown), r.buffer...)
	return true
}

// next returns the next complete event, whose bytes are valid until the next call. It returns io.EOF only if the stream
// ends between events.
func (r *eventReader) next() (rawEvent, error) {
	event := rawEvent{comment: true}
	r.buffer = r.buffer[:0]
	for {
		start := len(r.buffer)
		if err := r.readLine(); err != nil {
			if errors.Is(err, io.EOF) && len(r.buffer) > 0 {
				return event, errTruncatedEvent
			}
			return event, err
		}
		line := bytes.TrimRight(r.buffer[start:], "\r\n")
		if len(line) == 0 {
			event.bytes = r.buffer
			return event, nil
		}
		if line[0] != ':' {
			event.comment = false
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			event.id, event.numbered = id, err == nil
		}
	}
}

// readLine appends one line with its line ending to the buffer.
func (r *eventReader) readLine() error {
	for {
		part, err := r.reader.ReadSlice('\n')
		if !r.reserve(len(part)) {
			return callermem.ErrFull
		}
		r.buffer = append(r.buffer, part...)
		if len(r.buffer) > maxEventBytes {
			return errEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// hasBuffered reports whether bytes of a further event have been received.
func (r *eventReader) hasBuffered() bool { return r.reader.Buffered() > 0 }

// mayContinue reports whether a response can continue the call's stream: it must have the status and the type of the first one.
func (c *call) mayContinue(response *http.Response) bool {
	return !c.started || response.StatusCode == c.status && mediaType(response.Header) == mediaType(c.w.Header())
}

// mediaType returns the type of a response's content without its parameters; "" if there is none that can be read.
func mediaType(header http.Header) string {
	name, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return name
}

// relayStream passes the events of a stream on as they arrive. If the stream is interrupted and may be resumed, another
// backend server continues it after the last complete event.
func (c *call) relayStream(ctx context.Context, conn *backendConn, response *http.Response, watchdog *stallWatchdog) exchangeResult {
	if !c.takeResponseMemory(streamBuffers) {
		return c.endForMemory(conn)
	}
	events := newEventReader(response.Body, c.takeResponseMemory)
	defer func() { c.memory.ReturnResponse(streamBuffers + events.taken) }()
	// A server that continues numbered events begins with a numbered one.
	expectNumber := c.started && c.lastEventID != ""
	for {
		event, err := events.next()
		if err == nil && expectNumber && !event.comment && !event.numbered {
			err = errUnnumberedEvent
		}
		if errors.Is(err, io.EOF) && c.endedByClose && !c.started {
			// The connection closed before the first event of a response whose end only the close would mark.
			err = errNoEvent
		}
		if errors.Is(err, io.EOF) {
			return c.finishStream(conn, response)
		}
		if errors.Is(err, callermem.ErrFull) {
			return c.endForMemory(conn)
		}
		if err != nil {
			conn.reset()
			return c.handleInterruption(ctx)
		}
		expectNumber = expectNumber && event.comment
		watchdog.pause()
		written := c.writeEvent(response, event, events.hasBuffered())
		watchdog.resume(!event.comment)
		if !written {
			conn.reset()
			c.result = c.runs.Unserved(outcome.CauseCallerGone)
			return exchangeResult{sendResult: routing.SendAbandoned, done: true}
		}
	}
}

// endForMemory ends a call whose response finds no memory. That is no fault of its server, and another one's response would find none
// either.
func (c *call) endForMemory(conn *backendConn) exchangeResult {
	conn.reset()
	use := c.gateway.memory.Use(c.access.Customer)
	c.memoryUse = &use
	c.endFailed(outcome.CauseMemoryFull)
	return exchangeResult{sendResult: routing.SendAbandoned, done: true}
}

// handleInterruption returns the result of an interrupted stream. It ends the call if a response has begun and must not
// be continued by another backend server.
func (c *call) handleInterruption(ctx context.Context) exchangeResult {
	if ctx.Err() != nil {
		return exchangeResult{sendResult: routing.SendAbandoned}
	}
	if c.started && !c.route.Repeatable() {
		c.endFailed(outcome.CauseBrokenStream)
		return exchangeResult{sendResult: routing.SendBroken, done: true}
	}
	return exchangeResult{sendResult: routing.SendBroken}
}

// finishStream ends a call whose stream is complete.
func (c *call) finishStream(conn *backendConn, response *http.Response) exchangeResult {
	c.startStream(response)
	c.result = outcome.Outcome{Kind: outcome.Served}
	c.gateway.pool.put(conn, response)
	return exchangeResult{sendResult: routing.SendServed, done: true}
}

// startStream writes the head of the response unless it has been written.
func (c *call) startStream(response *http.Response) {
	if c.started {
		return
	}
	c.started = true
	c.status = response.StatusCode
	c.firstByteAt = time.Now()
	header := c.w.Header()
	for name, values := range endToEndHeader(response.Header) {
		header[name] = values
	}
	header.Del("Content-Length")
	c.writeHead(response.StatusCode)
}

// recordGap records the longest time between two events, for the log.
func (c *call) recordGap(now time.Time) {
	if !c.lastEventAt.IsZero() {
		c.longestGap = max(c.longestGap, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

// writeEvent writes an event to the caller unless the caller already has it. It flushes unless more events follow at
// once, and returns false if the write failed.
func (c *call) writeEvent(response *http.Response, event rawEvent, more bool) bool {
	if event.numbered && c.started && c.lastEventID != "" {
		if last, err := strconv.ParseUint(c.lastEventID, 10, 64); err == nil && event.id <= last {
			return true
		}
	}
	c.startStream(response)
	if now := time.Now(); !event.comment {
		c.recordGap(now)
		if group := c.assigned.Backend.Group; group != "" {
			progress := c.gateway.progressOf(group)
			progress.beginWrite(now)
			defer func() { progress.endWrite(time.Now()) }()
		}
	}
	c.extendWriteDeadline()
	if _, err := c.w.Write(event.bytes); err != nil {
		return false
	}
	if event.numbered {
		c.lastEventID = strconv.FormatUint(event.id, 10)
	}
	if more {
		return true
	}
	return http.NewResponseController(c.w).Flush() == nil
}
