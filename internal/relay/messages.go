// Package relay defines the messages that carry requests and answers on call streams between
// entries and agents, and the buffer that holds an answer on both sides.
package relay

import (
	"crypto/sha256"
	"net/http"
	"sort"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// HeaderField is one HTTP header field.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Payload is the caller's request. The entry sends it after the attempt.Dispatch on the same
// stream.
type Payload struct {
	Method string        `cbor:"1,keyasint"`
	Path   string        `cbor:"2,keyasint"`
	Header []HeaderField `cbor:"3,keyasint,omitempty"`
	Body   []byte        `cbor:"4,keyasint,omitempty"`
	// Stream is true if a model's answer is requested as server-sent events.
	Stream bool `cbor:"5,keyasint,omitempty"`
	// Model is true for a completion request to a model, false for a call of a plain service.
	Model bool `cbor:"6,keyasint,omitempty"`
	// Priority is the priority band of the request. Engines run band 0 first.
	Priority int `cbor:"7,keyasint,omitempty"`
	// Rank is the data-parallel rank that the request is sent to, counted from 1; 0 lets the
	// engine choose.
	Rank int `cbor:"8,keyasint,omitempty"`
	// Key is the idempotency key that the backend server receives; "" if the call has none.
	Key string `cbor:"9,keyasint,omitempty"`
}

// Digest returns the SHA-256 digest of method, path and body. A repeated request has the
// same digest.
func (p *Payload) Digest() attempt.Digest {
	hash := sha256.New()
	for _, part := range []string{p.Method, p.Path} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(p.Body)
	return attempt.Digest(hash.Sum(nil))
}

// AnswerHead is the first message of an answer.
type AnswerHead struct {
	ID     attempt.AttemptID `cbor:"1,keyasint"`
	Agent  ident.Instance    `cbor:"2,keyasint"`
	Status int               `cbor:"3,keyasint"`
	Header []HeaderField     `cbor:"4,keyasint,omitempty"`
}

// AnswerData carries a part of an answer's body. Offset is in bytes from the start of the body.
// The last message of an answer is an attempt.Reply with the length and digest of the body.
type AnswerData struct {
	ID     attempt.AttemptID `cbor:"1,keyasint"`
	Agent  ident.Instance    `cbor:"2,keyasint"`
	Offset int64             `cbor:"3,keyasint"`
	Bytes  []byte            `cbor:"4,keyasint"`
}

// LoadNote carries the agent's load. The agent sends it before the last message of an answer.
type LoadNote struct {
	Agent ident.Instance  `cbor:"1,keyasint"`
	Load  membership.Load `cbor:"2,keyasint"`
}

// Fields returns a header's fields sorted by name.
func Fields(header http.Header) []HeaderField {
	var fields []HeaderField
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, HeaderField{Name: name, Value: value})
		}
	}
	sort.SliceStable(fields, func(i, j int) bool { return fields[i].Name < fields[j].Name })
	return fields
}

// Header returns the fields as an http.Header.
func Header(fields []HeaderField) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		header.Add(field.Name, field.Value)
	}
	return header
}
