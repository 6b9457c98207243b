package attempt

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// CrashConfig configures a CrashRegister.
type CrashConfig struct {
	// PointLimit is the number of points at which a request is quarantined. An end of a backend server counts
	// conclusivePoints if nothing else explains it, otherwise one point.
	PointLimit int
	// SettleTime is the age below which an end is not conclusive: other entries may yet report what they ran there.
	SettleTime time.Duration
	// Ends of MassEnds or more servers of a service within MassWindow of each other, without a request that explains them,
	// count as a failure of their rack, zone or power. MassWindow covers the delay with which the list of servers shows
	// an end.
	MassEnds   int
	MassWindow time.Duration
	// BrokenFor is how long a broken send waits for the confirmation that its server has ended.
	BrokenFor time.Duration
	// SuspectFor is the time for which an end is kept.
	SuspectFor time.Duration
	// QuarantineFor is the time for which a request is refused.
	QuarantineFor time.Duration
}

// conclusivePoints are the points of an end that nothing but the request explains.
const conclusivePoints = 3

// DefaultCrashConfig returns the default configuration: a request is quarantined after three conclusive ends, or after nine
// of any kind.
func DefaultCrashConfig() CrashConfig {
	suspects := DefaultSuspectConfig()
	return CrashConfig{
		PointLimit: 3 * conclusivePoints, SettleTime: 250 * time.Millisecond, MassEnds: 2, MassWindow: 5 * time.Second,
		BrokenFor: 8 * time.Second, SuspectFor: suspects.SuspectFor, QuarantineFor: suspects.QuarantineFor,
	}
}

// Limits of a register's memory. A register at all limits takes about 6 MB.
const (
	maxServerEnds      = 1024
	maxRequestsPerEnd  = 64
	maxPendingServers  = 256
	maxPendingRequests = 64
)

// ServerInstance identifies one start of a backend server.
type ServerInstance struct {
	ID string `cbor:"1,keyasint"`
	// Started is the start time in Unix milliseconds; 0 if unknown.
	Started int64 `cbor:"2,keyasint,omitempty"`
}

// CrashRegister is an entry's knowledge of requests that crash the backend servers which run them, for entries that send
// requests directly to backend servers. It is built from broken sends whose server has ended. Unlike Suspects, whose
// agents report all requests that ran during a crash, each entry knows only its own sends. The entries therefore
// exchange ends: sets that only grow and are merged in any order, so that all entries come to the same result.
// It does no I/O and is not safe for concurrent use.
type CrashRegister struct {
	config  CrashConfig
	pending map[ServerInstance]*pendingSends
	ends    map[ServerInstance]*serverEnd
	// suspects has the ends at which a request was running, for each request that no server has survived since.
	suspects   map[Fingerprint][]ServerInstance
	quarantine *Quarantine
	// review has the requests whose ends have changed, and when to evaluate them.
	review map[Fingerprint]time.Time
	// changedEnds and changedQuarantine are not yet reported to other entries.
	changedEnds       map[ServerInstance]bool
	changedQuarantine map[Fingerprint]bool
	expiredAt         time.Time
	// dropped is the number of broken sends that a limit kept from being recorded.
	dropped int
}

// pendingSends are the requests whose sends to a server ended without a complete response.
type pendingSends struct {
	service ident.Service
	// requests has whether a server has survived the request.
	requests map[Fingerprint]bool
	// firstAt and lastAt are when the first and the last of these sends ended.
	firstAt, lastAt time.Time
}

// serverEnd is an end of a backend server that was not announced.
type serverEnd struct {
	service ident.Service
	at      time.Time
	// survived has the requests that were running. The value is true if a server has survived the request since.
	survived map[Fingerprint]bool
	// suspected is the number of requests that no server has survived since.
	suspected int
}

// NewCrashRegister returns an empty register.
func NewCrashRegister(config CrashConfig) *CrashRegister {
	return &CrashRegister{
		config: config, pending: map[ServerInstance]*pendingSends{}, ends: map[ServerInstance]*serverEnd{},
		suspects: map[Fingerprint][]ServerInstance{}, quarantine: NewQuarantine(), review: map[Fingerprint]time.Time{},
		changedEnds: map[ServerInstance]bool{}, changedQuarantine: map[Fingerprint]bool{},
	}
}

// Empty reports whether the register knows of no request, so that none need be looked up.
func (r *CrashRegister) Empty() bool {
	return len(r.pending) == 0 && len(r.suspects) == 0 && r.quarantine.Len() == 0
}

