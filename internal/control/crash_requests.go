package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// trialRetryAfter is the shortest Retry-After time of a suspect that another entry runs at present; the longest is twice as
// long. The result of a run is known to all entries within it.
const trialRetryAfter = 500 * time.Millisecond

// Crashes returns the entry's register of requests that crash backend servers.
func (d *Dispatcher) Crashes() *attempt.CrashRegister { return d.crashes }

// InstanceOf returns the identity of one start of a listed server.
func InstanceOf(backend *membership.ListedBackend) attempt.ServerInstance {
	return attempt.ServerInstance{ID: backend.ID, Started: backend.Started}
}

// RecordBroken records a send to a server that ended without a complete response.
func (d *Dispatcher) RecordBroken(now time.Time, backend membership.ListedBackend, send attempt.BrokenSend) {
	d.crashes.RecordBroken(now, InstanceOf(&backend), send)
}

// RecordServerReached records that a server was reached by a connection or request that began at startedAt. It returns the
// traits of earlier requests that the server is now known to have survived.
func (d *Dispatcher) RecordServerReached(now time.Time, backend membership.ListedBackend, startedAt time.Time) []attempt.Fingerprint {
	return d.crashes.RecordReached(now, InstanceOf(&backend), startedAt)
}

// RecordServerRefused records that a server refused a connection.
func (d *Dispatcher) RecordServerRefused(now time.Time, backend membership.ListedBackend) {
	if listed := d.servers[backend.ID]; backend.Leaving || listed != nil && listed.Leaving {
		return
	}
	d.crashes.RecordRefused(now, InstanceOf(&backend), backend.Service)
}

// RecordServerEnded records that nothing listens at the address of a server any more. A server that has announced that
// it leaves is not said to have crashed.
func (d *Dispatcher) RecordServerEnded(now time.Time, backend membership.ListedBackend) {
	if listed := d.servers[backend.ID]; backend.Leaving || listed != nil && listed.Leaving {
		return
	}
	d.crashes.RecordEnd(now, InstanceOf(&backend), backend.Service)
}

// recordRemoved records the ends of the servers that are no longer listed, or are listed as started again. A copy of another server's record
// names no server that could end.
func (d *Dispatcher) recordRemoved(now time.Time, listed map[string]*routing.Server) {
	for id, server := range d.servers {
		instance, current := InstanceOf(&server.ListedBackend), listed[id]
		if (current == nil || current.Started != server.Started) && !d.leftOut[instance] && !d.owners.IsCopy(now, &server.ListedBackend) {
			d.cold.recordRemoved(now, instance)
			d.RecordServerEnded(now, server.ListedBackend)
		}
	}
}

// countServers tells the register how many servers each service has.
func (d *Dispatcher) countServers(now time.Time) {
	for service, servers := range d.services {
		d.crashes.SetServers(now, service, len(servers))
	}
}

// refuseSuspect returns the refusal of a request that is quarantined, or needs a permit to run and has none; false for any
// other request.
func (d *Dispatcher) refuseSuspect(now time.Time, request *BackendRequest, assignment *Assignment) bool {
	switch d.crashes.Status(now, request.Traits) {
	case attempt.RequestQuarantined:
		assignment.Cause = outcome.CauseQuarantined
		assignment.RetryAfter, assignment.Quarantined = d.crashes.QuarantineLeft(now, request.Traits)
		return true
	case attempt.RequestSuspect:
		assignment.Suspect = true
		trait, lasts, onTrial := d.crashes.OnTrial(request.Traits)
		if onTrial && request.Trial != trait {
			assignment.Cause, assignment.Trial, assignment.TrialLasts = outcome.CauseOnTrial, trait, lasts
			assignment.RetryAfter = trialRetryAfter + time.Duration(d.random.Int64N(int64(trialRetryAfter)))
			return true
		}
	case attempt.RequestNormal:
	}
	return false
}

// TrialWaitEnd returns until when the request may wait for a permit to run. Other runs of a sound suspect end soon, and an
// answer within the target is still of full use.
func (request *BackendRequest) TrialWaitEnd() time.Time {
	end := request.Arrived.Add(request.Route.TargetLatency)
	if short := request.WaitEnd(); request.Resumed || end.Before(short) {
		return short
	}
	return earlier(end, request.Deadline)
}

// withoutSuspects returns the candidates at which this entry has no open suspect and, if idle is set, no open request.
func withoutSuspects(candidates []*routing.Server, idle bool) []*routing.Server {
	var kept []*routing.Server
	for _, server := range candidates {
		if server.OpenSuspects == 0 && (!idle || server.Open == 0) {
			kept = append(kept, server)
		}
	}
	return kept
}

// pick picks a server at which the request runs apart from suspects, so that an end of the server has one explanation: a
// suspect preferably at an idle server. If none of these can take the request, it picks among all.
func (d *Dispatcher) pick(now time.Time, request *BackendRequest, candidates []*routing.Server, assignment *Assignment) *routing.Server {
	apart := withoutSuspects(candidates, false)
	if assignment.Suspect {
		if chosen := d.pickUnpaused(now, request, withoutSuspects(apart, true), assignment); chosen != nil {
			return chosen
		}
	}
	if len(apart) < len(candidates) {
		if chosen := d.pickUnpaused(now, request, apart, assignment); chosen != nil {
			return chosen
		}
	}
	return d.pickAmong(now, request, candidates, assignment)
}

// pickUnpaused picks among the candidates, and returns nil if only a paused one is left.
func (d *Dispatcher) pickUnpaused(now time.Time, request *BackendRequest, candidates []*routing.Server, assignment *Assignment) *routing.Server {
	if len(candidates) == 0 {
		return nil
	}
	chosen := d.pickAmong(now, request, candidates, assignment)
	if chosen == nil || chosen.Paused(now) {
		return nil
	}
	return chosen
}

func (d *Dispatcher) pickAmong(now time.Time, request *BackendRequest, candidates []*routing.Server, assignment *Assignment) *routing.Server {
	if engine := d.engineModel(request.Service); engine != nil {
		return d.pickRank(now, request, engine, candidates, assignment)
	}
	return d.pickPlain(now, candidates, assignment)
}

// RecordSuspectEnd records that the send of a suspect to a server has ended.
func (d *Dispatcher) RecordSuspectEnd(backend string) {
	if server := d.servers[backend]; server != nil {
		server.OpenSuspects = max(server.OpenSuspects-1, 0)
	}
}
