package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bramleyspool/bramleyspool/platform/standin"
)

// Times of callers and margins of checks. Margins cover the machine, which runs dozens of processes.
const (
	readinessInterval = 100 * time.Millisecond
	probeInterval     = 150 * time.Millisecond
	thinkTime         = 15 * time.Millisecond
	// requestsPerConnection is about how many requests a caller sends to one entry, also while it stops.
	requestsPerConnection = 20
	// machineMargin is the time that a request may take on its way on a busy machine.
	machineMargin = 1500 * time.Millisecond
)

// attempt is one request of a caller and what came of it.
type attempt struct {
	id, credential string
	kind           standin.RequestKind
	entry          *process
	sentAt         time.Time
	// status is 0 if there was no answer.
	status int
	body   string
	err    error
}

// callers send requests over connections that they keep until the other side closes them.
type callers struct {
	soak    *soak
	entries []*process
	serial  atomic.Uint64
	// counts of outcomes, for the summary.
	served, refused, failed atomic.Int64

	mu    sync.Mutex
	ready map[*process]bool
	// kept are the requests that must not have run more than once, or not at all.
	once, never []attempt
}

func (c *callers) run(ctx context.Context, number int, random *rand.Rand) {
	client := newClient()
	defer client.CloseIdleConnections()
	var entry *process
	for ctx.Err() == nil {
		if entry == nil || random.IntN(requestsPerConnection) == 0 {
			entry = c.pick(random)
		}
		if entry == nil {
			time.Sleep(readinessInterval)
			continue
		}
		kind := standin.RequestKind(random.IntN(int(standin.Probe)))
		valid := random.IntN(20) > 0
		a := &attempt{
			id: fmt.Sprintf("r%d-%d", number, c.serial.Add(1)), kind: kind, entry: entry,
			credential: c.soak.deployment.Credential(random, valid),
		}
		c.call(ctx, client, a)
		if a.err != nil {
			entry = nil
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * thinkTime))))
	}
}

// newClient returns a client that never sends a request again by itself.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
}

func (c *callers) call(ctx context.Context, client *http.Client, a *attempt) {
	ctx, cancel := context.WithTimeout(ctx, standin.RequestTimeout)
	defer cancel()
	request, err := standin.Request(ctx, a.entry.place.Callers, a.kind, a.id, a.credential, 0)
	if err != nil {
		c.soak.breach("invariant: " + err.Error())
		return
	}
	request.GetBody = nil
	incarnation := a.entry.current()
	a.sentAt = time.Now()
	response, err := client.Do(request)
	if err != nil {
		a.err = err
	} else {
		defer response.Body.Close()
		body, readErr := io.ReadAll(response.Body)
		a.status, a.body, a.err = response.StatusCode, string(body), readErr
		c.checkAnswer(a, response)
	}
	c.count(a)
	c.checkStop(a, incarnation, ctx.Err() != nil)
	c.keep(a)
}

