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

// Faults of streams.
var (
	errNoEventID  = errors.New("event has no id")
	errStreamGap  = errors.New("stream has a gap")
	errNoEnd      = errors.New("stream ends without its end mark")
	errEarlyEnd   = errors.New("end mark before a finish reason")
	errStreamIdle = errors.New("stream was silent for too long")
)

// eventStream is a Stream over server-sent events.
type eventStream struct {
	op       string
	id       ident.Request
	body     io.ReadCloser
	events   *eventReader
	next     uint64
	finished bool
	// ended is what Next returns from now on, nil while the stream goes on.
	ended  error
	idle   time.Duration
	timer  *time.Timer
	silent atomic.Bool
	cancel context.CancelFunc
}

func newEventStream(op string, id ident.Request, from uint64, response *http.Response, idle time.Duration, cancel context.CancelFunc) *eventStream {
	stream := &eventStream{
		op: op, id: id, body: response.Body, events: newEventReader(response.Body), next: from, idle: idle, cancel: cancel,
	}
	stream.timer = time.AfterFunc(idle, stream.giveUp)
	return stream
}

// giveUp ends the reading of a stream that was silent for too long.
func (s *eventStream) giveUp() {
	s.silent.Store(true)
	s.cancel()
}

// Offset returns the offset of the chunk that Next returns next.
func (s *eventStream) Offset() uint64 { return s.next }

// Next returns the next chunk. Doubled chunks are dropped.
func (s *eventStream) Next() (Chunk, error) {
	for s.ended == nil {
		s.timer.Reset(s.idle)
		event, err := s.events.next()
		s.timer.Stop()
		if err != nil {
			return Chunk{}, s.end(s.readError(err))
		}
		if string(event.Data) == endOfStream {
			return Chunk{}, s.end(s.endMark())
		}
		chunk, doubled, err := s.accept(event)
		if err != nil {
			return Chunk{}, s.end(err)
		}
		if doubled {
			continue
		}
		return chunk, nil
	}
	return Chunk{}, s.ended
}

// accept checks the order and the owner of an event.
func (s *eventStream) accept(event serverEvent) (Chunk, bool, error) {
	if !event.HasID {
		return Chunk{}, false, s.garbage(errNoEventID)
	}
	chunk, err := decodeChunk(event, s.id)
	if err != nil {
		return Chunk{}, false, s.garbage(err)
	}
	if event.ID < s.next {
		return Chunk{}, true, nil
	}
	if event.ID > s.next || s.finished {
		return Chunk{}, false, s.garbage(fmt.Errorf("%w: expected chunk %d, got %d", errStreamGap, s.next, event.ID))
	}
	s.next++
	s.finished = chunk.FinishReason != ""
	return chunk, false, nil
}

func (s *eventStream) endMark() error {
	if !s.finished {
		return s.garbage(errEarlyEnd)
	}
	return io.EOF
}

func (s *eventStream) readError(err error) error {
	switch {
	case s.silent.Load():
		err = errStreamIdle
	case errors.Is(err, io.EOF):
		err = errNoEnd
	case errors.Is(err, errEventTooLarge):
		return &Error{Kind: KindTooLarge, Op: s.op, Err: err}
	case errors.Is(err, errBadEventID):
		return s.garbage(err)
	}
	return &Error{Kind: KindUnknown, Op: s.op, Detail: "stream broke off", Err: err}
}

func (s *eventStream) garbage(err error) error {
	return &Error{Kind: KindGarbage, Op: s.op, Err: err}
}

func (s *eventStream) end(err error) error {
	s.ended = err
	_ = s.Close()
	return err
}

// Close gives the connection up.
func (s *eventStream) Close() error {
	s.timer.Stop()
	if s.ended == nil {
		s.ended = &Error{Kind: KindUnknown, Op: s.op, Detail: "stream was closed"}
	}
	s.cancel()
	return s.body.Close()
}
