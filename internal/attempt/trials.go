package attempt

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// minTrialTime is the shortest time for which a trial run excludes others: it covers the messages about it.
const minTrialTime = 200 * time.Millisecond

// maxTrialTime is the longest time for which it does, so that a lost release of a long run does not hold up others for long.
const maxTrialTime = 10 * time.Second

// maxTrials bounds the services with a trial run.
const maxTrials = 1024

// TrialRun identifies a trial run of a suspect: the only one at a time of a service over all entries.
type TrialRun struct {
	// Entry is the address of the entry that wants to run the suspect, Number one that it does not use again.
	Entry  string
	Number uint64
}

// TrialRuns permits trial runs at the entry that owns a service, see TrialOwners. A suspect that has ended several servers but
// may be sound runs while no other such suspect does, and after the last end is known to all: each run then tells whether it
// ends servers. Requests and releases may arrive late, twice or never. It does no I/O and is not safe for concurrent use.
type TrialRuns struct {
	// settleTime is the time after a run that was cut off for which no other begins: its end is known to all by then.
	settleTime time.Duration
	permits    map[ident.Service]trialPermit
}

// trialPermit is the last permit for a service.
type trialPermit struct {
	run TrialRun
	// until is the time before which no other run is permitted.
	until time.Time
	ended bool
}

// NewTrialRuns returns a set without trial runs.
func NewTrialRuns(settleTime time.Duration) *TrialRuns {
	return &TrialRuns{settleTime: settleTime, permits: map[ident.Service]trialPermit{}}
}

// Request permits a run at the service for the given time, at most maxTrialTime, unless another one is permitted. A request
// that is repeated is permitted again.
func (t *TrialRuns) Request(now time.Time, service ident.Service, run TrialRun, lasts time.Duration) bool {
	permit, known := t.permits[service]
	switch {
	case known && permit.run == run && permit.ended:
		return false
	case known && now.Before(permit.until):
		return permit.run == run
	case !known && len(t.permits) >= maxTrials:
		t.Expire(now)
		if len(t.permits) >= maxTrials {
			return false
		}
	}
	t.permits[service] = trialPermit{run: run, until: now.Add(min(lasts, maxTrialTime) + t.settleTime)}
	return true
}

// Release records that a run has ended, unless its permit has expired. If its server broke it off, the next one waits until
// the end is known to all.
func (t *TrialRuns) Release(now time.Time, service ident.Service, run TrialRun, broken bool) {
	permit, known := t.permits[service]
	if !known || permit.run != run || permit.ended || !now.Before(permit.until) {
		return
	}
	permit.ended, permit.until = true, now
	if broken {
		permit.until = now.Add(t.settleTime)
	}
	t.permits[service] = permit
}

// Expire forgets the runs that exclude no others any more.
func (t *TrialRuns) Expire(now time.Time) {
	for service, permit := range t.permits {
		if !now.Before(permit.until) {
			delete(t.permits, service)
		}
	}
}

// TrialOwners returns the entries that own a service, the first one before its deputies. All entries with the same list
// of entries agree, and those that know one more or less mostly do.
func TrialOwners[E any](service ident.Service, entries []E, name func(E) string, count int) []E {
	return topRanked(string(service)+hashSeparator+"trials", entries, name, count)
}

// OnTrial returns the request's trait, if any, whose runs need a permit, and for how long such a run excludes others: twice
// as long as the longest run that an end has cut off. Only the request itself is considered, since its parts may be
// common to many requests.
func (r *CrashRegister) OnTrial(traits []Fingerprint) (trait Fingerprint, lasts time.Duration, onTrial bool) {
	for _, trait := range traits {
		ends := r.suspects[trait]
		if trait.IsPart() || len(ends) < r.config.MinEnds || !r.needsTrial(trait) {
			continue
		}
		longest := time.Duration(0)
		for _, server := range ends {
			longest = max(longest, r.ends[server].runs[trait].duration)
		}
		return trait, max(2*longest, minTrialTime), true
	}
	return Fingerprint{}, 0, false
}