// Status returns how the request may run.
func (r *CrashRegister) Status(now time.Time, fingerprint Fingerprint) RequestStatus {
	if r.suspects[fingerprint] != nil {
		r.evaluate(now, fingerprint)
	}
	switch {
	case r.quarantine.Left(now, fingerprint) > 0:
		return RequestQuarantined
	case r.suspects[fingerprint] != nil, r.brokenRecently(fingerprint):
		return RequestSuspect
	}
	return RequestNormal
}

// brokenRecently reports whether a send of the request was broken and its server may yet turn out to have ended.
func (r *CrashRegister) brokenRecently(fingerprint Fingerprint) bool {
	for _, pending := range r.pending {
		if survived, known := pending.requests[fingerprint]; known && !survived {
			return true
		}
	}
	return false
}

// QuarantineLeft returns the time until the request may run again.
func (r *CrashRegister) QuarantineLeft(now time.Time, fingerprint Fingerprint) time.Duration {
	return r.quarantine.Left(now, fingerprint)
}

// BrokenSend is a send of a request to a server that ended without a complete response.
type BrokenSend struct {
	Fingerprint Fingerprint
	StartedAt   time.Time
	// Survived is true if a server has survived the same request shortly before.
	Survived bool
}

// RecordBroken records a broken send to a server.
// It counts once the server has ended. A send that began after an earlier one was broken does not count, since the server
// may have ended before.
func (r *CrashRegister) RecordBroken(now time.Time, server ServerInstance, service ident.Service, send BrokenSend) {
	if end := r.ends[server]; end != nil {
		if !send.StartedAt.After(end.at) {
			r.addSend(now, server, end, send.Fingerprint, send.Survived)
		}
		return
	}
	pending := r.pending[server]
	switch {
	case pending == nil && len(r.pending) >= maxPendingServers:
		r.dropped++
		return
	case pending == nil:
		pending = &pendingSends{service: service, requests: map[Fingerprint]bool{}, firstAt: now}
		r.pending[server] = pending
	case send.StartedAt.After(pending.firstAt):
		return
	}
	pending.lastAt = now
	if len(pending.requests) >= maxPendingRequests {
		r.dropped++
		return
	}
	pending.requests[send.Fingerprint] = pending.requests[send.Fingerprint] || send.Survived
}

// RecordRuns records that a server was reached by a connection or request that began at startedAt: it has not ended during
// sends that were broken before.
func (r *CrashRegister) RecordRuns(server ServerInstance, startedAt time.Time) {
	if pending := r.pending[server]; pending != nil && startedAt.After(pending.firstAt) {
		delete(r.pending, server)
	}
}

// RecordEnd records that a server has ended without having announced it.
func (r *CrashRegister) RecordEnd(now time.Time, server ServerInstance, service ident.Service) {
	if r.ends[server] != nil {
		return
	}
	end := r.addEnd(server, service, now)
	if pending := r.pending[server]; pending != nil {
		for fingerprint, survived := range pending.requests {
			r.addSend(now, server, end, fingerprint, survived)
		}
		delete(r.pending, server)
	}
}

// RecordSurvived records that a server has run the request and given a complete response.
func (r *CrashRegister) RecordSurvived(now time.Time, fingerprint Fingerprint) {
	for _, pending := range r.pending {
		if _, known := pending.requests[fingerprint]; known {
			pending.requests[fingerprint] = true
		}
	}
	for _, server := range r.suspects[fingerprint] {
		r.markSurvived(now, server, r.ends[server], fingerprint)
	}
}

// addEnd adds an end. A full register drops the oldest.
func (r *CrashRegister) addEnd(server ServerInstance, service ident.Service, at time.Time) *serverEnd {
	if len(r.ends) >= maxServerEnds {
		r.dropOldestEnd()
	}
	end := &serverEnd{service: service, at: at, survived: map[Fingerprint]bool{}}
	r.ends[server] = end
	r.changedEnds[server] = true
	return end
}

func (r *CrashRegister) dropOldestEnd() {
	var oldest ServerInstance
	var at time.Time
	for server, end := range r.ends {
		if at.IsZero() || end.at.Before(at) {
			oldest, at = server, end.at
		}
	}
	r.removeEnd(oldest)
}

// removeEnd removes an end and what it says of its requests.
func (r *CrashRegister) removeEnd(server ServerInstance) {
	for fingerprint, survived := range r.ends[server].survived {
		if !survived {
			r.removeSuspicion(fingerprint, server)
		}
	}
	delete(r.ends, server)
	delete(r.changedEnds, server)
}

