package admission

import "github.com/bramleyspool/bramleyspool/internal/ident"

// customerMemoryFactor bounds what one customer's requests may hold: this multiple of what is still free. One customer alone holds
// four fifths of the limit at most, so that the short requests of others find room beside its long ones.
const customerMemoryFactor = 4

// MemoryAccount decides whether the process has memory for the bodies of requests and buffered responses. All sizes are in bytes.
type MemoryAccount struct {
	requestLimit, totalLimit int64
	requests, responses      int64
	byCustomer               map[ident.Customer]int64
}

// NewMemoryAccount returns an account in which requests hold at most requestLimit bytes, and requests and responses at most
// totalLimit.
func NewMemoryAccount(requestLimit, totalLimit int64) *MemoryAccount {
	return &MemoryAccount{requestLimit: requestLimit, totalLimit: totalLimit, byCustomer: map[ident.Customer]int64{}}
}

// MemoryUse is what a MemoryAccount holds. Customer is the use of one customer's requests.
type MemoryUse struct {
	Requests, Responses, Customer, RequestLimit, TotalLimit int64
}

// Use returns what the account holds.
func (a *MemoryAccount) Use(customer ident.Customer) MemoryUse {
	return MemoryUse{
		Requests: a.requests, Responses: a.responses, Customer: a.byCustomer[customer],
		RequestLimit: a.requestLimit, TotalLimit: a.totalLimit,
	}
}

// TakeRequest takes bytes for the body of a customer's request. It returns false if they are not free, or if the customer would hold
// too much of the limit. A customer that holds nothing gets what is free.
func (a *MemoryAccount) TakeRequest(customer ident.Customer, bytes int64) bool {
	free := min(a.requestLimit-a.requests, a.totalLimit-a.requests-a.responses) - bytes
	held := a.byCustomer[customer]
	if free < 0 || held > 0 && held+bytes > customerMemoryFactor*free {
		return false
	}
	a.requests += bytes
	a.byCustomer[customer] = held + bytes
	return true
}

// TakeResponse takes bytes for a response. Responses are work that servers have done, so that the limits of customers do not apply.
func (a *MemoryAccount) TakeResponse(bytes int64) bool {
	if a.requests+a.responses+bytes > a.totalLimit {
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
