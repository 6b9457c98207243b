package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Errors of invalid or broken streams.
var (
	errNoEventID    = errors.New("event has no id")
	errUnexpectedID = errors.New("stream has a gap in its event ids or continues after its finish reason")
	errNoEndMark    = errors.New("stream ends without an end mark")
	errEarlyEndMark = errors.New("end mark before a finish reason")
	errStreamIdle   = errors.New("no event received within the idle timeout")
)

// eventStream implements Stream over server-sent events.
type eventStream struct {
	op         string
	id         ident.Request
	body       io.ReadCloser
	events     *eventReader
	nextOffset uint64
	finished   bool
	// endErr is the error that Next returns once the stream has ended; nil before.
	endErr   error
	idle     time.Duration
	timer    *time.Timer
	timedOut atomic.Bool
	cancel   context.CancelFunc
}

func newEventStream(op string, id ident.Request, from uint64, response *http.Response, idle time.Duration, cancel context.CancelFunc) *eventStream {
	stream := &eventStream{
		op: op, id: id, body: response.Body, events: newEventReader(response.Body), nextOffset: from, idle: idle, cancel: cancel,
	}
	stream.timer = time.AfterFunc(idle, stream.onIdleTimeout)
	return stream
}

// onIdleTimeout cancels a stream that delivered no event within the idle timeout.
func (s *eventStream) onIdleTimeout() {
	s.timedOut.Store(true)
	s.cancel()
}

// Offset returns the offset of the chunk that the next call of Next returns.
func (s *eventStream) Offset() uint64 { return s.nextOffset }

// Next returns the next chunk. Duplicate chunks are dropped.
func (s *eventStream) Next() (Chunk, error) {
	for s.endErr == nil {
		s.timer.Reset(s.idle)
		event, err := s.events.next()
		s.timer.Stop()
		if err != nil {
			return Chunk{}, s.closeWith(s.classifyReadError(err))
		}
		if string(event.Data) == endOfStreamData {
			return Chunk{}, s.closeWith(s.checkEndMark())
		}
		chunk, duplicate, err := s.acceptChunk(event)
		if err != nil {
			return Chunk{}, s.closeWith(err)
		}
		if duplicate {
			continue
		}
		return chunk, nil
	}
	return Chunk{}, s.endErr
}

// acceptChunk decodes an event and checks its request ID and offset. The bool is true for a
// duplicate of an earlier chunk.
func (s *eventStream) acceptChunk(event serverEvent) (Chunk, bool, error) {
	if !event.HasID {
		return Chunk{}, false, s.garbageError(errNoEventID)
	}
	chunk, err := decodeChunk(event, s.id)
	if err != nil {
		return Chunk{}, false, s.garbageError(err)
	}
	if event.ID < s.nextOffset {
		return Chunk{}, true, nil
	}
	if event.ID > s.nextOffset || s.finished {
		return Chunk{}, false, s.garbageError(fmt.Errorf("%w: next offset is %d, event id is %d", errUnexpectedID, s.nextOffset, event.ID))
	}
	s.nextOffset++
	s.finished = chunk.FinishReason != ""
	return chunk, false, nil
}

// checkEndMark returns io.EOF, or an error if no chunk had a finish reason.
func (s *eventStream) checkEndMark() error {
	if !s.finished {
		return s.garbageError(errEarlyEndMark)
	}
	return io.EOF
}

// classifyReadError returns the *Error for an error of the event reader.
func (s *eventStream) classifyReadError(err error) error {
	switch {
	case s.timedOut.Load():
		err = errStreamIdle
	case errors.Is(err, io.EOF):
		err = errNoEndMark
	case errors.Is(err, errEventTooLarge):
		return &Error{Kind: KindTooLarge, Op: s.op, Err: err}
	case errors.Is(err, errBadEventID):
		return s.garbageError(err)
	}
	return &Error{Kind: KindUnknown, Op: s.op, Detail: "stream ended early", Err: err}
}

func (s *eventStream) garbageError(err error) error {
	return &Error{Kind: KindGarbage, Op: s.op, Err: err}
}

func (s *eventStream) closeWith(err error) error {
	s.endErr = err
	_ = s.Close()
	return err
}

// Close closes the connection.
func (s *eventStream) Close() error {
	s.timer.Stop()
	if s.endErr == nil {
		s.endErr = &Error{Kind: KindUnknown, Op: s.op, Detail: "stream was closed by the caller"}
	}
	s.cancel()
	return s.body.Close()
}
