package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bramleyspool/bramleyspool/platform/standin"
)

const (
	// longPostings is the number of long postings beside a planned stop of an entry.
	longPostings = 6
	// longBodyBytes is the size of their bodies.
	longBodyBytes = 4096
	// stopLead is how long before a planned stop the first long postings are sent.
	stopLead = 300 * time.Millisecond
	// stopIntake is how long after SIGTERM callers still open connections: the balancer takes out an entry that is not ready.
	stopIntake = 2300 * time.Millisecond
)

// stops sends long postings and further signals to entries that are stopped as planned.
type stops struct {
	soak *soak
	// spawn runs a function that may last until the end of the soak.
	spawn func(work func(ctx context.Context))
	ids   sync.Mutex
	last  int
}

// accompany begins long postings to an entry that is about to be stopped. Their bodies are complete at any time of the stop. It also
// sends further signals, in series. It returns when the stop is to begin.
func (s *stops) accompany(ctx context.Context, entry *process, random *rand.Rand) {
	began := time.Now().Add(stopLead)
	within := func(from, to time.Duration) time.Time {
		return began.Add(from + time.Duration(random.Int64N(int64(to-from))))
	}
	for range longPostings {
		sent := within(-stopLead, stopIntake)
		call := &callRecord{
			id: s.nextID(), kind: standin.Posting, variant: long, entry: entry, credential: s.soak.deployment.Credential(random, true),
			secondHalf: sent.Add(time.Duration(random.Int64N(int64(standin.StopBound)))),
		}
		s.spawn(func(ctx context.Context) {
			sleep(ctx, time.Until(sent))
			client := newClient()
			defer client.CloseIdleConnections()
			s.soak.callers.call(ctx, client, call)
		})
	}
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		at := within(50*time.Millisecond, stopIntake)
		incarnation := entry.currentIncarnation()
		s.spawn(func(ctx context.Context) {
			sleep(ctx, time.Until(at))
			entry.signalIncarnation(incarnation, signal)
		})
	}
	sleep(ctx, time.Until(began))
}

func (s *stops) nextID() string {
	s.ids.Lock()
	defer s.ids.Unlock()
	s.last++
	return fmt.Sprintf("long-%d", s.last)
}

// halvedBody returns the body of a long posting, whose second half comes at its time.
func (call *callRecord) halvedBody(ctx context.Context) io.Reader {
	reader, writer := io.Pipe()
	half := []byte(strings.Repeat("x", longBodyBytes/2))
	go func() {
		// An error means that the response came before the whole body was sent.
		if _, err := writer.Write(half); err != nil {
			return
		}
		sleep(ctx, time.Until(call.secondHalf))
		_, _ = writer.Write(half)
		_ = writer.Close()
	}()
	return reader
}
