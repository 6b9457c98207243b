package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Call is a bidirectional stream that carries a sequence of messages in each direction. Write and Close are safe for
// concurrent use; Read is not.
type Call struct {
	transport *Transport
	stream    *quic.Stream
	writeMu   sync.Mutex
}

func (t *Transport) newCall(stream *quic.Stream) *Call {
	return &Call{transport: t, stream: stream}
}

// Write sends one message. It blocks while the peer's flow-control window is full.
func (c *Call) Write(body Message) error {
	config := &c.transport.config
	data, err := config.Codec.Encode(Envelope{From: config.Self, Stamp: config.Stamp(), Body: body})
	if err != nil {
		return err
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return WriteFrame(c.stream, data)
}

// Read returns the next message. It returns io.EOF after the peer has closed its sending direction.
func (c *Call) Read() (Envelope, error) {
	data, err := ReadFrame(c.stream, c.transport.config.MaxMessageBytes)
	if err != nil {
		return Envelope{}, err
	}
	return c.transport.config.Codec.Decode(data)
}

// SetReadDeadline sets the deadline of Read; the zero time removes it.
func (c *Call) SetReadDeadline(deadline time.Time) {
	_ = c.stream.SetReadDeadline(deadline)
}

// SetWriteDeadline sets the deadline of Write; the zero time removes it.
func (c *Call) SetWriteDeadline(deadline time.Time) {
	_ = c.stream.SetWriteDeadline(deadline)
}

// Context returns a context that is cancelled when the stream or its connection ends.
func (c *Call) Context() context.Context {
	return c.stream.Context()
}

// Close closes the sending direction. Messages that were written before are still delivered.
func (c *Call) Close() {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.stream.Close()
}

// Abort resets both directions; messages that were not delivered yet are lost.
func (c *Call) Abort() {
	c.stream.CancelRead(codeReset)
	c.stream.CancelWrite(codeReset)
}

// IsTimeout reports whether an error of Read or Write means that a deadline has passed.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