// removeSuspicion removes a server from the ends of a request.
func (r *CrashRegister) removeSuspicion(fingerprint Fingerprint, server ServerInstance) {
	var kept []ServerInstance
	for _, other := range r.suspects[fingerprint] {
		if other != server {
			kept = append(kept, other)
		}
	}
	if kept == nil {
		delete(r.suspects, fingerprint)
		return
	}
	r.suspects[fingerprint] = kept
}

// addSend adds a request that was running at an end.
func (r *CrashRegister) addSend(now time.Time, server ServerInstance, end *serverEnd, fingerprint Fingerprint, survived bool) {
	if survived {
		r.markSurvived(now, server, end, fingerprint)
		return
	}
	r.addRunning(now, server, end, fingerprint)
}

// addRunning adds a suspected request to an end. It returns false if the request is known there.
func (r *CrashRegister) addRunning(now time.Time, server ServerInstance, end *serverEnd, fingerprint Fingerprint) bool {
	if _, known := end.survived[fingerprint]; known || len(end.survived) >= maxRequestsPerEnd {
		return false
	}
	end.survived[fingerprint] = false
	end.suspected++
	r.suspects[fingerprint] = append(r.suspects[fingerprint], server)
	r.endChanged(now, server, end)
	return true
}

// markSurvived records that a request did not crash a server at an end. It returns false if that is known.
func (r *CrashRegister) markSurvived(now time.Time, server ServerInstance, end *serverEnd, fingerprint Fingerprint) bool {
	survived, known := end.survived[fingerprint]
	if survived || !known && len(end.survived) >= maxRequestsPerEnd {
		return false
	}
	if known {
		end.suspected--
		r.removeSuspicion(fingerprint, server)
	}
	end.survived[fingerprint] = true
	r.endChanged(now, server, end)
	return true
}

// endChanged plans the report of an end and the evaluation of its requests.
func (r *CrashRegister) endChanged(now time.Time, server ServerInstance, end *serverEnd) {
	r.changedEnds[server] = true
	for fingerprint, survived := range end.survived {
		if !survived {
			r.review[fingerprint] = now.Add(r.config.SettleTime)
		}
	}
}

// evaluate quarantines the request if its points reach the limit.
func (r *CrashRegister) evaluate(now time.Time, fingerprint Fingerprint) {
	if r.points(now, fingerprint) >= r.config.PointLimit && r.quarantine.Add(fingerprint, now.Add(r.config.QuarantineFor)) {
		r.changedQuarantine[fingerprint] = true
	}
}

// points returns the sum of the points of a request's ends.
func (r *CrashRegister) points(now time.Time, fingerprint Fingerprint) int {
	points := 0
	for _, server := range r.suspects[fingerprint] {
		if r.conclusive(now, server) {
			points += conclusivePoints
		} else {
			points++
		}
	}
	return points
}

// conclusive reports whether nothing but its only suspected request explains an end.
func (r *CrashRegister) conclusive(now time.Time, server ServerInstance) bool {
	end := r.ends[server]
	if end.suspected != 1 || now.Sub(end.at) < r.config.SettleTime {
		return false
	}
	unexplained := 0
	for _, other := range r.ends {
		if other.service == end.service && other.suspected == 0 && other.at.Sub(end.at).Abs() <= r.config.MassWindow {
			unexplained++
		}
	}
	return unexplained < r.config.MassEnds
}

// Tick evaluates requests whose ends have changed, and drops what has expired.
func (r *CrashRegister) Tick(now time.Time) {
	for fingerprint, at := range r.review {
		if !now.Before(at) {
			delete(r.review, fingerprint)
			r.evaluate(now, fingerprint)
		}
	}
	for server, pending := range r.pending {
		if now.Sub(pending.lastAt) > r.config.BrokenFor {
			delete(r.pending, server)
		}
	}
	if now.Sub(r.expiredAt) < r.config.BrokenFor {
		return
	}
	r.expiredAt = now
	r.quarantine.Expire(now)
	for server, end := range r.ends {
		if now.Sub(end.at) > r.config.SuspectFor {
			r.removeEnd(server)
		}
	}
}

// Counts returns the number of suspected and of quarantined requests, and of broken sends that a limit kept from being
// recorded.
func (r *CrashRegister) Counts() (suspects, quarantined, dropped int) {
	return len(r.suspects), r.quarantine.Len(), r.dropped
}
