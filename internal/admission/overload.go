package admission

import (
	"math"
	"time"
)

// overloadTest decides by a repeated sequential probability ratio test whether a customer's arrivals exceed what it
// gets. It detects an overload after a few requests and does not report a burst within the share.
type overloadTest struct {
	// logRatio is the log likelihood ratio of overload to load within the share.
	logRatio    float64
	lastArrival time.Time
	overloaded  bool
}

// The loads of the two hypotheses, as fractions of the rate that the customer gets.
const (
	normalLoad     = 0.9
	overloadedLoad = 1.5
)

// overloadLogRatio is the log likelihood ratio from which a customer counts as overloaded.
const overloadLogRatio = 6

// maxLogRatio bounds the log likelihood ratio, so that the end of an overload is detected soon.
const maxLogRatio = 2 * overloadLogRatio

// recordArrival updates the test with an arrival; rate is the number of such requests per second that the customer
// gets.
func (o *overloadTest) recordArrival(now time.Time, rate float64) {
	elapsed := now.Sub(o.lastArrival).Seconds()
	o.lastArrival = now
	o.logRatio += math.Log(overloadedLoad/normalLoad) - (overloadedLoad-normalLoad)*rate*elapsed
	o.logRatio = max(0, min(maxLogRatio, o.logRatio))
	if o.logRatio >= overloadLogRatio {
		o.overloaded = true
	}
	if o.logRatio == 0 {
		o.overloaded = false
	}
}
