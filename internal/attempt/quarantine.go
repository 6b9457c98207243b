package attempt

import (
	"encoding/binary"
	"time"
)

// maxQuarantined bounds the number of quarantined requests. Each takes about 60 bytes.
const maxQuarantined = 16_384

// Quarantine is a bounded set of requests that are refused until a time. It is not safe for concurrent use.
type Quarantine struct {
	until map[Fingerprint]time.Time
	// digest is the XOR of the first eight bytes of all fingerprints.
	digest uint64
}

// NewQuarantine returns an empty set.
func NewQuarantine() *Quarantine {
	return &Quarantine{until: map[Fingerprint]time.Time{}}
}

// Add refuses a request until the given time, or until an earlier call's later time. It returns true if the request was
// not in the set. A full set drops the request that would expire first.
func (q *Quarantine) Add(fingerprint Fingerprint, until time.Time) bool {
	earlier, known := q.until[fingerprint]
	if !known && len(q.until) >= maxQuarantined {
		q.dropFirst()
	}
	q.until[fingerprint] = later(earlier, until)
	if !known {
		q.digest ^= binary.BigEndian.Uint64(fingerprint[:])
	}
	return !known
}

// dropFirst removes the request that expires first.
func (q *Quarantine) dropFirst() {
	var first Fingerprint
	var at time.Time
	for fingerprint, until := range q.until {
		if at.IsZero() || until.Before(at) {
			first, at = fingerprint, until
		}
	}
	q.Remove(first)
}

// Remove lets the request run again.
func (q *Quarantine) Remove(fingerprint Fingerprint) {
	if _, known := q.until[fingerprint]; known {
		delete(q.until, fingerprint)
		q.digest ^= binary.BigEndian.Uint64(fingerprint[:])
	}
}

// Left returns the time until the request may run again; 0 if it may run now.
func (q *Quarantine) Left(now time.Time, fingerprint Fingerprint) time.Duration {
	return max(0, q.until[fingerprint].Sub(now))
}

// Expire removes the requests that may run again.
func (q *Quarantine) Expire(now time.Time) {
	for fingerprint, until := range q.until {
		if !now.Before(until) {
			q.Remove(fingerprint)
		}
	}
}

// Len returns the number of requests in the set.
func (q *Quarantine) Len() int { return len(q.until) }

// notice returns the notice about a request in the set.
func (q *Quarantine) notice(now time.Time, fingerprint Fingerprint) QuarantineNotice {
	return QuarantineNotice{Fingerprint: fingerprint, ExpiresIn: q.Left(now, fingerprint)}
}
