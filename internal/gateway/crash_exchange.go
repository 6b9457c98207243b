package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/datagram"
)

const (
	// updateDelay is the time for which news of crashes is collected before it is sent.
	updateDelay = 20 * time.Millisecond
	// maxUpdates is the number of packets of crash news that are sent to one entry at a time.
	maxUpdates = 4
)

// sendHellos sends the hellos that are due.
func (g *Gateway) sendHellos(now time.Time) {
	for _, target := range g.peerDirectory.helloTargets(now) {
		g.sendHello(now, target, false)
	}
}

func (g *Gateway) sendHello(now time.Time, to netip.AddrPort, answer bool) {
	hello := &datagram.Hello{Peers: g.peerDirectory.known(now), CrashDigest: g.dispatcher.Crashes().Digest(), Answer: answer}
	hello.Joining = g.peerDirectory.joining(now) || g.evacuations.recentlyResumed()
	if table := g.table.Load(); table != nil {
		hello.ConfigurationVersion = table.Version
	}
	g.peerDirectory.addCount(now, hello)
	g.addEvacuation(hello, to)
	g.socket.Send(to, datagram.Message{Hello: hello})
}

// handleHello records the sender and the entries that it knows. If the sender's knowledge of crashes differs, it gets
// this entry's, and a hello from which it sees that this entry lacks something.
func (g *Gateway) handleHello(now time.Time, from netip.AddrPort, hello *datagram.Hello) {
	g.recordHeardVersion(hello.ConfigurationVersion)
	g.recordHeardEvacuation(now, hello.Evacuation)
	joined := g.peerDirectory.recordHeard(now, from, now) || hello.Joining
	g.peerDirectory.recordMessage(now)
	if joined {
		g.sendStatements(g.statements.reports(now), from)
	}
	g.peerDirectory.merge(now, hello.Peers)
	knowsFewer := g.peerDirectory.mergeCount(now, hello)
	differs := hello.CrashDigest != g.dispatcher.Crashes().Digest()
	if differs {
		g.sendCrashUpdates(g.dispatcher.Crashes().Sample(now, maxUpdates), []netip.AddrPort{from})
	}
	if (differs || joined || knowsFewer) && !hello.Answer {
		g.sendHello(now, from, true)
	}
}

// recordHeardVersion records the version of the configuration that another entry has in force. A process that starts after
// the store was restored from an older copy learns in this way that the copy is outdated.
func (g *Gateway) recordHeardVersion(version uint64) {
	if version > g.heardVersion.Load() {
		g.heardVersion.Store(version)
	}
}

// handleCrashUpdate merges another entry's knowledge of crashes. Served runs of this entry count once for a trait that the
// other entry suspects.
func (g *Gateway) handleCrashUpdate(now time.Time, update *attempt.CrashUpdate) {
	g.dispatcher.Crashes().Merge(now, *update, func(trait attempt.Fingerprint) bool {
		return g.survivingTraits.take(traitHash(trait), now)
	})
	g.crashRegisterChanged()
}

func (g *Gateway) sendCrashUpdates(updates []attempt.CrashUpdate, targets []netip.AddrPort) {
	for i := range updates {
		for _, target := range targets {
			g.socket.Send(target, datagram.Message{CrashUpdate: &updates[i]})
		}
	}
}

// planCrashNews plans to send what has changed in the register to other entries.
func (g *Gateway) planCrashNews() {
	if g.crashNewsPlanned || !g.dispatcher.Crashes().HasChanges() {
		return
	}
	g.crashNewsPlanned = true
	time.AfterFunc(updateDelay, func() { g.loop.Post(context.Background(), g.sendCrashNews) })
}

func (g *Gateway) sendCrashNews(now time.Time) {
	g.crashNewsPlanned = false
	g.sendCrashUpdates(g.dispatcher.Crashes().TakeChanges(now, maxUpdates), g.peerDirectory.sample(updateFanout))
	g.planCrashNews()
}
