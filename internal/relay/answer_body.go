package relay

import (
	"bytes"
	"io"
	"slices"
	"sort"
)

const (
	// minSegmentBytes and maxSegmentBytes bound the size of a segment that is not adopted. Segments are as large as the body before them, so
	// that a short body wastes little.
	minSegmentBytes = 512
	maxSegmentBytes = 64 << 10
)

// segment is a part of a body. Its data is at the offset start of the body.
type segment struct {
	start int
	data  []byte
}

// AnswerBody is a body in segments. Unlike a buffer that grows it is never copied: what it holds is what its account has taken, without old
// copies that wait for the garbage collector.
type AnswerBody struct {
	segments []segment
	length   int
}

// Len returns the length in bytes.
func (b *AnswerBody) Len() int { return b.length }

// Parts returns the parts of the body. They must not be modified.
func (b *AnswerBody) Parts() [][]byte {
	parts := make([][]byte, len(b.segments))
	for i, segment := range b.segments {
		parts[i] = segment.data
	}
	return parts
}

// Bytes returns a copy of the body in one piece.
func (b *AnswerBody) Bytes() []byte { return bytes.Join(b.Parts(), nil) }

// WriteTo writes the whole body.
func (b *AnswerBody) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, segment := range b.segments {
		n, err := w.Write(segment.data)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// snapshot returns the body as it is now. Later appends don't change it.
func (b *AnswerBody) snapshot() AnswerBody {
	return AnswerBody{segments: slices.Clone(b.segments), length: b.length}
}

// missing returns the capacity of the segments that must be added to hold more bytes.
func (b *AnswerBody) missing(more int) int {
	if len(b.segments) > 0 {
		last := b.segments[len(b.segments)-1].data
		more -= cap(last) - len(last)
	}
	if more <= 0 {
		return 0
	}
	return max(more, min(max(b.length, minSegmentBytes), maxSegmentBytes))
}

// grow adds segments with a capacity in bytes, which missing has returned.
func (b *AnswerBody) grow(capacity int) {
	for start := b.capacity(); capacity > 0; {
		size := min(capacity, maxSegmentBytes)
		b.segments = append(b.segments, segment{start: start, data: make([]byte, 0, size)})
		start += size
		capacity -= size
	}
}

// capacity returns the length of the body up to which no segment must be added.
func (b *AnswerBody) capacity() int {
	if len(b.segments) == 0 {
		return 0
	}
	last := b.segments[len(b.segments)-1]
	return last.start + cap(last.data)
}

// append adds data, for which grow has made room.
func (b *AnswerBody) append(data []byte) {
	for len(data) > 0 {
		target := &b.segments[b.find(b.length)]
		part := data[:min(len(data), cap(target.data)-len(target.data))]
		target.data = append(target.data, part...)
		b.length += len(part)
		data = data[len(part):]
	}
}

// from returns a part of the body from an offset on, which is less than its length.
func (b *AnswerBody) from(offset int) []byte {
	found := b.segments[b.find(offset)]
	return found.data[offset-found.start:]
}

// find returns the index of the segment to which an offset belongs.
func (b *AnswerBody) find(offset int) int {
	return sort.Search(len(b.segments), func(i int) bool { return b.segments[i].start > offset }) - 1
}
