package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/platform/standin"
)

const (
	// A crowd of crowdCallersPerEntry callers for each entry, at most maxCrowdCallers, lasts minCrowdTime to maxCrowdTime. With the
	// usual sizes of a soak it is about twice what the ranks run at a time.
	crowdCallersPerEntry = 18
	maxCrowdCallers      = 200
	minCrowdTime         = 1500 * time.Millisecond
	maxCrowdTime         = 4 * time.Second
	// A caller honours a Retry-After of up to a third of its time.
	maxRetryAfter = standin.RequestTimeout / 3
	// starvedShare is the share of the served requests of all below which a class counts as starved, if it had minJudgedCalls.
	starvedShare   = 0.25
	minJudgedCalls = 20
	// A slow reader reads slowReadBytes every slowReadPause: a large stream takes 1.5 s, which is well within RequestTimeout.
	slowReadBytes = 64 << 10
	slowReadPause = 15 * time.Millisecond
	slowReaders   = 2
	// slowReadBuffer is the receive buffer of slow readers, so that the entry must hold what they have not read.
	slowReadBuffer = 16 << 10
	// Each account is read every accountPause until it is conserved, at most for accountTime. The metrics page is updated every second,
	// and an update of the account may be seen in part until the next one.
	accountPause = 250 * time.Millisecond
	accountTime  = 2500 * time.Millisecond
)

// crowds sends bursts of requests of the least urgent class, and streams that are read slowly.
type crowds struct {
	soak *soak
	// bursts are the times of the bursts.
	bursts []burst
}

type burst struct{ from, to time.Time }

// run sends one burst after the other until the context ends.
func (c *crowds) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, between(random, 0, maxLoadPause))
		duration := between(random, minCrowdTime, maxCrowdTime)
		c.soak.log(fmt.Sprintf("the least urgent class is crowded for %s", duration))
		burstCtx, cancel := context.WithTimeout(ctx, duration)
		from := time.Now()
		var workers sync.WaitGroup
		for range min(crowdCallersPerEntry*len(c.soak.entries), maxCrowdCallers) {
			callerRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
			workers.Go(func() { c.crowdCaller(burstCtx, callerRandom) })
		}
		workers.Wait()
		cancel()
		c.bursts = append(c.bursts, burst{from, time.Now()})
	}
}

// crowdCaller sends one request after the other, and each refused one once more.
func (c *crowds) crowdCaller(ctx context.Context, random *rand.Rand) {
	client := newClient()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		entry := c.soak.callers.pickReadyEntry(random)
		if entry == nil {
			sleep(ctx, readinessInterval)
			continue
		}
		for range 2 {
			call := c.newCall("bulk", bulk, entry, standin.CrowdCredential)
			c.soak.callers.call(ctx, client, call)
			if call.err != nil || !meansNotRun(call.status) || call.retryAfter > maxRetryAfter {
				break
			}
			sleep(ctx, call.retryAfter)
		}
		sleep(ctx, between(random, 0, 2*meanThinkTime))
	}
}

func (c *crowds) newCall(name string, variant variant, entry *process, credential string) *callRecord {
	id := fmt.Sprintf("%s-%d", name, c.soak.callers.idCounter.Add(1))
	return &callRecord{id: id, kind: standin.Draft, variant: variant, entry: entry, credential: credential}
}

// runSlowReaders reads large streams slowly until the context ends.
func (c *crowds) runSlowReaders(ctx context.Context, random *rand.Rand) {
	var workers sync.WaitGroup
	for range slowReaders {
		callerRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
		workers.Go(func() {
			for ctx.Err() == nil {
				if entry := c.soak.callers.pickReadyEntry(callerRandom); entry != nil {
					c.readSlowly(ctx, c.newCall("slow", large, entry, c.soak.deployment.Credential(callerRandom, true)))
				}
				sleep(ctx, between(callerRandom, 0, maxLoadPause))
			}
		})
	}
	workers.Wait()
}

// readSlowly sends a request for a large stream, and checks that it is complete if it was begun, unless a fault affected the entry
// or a replica that ran it.
func (c *crowds) readSlowly(ctx context.Context, call *callRecord) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: dialSmallBuffer}}
	c.soak.callers.call(ctx, client, call)
	if call.status != http.StatusOK || call.err == nil || call.exempt || c.disturbed(call) {
		return
	}
	c.soak.reportViolation(fmt.Sprintf("slow stream %s at %s ended before it was complete, after %s and %d bytes: %v",
		call.id, call.entry.settings.Name, call.endedAt.Sub(call.sentAt), len(call.body), call.err))
}

// dialSmallBuffer opens a connection with a receive buffer of slowReadBuffer.
func dialSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(slowReadBuffer)
}

// read reads the body of the response, slowly if it is that of a large stream.
func (call *callRecord) read(body io.Reader) ([]byte, error) {
	if call.variant != large {
		return io.ReadAll(body)
	}
	var text []byte
	buffer := make([]byte, slowReadBytes)
	for {
		n, err := body.Read(buffer)
		text = append(text, buffer[:n]...)
		switch {
		case errors.Is(err, io.EOF):
			return text, nil
		case err != nil:
			return text, err
		}
		time.Sleep(slowReadPause * time.Duration(n) / slowReadBytes)
	}
}

