package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bramleyspool/bramleyspool/platform/standin"
)

// Intervals of the callers and tolerances of the checks.
const (
	readinessInterval = 100 * time.Millisecond
	probeInterval     = 150 * time.Millisecond
	// meanThinkTime is a caller's mean pause between two requests.
	meanThinkTime = 15 * time.Millisecond
	// requestsPerEntry is the mean number of consecutive requests that a caller sends to one entry. The caller
	// checks the entry's readiness only when it chooses the entry, so that it also sends requests to a stopping one.
	requestsPerEntry = 20
	// schedulingMargin is the additional latency that the checks tolerate, since the machine runs dozens of processes.
	schedulingMargin = 1500 * time.Millisecond
	// sharedRequestInterval is the mean number of requests of a caller per shared request, which has the same path and
	// body as those of other callers.
	sharedRequestInterval = 8
)

// allKinds are the kinds of requests of usual callers. Only probeVersions sends Probe.
var allKinds = []standin.RequestKind{standin.Lookup, standin.Posting, standin.Draft}

// callRecord is a caller's request and its response.
type callRecord struct {
	id, credential string
	variant        variant
	// kind determines the checks: a Posting may run at most once, and the response to a Draft is an event stream.
	kind            standin.RequestKind
	entry           *process
	sentAt, endedAt time.Time
	// status is the HTTP status, or 0 if there was no response.
	status int
	body   string
	err    error
	// retryAfter is the time after which the response allows a repeat.
	retryAfter time.Duration
	// secondHalf is when the caller of a long posting sends the second half of its body.
	secondHalf time.Time
	// behindClose is true if the request was sent behind one whose response announced that the connection closes.
	behindClose bool
	// exempt is true if the caller ended the call at the end of the soak, or the entry stopped as planned or was not reached.
	exempt bool
}

// variant is a variant of the requests of a kind.
type variant int

const (
	usual variant = iota
	// shared requests have the same path and body as those of other callers.
	shared
	// bulk requests are of the least urgent class and of a customer of their own.
	bulk
	// large streams have large events, which their callers read slowly.
	large
	// long postings run for long, and their callers send the second half of the body later.
	long
)

// callers send requests over persistent connections, poll the entries' readiness and check the responses.
type callers struct {
	soak      *soak
	entries   []*process
	idCounter atomic.Uint64
	// Number of calls by outcome, for the summary. failed includes calls without a response.
	served, refused, failed atomic.Int64

	mu    sync.Mutex
	ready map[*process]bool
	// atMostOnce are the calls that may run at most once. notRun are the calls of all kinds whose status states that they have
	// not run and never will, or that came behind a response which announced that the connection closes.
	atMostOnce, notRun []callRecord
	// calls are all calls and probes, without the bodies of their responses.
	calls []callRecord
}

// run is one caller: it sends one request after the other, of random kinds, until the context ends.
func (c *callers) run(ctx context.Context, name string, kinds []standin.RequestKind, thinkTime time.Duration, random *rand.Rand) {
	client := newClient()
	defer client.CloseIdleConnections()
	var entry *process
	for ctx.Err() == nil {
		if entry == nil || random.IntN(requestsPerEntry) == 0 {
			entry = c.pickReadyEntry(random)
		}
		if entry == nil {
			time.Sleep(readinessInterval)
			continue
		}
		kind := pickRandom(random, kinds)
		// For checkRevoked, one request in 20 has a revoked credential if there is one.
		valid := random.IntN(20) > 0
		call := &callRecord{
			id: fmt.Sprintf("%s-%d", name, c.idCounter.Add(1)), kind: kind, entry: entry,
			credential: c.soak.deployment.Credential(random, valid),
		}
		if random.IntN(sharedRequestInterval) == 0 {
			call.variant = shared
		}
		c.call(ctx, client, call)
		if call.err != nil {
			entry = nil
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * thinkTime))))
	}
}

