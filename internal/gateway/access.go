package gateway

import (
	"net/http"

	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// identify determines the route and the customer, or refuses the call.
func (c *call) identify() bool {
	if c.table == nil {
		c.endUnserved(unserved{status: http.StatusServiceUnavailable, cause: outcome.CauseNotReady, retryAfter: defaultRetryAfter})
		return false
	}
	if limit := c.table.Limits.HeaderBytes; limit > 0 && headerBytes(c.r) > limit {
		c.endUnserved(unserved{status: http.StatusRequestHeaderFieldsTooLarge, cause: outcome.CauseTooLarge})
		return false
	}
	c.route = c.table.Route(c.r.Host, c.r.URL.EscapedPath())
	if c.route == nil {
		c.refuseUnknown(http.StatusNotFound, outcome.CauseNoRoute)
		return false
	}
	if c.route.Public || !c.table.CredentialsRequired {
		return true
	}
	c.credential = c.r.Header.Get(c.gateway.headers.Credential)
	return c.authorize()
}

// refuseUnknown refuses a call whose route or credential is not in the table. If the table may be outdated, the newest
// configuration may contain the route or credential, so the response is 503 instead of the given status. A table counts
// as current within the bound on new configurations plus revisionCheckInterval, since it is confirmed only that often.
func (c *call) refuseUnknown(status int, cause outcome.Cause) {
	if !c.gateway.currentWithin(c.gateway.config.Settings.Bounds.Configuration + revisionCheckInterval) {
		c.endUnserved(unserved{status: http.StatusServiceUnavailable, cause: outcome.CauseNotReady, retryAfter: defaultRetryAfter})
		return
	}
	c.endUnserved(unserved{status: status, cause: cause})
}

// authorize checks the credential against the newest table, or refuses the call. It is called on arrival, and again before
// each send until a server may have run the request: it may have been revoked in the meantime. What counts for a revocation
// is when the caller sent the request, so that a request which was accepted may be repeated or resumed after it.
func (c *call) authorize() bool {
	if c.route.Public || !c.table.CredentialsRequired {
		return true
	}
	access, ok := c.gateway.table.Load().Access(c.credential)
	if !ok {
		c.refuseUnknown(http.StatusUnauthorized, outcome.CauseUnauthorized)
		return false
	}
	if !c.gateway.credentialsCurrent() {
		c.endUnserved(unserved{status: http.StatusServiceUnavailable, cause: outcome.CauseNotReady, retryAfter: defaultRetryAfter})
		return false
	}
	c.access = access
	return true
}
