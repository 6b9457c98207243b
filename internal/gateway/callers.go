package gateway

import "time"

// closeLateCallers closes the connections of callers that exceed the time limits of the configuration.
func (g *Gateway) closeLateCallers(now time.Time) {
	if table := g.table.Load(); table != nil && table.Limits.HeaderTimeout > 0 && table.Limits.IdleTimeout > 0 {
		g.callers.CloseLate(now, headerTimeFactor*table.Limits.HeaderTimeout, table.Limits.IdleTimeout)
	}
}
