package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

const (
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
	// streamSilence is the silence of a stream after which another server is looked for. Groups that lost a rank or
	// are held stand still for 1.5 s and more, and callers give up after a gap of two seconds.
	streamSilence = 800 * time.Millisecond
)

// Faults of event streams.
var (
	errCutEvent   = errors.New("the stream ends within an event")
	errLargeEvent = errors.New("the event is too large")
)

// rawEvent is one server-sent event as it came.
type rawEvent struct {
	bytes []byte
	// id is the event's number if numbered is true.
	id       uint64
	numbered bool
}

// eventSplitter splits a stream into its events.
type eventSplitter struct {
	reader *bufio.Reader
	buffer []byte
}

func newEventSplitter(reader io.Reader) *eventSplitter {
	return &eventSplitter{reader: bufio.NewReaderSize(reader, upstreamBuffer)}
}

// next returns the next whole event, which is valid until the next call; io.EOF only between events.
func (s *eventSplitter) next() (rawEvent, error) {
	event := rawEvent{}
	s.buffer = s.buffer[:0]
	for {
		start := len(s.buffer)
		if err := s.line(); err != nil {
			if errors.Is(err, io.EOF) && len(s.buffer) > 0 {
				return event, errCutEvent
			}
			return event, err
		}
		line := bytes.TrimRight(s.buffer[start:], "\r\n")
		if len(line) == 0 {
			event.bytes = s.buffer
			return event, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			event.id, event.numbered = id, err == nil
		}
	}
}

// line appends a line with its end to the buffer.
func (s *eventSplitter) line() error {
	for {
		part, err := s.reader.ReadSlice('\n')
		s.buffer = append(s.buffer, part...)
		if len(s.buffer) > maxEvent {
			return errLargeEvent
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// more reports whether bytes of a further event are at hand.
func (s *eventSplitter) more() bool { return s.reader.Buffered() > 0 }

// relay passes the events of a stream on as they come. An interrupted stream that may be resumed goes on at
// another server after the last whole event.
func (c *call) relay(ctx context.Context, conn *upstreamConn, response *http.Response, watchdog *silenceWatchdog) verdict {
	events := newEventSplitter(response.Body)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return c.endStream(conn, response)
		}
		if err != nil {
			conn.abandon()
			return c.interrupted(ctx)
		}
		watchdog.event()
		if !c.passEvent(response, event, events.more()) {
			conn.abandon()
			c.result = outcome.InDoubt(outcome.CauseCallerGone, "")
			return verdict{result: routing.SendAbandoned, done: true}
		}
	}
}

// interrupted ends the sending; the call goes on elsewhere if it may.
func (c *call) interrupted(ctx context.Context) verdict {
	if ctx.Err() != nil {
		return verdict{result: routing.SendAbandoned}
	}
	if c.started && !c.route.Repeatable() {
		c.fail(http.StatusBadGateway, outcome.CauseBrokenStream)
		return verdict{result: routing.SendBroken, done: true}
	}
	return verdict{result: routing.SendBroken}
}

func (c *call) endStream(conn *upstreamConn, response *http.Response) verdict {
	c.startStream(response)
	c.result = outcome.Outcome{Kind: outcome.Served}
	c.gateway.upstreams.put(conn, response)
	return verdict{result: routing.SendServed, done: true}
}

// startStream writes the head of the answer, once.
func (c *call) startStream(response *http.Response) {
	if c.started {
		return
	}
	c.started = true
	c.status = response.StatusCode
	c.firstAt = time.Now()
	header := c.w.Header()
	closing := header.Get("Connection")
	for name, values := range endToEnd(response.Header) {
		header[name] = values
	}
	if closing != "" {
		header.Set("Connection", closing)
	}
	header.Del("Content-Length")
	c.w.WriteHeader(response.StatusCode)
}

// noteGap keeps the longest pause between two events for the log.
func (c *call) noteGap(now time.Time) {
	if !c.eventAt.IsZero() {
		c.longestGap = max(c.longestGap, now.Sub(c.eventAt))
	}
	c.eventAt = now
}

// passEvent writes an event to the caller unless the caller has it. It returns false if the caller is gone.
func (c *call) passEvent(response *http.Response, event rawEvent, more bool) bool {
	if event.numbered && c.started && c.lastID != "" {
		if last, err := strconv.ParseUint(c.lastID, 10, 64); err == nil && event.id <= last {
			return true
		}
	}
	c.startStream(response)
	now := time.Now()
	c.noteGap(now)
	c.gateway.progressed(c.assigned.Backend.Group, now)
	c.allowWrite()
	if _, err := c.w.Write(event.bytes); err != nil {
		return false
	}
	if event.numbered {
		c.lastID = strconv.FormatUint(event.id, 10)
	}
	if more {
		return true
	}
	return http.NewResponseController(c.w).Flush() == nil
}
