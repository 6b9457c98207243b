package platform

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestEventReader(t *testing.T) {
	long := strings.Repeat("x", 10_000)
	cases := []struct {
		name, text string
		data       []string
		end        error
	}{
		{"empty", "", nil, io.EOF},
		{"one", "id: 1\ndata: a\n\n", []string{"a"}, io.EOF},
		{"lines", "data: a\ndata\ndata:b\n\n", []string{"a\n\nb"}, io.EOF},
		{"comment and unknown field", ": c\nretry: 5\ndata: a\n\n", []string{"a"}, io.EOF},
		{"event without data", "id: 1\n\ndata: a\n\n", []string{"a"}, io.EOF},
		{"long lines", "data: " + long + "\ndata: " + long + "\n\ndata: b\n\n", []string{long + "\n" + long, "b"}, io.EOF},
		{"truncated in a line", "data: a\n\ndata: b", []string{"a"}, errTruncatedEvent},
		{"truncated in a long line", "data: " + long, nil, errTruncatedEvent},
		{"truncated after a line", "data: a\n", nil, errTruncatedEvent},
		{"bad id", "id: -1\ndata: a\n\n", nil, errBadEventID},
		{"too large line", "data: " + strings.Repeat("x", maxEventBytes) + "\n\n", nil, errEventTooLarge},
		{"too large as a sum of short lines", strings.Repeat("data: "+long[:1000]+"\n", maxEventBytes/1000+1) + "\n", nil, errEventTooLarge},
		{"too large as a sum of long lines", strings.Repeat("data: "+long+"\n", maxEventBytes/len(long)+1) + "\n", nil, errEventTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			reader := newEventReader(bytes.NewReader([]byte(tc.text)))
			var data []string
			for {
				event, err := reader.next()
				if err != nil {
					c.Assert(errors.Is(err, tc.end), qt.IsTrue, qt.Commentf("%v", err))
					break
				}
				data = append(data, string(event.Data))
			}
			c.Assert(data, qt.DeepEquals, tc.data)
		})
	}
}

// endlessLine is a line that never ends. read is the number of bytes read from it.
type endlessLine struct{ read int }

func (e *endlessLine) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	e.read += len(p)
	if e.read > 4*maxEventBytes {
		return 0, io.ErrUnexpectedEOF
	}
	return len(p), nil
}

func TestEventReaderStopsReadingBeyondTheLimit(t *testing.T) {
	c := qt.New(t)
	var source endlessLine
	_, err := newEventReader(&source).next()
	c.Assert(errors.Is(err, errEventTooLarge), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(source.read < 2*maxEventBytes, qt.IsTrue)
}
