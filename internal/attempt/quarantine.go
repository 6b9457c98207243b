package attempt

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

// maxQuarantined bounds the number of quarantined requests, prompt parts and combinations. Each takes about 60 bytes, and
// 16 for each member of a combination.
const maxQuarantined = 16_384

// maxCombined is the maximum number of fingerprints in a combination: more than the examined parts of a prompt.
const maxCombined = 72

// Quarantine is a bounded set of fingerprints that are refused until a time: of requests, of prompt parts, and of
// combinations, which refuse requests that have all members. It is not safe for concurrent use.
type Quarantine struct {
	until map[Fingerprint]time.Time
	// combined has the members of each combination by its fingerprint, byMember the combinations by their first member.
	combined map[Fingerprint][]Fingerprint
	byMember map[Fingerprint][]Fingerprint
	// digest is the XOR of the first eight bytes of all fingerprints.
	digest uint64
}

// NewQuarantine returns an empty set.
func NewQuarantine() *Quarantine {
	return &Quarantine{until: map[Fingerprint]time.Time{}, combined: map[Fingerprint][]Fingerprint{}, byMember: map[Fingerprint][]Fingerprint{}}
}

// Add refuses a fingerprint until the given time, or until an earlier call's later time. It returns true if the
// fingerprint was not in the set. A full set drops the one that would expire first.
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

// AddAll refuses requests that have all given fingerprints, like Add. It returns the key of the combination, which is the
// fingerprint itself if there is only one.
func (q *Quarantine) AddAll(members []Fingerprint, until time.Time) (Fingerprint, bool) {
	if len(members) == 1 {
		return members[0], q.Add(members[0], until)
	}
	members = slices.Clone(members)
	slices.SortFunc(members, Fingerprint.compare)
	sum := sha256.New()
	for i := range members {
		sum.Write(members[i][:])
	}
	var key Fingerprint
	copy(key[:], sum.Sum(nil))
	added := q.Add(key, until)
	if added {
		q.combined[key] = members
		q.byMember[members[0]] = append(q.byMember[members[0]], key)
	}
	return key, added
}

// dropFirst removes the fingerprint that expires first.
func (q *Quarantine) dropFirst() {
	var first Fingerprint
	var at time.Time
	for fingerprint, until := range q.until {
		if order := until.Compare(at); at.IsZero() || order < 0 || order == 0 && fingerprint.compare(first) < 0 {
			first, at = fingerprint, until
		}
	}
	q.Remove(first)
}

// Remove lets requests with the fingerprint run again.
func (q *Quarantine) Remove(fingerprint Fingerprint) {
	if _, known := q.until[fingerprint]; !known {
		return
	}
	delete(q.until, fingerprint)
	q.digest ^= binary.BigEndian.Uint64(fingerprint[:])
	if members := q.combined[fingerprint]; members != nil {
		delete(q.combined, fingerprint)
		kept := slices.DeleteFunc(q.byMember[members[0]], func(key Fingerprint) bool { return key == fingerprint })
		if len(kept) == 0 {
			delete(q.byMember, members[0])
			return
		}
		q.byMember[members[0]] = kept
	}
}

// RemoveAllWith lets requests with the fingerprint run again, also those that a combination with it refuses. It returns
// true if there were any.
func (q *Quarantine) RemoveAllWith(fingerprint Fingerprint) bool {
	before := len(q.until)
	q.Remove(fingerprint)
	for key, members := range q.combined {
		if slices.Contains(members, fingerprint) {
			q.Remove(key)
		}
	}
	return len(q.until) < before
}

// Left returns the time until the fingerprint may run again; 0 if it may run now.
func (q *Quarantine) Left(now time.Time, fingerprint Fingerprint) time.Duration {
	return max(0, q.until[fingerprint].Sub(now))
}

// LeftOf returns the time until a request with the given fingerprints may run again, and the fingerprint or combination
// because of which it is refused; 0 if it may run now.
func (q *Quarantine) LeftOf(now time.Time, fingerprints []Fingerprint) (left time.Duration, cause Fingerprint) {
	if len(q.until) == 0 {
		return 0, cause
	}
	for _, fingerprint := range fingerprints {
		if single := q.Left(now, fingerprint); single > left {
			left, cause = single, fingerprint
		}
		for _, key := range q.byMember[fingerprint] {
			if combined := q.Left(now, key); combined > left && containsAll(fingerprints, q.combined[key]) {
				left, cause = combined, key
			}
		}
	}
	return left, cause
}

func containsAll(set, members []Fingerprint) bool {
	return !slices.ContainsFunc(members, func(member Fingerprint) bool { return !slices.Contains(set, member) })
}

// Expire removes the fingerprints that may run again.
func (q *Quarantine) Expire(now time.Time) {
	for fingerprint, until := range q.until {
		if !now.Before(until) {
			q.Remove(fingerprint)
		}
	}
}

// Len returns the number of fingerprints and combinations in the set.
func (q *Quarantine) Len() int { return len(q.until) }

// notice returns the notice about a fingerprint or combination in the set.
func (q *Quarantine) notice(now time.Time, fingerprint Fingerprint) QuarantineNotice {
	return QuarantineNotice{Fingerprint: fingerprint, ExpiresIn: q.Left(now, fingerprint), Members: q.combined[fingerprint]}
}
