// Package wire carries typed messages between the system's own processes over QUIC with
// mutual TLS.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/timeline"
)

// Kind is the number of a message type on the wire. The number of a removed type is never reused.
type Kind uint16

// Message is a pointer to a struct whose type is registered with the codec.
type Message any

// Envelope is a message with its sender and the sender's timeline stamp.
type Envelope struct {
	From  ident.Instance
	Stamp timeline.Stamp
	Body  Message
}

// Errors of encoding and decoding.
var (
	ErrUnknownKind = errors.New("unknown message kind")
	ErrTooLarge    = errors.New("message too large")
	ErrMalformed   = errors.New("malformed message")
)

// Limits for the decoding of untrusted CBOR, and the size of the length before a frame.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 16
	frameHeaderBytes = 4
)

type rawEnvelope struct {
	Kind  Kind            `cbor:"1,keyasint"`
	From  ident.Instance  `cbor:"2,keyasint"`
	Stamp timeline.Stamp  `cbor:"3,keyasint"`
	Body  cbor.RawMessage `cbor:"4,keyasint"`
}

// Codec encodes and decodes registered messages. It is immutable once built and safe for
// concurrent use.
type Codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
	kinds   map[reflect.Type]Kind
	types   map[Kind]reflect.Type
}

// NewCodec returns a codec without registered message types.
func NewCodec() (*Codec, error) {
	encoder, err := cbor.EncOptions{Sort: cbor.SortNone, Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		return nil, fmt.Errorf("encoder: %w", err)
	}
	decoder, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("decoder: %w", err)
	}
	return &Codec{
		encoder: encoder,
		decoder: decoder,
		kinds:   map[reflect.Type]Kind{},
		types:   map[Kind]reflect.Type{},
	}, nil
}

// Register registers message type T under a kind. It panics if the kind is already registered.
func Register[T any](c *Codec, kind Kind) {
	messageType := reflect.TypeFor[T]()
	if _, registered := c.types[kind]; registered {
		panic(fmt.Sprintf("invariant: message kind %d registered twice", kind))
	}
	c.types[kind] = messageType
	c.kinds[messageType] = kind
}

// KindOf returns the kind of a message, or 0 if its type is not registered.
func (c *Codec) KindOf(body Message) Kind {
	messageType := reflect.TypeOf(body)
	if messageType.Kind() == reflect.Pointer {
		messageType = messageType.Elem()
	}
	return c.kinds[messageType]
}

// Encode returns the CBOR encoding of an envelope.
func (c *Codec) Encode(envelope Envelope) ([]byte, error) {
	kind := c.KindOf(envelope.Body)
	if kind == 0 {
		return nil, fmt.Errorf("%w: %T", ErrUnknownKind, envelope.Body)
	}
	body, err := c.encoder.Marshal(envelope.Body)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", envelope.Body, err)
	}
	return c.encoder.Marshal(rawEnvelope{Kind: kind, From: envelope.From, Stamp: envelope.Stamp, Body: body})
}

// Decode decodes an envelope; its body is a pointer to the registered type. The error is ErrMalformed or ErrUnknownKind.
func (c *Codec) Decode(data []byte) (Envelope, error) {
	var raw rawEnvelope
	if err := c.decoder.Unmarshal(data, &raw); err != nil {
		return Envelope{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	messageType, ok := c.types[raw.Kind]
	if !ok {
		return Envelope{}, fmt.Errorf("%w: %d", ErrUnknownKind, raw.Kind)
	}
	body := reflect.New(messageType)
	if err := c.decoder.Unmarshal(raw.Body, body.Interface()); err != nil {
		return Envelope{}, fmt.Errorf("%w: kind %d: %w", ErrMalformed, raw.Kind, err)
	}
	return Envelope{From: raw.From, Stamp: raw.Stamp, Body: body.Interface()}, nil
}

// WriteFrame writes the length of data as a 32-bit big-endian number, and then data.
func WriteFrame(w io.Writer, data []byte) error {
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	_, err := w.Write(append(frame, data...))
	return err
}

// ReadFrame reads one frame and returns its data, or ErrTooLarge if it has more than limit bytes. It returns io.EOF if
// the input ends before a frame, and io.ErrUnexpectedEOF if it ends within one.
func ReadFrame(r io.Reader, limit int) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if int64(length) > int64(limit) {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, length, limit)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	return data, nil
}
