package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleyspool/bramleyspool/platform/standin"
)

const (
	// A replica names a limit for minLimitTime to maxLimitTime: long enough for a limitSpan after stableWindow.
	minLimitTime = 8 * time.Second
	maxLimitTime = 14 * time.Second
	// maxLimit is the largest limit, in requests per second.
	maxLimit = 8
	// In any limitSpan from stableWindow after it first named a limit, a replica may get limitFactor times what the limit
	// allows, and limitSlack requests more.
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limits lets replicas name limits of requests, and checks that they are kept.
type limits struct {
	soak *soak
	// named are all limits that were named.
	named []namedLimit
}

// namedLimit is a limit that an instance of a replica named for some time, in requests per second.
type namedLimit struct {
	instance string
	rate     float64
	from, to time.Time
}

// run lets one replica after the other name a limit until the context ends.
func (l *limits) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		replica := pickRandom(random, l.soak.replicas())
		limit := namedLimit{rate: float64(1 + random.IntN(maxLimit)), from: time.Now()}
		limit.instance = replica.SetLimit(limit.rate)
		l.soak.log(fmt.Sprintf("%s names a limit of %g requests a second", limit.instance, limit.rate))
		sleep(ctx, minLimitTime+time.Duration(random.Int64N(int64(maxLimitTime-minLimitTime))))
		limit.to = time.Now()
		replica.SetLimit(standin.NoLimit)
		l.named = append(l.named, limit)
	}
}

// check checks that no replica got more requests than its limit allows, from stableWindow after it named it in a response. Before its
// first run no entry can know of the limit.
func (l *limits) check() {
	for _, limit := range l.named {
		var first time.Time
		var times []time.Time
		for _, at := range l.soak.deployment.RunLog.StartsAt(limit.instance) {
			if first.IsZero() && at.After(limit.from) {
				first = at
			}
			if at.After(first.Add(stableWindow)) && !first.IsZero() && at.Before(limit.to) {
				times = append(times, at)
			}
		}
		most := mostWithin(times, limitSpan)
		l.soak.log(fmt.Sprintf("%s with a limit of %g a second: %d runs, at most %d in %s", limit.instance, limit.rate, len(times), most, limitSpan))
		if allowed := limitFactor*limit.rate*limitSpan.Seconds() + limitSlack; float64(most) > allowed {
			l.soak.reportViolation(fmt.Sprintf("%s ran %d requests in %s at a limit of %g a second; allowed %g", limit.instance, most, limitSpan, limit.rate, allowed))
		}
	}
}
