package attempt

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// CrashConfig configures a CrashRegister.
type CrashConfig struct {
	// EvidenceLimit is the evidence, in nats, at which a request is quarantined. MinEnds is the number of ends below which
	// it never is. MaxEvidence bounds the evidence of one end.
	EvidenceLimit, MaxEvidence float64
	MinEnds                    int
	// SettleTime is the age below which an end is no evidence: other entries may yet report what they ran there.
	SettleTime time.Duration
	// ObserveFor is the time before and after an end in which other ends of the service count for the rate of ends.
	// PriorEnds is the number of ends that are assumed there besides.
	ObserveFor time.Duration
	PriorEnds  float64
	// ReturnFor is the time within which the caller of a request that was running at an end repeats it, if at all.
	ReturnFor time.Duration
	// BrokenFor is how long a broken send waits for the confirmation that its server has ended.
	BrokenFor time.Duration
	// SuspectFor is the time for which an end is kept.
	SuspectFor time.Duration
	// QuarantineFor is the time for which a request is refused.
	QuarantineFor time.Duration
}

// DefaultCrashConfig returns the default configuration. A request that alone explains three ends within short runs is
// quarantined. The evidence limit corresponds to a probability of 6 in a million for a sound request.
func DefaultCrashConfig() CrashConfig {
	suspects := DefaultSuspectConfig()
	return CrashConfig{
		EvidenceLimit: 12, MaxEvidence: 5, MinEnds: 3, SettleTime: 150 * time.Millisecond,
		ObserveFor: 10 * time.Second, PriorEnds: 4, ReturnFor: 2500 * time.Millisecond,
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
// exchange ends: sets that only grow, so that updates can be merged in any order.
//
// An end is evidence against the requests that were running and that no server has survived since: the less likely it is
// that a server ends during such a run, the more. How likely that is follows from the rate at which other servers of the
// service end without that request: failures of racks or zones, and other crash requests, raise it.
//
// It does no I/O and is not safe for concurrent use.
type CrashRegister struct {
	config  CrashConfig
	pending map[ServerInstance]*pendingSends
	ends    map[ServerInstance]*serverEnd
	// order has the ends in the order in which they were added, and may have ends that were removed.
	order []ServerInstance
	// suspects has the ends at which a request was running, for each request that no server has survived since.
	suspects   map[Fingerprint][]ServerInstance
	quarantine *Quarantine
	// servers has the number of listed servers of each service.
	servers map[ident.Service]int
	// review has the requests whose ends have changed.
	review map[Fingerprint]reviewPlan
	// changedEnds and changedQuarantine are not yet reported to other entries.
	changedEnds       map[ServerInstance]bool
	changedQuarantine map[Fingerprint]bool
	expiredAt         time.Time
	// dropped is the number of broken sends that a limit kept from being recorded.
	dropped int
}

// pendingSends are the broken sends to a server that may have ended.
type pendingSends struct {
	runs map[Fingerprint]endedRun
	// firstAt and lastAt are when the first and the last of these sends ended.
	firstAt, lastAt time.Time
}

// serverEnd is an end of a backend server that was not announced.
type serverEnd struct {
	service ident.Service
	at      time.Time
	// runs are the requests that were running.
	runs map[Fingerprint]endedRun
}

// endedRun is a run of a request at a server that ended.
type endedRun struct {
	// duration is the time from the send to its end.
	duration time.Duration
	// survived is true if a server has survived the request since, or shortly before.
	survived bool
}

// reviewPlan has the times of the next and of the last planned evaluation of a request.
type reviewPlan struct {
	next, last time.Time
}

// BrokenSend is a send of a request to a server that ended without a complete response.
type BrokenSend struct {
	Fingerprint Fingerprint
	StartedAt   time.Time
	// Survived is true if a server has survived the same request shortly before.
	Survived bool
}

// NewCrashRegister returns an empty register.
func NewCrashRegister(config CrashConfig) *CrashRegister {
	return &CrashRegister{
		config: config, pending: map[ServerInstance]*pendingSends{}, ends: map[ServerInstance]*serverEnd{},
		suspects: map[Fingerprint][]ServerInstance{}, quarantine: NewQuarantine(), review: map[Fingerprint]reviewPlan{},
		servers: map[ident.Service]int{}, changedEnds: map[ServerInstance]bool{},
		changedQuarantine: map[Fingerprint]bool{},
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
		if run, known := pending.runs[fingerprint]; known && !run.survived {
			return true
		}
	}
	return false
}

// QuarantineLeft returns the time until the request may run again.
func (r *CrashRegister) QuarantineLeft(now time.Time, fingerprint Fingerprint) time.Duration {
	return r.quarantine.Left(now, fingerprint)
}

// RecordBroken records a broken send to a server. It counts once the server has ended. A send that began after an earlier
// one was broken does not count, since the server may have ended before.
func (r *CrashRegister) RecordBroken(now time.Time, server ServerInstance, send BrokenSend) {
	run := endedRun{duration: now.Sub(send.StartedAt), survived: send.Survived}
	if end := r.ends[server]; end != nil {
		if !send.StartedAt.After(end.at) {
			r.addRun(now, server, end, send.Fingerprint, run)
		}
		return
	}
	pending := r.pending[server]
	switch {
	case pending == nil && len(r.pending) >= maxPendingServers:
		r.dropped++
		return
	case pending == nil:
		pending = &pendingSends{runs: map[Fingerprint]endedRun{}, firstAt: now}
		r.pending[server] = pending
	case send.StartedAt.After(pending.firstAt):
		return
	}
	pending.lastAt = now
	if len(pending.runs) >= maxPendingRequests {
		r.dropped++
		return
	}
	pending.runs[send.Fingerprint] = mergeRuns(pending.runs[send.Fingerprint], run)
}

// mergeRuns returns the run that is less evidence against a request, part by part.
func mergeRuns(a, b endedRun) endedRun {
	return endedRun{duration: max(a.duration, b.duration), survived: a.survived || b.survived}
}

// RecordReached records that a server was reached by a connection or request that began at startedAt: it has not ended
// during sends that were broken before.
func (r *CrashRegister) RecordReached(server ServerInstance, startedAt time.Time) {
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
		for fingerprint, run := range pending.runs {
			r.addRun(now, server, end, fingerprint, run)
		}
		delete(r.pending, server)
	}
}

// RecordServed records that a server has run a request and given a complete response.
func (r *CrashRegister) RecordServed(now time.Time, fingerprint Fingerprint) {
	for _, pending := range r.pending {
		if run, known := pending.runs[fingerprint]; known {
			run.survived = true
			pending.runs[fingerprint] = run
		}
	}
	for _, server := range r.suspects[fingerprint] {
		r.addRun(now, server, r.ends[server], fingerprint, endedRun{survived: true})
	}
}

// addEnd adds an end. A full register drops the oldest.
func (r *CrashRegister) addEnd(server ServerInstance, service ident.Service, at time.Time) *serverEnd {
	if len(r.ends) >= maxServerEnds {
		r.dropOldestEnd()
	}
	end := &serverEnd{service: service, at: at, runs: map[Fingerprint]endedRun{}}
	r.ends[server] = end
	r.order = append(r.order, server)
	return end
}

// dropOldestEnd removes the end that was added first.
func (r *CrashRegister) dropOldestEnd() {
	for len(r.order) > 0 {
		oldest := r.order[0]
		r.order = r.order[1:]
		if r.ends[oldest] != nil {
			r.removeEnd(oldest)
			return
		}
	}
}

// removeEnd removes an end and what it says of its requests.
func (r *CrashRegister) removeEnd(server ServerInstance) {
	for fingerprint, run := range r.ends[server].runs {
		if !run.survived {
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

// addRun adds a run to an end, or merges it with what is known of it.
func (r *CrashRegister) addRun(now time.Time, server ServerInstance, end *serverEnd, fingerprint Fingerprint, run endedRun) {
	old, known := end.runs[fingerprint]
	merged := mergeRuns(old, run)
	if known && merged == old {
		return
	}
	if !known && len(end.runs) >= maxRequestsPerEnd {
		r.dropped++
		return
	}
	end.runs[fingerprint] = merged
	switch {
	case !known && !merged.survived:
		r.suspects[fingerprint] = append(r.suspects[fingerprint], server)
	case known && merged.survived && !old.survived:
		r.removeSuspicion(fingerprint, server)
	}
	r.changedEnds[server] = true
	r.planReview(now, end)
}

// Counts returns the number of suspected and of quarantined requests, and of broken sends that a limit kept from being
// recorded.
func (r *CrashRegister) Counts() (suspects, quarantined, dropped int) {
	return len(r.suspects), r.quarantine.Len(), r.dropped
}
