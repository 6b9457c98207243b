package admission

import (
	"math"
	"time"
)

// overloadTest decides by a repeated sequential probability ratio test whether a
// customer's arrivals are those of a customer within its share or of an overloaded one.
// A flood is recognized after a few requests; a burst within the share is not.
type overloadTest struct {
	// evidence is the logarithm of the likelihood ratio of overload to load within the share.
	evidence   float64
	at         time.Time
	overloaded bool
}

// The tested loads, as fractions of the rate that the customer gets.
const (
	loadWithin = 0.9
	loadBeyond = 1.5
)

// overloadEvidence is the evidence at which a customer counts as overloaded.
const overloadEvidence = 6

// maxEvidence bounds the evidence, so that the end of an overload is recognized soon.
const maxEvidence = 2 * overloadEvidence

// arrive takes in an arrival; rate is the number of such requests a second that the
// customer gets.
func (o *overloadTest) arrive(now time.Time, rate float64) {
	elapsed := now.Sub(o.at).Seconds()
	o.at = now
	o.evidence += math.Log(loadBeyond/loadWithin) - (loadBeyond-loadWithin)*rate*elapsed
	o.evidence = max(0, min(maxEvidence, o.evidence))
	if o.evidence >= overloadEvidence {
		o.overloaded = true
	}
	if o.evidence == 0 {
		o.overloaded = false
	}
}
