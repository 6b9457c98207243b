package admission

import "github.com/bramleyspool/bramleyspool/internal/ident"

const (
	// customerMemoryFactor bounds what one customer's requests may hold: this multiple of what is still free, times the customer's weight. One
	// of weight 1 alone holds four fifths of the limit at most, so that the short requests of others find room beside its long ones.
	customerMemoryFactor = 4
	// maxMemoryWeight bounds the weights: a customer alone leaves a seventeenth of the limit to others.
	maxMemoryWeight = 4
)

// MemoryLimits bounds what a MemoryAccount holds, in bytes.
type MemoryLimits struct {
	// Requests bounds the bodies of requests, Bodies these and buffered responses.
	Requests, Bodies int64
	// Heads bounds the heads of requests.
	Heads int64
	// Total bounds bodies, responses, heads and connections together. Connections and heads have room up to limits of their own; it is
	// bodies that find less room beside them.
	Total int64
}

// MemoryAccount decides whether the process has memory for what it holds for its callers. All sizes are in bytes.
type MemoryAccount struct {
	limits              MemoryLimits
	requests, responses int64
	heads, connections  int64
	byCustomer          map[ident.Customer]int64
}

// NewMemoryAccount returns an account that holds nothing.
func NewMemoryAccount(limits MemoryLimits) *MemoryAccount {
	return &MemoryAccount{limits: limits, byCustomer: map[ident.Customer]int64{}}
}

// MemoryUse is what a MemoryAccount holds. Customer is the use of one customer's requests.
type MemoryUse struct {
	Requests, Responses, Customer, Heads, Connections int64
	Limits                                            MemoryLimits
}

// Use returns what the account holds.
func (a *MemoryAccount) Use(customer ident.Customer) MemoryUse {
	return MemoryUse{
		Requests: a.requests, Responses: a.responses, Customer: a.byCustomer[customer], Heads: a.heads, Connections: a.connections, Limits: a.limits,
	}
}

// freeForBodies returns what bodies and buffered responses may still take together.
func (a *MemoryAccount) freeForBodies() int64 {
	bodies := a.requests + a.responses
	return min(a.limits.Bodies-bodies, a.limits.Total-bodies-a.heads-a.connections)
}

// freeForRequests returns what bodies of requests may still take.
func (a *MemoryAccount) freeForRequests() int64 {
	return min(a.limits.Requests-a.requests, a.freeForBodies())
}

// HasRoom reports whether bytes for a body of a request are free, whoever asks for them.
func (a *MemoryAccount) HasRoom(bytes int64) bool { return bytes <= a.freeForRequests() }

// TakeRequest takes bytes for the body of a customer's request. It returns false if they are not free, or if the customer would hold
// too much of the limit for its weight, which is relative to the mean of all customers. Customers that want more than there is hold it in
// proportion to their weights. A customer that holds nothing gets what is free.
func (a *MemoryAccount) TakeRequest(customer ident.Customer, weight float64, bytes int64) bool {
	free := a.freeForRequests() - bytes
	held := a.byCustomer[customer]
	if free < 0 || held > 0 && float64(held+bytes) > customerMemoryFactor*min(weight, maxMemoryWeight)*float64(free) {
		return false
	}
	a.requests += bytes
	a.byCustomer[customer] = held + bytes
	return true
}

// TakeResponse takes bytes for a response. Responses are work that servers have done, so that the limits of customers do not apply.
func (a *MemoryAccount) TakeResponse(bytes int64) bool {
	if bytes > a.freeForBodies() {
		return false
	}
	a.responses += bytes
	return true
}

// Return returns what a call of the customer has taken.
func (a *MemoryAccount) Return(customer ident.Customer, requestBytes, responseBytes int64) {
	a.requests -= requestBytes
	a.responses -= responseBytes
	if a.byCustomer[customer] -= requestBytes; a.byCustomer[customer] <= 0 {
		delete(a.byCustomer, customer)
	}
}

// TakeHead takes bytes for the head of a request. It returns false if they are not free.
func (a *MemoryAccount) TakeHead(bytes int64) bool {
	if a.heads+bytes > a.limits.Heads {
		return false
	}
	a.heads += bytes
	return true
}

// ReturnHead returns bytes that TakeHead has taken.
func (a *MemoryAccount) ReturnHead(bytes int64) { a.heads -= bytes }

// AddConnections records that connections hold more memory, or less. Their number has a limit of its own.
func (a *MemoryAccount) AddConnections(bytes int64) { a.connections += bytes }
