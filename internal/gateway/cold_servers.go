package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// recordCold records which of the listed backend servers are cold. It is called before they are listed.
func (g *Gateway) recordCold(now time.Time, backends []membership.ListedBackend) {
	cold := 0
	var longest time.Duration
	for i := range backends {
		backend := backends[i]
		if backend.ColdFor == 0 && now.Sub(g.restoredAt) < membership.ListRecoveryGrace {
			// The record may be older than that of a server which has become cold.
			backend.ColdFor = membership.ColdNotStated
		}
		if left := g.dispatcher.RecordCold(now, &backend); left > 0 {
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
