package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// entryCountSpan is the span for which the largest number of entries is remembered, at least. It is longer than a cut between
// zones usually lasts, and shorter than the time after which a deployment is usually made smaller.
const entryCountSpan = 30 * time.Minute

// entryCounts has the largest number of entries in the present and in the last span.
type entryCounts struct {
	since         time.Time
	present, last int
}

// recordCount records a number of entries, including this one.
func (d *peerDirectory) recordCount(now time.Time, entries int) {
	switch age := now.Sub(d.counts.since); {
	case age >= 2*entryCountSpan:
		d.counts = entryCounts{since: now}
	case age >= entryCountSpan:
		d.counts = entryCounts{since: now, last: d.counts.present}
	}
	d.counts.present = max(d.counts.present, entries)
}

// senders returns the number of entries that may send requests: the largest that was known lately, since others are forgotten
// after peerTimeout in a cut but send on. An entry that has just started, or never heard of another, assumes as many as
// deployments have.
func (d *peerDirectory) senders(now time.Time) int {
	d.recordCount(now, d.entries())
	most := max(d.counts.present, d.counts.last)
	if len(d.seeds) > 0 && (d.joining(now) || d.messageAt.IsZero()) {
		return max(most, assumedEntries)
	}
	return most
}

// recordCold records which of the listed backend servers are cold. It is called before they are listed.
func (g *Gateway) recordCold(now time.Time, backends []membership.ListedBackend) {
	cold := 0
	var longest time.Duration
	for i := range backends {
		if left := g.dispatcher.RecordCold(now, &backends[i]); left > 0 {
			cold++
			longest = max(longest, left)
		}
	}
	if cold > 0 {
		g.metrics.count("cold_backends_listed")
		g.log.WithFields(logrus.Fields{
			"backends": cold, "first": firstCold(backends), "longest_ms": longest.Milliseconds(), "entries": g.peerDirectory.senders(now),
		}).Info("backends-cold")
	}
}

// firstCold returns the ID of the first cold backend server, for the log.
func firstCold(backends []membership.ListedBackend) string {
	for i := range backends {
		if backends[i].ColdFor > 0 {
			return backends[i].ID
		}
	}
	return ""
}
