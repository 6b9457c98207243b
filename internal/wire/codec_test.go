package wire_test

import (
	"bytes"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

func newTestCodec(t testing.TB) *wire.Codec {
	codec, err := wire.NewCodec()
	qt.Assert(t, err, qt.IsNil)
	wire.Register[textMessage](codec, textMessageKind)
	return codec
}

// A frame over the limit and a truncated frame must give different errors than the regular end of the input.
func TestReadFrameRejectsLongAndTruncatedFrames(t *testing.T) {
	c := qt.New(t)
	var buffer bytes.Buffer
	c.Assert(wire.WriteFrame(&buffer, []byte("hello")), qt.IsNil)
	frame := buffer.Bytes()
	_, err := wire.ReadFrame(bytes.NewReader(frame), 4)
	c.Assert(err, qt.ErrorIs, wire.ErrTooLarge)
	_, err = wire.ReadFrame(bytes.NewReader(frame[:6]), 100)
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	_, err = wire.ReadFrame(bytes.NewReader(nil), 100)
	c.Assert(err, qt.ErrorIs, io.EOF)
}

func FuzzDecode(f *testing.F) {
	codec := newTestCodec(f)
	data, err := codec.Encode(wire.Envelope{From: ident.Instance{VM: "a", Incarnation: 7}, Body: &textMessage{Text: "hello"}})
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{0xbf, 0xff}) // an empty map of indefinite length, which the codec rejects
	f.Fuzz(func(t *testing.T, data []byte) {
		envelope, err := codec.Decode(data)
		if err != nil {
			return
		}
		again, err := codec.Encode(envelope)
		if err != nil {
			t.Fatalf("failed to encode a decoded message: %v", err)
		}
		if _, err := codec.Decode(again); err != nil {
			t.Fatalf("failed to decode an encoded message: %v", err)
		}
	})
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 7})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 10
		frame, err := wire.ReadFrame(bytes.NewReader(data), limit)
		if err == nil && len(frame) > limit {
			t.Fatalf("ReadFrame accepted a frame of %d bytes, limit %d", len(frame), limit)
		}
	})
}
