package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/routing"
	"github.com/bramleyspool/bramleyspool/internal/source"
)

// must hands an event to the control thread and waits for room: what it tells must not be lost.
func (g *Gateway) must(event func(now time.Time)) {
	g.loop.Post(context.Background(), event)
}

// post hands an event to the control thread, or leaves it out if the queue is full.
func (g *Gateway) post(event func(now time.Time)) {
	if !g.loop.Offer(event) {
		g.metrics.count("control_queue_full")
		g.log.Warn("control-queue-full")
	}
}

// Replaced takes the whole state of the store.
func (g *Gateway) Replaced(state source.State) {
	g.replaceTable(state.Table)
	g.must(func(now time.Time) {
		g.storeAnswered(now)
		if state.Table != nil {
			g.configure(state.Table)
		}
		g.listChanged(now, g.listing.Replace(now, state.Backends))
	})
}

// Changed takes changes of the store.
func (g *Gateway) Changed(changes source.Changes) {
	g.replaceTable(changes.Table)
	g.must(func(now time.Time) {
		g.storeAnswered(now)
		if changes.Table != nil {
			g.configure(changes.Table)
		}
		changed := false
		for _, backend := range changes.Put {
			changed = g.listing.Put(backend) || changed
		}
		for _, id := range changes.Removed {
			changed = g.listing.Remove(now, id) || changed
		}
		g.listChanged(now, changed)
	})
}

// Failed takes the error of a call on the store.
func (g *Gateway) Failed(err error, silent time.Duration) {
	g.metrics.count("store_failed")
	g.must(func(now time.Time) {
		g.listing.Failed(now, silent)
		if !g.storeDown {
			g.storeDown = true
			g.log.WithError(err).WithField("configuration_age_ms", g.configurationAge().Milliseconds()).Warn("store-lost")
		}
	})
}

// Proven records that the table in force was the newest at a time.
func (g *Gateway) Proven(at time.Duration) {
	if g.table.Load() == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.freshness.RecordCurrent(at)
}

// replaceTable puts a newer table in force.
func (g *Gateway) replaceTable(table *routing.Table) {
	g.metrics.count("store_answered")
	for {
		old := g.table.Load()
		if table == nil || old != nil && old.Version >= table.Version || g.table.CompareAndSwap(old, table) {
			return
		}
	}
}

func (g *Gateway) storeAnswered(now time.Time) {
	g.listing.Answered(now)
	if g.storeDown {
		g.storeDown = false
		g.log.Info("store-regained")
	}
}

func (g *Gateway) configure(table *routing.Table) {
	current := g.table.Load()
	g.dispatcher.Configure(current)
	if table.Version == current.Version {
		g.log.WithFields(logrus.Fields{"version": table.Version, "customers": table.Customers()}).Info("configuration-in-force")
	}
}

func (g *Gateway) listChanged(now time.Time, changed bool) {
	if g.listing.Expire(now) || changed {
		g.applyListing(now)
	}
}

func (g *Gateway) applyListing(now time.Time) {
	backends := g.listing.Backends()
	leaving := 0
	for i := range backends {
		if backends[i].Leaving {
			leaving++
		}
	}
	g.listed.Store(len(backends) > leaving)
	g.log.WithFields(logrus.Fields{"backends": len(backends), "leaving": leaving}).Info("backends-listed")
	g.deliver(g.dispatcher.SetBackends(now, backends))
	g.leaders.setGroups(groupAgents(backends, g.config.Settings.PeerPort))
}

// groupAgents returns the addresses of the agents of each group: they run on their backend servers' VMs.
func groupAgents(backends []membership.ListedBackend, port int) map[ident.Group][]netip.AddrPort {
	agents := map[ident.Group][]netip.AddrPort{}
	for i := range backends {
		if address, ok := agentAddress(&backends[i], port); ok {
			agents[backends[i].Group] = append(agents[backends[i].Group], address)
		}
	}
	return agents
}

func agentAddress(backend *membership.ListedBackend, port int) (netip.AddrPort, bool) {
	host, _, err := net.SplitHostPort(backend.Address)
	if err != nil || backend.Group == "" {
		return netip.AddrPort{}, false
	}
	ip, err := netip.ParseAddr(host)
	return netip.AddrPortFrom(ip, uint16(port)), err == nil
}

// progressed records that a group sent an event.
func (g *Gateway) progressed(group ident.Group, now time.Time) {
	if group == "" {
		return
	}
	last, ok := g.progress.Load(group)
	if !ok {
		last, _ = g.progress.LoadOrStore(group, &atomic.Pointer[time.Time]{})
	}
	last.(*atomic.Pointer[time.Time]).Store(&now)
}

// noteProgress hands the groups' progress to the dispatcher.
func (g *Gateway) noteProgress() {
	g.progress.Range(func(group, last any) bool {
		if at := last.(*atomic.Pointer[time.Time]).Load(); at != nil {
			g.dispatcher.Progressed(group.(ident.Group), *at)
		}
		return true
	})
}

// tick lets time pass on the control thread.
func (g *Gateway) tick(now time.Time) {
	if g.listing.Expire(now) {
		g.applyListing(now)
	}
	g.noteProgress()
	g.deliver(g.dispatcher.Tick(now))
	g.upstreams.sweep(now)
	for _, wanted := range g.leaders.due(now) {
		message := datagram.Message{Subscribe: &datagram.Subscribe{Group: wanted.group, Entry: g.socket.Address().String()}}
		g.socket.Send(wanted.agent, message)
	}
	g.metrics.waiting(g.dispatcher.Waiting())
}

// received takes a message of another process.
func (g *Gateway) received(received datagram.Received) {
	switch message := received.Message; {
	case message.Group != nil:
		g.post(func(now time.Time) { g.groupReported(now, received.From, message.Group) })
	case message.Sent != nil:
		sent := control.Sent(*message.Sent)
		g.post(func(now time.Time) { g.dispatcher.Heard(now, sent) })
	}
}

func (g *Gateway) groupReported(now time.Time, from netip.AddrPort, report *datagram.GroupReport) {
	g.leaders.heard(now, report.Group, from)
	g.peers = report.Entries
	writers := 0
	for _, load := range report.Loads {
		writers += load
	}
	g.deliver(g.dispatcher.Report(now, control.GroupReport{
		Group: report.Group,
		Pace: admission.GroupPace{
			Writers: writers, Ranks: len(report.Loads), Skew: report.Skew, Loading: report.Loading, Entries: len(report.Entries),
			Pass: time.Duration(report.PassMicros) * time.Microsecond,
		},
		RankLoads: report.Loads,
	}))
}

// tellSent tells the other entries of a prompt that goes to a rank.
func (g *Gateway) tellSent(sent datagram.Sent) {
	for _, peer := range g.peers {
		if peer != g.socket.Address() {
			g.socket.Send(peer, datagram.Message{Sent: &sent})
		}
	}
}

func (g *Gateway) messageFault(err error) {
	g.metrics.count("message_fault")
	g.log.WithError(err).Warn("message-fault")
}

// deliver hands assignments to the calls that wait for them.
func (g *Gateway) deliver(assignments []control.Assignment) {
	for _, assignment := range assignments {
		if answers := g.pending[assignment.Request]; answers != nil {
			delete(g.pending, assignment.Request)
			answers <- assignment
			if backend := assignment.Backend; backend.Group != "" {
				g.tellSent(datagram.Sent{Group: backend.Group, Rank: backend.Rank, PromptTokens: assignment.PromptTokens})
			}
		}
	}
}
