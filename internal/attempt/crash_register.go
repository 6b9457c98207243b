package attempt

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// CrashConfig configures a CrashRegister.
type CrashConfig struct {
	// EvidenceLimit is the evidence, in nats, at which a trait is quarantined. MinEnds is the number of ends below which
	// it never is. MaxEvidence bounds the evidence of one end, MaxShareEvidence where served runs are weighed against the ends.
	EvidenceLimit, MaxEvidence, MaxShareEvidence float64
	MinEnds                                      int
	// TrialEvidenceLimit is the evidence at which a request is quarantined that has ended ConfirmingTrials servers in trial runs.
	TrialEvidenceLimit float64
	ConfirmingTrials   int
	// Margin is by how many nats a trait must explain its ends better than the others to be quarantined by itself.
	Margin float64
	// SettleTime is the age below which an end is no evidence: other entries may yet report what they ran there.
	SettleTime time.Duration
	// SameMoment is the time between two ends below which they may have one cause, such as the failure of a rack.
	SameMoment time.Duration
	// SequenceGap is the time between two ends of servers of a service below which both may belong to one outage.
	SequenceGap time.Duration
	// ListDelay is how long after its end a server may still be listed.
	ListDelay time.Duration
	// ObserveFor is the time before and after an end in which other ends of the service count for the rate of ends.
	// PriorEnds is the number of ends that are assumed there besides.
	ObserveFor time.Duration
	PriorEnds  float64
	// ReturnFor is the time within which requests with a trait that crashes servers are usually repeated.
	ReturnFor time.Duration
	// BrokenFor is how long a broken send waits for the confirmation that its server has ended.
	BrokenFor time.Duration
	// SuspectFor is the time for which an end is kept.
	SuspectFor time.Duration
	// QuarantineFor is the time for which requests with a trait are refused.
	QuarantineFor time.Duration
}

// DefaultCrashConfig returns the default configuration. A trait that alone explains three ends within short runs is
// quarantined. The evidence limit corresponds to a probability of 6 in a million for a sound one. Of the runs of a sound request
// one in 4,096 may end its server, which is 8.3 nats.
func DefaultCrashConfig() CrashConfig {
	suspects := DefaultSuspectConfig()
	return CrashConfig{
		EvidenceLimit: 12, MaxEvidence: 5, MaxShareEvidence: 8, MinEnds: 3, TrialEvidenceLimit: 8, ConfirmingTrials: 2, Margin: 5,
		SettleTime: 150 * time.Millisecond, SameMoment: 60 * time.Millisecond, SequenceGap: 500 * time.Millisecond, ListDelay: 5 * time.Second,
		ObserveFor: 10 * time.Second, PriorEnds: 4, ReturnFor: 2500 * time.Millisecond,
		BrokenFor: 8 * time.Second, SuspectFor: suspects.SuspectFor, QuarantineFor: suspects.QuarantineFor,
	}
}

// Limits of a register's memory. A register at all limits takes about 10 MB.
const (
	maxServerEnds = 1024
	// maxTraitsPerEnd bounds the traits that were running at one end; twice as many if they were at other ends too.
	maxTraitsPerEnd = 256
	// maxEndedRuns bounds the runs at all ends.
	maxEndedRuns      = 1 << 16
	maxPendingServers = 256
	maxPendingTraits  = 256
)

