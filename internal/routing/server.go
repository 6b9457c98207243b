package routing

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// SendResult is the result of sending a request to a backend server, as routing distinguishes it.
type SendResult uint8

// The results of sending a request.
const (
	// SendServed is a complete answer without a failure of the server.
	SendServed SendResult = iota + 1
	// SendFailed is a failure of the server to serve the request.
	SendFailed
	// SendBroken is an answer that ended early, or bytes that are not a valid answer.
	SendBroken
	// SendNotConnected means that no connection could be opened.
	SendNotConnected
	// SendRejected is a reply by which the server states that it did not run the request.
	SendRejected
	// SendMisdirected is a reply of another server that now uses the address.
	SendMisdirected
	// SendGroupBroken is a reply of a rank whose group cannot run requests.
	SendGroupBroken
	// SendAbandoned means that the caller left. It says nothing about the server.
	SendAbandoned
	// SendEvacuated means that nothing was sent, since the server's availability zone was evacuated after the assignment. It
	// says nothing about the server.
	SendEvacuated
)

// String returns the name of the result in logs.
func (r SendResult) String() string {
	switch r {
	case SendServed:
		return "served"
	case SendFailed:
		return "failed"
	case SendBroken:
		return "broken"
	case SendNotConnected:
		return "not-connected"
	case SendRejected:
		return "rejected"
	case SendMisdirected:
		return "misdirected"
	case SendGroupBroken:
		return "group-broken"
	case SendAbandoned:
		return "abandoned"
	case SendEvacuated:
		return "evacuated"
	}
	return "invalid"
}

// Constants of the passive health checks and of the load estimates.
const (
	// failureWeight is the weight of the newest result in the failure share. About the last ten requests count, which
	// an entry sends to a plain service within some seconds.
	failureWeight = 0.15
	// failureCost is how much the cost of a server that always fails is increased, as a multiple of its usual cost.
	failureCost = 12
	// connectPause is the first pause after a failed connection. It doubles up to maxConnectPause, so that an
	// unreachable server soon costs each entry only about one connection attempt every 4 s.
	connectPause    = 250 * time.Millisecond
	maxConnectPause = 4 * time.Second
	// brokenPause is the pause after the second and each further broken answer since the last served one.
	brokenPause = 500 * time.Millisecond
	// rejectPause is the pause after a server has rejected a request. A full server with a dozen streams of 1 to 2 s
	// has a free slot after about this time.
	rejectPause = 80 * time.Millisecond
	// RestRamp is the time after a rest in which load returns step by step, restRampStep the time of a step.
	RestRamp     = time.Second
	restRampStep = RestRamp / 4
	// latencyWeight is the weight of the newest answer in a server's mean latency.
	latencyWeight = 0.3
	// latencyMaxAge is the age from which a server's mean latency is ignored, so that a server that was slow gets
	// requests again.
	latencyMaxAge = 3 * time.Second
	// remoteSendMaxAge is the age from which a request sent by another entry counts as included in the reported
	// number. The load of a busy rank is read every 100 ms and its leader reports every 150 ms. This delays the
	// number by up to 250 ms, and by 125 ms on average. At a greater age more requests would be counted twice, at a
	// smaller one more would not be counted at all.
	remoteSendMaxAge = 200 * time.Millisecond
	// LoadAge is the mean time for which entries act on a reported load: half of the interval between reports, and the
	// time from a rank's reading to the report.
	LoadAge = 250 * time.Millisecond
	// reportAge is the approximate age of a rank's load at the arrival of the report: half of the 100 ms between polls
	// plus 10 ms for the delivery. The time between two reports does not count, because the age is that at the arrival.
	reportAge = 60 * time.Millisecond
	// otherZoneCost is the cost of another availability zone: a round trip between zones.
	otherZoneCost = 2 * time.Millisecond
	// defaultLatency is assumed for a server without recent answers: the mean service time of the plain services.
	defaultLatency = 15 * time.Millisecond
)

// Server is the state of a backend server at one entry. In a lock-step group it is one rank.
type Server struct {
	membership.ListedBackend
	// Open is the number of this entry's open requests.
	Open int
	// OpenSuspects is the number of those that may have crashed a server before.
	OpenSuspects int
	// Reported is the number of requests in the latest report of the group's leader; OpenAtReport is this entry's
	// part of it.
	Reported, OpenAtReport int

	// remoteSends are the times of receipt of messages from other entries, one for each request that they sent to the
	// server. Reported may not include these requests yet. localSends are the times of this entry's own requests.
	remoteSends, localSends recentTimes

	// promptBacklog is the number of prompt tokens that the rank had yet to process at promptBacklogAt.
	promptBacklog   float64
	promptBacklogAt time.Time

	// Avoided is true for a rank that is so slow that its streams are better off at others, by the last report of its group.
	Avoided bool
	// StatedLeaving is true once a response of the server has said that it is leaving.
	StatedLeaving bool
	// restUntil is the end of the time for which the server wants no requests; zero if it never asked for that.
	restUntil time.Time

	failureShare      float64
	brokenSinceServed int
	failedConnects    int
	pausedUntil       time.Time
	latency           time.Duration
	latencyAt         time.Time
}

// recentTimes holds times in ascending order, without those older than remoteSendMaxAge.
type recentTimes []time.Time

func (r *recentTimes) add(now time.Time) {
	*r = append(slices.DeleteFunc(*r, func(at time.Time) bool { return now.Sub(at) >= remoteSendMaxAge }), now)
}

