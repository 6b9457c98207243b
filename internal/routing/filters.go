package routing

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// Usable rejects candidates without a valid lease.
type Usable struct{}

// Check implements Filter.
func (Usable) Check(now time.Time, _ *Request, candidate *Candidate) Rejection {
	switch {
	case candidate.State == membership.StateLeaving:
		return RejectedLeaving
	case !candidate.Usable(now):
		return RejectedUnusable
	}
	return Accepted
}

// Owned rejects candidates that do not own the request's run key.
type Owned struct{}

// Check implements Filter.
func (Owned) Check(_ time.Time, request *Request, candidate *Candidate) Rejection {
	if request.Owner != "" && request.Owner != candidate.VM {
		return RejectedNotOwner
	}
	return Accepted
}

// NotExcluded rejects candidates that the request must not go to.
type NotExcluded struct{}

// Check implements Filter.
func (NotExcluded) Check(_ time.Time, request *Request, candidate *Candidate) Rejection {
	if slices.Contains(request.Excluded, candidate.VM) {
		return RejectedExcluded
	}
	return Accepted
}

// WithinCredits rejects candidates whose credits are used up.
type WithinCredits struct{}

// Check implements Filter.
func (WithinCredits) Check(_ time.Time, _ *Request, candidate *Candidate) Rejection {
	if candidate.Open >= candidate.Credits {
		return RejectedFull
	}
	return Accepted
}

// Apart keeps requests away from backend servers that run one suspected of crashing them.
type Apart struct{}

// Check implements Filter.
func (Apart) Check(_ time.Time, _ *Request, candidate *Candidate) Rejection {
	if candidate.Suspects > 0 {
		return RejectedNotAlone
	}
	return Accepted
}

// InTime rejects candidates that can't start the answer before the request's deadline.
type InTime struct{ Estimate Estimate }

// Check implements Filter.
func (f InTime) Check(now time.Time, request *Request, candidate *Candidate) Rejection {
	if request.Deadline.IsZero() {
		return Accepted
	}
	if now.Add(f.Estimate.Queue(request, candidate)).After(request.Deadline) {
		return RejectedLate
	}
	return Accepted
}

// OpenWork is the number of requests that are probably open at the candidate: those of
// the last report and this entry's dispatches since, and never fewer than the entry's own.
func (c *Candidate) OpenWork() int {
	reported := int(c.Load.Running + c.Load.Waiting + c.SinceLoad)
	return max(reported, int(c.Open))
}

// PromptBacklog is the number of prompt tokens that the candidate probably has yet to process.
func (c *Candidate) PromptBacklog() int {
	return int(c.Load.Tokens) + c.PendingTokens
}
