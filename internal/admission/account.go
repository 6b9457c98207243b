package admission

import (
	"cmp"
	"slices"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// OtherCustomers replaces further customers in UnservedCount.CausedBy once a list holds MaxUnservedCounts elements.
const OtherCustomers ident.Customer = "*"

// MaxUnservedCounts is the length of AccountEntry.NotRun and AccountEntry.Unknown from which further causing customers
// are counted together under OtherCustomers.
const MaxUnservedCounts = 32

// Account counts the requests of one process by outcome, per customer and class.
// It is not safe for concurrent use.
type Account struct {
	self     ident.Instance
	entries  map[ClassKey]*AccountEntry
	changed  map[ClassKey]struct{}
	sequence uint64
}

// NewAccount returns an empty account of the process.
func NewAccount(self ident.Instance) *Account {
	return &Account{
		self:    self,
		entries: make(map[ClassKey]*AccountEntry),
		changed: make(map[ClassKey]struct{}),
	}
}

// Arrive counts an arrival and an open request.
func (a *Account) Arrive(key ClassKey) {
	entry := a.entry(key)
	entry.Arrivals++
	entry.Open++
}

// Close counts the outcome of an open request; limit is the limit that refused it, if any. It panics if no request
// of the key is open.
func (a *Account) Close(key ClassKey, result outcome.Outcome, limit LimitKind, worth float64) {
	entry := a.entry(key)
	if entry.Open == 0 {
		panic("invariant: closed a request that is not open")
	}
	entry.Open--
	switch result.Kind {
	case outcome.Served:
		entry.Served++
		entry.ServedWorth += worth
	case outcome.NotRun:
		entry.NotRun = addUnserved(entry.NotRun, result, limit, worth)
	default:
		entry.Unknown = addUnserved(entry.Unknown, result, limit, worth)
	}
}

func (a *Account) entry(key ClassKey) *AccountEntry {
	entry := a.entries[key]
	if entry == nil {
		entry = &AccountEntry{Key: key}
		a.entries[key] = entry
	}
	a.changed[key] = struct{}{}
	return entry
}

func addUnserved(list []UnservedCount, result outcome.Outcome, limit LimitKind, worth float64) []UnservedCount {
	unserved := UnservedCount{Cause: result.Cause, CausedBy: result.CausedBy, Limit: limit, Count: 1, Worth: worth}
	return mergeUnserved(list, unserved)
}

func mergeUnserved(list []UnservedCount, unserved UnservedCount) []UnservedCount {
	at := findUnserved(list, unserved)
	if at < 0 && len(list) >= MaxUnservedCounts && unserved.CausedBy != "" {
		unserved.CausedBy = OtherCustomers
		at = findUnserved(list, unserved)
	}
	if at < 0 {
		return append(list, unserved)
	}
	list[at].Count += unserved.Count
	list[at].Worth += unserved.Worth
	return list
}

func findUnserved(list []UnservedCount, unserved UnservedCount) int {
	return slices.IndexFunc(list, func(r UnservedCount) bool {
		return r.Cause == unserved.Cause && r.CausedBy == unserved.CausedBy && r.Limit == unserved.Limit
	})
}

// Report returns the entries that changed since the previous report. It returns false if there are none, unless
// the report is the final one.
func (a *Account) Report(final bool) (AccountReport, bool) {
	if len(a.changed) == 0 && !final {
		return AccountReport{}, false
	}
	a.sequence++
	report := AccountReport{From: a.self, Sequence: a.sequence, Final: final}
	for key := range a.changed {
		report.Entries = append(report.Entries, a.entries[key].clone())
	}
	sortEntries(report.Entries)
	clear(a.changed)
	return report, true
}

// Snapshot returns all entries, sorted by customer and class.
func (a *Account) Snapshot() []AccountEntry {
	entries := make([]AccountEntry, 0, len(a.entries))
	for _, entry := range a.entries {
		entries = append(entries, entry.clone())
	}
	sortEntries(entries)
	return entries
}

func (e AccountEntry) clone() AccountEntry {
	e.NotRun = slices.Clone(e.NotRun)
	e.Unknown = slices.Clone(e.Unknown)
	return e
}

// Conserved reports whether the arrivals equal the sum of all outcomes and open requests.
func (e AccountEntry) Conserved() bool {
	return e.Arrivals == e.Served+e.Open+countUnserved(e.NotRun)+countUnserved(e.Unknown)
}

func countUnserved(list []UnservedCount) uint64 {
	var count uint64
	for _, unserved := range list {
		count += unserved.Count
	}
	return count
}

// merge adds the counts of another entry with the same key.
func (e *AccountEntry) merge(other AccountEntry) {
	e.Arrivals += other.Arrivals
	e.Served += other.Served
	e.Open += other.Open
	e.ServedWorth += other.ServedWorth
	for _, unserved := range other.NotRun {
		e.NotRun = mergeUnserved(e.NotRun, unserved)
	}
	for _, unserved := range other.Unknown {
		e.Unknown = mergeUnserved(e.Unknown, unserved)
	}
}

func sortEntries(entries []AccountEntry) {
	slices.SortFunc(entries, func(a, b AccountEntry) int { return compareKeys(a.Key, b.Key) })
}

func compareKeys(a, b ClassKey) int {
	return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Class, b.Class))
}