// since returns how many of the times are more recent than the age.
func (r recentTimes) since(now time.Time, age time.Duration) int {
	n := 0
	for n < len(r) && now.Sub(r[len(r)-1-n]) < age {
		n++
	}
	return n
}

// Load returns the estimated number of requests that are running or queued at the server.
func (s *Server) Load(now time.Time) int {
	return max(s.Reported-s.OpenAtReport, 0) + s.Open + s.remoteSends.since(now, remoteSendMaxAge)
}

// RecordReport records the number of requests that the server's group reports. The number does not include this entry's
// requests of the last reportAge.
func (s *Server) RecordReport(now time.Time, load int) {
	s.Reported = load
	s.OpenAtReport = max(s.Open-s.localSends.since(now, reportAge), 0)
}

// RecordSend records a request sent by this entry.
func (s *Server) RecordSend(now time.Time) {
	s.Open++
	s.localSends.add(now)
}

// RecordRemoteSend records a request sent by another entry. Without it, entries with the same reports would all fill the
// same few free slots, for example after one of two groups is lost.
func (s *Server) RecordRemoteSend(now time.Time) {
	s.remoteSends.add(now)
}

// Paused reports whether new requests should be sent to other servers for now.
func (s *Server) Paused(now time.Time) bool {
	return now.Before(s.pausedUntil)
}

// RecordRest records that the server wants no requests until a time.
func (s *Server) RecordRest(until time.Time) {
	if until.After(s.restUntil) {
		s.restUntil = until
	}
}

// RestLeft returns the time until the server may get a request of this entry, or 0. After a rest the number of open
// requests may double every restRampStep, so that load does not return at once.
func (s *Server) RestLeft(now time.Time) time.Duration {
	if s.restUntil.IsZero() {
		return 0
	}
	if left := s.restUntil.Sub(now); left > 0 {
		return left
	}
	step := int(now.Sub(s.restUntil) / restRampStep)
	if now.Sub(s.restUntil) < RestRamp && s.Open >= 1<<step {
		return restRampStep
	}
	return 0
}

// PausedUntil returns the end of the pause.
func (s *Server) PausedUntil() time.Time {
	return s.pausedUntil
}

// RecordResult records the result of a request. Latency is the time to the first byte, 0 if there was none.
// SendAbandoned, SendEvacuated and SendGroupBroken change nothing: the first two say nothing about the server, and for the
// last the control package's Dispatcher pauses the whole group.
func (s *Server) RecordResult(now time.Time, result SendResult, latency time.Duration) {
	switch result {
	case SendServed:
		s.failureShare -= failureWeight * s.failureShare
		s.brokenSinceServed, s.failedConnects = 0, 0
		s.recordLatency(now, latency)
	case SendFailed:
		s.failureShare += failureWeight * (1 - s.failureShare)
		s.failedConnects = 0
	case SendBroken:
		s.failureShare += failureWeight * (1 - s.failureShare)
		s.brokenSinceServed++
		if s.brokenSinceServed >= 2 {
			s.pause(now, brokenPause)
		}
	case SendNotConnected:
		s.pause(now, min(connectPause<<min(s.failedConnects, 10), maxConnectPause))
		s.failedConnects++
	case SendMisdirected:
		s.pause(now, maxConnectPause)
	case SendRejected:
		s.pause(now, rejectPause)
	}
}

func (s *Server) pause(now time.Time, pause time.Duration) {
	if until := now.Add(pause); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

func (s *Server) recordLatency(now time.Time, latency time.Duration) {
	if latency <= 0 {
		return
	}
	if s.latencyAt.IsZero() || now.Sub(s.latencyAt) > latencyMaxAge {
		s.latency = latency
	}
	s.latency += time.Duration(latencyWeight * float64(latency-s.latency))
	s.latencyAt = now
}

func (s *Server) meanLatency(now time.Time) time.Duration {
	if s.latencyAt.IsZero() || now.Sub(s.latencyAt) > latencyMaxAge {
		return defaultLatency
	}
	return s.latency
}

// PlainCost returns the relative cost of sending a request to a server of a plain service: the expected wait, increased
// for another availability zone and for failures. It moves requests away from a single slow or failing server while the
// others are idle.
func (s *Server) PlainCost(now time.Time, zone ident.Zone) float64 {
	cost := float64(s.meanLatency(now)) * float64(s.Open+1)
	if s.Zone != zone {
		cost += float64(otherZoneCost)
	}
	return cost * (1 + failureCost*s.failureShare*s.failureShare)
}

// AddPrompt records a prompt that this or another entry sent to the rank. Rate is in tokens per second.
func (s *Server) AddPrompt(now time.Time, tokens int, rate float64) {
	s.promptBacklog = s.PromptBacklog(now, rate) + float64(tokens)
	s.promptBacklogAt = now
}

// PromptBacklog returns the estimated number of prompt tokens that the rank has yet to process. Rate is in tokens per
// second.
func (s *Server) PromptBacklog(now time.Time, rate float64) float64 {
	return max(s.promptBacklog-rate*now.Sub(s.promptBacklogAt).Seconds(), 0)
}

// TimeToFirstEvent returns the expected time until the rank has processed a prompt of the given length in tokens and the
// prompts before it, increased in proportion to the share of recent failures. It spreads long prompts over the ranks,
// which would otherwise queue at one rank while others process none. Rate is in tokens per second.
func (s *Server) TimeToFirstEvent(now time.Time, tokens int, rate float64) time.Duration {
	ahead := s.PromptBacklog(now, rate) + float64(tokens)
	return time.Duration(ahead / rate * (1 + s.failureShare) * float64(time.Second))
}
