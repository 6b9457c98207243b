package attempt

import "github.com/bramleyspool/bramleyspool/internal/outcome"

// Runs records how many sends of one call may have run its request. It is the only source of the outcome of an unserved
// call, so that "not run" is never reported once a server may have run the request. It is not safe for concurrent use.
type Runs struct {
	possible int
}

// RecordSent records that a server has received at least a part of the request.
func (r *Runs) RecordSent() { r.possible++ }

// RecordNotExecuted records that the server of the last send states that it did not run the request and will not do so.
func (r *Runs) RecordNotExecuted() {
	if r.possible == 0 {
		panic("invariant: a request that was not sent was rejected")
	}
	r.possible--
}

// Possible returns the number of servers that may have run the request.
func (r *Runs) Possible() int { return r.possible }

// Unserved returns the outcome of a call that ends without a complete response.
func (r *Runs) Unserved(cause outcome.Cause) outcome.Outcome {
	if r.possible > 0 {
		return outcome.InDoubt(cause, "")
	}
	return outcome.Refused(cause)
}
