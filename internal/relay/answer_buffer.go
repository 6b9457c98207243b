package relay

import (
	"context"
	"crypto/sha256"
	"errors"
	"hash"
	"sync"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
)

// ErrAnswerTooLarge is returned by Append if the body would exceed the buffer's limit.
var ErrAnswerTooLarge = errors.New("answer exceeds the size limit of its buffer")

// ErrNoMemory is returned by Append if the process has no memory for the data.
var ErrNoMemory = errors.New("no memory for the answer")

// maxDataBytes is the maximum size of the data that Copy passes to a sink in one call.
const maxDataBytes = 64 << 10

// Sink receives an answer from the Copy method of its buffer.
type Sink interface {
	// Head receives the answer's status and header. It is called once, before the first Data.
	Head(head AnswerHead) error
	// Data receives the next part of the body. The offset is in bytes from the start of the body.
	Data(offset int64, data []byte) error
}

// AnswerBuffer buffers the answer to one attempt: the agent fills it from the backend server,
// the entry from the agent's call stream. Since it keeps the whole answer, a broken stream is
// resumed at its offset without a second run. It is safe for concurrent use.
type AnswerBuffer struct {
	// limit is the maximum size of the body in bytes.
	limit int
	// take takes memory for bytes of the body; nil if they are not accounted for.
	take func(bytes int64) bool

	mu sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	head    *AnswerHead
	body    AnswerBody
	digest  hash.Hash
	ended   bool
	reply   attempt.Reply
}

// NewAnswerBuffer returns an empty buffer for a body of up to limit bytes. take is called before memory is used for the body, and
// returns false if there is none; it may be nil.
func NewAnswerBuffer(limit int, take func(bytes int64) bool) *AnswerBuffer {
	return &AnswerBuffer{limit: limit, take: take, changed: make(chan struct{}), digest: sha256.New()}
}

// notifyReaders wakes the goroutines that wait in Copy. The caller must hold the lock.
func (b *AnswerBuffer) notifyReaders() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// SetHead sets the answer's status and header.
func (b *AnswerBuffer) SetHead(head AnswerHead) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = &head
	b.notifyReaders()
}

// Append adds parts to the body, all of them or none: then it returns ErrAnswerTooLarge or ErrNoMemory.
func (b *AnswerBuffer) Append(parts ...[]byte) error {
	added := 0
	for _, part := range parts {
		added += len(part)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.body.Len()+added > b.limit {
		return ErrAnswerTooLarge
	}
	if missing := b.body.missing(added); missing > 0 {
		if b.take != nil && !b.take(int64(missing)) {
			return ErrNoMemory
		}
		b.body.grow(missing)
	}
	for _, part := range parts {
		b.body.append(part)
		b.digest.Write(part)
	}
	b.notifyReaders()
	return nil
}

// Adopt makes data the body, whose memory has been taken and which must not be modified afterwards. The buffer must be empty. The error is
// that of Append.
func (b *AnswerBuffer) Adopt(data []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(data) > b.limit {
		return ErrAnswerTooLarge
	}
	b.body = AnswerBody{segments: []segment{{data: data}}, length: len(data)}
	b.digest.Write(data)
	b.notifyReaders()
	return nil
}

// Answer returns the status, length and digest of the part buffered so far.
func (b *AnswerBuffer) Answer() attempt.Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	answer := attempt.Answer{Length: int64(b.body.Len()), Digest: attempt.Digest(b.digest.Sum(nil))}
	if b.head != nil {
		answer.Status = b.head.Status
	}
	return answer
}

// Head returns the head; nil before SetHead.
func (b *AnswerBuffer) Head() *AnswerHead {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.head
}

// Content returns the head, which is nil before SetHead, and the body buffered so far.
func (b *AnswerBuffer) Content() (*AnswerHead, AnswerBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.head, b.body.snapshot()
}

// End sets the final reply. Later calls have no effect.
func (b *AnswerBuffer) End(reply attempt.Reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	b.reply = reply
	b.notifyReaders()
}

// Ended reports whether the final reply is set.
func (b *AnswerBuffer) Ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// Copy passes the head and the body from a byte offset on to the sink as data is appended. It
// returns the final reply, or the first error of the sink or the context.
func (b *AnswerBuffer) Copy(ctx context.Context, offset int64, sink Sink) (attempt.Reply, error) {
	headSent := false
	for {
		current := b.next(offset)
		if current.head != nil && !headSent {
			headSent = true
			if err := sink.Head(*current.head); err != nil {
				return attempt.Reply{}, err
			}
		}
		if len(current.data) > 0 {
			if err := sink.Data(offset, current.data); err != nil {
				return attempt.Reply{}, err
			}
			offset += int64(len(current.data))
			continue
		}
		if current.ended {
			return current.reply, nil
		}
		select {
		case <-current.changed:
		case <-ctx.Done():
			return attempt.Reply{}, ctx.Err()
		}
	}
}

// readResult is the state of the buffer as read from an offset.
type readResult struct {
	head    *AnswerHead
	data    []byte
	ended   bool
	reply   attempt.Reply
	changed chan struct{}
}

// next returns a part of the body from an offset on, of at most maxDataBytes.
func (b *AnswerBuffer) next(offset int64) readResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := readResult{head: b.head, ended: b.ended, reply: b.reply, changed: b.changed}
	if offset < int64(b.body.Len()) {
		data := b.body.from(int(offset))
		next.data = data[:min(len(data), maxDataBytes)]
	}
	return next
}
