package gateway

import "github.com/bramleyspool/bramleyspool/internal/ident"

// maxSharedParts bounds the parts of one prompt that are examined; further ones are ignored.
const maxSharedParts = 64

// sharedParts returns the parts of the request's prompt that other requests may have too: all but the last.
func (c *call) sharedParts() []ident.PromptPart {
	if c.partsRead {
		return c.cachedParts
	}
	c.partsRead = true
	parts, err := c.gateway.headers.PromptParts(c.r.Header)
	if err != nil {
		c.gateway.metrics.count("prompt_parts_invalid")
		c.gateway.log.WithError(err).WithField("request", c.id).Warn("prompt-parts-invalid")
	}
	if len(parts) > 0 {
		c.cachedParts = parts[:min(len(parts)-1, maxSharedParts)]
	}
	return c.cachedParts
}
