package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/callerconn"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// Buckets of the latency histograms: the first covers a round trip within a zone, the last a deadline of 8 s.
const (
	firstBucket  = time.Millisecond
	bucketFactor = 2
	bucketCount  = 14
)

// metrics are the gateway's counters and histograms.
type metrics struct {
	scope             tally.Scope
	connectionsOpened tally.Counter
	callsWaiting      tally.Gauge
	// backendsLimited is the number of backend servers that state a limit of requests.
	backendsLimited tally.Gauge
	// backendsCold is the number of backend servers that are cold.
	backendsCold tally.Gauge
	// zonesEvacuated is the number of evacuated availability zones.
	zonesEvacuated tally.Gauge
	// suspects, quarantined and crashesDropped are those of attempt.CrashRegister.Counts.
	suspects, quarantined, crashesDropped tally.Gauge
	firstByteTimes                        tally.Histogram
	callTimes                             tally.Histogram
	// waitTimes are the times from the arrival of a call to the assignment of a backend server.
	waitTimes tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	durations := tally.MustMakeExponentialDurationBuckets(firstBucket, bucketFactor, bucketCount)
	return metrics{
		scope:             scope,
		connectionsOpened: scope.Counter("backend_connections_opened"),
		callsWaiting:      scope.Gauge("calls_waiting"),
		backendsLimited:   scope.Gauge("backends_limited"),
		backendsCold:      scope.Gauge("backends_cold"),
		zonesEvacuated:    scope.Gauge("zones_evacuated"),
		suspects:          scope.Gauge("crash_suspects"),
		quarantined:       scope.Gauge("crash_quarantined"),
		crashesDropped:    scope.Gauge("crash_sends_dropped"),
		firstByteTimes:    scope.Histogram("time_to_first_byte", durations),
		callTimes:         scope.Histogram("call_time", durations),
		waitTimes:         scope.Histogram("wait_for_room", durations),
	}
}

// connectionOpened counts a new connection to a backend server.
func (m *metrics) connectionOpened() { m.connectionsOpened.Inc(1) }

// setCallsWaiting sets the number of calls that wait for a backend server.
func (m *metrics) setCallsWaiting(calls int) { m.callsWaiting.Update(float64(calls)) }

// setCrashRequests sets the numbers of suspected and quarantined requests, and of sends that were not recorded.
func (m *metrics) setCrashRequests(suspects, quarantined, dropped int) {
	m.suspects.Update(float64(suspects))
	m.quarantined.Update(float64(quarantined))
	m.crashesDropped.Update(float64(dropped))
}

// count increments a counter without labels.
func (m *metrics) count(name string) { m.scope.Counter(name).Inc(1) }

// setAccount sets the totals of one customer and class in the account of calls.
func (m *metrics) setAccount(entry *admission.AccountEntry) {
	customer, class := string(entry.Key.Customer), string(entry.Key.Class)
	set := func(state string, count uint64) {
		tags := map[string]string{"customer": customer, "class": class, "state": state}
		m.scope.Tagged(tags).Gauge("account_calls").Update(float64(count))
	}
	unserved := func(state string, counts []admission.UnservedCount) {
		total := uint64(0)
		for _, count := range counts {
			total += count.Count
			tags := map[string]string{
				"customer": customer, "class": class, "state": state, "cause": string(count.Cause), "caused_by": string(count.CausedBy),
			}
			m.scope.Tagged(tags).Gauge("account_unserved").Update(float64(count.Count))
		}
		set(state, total)
	}
	set("arrivals", entry.Arrivals)
	set("served", entry.Served)
	set("open", entry.Open)
	unserved("not-run", entry.NotRun)
	unserved("unknown", entry.Unknown)
}

// countSend counts the result of a send to a backend server.
func (m *metrics) countSend(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("sent").Inc(1)
}

// countProbe counts the result of a probe of a backend server.
func (m *metrics) countProbe(state serverState) {
	m.scope.Tagged(map[string]string{"state": string(state)}).Counter("probes").Inc(1)
}

// countCall counts the outcome of a call. requestKind is the kind of its route's requests; "" for a call without a
// route.
func (m *metrics) countCall(result outcome.Kind, cause outcome.Cause, requestKind string) {
	m.scope.Tagged(map[string]string{"outcome": result.String(), "cause": string(cause), "kind": requestKind}).Counter("calls").Inc(1)
}

// setMemory sets the bytes that the memory account holds for a kind of bodies, and their limit.
func (m *metrics) setMemory(kind string, held, limit int64) {
	tagged := m.scope.Tagged(map[string]string{"kind": kind})
	tagged.Gauge("memory_held_bytes").Update(float64(held))
	tagged.Gauge("memory_limit_bytes").Update(float64(limit))
}

// countEvicted counts connections of callers that callerconn.Table has closed for a reason.
func (m *metrics) countEvicted(reason callerconn.Eviction, number int) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("caller_connections_evicted").Inc(int64(number))
}

// countUnanswered counts a call whose caller got no response or a part of one.
func (m *metrics) countUnanswered(response responseState, cause outcome.Cause, requestKind string) {
	m.scope.Tagged(map[string]string{"response": string(response), "cause": string(cause), "kind": requestKind}).Counter("calls_unanswered").Inc(1)
}

// countRepeats counts the repeats of a service since the last report, and sets its limit.
func (m *metrics) countRepeats(service ident.Service, last attempt.RepeatTotals, status attempt.RepeatStatus) {
	count := func(result string, delta int) {
		m.scope.Tagged(map[string]string{"service": string(service), "result": result}).Counter("repeats").Inc(int64(delta))
	}
	count("allowed", status.Totals.Allowed-last.Allowed)
	count("refused", status.Totals.Refused-last.Refused)
	count("released", status.Totals.Released-last.Released)
	count("uncounted", status.Totals.Uncounted-last.Uncounted)
	m.scope.Tagged(map[string]string{"service": string(service)}).Gauge("repeat_limit").Update(status.Limit)
}