// newClient returns a client with its own connection pool, so that callers share no connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
}

// call sends a request, checks the response and records it for checkRuns.
func (c *callers) call(soakCtx context.Context, client *http.Client, call *callRecord) {
	timeout := standin.RequestTimeout
	if call.variant == long {
		timeout = standin.LongTimeout
	}
	ctx, cancel := context.WithTimeout(soakCtx, timeout)
	defer cancel()
	request, err := call.request(ctx)
	if err != nil {
		c.soak.reportViolation("failed to create a request: " + err.Error())
		return
	}
	request.GetBody = nil // without it, the transport cannot resend the request
	incarnation := call.entry.currentIncarnation()
	call.sentAt = time.Now()
	c.soak.deployment.Arrivals.RecordSent(request)
	response, err := client.Do(request)
	if err != nil {
		call.err = err
	} else {
		defer response.Body.Close()
		body, readErr := call.read(response.Body)
		call.retryAfter = retryAfter(response)
		call.status, call.body, call.err = response.StatusCode, string(body), readErr
		c.checkAnswer(call, response)
	}
	call.endedAt = time.Now()
	_, planned := call.entry.plannedStopOf(incarnation)
	call.exempt = soakCtx.Err() != nil || planned || errors.Is(call.err, syscall.ECONNREFUSED)
	c.countOutcome(call)
	c.checkPlannedStop(call, incarnation, ctx.Err() != nil)
	c.checkKnown(call)
	c.record(call)
	c.keep(call)
}

// request returns the HTTP request of the call.
func (call *callRecord) request(ctx context.Context) (*http.Request, error) {
	switch call.variant {
	case shared:
		return standin.SharedRequest(ctx, call.entry.settings.Callers, call.kind, call.id, call.credential)
	case bulk:
		return standin.BulkRequest(ctx, call.entry.settings.Callers, call.id)
	case large:
		return standin.LargeStreamRequest(ctx, call.entry.settings.Callers, call.id, call.credential)
	case long:
		return standin.LongPosting(ctx, call.entry.settings.Callers, call.id, call.credential, call.halvedBody(ctx), longBodyBytes)
	case usual:
	}
	return standin.Request(ctx, call.entry.settings.Callers, call.kind, call.id, call.credential, 0)
}

func (c *callers) countOutcome(call *callRecord) {
	switch {
	case call.err == nil && call.status == http.StatusOK:
		c.served.Add(1)
	case call.err == nil && meansNotRun(call.status):
		c.refused.Add(1)
	default:
		c.failed.Add(1)
		c.soak.log(fmt.Sprintf("failed: request %s at %s, sent at %s, status %d, error %v", call.id, call.entry.settings.Name,
			call.sentAt.UTC().Format(time.RFC3339Nano), call.status, call.err))
	}
}

// meansNotRun reports whether a status states that the request has not run and never will.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkAnswer checks that a success status comes with a replica's complete answer to this request, and that the request
// is not refused as if it had crashed replicas.
func (c *callers) checkAnswer(call *callRecord, response *http.Response) {
	if strings.Contains(call.body, quarantineCause) && !standin.Signed(response) {
		c.soak.reportViolation(fmt.Sprintf("request %s at %s: refused as one that crashes replicas: %s", call.id, call.entry.settings.Name, call.body))
	}
	if call.status < 200 || call.status > 299 || call.err != nil {
		return
	}
	problem := ""
	switch {
	case !standin.Signed(response):
		problem = "success status without the signature header that replicas set"
	case standin.RequestIDOf(response) != call.id:
		problem = "received the answer to request " + standin.RequestIDOf(response)
	case call.kind == standin.Draft:
		problem = standin.StreamFault(call.body)
	case call.body != standin.PlainBody(call.id):
		problem = "success status with an unexpected body"
	}
	if problem != "" {
		c.soak.reportViolation(fmt.Sprintf("request %s at %s: %s", call.id, call.entry.settings.Name, problem))
	}
}

