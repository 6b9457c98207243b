package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// repeatReportInterval is the least time between two log lines about the repeats of a service.
const repeatReportInterval = time.Second

// repeatReports has what was last logged of the repeats of each service.
type repeatReports struct {
	at     time.Time
	totals map[ident.Service]attempt.RepeatTotals
}

// reportRepeats logs and counts the repeats of each service whose totals have changed.
func (g *Gateway) reportRepeats(now time.Time) {
	reports := &g.repeatReports
	if now.Sub(reports.at) < repeatReportInterval {
		return
	}
	reports.at = now
	if reports.totals == nil {
		reports.totals = map[ident.Service]attempt.RepeatTotals{}
	}
	repeats := g.dispatcher.Repeats()
	for _, service := range repeats.Services() {
		status := repeats.Status(now, service)
		last := reports.totals[service]
		if status.Totals == last {
			continue
		}
		reports.totals[service] = status.Totals
		g.metrics.countRepeats(service, last, status)
		g.log.WithFields(logrus.Fields{
			"service": service, "window_requests": status.Requests, "window_repeats": status.Repeats, "limit": status.Limit,
			"allowed": status.Totals.Allowed, "refused": status.Totals.Refused, "released": status.Totals.Released, "uncounted": status.Totals.Uncounted,
			"entries": g.peerDirectory.senders(now), "running_ms": (bootTime() - g.startedAt).Milliseconds(),
		}).Info("repeats")
	}
}
