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

// enqueue passes an event to the control thread. It blocks while the queue is full, since the event must not be lost.
func (g *Gateway) enqueue(event func(now time.Time)) {
	g.loop.Post(context.Background(), event)
}

// tryEnqueue passes an event to the control thread, or drops it if the queue is full.
func (g *Gateway) tryEnqueue(event func(now time.Time)) {
	if !g.loop.Offer(event) {
		g.metrics.count("control_queue_full")
		g.log.Warn("control-queue-full")
	}
}

// Replaced implements source.Handler.
func (g *Gateway) Replaced(state source.State) {
	g.replaceTable(state.Table)
	restored := g.storeEraKnown && state.Era > g.storeEra
	if restored {
		g.storeVersion.Store(0)
		g.log.WithFields(logrus.Fields{"era": state.Era, "earlier_era": g.storeEra, "revision": state.Revision}).Warn("store-restored")
	}
	g.storeEra, g.storeEraKnown = state.Era, true
	g.recordStoreVersion(state.Table)
	g.evacuations.merge("store", func(known *membership.Evacuations) bool {
		return known.MergeCompleteRead(bootTime(), state.ReadAt, state.Evacuation)
	})
	g.enqueue(func(now time.Time) {
		g.evacuationChanged(now)
		g.recordStoreResponse(now)
		if restored {
			g.listing.Restored(now)
			g.restoredAt = now
		}
		if state.Table != nil {
			g.applyConfiguration(state.Table)
		}
		g.recordCold(now, state.Backends)
		g.updateListing(now, g.listing.Replace(now, state.Backends))
	})
}

// Changed implements source.Handler.
func (g *Gateway) Changed(changes source.Changes) {
	g.replaceTable(changes.Table)
	g.recordStoreVersion(changes.Table)
	g.evacuations.merge("store", func(known *membership.Evacuations) bool {
		return known.Apply(changes.Revision, changes.Evacuations)
	})
	g.enqueue(func(now time.Time) {
		g.evacuationChanged(now)
		g.recordStoreResponse(now)
		if changes.Table != nil {
			g.applyConfiguration(changes.Table)
		}
		g.recordCold(now, changes.Put)
		changed := false
		for _, backend := range changes.Put {
			changed = g.listing.Put(backend) || changed
		}
		for _, id := range changes.Removed {
			changed = g.listing.Remove(now, id) || changed
		}
		g.updateListing(now, changed)
	})
}

// Failed implements source.Handler.
func (g *Gateway) Failed(err error, waited time.Duration) {
	g.metrics.count("store_failed")
	g.enqueue(func(now time.Time) {
		g.listing.Failed(now, waited)
		if !g.storeDown {
			g.storeDown = true
			g.log.WithError(err).WithField("configuration_age_ms", g.configurationAge().Milliseconds()).Warn("store-lost")
		}
	})
}

// recordStoreVersion records the version of the configuration that the store holds. A table of nil changes nothing: the store
// returned none, or one that cannot be read.
func (g *Gateway) recordStoreVersion(table *routing.Table) {
	if table != nil {
		g.storeVersion.Store(table.Version)
	}
}

// CurrentAsOf implements source.Handler. It records that the table in force was current at the given time. A store that holds
// an older version than is known proves nothing: it was restored from a copy, and changes are missing in it.
func (g *Gateway) CurrentAsOf(at time.Duration) {
	g.confirmEvacuation(at)
	table := g.table.Load()
	if table == nil || g.storeVersion.Load() < max(table.Version, g.heardVersion.Load()) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.freshness.RecordCurrent(at)
}

// replaceTable puts a table in force if it is newer than the present one; nil changes nothing. It is called for each
// response of the store and counts them.
func (g *Gateway) replaceTable(table *routing.Table) {
	g.metrics.count("store_answered")
	for {
		old := g.table.Load()
		if table == nil || old != nil && old.Version >= table.Version || g.table.CompareAndSwap(old, table) {
			return
		}
	}
}

// recordStoreResponse records that the store responded.
func (g *Gateway) recordStoreResponse(now time.Time) {
	g.listing.Answered(now)
	if g.storeDown {
		g.storeDown = false
		g.log.Info("store-regained")
	}
}

// applyConfiguration passes the table in force to the dispatcher. It logs the new configuration unless the table in
// force has another version.
func (g *Gateway) applyConfiguration(table *routing.Table) {
	current := g.table.Load()
	g.dispatcher.Configure(current)
	if table.Version == current.Version {
		g.log.WithFields(logrus.Fields{"version": table.Version, "customers": table.Customers()}).Info("configuration-in-force")
	}
}

// updateListing removes expired backend servers and applies the list if it changed.
func (g *Gateway) updateListing(now time.Time, changed bool) {
	if g.listing.Expire(now) || changed {
		g.applyListing(now)
	}
}

