package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// A caller whose request may not be repeated should return after minRefusedRepeatShare to maxRefusedRepeatShare of the target time, while
// its request can still be on time: a server that rejects one request may take the next, and a caller's own retry is a new request.
const (
	minRefusedRepeatShare = 0.25
	maxRefusedRepeatShare = 0.6
)

// Repeats returns the limit on repeats, for logs and metrics.
func (d *Dispatcher) Repeats() *attempt.Repeats { return d.repeats }

// refuseRepeat counts a request by its reason. It returns a refusal and true if the request may not be repeated.
func (d *Dispatcher) refuseRepeat(now time.Time, request *BackendRequest) (Assignment, bool) {
	switch request.Reason {
	case SendReasonFirst:
		d.repeats.CountRequest(now, request.Service)
		d.recordArrival(now, request.Service)
	case SendReasonNotConnected:
		d.repeats.CountUncounted(now, request.Service)
	case SendReasonRepeat:
		if !d.repeats.Allow(now, request.Service) {
			status := d.repeats.Status(now, request.Service)
			return Assignment{Request: request.ID, Cause: outcome.CauseRetryBudget, RetryAfter: d.refusedRepeatRetryAfter(request), Repeats: &status}, true
		}
		request.repeatAt = now
	}
	return Assignment{}, false
}

// refusedRepeatRetryAfter returns the Retry-After time of a request that may not be repeated.
func (d *Dispatcher) refusedRepeatRetryAfter(request *BackendRequest) time.Duration {
	target := request.Route.TargetLatency
	if target <= 0 {
		return noBackendRetryAfter
	}
	share := minRefusedRepeatShare + (maxRefusedRepeatShare-minRefusedRepeatShare)*d.random.Float64()
	return min(time.Duration(share*float64(target)), noBackendRetryAfter)
}

// releaseRepeat returns the repeat that was counted for a request which is not sent.
func (d *Dispatcher) releaseRepeat(now time.Time, request *BackendRequest) {
	if request.Reason == SendReasonRepeat {
		d.repeats.Release(now, request.repeatAt, request.Service)
	}
}
