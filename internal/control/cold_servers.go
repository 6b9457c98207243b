package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

const (
	// removedMemory is how long the start times of servers that are no longer listed are remembered. An item may be missing for a
	// moment or for the time of a store's outage, while its server runs.
	removedMemory = 10 * time.Minute
	// maxRemoved bounds the number of remembered start times; the servers that were removed first are forgotten.
	maxRemoved = 1024
)

// coldServers has the servers that are cold, and the bounds of what they may get.
type coldServers struct {
	// factor and extra are those of admission.ColdBounds; there is no bound if factor is 0.
	factor, extra float64
	// until is the end of the time for which each server is cold.
	until map[attempt.ServerInstance]time.Time
	// entries is the number of entries that may send requests, including those that this one may have been cut off from.
	entries int
	// removedAt is when each server that is no longer listed was removed from the list.
	removedAt map[attempt.ServerInstance]time.Time
}

// ConfigureCold sets the bound on the requests that a cold server gets in any one second, see admission.ColdBounds.
func (d *Dispatcher) ConfigureCold(factor, extra float64) {
	d.cold.factor, d.cold.extra = factor, extra
}

// SetSenders sets the number of entries that may send requests, including this one and those that it does not hear of. The limits
// on repeats and on requests to cold servers are divided by it.
func (d *Dispatcher) SetSenders(now time.Time, entries int) {
	d.repeats.SetEntries(entries)
	if d.cold.entries == entries {
		return
	}
	d.cold.entries = entries
	d.applyCold(now, d.servers)
}

// RecordCold records what a server's record that was just read says about whether the server is cold. It is called before
// SetBackends lists the server. It returns the time for which the server stays cold, or 0.
func (d *Dispatcher) RecordCold(now time.Time, backend *membership.ListedBackend) time.Duration {
	instance := InstanceOf(backend)
	bounds := d.coldBounds(backend)
	coldFor := backend.ColdFor
	if known := d.servers[backend.ID]; coldFor == membership.ColdNotStated {
		if len(d.servers) == 0 || known != nil && known.Started == backend.Started || d.cold.returned(now, instance) || d.table == nil {
			return 0
		}
		// The server has started since this entry knows the list.
		if service := d.table.Service(backend.Service); service != nil {
			coldFor = service.ColdTime
		}
	}
	if coldFor <= 0 || !bounds.Binding() {
		delete(d.cold.until, instance)
		if limit := d.limits[backend.ID]; limit != nil {
			limit.EndCold(now)
		}
		return 0
	}
	if d.cold.until == nil {
		d.cold.until = map[attempt.ServerInstance]time.Time{}
	}
	d.cold.until[instance] = now.Add(coldFor)
	d.applyCold(now, d.servers)
	return coldFor
}

// recordRemoved records that a server is no longer listed. A start time of 0 is unknown, and says nothing when the server returns.
func (c *coldServers) recordRemoved(now time.Time, instance attempt.ServerInstance) {
	if instance.Started == 0 {
		return
	}
	if c.removedAt == nil {
		c.removedAt = map[attempt.ServerInstance]time.Time{}
	}
	if _, known := c.removedAt[instance]; !known && len(c.removedAt) >= maxRemoved {
		c.forgetRemoved(now)
	}
	c.removedAt[instance] = now
}

// forgetRemoved forgets the servers that were removed too long ago, or else the one that was removed first.
func (c *coldServers) forgetRemoved(now time.Time) {
	var first attempt.ServerInstance
	firstAt := now.Add(1)
	for instance, at := range c.removedAt {
		if now.Sub(at) >= removedMemory {
			delete(c.removedAt, instance)
		} else if at.Before(firstAt) {
			first, firstAt = instance, at
		}
	}
	if len(c.removedAt) >= maxRemoved {
		delete(c.removedAt, first)
	}
}

// returned reports whether a server was listed lately and has not started again since.
func (c *coldServers) returned(now time.Time, instance attempt.ServerInstance) bool {
	at, removed := c.removedAt[instance]
	return removed && now.Sub(at) < removedMemory
}

// ColdServers returns the number of servers that are cold.
func (d *Dispatcher) ColdServers() int { return len(d.cold.until) }

// coldBounds returns the bound on what a server may get while it is cold.
func (d *Dispatcher) coldBounds(backend *membership.ListedBackend) admission.ColdBounds {
	if d.table == nil || d.table.Service(backend.Service) == nil {
		return admission.ColdBounds{}
	}
	return admission.ColdBounds{Rate: d.table.Service(backend.Service).ColdRate, Factor: d.cold.factor, Extra: d.cold.extra}
}

// applyCold limits the listed servers that are cold, and forgets those that no longer are.
func (d *Dispatcher) applyCold(now time.Time, listed map[string]*routing.Server) {
	for instance, until := range d.cold.until {
		if !now.Before(until) {
			delete(d.cold.until, instance)
			continue
		}
		server := listed[instance.ID]
		if server == nil || server.Started != instance.Started {
			continue
		}
		limit := d.limits[instance.ID]
		if limit == nil {
			limit = admission.NewColdServerLimit(now, d.random)
			limit.SetEntries(now, d.entries, d.isolated)
			d.limits[instance.ID] = limit
		}
		limit.SetCold(now, until, d.started, d.coldBounds(&server.ListedBackend), max(d.cold.entries, d.entries))
	}
}

// recordRemoteColdSend counts another entry's send to a rank. Entries tell some others of their sends to ranks, so that a send
// counts for those that are not heard as well. Sends to a rank that states a limit are told to all by messages of their own.
func (d *Dispatcher) recordRemoteColdSend(now time.Time, server *routing.Server, group *groupState) {
	limit := d.limits[server.ID]
	if limit == nil || limit.Stated() {
		return
	}
	others := float64(max(group.pace.Entries, group.silent+1, 2) - 1)
	limit.RecordHeardSend(now, (others-float64(group.silent))/others)
}
