package routing

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// SendResult is how sending a request to a backend server ended, as far as routing cares.
type SendResult uint8

// The results of sending a request.
const (
	// SendServed is a whole answer without a failure of the server.
	SendServed SendResult = iota + 1
	// SendFailed is the server's own failure to serve the request.
	SendFailed
	// SendBroken is an answer that broke off, or bytes that are no answer.
	SendBroken
	// SendNotConnected means that no connection could be opened.
	SendNotConnected
	// SendRejected is the server's word that it did not run the request.
	SendRejected
	// SendMisdirected is the word of another server that has the address now.
	SendMisdirected
	// SendGroupBroken is the word of a rank that its group can't run requests.
	SendGroupBroken
	// SendAbandoned tells nothing of the server: the caller left.
	SendAbandoned
)

// String returns the result as it is logged.
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
	}
	return "invalid"
}

// Constants of the health judged by what requests see.
const (
	// failureWeight is the weight of the newest result in the failure share: about the last ten
	// requests count, which an entry sends to a plain service in some seconds.
	failureWeight = 0.15
	// failureCost is how many times a server that always fails costs more than a sound one.
	failureCost = 12
	// connectPause is the first pause after a failed connection; it doubles up to maxConnectPause,
	// so that a server that is down costs each entry about one attempt a heartbeat.
	connectPause    = 250 * time.Millisecond
	maxConnectPause = 4 * time.Second
	// brokenPause keeps new requests from a server that broke two answers in a row.
	brokenPause = 500 * time.Millisecond
	// rejectPause is about the time in which one of a dozen streams of 1 to 2 s ends.
	rejectPause = 80 * time.Millisecond
	// latencyWeight is the weight of the newest answer in a server's mean latency.
	latencyWeight = 0.3
	// latencyLife is the age at which a server's latency is forgotten, so that one that was slow gets
	// requests again.
	latencyLife = 3 * time.Second
	// toldLife is the age at which a request that another entry told of is in the reported number: a rank is read every
	// 100 ms, its leader reports every 150 ms.
	toldLife = 200 * time.Millisecond
	// readingAge is about the age of what a report says: half of the 100 ms between readings and the way.
	readingAge = 60 * time.Millisecond
	// otherZoneCost is the price of another availability zone: a round trip between zones.
	otherZoneCost = 2 * time.Millisecond
	// usualLatency is assumed of a server without recent answers: the plain services' mean work.
	usualLatency = 15 * time.Millisecond
)

// Server is a backend server as one entry sees it.
type Server struct {
	membership.ListedBackend
	// Open is the number of this entry's open requests.
	Open int
	// Reported is the number of requests that its group's leader reported, and OpenAtReport this entry's part.
	Reported, OpenAtReport int

	// told are the times at which other entries told of requests that the reported number may not hold yet, and sent
	// those of this entry's own.
	told, sent recentTimes

	// unread are the prompt tokens sent to the rank that it has not read at unreadAt.
	unread   float64
	unreadAt time.Time

	failures    float64
	broken      int
	pauses      int
	pausedUntil time.Time
	latency     time.Duration
	latencyAt   time.Time
}

// recentTimes are times in ascending order, of which the old ones are forgotten.
type recentTimes []time.Time

func (r *recentTimes) add(now time.Time) {
	*r = append(slices.DeleteFunc(*r, func(at time.Time) bool { return now.Sub(at) >= toldLife }), now)
}

// since returns how many of the times are younger than the age.
func (r recentTimes) since(now time.Time, age time.Duration) int {
	n := 0
	for n < len(r) && now.Sub(r[len(r)-1-n]) < age {
		n++
	}
	return n
}

// Load returns the number of requests that run or wait at the server, as far as known.
func (s *Server) Load(now time.Time) int {
	return max(s.Reported-s.OpenAtReport, 0) + s.Open + s.told.since(now, toldLife)
}

// Report takes the number of requests that the server's group reports. Those that this entry sent in the last moment are
// not in it.
func (s *Server) Report(now time.Time, load int) {
	s.Reported = load
	s.OpenAtReport = max(s.Open-s.sent.since(now, readingAge), 0)
}

// Send records a request of this entry.
func (s *Server) Send(now time.Time) {
	s.Open++
	s.sent.add(now)
}

// Tell records a request that another entry sent. It answers the load pattern of few free slots that many entries see at
// once, as when one of two groups is lost: with reports alone each of them fills the same slot.
func (s *Server) Tell(now time.Time) {
	s.told.add(now)
}

// Paused reports whether new requests should go elsewhere for now.
func (s *Server) Paused(now time.Time) bool {
	return now.Before(s.pausedUntil)
}

// PausedUntil returns the end of the pause.
func (s *Server) PausedUntil() time.Time {
	return s.pausedUntil
}

// Record takes the result of a request. Latency is the time to the first byte, 0 if there was none.
func (s *Server) Record(now time.Time, result SendResult, latency time.Duration) {
	switch result {
	case SendServed:
		s.failures -= failureWeight * s.failures
		s.broken, s.pauses = 0, 0
		s.recordLatency(now, latency)
	case SendFailed:
		s.failures += failureWeight * (1 - s.failures)
		s.pauses = 0
	case SendBroken:
		s.failures += failureWeight * (1 - s.failures)
		s.broken++
		if s.broken >= 2 {
			s.pause(now, brokenPause)
		}
	case SendNotConnected:
		s.pause(now, min(connectPause<<min(s.pauses, 10), maxConnectPause))
		s.pauses++
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
	if s.latencyAt.IsZero() || now.Sub(s.latencyAt) > latencyLife {
		s.latency = latency
	}
	s.latency += time.Duration(latencyWeight * float64(latency-s.latency))
	s.latencyAt = now
}

func (s *Server) meanLatency(now time.Time) time.Duration {
	if s.latencyAt.IsZero() || now.Sub(s.latencyAt) > latencyLife {
		return usualLatency
	}
	return s.latency
}

// PlainCost orders the servers of a plain service: by the wait to expect, by failures and by
// availability zone. It answers a load that leaves most servers idle while one of them is slow or fails.
func (s *Server) PlainCost(now time.Time, zone ident.Zone) float64 {
	cost := float64(s.meanLatency(now)) * float64(s.Open+1)
	if s.Zone != zone {
		cost += float64(otherZoneCost)
	}
	return cost * (1 + failureCost*s.failures*s.failures)
}

// AddUnread records a prompt that was sent to the rank, by this entry or another one.
func (s *Server) AddUnread(now time.Time, tokens int, rate float64) {
	s.unread = s.Unread(now, rate) + float64(tokens)
	s.unreadAt = now
}

// Unread returns the prompt tokens that the rank has yet to read at a rate of tokens a second.
func (s *Server) Unread(now time.Time, rate float64) float64 {
	return max(s.unread-rate*now.Sub(s.unreadAt).Seconds(), 0)
}

// FirstEvent predicts the time until a prompt of so many tokens is read at the rank, behind those before it. It
// answers the load pattern of long prompts that meet at one rank while the others read nothing.
func (s *Server) FirstEvent(now time.Time, tokens int, rate float64) time.Duration {
	ahead := s.Unread(now, rate) + float64(tokens)
	return time.Duration(ahead / rate * (1 + s.failures) * float64(time.Second))
}
