package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/platform/standin"
)

const (
	// maxZoneStopPause is the greatest pause before the stop of a zone.
	maxZoneStopPause = 3 * time.Second
	// maxCopies is the greatest number of copies of a leaving replica's item under other keys.
	maxCopies = 30
	// maxAbsence is the greatest time between the end of a replica that leaves and its next start.
	maxAbsence = 2 * time.Second
	// throttlePeriod and throttleRunTime give a process a fifth of a processor's time, in the way in which Linux enforces a quota: it runs
	// at the start of each period and stands still for the rest.
	throttlePeriod  = 100 * time.Millisecond
	throttleRunTime = throttlePeriod / 5
)

// runZoneStops stops one availability zone after the other as planned: its entries, its agents and its plain replicas, all at the same
// time. ends is the context of the soak, which lasts longer than ctx.
func (s *stops) runZoneStops(ctx, ends context.Context, random *rand.Rand) {
	for {
		sleep(ctx, time.Duration(random.Int64N(int64(maxZoneStopPause))))
		if ctx.Err() != nil {
			return
		}
		zone := standin.ZoneOf(random.IntN(zones), zones)
		s.soak.log("begins: a zone is stopped")
		var stopped sync.WaitGroup
		for i, entry := range s.soak.entries {
			if ident.Zone(entry.settings.Zone) == zone {
				fork := rand.New(rand.NewPCG(random.Uint64(), uint64(i)))
				stopped.Go(func() { s.stopProcess(ends, entry, fork) })
			}
		}
		for i, agent := range s.soak.agents {
			if s.soak.deployment.Ranks[i].Zone() == zone {
				stopped.Go(func() { s.stopProcess(ends, agent, nil) })
			}
		}
		for _, replica := range s.soak.deployment.Plain {
			if replica.Zone() == zone {
				fork := rand.New(rand.NewPCG(random.Uint64(), 0))
				stopped.Go(func() { s.leave(replica, fork) })
			}
		}
		stopped.Wait()
		s.soak.log("ends: a zone is stopped")
	}
}

// stopProcess stops a process as planned and starts it again, unless a fault acts on it. random is nil for agents.
func (s *stops) stopProcess(ctx context.Context, p *process, random *rand.Rand) {
	if !p.faultLock.TryLock() {
		return
	}
	defer p.faultLock.Unlock()
	if random != nil {
		s.accompany(ctx, p, random)
	}
	if err := p.stopAndRestart(stopTimeout); err != nil {
		s.soak.reportViolation("failed to start " + p.settings.Name + " again: " + err.Error())
	}
}

// leave lets a replica leave and starts it again, unless a fault acts on it. Copies of its item stay in the list until it has started again.
func (s *stops) leave(replica *standin.Replica, random *rand.Rand) {
	if !s.soak.reserve(replica) {
		return
	}
	defer s.soak.release(replica)
	remove := replica.PutCopies(random.IntN(maxCopies))
	defer remove()
	replica.Leave(leavingTime)
	time.Sleep(time.Duration(random.Int64N(int64(maxAbsence))))
	if err := replica.Restart(); err != nil {
		s.soak.reportViolation("failed to start " + replica.Name() + " again: " + err.Error())
	}
}

// runThrottles gives one process after the other a fifth of a processor. It is no fault: nothing may be lost on a slow machine. A process
// is throttled in a stop, too.
func (s *stops) runThrottles(ctx context.Context, random *rand.Rand) {
	processes := append(append([]*process(nil), s.soak.entries...), s.soak.agents...)
	for ctx.Err() == nil {
		chosen := pickRandom(random, processes)
		incarnation := chosen.currentIncarnation()
		s.soak.log("begins: " + chosen.settings.Name + " has a fifth of a processor")
		for end := time.Now().Add(faultDuration(random)); time.Now().Before(end) && ctx.Err() == nil; {
			chosen.signalIncarnation(incarnation, syscall.SIGSTOP)
			sleep(ctx, throttlePeriod-throttleRunTime)
			chosen.signalIncarnation(incarnation, syscall.SIGCONT)
			sleep(ctx, throttleRunTime)
		}
		s.soak.log("ends: " + chosen.settings.Name + " has a fifth of a processor")
		sleep(ctx, time.Duration(random.Int64N(int64(maxFaultPause))))
	}
}
