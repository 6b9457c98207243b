package relay_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/relay"
)

// recordingSink keeps what Copy passes to it.
type recordingSink struct{ data []byte }

func (s *recordingSink) Head(relay.AnswerHead) error { return nil }

func (s *recordingSink) Data(offset int64, data []byte) error {
	if offset != int64(len(s.data)) {
		return fmt.Errorf("offset %d after %d bytes", offset, len(s.data))
	}
	s.data = append(s.data, data...)
	return nil
}

// A buffer that grew was copied: the old one was in memory beside it, but in no account, until the garbage collector had run.
func TestAnswerBufferAllocatesWhatItTakes(t *testing.T) {
	c := qt.New(t)
	const partBytes, parts = 60_000, 120
	taken := int64(0)
	buffer := relay.NewAnswerBuffer(parts*partBytes, func(bytes int64) bool {
		taken += bytes
		return true
	})
	part := make([]byte, partBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range parts {
		c.Assert(buffer.Append(part), qt.IsNil)
	}
	runtime.ReadMemStats(&after)
	allocated := int64(after.TotalAlloc - before.TotalAlloc)
	c.Check(allocated < taken+taken/20, qt.IsTrue, qt.Commentf("%d bytes allocated, %d taken", allocated, taken))
	c.Check(taken <= parts*partBytes+64<<10, qt.IsTrue, qt.Commentf("%d bytes taken", taken))
}

// Bodies keep their order and content whatever their parts are, and an append without memory leaves the body as it was.
func TestAnswerBufferKeepsItsBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		check := func(holds bool, text string, values ...any) {
			if !holds {
				t.Fatalf(text, values...)
			}
		}
		const limit = 1 << 20
		full := false
		taken := int64(0)
		buffer := relay.NewAnswerBuffer(limit, func(bytes int64) bool {
			if !full {
				taken += bytes
			}
			return !full
		})
		var want []byte
		for i := range rapid.IntRange(0, 30).Draw(t, "appends") {
			var parts [][]byte
			added := 0
			for range rapid.IntRange(1, 3).Draw(t, "parts") {
				size := rapid.OneOf(rapid.IntRange(0, 100), rapid.IntRange(0, 200_000)).Draw(t, "bytes")
				parts = append(parts, bytes.Repeat([]byte{byte(i + len(parts))}, size))
				added += size
			}
			full = rapid.IntRange(0, 9).Draw(t, "full") == 0
			switch err := buffer.Append(parts...); {
			case len(want)+added > limit:
				check(errors.Is(err, relay.ErrAnswerTooLarge), "beyond the limit: %v", err)
			case err != nil:
				check(full && errors.Is(err, relay.ErrNoMemory), "append: %v", err)
			default:
				want = append(want, bytes.Join(parts, nil)...)
			}
			answer := buffer.Answer()
			check(answer.Length == int64(len(want)) && answer.Digest == attempt.Digest(sha256.Sum256(want)), "answer %+v", answer)
		}
		check(taken <= int64(len(want)+max(min(len(want), 64<<10), 512)), "%d bytes taken for %d", taken, len(want))
		buffer.SetHead(relay.AnswerHead{Status: 200})
		buffer.End(attempt.Reply{State: attempt.ReplyFinished})
		_, body := buffer.Content()
		check(bytes.Equal(body.Bytes(), want), "content differs")
		var written bytes.Buffer
		_, err := body.WriteTo(&written)
		check(err == nil && bytes.Equal(written.Bytes(), want), "written differs: %v", err)
		offset := rapid.IntRange(0, len(want)).Draw(t, "offset")
		sink := &recordingSink{data: slices.Clone(want[:offset])}
		_, err = buffer.Copy(context.Background(), int64(offset), sink)
		check(err == nil && bytes.Equal(sink.data, want), "copy from %d differs: %v", offset, err)
	})
}
