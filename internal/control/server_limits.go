package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// limitRetrySpread is the range over which the returns of callers that are refused because of servers' limits are spread.
const limitRetrySpread = time.Second

const (
	// maxRests bounds the rests that are kept while their servers are not listed.
	maxRests = 4096
	// restSpread is the range over which entries return to a server after its rest.
	restSpread = 500 * time.Millisecond
)

// RecordStatement records what a server says of itself, to this or another entry.
func (d *Dispatcher) RecordStatement(now time.Time, instance attempt.ServerInstance, statement membership.Statement) {
	server := d.servers[instance.ID]
	if server == nil || server.Started != instance.Started {
		return
	}
	server.StatedLeaving = server.StatedLeaving || statement.Leaving
	limit := d.limits[instance.ID]
	switch {
	case statement.Limited && admission.BindingServerRate(statement.RequestRate) && limit == nil:
		limit = admission.NewServerLimit(now, statement.RequestRate, d.random)
		limit.SetEntries(now, d.entries, d.isolated)
		d.limits[instance.ID] = limit
	case statement.Limited && admission.BindingServerRate(statement.RequestRate):
		limit.State(now, statement.RequestRate)
	case limit != nil:
		limit.End(now)
	}
}

// LimitedServers returns the number of servers that state a limit of requests or are cold, or did or were so until a moment ago.
func (d *Dispatcher) LimitedServers() int { return len(d.limits) }

// SetEntries sets the number of entries, including this one, and whether this one hears of no other.
func (d *Dispatcher) SetEntries(now time.Time, entries int, isolated bool) {
	if d.entries == entries && d.isolated == isolated {
		return
	}
	d.entries, d.isolated = entries, isolated
	for _, limit := range d.limits {
		limit.SetEntries(now, entries, isolated)
	}
}

// RecordRemoteLimitedSend records that another entry has sent a request to a server that states a limit.
func (d *Dispatcher) RecordRemoteLimitedSend(now time.Time, instance attempt.ServerInstance) {
	if server := d.servers[instance.ID]; server == nil || server.Started != instance.Started {
		return
	}
	if limit := d.limits[instance.ID]; limit != nil {
		limit.RecordSend(now)
	}
}

// RecordRest records that a server wants no requests for a time. It returns the time for which this entry sends it none: entries
// that the server turned away together return at different times.
func (d *Dispatcher) RecordRest(now time.Time, instance attempt.ServerInstance, rest time.Duration) time.Duration {
	if rest <= 0 {
		return 0
	}
	rest += time.Duration(d.random.Int64N(int64(restSpread)))
	until := now.Add(rest)
	if earlier, known := d.resting[instance]; until.After(earlier) && (known || len(d.resting) < maxRests) {
		d.resting[instance] = until
	}
	if server := d.servers[instance.ID]; server != nil && server.Started == instance.Started {
		server.RecordRest(until)
	}
	return rest
}

// EndedRests returns the IDs of the servers whose rest has ended since the last call.
func (d *Dispatcher) EndedRests(now time.Time) []string {
	var ended []string
	for instance, until := range d.resting {
		if now.Sub(until) >= routing.RestRamp {
			delete(d.resting, instance)
			ended = append(ended, instance.ID)
		}
	}
	return ended
}

// withinLimits returns the candidates that may get a request now, by their limits and rests. If there is none, it returns the
// time until the first may.
func (d *Dispatcher) withinLimits(now time.Time, candidates []*routing.Server) ([]*routing.Server, time.Duration) {
	if len(d.limits)+len(d.resting) == 0 {
		return candidates, 0
	}
	var within []*routing.Server
	var shortest time.Duration
	for _, server := range candidates {
		wait := server.RestLeft(now)
		if limit := d.limits[server.ID]; limit != nil {
			wait = max(wait, limit.Wait(now))
		}
		if wait == 0 {
			within = append(within, server)
			continue
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	if len(within) > 0 {
		return within, 0
	}
	return nil, shortest
}

// recordLimitedSend records a send to a chosen server, and reports whether other entries must be told that a limit applies to
// it. They are told of all sends to ranks anyway.
func (d *Dispatcher) recordLimitedSend(now time.Time, server *routing.Server) bool {
	limit := d.limits[server.ID]
	if limit == nil {
		return false
	}
	limit.RecordOwnSend(now)
	return limit.Stated() || server.Group == ""
}

// removeLimits removes the limits that have ended, and those of servers that are no longer listed or have started again.
func (d *Dispatcher) removeLimits(now time.Time, listed map[string]*routing.Server) {
	for id, limit := range d.limits {
		current, before := listed[id], d.servers[id]
		if limit.Expired(now) || current == nil || before != nil && current.Started != before.Started {
			delete(d.limits, id)
		}
	}
}
