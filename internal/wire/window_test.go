package wire_test

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/wire"
)

// holdText is the first message of a call that its receiver does not read further.
const holdText = "hold"

// windowFixture opens calls to a receiver that answers each message, or none after holdText.
func windowFixture(t *testing.T) (c *qt.C, open func() *wire.Call) {
	f := newFixture(t)
	receiver := newRecordingHandler()
	released := make(chan struct{})
	receiver.serve = func(call *wire.Call) {
		for {
			envelope, err := call.Read()
			if err != nil {
				return
			}
			text := envelope.Body.(*textMessage).Text
			if text == holdText {
				<-released
				return
			}
			_ = call.Write(&textMessage{Text: text[:1]})
		}
	}
	b := f.listen("b", f.keys("b"), receiver, false)
	a := f.listen("a", f.keys("a"), newRecordingHandler(), true)
	t.Cleanup(func() { close(released) })
	return f.c, func() *wire.Call {
		call, err := a.OpenCall(context.Background(), wire.Target{VM: "b", Address: b.Address()})
		f.c.Assert(err, qt.IsNil)
		return call
	}
}

// fill opens a call that is held and writes until the window is full. It returns what could be written, in bytes.
func fill(c *qt.C, open func() *wire.Call) int {
	call := open()
	c.Assert(call.Write(&textMessage{Text: holdText}), qt.IsNil)
	call.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	text, written := strings.Repeat("x", maxMessageBytes/2), 0
	for call.Write(&textMessage{Text: text}) == nil {
		written += len(text)
	}
	return written
}

// What a process receives from a peer and does not read is in no account.
func TestUnreadCallsHoldLittle(t *testing.T) {
	c, open := windowFixture(t)
	unread := 0
	for range 10 {
		unread += fill(c, open)
	}
	c.Check(unread <= 1<<20, qt.IsTrue, qt.Commentf("%d bytes", unread))
}

// Two calls that were not read stopped all others between the same processes.
func TestUnreadCallsDoNotStopOthers(t *testing.T) {
	c, open := windowFixture(t)
	for range 4 {
		fill(c, open)
	}
	call := open()
	deadline := time.Now().Add(5 * time.Second)
	call.SetWriteDeadline(deadline)
	call.SetReadDeadline(deadline)
	c.Assert(call.Write(&textMessage{Text: "x"}), qt.IsNil)
	_, err := call.Read()
	c.Assert(err, qt.IsNil)
}
