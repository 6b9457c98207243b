package admission

import (
	"cmp"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// SourceState says how complete the account of one process is at a collector.
type SourceState struct {
	Process ident.Instance `json:"process"`
	// Received is the number of different reports received.
	Received uint64 `json:"received"`
	// Lost is the number of reports that were sent and not received so far.
	Lost uint64 `json:"lost"`
	// Final is true if the process's last report was received.
	Final bool `json:"final"`
}

// MergedAccount is the account over several processes.
type MergedAccount struct {
	Entries []AccountEntry `json:"entries"`
	// Sources lists the processes whose reports were merged.
	Sources []SourceState `json:"sources"`
	// Lost is the number of reports that were not received from all sources.
	Lost uint64 `json:"lost"`
}

// AccountCollector merges the accounts of several processes.
// It is not safe for concurrent use.
type AccountCollector struct {
	sources map[ident.Instance]*source
}

// source is what a collector knows of one process.
type source struct {
	newest uint64
	// missing holds the numbers below newest that were not received.
	missing map[uint64]struct{}
	// lost is the number of reports that are awaited no more.
	lost    uint64
	final   bool
	entries map[LimitKey]versionedEntry
}

type versionedEntry struct {
	sequence uint64
	entry    AccountEntry
}

// NewAccountCollector returns a collector without reports.
func NewAccountCollector() *AccountCollector {
	return &AccountCollector{sources: make(map[ident.Instance]*source)}
}

// Add takes in a report. Doubled and reordered reports do no harm.
func (c *AccountCollector) Add(report AccountReport) {
	from := c.sources[report.From]
	if from == nil {
		from = &source{
			missing: make(map[uint64]struct{}),
			entries: make(map[LimitKey]versionedEntry),
		}
		c.sources[report.From] = from
	}
	from.note(report.Sequence)
	from.final = from.final || report.Final
	for _, entry := range report.Entries {
		if from.entries[entry.Key].sequence < report.Sequence {
			from.entries[entry.Key] = versionedEntry{report.Sequence, entry.clone()}
		}
	}
}

// maxMissing is the number of reports that are still awaited from one process.
const maxMissing = 1024

// note takes in a sequence number. Reports that lie far back count as lost for good.
func (s *source) note(sequence uint64) {
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

// Forget drops a process whose counts are no longer wanted.
func (c *AccountCollector) Forget(process ident.Instance) {
	delete(c.sources, process)
}

// Snapshot returns the merged account.
func (c *AccountCollector) Snapshot() MergedAccount {
	var merged MergedAccount
	totals := make(map[LimitKey]*AccountEntry)
	for _, process := range c.processes() {
		from := c.sources[process]
		lost := from.lost + uint64(len(from.missing))
		merged.Lost += lost
		merged.Sources = append(merged.Sources, SourceState{process, from.newest - lost, lost, from.final})
		for key, versioned := range from.entries {
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
