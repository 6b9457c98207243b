// Package callermem accounts for the memory that a process holds for its callers: connections, heads, bodies and buffered responses.
package callermem

import (
	"errors"
	"io"
	"sync"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Shares of the process's memory limit. What an entry needs besides is about 20 MB, most of it the program itself. The bytes that the
// kernel holds for connections (ConnectionBuffers) count too on the users' platform.
const (
	requestShare = 0.45
	bodyShare    = 0.52
	headShare    = 0.06
	// connectionShare bounds connections with the kernel's buffers.
	connectionShare = 0.22
	totalShare      = 0.6
	// CollectorShare is the share that is set as the soft limit of the Go runtime, above which the garbage collector runs more often.
	CollectorShare = 0.66
)

const (
	// DefaultLimit replaces a memory limit that is unknown.
	DefaultLimit = 256 << 20
	// ConnectionBytes is the memory of a connection in the process: its goroutines and buffers.
	ConnectionBytes = 24 << 10
	// ConnectionBuffers is what the kernel may hold unread for a connection.
	ConnectionBuffers = 32 << 10
	// minConnections is the least limit of connections.
	minConnections = 16
	// minReadBytes is the space for one read at the end of a body, which shows that it is complete.
	minReadBytes = 512
	// firstReadBytes is the space for the first read of a body without a length.
	firstReadBytes = 4 << 10
)

// ErrFull means that the account has no room for a body.
var ErrFull = errors.New("no memory for the body")

// Account is an admission.MemoryAccount that is safe for concurrent use.
type Account struct {
	mu      sync.Mutex
	account *admission.MemoryAccount
}

// NewAccount returns an account for a process with a memory limit in bytes; 0 if it is unknown.
func NewAccount(memoryLimit int64) *Account {
	if memoryLimit <= 0 {
		memoryLimit = DefaultLimit
	}
	share := func(part float64) int64 { return int64(part * float64(memoryLimit)) }
	return &Account{account: admission.NewMemoryAccount(admission.MemoryLimits{
		Requests: share(requestShare), Bodies: share(bodyShare), Heads: share(headShare), Total: share(totalShare),
	})}
}

// MaxConnections returns the number of callers' connections for which a process has memory, and descriptors: each may need a second
// one for a connection to a server.
func MaxConnections(memoryLimit int64, descriptors int) int {
	if memoryLimit <= 0 {
		memoryLimit = DefaultLimit
	}
	limit := int(connectionShare * float64(memoryLimit) / (ConnectionBytes + ConnectionBuffers))
	sockets := float64(descriptors - reservedDescriptors - ownDescriptors)
	return max(min(limit, int(callersShare*sockets)), minConnections)
}

// Use returns what the account holds. MemoryUse.Customer is that of the customer.
func (a *Account) Use(customer ident.Customer) admission.MemoryUse {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Use(customer)
}

// HasRoom reports whether bytes for a body are free, whoever asks for them.
func (a *Account) HasRoom(bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.HasRoom(bytes)
}

// TakeHead takes memory for the head of a request. It returns false if there is none.
func (a *Account) TakeHead(bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.TakeHead(bytes)
}

// ReturnHead returns memory that TakeHead has taken.
func (a *Account) ReturnHead(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.ReturnHead(bytes)
}

// AddConnections records that a number of connections have been opened, or closed if it is negative.
func (a *Account) AddConnections(number int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.AddConnections(int64(number) * ConnectionBytes)
}

// Call is the memory that one call holds. The zero value with an Account holds nothing.
type Call struct {
	Account *Account
	// requests and responses are the bytes taken; customer is the one for whose request they were, weight its weight.
	requests, responses int64
	customer            ident.Customer
	weight              float64
	// ended is true after Return: answers that arrive later take nothing.
	ended bool
}

// TakeRequest takes memory for the call's body, as admission.MemoryAccount.TakeRequest does. All memory of a call is taken for the customer
// and the weight of the first time, since its credential may move to another customer meanwhile.
func (c *Call) TakeRequest(customer ident.Customer, weight float64, bytes int64) bool {
	c.Account.mu.Lock()
	defer c.Account.mu.Unlock()
	if c.requests == 0 {
		c.customer, c.weight = customer, weight
	}
	if !c.Account.account.TakeRequest(c.customer, c.weight, bytes) {
		return false
	}
	c.requests += bytes
	return true
}

// TakeResponse takes memory for a buffered response. It returns false if there is none.
func (c *Call) TakeResponse(bytes int64) bool {
	c.Account.mu.Lock()
	defer c.Account.mu.Unlock()
	if c.ended || !c.Account.account.TakeResponse(bytes) {
		return false
	}
	c.responses += bytes
	return true
}

// ReturnResponse returns memory that TakeResponse has taken, unless Return has.
func (c *Call) ReturnResponse(bytes int64) {
	c.Account.mu.Lock()
	defer c.Account.mu.Unlock()
	if !c.ended {
		c.Account.account.Return(c.customer, 0, bytes)
		c.responses -= bytes
	}
}

// HoldsMost reports whether the call's responses hold more than those of all other calls.
func (c *Call) HoldsMost() bool {
	c.Account.mu.Lock()
	defer c.Account.mu.Unlock()
	return 2*c.responses > c.Account.account.Use("").Responses
}

// Ended reports whether the call has returned its memory.
func (c *Call) Ended() bool {
	c.Account.mu.Lock()
	defer c.Account.mu.Unlock()
	return c.ended
}

// Return returns all memory that the call has taken, and ends it.
func (c *Call) Return() {
	c.Account.mu.Lock()
	defer c.Account.mu.Unlock()
	c.Account.account.Return(c.customer, c.requests, c.responses)
	c.requests, c.responses, c.ended = 0, 0, true
}

// ReadAll reads a body completely. length is its announced length, -1 if there is none, and limit the greatest length at which the reader
// does not fail; take takes memory before it is allocated. The error is ErrFull if it returns false.
func ReadAll(body io.Reader, length, limit int64, take func(bytes int64) bool) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	capacity := int64(firstReadBytes)
	if length > 0 {
		capacity = length + minReadBytes
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			if !take(capacity - int64(cap(data))) {
				return nil, ErrFull
			}
			grown := make([]byte, len(data), capacity)
			copy(grown, data)
			data, capacity = grown, max(min(2*capacity, limit+minReadBytes), capacity+minReadBytes)
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
