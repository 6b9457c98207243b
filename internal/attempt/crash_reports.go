package attempt

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// EndReport reports an end of a backend server to other entries. A receiver merges it with what it knows of the end.
type EndReport struct {
	Server  ServerInstance `cbor:"1,keyasint"`
	Service ident.Service  `cbor:"2,keyasint"`
	// Age is the time since the end.
	Age time.Duration `cbor:"3,keyasint"`
	// Suspected are the traits that were running and that no server has survived since. Survived are the others.
	Suspected []SuspectedRun `cbor:"4,keyasint,omitempty"`
	Survived  []Fingerprint  `cbor:"5,keyasint,omitempty"`
}

// SuspectedRun is a run of a request with a trait at a server that ended.
type SuspectedRun struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Duration is the time from the send to its end.
	Duration time.Duration `cbor:"2,keyasint"`
	// Served are the numbers of served runs with the trait that entries have counted before and after the end.
	Served []ServedRuns `cbor:"3,keyasint,omitempty"`
}

// ServedRuns is an entry's count of served runs with a trait. Counts only grow, so that the greatest is the last.
type ServedRuns struct {
	// Entry identifies the counting register.
	Entry uint64 `cbor:"1,keyasint"`
	// Before is true for runs since the entry's previous end with the trait, false for those since this one.
	Before bool   `cbor:"2,keyasint,omitempty"`
	Runs   uint16 `cbor:"3,keyasint"`
}

// size returns the number of runs that the run counts as in a packet.
func (r *SuspectedRun) size() int { return 1 + (len(r.Served)+1)/2 }

// CrashUpdate is a part of one entry's register for another entry.
type CrashUpdate struct {
	Ends        []EndReport        `cbor:"1,keyasint,omitempty"`
	Quarantined []QuarantineNotice `cbor:"2,keyasint,omitempty"`
}

// maxUpdateRuns is the number of runs in one update, which then fits into a packet of 1,400 bytes. An end counts as
// endRuns more, for the name of the server. A combination with more members has a packet of its own.
const (
	maxUpdateRuns = 40
	endRuns       = 3
)

// reportsPerChange is how often a change is reported. One report may be lost, and an entry that lacks the report of a run
// may take another trait for the cause of an end.
const reportsPerChange = 2

// TakeChanges returns what has changed since the previous call, in parts of the size of a packet. What exceeds maxUpdates
// parts is returned by the next call.
func (r *CrashRegister) TakeChanges(now time.Time, maxUpdates int) []CrashUpdate {
	updates := updateWriter{limit: maxUpdates}
	for _, server := range shuffledKeys(r.random, r.changedEnds, ServerInstance.compare) {
		if !updates.addEnd(r.report(now, server)) {
			return updates.parts
		}
		countDown(r.changedEnds, server)
	}
	for _, fingerprint := range shuffledKeys(r.random, r.changedQuarantine, Fingerprint.compare) {
		if !updates.addNotice(r.quarantine.notice(now, fingerprint)) {
			return updates.parts
		}
		countDown(r.changedQuarantine, fingerprint)
	}
	return updates.parts
}

// countDown records that a change was reported once.
func countDown[K comparable](changes map[K]int, key K) {
	changes[key]--
	if changes[key] <= 0 {
		delete(changes, key)
	}
}

// HasChanges reports whether TakeChanges would return anything.
func (r *CrashRegister) HasChanges() bool {
	return len(r.changedEnds)+len(r.changedQuarantine) > 0
}

// Sample returns at most maxUpdates parts of the register, for an entry whose digest differs. Samples of a large register differ.
func (r *CrashRegister) Sample(now time.Time, maxUpdates int) []CrashUpdate {
	updates := updateWriter{limit: maxUpdates}
	for _, fingerprint := range shuffledKeys(r.random, r.quarantine.until, Fingerprint.compare) {
		if !updates.addNotice(r.quarantine.notice(now, fingerprint)) {
			break
		}
	}
	updates.limit += maxUpdates
	for _, server := range shuffledKeys(r.random, r.ends, ServerInstance.compare) {
		if len(r.ends[server].runs) == 0 {
			continue
		}
		if !updates.addEnd(r.report(now, server)) {
			break
		}
	}
	return updates.parts
}

// updateWriter divides reports into updates.
type updateWriter struct {
	limit int
	parts []CrashUpdate
	// size is the number of runs in the last part.
	size int
}

// reserve returns the part to which runs are added; nil if the limit is reached.
func (w *updateWriter) reserve(runs int) *CrashUpdate {
	if len(w.parts) == 0 || w.size+runs > maxUpdateRuns && w.size > 0 {
		if len(w.parts) >= w.limit {
			return nil
		}
		w.parts, w.size = append(w.parts, CrashUpdate{}), 0
	}
	w.size += runs
	return &w.parts[len(w.parts)-1]
}

