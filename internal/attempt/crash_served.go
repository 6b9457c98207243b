package attempt

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ClearingRuns is the number of runs in a row, since the last broken send, after which an end is no evidence against a trait:
// for the smallest of crashShares, so many in a row have a probability of 1 in 1,000.
const ClearingRuns = 24

// crashShares are the shares of a trait's runs that end their server, apart from 1, for which evidence is weighed. A smaller
// share than the last counts as the last, so that a served run counts for at least 0.29 nats.
var crashShares = [...]float64{2. / 3, 1. / 2, 1. / 4}

// sharePenalty is the evidence that the choice between the shares takes away from each but 1, which all other suspects have.
var sharePenalty = math.Log(float64(len(crashShares)))

// maxServedRuns bounds the runs of one entry that count between two ends, maxServedCounts the counts of one trait at one end.
const (
	maxServedRuns   = 256
	maxServedCounts = 48
)

// maxRecentTraits bounds the traits whose recently served runs are counted.
const maxRecentTraits = 4096

// servedSteps are the counts that are reported to other entries: the evidence depends little on the exact number, and an
// entry's counts of one end then cost at most as many messages to each receiver as there are steps.
var servedSteps = [...]uint16{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, maxServedRuns}

// servedKey identifies a count of served runs of one trait.
type servedKey struct {
	// entry is the number of the register that counts.
	entry uint64
	// before is true for the runs since the register's previous end of the trait, false for those since this one. Both
	// may count the same runs.
	before bool
}

// servedCounts are the numbers of served runs of a trait before and after an end.
type servedCounts map[servedKey]uint16

// _ fails to compile if a run with all its counts does not fit into one packet: addEnd would not end.
const _ = uint(maxUpdateRuns - endRuns - 1 - (maxServedCounts+1)/2)

// compare orders keys by entry, the count before the end last.
func (k servedKey) compare(other servedKey) int {
	if k.entry != other.entry || k.before == other.before {
		return cmp.Compare(k.entry, other.entry)
	}
	if k.before {
		return 1
	}
	return -1
}

// dropGreatest drops the count with the greatest key, and returns that key. All registers keep the same counts then, in
// whatever order they arrive: with others their digests would differ for as long as the end is kept.
func (c servedCounts) dropGreatest() servedKey {
	greatest := slices.MaxFunc(slices.Collect(maps.Keys(c)), servedKey.compare)
	delete(c, greatest)
	return greatest
}

// recentRuns are the runs of a trait that were served one after the other.
type recentRuns struct {
	runs   uint16
	lastAt time.Time
}

// reportedRuns returns the number of runs that other entries get to know.
func reportedRuns(runs uint16) uint16 {
	reported := uint16(0)
	for _, step := range servedSteps {
		if runs >= step {
			reported = step
		}
	}
	return reported
}

// recordRecent counts a served run of a trait. A full register starts over.
func (r *CrashRegister) recordRecent(now time.Time, trait Fingerprint) {
	recent, known := r.recent[trait]
	if !known && len(r.recent) >= maxRecentTraits {
		clear(r.recent)
	}
	if now.Sub(recent.lastAt) > r.config.ObserveFor {
		recent.runs = 0
	}
	r.recent[trait] = recentRuns{runs: min(recent.runs+1, maxServedRuns), lastAt: now}
}

// takeRecent returns the recently served runs of a trait, and counts from 0 again.
func (r *CrashRegister) takeRecent(now time.Time, trait Fingerprint) recentRuns {
	recent := r.recent[trait]
	delete(r.recent, trait)
	if now.Sub(recent.lastAt) > r.config.ObserveFor {
		return recentRuns{}
	}
	return recent
}

// addRecent records the trait's recently served runs at an end that has just become known: those before the entry's own send was
// broken, and those since. If another entry reports the end, the runs since are not known apart and count as before.
func (r *CrashRegister) addRecent(now time.Time, server ServerInstance, end *serverEnd, trait Fingerprint, run endedRun) {
	before := servedKey{entry: r.number, before: true}
	if _, last := r.lastEnd(trait); !run.sent && last != server {
		// The recent runs were served after a later end.
		return
	}
	recent := r.takeRecent(now, trait).runs
	if !run.sent {
		r.setServed(now, server, end, trait, before, recent)
		return
	}
	r.setServed(now, server, end, trait, before, run.servedBefore)
	r.setServed(now, server, end, trait, servedKey{entry: r.number}, recent)
}

// recordServedSince counts a served run of a suspect since its last end.
func (r *CrashRegister) recordServedSince(now time.Time, trait Fingerprint, add uint16) {
	if end, server := r.lastEnd(trait); end != nil {
		key := servedKey{entry: r.number}
		r.setServed(now, server, end, trait, key, end.served[trait][key]+add)
	}
}

// recordOftenServed records that ClearingRuns runs of a suspect were served, if takeServed returns true for it.
func (r *CrashRegister) recordOftenServed(now time.Time, trait Fingerprint, takeServed func(Fingerprint) bool) {
	if end, server := r.lastEnd(trait); end != nil && takeServed(trait) {
		r.setServed(now, server, end, trait, servedKey{entry: r.number}, ClearingRuns)
	}
}

// lastEnd returns the last end of a suspect; nil if it is none.
func (r *CrashRegister) lastEnd(trait Fingerprint) (*serverEnd, ServerInstance) {
	var last ServerInstance
	for i, server := range r.suspects[trait] {
		if i == 0 || r.ends[server].at.After(r.ends[last].at) {
			last = server
		}
	}
	return r.ends[last], last
}

