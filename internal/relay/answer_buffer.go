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

// maxDataBytes is the maximum size of the data that Copy passes to a sink in one call.
const maxDataBytes = 64 << 10

// Sink receives an answer from Execution.Copy.
type Sink interface {
	// Head receives the answer's status and header. It is called once, before the first Data.
	Head(head AnswerHead) error
	// Data receives the next part of the body. The offset is in bytes from the start of the body.
	Data(offset int64, data []byte) error
}

// Execution buffers the answer to one attempt: the agent fills it from the backend server,
// the entry from the agent's call stream. Since it keeps the whole answer, a broken stream is
// resumed at its offset without a second run. It is safe for concurrent use.
type Execution struct {
	// limit is the maximum size of the body in bytes.
	limit int

	mu sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	head    *AnswerHead
	body    []byte
	digest  hash.Hash
	ended   bool
	reply   attempt.Reply
}

// NewExecution returns an empty buffer for a body of up to limit bytes.
func NewExecution(limit int) *Execution {
	return &Execution{limit: limit, changed: make(chan struct{}), digest: sha256.New()}
}

// notifyReaders wakes the goroutines that wait in Copy. The caller must hold the lock.
func (e *Execution) notifyReaders() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Start sets the answer's status and header.
func (e *Execution) Start(head AnswerHead) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.head = &head
	e.notifyReaders()
}

// Append adds data to the body, or returns ErrAnswerTooLarge.
func (e *Execution) Append(data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.body)+len(data) > e.limit {
		return ErrAnswerTooLarge
	}
	e.body = append(e.body, data...)
	e.digest.Write(data)
	e.notifyReaders()
	return nil
}

// Answer returns the status, length and digest of the part buffered so far.
func (e *Execution) Answer() attempt.Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer := attempt.Answer{Length: int64(len(e.body)), Digest: attempt.Digest(e.digest.Sum(nil))}
	if e.head != nil {
		answer.Status = e.head.Status
	}
	return answer
}

// Content returns the head, which is nil before Start, and the body buffered so far. The caller
// must not modify the body.
func (e *Execution) Content() (*AnswerHead, []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.head, e.body
}

// End sets the final reply. Later calls have no effect.
func (e *Execution) End(reply attempt.Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	e.reply = reply
	e.notifyReaders()
}

// Ended reports whether the final reply is set.
func (e *Execution) Ended() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// Copy passes the head and the body from a byte offset on to the sink as data is appended. It
// returns the final reply, or the first error of the sink or the context.
func (e *Execution) Copy(ctx context.Context, offset int64, sink Sink) (attempt.Reply, error) {
	headSent := false
	for {
		current := e.next(offset)
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

// next returns at most maxDataBytes of the body from an offset on.
func (e *Execution) next(offset int64) readResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := readResult{head: e.head, ended: e.ended, reply: e.reply, changed: e.changed}
	if offset < int64(len(e.body)) {
		next.data = e.body[offset:min(int64(len(e.body)), offset+maxDataBytes)]
	}
	return next
}
