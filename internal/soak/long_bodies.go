package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleyspool/bramleyspool/platform/standin"
)

const (
	// longBodyLimit is the body limit of the deployment with long bodies, the largest that deployments set.
	longBodyLimit = 4 << 20
	// longBodyRate is the rate of long bodies at one entry: three times the 85 requests a second that 8 entries of a deployment get.
	longBodyRate = 3 * 85.0 / 8
	// uploadRate is the rate at which one caller sends a long body, in bytes a second.
	uploadRate = 3 << 19
	// shortRate is the rate of short requests of another customer.
	shortRate = 50.0
	// slowSenders is the number of callers that send a byte a second.
	slowSenders = 500
	// longBodyPhase is how long each load lasts.
	longBodyPhase = 10 * time.Second
	// maxShortLoss is how much smaller the share of short requests that are served may be than without other load.
	maxShortLoss = 0.02
	// entryCountTime is how long entries take to know how many of them there are.
	entryCountTime = 5 * time.Second
	memoryInterval = 50 * time.Millisecond
)

// longBodies sends long bodies of one customer to an entry, beside short requests of another one.
type longBodies struct {
	soak  *soak
	entry *process
	// served and refused are the numbers of long bodies by outcome.
	served, refused atomic.Int64
	ids             atomic.Int64
}

// run measures short requests alone, beside long bodies, and beside callers that send a byte a second. The entry must stay below its memory
// limit, each long request must get a response, and the short ones must be served as without them.
func (l *longBodies) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	workers.Go(func() { l.soak.callers.pollReadiness(ctx) })
	if !l.soak.awaitReady(ctx) {
		l.soak.reportViolation(fmt.Sprintf("no entry became ready within %s", startTimeout))
		return
	}
	sleep(ctx, entryCountTime)
	var peak atomic.Int64
	workers.Go(func() { l.watchMemory(ctx, &peak) })
	alone := l.sendShort(ctx)
	for _, load := range []struct {
		name string
		send func(ctx context.Context)
	}{{"long bodies", l.sendLong}, {"a byte a second", l.sendSlowly}} {
		loadCtx, end := context.WithCancel(ctx)
		var senders sync.WaitGroup
		senders.Go(func() { load.send(loadCtx) })
		beside := l.sendShort(ctx)
		end()
		senders.Wait()
		l.soak.log(fmt.Sprintf("%s: %.3f of short requests served, %.3f alone; %d long bodies served, %d refused; memory %d MB at most",
			load.name, beside, alone, l.served.Load(), l.refused.Load(), peak.Load()>>20))
		if ctx.Err() == nil && beside < alone-maxShortLoss {
			l.soak.reportViolation(fmt.Sprintf("%s: %.3f of short requests served, %.3f alone", load.name, beside, alone))
		}
	}
	fmt.Fprintf(l.soak.options.Out, "seed %d: %d long bodies served, %d refused, memory %d MB at most\n", l.soak.seed, l.served.Load(), l.refused.Load(), peak.Load()>>20)
	if peak.Load() >= standin.MemoryLimit {
		l.soak.reportViolation(fmt.Sprintf("%s used %d MB of memory", l.entry.settings.Name, peak.Load()>>20))
	}
	if ctx.Err() == nil && (l.served.Load() == 0 || l.refused.Load() == 0) {
		l.soak.reportViolation("the long bodies did not exceed the memory of the entry, or none was served")
	}
}

// each calls send at a rate until the context ends or longBodyPhase has passed, and waits for the calls.
func each(ctx context.Context, rate float64, send func()) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for end := time.After(longBodyPhase); ; {
		select {
		case <-ticker.C:
			calls.Go(send)
		case <-end:
			return
		case <-ctx.Done():
			return
		}
	}
}

// sendShort sends short requests for longBodyPhase and returns the share that was served.
func (l *longBodies) sendShort(ctx context.Context) float64 {
	client := newClient()
	defer client.CloseIdleConnections()
	var sent, served atomic.Int64
	each(ctx, shortRate, func() {
		sent.Add(1)
		id := fmt.Sprintf("short-%d", l.ids.Add(1))
		call := &callRecord{id: id, kind: standin.Lookup, entry: l.entry, credential: l.soak.deployment.Credential(rand.New(rand.NewPCG(l.soak.seed, 1)), true)}
		l.soak.callers.call(ctx, client, call)
		if call.err == nil && call.status == http.StatusOK {
			served.Add(1)
		}
	})
	return float64(served.Load()) / max(float64(sent.Load()), 1)
}

// sendLong sends long bodies until the context ends.
func (l *longBodies) sendLong(ctx context.Context) {
	each(ctx, longBodyRate, func() { l.post(uploadRate, longBodyLimit) })
}

// sendSlowly lets slowSenders callers begin a long body at once, of which they send a byte a second until the context ends.
func (l *longBodies) sendSlowly(ctx context.Context) {
	var senders sync.WaitGroup
	for range slowSenders {
		senders.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			id := fmt.Sprintf("slow-%d", l.ids.Add(1))
			request, err := standin.LongBody(ctx, l.entry.settings.Callers, id, &pacedBody{left: longBodyLimit, step: 1, pause: time.Second}, longBodyLimit)
			if err != nil {
				l.soak.reportViolation("failed to create a request: " + err.Error())
				return
			}
			response, err := client.Do(request)
			if err != nil {
				if ctx.Err() == nil {
					l.soak.reportViolation(fmt.Sprintf("request %s ended without a response: %v", id, err))
				}
				return
			}
			_ = response.Body.Close()
		})
	}
	senders.Wait()
}

// post sends one long body and checks its response.
func (l *longBodies) post(rate, length int64) {
	const pause = 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), standin.LongTimeout)
	defer cancel()
	client := newClient()
	defer client.CloseIdleConnections()
	id := fmt.Sprintf("body-%d", l.ids.Add(1))
	step := rate * int64(pause) / int64(time.Second)
	request, err := standin.LongBody(ctx, l.entry.settings.Callers, id, &pacedBody{left: length, step: step, pause: pause}, length)
	if err != nil {
		l.soak.reportViolation("failed to create a request: " + err.Error())
		return
	}
	response, err := client.Do(request)
	if err != nil {
		l.soak.reportViolation(fmt.Sprintf("request %s ended without a response: %v", id, err))
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		l.soak.reportViolation(fmt.Sprintf("the response to request %s is incomplete: %v", id, err))
	case response.StatusCode == http.StatusOK && standin.Signed(response):
		l.served.Add(1)
	case meansNotRun(response.StatusCode) && response.Header.Get("Retry-After") != "":
		l.refused.Add(1)
	default:
		l.soak.reportViolation(fmt.Sprintf("request %s: status %d: %s", id, response.StatusCode, text))
	}
}

// pacedBody is a body that is read a step at a time.
type pacedBody struct {
	left, step int64
	pause      time.Duration
}

// Read waits for the pause and returns a step of the body.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := min(int64(len(p)), b.step, b.left)
	b.left -= n
	return int(n), nil
}

// watchMemory sets peak to the greatest resident memory of the entry in bytes.
func (l *longBodies) watchMemory(ctx context.Context, peak *atomic.Int64) {
	for ctx.Err() == nil {
		used, err := l.entry.residentMemory()
		if err != nil {
			l.soak.reportViolation("failed to read the memory of " + l.entry.settings.Name + ": " + err.Error())
			return
		}
		peak.Store(max(peak.Load(), used))
		sleep(ctx, memoryInterval)
	}
}

// residentMemory returns the resident memory of the process in bytes.
func (p *process) residentMemory() (int64, error) {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, errors.New("statm has no second field")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
