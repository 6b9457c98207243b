package timeline

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"unicode"
)

// String returns the event as one line of key=value pairs, without a newline.
func (e *Event) String() string {
	return string(e.AppendText(nil))
}

// AppendText appends the event as one line of key=value pairs, without a newline.
func (e *Event) AppendText(line []byte) []byte {
	line = append(line, "time="...)
	line = append(line, e.Stamp.String()...)
	line = appendPair(line, "event", string(e.Kind))
	line = appendPair(line, "vm", string(e.VM))
	line = appendPair(line, "incarnation", strconv.FormatUint(uint64(e.Incarnation), 16))
	line = appendIfSet(line, "request", string(e.Request))
	line = appendIfSet(line, "customer", string(e.Customer))
	line = appendIfSet(line, "group", string(e.Group))
	line = appendIfSet(line, "about", string(e.About))
	for _, field := range e.Fields {
		line = appendPair(line, field.Key, field.Value())
	}
	return line
}

// WriteText writes one line per event.
func WriteText(w io.Writer, events []Event) error {
	buffered := bufio.NewWriter(w)
	var line []byte
	for i := range events {
		line = append(events[i].AppendText(line[:0]), '\n')
		if _, err := buffered.Write(line); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

func appendIfSet(line []byte, key, value string) []byte {
	if value == "" {
		return line
	}
	return appendPair(line, key, value)
}

func appendPair(line []byte, key, value string) []byte {
	line = append(line, ' ')
	line = appendWord(line, key)
	line = append(line, '=')
	return appendWord(line, value)
}

func appendWord(line []byte, word string) []byte {
	if needsQuotes(word) {
		return strconv.AppendQuote(line, word)
	}
	return append(line, word...)
}

// needsQuotes reports whether a key or value must be quoted: if it is empty or has spaces, quotes, '=' or unprintable
// characters.
func needsQuotes(word string) bool {
	return word == "" || strings.ContainsFunc(word, func(r rune) bool {
		return r == '"' || r == '=' || r == unicode.ReplacementChar || unicode.IsSpace(r) || !unicode.IsPrint(r)
	})
}