// addEnd adds a report, divided into several if it has more runs than fit into one packet. It returns false if a part was
// left out.
func (w *updateWriter) addEnd(report EndReport) bool {
	for {
		rest := report
		fits, size, suspected := maxUpdateRuns-endRuns, 0, 0
		for suspected < len(report.Suspected) && size+report.Suspected[suspected].size() <= fits {
			size += report.Suspected[suspected].size()
			suspected++
		}
		fits -= size
		survived := min(len(report.Survived), fits)
		report.Suspected, rest.Suspected = report.Suspected[:suspected], report.Suspected[suspected:]
		report.Survived, rest.Survived = report.Survived[:survived], report.Survived[survived:]
		part := w.reserve(endRuns + size + survived)
		if part == nil {
			return false
		}
		part.Ends = append(part.Ends, report)
		if len(rest.Suspected)+len(rest.Survived) == 0 {
			return true
		}
		report = rest
	}
}

func (w *updateWriter) addNotice(notice QuarantineNotice) bool {
	part := w.reserve(1 + len(notice.Members))
	if part != nil {
		part.Quarantined = append(part.Quarantined, notice)
	}
	return part != nil
}

// report returns the report of an end.
func (r *CrashRegister) report(now time.Time, server ServerInstance) EndReport {
	end := r.ends[server]
	report := EndReport{Server: server, Service: end.service, Age: now.Sub(end.at)}
	for _, fingerprint := range sortedKeys(end.runs, Fingerprint.compare) {
		run := end.runs[fingerprint]
		if run.survived {
			report.Survived = append(report.Survived, fingerprint)
			continue
		}
		report.Suspected = append(report.Suspected, SuspectedRun{
			Fingerprint: fingerprint, Duration: run.duration, Served: end.servedReports(fingerprint),
		})
	}
	return report
}

// Merge adds what another entry reports. Only what is new here is reported further. Suspects for which takeServed returns true
// count as served ClearingRuns times: this entry's servers have survived them as often shortly before. Runs for which it has
// returned true must not count again, since they would clear each further end of the trait.
func (r *CrashRegister) Merge(now time.Time, update CrashUpdate, takeServed func(Fingerprint) bool) {
	for _, report := range update.Ends {
		r.mergeEnd(now, report)
		for _, run := range report.Suspected {
			r.recordOftenServed(now, run.Fingerprint, takeServed)
		}
	}
	for _, notice := range update.Quarantined {
		r.mergeNotice(now, notice)
	}
}

// mergeNotice adds a quarantine that another entry reports, unless servers have survived one of its traits.
func (r *CrashRegister) mergeNotice(now time.Time, notice QuarantineNotice) {
	left := min(notice.ExpiresIn, r.config.QuarantineFor)
	members := notice.Members
	if len(members) == 0 {
		members = []Fingerprint{notice.Fingerprint}
	}
	if left <= 0 || len(members) > maxCombined || slices.ContainsFunc(members, r.isCleared) {
		return
	}
	if key, added := r.quarantine.AddAll(members, now.Add(left)); added {
		r.changedQuarantine[key] = reportsPerChange
		r.addFinding(CrashFinding{Trait: key, Decision: CrashReported})
	}
}

func (r *CrashRegister) mergeEnd(now time.Time, report EndReport) {
	if report.Age < 0 || report.Age > r.config.SuspectFor {
		return
	}
	end := r.ends[report.Server]
	if end == nil {
		r.RecordEnd(now, report.Server, report.Service)
		end = r.ends[report.Server]
		end.at = now.Add(-report.Age)
	}
	for _, fingerprint := range report.Survived {
		r.addRun(now, report.Server, end, fingerprint, endedRun{survived: true})
	}
	for _, run := range report.Suspected {
		// A run cannot end before it begins. It would count as the shortest, which is the strongest evidence.
		if run.Duration < 0 {
			continue
		}
		r.addRun(now, report.Server, end, run.Fingerprint, endedRun{duration: run.Duration})
		for _, served := range run.Served {
			if r.ends[report.Server] == end {
				r.setServed(now, report.Server, end, run.Fingerprint, servedKey{entry: served.Entry, before: served.Before}, served.Runs)
			}
		}
	}
}

// Digest returns a value that is the same for registers with the same requests at the same ends, and the same reported counts
// of served runs. It does not cover durations.
func (r *CrashRegister) Digest() uint64 {
	digest := r.quarantine.digest
	for server, end := range r.ends {
		key := xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(server.ID), uint64(server.Started)))
		for fingerprint, run := range end.runs {
			mixed := mix(key ^ binary.BigEndian.Uint64(fingerprint[:]))
			if run.survived {
				mixed = mix(mixed)
			}
			digest ^= mixed ^ end.digestServed(fingerprint, key)
		}
	}
	return digest
}
