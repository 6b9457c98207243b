package rankagent

import (
	"context"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/expert"
)

// Intervals between readings of the engine's status.
const (
	// pollInterval is the interval at which the status and the expert counts of a busy rank are read: about two passes.
	pollInterval = 100 * time.Millisecond
	// fastPollInterval replaces pollInterval while the rank loads experts, is armed (will switch maps at a given pass) or
	// has just received an order, because a rollout waits for the status of the slowest rank.
	fastPollInterval = 25 * time.Millisecond
	// fastPollAfterOrder is the time after an order during which fastPollInterval applies: a few passes.
	fastPollAfterOrder = 150 * time.Millisecond
	// fastPollAfterPrepare replaces fastPollAfterOrder after an order to prepare a map. Loading the experts of a map
	// takes up to 450 ms.
	fastPollAfterPrepare = 900 * time.Millisecond
	// idlePollInterval replaces pollInterval while the rank has no requests or its status could not be read.
	idlePollInterval = 400 * time.Millisecond
)

// poll reads the rank's status and expert counts until the context ends, at the intervals given by pollSchedule.
func (a *Agent) poll(ctx context.Context) {
	schedule := pollSchedule{}
	for {
		status, inGroup, err := a.readStatus(ctx)
		if err != nil {
			a.scope.Counter("engine_failed").Inc(1)
		}
		if err == nil && inGroup {
			var reading choiceReading
			if due, endsWindow := schedule.choicesDue(time.Now(), &status); due {
				reading.endsWindow = endsWindow
				reading.counts, reading.epoch = a.readChoices(ctx)
				schedule.limitChoices(time.Now(), &status, len(reading.counts), a.config.Settings.LinkRate)
			}
			schedule.confirmPace(time.Now(), &status)
			a.post(func(now time.Time) { a.handleStatus(ctx, now, status, reading) })
		}
		select {
		case <-time.After(schedule.nextInterval(time.Now(), &status, err == nil && inGroup)):
		case version := <-a.pollRequests:
			schedule.pollFast(time.Now(), version)
		case <-ctx.Done():
			return
		}
	}
}

// pollSchedule determines the intervals between readings of the engine's status, and when its expert counts are read.
type pollSchedule struct {
	// choicesStep and choicesAt are the pass and the time of the last reading of the expert counts.
	choicesStep uint64
	choicesAt   time.Time
	// windowInterval is the time between the windows in which choices are counted for reports; 0 if each window begins
	// with the end of the former. inWindow is true if the last reading began a window.
	windowInterval time.Duration
	inWindow       bool
	fastUntil      time.Time
	// last is the status that was read last.
	last expert.RankStatus
	// preparing is the version of the map that is being prepared; 0 for none.
	preparing uint64
}

// pollFast starts polling at fastPollInterval after an order, for fastPollAfterOrder. If the order prepares a map,
// version is the map's version and fast polling lasts fastPollAfterPrepare. Once a status shows that the map is
// prepared, fast polling lasts only fastPollAfterOrder from then on. For other orders, version is 0.
func (p *pollSchedule) pollFast(now time.Time, version uint64) {
	p.preparing, p.fastUntil = version, now.Add(fastPollAfterOrder)
	if version != 0 {
		p.fastUntil = now.Add(fastPollAfterPrepare)
	}
}

// confirmPace makes the next reading follow soon if the rank's pace changed, because the leader needs two reports of a
// pace. It does not do so while readings follow each other fast, so that a pace that changes all the time costs at most
// one further reading for each usual one.
func (p *pollSchedule) confirmPace(now time.Time, status *expert.RankStatus) {
	if paceChanged(&p.last, status) && !now.Before(p.fastUntil) {
		p.fastUntil = now.Add(fastPollInterval)
	}
	p.last = *status
}

// choicesDue reports whether the expert counts must be read with this status, and whether the reading ends a window whose
// choices are reported. It records the reading. The counts are read at most about once per pollInterval, and only if a
// pass has begun since the last reading: fast polling only needs the status.
func (p *pollSchedule) choicesDue(now time.Time, status *expert.RankStatus) (due, endsWindow bool) {
	wait := pollInterval
	if p.windowInterval > 0 && !p.inWindow {
		wait = p.windowInterval - pollInterval
	}
	if status.Step == p.choicesStep || now.Sub(p.choicesAt) < wait-fastPollInterval {
		return false, false
	}
	p.choicesStep, p.choicesAt = status.Step, now
	endsWindow = p.windowInterval == 0 || p.inWindow
	p.inWindow = p.windowInterval > 0 && !p.inWindow
	return true, endsWindow
}

// limitChoices sets windowInterval after a reading, from the number of counts and the rate of the link in bytes a second.
// The ranks of a large group count in turn: each reports what it counted in one pollInterval of the windowInterval, so
// that the leader gets as many recent counts as it can receive, and none that are old.
func (p *pollSchedule) limitChoices(now time.Time, status *expert.RankStatus, counts int, linkRate float64) {
	interval := reportingInterval(status.Size, counts+statusReportBytes, countsLinkShare*linkRate)
	if counts == 0 || status.Size == 0 || interval <= 2*pollInterval {
		p.windowInterval, p.inWindow = 0, false
		return
	}
	if p.windowInterval == 0 {
		turn := interval * time.Duration(status.Rank) / time.Duration(status.Size)
		p.choicesAt, p.inWindow = now.Add(turn-interval), false
	}
	p.windowInterval = interval
}

// nextInterval returns the time until the next reading. valid is false if the last reading failed or the rank belongs
// to no group. A rank with requests is not idle even if no pass has begun since the last reading, because the leader
// waits for its next report.
func (p *pollSchedule) nextInterval(now time.Time, status *expert.RankStatus, valid bool) time.Duration {
	if p.preparing != 0 && status.Prepared >= p.preparing {
		p.pollFast(now, 0)
	}
	switch {
	case valid && status.Armed != 0, now.Before(p.fastUntil):
		return fastPollInterval
	case !valid || status.Running+status.Waiting == 0:
		return idlePollInterval
	}
	return pollInterval
}

// requestPoll makes poll read the engine's status immediately after an order, and then often for a while. It does
// nothing if a request is already pending.
func (a *Agent) requestPoll(reply *datagram.Reply) {
	select {
	case a.pollRequests <- reply.Version:
	default:
	}
}
