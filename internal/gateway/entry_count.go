package gateway

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
)

const (
	// entryCountSpan is the time for which the largest number of entries is remembered. It is longer than a cut between zones
	// usually lasts, and shorter than the time after which a deployment is usually made smaller.
	entryCountSpan = 30 * time.Minute
	// designEntries is the number of entries that the system is designed for. An entry that cannot know their number yet assumes
	// this one.
	designEntries = 360
	// unsettledTime is the time after its start for which an entry assumes designEntries if no other one tells it their number:
	// all may have started again while they were cut off from each other. Regions lose each other for minutes.
	unsettledTime = 5 * time.Minute
)

// entryCount is the largest number of entries that was observed lately, including this one.
type entryCount struct {
	most int
	// at is when the number was last observed.
	at time.Time
}

// record records a number of entries that was observed at a time. A smaller number counts once the largest is too old.
func (c *entryCount) record(now, at time.Time, entries int) {
	switch {
	case now.Sub(at) > entryCountSpan:
	case entries > c.most || now.Sub(c.at) > entryCountSpan:
		c.most, c.at = entries, at
	case entries == c.most && at.After(c.at):
		c.at = at
	}
}

// recordCount records a number of entries, including this one, that has just been observed.
func (d *peerDirectory) recordCount(now time.Time, entries int) {
	d.count.record(now, now, entries)
}

// mergeCount records the number of entries that another entry tells. It returns true if the other one knows of fewer than this one.
func (d *peerDirectory) mergeCount(now time.Time, hello *datagram.Hello) bool {
	if hello.EntryCount < 1 || hello.EntryCount > maxReportedCount || hello.EntryCountAge < 0 {
		return false
	}
	d.settled = d.settled || hello.EntryCountSettled
	d.count.record(now, now.Add(-hello.EntryCountAge), hello.EntryCount)
	return hello.EntryCount < d.count.most
}

// addCount adds the number of entries to a hello.
func (d *peerDirectory) addCount(now time.Time, hello *datagram.Hello) {
	d.recordCount(now, d.entries())
	hello.EntryCount, hello.EntryCountAge, hello.EntryCountSettled = d.count.most, now.Sub(d.count.at), d.isSettled(now)
}

// isSettled reports whether this entry can know how many others there are: another one has told it, or it has run for long enough
// to hear of all. One that has not heard any other cannot.
func (d *peerDirectory) isSettled(now time.Time) bool {
	if !d.settled {
		running := now.Sub(d.started)
		heard := !d.messageAt.IsZero() && (running >= unsettledTime || d.firstStart && running >= joinTime)
		d.settled = heard || len(d.seeds) == 0
	}
	return d.settled
}

// senders returns the number of entries that may send requests: the largest that was observed lately, since others are forgotten
// after peerTimeout in a cut but send on.
func (d *peerDirectory) senders(now time.Time) int {
	d.recordCount(now, d.entries())
	if d.isSettled(now) {
		return d.count.most
	}
	return max(d.count.most, designEntries)
}