// checkPlannedStop checks that a planned stop of an entry aborts no request: a request that was sent before the stop,
// or that has reached a replica, must get a complete response. Exempt are requests whose connection was
// refused, since they never reached the entry, and requests that the caller ended at its timeout or at the end of the
// soak. A request is also exempt if a fault affected its entry or a replica that ran it. If the request did not run, a
// fault at any replica exempts it.
func (c *callers) checkPlannedStop(call *callRecord, incarnation int, timedOut bool) {
	stoppedAt, planned := call.entry.plannedStopOf(incarnation)
	if call.err == nil || timedOut || !planned || errors.Is(call.err, syscall.ECONNREFUSED) {
		return
	}
	runs := c.soak.deployment.RunLog.Runs(call.id)
	related := append(c.replicasOf(runs), call.entry.settings.Name)
	if call.sentAt.After(stoppedAt) && len(runs) == 0 || c.soak.faults.affected(call.sentAt.Add(-schedulingMargin), time.Now(), related...) {
		return
	}
	c.soak.reportViolation(fmt.Sprintf("request %s was aborted by the planned stop of entry %s: %v", call.id, call.entry.settings.Name, call.err))
}

// checkKnown checks that the outcome of each call is known if there is planned work only: no server breaks off an answer.
func (c *callers) checkKnown(call *callRecord) {
	if c.soak.options.PlannedOnly && call.err == nil && (call.status == http.StatusBadGateway || call.status == http.StatusGatewayTimeout) {
		c.soak.reportViolation(fmt.Sprintf("request %s at %s: status %d without a fault: %s", call.id, call.entry.settings.Name, call.status, call.body))
	}
}

// replicasOf returns the names of the replicas that ran a request, and of all ranks of their groups: a group that has lost a rank runs
// nothing. A request without a run may have been waiting for any replica, so that the names of all replicas are returned for it.
func (c *callers) replicasOf(runs []standin.Run) []string {
	var names []string
	for _, run := range runs {
		names = append(names, run.ReplicaName())
		for _, group := range c.soak.deployment.Groups {
			if ranks := group.RankNames(); slices.Contains(ranks, run.ReplicaName()) {
				names = append(names, ranks...)
			}
		}
	}
	if len(runs) > 0 {
		return names
	}
	for _, replica := range c.soak.replicas() {
		names = append(names, replica.Name())
	}
	return names
}

// keep stores a call, without the body of its response, for the checks of zones and of cold replicas.
func (c *callers) keep(call *callRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := *call
	kept.body = ""
	c.calls = append(c.calls, kept)
}

// record stores a call for checkRuns if it may run at most once, and calls checkRevoked for every call.
func (c *callers) record(call *callRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.kind == standin.Posting {
		c.atMostOnce = append(c.atMostOnce, *call)
	}
	if call.err == nil && meansNotRun(call.status) || call.behindClose {
		c.notRun = append(c.notRun, *call)
	}
	c.checkRevoked(call)
}

// checkRevoked checks that a request did not run if it was sent RevocationBound or more after its credential was
// revoked.
func (c *callers) checkRevoked(call *callRecord) {
	at, revoked := c.soak.deployment.RevokedAt(call.credential)
	if !revoked || call.sentAt.Sub(at) < standin.RevocationBound {
		return
	}
	if len(c.soak.deployment.RunLog.Runs(call.id)) > 0 {
		c.soak.reportViolation(fmt.Sprintf("request %s ran, sent %s after its credential was revoked", call.id, call.sentAt.Sub(at)))
	}
}

