package rankagent

import (
	"context"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/expert"
)

// Pauses between readings of the engine's state.
const (
	// pollInterval is how often the rank's state and choices are read: about two passes.
	pollInterval = 100 * time.Millisecond
	// loadingInterval is the pace while the rank loads experts, is armed or had an order: the group waits for the last of its ranks.
	loadingInterval = 25 * time.Millisecond
	// orderSettle is how long an order makes the rank's state worth reading often: some passes.
	orderSettle = 150 * time.Millisecond
	// loadingLimit is the same for an order to prepare a map, whose experts take up to 450 ms to load.
	loadingLimit = 900 * time.Millisecond
	// idleInterval is the pace beside an idle rank.
	idleInterval = 400 * time.Millisecond
)

// poll reads the rank's state and choices at the pace that its work asks for.
func (a *Agent) poll(ctx context.Context) {
	pace := pollPace{}
	for {
		status, inGroup, err := a.readStatus(ctx)
		if err != nil {
			a.scope.Counter("engine_failed").Inc(1)
		}
		if err == nil && inGroup {
			var counts []uint64
			epoch := uint64(0)
			if pace.choicesDue(time.Now(), &status) {
				counts, epoch = a.readChoices(ctx)
			}
			a.post(func(now time.Time) { a.polled(ctx, now, status, counts, epoch) })
		}
		select {
		case <-time.After(pace.next(time.Now(), &status, err == nil && inGroup)):
		case version := <-a.ordered:
			pace.expect(time.Now(), version)
		case <-ctx.Done():
			return
		}
	}
}

// pollPace chooses the pauses between readings of the engine's state, and when its choices are read.
type pollPace struct {
	step       uint64
	choicesAt  time.Time
	hurryUntil time.Time
	// loading is the version that is being prepared; 0 for none.
	loading uint64
}

// expect makes the state worth reading often until the version is prepared, or the order has settled.
func (p *pollPace) expect(now time.Time, version uint64) {
	p.loading, p.hurryUntil = version, now.Add(orderSettle)
	if version != 0 {
		p.hurryUntil = now.Add(loadingLimit)
	}
}

// choicesDue reports whether the choices are to be read: the group began a pass since they were read last, and readings
// that wait for a rollout only need the state.
func (p *pollPace) choicesDue(now time.Time, status *expert.RankStatus) bool {
	if status.Step == p.step || now.Sub(p.choicesAt) < pollInterval-loadingInterval {
		return false
	}
	p.step, p.choicesAt = status.Step, now
	return true
}

// next returns the pause after a reading, which is of a rank in a group if known is true. A rank with requests is not
// idle between two passes: the leader waits for what it reports.
func (p *pollPace) next(now time.Time, status *expert.RankStatus, known bool) time.Duration {
	if p.loading != 0 && status.Prepared >= p.loading {
		p.expect(now, 0)
	}
	switch {
	case known && status.Armed != 0, now.Before(p.hurryUntil):
		return loadingInterval
	case !known || status.Running+status.Waiting == 0:
		return idleInterval
	}
	return pollInterval
}

// orderGiven lets the engine's state be read soon, at the pace that the order asks for.
func (a *Agent) orderGiven(reply *datagram.Reply) {
	select {
	case a.ordered <- reply.Version:
	default:
	}
}
