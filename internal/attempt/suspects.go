package attempt

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// SuspectConfig configures the quarantine of requests that crash their backend servers.
type SuspectConfig struct {
	// SuspectFor is the time after a request's last crash for which it runs only alone.
	SuspectFor time.Duration
	// QuarantineFor is the time for which a request is refused.
	QuarantineFor time.Duration
	// Hosts is the number of backend servers of a service that run suspects.
	Hosts int
	// CrashLimit is the number of crashes below which a request is never quarantined.
	CrashLimit int
	// GroupAloneLimit applies to model groups: a request is quarantined after this many crashes of a
	// group during which it ran alone, as a suspect, on one rank. A single crash proves nothing: all
	// ranks fail together, and a request on another rank may have caused it.
	GroupAloneLimit int
	// AllowConcurrent lets suspects run together with other requests; CrashLimit alone then decides on the
	// quarantine. By default suspects run alone, and quarantine also needs a crash while nothing
	// else was running or, in a model group, GroupAloneLimit.
	AllowConcurrent bool
}

// DefaultSuspectConfig returns the default configuration of the quarantine.
func DefaultSuspectConfig() SuspectConfig {
	return SuspectConfig{
		SuspectFor: 10 * time.Minute, QuarantineFor: time.Hour, Hosts: 2, CrashLimit: 2, GroupAloneLimit: 2,
	}
}

// RequestStatus is the status of a request in the register; it says how the request may run.
type RequestStatus uint8

// The statuses of a request.
const (
	// RequestNormal means that the request runs without restriction.
	RequestNormal RequestStatus = iota
	// RequestSuspect means that the request runs alone.
	RequestSuspect
	// RequestQuarantined means that the request is refused.
	RequestQuarantined
)

// Suspects is an entry's register of the requests that may have crashed a backend server.
type Suspects struct {
	config      SuspectConfig
	requests    map[Fingerprint]*suspect
	quarantine  *Quarantine
	seenCrashes map[crashID]time.Time
}

// suspect is the register's record of one request. crashes counts the crashes of backend servers
// while the request was running.
type suspect struct {
	crashes int
	// aloneCrashes counts the crashes of a model group while the request ran there alone.
	aloneCrashes int
	suspectUntil time.Time
}

// crashID identifies a reported crash, so that a repeated report is counted once.
type crashID struct {
	agent ident.Instance
	crash uint64
}

// NewSuspects returns an empty register.
func NewSuspects(config SuspectConfig) *Suspects {
	return &Suspects{config: config, requests: map[Fingerprint]*suspect{}, quarantine: NewQuarantine(), seenCrashes: map[crashID]time.Time{}}
}

// Status returns how the request may run.
func (s *Suspects) Status(now time.Time, fingerprint Fingerprint) RequestStatus {
	record := s.requests[fingerprint]
	switch {
	case s.quarantine.Left(now, fingerprint) > 0:
		return RequestQuarantined
	case record == nil:
		return RequestNormal
	case now.Before(record.suspectUntil) && !s.config.AllowConcurrent:
		return RequestSuspect
	}
	return RequestNormal
}

// QuarantineLeft returns the time until the request may run again.
func (s *Suspects) QuarantineLeft(now time.Time, fingerprint Fingerprint) time.Duration {
	return s.quarantine.Left(now, fingerprint)
}

// RecordCrash records a crash once, and returns notices for the requests that it puts in quarantine.
func (s *Suspects) RecordCrash(now time.Time, report CrashReport) []QuarantineNotice {
	id := crashID{report.Agent, report.Crash}
	if _, ok := s.seenCrashes[id]; ok {
		return nil
	}
	s.seenCrashes[id] = now
	var notices []QuarantineNotice
	for _, fingerprint := range report.Running {
		record := s.findOrAdd(fingerprint)
		record.crashes++
		record.suspectUntil = now.Add(s.config.SuspectFor)
		if report.Alone && report.Group != "" {
			record.aloneCrashes++
		}
		if s.mustQuarantine(record, report) {
			s.quarantine.Add(fingerprint, now.Add(s.config.QuarantineFor))
			notices = append(notices, QuarantineNotice{
				Fingerprint: fingerprint, Crashes: record.crashes, ExpiresIn: s.config.QuarantineFor,
			})
		}
	}
	return notices
}

// mustQuarantine reports whether a request that was running during the crash must be quarantined.
func (s *Suspects) mustQuarantine(record *suspect, report CrashReport) bool {
	if record.crashes < s.config.CrashLimit {
		return false
	}
	if s.config.AllowConcurrent {
		return true
	}
	if report.Group != "" {
		return record.aloneCrashes >= s.config.GroupAloneLimit
	}
	return len(report.Running) == 1
}

func (s *Suspects) findOrAdd(fingerprint Fingerprint) *suspect {
	record := s.requests[fingerprint]
	if record == nil {
		record = &suspect{}
		s.requests[fingerprint] = record
	}
	return record
}

// ApplyNotice applies another entry's quarantine notice.
func (s *Suspects) ApplyNotice(now time.Time, notice QuarantineNotice) {
	record := s.findOrAdd(notice.Fingerprint)
	record.crashes = max(record.crashes, notice.Crashes)
	record.suspectUntil = later(record.suspectUntil, now.Add(notice.ExpiresIn))
	s.quarantine.Add(notice.Fingerprint, now.Add(notice.ExpiresIn))
}

// Clear removes a request from the register after it ran alone without a crash.
func (s *Suspects) Clear(fingerprint Fingerprint) {
	delete(s.requests, fingerprint)
	s.quarantine.Remove(fingerprint)
}

// Expire drops expired suspects, quarantines and crash reports.
func (s *Suspects) Expire(now time.Time) {
	s.quarantine.Expire(now)
	for fingerprint, record := range s.requests {
		if !now.Before(record.suspectUntil) && s.quarantine.Left(now, fingerprint) == 0 {
			delete(s.requests, fingerprint)
		}
	}
	for id, at := range s.seenCrashes {
		if now.Sub(at) > s.config.SuspectFor {
			delete(s.seenCrashes, id)
		}
	}
}

// Counts returns the number of suspects and of quarantined requests.
func (s *Suspects) Counts(now time.Time) (suspects, quarantined int) {
	for fingerprint := range s.requests {
		switch s.Status(now, fingerprint) {
		case RequestSuspect:
			suspects++
		case RequestQuarantined:
			quarantined++
		case RequestNormal:
		}
	}
	return suspects, quarantined
}