func (c *callers) count(a *attempt) {
	switch {
	case a.err == nil && a.status == http.StatusOK:
		c.served.Add(1)
	case a.err == nil && promisesNotRun(a.status):
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
}

// promisesNotRun reports whether a status says that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkAnswer checks that a success is a replica's whole answer to this request.
func (c *callers) checkAnswer(a *attempt, response *http.Response) {
	if a.status < 200 || a.status > 299 || a.err != nil {
		return
	}
	fault := ""
	switch {
	case !standin.Signed(response):
		fault = "a success without a replica's signature"
	case standin.RequestIDOf(response) != a.id:
		fault = "the answer to " + standin.RequestIDOf(response)
	case a.kind == standin.Draft:
		fault = standin.StreamFault(a.body)
	case a.body != standin.PlainBody(a.id):
		fault = "a success with another body"
	}
	if fault != "" {
		c.soak.breach(fmt.Sprintf("request %s at %s: %s", a.id, a.entry.place.Name, fault))
	}
}

// checkStop checks that a planned stop cuts nothing: a request that was sent before it, or that was passed on, gets a
// whole answer unless another fault had to do with it.
func (c *callers) checkStop(a *attempt, incarnation int, timedOut bool) {
	stoppedAt, planned := a.entry.stopOf(incarnation)
	if a.err == nil || timedOut || !planned || errors.Is(a.err, syscall.ECONNREFUSED) {
		return
	}
	runs := c.soak.deployment.Ledger.Runs(a.id)
	excuses := append(c.replicasOf(runs), a.entry.place.Name)
	if a.sentAt.After(stoppedAt) && len(runs) == 0 || c.soak.faults.disturbed(a.sentAt.Add(-machineMargin), time.Now(), excuses...) {
		return
	}
	c.soak.breach(fmt.Sprintf("request %s was cut by the planned stop of %s: %v", a.id, a.entry.place.Name, a.err))
}

// replicasOf returns the names of the replicas that ran a request, or of all if it may have waited for any of them.
func (c *callers) replicasOf(runs []standin.Run) []string {
	var names []string
	for _, run := range runs {
		names = append(names, run.Name())
	}
	if len(runs) > 0 {
		return names
	}
	for _, replica := range c.soak.replicas() {
		names = append(names, replica.Name())
	}
	return names
}

// keep keeps what must hold until the end of the soak.
func (c *callers) keep(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.kind == standin.Posting {
		c.once = append(c.once, *a)
	}
	if a.err == nil && promisesNotRun(a.status) && a.kind == standin.Posting {
		c.never = append(c.never, *a)
	}
	c.checkRevoked(a)
}

// checkRevoked checks that a credential that was taken away is of no use after its bound.
func (c *callers) checkRevoked(a *attempt) {
	at, revoked := c.soak.deployment.RevokedAt(a.credential)
	if !revoked || a.sentAt.Sub(at) < standin.RevocationBound {
		return
	}
	if len(c.soak.deployment.Ledger.Runs(a.id)) > 0 {
		c.soak.breach(fmt.Sprintf("request %s ran %s after its credential was taken away", a.id, a.sentAt.Sub(at)))
	}
}

// conclude checks at the end what may come late.
func (c *callers) conclude() {
	c.mu.Lock()
	defer c.mu.Unlock()
	ledger := c.soak.deployment.Ledger
	for _, a := range c.once {
		if runs := ledger.Runs(a.id); len(runs) > 1 {
			c.soak.breach(fmt.Sprintf("request %s at %s ran %d times", a.id, a.entry.place.Name, len(runs)))
		}
	}
	for _, a := range c.never {
		if runs := ledger.Runs(a.id); len(runs) > 0 {
			c.soak.breach(fmt.Sprintf("request %s at %s was said not to have run (%d) and ran at %s", a.id, a.entry.place.Name, a.status, runs[0].Replica))
		}
	}
	for _, a := range c.once {
		for _, run := range ledger.Runs(a.id) {
			c.checkRun(a, run)
		}
	}
}

// checkRun checks who ran a request, and for whom.
func (c *callers) checkRun(a attempt, run standin.Run) {
	if run.CredentialForwarded {
		c.soak.breach(fmt.Sprintf("request %s came to %s with the caller's credential", a.id, run.Replica))
	}
	left, leaves := c.soak.deployment.LeavingSince(run.Replica)
	late := left.Add(standin.LeavingBound + machineMargin)
	if leaves && run.StartedAt.After(late) && !c.soak.faults.disturbed(left.Add(-machineMargin), run.StartedAt, aboutStore, run.Name(), a.entry.place.Name) {
		c.soak.breach(fmt.Sprintf("request %s came to %s %s after its leaving was told", a.id, run.Replica, run.StartedAt.Sub(left)))
	}
}

func (c *callers) pick(random *rand.Rand) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ready []*process
	for _, entry := range c.entries {
		if c.ready[entry] {
			ready = append(ready, entry)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[random.IntN(len(ready))]
}

// watch stands in for the balancer: it looks at the entries' readiness.
func (c *callers) watch(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for _, entry := range c.entries {
			ready := false
			if response, err := client.Get("http://" + entry.place.Ready + "/ready"); err == nil {
				ready = response.StatusCode == http.StatusOK
				_ = response.Body.Close()
			}
			c.mu.Lock()
			c.ready[entry] = ready
			c.mu.Unlock()
		}
		time.Sleep(readinessInterval)
	}
}

// probe checks that a configuration that one process has put in force stays in force there.
func (c *callers) probe(ctx context.Context, entry *process) {
	client := newClient()
	defer client.CloseIdleConnections()
	seen, incarnation := uint64(0), 0
	for ctx.Err() == nil {
		before := entry.current()
		if before != incarnation {
			seen, incarnation = 0, before // it may know nothing yet
		}
		version := c.soak.deployment.Version()
		status := c.probeOnce(ctx, client, entry, version)
		if entry.current() == before {
			switch {
			case status == http.StatusOK:
				seen = max(seen, version)
			case status == http.StatusNotFound && seen >= version:
				c.soak.breach(fmt.Sprintf("%s put version %d in force and no longer knows its route", entry.place.Name, version))
			}
		}
		time.Sleep(probeInterval)
	}
}

// probeOnce returns the status of a request for a version's own route; 0 without an answer.
func (c *callers) probeOnce(ctx context.Context, client *http.Client, entry *process, version uint64) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	id := fmt.Sprintf("p-%s-%d", entry.place.Name, c.serial.Add(1))
	request, err := standin.Request(ctx, entry.place.Callers, standin.Probe, id, "", version)
	if err != nil {
		c.soak.breach("invariant: " + err.Error())
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if c.soak.deployment.Version() != version {
		return 0 // a newer version may be in force, which lacks the route
	}
	return response.StatusCode
}
