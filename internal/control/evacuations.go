package control

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

const (
	// evacuatedRetryAfter is the least Retry-After time of a request that only servers of evacuated zones could take. An
	// evacuation lasts much longer than a caller waits, so that the time only spreads the returns of callers.
	evacuatedRetryAfter = time.Second
	// zoneReturn is the time over which work returns to a zone after an evacuation, in steps of zoneReturnStep. Its servers are
	// idle and would otherwise get all new requests of all entries at once. Streams last 1 to 2 s, so that their number at the
	// zone grows with the share.
	zoneReturn     = 2 * time.Second
	zoneReturnStep = zoneReturn / 8
)

// evacuations has the evacuated availability zones, and those to which work returns.
type evacuations struct {
	zones      []ident.Zone
	returnedAt map[ident.Zone]time.Time
}

func (e *evacuations) contains(zone ident.Zone) bool { return slices.Contains(e.zones, zone) }

// share returns the share of new requests that may go to a zone.
func (e *evacuations) share(now time.Time, zone ident.Zone) float64 {
	at, returning := e.returnedAt[zone]
	if !returning {
		return 1
	}
	steps := float64(zoneReturn / zoneReturnStep)
	return min((1+float64(now.Sub(at)/zoneReturnStep))/(steps+1), 1)
}

// SetEvacuated sets the evacuated zones. Servers of these zones get nothing new. Like SetBackends, it returns the decisions now
// made for waiting requests.
func (d *Dispatcher) SetEvacuated(now time.Time, zones []ident.Zone) []Assignment {
	for _, zone := range d.evacuated.zones {
		if !slices.Contains(zones, zone) {
			if d.evacuated.returnedAt == nil {
				d.evacuated.returnedAt = map[ident.Zone]time.Time{}
			}
			d.evacuated.returnedAt[zone] = now
		}
	}
	d.evacuated.zones = slices.Clone(zones)
	for _, group := range d.groups {
		group.pace.Receiving = d.receivingRanks(group)
	}
	for zone, at := range d.evacuated.returnedAt {
		if now.Sub(at) >= zoneReturn || slices.Contains(zones, zone) {
			delete(d.evacuated.returnedAt, zone)
		}
	}
	return d.assignWaiting(now)
}

// mayReceive reports whether a server may get new requests, apart from limits.
func (d *Dispatcher) mayReceive(server *routing.Server) bool {
	return !server.Leaving && !server.StatedLeaving && !d.evacuated.contains(server.Zone)
}

// noCandidate returns why no server may get a request, and the Retry-After time.
func (d *Dispatcher) noCandidate(request *BackendRequest) (outcome.Cause, time.Duration) {
	for _, server := range d.services[request.Service] {
		if d.evacuated.contains(server.Zone) && !server.Leaving && !server.StatedLeaving {
			return outcome.CauseEvacuated, evacuatedRetryAfter + time.Duration(d.random.Int64N(int64(limitRetrySpread)))
		}
	}
	return outcome.CauseNoBackend, noBackendRetryAfter
}

// pickShared picks a server for a request. While work returns to zones, the request goes to the part of the candidates that is
// drawn for it. If that part has no server that can take it now, all candidates are tried.
func (d *Dispatcher) pickShared(now time.Time, request *BackendRequest, candidates []*routing.Server, assignment *Assignment) *routing.Server {
	drawn := d.shareReturning(now, candidates)
	if len(drawn) < len(candidates) {
		undecided := *assignment
		if chosen := d.pickUncached(now, request, drawn, assignment); chosen != nil && !chosen.Paused(now) {
			return chosen
		}
		*assignment = undecided
	}
	return d.pick(now, request, candidates, assignment)
}

// pickUncached picks a server without the refusals of the round over the waiting requests: a refusal by some of the servers
// does not hold for requests that may go to others.
func (d *Dispatcher) pickUncached(now time.Time, request *BackendRequest, candidates []*routing.Server, assignment *Assignment) *routing.Server {
	full := d.full
	d.full = nil
	defer func() { d.full = full }()
	return d.pick(now, request, candidates, assignment)
}

// shareReturning divides requests between the zones to which work returns and the others: the first get a growing part of what
// falls to their number of servers. It returns the candidates that the request should go to. The choice is not left to their load
// and latency: idle servers would get all requests, and those without a recent answer none while others answer quickly.
func (d *Dispatcher) shareReturning(now time.Time, candidates []*routing.Server) []*routing.Server {
	maps.DeleteFunc(d.evacuated.returnedAt, func(_ ident.Zone, at time.Time) bool { return now.Sub(at) >= zoneReturn })
	if len(d.evacuated.returnedAt) == 0 {
		return candidates
	}
	var returning, others []*routing.Server
	weight := 0.0
	for _, server := range candidates {
		share := d.evacuated.share(now, server.Zone)
		switch {
		case share >= 1:
			others = append(others, server)
		case !server.Paused(now):
			returning = append(returning, server)
			weight += share / float64(len(candidates))
		}
	}
	switch {
	case len(others) == 0:
		return candidates
	case len(returning) > 0 && d.random.Float64() < weight:
		return returning
	}
	return others
}

// receivingRanks returns the number of a group's ranks that may get new requests.
func (d *Dispatcher) receivingRanks(group *groupState) int {
	receiving := 0
	for _, server := range group.ranks {
		if d.mayReceive(server) && !server.Avoided {
			receiving++
		}
	}
	return receiving
}
