package gateway

import (
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// maxSharedParts bounds the parts of one prompt that are examined; further ones are ignored.
const maxSharedParts = 64

// sharedParts returns the parts of the request's prompt that other requests may have too: all but the last.
func (c *call) sharedParts() []ident.PromptPart {
	c.readParts()
	return c.cachedParts
}

// partTraits returns the fingerprints of the shared parts.
func (c *call) partTraits() []attempt.Fingerprint {
	c.readParts()
	return c.cachedPartTraits
}

// readParts reads the prompt parts once. Parts that cannot be read are logged and left out.
func (c *call) readParts() {
	if c.partsRead {
		return
	}
	c.partsRead = true
	parts, err := c.gateway.headers.PromptParts(c.r.Header)
	if err != nil {
		c.gateway.metrics.count("prompt_parts_invalid")
		c.gateway.log.WithError(err).WithField("request", c.id).Warn("prompt-parts-invalid")
	}
	if len(parts) == 0 {
		return
	}
	c.cachedParts = parts[:min(len(parts)-1, maxSharedParts)]
	for _, part := range c.cachedParts {
		c.cachedPartTraits = append(c.cachedPartTraits, attempt.NewPartFingerprint(part))
	}
}