// applyListing passes the listed backend servers to the dispatcher and the leader directory.
func (g *Gateway) applyListing(now time.Time) {
	backends := g.listing.Backends()
	leaving := 0
	for i := range backends {
		if backends[i].Leaving {
			leaving++
		}
	}
	g.hasBackends.Store(len(backends) > leaving)
	g.statements.retain(now, backends)
	g.deliver(g.dispatcher.SetBackends(now, backends))
	g.log.WithFields(logrus.Fields{"backends": len(backends), "leaving": leaving, "copies": g.dispatcher.Copies()}).Info("backends-listed")
	// Another entry may have reported a server's limit before this one had it in its list.
	for _, report := range g.statements.reports(now) {
		g.dispatcher.RecordStatement(now, report.Server, report.Statement)
	}
	g.leaders.setGroups(groupAgents(backends, g.config.Settings.PeerPort))
}

// groupAgents returns the addresses of the agents of each group. An agent runs on the VM of its backend server.
func groupAgents(backends []membership.ListedBackend, port int) map[ident.Group][]netip.AddrPort {
	agents := map[ident.Group][]netip.AddrPort{}
	for i := range backends {
		if address, ok := agentAddress(&backends[i], port); ok {
			agents[backends[i].Group] = append(agents[backends[i].Group], address)
		}
	}
	return agents
}

// agentAddress returns the address of a backend server's agent; false if the server is not in a group or its address
// has no valid IP.
func agentAddress(backend *membership.ListedBackend, port int) (netip.AddrPort, bool) {
	host, _, err := net.SplitHostPort(backend.Address)
	if err != nil || backend.Group == "" {
		return netip.AddrPort{}, false
	}
	ip, err := netip.ParseAddr(host)
	return netip.AddrPortFrom(ip, uint16(port)), err == nil
}

// groupProgress is what the streams of one group at this entry show of its progress.
type groupProgress struct {
	// eventAt is when an event was last received from the group, or a write of one to a caller ended.
	eventAt atomic.Pointer[time.Time]
	// writes is the number of events that are being written to callers.
	writes atomic.Int32
}

// progressOf returns the progress of a group.
func (g *Gateway) progressOf(group ident.Group) *groupProgress {
	progress, ok := g.progress.Load(group)
	if !ok {
		progress, _ = g.progress.LoadOrStore(group, &groupProgress{})
	}
	return progress.(*groupProgress)
}

// beginWrite records that an event was received, which is written to its caller from now on.
func (p *groupProgress) beginWrite(now time.Time) {
	p.eventAt.Store(&now)
	p.writes.Add(1)
}

// endWrite records the end of the write. If the caller has taken long, the group could send nothing meanwhile.
func (p *groupProgress) endWrite(now time.Time) {
	p.eventAt.Store(&now)
	p.writes.Add(-1)
}

// forwardProgress passes the groups' recorded progress to the dispatcher.
func (g *Gateway) forwardProgress() {
	g.progress.Range(func(group, value any) bool {
		progress := value.(*groupProgress)
		if at := progress.eventAt.Load(); at != nil {
			g.dispatcher.RecordProgress(group.(ident.Group), *at)
			g.dispatcher.RecordHeld(group.(ident.Group), int(progress.writes.Load()))
		}
		return true
	})
}

// tick runs the periodic work of the control thread.
func (g *Gateway) tick(now time.Time) {
	if g.listing.Expire(now) {
		g.applyListing(now)
	}
	g.forwardProgress()
	g.deliver(g.dispatcher.Tick(now))
	for _, backend := range g.dispatcher.EndedRests(now) {
		g.log.WithField("backend", backend).Info("backend-rest-ended")
	}
	g.readRevisionIfDue(context.Background(), now)
	g.closeLateCallers(now)
	g.crashRegisterChanged()
	g.checkEvacuation(now)
	g.sendHellos(now)
	g.dispatcher.SetEntries(now, g.peerDirectory.entries(), g.peerDirectory.isolated(now))
	g.dispatcher.SetSenders(now, g.peerDirectory.senders(now))
	g.metrics.backendsCold.Update(float64(g.dispatcher.ColdServers()))
	g.pool.closeExpired(now)
	g.prober.removeExpired(now)
	g.trials.Expire(now)
	demandOf := func(group ident.Group) []admission.CustomerDemand { return g.dispatcher.GroupDemand(now, group) }
	for _, subscription := range g.leaders.due(now, demandOf) {
		message := datagram.Message{Subscribe: &datagram.Subscribe{
			Group: subscription.group, Entry: g.socket.Address().String(), Demand: datagram.DemandShares(subscription.demand),
		}}
		g.socket.Send(subscription.agent, message)
	}
	g.reportMemory()
	g.callers.ReportEvictions(g.log, g.metrics.countEvicted)
	g.reportAccount(now)
	g.reportRepeats(now)
	g.metrics.backendsLimited.Update(float64(g.dispatcher.LimitedServers()))
	g.metrics.setCallsWaiting(g.dispatcher.Waiting())
	g.passModes.report(now, g, g.dispatcher.GroupModes())
}

