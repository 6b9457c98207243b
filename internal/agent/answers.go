package agent

import (
	"container/list"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/callermem"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/relay"
	"github.com/bramleyspool/bramleyspool/internal/settings"
)

const (
	// answerRetention is how long an answer is kept after its end, so that entries can resume its stream.
	answerRetention = 2 * time.Minute
	// answerShare is the share of the process's memory that requests and answers may take. The rest is for the program, for the buffers
	// of streams and for what the garbage collector has not freed.
	answerShare = 0.4
	// jobBytes is the memory of a job besides its request and answer.
	jobBytes = 2 << 10
	// memoryWait is how long an answer waits for memory, and memoryInterval the interval at which it looks for it.
	memoryWait     = 2 * time.Second
	memoryInterval = 10 * time.Millisecond
	// memoryRetryAfter is how long callers wait after a refusal for memory: answers that their callers read are sent within it.
	memoryRetryAfter = time.Second
)

// job holds the request and the answer of an attempt at this agent.
type job struct {
	answer *relay.AnswerBuffer
	// load is the agent's load at the time of the final reply; nil before.
	load atomic.Pointer[membership.Load]

	// The fields below belong to the store.

	id attempt.AttemptID
	// payload is the request; nil after its run has ended.
	payload *relay.Payload
	// cancel cancels the run; nil before it starts.
	cancel context.CancelFunc
	// held is the memory that is taken for the job.
	held int64
	// endedAt is the time of the final reply; zero before.
	endedAt time.Time
	// streams is the number of call streams that send the answer. sent is true after one of them has sent all of it.
	streams int
	sent    bool
	// place is the place in one of the store's lists of droppable jobs; nil if the job is in none.
	place *list.Element
	// removed is true after the store has removed the job.
	removed bool
}

func (j *job) replyLoad() *membership.Load { return j.load.Load() }

// store has the jobs of an agent and accounts for their memory. If there is no room, it drops answers that no stream sends at present:
// entries rarely ask for these again.
type store struct {
	mu          sync.Mutex
	answerLimit int
	limit, used int64
	jobs        map[attempt.AttemptID]*job
	// sent and unsent have the droppable jobs, by whether their answers have been sent completely. The first ones are dropped first.
	sent, unsent *list.List
	// onDropped is called for each answer that is dropped to make room, with whether it has been sent completely.
	onDropped func(sent bool)
}

// newStore returns a store for a process that may use memory in bytes, settings.DefaultMaxMemoryBytes if it is 0, and for answers of up to
// answerLimit bytes.
func newStore(memory int64, answerLimit int, onDropped func(sent bool)) *store {
	if memory == 0 {
		memory = settings.DefaultMaxMemoryBytes
	}
	return &store{
		answerLimit: answerLimit, limit: int64(answerShare * float64(memory)),
		jobs: map[attempt.AttemptID]*job{}, sent: list.New(), unsent: list.New(), onDropped: onDropped,
	}
}

// add registers an attempt. It returns the attempt's job, or nil if there is no memory for it.
func (s *store) add(id attempt.AttemptID, payload *relay.Payload) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.jobs[id]; known != nil {
		return known
	}
	created := &job{id: id, payload: payload}
	if !s.takeLocked(created, jobBytes+int64(len(payload.Body))) {
		return nil
	}
	created.answer = relay.NewAnswerBuffer(s.answerLimit, func(bytes int64) bool { return s.take(created, bytes) })
	s.jobs[id] = created
	return created
}

// job returns the job of an attempt; nil if there is none.
func (s *store) job(id attempt.AttemptID) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id]
}

// beginRun records how the job's run is canceled and returns its request. It returns false if there is no room for an answer of the greatest
// size, which the run could not keep.
func (s *store) beginRun(job *job, cancel context.CancelFunc) (*relay.Payload, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	job.cancel = cancel
	return job.payload, s.makeRoom(min(int64(s.answerLimit), s.limit/2))
}

// cancelOf returns the function that cancels the job's run; nil if it has not started.
func (s *store) cancelOf(job *job) context.CancelFunc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return job.cancel
}

// returnRequest returns the memory of the job's request.
func (s *store) returnRequest(job *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if job.payload == nil || job.removed {
		return
	}
	bytes := int64(len(job.payload.Body))
	job.payload = nil
	job.held -= bytes
	s.used -= bytes
}

