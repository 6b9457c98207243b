package routing

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// Usable rejects leaving candidates and candidates without a valid lease.
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

// Owned rejects candidates other than Request.Owner, if it is set.
type Owned struct{}

// Check implements Filter.
func (Owned) Check(_ time.Time, request *Request, candidate *Candidate) Rejection {
	if request.Owner != "" && request.Owner != candidate.VM {
		return RejectedNotOwner
	}
	return Accepted
}

// NotExcluded rejects the candidates that the request excludes.
type NotExcluded struct{}

// Check implements Filter.
func (NotExcluded) Check(_ time.Time, request *Request, candidate *Candidate) Rejection {
	if slices.Contains(request.Excluded, candidate.VM) {
		return RejectedExcluded
	}
	return Accepted
}

// WithinCredits rejects candidates that already have as many open requests of this entry as its lease allows (the credits
// of the lease).
type WithinCredits struct{}

// Check implements Filter.
func (WithinCredits) Check(_ time.Time, _ *Request, candidate *Candidate) Rejection {
	if candidate.Open >= candidate.Credits {
		return RejectedFull
	}
	return Accepted
}

// WithoutSuspects rejects candidates with an open request that is suspected of crashing backend servers.
type WithoutSuspects struct{}

// Check implements Filter.
func (WithoutSuspects) Check(_ time.Time, _ *Request, candidate *Candidate) Rejection {
	if candidate.SuspectRequests > 0 {
		return RejectedRunsSuspect
	}
	return Accepted
}

// MeetsDeadline rejects candidates that are not expected to start processing the request before its deadline. It does not
// count the time to process the request's own prompt.
type MeetsDeadline struct{ Estimate Estimate }

// Check implements Filter.
func (f MeetsDeadline) Check(now time.Time, request *Request, candidate *Candidate) Rejection {
	if request.Deadline.IsZero() {
		return Accepted
	}
	if now.Add(f.Estimate.Queue(request, candidate)).After(request.Deadline) {
		return RejectedLate
	}
	return Accepted
}

// OpenWork returns the estimated number of open requests at the candidate: those of the latest load report plus this
// entry's dispatches since then, and at least the entry's own open requests.
func (c *Candidate) OpenWork() int {
	reported := int(c.Load.Running + c.Load.Waiting + c.SinceLoad)
	return max(reported, int(c.Open))
}

// PromptBacklog returns the estimated number of prompt tokens that the candidate has yet to process.
func (c *Candidate) PromptBacklog() int {
	return int(c.Load.Tokens) + c.PendingTokens
}
