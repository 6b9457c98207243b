package gateway

import (
	"net/http"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/callerconn"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

const (
	// maxDiscardedBytes is how much of a refused request's body is read while no configuration is known. Deployments set 4 MiB.
	maxDiscardedBytes = 4 << 20
	// maxTrustedLength bounds the memory that the announced length of a response takes before its bytes arrive.
	maxTrustedLength = 1 << 20
	// streamBuffers is what the kernel may hold unread of a stream.
	streamBuffers = 2 * receiveBuffer
	// responseMemoryWait is how long a response waits for memory, and responseMemoryInterval the interval at which it looks for it.
	responseMemoryWait     = 500 * time.Millisecond
	responseMemoryInterval = 5 * time.Millisecond
)

// reportMemory sets the gauges of the memory account.
func (g *Gateway) reportMemory() {
	use := g.memory.Use("")
	bodies := use.Requests + use.Responses
	g.metrics.setMemory("requests", use.Requests, use.Limits.Requests)
	g.metrics.setMemory("bodies", bodies, use.Limits.Bodies)
	g.metrics.setMemory("heads", use.Heads, use.Limits.Heads)
	g.metrics.setMemory("all", bodies+use.Heads+use.Connections, use.Limits.Total)
}

// equalWeight is the weight of all customers of the users' platform, whose pages give them none.
const equalWeight = 1

// takeRequestMemory takes memory for the call's body until the end of the call. It returns false if there is none.
func (c *call) takeRequestMemory(bytes int64) bool {
	return c.gateway.callers.TakeBody(c.r.Context(), bytes, func() bool { return c.memory.TakeRequest(c.access.Customer, equalWeight, bytes) })
}

// takeResponseMemory takes memory for a response until the end of the call. If there is none, it closes connections whose callers do not
// read their responses, and waits. It returns false if the memory does not become free in time, and at once if the response itself holds
// most of it.
func (c *call) takeResponseMemory(bytes int64) bool {
	for end := time.Now().Add(responseMemoryWait); !c.memory.TakeResponse(bytes); time.Sleep(responseMemoryInterval) {
		now := time.Now()
		if now.After(end) || c.memory.Ended() || c.memory.HoldsMost() {
			return false
		}
		c.gateway.callers.EvictUnread(now)
	}
	return true
}

// refuseForMemory refuses a call for whose body there is no memory.
func (c *call) refuseForMemory() {
	use := c.gateway.memory.Use(c.access.Customer)
	c.memoryUse = &use
	c.endUnserved(unserved{status: http.StatusServiceUnavailable, cause: outcome.CauseMemoryFull, retryAfter: defaultRetryAfter})
}

// closesConnection reports whether the response announces that the connection is closed after it.
func (c *call) closesConnection() bool { return c.w.Header().Get("Connection") == "close" }

// discardLimit returns how much of a refused request's body is read.
func (c *call) discardLimit() int64 {
	if c.table == nil {
		return maxDiscardedBytes
	}
	return c.bodyLimit()
}

// discardBody reads the rest of a refused request's body after the response.
func (c *call) discardBody() {
	if !c.headWritten || c.bodyInvalid {
		return
	}
	c.bodyInvalid = !callerconn.DiscardBody(c.w, c.r, c.discardLimit(), c.arrived.Add(bodyTimeout))
}
