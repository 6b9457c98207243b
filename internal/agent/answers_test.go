package agent

import (
	"bytes"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/callermem"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/relay"
)

// testMemory allows 400,000 bytes for requests and answers.
const testMemory = 1_000_000

func testID(number int) attempt.AttemptID {
	return attempt.AttemptID{Request: ident.Request(string(rune('a' + number)))}
}

// keepAnswer adds a job with an answer of some bytes that has ended.
func keepAnswer(c *qt.C, s *store, id attempt.AttemptID, bytes int, sent bool) {
	job := s.add(id, &relay.Payload{})
	c.Assert(job, qt.IsNotNil)
	s.beginStream(job)
	c.Assert(job.answer.Append(make([]byte, bytes)), qt.IsNil)
	s.end(job, time.Now())
	s.endStream(job, sent)
}

// Answers were kept for two minutes, whatever memory they took.
func TestKeptAnswersMakeRoom(t *testing.T) {
	c := qt.New(t)
	var dropped []bool
	s := newStore(testMemory, 100_000, func(sent bool) { dropped = append(dropped, sent) })
	keepAnswer(c, s, testID(0), 90_000, false)
	keepAnswer(c, s, testID(1), 90_000, true)
	keepAnswer(c, s, testID(2), 90_000, true)
	sending := s.add(testID(3), &relay.Payload{Body: make([]byte, 90_000)})
	s.beginStream(sending)
	for _, step := range []struct {
		dropped attempt.AttemptID
		room    bool
	}{{testID(1), true}, {testID(2), true}, {testID(0), true}, {testID(3), false}} {
		c.Assert(s.job(step.dropped), qt.IsNotNil)
		filler := &job{}
		s.mu.Lock()
		taken := s.takeLocked(filler, 85_000)
		s.mu.Unlock()
		c.Assert(taken, qt.Equals, step.room)
		c.Assert(s.job(step.dropped) == nil, qt.Equals, step.room)
	}
	c.Assert(dropped, qt.DeepEquals, []bool{true, true, false})
	c.Assert(s.add(testID(4), &relay.Payload{Body: make([]byte, 90_000)}), qt.IsNil)
	_, room := s.beginRun(sending, func() {})
	c.Assert(room, qt.IsFalse)
	c.Assert(sending.answer.Append(make([]byte, 90_000)), qt.ErrorIs, relay.ErrNoMemory)
	// The request makes room when its run has ended.
	s.returnRequest(sending)
	c.Assert(sending.answer.Append(make([]byte, 90_000)), qt.IsNil)
}

// A run whose answer finds no memory has run.
func TestAnswerWithoutMemoryIsInDoubt(t *testing.T) {
	c := qt.New(t)
	s := newStore(testMemory, testMemory, func(bool) {})
	job := s.add(testID(0), &relay.Payload{})
	writer := answerWriter{store: s, job: job}
	for _, length := range []int64{500_000, -1} {
		_, err := writer.reader(t.Context())(bytes.NewReader(make([]byte, 500_000)), length, testMemory)
		c.Assert(err, qt.ErrorIs, callermem.ErrFull)
		c.Assert(outcomeOfError(err, ""), qt.DeepEquals, outcome.InDoubt(outcome.CauseMemoryFull, ""))
	}
	err := writer.append(t.Context(), make([]byte, 500_000))
	c.Assert(outcomeOfError(err, ""), qt.DeepEquals, outcome.InDoubt(outcome.CauseMemoryFull, ""))
}

// The account holds what the jobs hold, and never more than its limit.
func TestStoreAccountsForItsJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore(testMemory, 100_000, func(bool) {})
		now := time.Unix(1_000_000, 0)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				s.add(testID(rapid.IntRange(0, 20).Draw(t, "job")), &relay.Payload{Body: make([]byte, rapid.IntRange(0, 100_000).Draw(t, "bytes"))})
			},
			"use": func(t *rapid.T) {
				job := s.job(testID(rapid.IntRange(0, 20).Draw(t, "job")))
				if job == nil {
					t.Skip()
				}
				switch rapid.IntRange(0, 4).Draw(t, "use") {
				case 0:
					s.beginStream(job)
				case 1:
					if job.streams > 0 {
						s.endStream(job, rapid.Bool().Draw(t, "sent"))
					}
				case 2:
					err := job.answer.Append(make([]byte, rapid.IntRange(0, 50_000).Draw(t, "bytes")))
					if err != nil && !errors.Is(err, relay.ErrNoMemory) && !errors.Is(err, relay.ErrAnswerTooLarge) {
						t.Fatal(err)
					}
				case 3:
					s.end(job, now)
				case 4:
					s.returnRequest(job)
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Minute)
				s.removeExpired(now)
			},
			"": func(t *rapid.T) {
				sum, droppable := int64(0), 0
				for _, job := range s.jobs {
					sum += job.held
					if !job.endedAt.IsZero() && job.streams == 0 {
						droppable++
					}
				}
				if sum != s.used || s.used > s.limit || droppable != s.sent.Len()+s.unsent.Len() {
					t.Fatalf("used %d of %d, jobs hold %d; %d may be dropped, listed %d and %d", s.used, s.limit, sum, droppable, s.sent.Len(), s.unsent.Len())
				}
			},
		})
	})
}
