package admission

import (
	"cmp"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// SourceState states how complete the account of one process is at a collector.
type SourceState struct {
	Process ident.Instance `json:"process"`
	// Received is the number of distinct reports received.
	Received uint64 `json:"received"`
	// Lost is the number of reports that were sent but have not been received so far.
	Lost uint64 `json:"lost"`
	// Final is true if the final report of the process was received.
	Final bool `json:"final"`
}

// MergedAccount is the sum of the accounts of several processes.
type MergedAccount struct {
	Entries []AccountEntry `json:"entries"`
	// Sources lists the processes whose reports were merged.
	Sources []SourceState `json:"sources"`
	// Lost is the number of missing reports of all sources.
	Lost uint64 `json:"lost"`
}

// AccountCollector merges the accounts of several processes.
// It is not safe for concurrent use.
type AccountCollector struct {
	sources map[ident.Instance]*source
}

// source is the state of the account of one process.
type source struct {
	newest uint64
	// missing holds the sequence numbers below newest that were not received.
	missing map[uint64]struct{}
	// lost is the number of missing reports that are no longer tracked.
	lost    uint64
	final   bool
	entries map[ClassKey]versionedEntry
}

type versionedEntry struct {
	sequence uint64
	entry    AccountEntry
}

// NewAccountCollector returns a collector without reports.
func NewAccountCollector() *AccountCollector {
	return &AccountCollector{sources: make(map[ident.Instance]*source)}
}

// Add merges a report. Duplicate and reordered reports are handled.
func (c *AccountCollector) Add(report AccountReport) {
	src := c.sources[report.From]
	if src == nil {
		src = &source{
			missing: make(map[uint64]struct{}),
			entries: make(map[ClassKey]versionedEntry),
		}
		c.sources[report.From] = src
	}
	src.recordSequence(report.Sequence)
	src.final = src.final || report.Final
	for _, entry := range report.Entries {
		if src.entries[entry.Key].sequence < report.Sequence {
			src.entries[entry.Key] = versionedEntry{report.Sequence, entry.clone()}
		}
	}
}

// maxMissing is the greatest gap in sequence numbers for which missing reports are tracked one by one.
const maxMissing = 1024

// recordSequence records a received sequence number. After a gap greater than maxMissing all missing reports count as
// lost, even if they arrive later.
func (s *source) recordSequence(sequence uint64) {
	if sequence > s.newest+maxMissing {
		s.lost += sequence - s.newest - 1 + uint64(len(s.missing))
		clear(s.missing)
		s.newest = sequence
		return
	}
	for s.newest < sequence {
		s.newest++
		s.missing[s.newest] = struct{}{}
	}
	delete(s.missing, sequence)
}

// Remove removes the counts of a process.
func (c *AccountCollector) Remove(process ident.Instance) {
	delete(c.sources, process)
}

// Snapshot returns the merged account, with entries sorted by key and sources by process.
func (c *AccountCollector) Snapshot() MergedAccount {
	var merged MergedAccount
	totals := make(map[ClassKey]*AccountEntry)
	for _, process := range c.processes() {
		src := c.sources[process]
		lost := src.lost + uint64(len(src.missing))
		merged.Lost += lost
		merged.Sources = append(merged.Sources, SourceState{process, src.newest - lost, lost, src.final})
		for key, versioned := range src.entries {
			total := totals[key]
			if total == nil {
				total = &AccountEntry{Key: key}
				totals[key] = total
			}
			total.merge(versioned.entry)
		}
	}
	for _, total := range totals {
		merged.Entries = append(merged.Entries, *total)
	}
	sortEntries(merged.Entries)
	return merged
}

func (c *AccountCollector) processes() []ident.Instance {
	list := make([]ident.Instance, 0, len(c.sources))
	for process := range c.sources {
		list = append(list, process)
	}
	slices.SortFunc(list, func(a, b ident.Instance) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}
