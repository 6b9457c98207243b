package attempt

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// SuspectConfig configures the quarantine of requests that crash their backend servers.
type SuspectConfig struct {
	// SuspectFor is the time after its last crash for which a request runs only alone.
	SuspectFor time.Duration
	// QuarantineFor is the time for which a request is refused.
	QuarantineFor time.Duration
	// Hosts is the number of backend servers of a service that run suspects.
	Hosts int
	// CrashLimit is the number of crashes that leads to quarantine.
	CrashLimit int
	// GroupAloneLimit is the number of crashes as a suspect alone that leads to quarantine in
	// a model group. Its ranks die together, so that one such crash may be another rank's.
	GroupAloneLimit int
	// Beside lets suspects run beside other requests, so that the crashes alone are counted.
	// By default suspects run alone, and only a crash alone leads to quarantine.
	Beside bool
}

// DefaultSuspectConfig returns the configuration of an entry.
func DefaultSuspectConfig() SuspectConfig {
	return SuspectConfig{
		SuspectFor: 10 * time.Minute, QuarantineFor: time.Hour, Hosts: 2, CrashLimit: 2, GroupAloneLimit: 2,
	}
}

// Judgement says how a request may run.
type Judgement uint8

// The judgements on a request.
const (
	// JudgeFree means that the request runs like any other.
	JudgeFree Judgement = iota
	// JudgeSuspect means that the request runs alone.
	JudgeSuspect
	// JudgeQuarantined means that the request is refused.
	JudgeQuarantined
)

// Suspects is an entry's register of the requests that may have crashed a backend server.
type Suspects struct {
	config   SuspectConfig
	requests map[Fingerprint]*suspect
	seen     map[crashID]time.Time
}

type suspect struct {
	crashes int
	// alone counts the crashes of a model group while the request ran there as a suspect.
	alone            int
	until            time.Time
	quarantinedUntil time.Time
}

type crashID struct {
	agent ident.Instance
	crash uint64
}

// NewSuspects returns an empty register.
func NewSuspects(config SuspectConfig) *Suspects {
	return &Suspects{config: config, requests: map[Fingerprint]*suspect{}, seen: map[crashID]time.Time{}}
}

// Judge returns how the request may run.
func (s *Suspects) Judge(now time.Time, fingerprint Fingerprint) Judgement {
	known := s.requests[fingerprint]
	switch {
	case known == nil:
		return JudgeFree
	case now.Before(known.quarantinedUntil):
		return JudgeQuarantined
	case now.Before(known.until) && !s.config.Beside:
		return JudgeSuspect
	}
	return JudgeFree
}

// QuarantineLeft returns the time until the request may run again.
func (s *Suspects) QuarantineLeft(now time.Time, fingerprint Fingerprint) time.Duration {
	known := s.requests[fingerprint]
	if known == nil {
		return 0
	}
	return max(0, known.quarantinedUntil.Sub(now))
}

// Crash notes a crash, and returns the notices for the requests that are quarantined by it.
func (s *Suspects) Crash(now time.Time, report CrashReport) []QuarantineNotice {
	id := crashID{report.Agent, report.Crash}
	if _, ok := s.seen[id]; ok {
		return nil
	}
	s.seen[id] = now
	var notices []QuarantineNotice
	for _, fingerprint := range report.Running {
		known := s.suspectOf(fingerprint)
		known.crashes++
		known.until = now.Add(s.config.SuspectFor)
		if report.Alone && report.Group != "" {
			known.alone++
		}
		if s.isCulprit(known, report) {
			known.quarantinedUntil = now.Add(s.config.QuarantineFor)
			notices = append(notices, QuarantineNotice{
				Fingerprint: fingerprint, Crashes: known.crashes, ExpiresIn: s.config.QuarantineFor,
			})
		}
	}
	return notices
}

// isCulprit reports whether a crash is reason enough to quarantine one of the requests that
// were running.
func (s *Suspects) isCulprit(known *suspect, report CrashReport) bool {
	if known.crashes < s.config.CrashLimit {
		return false
	}
	if s.config.Beside {
		return true
	}
	if report.Group != "" {
		return known.alone >= s.config.GroupAloneLimit
	}
	return len(report.Running) == 1
}

func (s *Suspects) suspectOf(fingerprint Fingerprint) *suspect {
	known := s.requests[fingerprint]
	if known == nil {
		known = &suspect{}
		s.requests[fingerprint] = known
	}
	return known
}

// Notice takes over another entry's quarantine.
func (s *Suspects) Notice(now time.Time, notice QuarantineNotice) {
	known := s.suspectOf(notice.Fingerprint)
	known.crashes = max(known.crashes, notice.Crashes)
	known.until = later(known.until, now.Add(notice.ExpiresIn))
	known.quarantinedUntil = later(known.quarantinedUntil, now.Add(notice.ExpiresIn))
}

// Clear lifts the suspicion from a request that ran alone and did not crash.
func (s *Suspects) Clear(fingerprint Fingerprint) {
	delete(s.requests, fingerprint)
}

// Expire forgets suspicions, quarantines and reports that are over.
func (s *Suspects) Expire(now time.Time) {
	for fingerprint, known := range s.requests {
		if !now.Before(known.until) && !now.Before(known.quarantinedUntil) {
			delete(s.requests, fingerprint)
		}
	}
	for id, at := range s.seen {
		if now.Sub(at) > s.config.SuspectFor {
			delete(s.seen, id)
		}
	}
}

// Counts returns the number of suspects and of quarantined requests.
func (s *Suspects) Counts(now time.Time) (suspects, quarantined int) {
	for fingerprint := range s.requests {
		switch s.Judge(now, fingerprint) {
		case JudgeSuspect:
			suspects++
		case JudgeQuarantined:
			quarantined++
		case JudgeFree:
		}
	}
	return suspects, quarantined
}
