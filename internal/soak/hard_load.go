package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/platform/standin"
)

const (
	// A straggler takes minSlowness to maxSlowness times as long for minStragglerTime to maxStragglerTime.
	minSlowness      = 1.5
	maxSlowness      = 4
	minStragglerTime = time.Second
	maxStragglerTime = 6 * time.Second
	// evacuationKnown is the time after the request of an evacuation from which no request may reach the zone.
	evacuationKnown = standin.EvacuationBound + schedulingMargin
	// An evacuation stands for evacuationKnown and up to maxEvacuationChecked.
	minEvacuationChecked = time.Second
	maxEvacuationChecked = 3 * time.Second
	// A replica is cold for minColdTime to maxColdTime: long enough that most entries have schedulingMargin without a fault, after
	// which the limit is checked.
	minColdTime = 5 * time.Second
	maxColdTime = 8 * time.Second
	// coldCallers callers send lookups with a mean pause of coldThinkTime while a replica is cold, which is several times what
	// it may get.
	coldCallers   = 6
	coldThinkTime = 5 * time.Millisecond
	// maxLoadPause is the longest pause between two stragglers, evacuations, cold replicas or crowds.
	maxLoadPause = time.Second
)

// hardLoad makes ranks slow, evacuates zones and makes replicas cold, and checks that the bounds are kept.
type hardLoad struct {
	soak *soak
	// Each is written by one injector and read after its end.
	stragglers  int
	evacuations []evacuation
	cold        []coldTime

	mu sync.Mutex
	// evacuated is the zone that is evacuated and warming that of the cold replica; "" for none. They differ, since a cold replica of
	// an evacuated zone would get no requests.
	evacuated, warming ident.Zone
}

// evacuation is the time for which a zone was evacuated.
type evacuation struct {
	zone     ident.Zone
	from, to time.Time
}

// coldTime is the time for which an instance of a replica was cold.
type coldTime struct {
	instance string
	from, to time.Time
}

// between returns a random duration.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// pickReplica returns a random plain replica that is not in the zone other, and sets own to its zone.
func (h *hardLoad) pickReplica(random *rand.Rand, own, other *ident.Zone) *standin.Replica {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		if replica := pickRandom(random, h.soak.deployment.Plain); replica.Zone() != *other {
			*own = replica.Zone()
			return replica
		}
	}
}

// runStragglers makes one rank after the other slow until the context ends.
func (h *hardLoad) runStragglers(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		group := pickRandom(random, h.soak.deployment.Groups)
		rank, slowness := random.IntN(group.Size()), minSlowness+random.Float64()*(maxSlowness-minSlowness)
		h.soak.log(fmt.Sprintf("rank %d of %s takes %.1f times as long", rank, group.Name(), slowness))
		h.stragglers++
		group.SetSlowness(rank, slowness)
		sleep(ctx, between(random, minStragglerTime, maxStragglerTime))
		group.SetSlowness(rank, 1)
		sleep(ctx, between(random, 0, maxLoadPause))
	}
}

// runEvacuations evacuates one zone after the other until the context ends. The last evacuation stands for its time too, unless
// the soak ends.
func (h *hardLoad) runEvacuations(ctx, soakCtx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		zone := h.pickReplica(random, &h.evacuated, &h.warming).Zone()
		evacuated := evacuation{zone: zone, from: h.soak.deployment.Evacuate(zone, true)}
		h.soak.log("zone " + string(zone) + " is evacuated")
		sleep(soakCtx, evacuationKnown+between(random, minEvacuationChecked, maxEvacuationChecked))
		evacuated.to = time.Now()
		h.soak.deployment.Evacuate(zone, false)
		h.soak.log("the evacuation of zone " + string(zone) + " is withdrawn")
		h.evacuations = append(h.evacuations, evacuated)
		sleep(ctx, between(random, 0, maxLoadPause))
	}
}

