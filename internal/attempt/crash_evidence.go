package attempt

import (
	"math"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// SetServers sets the number of listed servers of a service.
func (r *CrashRegister) SetServers(service ident.Service, servers int) { r.servers[service] = servers }

// rateWithout returns the rate per second at which a server of a service ended around the time of an end, without the
// ends that the given request or a quarantined one explains.
func (r *CrashRegister) rateWithout(now time.Time, end *serverEnd, fingerprint Fingerprint) float64 {
	ends := r.config.PriorEnds
	for server, other := range r.ends {
		if other.service == end.service && other.at.Sub(end.at).Abs() <= r.config.ObserveFor &&
			!r.explains(fingerprint, server) && !r.quarantinedAt(now, other) {
			ends++
		}
	}
	return ends / (float64(max(r.servers[end.service], 1)) * r.config.ObserveFor.Seconds())
}

// quarantinedAt reports whether a quarantined request was running at an end.
func (r *CrashRegister) quarantinedAt(now time.Time, end *serverEnd) bool {
	for fingerprint, run := range end.runs {
		if !run.survived && r.quarantine.Left(now, fingerprint) > 0 {
			return true
		}
	}
	return false
}

// explains reports whether the request was running at the end of a server and no server has survived it since.
func (r *CrashRegister) explains(fingerprint Fingerprint, server ServerInstance) bool {
	end := r.ends[server]
	if end == nil {
		return false
	}
	run, known := end.runs[fingerprint]
	return known && !run.survived
}

// evaluate quarantines the request if the evidence against it reaches the limit.
func (r *CrashRegister) evaluate(now time.Time, fingerprint Fingerprint) {
	if r.evidence(now, fingerprint) < r.config.EvidenceLimit || len(r.suspects[fingerprint]) < r.config.MinEnds {
		return
	}
	if r.quarantine.Add(fingerprint, now.Add(r.config.QuarantineFor)) {
		r.changedQuarantine[fingerprint] = true
	}
}

// evidence returns the evidence against a request in nats: that of the ends which no other request explains.
func (r *CrashRegister) evidence(now time.Time, fingerprint Fingerprint) float64 {
	strength := r.strength(now, fingerprint)
	total := 0.0
	for _, server := range r.suspects[fingerprint] {
		end := r.ends[server]
		if now.Sub(end.at) >= r.config.SettleTime && r.bestExplains(now, end, fingerprint, strength) {
			total += r.nats(now, end, fingerprint)
		}
	}
	return total
}

// strength returns the evidence that a request would have if it explained all its ends.
func (r *CrashRegister) strength(now time.Time, fingerprint Fingerprint) float64 {
	total := 0.0
	for _, server := range r.suspects[fingerprint] {
		total += r.nats(now, r.ends[server], fingerprint)
	}
	return total
}

// nats returns the negative logarithm of the probability that a server ends during the request's run by chance. A run that
// is cut off at a random time would on average have lasted twice as long.
func (r *CrashRegister) nats(now time.Time, end *serverEnd, fingerprint Fingerprint) float64 {
	expected := r.rateWithout(now, end, fingerprint) * 2 * end.runs[fingerprint].duration.Seconds()
	return min(max(-math.Log(expected), 0), r.config.MaxEvidence)
}

// bestExplains reports whether no other suspect of an end explains it nearly as well as the request. Another one does not
// if this was its only end and its caller has not come back, or if it has less than a third of the strength.
func (r *CrashRegister) bestExplains(now time.Time, end *serverEnd, fingerprint Fingerprint, strength float64) bool {
	const strengthRatio = 3
	for other, run := range end.runs {
		if other == fingerprint || run.survived || len(r.suspects[other]) == 1 && now.Sub(end.at) >= r.config.ReturnFor {
			continue
		}
		if strength < strengthRatio*r.strength(now, other) {
			return false
		}
	}
	return true
}

// planReview plans the evaluation of the suspects of an end, and another when the end is old enough for ReturnFor.
func (r *CrashRegister) planReview(now time.Time, end *serverEnd) {
	for fingerprint, run := range end.runs {
		if !run.survived {
			r.review[fingerprint] = reviewPlan{next: now.Add(r.config.SettleTime), last: now.Add(r.config.ReturnFor)}
		}
	}
}

// Tick evaluates requests whose ends have changed, and drops what has expired.
func (r *CrashRegister) Tick(now time.Time) {
	for fingerprint, plan := range r.review {
		if now.Before(plan.next) {
			continue
		}
		r.evaluate(now, fingerprint)
		if now.Before(plan.last) {
			r.review[fingerprint] = reviewPlan{next: plan.last, last: plan.last}
		} else {
			delete(r.review, fingerprint)
		}
	}
	for server, pending := range r.pending {
		if now.Sub(pending.lastAt) > r.config.BrokenFor {
			delete(r.pending, server)
		}
	}
	if now.Sub(r.expiredAt) < r.config.BrokenFor {
		return
	}
	r.expiredAt = now
	r.quarantine.Expire(now)
	for server, end := range r.ends {
		age := now.Sub(end.at)
		if age > r.config.SuspectFor || len(end.runs) == 0 && age > 2*r.config.ObserveFor {
			r.removeEnd(server)
		}
	}
	r.order = slices.DeleteFunc(r.order, func(server ServerInstance) bool { return r.ends[server] == nil })
}
