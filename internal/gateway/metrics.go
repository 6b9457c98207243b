package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// Buckets of the latency histograms: the first covers a round trip in a zone, the last a deadline of 8 s.
const (
	firstBucket  = time.Millisecond
	bucketFactor = 2
	buckets      = 14
)

// metrics are the gateway's counters and histograms.
type metrics struct {
	scope     tally.Scope
	opened    tally.Counter
	queue     tally.Gauge
	first     tally.Histogram
	whole     tally.Histogram
	waitTimes tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	durations := tally.MustMakeExponentialDurationBuckets(firstBucket, bucketFactor, buckets)
	return metrics{
		scope:     scope,
		opened:    scope.Counter("backend_connections_opened"),
		queue:     scope.Gauge("calls_waiting"),
		first:     scope.Histogram("time_to_first_byte", durations),
		whole:     scope.Histogram("call_time", durations),
		waitTimes: scope.Histogram("wait_for_room", durations),
	}
}

func (m *metrics) connectionOpened() { m.opened.Inc(1) }

func (m *metrics) waiting(calls int) { m.queue.Update(float64(calls)) }

// count counts an event without labels.
func (m *metrics) count(name string) { m.scope.Counter(name).Inc(1) }

// sent counts how a request to a backend server ended.
func (m *metrics) sent(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("sent").Inc(1)
}

// ended counts the outcome of a call.
func (m *metrics) ended(kind outcome.Kind, cause outcome.Cause, route string) {
	m.scope.Tagged(map[string]string{"outcome": kind.String(), "cause": string(cause), "kind": route}).Counter("calls").Inc(1)
}
