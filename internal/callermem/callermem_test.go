package callermem

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Answers that arrived after their call had ended took memory that nothing returned.
func TestEndedCallTakesNoMemory(t *testing.T) {
	account := NewAccount(1 << 20)
	call := &Call{Account: account}
	qt.Assert(t, call.TakeResponse(100), qt.IsTrue)
	call.Return()
	qt.Assert(t, call.Ended(), qt.IsTrue)
	qt.Assert(t, call.TakeResponse(100), qt.IsFalse)
	qt.Assert(t, account.Use("").Responses, qt.Equals, int64(0))
}

// A body without a length took up to twice the limit of one body.
func TestBodyTakesNoMoreThanItsLimit(t *testing.T) {
	const limit = 1 << 20
	for _, length := range []int64{limit, -1, 0} {
		sent := strings.Repeat("x", limit)
		if length == 0 {
			sent = ""
		}
		var taken int64
		body, err := ReadAll(strings.NewReader(sent), length, limit, func(bytes int64) bool { taken += bytes; return true })
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bytes.Equal(body, []byte(sent)), qt.IsTrue)
		qt.Assert(t, taken <= limit+minReadBytes, qt.IsTrue, qt.Commentf("length %d: %d bytes", length, taken))
	}
}

// The number of connections must follow from the memory and the descriptors of the process, whichever allows less.
func TestConnectionsFollowFromMemoryAndDescriptors(t *testing.T) {
	qt.Assert(t, MaxConnections(206_000_000, 2940), qt.Equals, 790)
	qt.Assert(t, MaxConnections(206_000_000, 350), qt.Equals, 56)
	qt.Assert(t, MaxConnections(206_000_000, 100), qt.Equals, minConnections)
}
