package relay

import (
	"context"
	"crypto/sha256"
	"errors"
	"hash"
	"sync"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
)

// ErrAnswerTooLarge reports an answer that exceeds the buffer.
var ErrAnswerTooLarge = errors.New("answer too large")

const maxDataBytes = 64 << 10

// Sink takes an answer as it is read from an execution.
type Sink interface {
	// Head takes the answer's status and header; it is called before the first Data.
	Head(head AnswerHead) error
	// Data takes the next part of the body; offset counts from the start of the body.
	Data(offset int64, data []byte) error
}

// Execution is one run of a request on the backend server beside the agent. It buffers the
// whole answer, so that a broken stream goes on where it stopped without running again.
// It is safe for concurrent use.
type Execution struct {
	limit int

	mu      sync.Mutex
	changed chan struct{}
	head    *AnswerHead
	body    []byte
	digest  hash.Hash
	ended   bool
	reply   attempt.Reply
}

// NewExecution returns an execution that buffers up to limit bytes.
func NewExecution(limit int) *Execution {
	return &Execution{limit: limit, changed: make(chan struct{}), digest: sha256.New()}
}

// wake tells the readers that something changed; the lock is held.
func (e *Execution) wake() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Start sets the answer's status and header.
func (e *Execution) Start(head AnswerHead) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.head = &head
	e.wake()
}

// Append adds a part of the body.
func (e *Execution) Append(data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.body)+len(data) > e.limit {
		return ErrAnswerTooLarge
	}
	e.body = append(e.body, data...)
	e.digest.Write(data)
	e.wake()
	return nil
}

// Answer describes what was buffered so far.
func (e *Execution) Answer() attempt.Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer := attempt.Answer{Length: int64(len(e.body)), Digest: attempt.Digest(e.digest.Sum(nil))}
	if e.head != nil {
		answer.Status = e.head.Status
	}
	return answer
}

// Content returns the answer's head and body so far. The body must not be changed.
func (e *Execution) Content() (*AnswerHead, []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.head, e.body
}

// End sets the agent's last word. Later calls change nothing.
func (e *Execution) End(reply attempt.Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	e.reply = reply
	e.wake()
}

// Ended reports whether the agent's last word is known.
func (e *Execution) Ended() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// Copy gives the answer from an offset to the sink as it comes in, and returns the agent's
// last word. It ends early with the sink's error or the context's.
func (e *Execution) Copy(ctx context.Context, offset int64, sink Sink) (attempt.Reply, error) {
	headSent := false
	for {
		part := e.next(offset)
		if part.head != nil && !headSent {
			headSent = true
			if err := sink.Head(*part.head); err != nil {
				return attempt.Reply{}, err
			}
		}
		if len(part.data) > 0 {
			if err := sink.Data(offset, part.data); err != nil {
				return attempt.Reply{}, err
			}
			offset += int64(len(part.data))
			continue
		}
		if part.ended {
			return part.reply, nil
		}
		select {
		case <-part.changed:
		case <-ctx.Done():
			return attempt.Reply{}, ctx.Err()
		}
	}
}

type part struct {
	head    *AnswerHead
	data    []byte
	ended   bool
	reply   attempt.Reply
	changed chan struct{}
}

func (e *Execution) next(offset int64) part {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := part{head: e.head, ended: e.ended, reply: e.reply, changed: e.changed}
	if offset < int64(len(e.body)) {
		next.data = e.body[offset:min(int64(len(e.body)), offset+maxDataBytes)]
	}
	return next
}