// checkRuns checks the replicas' runs at the end of the soak, since a run may start long after the caller's response.
func (c *callers) checkRuns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	runLog := c.soak.deployment.RunLog
	for _, call := range c.atMostOnce {
		if runs := runLog.Runs(call.id); len(runs) > 1 {
			c.soak.reportViolation(fmt.Sprintf("request %s at %s ran %d times", call.id, call.entry.settings.Name, len(runs)))
		}
	}
	for _, call := range c.notRun {
		if runs := runLog.Runs(call.id); len(runs) > 0 {
			c.soak.reportViolation(fmt.Sprintf("request %s at %s got status %d and error %v, which means not run, but ran at %s", call.id, call.entry.settings.Name, call.status, call.err, runs[0].InstanceID))
		}
	}
	// Only the calls that may run at most once are stored, so that checkRun covers no others.
	for _, call := range c.atMostOnce {
		for _, run := range runLog.Runs(call.id) {
			c.checkRun(call, run)
		}
	}
}

// checkRun checks that the replica did not receive the caller's credential, and that the run did not start more than
// LeavingBound after the replica had announced that it leaves.
func (c *callers) checkRun(call callRecord, run standin.Run) {
	if run.CredentialForwarded {
		c.soak.reportViolation(fmt.Sprintf("request %s was forwarded to %s with the caller's credential", call.id, run.InstanceID))
	}
	announcedAt, leaving := c.soak.deployment.LeavingSince(run.InstanceID)
	late := announcedAt.Add(standin.LeavingBound + schedulingMargin)
	if leaving && run.StartedAt.After(late) && !c.soak.faults.affected(announcedAt.Add(-schedulingMargin), run.StartedAt, storeTarget, run.ReplicaName(), call.entry.settings.Name) {
		c.soak.reportViolation(fmt.Sprintf("request %s was sent to %s %s after the replica announced that it leaves", call.id, run.InstanceID, run.StartedAt.Sub(announcedAt)))
	}
}

// pickReadyEntry returns a random entry among the ready ones, or nil if none is ready.
func (c *callers) pickReadyEntry(random *rand.Rand) *process {
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

// pollReadiness polls the readiness endpoint of each entry, as the platform's balancer does.
func (c *callers) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for _, entry := range c.entries {
			ready := false
			if response, err := client.Get("http://" + entry.settings.Ready + "/ready"); err == nil {
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

// probeVersions checks that an incarnation of an entry, once it has put a version of the configuration in force, does
// not return to an older one. Each version has a route of its own, which the probes request.
func (c *callers) probeVersions(ctx context.Context, entry *process) {
	client := newClient()
	defer client.CloseIdleConnections()
	confirmed, incarnation := uint64(0), 0
	for ctx.Err() == nil {
		before := entry.currentIncarnation()
		if before != incarnation {
			confirmed, incarnation = 0, before // a restarted entry may have no configuration yet
		}
		version := c.soak.deployment.Version()
		status := c.probeOnce(ctx, client, entry, version)
		if entry.currentIncarnation() == before {
			switch {
			case status == http.StatusOK:
				confirmed = max(confirmed, version)
			case status == http.StatusNotFound && confirmed >= version:
				c.soak.reportViolation(fmt.Sprintf("%s had put version %d in force and answers its route with status 404", entry.settings.Name, version))
			}
		}
		time.Sleep(probeInterval)
	}
}

// probeOnce requests the route of a version and returns the status. It returns 0 if there is no response, or if a newer
// version was published in the meantime.
func (c *callers) probeOnce(ctx context.Context, client *http.Client, entry *process, version uint64) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	id := fmt.Sprintf("p-%s-%d", entry.settings.Name, c.idCounter.Add(1))
	c.keep(&callRecord{id: id, kind: standin.Probe, entry: entry, sentAt: time.Now()})
	request, err := standin.Request(ctx, entry.settings.Callers, standin.Probe, id, "", version)
	if err != nil {
		c.soak.reportViolation("failed to create a request: " + err.Error())
		return 0
	}
	c.soak.deployment.Arrivals.RecordSent(request)
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if c.soak.deployment.Version() != version {
		return 0 // the route is missing in a newer version, which may be in force
	}
	return response.StatusCode
}
