package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Call is one call stream: a sequence of message frames in each direction.
type Call struct {
	transport *Transport
	stream    *quic.Stream
	writeMu   sync.Mutex
}

func (t *Transport) newCall(stream *quic.Stream) *Call {
	return &Call{transport: t, stream: stream}
}

// Write sends one message.
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

// Read returns the next message. It returns io.EOF after the peer's last message.
func (c *Call) Read() (Envelope, error) {
	data, err := ReadFrame(c.stream, c.transport.config.MaxMessageBytes)
	if err != nil {
		return Envelope{}, err
	}
	return c.transport.config.Codec.Decode(data)
}

// SetReadDeadline bounds the wait for the next message; the zero time removes the bound.
func (c *Call) SetReadDeadline(deadline time.Time) {
	_ = c.stream.SetReadDeadline(deadline)
}

// SetWriteDeadline bounds the wait of the next write; the zero time removes the bound.
func (c *Call) SetWriteDeadline(deadline time.Time) {
	_ = c.stream.SetWriteDeadline(deadline)
}

// Context ends when the stream or its connection ends.
func (c *Call) Context() context.Context {
	return c.stream.Context()
}

// Close ends the sending direction after all that was written.
func (c *Call) Close() {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.stream.Close()
}

// Abort ends both directions at once.
func (c *Call) Abort() {
	c.stream.CancelRead(codeReset)
	c.stream.CancelWrite(codeReset)
}

// IsTimeout reports whether an error of Read or Write is a passed deadline.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
