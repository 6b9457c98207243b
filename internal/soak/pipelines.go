package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/bramleyspool/bramleyspool/platform/standin"
)

const (
	// maxPipelined is the greatest number of requests that a caller sends at once on a connection.
	maxPipelined = 5
	// maxPipelinePause is the greatest time for which a pipelined connection is unused.
	maxPipelinePause = 400 * time.Millisecond
	// batchesPerConnection is the mean number of batches on a connection.
	batchesPerConnection = 8
)

// errNotProcessed is the error of a request behind a response which announced that the connection closes.
var errNotProcessed = errors.New("the entry announced that it closes the connection")

// runPipelines is one caller that sends several requests at once on a connection and reads the responses in order. It keeps the connection
// until its entry closes it, also in a planned stop.
func (c *callers) runPipelines(ctx context.Context, name string, random *rand.Rand) {
	for ctx.Err() == nil {
		entry := c.pickReadyEntry(random)
		if entry == nil {
			sleep(ctx, readinessInterval)
			continue
		}
		incarnation := entry.currentIncarnation()
		conn, err := net.DialTimeout("tcp", entry.settings.Callers, time.Second)
		if err != nil {
			sleep(ctx, readinessInterval)
			continue
		}
		reader := bufio.NewReader(conn)
		for open := true; open && ctx.Err() == nil && random.IntN(batchesPerConnection) > 0; {
			calls := make([]*callRecord, 1+random.IntN(maxPipelined))
			for i := range calls {
				calls[i] = &callRecord{
					id: fmt.Sprintf("%s-%d", name, c.idCounter.Add(1)), kind: pickRandom(random, allKinds), entry: entry,
					credential: c.soak.deployment.Credential(random, true),
				}
			}
			open = c.pipeline(ctx, conn, reader, calls, incarnation)
			sleep(ctx, time.Duration(random.Int64N(int64(maxPipelinePause))))
		}
		_ = conn.Close()
	}
}

// pipeline sends the requests of calls and reads the responses. It returns false if the connection can't be used any more.
func (c *callers) pipeline(soakCtx context.Context, conn net.Conn, reader *bufio.Reader, calls []*callRecord, incarnation int) bool {
	defer context.AfterFunc(soakCtx, func() { _ = conn.SetDeadline(time.Now()) })()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(len(calls)) * standin.RequestTimeout))
	var batch bytes.Buffer
	requests := make([]*http.Request, len(calls))
	for i, call := range calls {
		request, err := call.request(soakCtx)
		if err == nil {
			err = request.Write(&batch)
		}
		if err != nil {
			c.soak.reportViolation("failed to create a request: " + err.Error())
			return false
		}
		requests[i], call.sentAt = request, time.Now()
		c.soak.deployment.Arrivals.RecordSent(request)
	}
	// An error means that the connection has ended: the first response is missing then.
	_, _ = conn.Write(batch.Bytes())
	for i, call := range calls {
		closes := false
		response, err := http.ReadResponse(reader, requests[i])
		if err == nil {
			closes = response.Close
			body, readErr := io.ReadAll(response.Body)
			call.status, call.body, call.err = response.StatusCode, string(body), readErr
			c.checkAnswer(call, response)
		} else {
			call.err = err
		}
		c.endPipelined(soakCtx, call, incarnation)
		if call.err == nil && !closes {
			continue
		}
		for _, rest := range calls[i+1:] {
			rest.err, rest.behindClose = errNotProcessed, closes && call.err == nil
			c.endPipelined(soakCtx, rest, incarnation)
		}
		return false
	}
	return true
}

// endPipelined checks and records a call of a pipeline.
func (c *callers) endPipelined(soakCtx context.Context, call *callRecord, incarnation int) {
	call.endedAt = time.Now()
	_, planned := call.entry.plannedStopOf(incarnation)
	call.exempt = soakCtx.Err() != nil || planned || call.err != nil
	c.countOutcome(call)
	if !errors.Is(call.err, errNotProcessed) {
		c.checkPlannedStop(call, incarnation, soakCtx.Err() != nil || errors.Is(call.err, os.ErrDeadlineExceeded))
	}
	c.checkKnown(call)
	c.record(call)
	c.keep(call)
}
