package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/platform/standin"
)

const (
	// quarantineCause is the cause in the answer to a request that is refused because it crashed replicas.
	quarantineCause = string(outcome.CauseQuarantined)
	// crashRepeatInterval is the interval at which a caller repeats a crash request.
	crashRepeatInterval = 300 * time.Millisecond
	// A crash request is repeated for minCrashRepeats to maxCrashRepeats: past the stable window after the third crash.
	minCrashRepeats = 5 * time.Second
	maxCrashRepeats = 12 * time.Second
	// toleratedCrashes is the number of crashes by one request, and toleratedPartCrashes by requests that share a prompt
	// part, after which the platform allows only toleratedLateRuns further runs later than stableWindow.
	toleratedCrashes     = 3
	toleratedPartCrashes = 5
	toleratedLateRuns    = 3
	stableWindow         = 3 * time.Second
	// maxCrashCallers is the maximum number of callers that send a crash request at the same time.
	maxCrashCallers = 4
	// crashPartShare is the share of crash requests that differ from each other but for a prompt part.
	crashPartShare = 0.5
)

// crashRequests sends requests that crash each replica that runs them, and checks that entries stop running them.
type crashRequests struct {
	soak  *soak
	tasks sync.WaitGroup

	mu sync.Mutex
	// sends has all sends of crash requests.
	sends []crashSend
	// crashes has the times of the crashes, by the name of the request.
	crashes map[string][]time.Time
}

// crashSend is one send of a crash request.
type crashSend struct {
	name, id string
	// tolerated is toleratedCrashes or toleratedPartCrashes.
	tolerated int
	entry     *process
	sentAt    time.Time
	// entryStartedAt is when the entry's incarnation at the time of sending was started.
	entryStartedAt time.Time
	// status is the HTTP status; 0 without a response.
	status int
}

// newCrashRequests registers the crashes as faults on the replicas.
func newCrashRequests(s *soak) *crashRequests {
	c := &crashRequests{soak: s, crashes: map[string][]time.Time{}}
	var mu sync.Mutex
	spans := map[*standin.Replica]*faultSpan{}
	s.deployment.SetCrashHooks(func(replica *standin.Replica, name string) bool {
		if !s.reserve(replica) {
			return false
		}
		s.log("crash request " + name + " crashes " + replica.Name())
		span := s.faults.begin()
		s.faults.setTarget(span, replica.Name())
		mu.Lock()
		spans[replica] = span
		mu.Unlock()
		c.mu.Lock()
		c.crashes[name] = append(c.crashes[name], time.Now())
		c.mu.Unlock()
		s.replicaProxy(replica).close()
		return true
	}, func(replica *standin.Replica) {
		if err := s.replicaProxy(replica).listen(); err != nil {
			s.reportViolation("proxy of " + replica.Name() + " did not listen again: " + err.Error())
		}
		mu.Lock()
		s.faults.end(spans[replica])
		mu.Unlock()
		s.release(replica)
	})
	return c
}

// requestBuilder returns a crash request with an identifier.
type requestBuilder func(ctx context.Context, entry, id, credential string) (*http.Request, error)

// run sends one crash request after the other until the context ends, each repeatedly and to any entry. Some are different
// requests that share a prompt part.
func (c *crashRequests) run(ctx context.Context, random *rand.Rand) {
	defer c.tasks.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		kind := standin.RequestKind(random.IntN(int(standin.Probe)))
		name, tolerated := fmt.Sprintf("%d-%d", kind, number), toleratedCrashes
		build := func(ctx context.Context, entry, id, credential string) (*http.Request, error) {
			return standin.CrashRequest(ctx, entry, kind, name, id, credential)
		}
		if random.Float64() < crashPartShare {
			name, tolerated = standin.CrashPartName(number), toleratedPartCrashes
			build = func(ctx context.Context, entry, id, credential string) (*http.Request, error) {
				return standin.CrashPartRequest(ctx, entry, kind, number, id, credential)
			}
		}
		end := time.Now().Add(minCrashRepeats + time.Duration(random.Int64N(int64(maxCrashRepeats-minCrashRepeats))))
		callers := 1 + random.IntN(maxCrashCallers)
		for repeat := 0; time.Now().Before(end) && ctx.Err() == nil; repeat++ {
			if entry := c.soak.callers.pickReadyEntry(random); entry != nil {
				credential := c.soak.deployment.Credential(random, true)
				c.tasks.Go(func() {
					c.send(ctx, build, crashSend{name: name, id: fmt.Sprintf("crash-%s-%d", name, repeat), tolerated: tolerated, entry: entry}, credential)
				})
			}
			if repeat%callers == callers-1 {
				sleep(ctx, time.Duration(callers)*crashRepeatInterval)
			}
		}
	}
}

func (c *crashRequests) send(ctx context.Context, build requestBuilder, send crashSend, credential string) {
	ctx, cancel := context.WithTimeout(ctx, standin.RequestTimeout)
	defer cancel()
	request, err := build(ctx, send.entry.settings.Callers, send.id, credential)
	if err != nil {
		c.soak.reportViolation("failed to create a request: " + err.Error())
		return
	}
	send.sentAt, send.entryStartedAt = time.Now(), send.entry.currentStart()
	client := newClient()
	defer client.CloseIdleConnections()
	c.soak.deployment.Arrivals.RecordSent(request)
	// An error means that the entry or the caller ended the connection. The checks use the replicas' runs.
	if response, err := client.Do(request); err == nil {
		if _, err := io.Copy(io.Discard, response.Body); err == nil {
			send.status = response.StatusCode
		}
		_ = response.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends = append(c.sends, send)
}

// check checks that no request that was refused as not run has run, and that entries with a working connection to the
// store and without a fault of their own stop running a request after its last tolerated crash.
func (c *crashRequests) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := map[string]int{}
	for _, send := range c.sends {
		runs := c.soak.deployment.RunLog.Runs(send.id)
		if meansNotRun(send.status) && len(runs) > 0 {
			c.soak.reportViolation(fmt.Sprintf("crash request %s at %s got status %d, which means not run, but ran at %s", send.id, send.entry.settings.Name, send.status, runs[0].InstanceID))
		}
		crashes := c.crashes[send.name]
		if len(crashes) < send.tolerated {
			continue
		}
		bound := crashes[send.tolerated-1].Add(stableWindow)
		late[send.name] += len(slices.DeleteFunc(runs, func(run standin.Run) bool {
			return run.StartedAt.Before(bound) || c.excused(&send, run.StartedAt)
		}))
	}
	for name, crashes := range c.crashes {
		c.soak.log(fmt.Sprintf("crash request %s: %d crashes, %d late runs", name, len(crashes), late[name]))
		if late[name] > toleratedLateRuns {
			c.soak.reportViolation(fmt.Sprintf("crash request %s ran %d times later than %s after the last tolerated crash, and crashed %d replicas", name, late[name], stableWindow, len(crashes)))
		}
	}
}

// excused reports whether the entry was started or affected by a fault within stableWindow before a run.
func (c *crashRequests) excused(send *crashSend, runAt time.Time) bool {
	since := runAt.Add(-stableWindow)
	return send.entryStartedAt.After(since) || c.soak.faults.affected(since, runAt, send.entry.settings.Name, storeTarget)
}

// total returns the number of crashes.
func (c *crashRequests) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, crashes := range c.crashes {
		total += len(crashes)
	}
	return total
}