// retryAfter returns the time in the header "Retry-After"; 0 without one.
func retryAfter(response *http.Response) time.Duration {
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

// disturbed reports whether a fault affected the entry of a call, a replica that ran it, or a rank of the same group, whose loss breaks
// the streams of all its ranks; any replica if it did not run.
func (c *crowds) disturbed(call *callRecord) bool {
	related := append(c.soak.callers.replicasOf(c.soak.deployment.RunLog.Runs(call.id)), call.entry.settings.Name)
	for _, group := range c.soak.deployment.Groups {
		names := group.RankNames()
		if slices.ContainsFunc(names, func(name string) bool { return slices.Contains(related, name) }) {
			related = append(related, names...)
		}
	}
	return c.soak.faults.affected(call.sentAt.Add(-schedulingMargin), call.endedAt, related...)
}

// check checks the calls during the bursts.
func (c *crowds) check() {
	for _, burst := range c.bursts {
		c.checkBurst(burst)
	}
}

// checkBurst checks that each call of another customer than the crowd's was served or truthfully refused during a burst, and that
// neither plain services nor the other customers' streams were starved.
func (c *crowds) checkBurst(burst burst) {
	const all, plain, streams, crowd = 0, 1, 2, 3
	var calls, served [4]int
	for i := range c.soak.callers.calls {
		call := &c.soak.callers.calls[i]
		_, revoked := c.soak.deployment.RevokedAt(call.credential)
		if call.kind == standin.Probe || call.sentAt.Before(burst.from) || call.sentAt.After(burst.to) || call.exempt || revoked || c.disturbed(call) {
			continue
		}
		class := plain
		switch {
		case call.variant == bulk:
			class = crowd
		case call.kind == standin.Draft:
			class = streams
		}
		ok := call.err == nil && call.status == http.StatusOK
		if class != crowd && !ok && !c.refusedTruthfully(call) {
			c.soak.reportViolation(fmt.Sprintf("request %s at %s during a crowd of others was neither served nor truthfully refused: status %d, %v",
				call.id, call.entry.settings.Name, call.status, call.err))
		}
		// A restored store lacks the newest credentials, and an entry may read them late. That says nothing about capacity.
		if call.status == http.StatusUnauthorized {
			continue
		}
		for _, counted := range []int{all, class} {
			calls[counted]++
			if ok {
				served[counted]++
			}
		}
	}
	c.soak.log(fmt.Sprintf("crowd of %s: %d of %d calls served; plain services %d of %d, other customers' streams %d of %d",
		burst.to.Sub(burst.from), served[all], calls[all], served[plain], calls[plain], served[streams], calls[streams]))
	for _, class := range []int{plain, streams} {
		if calls[class] >= minJudgedCalls && served[class]*calls[all] < int(starvedShare*float64(served[all]*calls[class])) {
			c.soak.reportViolation(fmt.Sprintf("during a crowd %d of %d calls of a class were served, and %d of %d of all", served[class], calls[class], served[all], calls[all]))
		}
	}
}

// refusedTruthfully reports whether the response states that the request has not run, and no replica ran it.
func (c *crowds) refusedTruthfully(call *callRecord) bool {
	refused := meansNotRun(call.status) || call.status == http.StatusUnauthorized
	return call.err == nil && refused && len(c.soak.deployment.RunLog.Runs(call.id)) == 0
}

var (
	accountPattern = regexp.MustCompile(`(?m)^bramleyspool_account_calls\{(.*)\} (\S+)$`)
	labelPattern   = regexp.MustCompile(`(\w+)="([^"]*)"`)
)

// checkAccounts checks that the account of each entry on its metrics page is conserved: arrivals = served + not run + unknown + open.
func (c *crowds) checkAccounts(ctx context.Context) {
	var workers sync.WaitGroup
	for _, entry := range c.soak.entries {
		workers.Go(func() {
			problem := ""
			for end := time.Now().Add(accountTime); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, accountPause) {
				if problem = c.accountProblem(entry); problem == "" {
					return
				}
			}
			if ctx.Err() == nil {
				c.soak.reportViolation("account of " + entry.settings.Name + ": " + problem)
			}
		})
	}
	workers.Wait()
}

// accountProblem reads an entry's account and describes the first class that is not conserved; "" if all are.
func (c *crowds) accountProblem(entry *process) string {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", entry.settings.IP, metricsPort))
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	page, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	differences, arrivals := accountDifferences(string(page))
	for class, difference := range differences {
		if difference != 0 {
			return fmt.Sprintf("class %s has %g more arrivals than outcomes and open calls", class, difference)
		}
	}
	c.soak.log(fmt.Sprintf("account of %s: %g arrivals in %d classes", entry.settings.Name, arrivals, len(differences)))
	return ""
}

// accountDifferences returns the arrivals less outcomes and open calls in a metrics page, by customer and class, and all arrivals.
func accountDifferences(page string) (differences map[string]float64, arrivals float64) {
	differences = map[string]float64{}
	for _, match := range accountPattern.FindAllStringSubmatch(page, -1) {
		labels := map[string]string{}
		for _, label := range labelPattern.FindAllStringSubmatch(match[1], -1) {
			labels[label[1]] = label[2]
		}
		count, _ := strconv.ParseFloat(match[2], 64)
		class := labels["customer"] + "/" + labels["class"]
		if labels["state"] == "arrivals" {
			arrivals += count
			differences[class] += count
		} else {
			differences[class] -= count
		}
	}
	return differences, arrivals
}