// runCold makes one plain replica after the other cold until the context ends, while callers send more lookups than it may get. The
// last one stays cold for its time too, unless the soak ends.
func (h *hardLoad) runCold(ctx, soakCtx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		duration := between(random, minColdTime, maxColdTime)
		replica := h.pickReplica(random, &h.warming, &h.evacuated)
		if !h.soak.reserve(replica) {
			sleep(ctx, between(random, 0, maxLoadPause))
			continue
		}
		cold := coldTime{instance: replica.SetCold(duration), from: time.Now()}
		h.soak.log(fmt.Sprintf("%s is cold for %s", cold.instance, duration))
		coldCtx, cancel := context.WithTimeout(soakCtx, duration)
		var workers sync.WaitGroup
		for range coldCallers {
			callerRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
			workers.Go(func() {
				h.soak.callers.run(coldCtx, "cold", []standin.RequestKind{standin.Lookup}, coldThinkTime, callerRandom)
			})
		}
		workers.Wait()
		cancel()
		cold.to = time.Now()
		h.soak.release(replica)
		h.cold = append(h.cold, cold)
		sleep(ctx, between(random, 0, maxLoadPause))
	}
}

// check checks the bounds on evacuated zones and cold replicas, and logs what was played.
func (h *hardLoad) check() {
	for _, evacuated := range h.evacuations {
		h.checkEvacuation(evacuated)
	}
	for _, cold := range h.cold {
		h.checkCold(cold)
	}
	h.soak.log(fmt.Sprintf("%d stragglers, %d evacuations and %d cold replicas", h.stragglers, len(h.evacuations), len(h.cold)))
}

// checkEvacuation checks that no replica of an evacuated zone ran a request that was sent evacuationKnown or more after the
// evacuation was requested, unless a fault affected the store or the entry so shortly before that the entry may not have known of it.
func (h *hardLoad) checkEvacuation(evacuated evacuation) {
	zones := map[string]ident.Zone{}
	for _, replica := range h.soak.replicas() {
		zones[replica.Name()] = replica.Zone()
	}
	checked := 0
	for _, call := range h.soak.callers.calls {
		if call.sentAt.Before(evacuated.from.Add(evacuationKnown)) || call.sentAt.After(evacuated.to) {
			continue
		}
		checked++
		for _, run := range h.soak.deployment.RunLog.Runs(call.id) {
			if zones[run.ReplicaName()] != evacuated.zone || run.StartedAt.After(evacuated.to) {
				continue
			}
			if !h.soak.faults.affected(call.sentAt.Add(-evacuationKnown), run.StartedAt, storeTarget, call.entry.settings.Name) {
				h.soak.reportViolation(fmt.Sprintf("request %s at %s ran at %s, sent %s after the evacuation of zone %s was requested",
					call.id, call.entry.settings.Name, run.InstanceID, call.sentAt.Sub(evacuated.from), evacuated.zone))
			}
		}
	}
	h.soak.log(fmt.Sprintf("evacuation of zone %s: %d requests were sent after the bound", evacuated.zone, checked))
}

// checkCold checks that a cold replica ran no more requests in any second than the limit. Requests of an entry count from the time
// from which it must have read the replica's item.
func (h *hardLoad) checkCold(cold coldTime) {
	known := map[*process]time.Time{}
	for _, entry := range h.soak.entries {
		known[entry] = h.undisturbed(cold.from.Add(schedulingMargin), cold.to, entry)
	}
	var times []time.Time
	for _, call := range h.soak.callers.calls {
		for _, run := range h.soak.deployment.RunLog.Runs(call.id) {
			if run.InstanceID == cold.instance && run.StartedAt.After(known[call.entry]) && run.StartedAt.Before(cold.to) {
				times = append(times, run.StartedAt)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most := mostWithin(times, time.Second)
	h.soak.log(fmt.Sprintf("%s was cold: %d runs were checked, at most %d in a second", cold.instance, len(times), most))
	if allowed := standin.ColdRate*standin.ColdFactor + standin.ColdExtra; float64(most) > allowed {
		h.soak.reportViolation(fmt.Sprintf("%s ran %d requests in a second while it was cold; allowed %g", cold.instance, most, allowed))
	}
}

// undisturbed returns the first time between the given ones at which no fault has affected the store or an entry for
// schedulingMargin.
func (h *hardLoad) undisturbed(from, to time.Time, entry *process) time.Time {
	for from.Before(to) && h.soak.faults.affected(from.Add(-schedulingMargin), from, storeTarget, entry.settings.Name) {
		from = from.Add(readinessInterval)
	}
	return from
}

// mostWithin returns the largest number of ascending times within any span of the given length.
func mostWithin(times []time.Time, span time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
