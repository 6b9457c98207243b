package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/platform/standin"
)

const (
	// All replicas of a service shed a share of their requests for minShedTime to maxShedTime, after a pause of up to maxShedPause.
	minShedTime  = 3 * time.Second
	maxShedTime  = 9 * time.Second
	maxShedPause = 8 * time.Second
	minShedShare = 0.5
	maxShedShare = 0.9
	// Meanwhile most entries are killed again and again, minKillPause to maxKillPause apart.
	killedShare  = 0.8
	minKillPause = 500 * time.Millisecond
	maxKillPause = 2500 * time.Millisecond
)

// repeats lets all replicas of a service shed requests while entries are killed, and checks that the entries together keep the limit
// on repeats.
type repeats struct {
	soak *soak
}

// run lets one service after the other shed until the context ends.
func (r *repeats) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(maxShedPause))))
		replicas := r.soak.deployment.Plain
		if random.IntN(2) == 0 {
			replicas = r.soak.deployment.Ranks
		}
		share := minShedShare + (maxShedShare-minShedShare)*random.Float64()
		r.shed(ctx, replicas, share, between(random, minShedTime, maxShedTime), random)
	}
}

// shed lets replicas shed for a time while entries are killed.
func (r *repeats) shed(ctx context.Context, replicas []*standin.Replica, share float64, duration time.Duration, random *rand.Rand) {
	s := r.soak
	s.log(fmt.Sprintf("%d replicas shed %.2f of their requests for %s", len(replicas), share, duration))
	for _, replica := range replicas {
		span := s.faults.begin()
		s.faults.setTarget(span, replica.Name())
		defer s.faults.end(span)
		replica.SetShedShare(share)
		defer replica.SetShedShare(0)
	}
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, between(random, minKillPause, maxKillPause))
		var restarts sync.WaitGroup
		for _, entry := range s.entries[1:] {
			pause := time.Duration(random.Int64N(int64(maxRestartPause)))
			if random.Float64() < killedShare {
				restarts.Go(func() { r.kill(entry, pause) })
			}
		}
		restarts.Wait()
	}
}

// kill kills an entry, unless another fault has it, and starts it again.
func (r *repeats) kill(entry *process, pause time.Duration) {
	if !entry.faultLock.TryLock() {
		return
	}
	defer entry.faultLock.Unlock()
	span := r.soak.faults.begin()
	r.soak.faults.setTarget(span, entry.settings.Name)
	defer r.soak.faults.end(span)
	r.soak.log("killed while replicas shed: " + entry.settings.Name)
	if err := entry.killAndRestart(pause); err != nil {
		r.soak.reportViolation("failed to restart " + entry.settings.Name + ": " + err.Error())
	}
}

// check checks that no service got more repeats in any window than the platform allows.
func (r *repeats) check() {
	for _, use := range r.soak.deployment.Arrivals.MostRepeats() {
		r.soak.log(use.String())
		if use.Exceeded() {
			r.soak.reportViolation(use.String())
		}
	}
}