// take takes memory for the job's answer. It returns false if there is none.
func (s *store) take(job *job, bytes int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !job.removed && s.takeLocked(job, bytes)
}

// takeLocked is take for callers that hold the lock.
func (s *store) takeLocked(job *job, bytes int64) bool {
	if !s.makeRoom(bytes) {
		return false
	}
	s.used += bytes
	job.held += bytes
	return true
}

// makeRoom drops answers until there is room for bytes. It returns false if there is not enough.
func (s *store) makeRoom(bytes int64) bool {
	for s.used+bytes > s.limit {
		oldest := s.sent.Front()
		if oldest == nil {
			oldest = s.unsent.Front()
		}
		if oldest == nil {
			return false
		}
		job := oldest.Value.(*job)
		s.remove(job)
		s.onDropped(job.sent)
	}
	return true
}

// beginStream records that a call stream sends the job's answer.
func (s *store) beginStream(job *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	job.streams++
	s.place(job)
}

// endStream records the end of a call stream. sent is true if it has sent the whole answer.
func (s *store) endStream(job *job, sent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	job.streams--
	job.sent = job.sent || sent
	s.place(job)
}

// end records the time of the job's final reply, after which it has no run.
func (s *store) end(job *job, now time.Time) {
	s.returnRequest(job)
	s.mu.Lock()
	defer s.mu.Unlock()
	if job.endedAt.IsZero() {
		job.endedAt = now
	}
	s.place(job)
}

// place puts the job into the list of droppable jobs to which it belongs, or takes it out.
func (s *store) place(job *job) {
	if job.place != nil {
		s.sent.Remove(job.place)
		s.unsent.Remove(job.place)
		job.place = nil
	}
	if job.endedAt.IsZero() || job.streams > 0 || job.removed {
		return
	}
	if job.sent {
		job.place = s.sent.PushBack(job)
	} else {
		job.place = s.unsent.PushBack(job)
	}
}

// remove removes a job and returns its memory.
func (s *store) remove(job *job) {
	job.removed = true
	s.place(job)
	s.used -= job.held
	job.held = 0
	delete(s.jobs, job.id)
}

// removeExpired removes the jobs that ended more than answerRetention ago and are not being sent.
func (s *store) removeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, job := range s.jobs {
		if job.place != nil && now.Sub(job.endedAt) > answerRetention {
			s.remove(job)
		}
	}
}

// memoryRefusal returns the outcome of a request for which, or for whose answer, there is no memory.
func memoryRefusal() outcome.Outcome {
	refusal := outcome.Refused(outcome.CauseMemoryFull)
	refusal.RetryAfter = memoryRetryAfter
	return refusal
}

// answerWriter writes the answer of a job's run. It waits for memory for up to memoryWait at a time.
type answerWriter struct {
	store *store
	job   *job
}

func (w answerWriter) setHead(head relay.AnswerHead) { w.job.answer.SetHead(head) }

// append adds data as relay.AnswerBuffer.Append does.
func (w answerWriter) append(ctx context.Context, data []byte) error {
	return waitForMemory(ctx, func() error { return w.job.answer.Append(data) })
}

// reader returns a function that reads the whole body of a response. adopt then makes it the answer's body.
func (w answerWriter) reader(ctx context.Context) platform.BodyReader {
	take := func(bytes int64) bool {
		return waitForMemory(ctx, func() error {
			if !w.store.take(w.job, bytes) {
				return relay.ErrNoMemory
			}
			return nil
		}) == nil
	}
	return func(body io.Reader, length, limit int64) ([]byte, error) {
		return callermem.ReadAll(body, length, limit, take)
	}
}

// adopt makes what reader has read the answer's body.
func (w answerWriter) adopt(body []byte) error { return w.job.answer.Adopt(body) }

// waitForMemory repeats an attempt that fails with relay.ErrNoMemory for up to memoryWait.
func waitForMemory(ctx context.Context, attempt func() error) error {
	ctx, cancel := context.WithTimeout(ctx, memoryWait)
	defer cancel()
	for {
		err := attempt()
		if !errors.Is(err, relay.ErrNoMemory) {
			return err
		}
		select {
		case <-time.After(memoryInterval):
		case <-ctx.Done():
			return err
		}
	}
}
