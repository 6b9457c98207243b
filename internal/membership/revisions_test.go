package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// sharedQuery is a query in a simulation: the store's revision at the time of sending.
type sharedQuery struct{ entry, revision int }

// answersOutdatedQuery simulates entries that ask one reader for the store's revision while it changes. Queries and answers are
// delayed, lost and delivered twice, and reads overlap. It reports whether a query is answered with a revision older than
// the store's at the time of the query. If joinsReads is true, queries also get the result of a read that is in progress.
func answersOutdatedQuery(t *rapid.T, joinsReads bool) bool {
	var batch RevisionBatch[sharedQuery]
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	revision := 1
	var inFlight []sharedQuery
	type read struct {
		number   uint64
		revision int
	}
	var reads []read
	for range rapid.IntRange(10, 120).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
		switch rapid.IntRange(0, 6).Draw(t, "event") {
		case 0:
			revision++
		case 1, 2:
			inFlight = append(inFlight, sharedQuery{entry: rapid.IntRange(0, 4).Draw(t, "entry"), revision: revision})
		case 3:
			if len(inFlight) > 0 {
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "query")
				batch.Add(now, inFlight[i])
				if rapid.Bool().Draw(t, "once") {
					inFlight = slices.Delete(inFlight, i, i+1)
				}
			}
		case 4, 5:
			if batch.Due(now) || rapid.Bool().Draw(t, "own read") {
				// The store answers with its revision at some time after the read has begun.
				reads = append(reads, read{number: batch.Begin(), revision: revision})
			}
		case 6:
			if len(reads) > 0 {
				i := rapid.IntRange(0, len(reads)-1).Draw(t, "read")
				answered := batch.End(reads[i].number)
				if joinsReads {
					answered = append(answered, batch.waiting...)
				}
				for _, query := range answered {
					if reads[i].revision < query.revision {
						return true
					}
				}
				reads = slices.Delete(reads, i, i+1)
			}
		}
	}
	return false
}

// TestSharedReadProvesTheRevision guards against entries that take their credentials for current although one was revoked
// before they asked.
func TestSharedReadProvesTheRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if answersOutdatedQuery(t, false) {
			t.Fatal("an answer is older than the query")
		}
	})
}

// TestSharedReadInProgressProvesNothing checks that TestSharedReadProvesTheRevision can fail: without the rule that a read
// answers only queries that arrived before it began, some answer is outdated.
func TestSharedReadInProgressProvesNothing(t *testing.T) {
	outdated := 0
	rapid.Check(t, func(t *rapid.T) {
		if answersOutdatedQuery(t, true) {
			outdated++
		}
	})
	qt.New(t).Assert(outdated > 0, qt.IsTrue)
}

func entryAddresses(count int) []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range count {
		addresses = append(addresses, netip.MustParseAddrPort(fmt.Sprintf("10.1.%d.%d:7340", i/200, i%200+1)))
	}
	return addresses
}

// TestFewEntriesReadTheRevision guards against reads that grow with the entries, and against a reader that does not answer
// but is asked again and again.
func TestFewEntriesReadTheRevision(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, test := range []struct{ entries, readers int }{{8, 8}, {15, 15}, {16, 2}, {53, 2}, {300, 10}} {
		t.Run(fmt.Sprint(test.entries), func(t *testing.T) {
			c := qt.New(t)
			all := entryAddresses(test.entries)
			readers := 0
			asked := map[netip.AddrPort]int{}
			for i, self := range all {
				others := slices.Concat(all[:i], all[i+1:])
				choice := NewRevisionReaders(self)
				reader, ok := choice.Choose(now, others)
				if !ok {
					readers++
					continue
				}
				asked[reader]++
				choice.RecordSilent(now, reader)
				next, ok := choice.Choose(now.Add(time.Second), others)
				c.Assert(ok && next == reader, qt.IsFalse, qt.Commentf("a silent reader is asked again"))
				again, ok := choice.Choose(now.Add(silentReaderTime), others)
				c.Assert(ok, qt.IsTrue)
				c.Assert(again, qt.Equals, reader)
			}
			c.Assert(readers, qt.Equals, test.readers)
			for reader, entries := range asked {
				c.Assert(entries <= 3*entriesPerReader, qt.IsTrue, qt.Commentf("%s reads for %d entries", reader, entries))
			}
		})
	}
}
