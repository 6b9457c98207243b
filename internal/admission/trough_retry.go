package admission

import "time"

// Constants of TroughRetry.
const (
	// retryDivisor divides the remaining time of callers: they wait for a third of it at most when asked to.
	retryDivisor = 3
	// fallingSlope is the relative change of demand per second from which it counts as falling, if it is also
	// slopeCertainty times the scatter of the estimate. Without the second condition, a steady demand of 30 requests a second
	// counted as falling in 30% of the cases.
	fallingSlope   = -0.1
	slopeCertainty = 2
	// retrySpread is the part of the Retry-After over which callers are spread.
	retrySpread = 0.25
	// retryWindow is the part of the interval between two peaks over which callers are spread that return after a peak.
	retryWindow = 0.4
	// minPeakRetry is the shortest Retry-After during a peak.
	minPeakRetry = 200 * time.Millisecond
)

// TroughRetry chooses when refused callers come back. Load pattern: callers retry once; demand swings over 13 s, so that
// two to three seconds later there is room only if demand falls, and jumps each 2.7 s leave room for streams that end
// before the next jump.
type TroughRetry struct {
	// Base is the time until enough streams have ended (PassGate.RetryAfter).
	Base     time.Duration
	Forecast PassForecast
	// Slope is the relative change of the demand per second, SlopeError its standard error.
	Slope, SlopeError float64
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
}

// falling reports whether the demand is certain to fall.
func (r TroughRetry) falling() bool { return r.Slope < min(fallingSlope, -slopeCertainty*r.SlopeError) }

// After returns the Retry-After. Random is uniform in [0, 1).
func (r TroughRetry) After(random float64) time.Duration {
	longest := min(r.Remaining/retryDivisor, maxGroupRetryAfter)
	if len(r.Forecast.Peaks) > 0 {
		longest = r.Remaining / retryDivisor
		start := r.Forecast.PeakLeft
		if !r.Forecast.InPeak {
			start = r.Forecast.NextPeak + r.Forecast.PeakLasts
		}
		window := time.Duration(retryWindow * float64(r.Forecast.Interval))
		if r.falling() {
			start = max(start, longest-window)
		}
		after := start + time.Duration(random*float64(window))
		return max(min(after, longest), minPeakRetry)
	}
	base := r.Base
	if r.falling() {
		base = max(base, longest)
	}
	base = min(max(base, minGroupRetryAfter), time.Duration(float64(longest)/(1+retrySpread)))
	return max(base+time.Duration(retrySpread*random*float64(base)), minPeakRetry)
}
