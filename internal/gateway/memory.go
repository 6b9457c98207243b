package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

const (
	// requestMemoryShare and heldMemoryShare are the shares of the process's memory limit that the bodies of requests, and these
	// together with buffered responses, may hold. With what an entry needs besides, 18 of 206 MB, they stay below the soft limit of the
	// garbage collector, 0.6 of the memory limit.
	requestMemoryShare = 0.45
	heldMemoryShare    = 0.52
	// defaultMemoryLimit replaces the memory limit if it is unknown.
	defaultMemoryLimit = 256 << 20
	// minReadBytes is the space for one read at the end of a body, which shows that it is complete.
	minReadBytes = 512
	// maxDiscardedBytes is how much of a refused request's body is read while no configuration is known. Deployments set 4 MiB.
	maxDiscardedBytes = 4 << 20
	// maxTrustedLength bounds the memory that the announced length of a response takes before its bytes arrive.
	maxTrustedLength = 1 << 20
)

// errMemoryFull means that the account of memory has no room for a body.
var errMemoryFull = errors.New("no memory for the body")

// memoryAccount is an admission.MemoryAccount that is safe for concurrent use.
type memoryAccount struct {
	mu      sync.Mutex
	account *admission.MemoryAccount
}

func newMemoryAccount(memoryLimit int64) *memoryAccount {
	if memoryLimit <= 0 {
		memoryLimit = defaultMemoryLimit
	}
	share := func(part float64) int64 { return int64(part * float64(memoryLimit)) }
	return &memoryAccount{account: admission.NewMemoryAccount(share(requestMemoryShare), share(heldMemoryShare))}
}

func (m *memoryAccount) use(customer ident.Customer) admission.MemoryUse {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.account.Use(customer)
}

// report sets the gauges of the account.
func (m *memoryAccount) report(metrics *metrics) {
	use := m.use("")
	metrics.setMemory("requests", use.Requests, use.RequestLimit)
	metrics.setMemory("all", use.Requests+use.Responses, use.TotalLimit)
}

// takeRequestMemory takes memory for the call's body until the end of the call. It returns false if there is none.
func (c *call) takeRequestMemory(bytes int64) bool {
	m := c.gateway.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.requestMemory == 0 {
		c.memoryCustomer = c.access.Customer
	}
	if !m.account.TakeRequest(c.memoryCustomer, bytes) {
		return false
	}
	c.requestMemory += bytes
	return true
}

// takeResponseMemory takes memory for a buffered response until the end of the call. It returns false if there is none.
func (c *call) takeResponseMemory(bytes int64) bool {
	m := c.gateway.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.account.TakeResponse(bytes) {
		return false
	}
	c.responseMemory += bytes
	return true
}

// returnMemory returns all memory that the call has taken.
func (c *call) returnMemory() {
	m := c.gateway.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Return(c.memoryCustomer, c.requestMemory, c.responseMemory)
	c.requestMemory, c.responseMemory = 0, 0
}

// refuseForMemory refuses a call for whose body there is no memory.
func (c *call) refuseForMemory() {
	use := c.gateway.memory.use(c.access.Customer)
	c.memoryUse = &use
	c.endUnserved(unserved{status: http.StatusServiceUnavailable, cause: outcome.CauseMemoryFull, retryAfter: defaultRetryAfter})
}

// readAll reads a body completely. length is its announced length, -1 if there is none; take takes memory before it is allocated.
func readAll(body io.Reader, length int64, take func(bytes int64) bool) ([]byte, error) {
	capacity := int64(bodyReadBytes)
	if length >= 0 {
		capacity = length + minReadBytes
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			if !take(capacity - int64(cap(data))) {
				return nil, errMemoryFull
			}
			grown := make([]byte, len(data), capacity)
			copy(grown, data)
			data, capacity = grown, 2*capacity
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// respondBeforeBody prepares a response that is written before the body has been read. Afterwards discardBody reads the body; a
// connection whose body it can't read to its end is closed, since the next request could not be told from the rest of the body.
func (c *call) respondBeforeBody() {
	if length := c.r.ContentLength; c.bodyInvalid || length < 0 || length > c.discardLimit() {
		c.w.Header().Set("Connection", "close")
	}
	// Otherwise net/http reads a part of the body before it writes the response. An error means that it writes later.
	_ = http.NewResponseController(c.w).EnableFullDuplex()
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

// discardBody reads the rest of a refused request's body after the response. A connection that is closed with unread bytes is reset, so
// that its caller might not see the response. A caller that waits for a 100 has seen it and sends no body; net/http closes its connection.
func (c *call) discardBody() {
	if !c.headWritten || c.bodyInvalid || c.r.ContentLength == 0 || c.r.Header.Get("Expect") != "" {
		return
	}
	controller := http.NewResponseController(c.w)
	// On an error the caller has left, or its body is too slow.
	if controller.Flush() != nil || controller.SetReadDeadline(c.arrived.Add(bodyTimeout)) != nil {
		c.bodyInvalid = true
		return
	}
	// net/http must see the end of the body before the handler returns: if it finds it later, it reads the connection twice at once.
	if _, err := io.Copy(io.Discard, io.LimitReader(c.r.Body, c.discardLimit()+1)); err != nil {
		c.bodyInvalid = true
		return
	}
	_ = controller.SetReadDeadline(time.Time{})
}