// setServed records a count, unless it is known to be as large. If the trait's runs outweigh its ends, it is cleared of them.
func (r *CrashRegister) setServed(now time.Time, server ServerInstance, end *serverEnd, trait Fingerprint, key servedKey, runs uint16) {
	counts := end.served[trait]
	old := counts[key]
	runs = min(runs, maxServedRuns)
	if runs <= old || !end.suspected(trait) {
		return
	}
	if counts == nil {
		counts = servedCounts{}
		if end.served == nil {
			end.served = map[Fingerprint]servedCounts{}
		}
		end.served[trait] = counts
	}
	counts[key] = runs
	if len(counts) > maxServedCounts {
		r.dropped++
		if dropped := counts.dropGreatest(); dropped == key {
			return
		}
	}
	if reportedRuns(counts[key]) != reportedRuns(old) {
		// Each further count is another report, and digests in hellos make up for a loss, also of counts of other entries.
		if key.entry == r.number {
			r.changedEnds[server] = max(r.changedEnds[server], 1)
		}
		// An assessment takes up to 2 ms, too long for each served run.
		r.planAssessment(now.Add(r.config.SettleTime))
	}
	if r.outweighed(trait) {
		for _, other := range slices.Clone(r.suspects[trait]) {
			r.addRun(now, other, r.ends[other], trait, endedRun{survived: true})
		}
	}
}

// outweighed reports whether the served runs of a trait outweigh its ends, however unlikely these are by chance.
func (r *CrashRegister) outweighed(trait Fingerprint) bool {
	ends := make([]*serverEnd, 0, len(r.suspects[trait]))
	for _, server := range r.suspects[trait] {
		ends = append(ends, r.ends[server])
	}
	slices.SortFunc(ends, func(a, b *serverEnd) int { return a.at.Compare(b.at) })
	nats := make([]float64, len(ends))
	for i := range nats {
		nats[i] = r.config.MaxShareEvidence
	}
	return r.config.weighOutcomes(nats, servedBetween(trait, ends)).first == len(nats)
}

// servedBetween returns the numbers of served runs before each end, and after the last: those that the entries know since the
// end before. The ends are in the order of time.
func servedBetween(trait Fingerprint, ends []*serverEnd) []int {
	served := make([]int, len(ends)+1)
	since := servedCounts{}
	for i := range served {
		if i < len(ends) {
			for key, runs := range ends[i].served[trait] {
				if key.before {
					after := servedKey{entry: key.entry}
					since[after] = max(since[after], runs)
				}
			}
		}
		for _, runs := range since {
			served[i] += int(runs)
		}
		clear(since)
		if i < len(ends) {
			for key, runs := range ends[i].served[trait] {
				if !key.before {
					since[key] = runs
				}
			}
		}
	}
	return served
}

// outcomeWeight is the evidence of ends and served runs against a trait.
type outcomeWeight struct {
	// strength is the evidence in nats since the first end that counts; first is its index, the number of ends if none does.
	strength float64
	first    int
	// share is the share of runs that end their server which explains the outcomes best.
	share float64
}

// weighOutcomes weighs the evidence of each end, in nats, against the numbers of served runs before each and after the last.
// It is Wald's test in the form of Page: whenever the served runs outweigh all ends before, it starts over, so that a
// trait cannot gather credit for later. If each run of the trait ends its server, one served run outweighs all ends; if a
// share of them does, an end is less evidence, by the logarithm of the share, and a served run is evidence to the contrary, of
// the logarithm of the rest. The share that explains the outcomes best counts.
func (c *CrashConfig) weighOutcomes(nats []float64, served []int) outcomeWeight {
	best := outcomeWeight{first: len(nats), share: 1}
	for i := len(nats) - 1; i >= 0 && served[i+1] == 0; i-- {
		best.strength += min(nats[i], c.MaxEvidence)
		best.first = i
	}
	for _, share := range crashShares {
		weight, runs := outcomeWeight{first: len(nats), share: share}, 0
		for i := range nats {
			if weight.first == len(nats) {
				weight.first, weight.strength, runs = i, 0, 0
			}
			runs += served[i+1]
			weight.strength += min(nats[i], c.MaxShareEvidence) + math.Log(share) + float64(served[i+1])*math.Log(1-share)
			if weight.strength <= 0 {
				weight.first = len(nats)
			}
		}
		weight.strength -= sharePenalty
		switch {
		case weight.first == len(nats) || runs == 0:
		case weight.strength > best.strength:
			best = weight
		case best.first == len(nats):
			best = outcomeWeight{first: weight.first, share: share}
		}
	}
	return best
}

// servedReports returns the counts of a trait at an end as they are reported.
func (e *serverEnd) servedReports(trait Fingerprint) []ServedRuns {
	var reports []ServedRuns
	counts := e.served[trait]
	for _, key := range sortedKeys(counts, servedKey.compare) {
		reports = append(reports, ServedRuns{Entry: key.entry, Before: key.before, Runs: reportedRuns(counts[key])})
	}
	return reports
}

// digestServed returns the digest of the counts of a trait at an end.
func (e *serverEnd) digestServed(trait Fingerprint, key uint64) uint64 {
	digest := uint64(0)
	for served, runs := range e.served[trait] {
		mixed := mix(key ^ xxhash.Sum64(trait[:]) ^ mix(served.entry+uint64(reportedRuns(runs))))
		if served.before {
			mixed = mix(mixed)
		}
		digest ^= mixed
	}
	return digest
}

// needsTrial reports whether a request with MinEnds ends runs with a permit only: as long as it was not served since the last
// of them, or the evidence against it would suffice for a quarantine after confirming trial runs.
func (r *CrashRegister) needsTrial(trait Fingerprint) bool {
	end, _ := r.lastEnd(trait)
	for key := range end.served[trait] {
		if !key.before {
			return r.strength[trait] >= r.config.TrialEvidenceLimit
		}
	}
	return true
}
