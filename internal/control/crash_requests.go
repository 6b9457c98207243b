package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// Crashes returns the entry's register of requests that crash backend servers.
func (d *Dispatcher) Crashes() *attempt.CrashRegister { return d.crashes }

// serverInstance returns the identity of one start of a listed server.
func serverInstance(backend *membership.ListedBackend) attempt.ServerInstance {
	return attempt.ServerInstance{ID: backend.ID, Started: backend.Started}
}

// RecordBroken records a send to a server that ended without a complete response.
func (d *Dispatcher) RecordBroken(now time.Time, backend membership.ListedBackend, send attempt.BrokenSend) {
	d.crashes.RecordBroken(now, serverInstance(&backend), backend.Service, send)
}

// RecordResponse records that a server gave a complete response to a request that was sent at startedAt. ran is false if
// the server rejected the request.
func (d *Dispatcher) RecordResponse(now time.Time, backend membership.ListedBackend, fingerprint attempt.Fingerprint, startedAt time.Time, ran bool) {
	d.RecordServerRuns(backend, startedAt)
	if ran {
		d.crashes.RecordSurvived(now, fingerprint)
	}
}

// RecordServerRuns records that a server was reached by a connection or request that began at startedAt.
func (d *Dispatcher) RecordServerRuns(backend membership.ListedBackend, startedAt time.Time) {
	d.crashes.RecordRuns(serverInstance(&backend), startedAt)
}

// RecordServerEnded records that nothing listens at the address of a server any more. A server that has announced that
// it leaves is not said to have crashed.
func (d *Dispatcher) RecordServerEnded(now time.Time, backend membership.ListedBackend) {
	if listed := d.servers[backend.ID]; backend.Leaving || listed != nil && listed.Leaving {
		return
	}
	d.crashes.RecordEnd(now, serverInstance(&backend), backend.Service)
}

// recordRemoved records the ends of the servers that are no longer listed, or are listed as started again.
func (d *Dispatcher) recordRemoved(now time.Time, listed map[string]*routing.Server) {
	for id, server := range d.servers {
		if current := listed[id]; current == nil || current.Started != server.Started {
			d.RecordServerEnded(now, server.ListedBackend)
		}
	}
}

// refuseQuarantined returns the refusal of a request that is quarantined; false for any other request.
func (d *Dispatcher) refuseQuarantined(now time.Time, request *BackendRequest, assignment *Assignment) bool {
	switch d.crashes.Status(now, request.Fingerprint) {
	case attempt.RequestQuarantined:
		assignment.Cause, assignment.RetryAfter = outcome.CauseQuarantined, d.crashes.QuarantineLeft(now, request.Fingerprint)
		return true
	case attempt.RequestSuspect:
		assignment.Suspect = true
	case attempt.RequestNormal:
	}
	return false
}

// apart returns the candidates at which the request runs apart from suspects: a suspect only where this entry has no
// open request, others where no suspect is open. If a suspect then crashes a server, no other request is suspected.
func apart(candidates []*routing.Server, suspect bool) []*routing.Server {
	var kept []*routing.Server
	for _, server := range candidates {
		if server.OpenSuspects == 0 && (!suspect || server.Open == 0) {
			kept = append(kept, server)
		}
	}
	return kept
}

// pick picks a server among the candidates at which the request runs apart from suspects, and among all if none of
// these can take it.
func (d *Dispatcher) pick(now time.Time, request *BackendRequest, candidates []*routing.Server, assignment *Assignment) *routing.Server {
	if separate := apart(candidates, assignment.Suspect); len(separate) > 0 && len(separate) < len(candidates) {
		if chosen := d.pickAmong(now, request, separate, assignment); chosen != nil && !chosen.Paused(now) {
			return chosen
		}
	}
	return d.pickAmong(now, request, candidates, assignment)
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
