package control

import "time"

// Constants of the waiting time of requests for lock-step groups.
const (
	// abandonAfter, abandonAfterTargets and abandonAfterGaps define when callers leave a stream without events: after the
	// longest of 2 s, four times the target and eight times the longest pause on time.
	abandonAfter        = 2 * time.Second
	abandonAfterTargets = 4
	abandonAfterGaps    = 8
	// leaveMargin is the time for the first event to reach the caller, and by which predictions of passes may fail.
	leaveMargin = 100 * time.Millisecond
)

// WaitEnd returns until when the request may wait for a free slot. The wait is short, because
// under overload a long queue would delay all streams beyond their targets.
func (request *BackendRequest) WaitEnd() time.Time {
	end := request.Arrived.Add(time.Duration(waitShare * float64(request.Route.TargetLatency)))
	if request.Resumed {
		end = request.Arrived.Add(maxResumeWait)
	}
	return earlier(end, request.Deadline)
}

// OutageEnd returns until when the request may wait while no server runs requests. It is longer
// than WaitEnd, because groups form again within a second or two and a refused caller retries
// only once.
func (request *BackendRequest) OutageEnd() time.Time {
	end := request.Arrived.Add(time.Duration(outageShare * float64(request.Deadline.Sub(request.Arrived))))
	if short := request.WaitEnd(); end.Before(short) {
		return short
	}
	return earlier(end, request.Deadline)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// LeaveTime returns when the caller leaves if it has received no event.
func (request *BackendRequest) LeaveTime() time.Time {
	patience := max(abandonAfter, abandonAfterTargets*request.Route.TargetLatency, abandonAfterGaps*request.Route.EventGap)
	return earlier(request.Arrived.Add(patience), request.Deadline)
}

// slotWaitEnd returns until when the request may wait for a free slot. It is WaitEnd unless its groups serve late, or the
// end of a peak of skew leaves time to be on time.
func (request *BackendRequest) slotWaitEnd(now time.Time, assignment *Assignment) time.Time {
	end := request.WaitEnd()
	if request.Resumed {
		return end
	}
	late := end
	switch {
	case assignment.ServesLate:
		late = request.LeaveTime().Add(-assignment.FirstEvent - leaveMargin)
		late = earlier(late, request.Deadline.Add(-assignment.StreamTime))
	case assignment.RoomIn > 0:
		late = request.Arrived.Add(request.Route.TargetLatency - assignment.FirstEvent)
		if now.Add(assignment.RoomIn).After(late) {
			return end
		}
	}
	if late.After(end) {
		return late
	}
	return end
}

// DecisionTimes returns the times at which a waiting request may have to be refused, in ascending order.
func (request *BackendRequest) DecisionTimes() []time.Time {
	times := []time.Time{request.WaitEnd(), request.OutageEnd()}
	if leave := request.LeaveTime(); !request.Resumed && leave.After(times[1]) {
		times = append(times, leave)
	}
	return times
}