// CrashRegister is an entry's knowledge of the traits of requests that crash the backend servers which run them, for
// entries that send requests directly to backend servers. A trait is the request itself, as its caller repeats it, or a part
// of its prompt that other requests may share; both have fingerprints and are treated alike. The register is built from
// broken sends whose server has ended. Unlike Suspects, whose agents report all requests that ran during a crash, each entry
// knows only its own sends. The entries therefore exchange ends: sets that only grow, so that updates can be merged in any
// order.
//
// An end is evidence against the traits that were running and that no server has survived since: the less likely it is
// that a server ends during such a run, the more. How likely that is follows from the rate at which other servers of the
// service end: failures of racks or zones, and other crash requests, raise it. Of several traits that explain the same ends,
// the one that explains clearly more is quarantined, otherwise their combination.
//
// It does no I/O and is not safe for concurrent use. Registers with the same number and the same calls return the same results.
type CrashRegister struct {
	config CrashConfig
	// random orders reports.
	random  *rand.Rand
	pending map[ServerInstance]*pendingSends
	ends    map[ServerInstance]*serverEnd
	// order has the ends in the order in which they were added, and may have ends that were removed.
	order []ServerInstance
	// suspects has the ends at which a trait was running and that its served runs do not outweigh.
	suspects   map[Fingerprint][]ServerInstance
	quarantine *Quarantine
	// servers has the number of servers of each service.
	servers map[ident.Service]*serverCount
	// endedRuns is the number of runs at all ends.
	endedRuns int
	// assessAt is when the evidence is assessed next; zero if nothing has changed.
	assessAt time.Time
	// cleared has the number of ends at which a trait was running that its served runs outweigh.
	cleared map[Fingerprint]int
	// number identifies the register's counts of served runs.
	number uint64
	// recent has the traits' recently served runs, strength the evidence of the last assessment against those with MinEnds
	// ends.
	recent   map[Fingerprint]recentRuns
	strength map[Fingerprint]float64
	// changedEnds and changedQuarantine are how often changes are yet to be reported to other entries.
	changedEnds       map[ServerInstance]int
	changedQuarantine map[Fingerprint]int
	expiredAt         time.Time
	// dropped is the number of broken sends and runs that a limit kept from being recorded.
	dropped int
	// findings are the results of assessments that wait for TakeFindings, lastFindings the last of each trait.
	findings     []CrashFinding
	lastFindings map[Fingerprint]CrashFinding
}

// pendingSends are the broken sends to a server that may have ended.
type pendingSends struct {
	// runs are those of the traits of the sends' requests.
	runs map[Fingerprint]endedRun
	// firstAt and lastAt are when the first and the last of these sends ended.
	firstAt, lastAt time.Time
}

// serverEnd is an end of a backend server that was not announced.
type serverEnd struct {
	service ident.Service
	at      time.Time
	// runs are those of the traits that were running, served the counts of served runs of the suspected ones.
	runs   map[Fingerprint]endedRun
	served map[Fingerprint]servedCounts
}

// serverCount is the number of servers of a service. Servers that have ended leave the list before others replace them.
type serverCount struct {
	listed int
	// earlier is the greatest number before servers left the list; it counts until earlierUntil.
	earlier      int
	earlierUntil time.Time
}

// at returns the number of servers among which ends have happened lately, 1 or more.
func (c *serverCount) at(now time.Time) int {
	if c == nil {
		return 1
	}
	if now.Before(c.earlierUntil) {
		return max(c.listed, c.earlier, 1)
	}
	return max(c.listed, 1)
}

// endedRun is a run of a request with a trait at a server that ended.
type endedRun struct {
	// duration is the time from the send to its end; the longest if several requests with the trait were running.
	duration time.Duration
	// survived is true if the trait's served runs outweigh the end, before it or since.
	survived bool
	// sent is true if the register's own entry sent the requests, servedBefore the number of runs that it served shortly
	// before. Both are used until the run is added to its end.
	sent         bool
	servedBefore uint16
	// closed is true if all responses to requests with the trait looked complete, but ended with their connection.
	closed bool
}

// BrokenSend is a send of a request to a server that ended without a complete response, or with one that only the end of
// the connection marked as complete.
type BrokenSend struct {
	StartedAt time.Time
	// Closed is true in the second case: the server has survived the request if it is reached later.
	Closed bool
	// Suspected are the request's traits of which not ClearingRuns runs were served shortly before, the request itself
	// first. Survived are others that are worth reporting to other entries.
	Suspected, Survived []Fingerprint
}

// NewCrashRegister returns an empty register. The number must be drawn at random for each start of an entry, so that a restarted one
// does not add to counts that it has forgotten.
func NewCrashRegister(config CrashConfig, number uint64) *CrashRegister {
	return &CrashRegister{
		config: config, random: rand.New(rand.NewPCG(number, number)), pending: map[ServerInstance]*pendingSends{}, ends: map[ServerInstance]*serverEnd{},
		suspects: map[Fingerprint][]ServerInstance{}, quarantine: NewQuarantine(),
		servers: map[ident.Service]*serverCount{}, cleared: map[Fingerprint]int{}, changedEnds: map[ServerInstance]int{},
		changedQuarantine: map[Fingerprint]int{}, lastFindings: map[Fingerprint]CrashFinding{},
		number: number, recent: map[Fingerprint]recentRuns{}, strength: map[Fingerprint]float64{},
	}
}

// Empty reports whether the register knows of no trait, so that none need be looked up.
func (r *CrashRegister) Empty() bool {
	return len(r.pending) == 0 && len(r.suspects) == 0 && r.quarantine.Len() == 0
}