// handleMessage handles a message of another process. Messages that are meant for agents are ignored.
func (g *Gateway) handleMessage(received datagram.Received) {
	switch message := received.Message; {
	case message.Statements != nil:
		g.tryEnqueue(func(now time.Time) { g.handleStatements(now, message.Statements.Statements) })
	case message.LimitedSend != nil:
		g.tryEnqueue(func(now time.Time) {
			g.peerDirectory.recordMessage(now)
			g.dispatcher.RecordRemoteLimitedSend(now, message.LimitedSend.Server)
		})
	case message.GroupReport != nil:
		g.tryEnqueue(func(now time.Time) { g.handleGroupReport(now, received.From, message.GroupReport) })
	case message.RevisionQuery != nil:
		query := revisionQuery{from: received.From, sequence: message.RevisionQuery.Sequence}
		g.tryEnqueue(func(now time.Time) { g.revisionBatch.Add(now, query) })
	case message.RevisionAnswer != nil:
		g.tryEnqueue(func(time.Time) { g.handleRevisionAnswer(received.From, message.RevisionAnswer) })
	case message.Hello != nil:
		g.tryEnqueue(func(now time.Time) { g.handleHello(now, received.From, message.Hello) })
	case message.TrialRequest != nil:
		g.tryEnqueue(func(now time.Time) { g.handleTrialRequest(now, received.From, message.TrialRequest) })
	case message.TrialAnswer != nil:
		g.tryEnqueue(func(now time.Time) { g.handleTrialAnswer(now, received.From, message.TrialAnswer) })
	case message.CrashUpdate != nil:
		g.tryEnqueue(func(now time.Time) { g.handleCrashUpdate(now, message.CrashUpdate) })
	case message.PromptSent != nil:
		sent := control.RemoteSend(*message.PromptSent)
		g.tryEnqueue(func(now time.Time) { g.dispatcher.RecordRemoteSend(now, sent) })
	}
}

// handleGroupReport passes the report of a group's leader to the dispatcher. It ignores invalid and outdated
// reports.
func (g *Gateway) handleGroupReport(now time.Time, from netip.AddrPort, report *datagram.GroupReport) {
	if g.isInvalidReport(now, report, from) || g.isOutdatedReport(now, report, from.String()) {
		return
	}
	g.leaders.recordReport(now, report.Group, from)
	entries := max(report.EntryCount, len(report.Entries))
	g.peerDirectory.recordCount(now, entries)
	for _, entry := range report.Entries {
		g.peerDirectory.recordHeard(now, entry, now)
	}
	// Of many entries, each notifies a few others of its sends, so that messages do not grow with the square of the entries.
	if g.peers = report.Entries; entries > len(report.Entries) {
		g.peers = g.peerDirectory.sample(len(report.Entries))
	}
	requests := 0
	for _, load := range report.Loads {
		requests += load
	}
	g.deliver(g.dispatcher.RecordGroupReport(now, control.GroupReport{
		Group: report.Group,
		Pace: admission.GroupPace{
			Writers: requests, Ranks: len(report.Loads), Skew: report.Skew, Loading: report.Loading, Entries: entries,
			Pass: time.Duration(report.PassMicros) * time.Microsecond, Slowness: rankSlowness(report),
		},
		RankLoads: report.Loads, SilentEntries: entries - len(report.Entries),
		Demand: datagram.CustomerDemands(report.Demand),
	}))
	g.moveStreams(g.dispatcher.SlowRanks(now, report.Group))
}

// notifyPeers notifies the other entries of a prompt that is sent to a rank.
func (g *Gateway) notifyPeers(sent datagram.PromptSent) {
	for _, peer := range g.peers {
		if peer != g.socket.Address() {
			g.socket.Send(peer, datagram.Message{PromptSent: &sent})
		}
	}
}

// logMessageError counts and logs an error of the datagram socket.
func (g *Gateway) logMessageError(err error) {
	g.metrics.count("message_fault")
	g.log.WithError(err).Warn("message-fault")
}

// deliver passes assignments to the calls that wait for them, and notifies the other entries of prompts that are sent
// to ranks.
func (g *Gateway) deliver(assignments []control.Assignment) {
	for _, assignment := range assignments {
		if waiting := g.pending[assignment.Request]; waiting != nil {
			delete(g.pending, assignment.Request)
			waiting <- assignment
			if assignment.Limited {
				g.notifyLimitedSend(&assignment.Backend)
			}
			if backend := assignment.Backend; backend.Group != "" {
				g.notifyPeers(datagram.PromptSent{Group: backend.Group, Rank: backend.Rank, PromptTokens: assignment.PromptTokens})
			}
		}
	}
}
