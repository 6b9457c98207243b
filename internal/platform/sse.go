package platform

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// Faults of event streams.
var (
	errEventTooLarge = errors.New("event exceeds the limit")
	errCutEvent      = errors.New("stream ends within an event")
	errBadEventID    = errors.New("event id is not a number")
)

// serverEvent is one server-sent event.
type serverEvent struct {
	// ID is the event's number if HasID is true.
	ID    uint64
	HasID bool
	Data  []byte
}

// eventReader decodes a stream of server-sent events.
type eventReader struct {
	lines *bufio.Reader
	// scratch holds a line that is longer than the reader's buffer.
	scratch []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReader(r)}
}

// next returns the next event with data; io.EOF only between events.
func (r *eventReader) next() (serverEvent, error) {
	var event serverEvent
	size, lines := 0, 0
	for {
		line, err := r.line(maxEventBytes - size)
		if err != nil {
			return serverEvent{}, endOfEvents(err, lines > 0)
		}
		size += len(line) + 1
		if len(line) > 0 {
			lines++
			if err := event.add(line); err != nil {
				return serverEvent{}, err
			}
			continue
		}
		if event.Data != nil {
			return event, nil
		}
		event, size, lines = serverEvent{}, 0, 0
	}
}

func endOfEvents(err error, within bool) error {
	if errors.Is(err, io.EOF) && within {
		return errCutEvent
	}
	return err
}

// line returns the next line without its end; it is valid until the next call. A last
// line without end is cut.
func (r *eventReader) line(limit int) ([]byte, error) {
	line, err := r.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.longLine(line, limit)
	}
	switch {
	case errors.Is(err, io.EOF) && len(line) > 0:
		return nil, errCutEvent
	case err != nil:
		return nil, err
	case len(line) > limit:
		return nil, errEventTooLarge
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// longLine reads the rest of a line that is longer than the reader's buffer.
func (r *eventReader) longLine(start []byte, limit int) ([]byte, error) {
	r.scratch = append(r.scratch[:0], start...)
	for {
		part, err := r.lines.ReadSlice('\n')
		if len(r.scratch)+len(part) > limit {
			return nil, errEventTooLarge
		}
		r.scratch = append(r.scratch, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return r.scratch, err
		}
	}
}

// add adds one field line to the event. Unknown fields and comments are ignored.
func (e *serverEvent) add(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		id, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return errBadEventID
		}
		e.ID, e.HasID = id, true
	case "data":
		if e.Data == nil {
			e.Data = append(make([]byte, 0, len(value)), value...)
			return nil
		}
		e.Data = append(append(e.Data, '\n'), value...)
	}
	return nil
}