// Status returns how a request with the given traits may run.
func (r *CrashRegister) Status(now time.Time, traits []Fingerprint) RequestStatus {
	r.assess(now)
	if left, _ := r.quarantine.LeftOf(now, traits); left > 0 {
		return RequestQuarantined
	}
	for _, trait := range traits {
		if r.suspects[trait] != nil || r.brokenRecently(trait) {
			return RequestSuspect
		}
	}
	return RequestNormal
}

// brokenRecently reports whether a send with the trait was broken and its server may yet turn out to have ended.
func (r *CrashRegister) brokenRecently(trait Fingerprint) bool {
	for _, pending := range r.pending {
		if run, known := pending.runs[trait]; known && !run.survived {
			return true
		}
	}
	return false
}

// QuarantineLeft returns the time until a request with the given traits may run again, and the fingerprint of the trait or
// combination because of which it is refused.
func (r *CrashRegister) QuarantineLeft(now time.Time, traits []Fingerprint) (time.Duration, Fingerprint) {
	return r.quarantine.LeftOf(now, traits)
}

// RecordBroken records a broken send to a server. It counts once the server has ended. A send that began after an earlier
// one was broken does not count, since the server may have ended before.
func (r *CrashRegister) RecordBroken(now time.Time, server ServerInstance, send BrokenSend) {
	if end := r.ends[server]; end != nil {
		if !send.StartedAt.After(end.at) {
			send.eachRun(now, func(trait Fingerprint, run endedRun) { r.addRun(now, server, end, trait, run) })
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
	send.eachRun(now, func(trait Fingerprint, run endedRun) {
		old, known := pending.runs[trait]
		if !known && len(pending.runs) >= r.traitLimit(trait, maxPendingTraits) {
			r.dropped++
			return
		}
		run.servedBefore = r.takeRecent(now, trait).runs
		if known {
			run = mergeRuns(old, run)
		}
		pending.runs[trait] = run
	})
}

// eachRun calls add with each trait of the request and its run, which ends now.
func (s *BrokenSend) eachRun(now time.Time, add func(trait Fingerprint, run endedRun)) {
	for _, trait := range s.Suspected {
		add(trait, endedRun{duration: now.Sub(s.StartedAt), closed: s.Closed, sent: true})
	}
	for _, trait := range s.Survived {
		add(trait, endedRun{duration: now.Sub(s.StartedAt), survived: true})
	}
}

// traitLimit returns the number of traits up to which another one is recorded. It is larger for a suspect, so that new
// traits cannot displace one that was running at other ends.
func (r *CrashRegister) traitLimit(trait Fingerprint, limit int) int {
	if r.suspects[trait] != nil {
		return 2 * limit
	}
	return limit
}

// mergeRuns returns the run that is less evidence against a trait, field by field.
func mergeRuns(a, b endedRun) endedRun {
	return endedRun{
		duration: max(a.duration, b.duration), survived: a.survived || b.survived, sent: a.sent || b.sent, servedBefore: max(a.servedBefore, b.servedBefore),
		closed: a.closed && b.closed,
	}
}

// RecordReached records that a server was reached by a connection or request that began at startedAt: it has not ended
// during sends that were broken before. It returns the traits that the server has survived, since responses to requests
// with them looked complete.
func (r *CrashRegister) RecordReached(now time.Time, server ServerInstance, startedAt time.Time) []Fingerprint {
	pending := r.pending[server]
	if pending == nil || !startedAt.After(pending.firstAt) {
		return nil
	}
	delete(r.pending, server)
	var survived []Fingerprint
	for _, trait := range sortedKeys(pending.runs, Fingerprint.compare) {
		if pending.runs[trait].closed {
			survived = append(survived, trait)
		}
	}
	r.RecordServed(now, survived)
	return survived
}

// RecordRefused records that a server refuses connections: it has ended if sends to it were broken before.
func (r *CrashRegister) RecordRefused(now time.Time, server ServerInstance, service ident.Service) {
	if r.pending[server] != nil {
		r.RecordEnd(now, server, service)
	}
}

// RecordEnd records that a server has ended without having announced it: when it broke the first send off, if it did.
func (r *CrashRegister) RecordEnd(now time.Time, server ServerInstance, service ident.Service) {
	if r.ends[server] != nil {
		return
	}
	pending, at := r.pending[server], now
	if pending != nil {
		at = pending.firstAt
	}
	end := r.addEnd(server, service, at)
	if pending != nil {
		for _, trait := range sortedKeys(pending.runs, Fingerprint.compare) {
			r.addRun(now, server, end, trait, pending.runs[trait])
		}
		delete(r.pending, server)
	}
}

// RecordServed records that a server has run a request with the given traits and given a complete response.
func (r *CrashRegister) RecordServed(now time.Time, traits []Fingerprint) {
	for _, trait := range traits {
		r.recordRecent(now, trait)
		r.recordServedSince(now, trait, 1)
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
	for trait, run := range r.ends[server].runs {
		if run.survived {
			r.forgetClearance(trait)
			continue
		}
		r.removeSuspicion(trait, server)
	}
	r.endedRuns -= len(r.ends[server].runs)
	delete(r.ends, server)
	delete(r.changedEnds, server)
}

// removeSuspicion removes a server from the ends of a trait.
func (r *CrashRegister) removeSuspicion(trait Fingerprint, server ServerInstance) {
	var kept []ServerInstance
	for _, other := range r.suspects[trait] {
		if other != server {
			kept = append(kept, other)
		}
	}
	if kept == nil {
		delete(r.suspects, trait)
		return
	}
	r.suspects[trait] = kept
}

// addRun adds a run to an end, or merges it with what is known of it.
func (r *CrashRegister) addRun(now time.Time, server ServerInstance, end *serverEnd, trait Fingerprint, run endedRun) {
	old, known := end.runs[trait]
	added := run
	run.closed, run.sent, run.servedBefore = false, false, 0
	merged := mergeRuns(old, run)
	// The end itself may have been dropped when one of its runs was added to a full register.
	if known && merged == old || r.ends[server] != end {
		return
	}
	if !known && len(end.runs) >= r.traitLimit(trait, maxTraitsPerEnd) {
		r.dropped++
		return
	}
	end.runs[trait] = merged
	switch {
	case !merged.survived && !known:
		r.suspects[trait] = append(r.suspects[trait], server)
		r.addRecent(now, server, end, trait, added)
	case merged.survived && !old.survived:
		r.cleared[trait]++
		delete(end.served, trait)
		if known {
			r.removeSuspicion(trait, server)
		}
		r.liftQuarantine(trait)
	}
	r.changedEnds[server] = reportsPerChange
	r.planAssessment(now.Add(r.config.SettleTime))
	if !known {
		r.endedRuns++
	}
	for r.endedRuns > maxEndedRuns && len(r.ends) > 1 {
		r.dropOldestEnd()
	}
}

// isCleared reports whether the trait's served runs outweigh all ends at which it was running.
func (r *CrashRegister) isCleared(trait Fingerprint) bool {
	return r.cleared[trait] > 0 && r.suspects[trait] == nil
}

// forgetClearance removes one end from those that a trait is cleared of.
func (r *CrashRegister) forgetClearance(trait Fingerprint) {
	r.cleared[trait]--
	if r.cleared[trait] <= 0 {
		delete(r.cleared, trait)
	}
}

// liftQuarantine lets requests with a trait run again if another entry has reported that a server survived it: the entry
// that quarantined it lacked evidence against another trait.
func (r *CrashRegister) liftQuarantine(trait Fingerprint) {
	if r.isCleared(trait) && r.quarantine.RemoveAllWith(trait) {
		r.addFinding(CrashFinding{Trait: trait, Decision: CrashLifted})
	}
}

// Counts returns the number of suspected and of quarantined traits, and of runs that a limit kept from being recorded.
func (r *CrashRegister) Counts() (suspects, quarantined, dropped int) {
	return len(r.suspects), r.quarantine.Len(), r.dropped
}

// SetServers sets the number of listed servers of a service.
func (r *CrashRegister) SetServers(now time.Time, service ident.Service, listed int) {
	count := r.servers[service]
	if count == nil {
		count = &serverCount{}
		r.servers[service] = count
	}
	if listed < count.listed {
		count.earlier, count.earlierUntil = count.at(now), now.Add(r.config.ObserveFor)
	}
	count.listed = listed
}

// Tick assesses the evidence that has changed, and drops what has expired.
func (r *CrashRegister) Tick(now time.Time) {
	r.assess(now)
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
	r.expireFindings(now)
	for server, end := range r.ends {
		age := now.Sub(end.at)
		if age > r.config.SuspectFor || len(end.runs) == 0 && age > 2*r.config.ObserveFor {
			r.removeEnd(server)
		}
	}
	r.order = slices.DeleteFunc(r.order, func(server ServerInstance) bool { return r.ends[server] == nil })
}
