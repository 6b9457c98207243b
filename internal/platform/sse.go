package platform

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds the size of one server-sent event.
const maxEventBytes = 1 << 20

// Errors of event streams.
var (
	errEventTooLarge  = errors.New("event exceeds the size limit")
	errTruncatedEvent = errors.New("stream ends in the middle of an event")
	errBadEventID     = errors.New("event id is not an unsigned integer")
)

// serverEvent is one server-sent event.
type serverEvent struct {
	// ID is the event's id field; it is set only if HasID is true.
	ID    uint64
	HasID bool
	Data  []byte
}

// eventReader decodes a stream of server-sent events.
type eventReader struct {
	source *bufio.Reader
	// scratch holds a line that is longer than the buffer of source.
	scratch []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{source: bufio.NewReader(r)}
}

// next returns the next event with data. It returns io.EOF only between events.
func (r *eventReader) next() (serverEvent, error) {
	var event serverEvent
	size, lineCount := 0, 0
	for {
		line, err := r.readLine(maxEventBytes - size)
		if err != nil {
			return serverEvent{}, eofError(err, lineCount > 0)
		}
		size += len(line) + 1
		if len(line) > 0 {
			lineCount++
			if err := event.parseField(line); err != nil {
				return serverEvent{}, err
			}
			continue
		}
		if event.Data != nil {
			return event, nil
		}
		event, size, lineCount = serverEvent{}, 0, 0
	}
}

// eofError returns errTruncatedEvent for io.EOF within an event, and err otherwise.
func eofError(err error, inEvent bool) error {
	if errors.Is(err, io.EOF) && inEvent {
		return errTruncatedEvent
	}
	return err
}

// readLine returns the next line without its line break; it is valid until the next call. A
// last line without a line break is an error.
func (r *eventReader) readLine(limit int) ([]byte, error) {
	line, err := r.source.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.readLongLine(line, limit)
	}
	switch {
	case errors.Is(err, io.EOF) && len(line) > 0:
		return nil, errTruncatedEvent
	case err != nil:
		return nil, err
	case len(line) > limit:
		return nil, errEventTooLarge
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// readLongLine reads the rest of a line that is longer than the buffer of source.
func (r *eventReader) readLongLine(start []byte, limit int) ([]byte, error) {
	r.scratch = append(r.scratch[:0], start...)
	for {
		part, err := r.source.ReadSlice('\n')
		if len(r.scratch)+len(part) > limit {
			return nil, errEventTooLarge
		}
		r.scratch = append(r.scratch, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return r.scratch, err
		}
	}
}

// parseField parses one line of the event. Unknown fields and comments are ignored.
func (e *serverEvent) parseField(line []byte) error {
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
