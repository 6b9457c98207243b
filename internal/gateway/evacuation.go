package gateway

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// Times of the exchange of evacuations.
const (
	// evacuationMargin is subtracted from the bound on evacuations, as revocationMargin from that on credentials.
	evacuationMargin = 500 * time.Millisecond
	// suspendedAfter is the time without work of the control thread after which the process counts as suspended: five ticks.
	suspendedAfter = time.Second
	// resumeGrace is how long an entry that was suspended waits for a message from another entry, or the store, before it sends
	// requests: twice the time in which the store answers when it is slow.
	resumeGrace = 400 * time.Millisecond
	// evacuationPoll is the interval at which a send checks whether a message has arrived.
	evacuationPoll = 10 * time.Millisecond
)

// evacuationTable has what this entry knows of evacuations. It is safe for concurrent use. Times are as read from bootTime.
type evacuationTable struct {
	mu    sync.Mutex
	known membership.Evacuations
	// announcePending is true if other entries should be told, source says where the last change came from.
	announcePending bool
	source          string

	// zones are the evacuated zones; nil before the first change.
	zones atomic.Pointer[[]ident.Zone]
	// confirmedAt is the time as of which the store last confirmed the state, heardAt when another entry last told its state.
	confirmedAt, heardAt atomic.Int64
	// aliveAt is when the control thread last worked. The entry was suspended before resumedAt; 0 if it never was.
	aliveAt, resumedAt atomic.Int64
	// rereadAt is when the control thread last had the store read again.
	rereadAt time.Duration
}

// merge changes what is known, and publishes the evacuated zones. source says where the change comes from, for the log.
func (t *evacuationTable) merge(source string, change func(known *membership.Evacuations) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !change(&t.known) {
		return false
	}
	t.announcePending, t.source = true, source
	zones := t.known.Zones()
	t.zones.Store(&zones)
	return true
}

// contains reports whether a zone is evacuated.
func (t *evacuationTable) contains(zone ident.Zone) bool {
	zones := t.zones.Load()
	return zones != nil && slices.Contains(*zones, zone)
}

// takeAnnouncement reports whether other entries should be told, and resets it.
func (t *evacuationTable) takeAnnouncement() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	pending := t.announcePending
	t.announcePending = false
	return pending
}

// recentlyResumed reports whether the process was suspended until a moment ago.
func (t *evacuationTable) recentlyResumed() bool {
	resumed := time.Duration(t.resumedAt.Load())
	return resumed > 0 && bootTime()-resumed < resumeGrace
}

// evacuationSettled reports whether requests may be sent by what is known of evacuations. After the start, and after a
// suspension in which an evacuation may have begun, it is false for a short time while neither the store nor another entry has
// told the present state. In an outage of the store the last state stays in force.
func (g *Gateway) evacuationSettled() bool {
	bound, now, t := g.config.Settings.Bounds.Evacuation, bootTime(), &g.evacuations
	if bound <= 0 {
		return true
	}
	if t.heardAt.Load() == 0 && len(g.config.Settings.Seeds) > 0 && now-g.startedAt < joinWait {
		return false
	}
	if confirmed := time.Duration(t.confirmedAt.Load()); confirmed > 0 && now-confirmed < bound-evacuationMargin {
		return true
	}
	if now-time.Duration(t.aliveAt.Load()) > suspendedAfter {
		return false
	}
	return !t.recentlyResumed() || t.heardAt.Load() > t.resumedAt.Load()
}

// evacuatedSinceAssignment reports whether the zone of an assigned backend server has been evacuated. It is called right before
// the send, since the assignment may be older than the evacuation.
func (c *call) evacuatedSinceAssignment(ctx context.Context, backend *membership.ListedBackend) bool {
	g := c.gateway
	for end := time.Now().Add(resumeGrace); !g.evacuationSettled() && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(evacuationPoll)
	}
	if !g.evacuations.contains(backend.Zone) {
		return false
	}
	g.metrics.count("sends_withheld_evacuated")
	g.log.WithFields(logrus.Fields{"request": c.id, "backend": backend.ID, "zone": backend.Zone}).Info("send-withheld-evacuated")
	return true
}

// requestBackend passes a call's request for a backend server to the dispatcher.
func (g *Gateway) requestBackend(now time.Time, request control.BackendRequest) {
	g.forwardProgress()
	g.applyEvacuation(now)
	g.deliver(g.dispatcher.RequestBackend(now, request))
}

// applyEvacuation passes the evacuated zones to the dispatcher if they have changed.
func (g *Gateway) applyEvacuation(now time.Time) {
	zones := g.evacuations.zones.Load()
	if zones == g.appliedEvacuation {
		return
	}
	before := 0
	if g.appliedEvacuation != nil {
		before = len(*g.appliedEvacuation)
	}
	g.appliedEvacuation = zones
	g.evacuations.mu.Lock()
	state, _ := g.evacuations.known.Current()
	held, _ := g.evacuations.known.Held()
	source := g.evacuations.source
	g.evacuations.mu.Unlock()
	if before > 0 || len(*zones) > 0 {
		g.metrics.count("evacuations_changed")
		confirmed := time.Duration(-1)
		if at := time.Duration(g.evacuations.confirmedAt.Load()); at > 0 {
			confirmed = bootTime() - at
		}
		g.log.WithFields(logrus.Fields{
			"zones": *zones, "era": state.Era, "revision": state.Revision, "held": held.Zones, "source": source,
			"waiting": g.dispatcher.Waiting(), "confirmed_ms": confirmed.Milliseconds(),
		}).Info("evacuation")
	}
	g.metrics.zonesEvacuated.Update(float64(len(*zones)))
	g.deliver(g.dispatcher.SetEvacuated(now, *zones))
}

// evacuationChanged applies a change and tells some entries, each of which passes on what is new to it.
func (g *Gateway) evacuationChanged(now time.Time) {
	g.applyEvacuation(now)
	if g.evacuations.takeAnnouncement() {
		for _, peer := range g.peerDirectory.sample(updateFanout) {
			g.sendHello(now, peer, true)
		}
	}
}

// confirmEvacuation records that the store confirmed the state as of a time.
func (g *Gateway) confirmEvacuation(at time.Duration) {
	t := &g.evacuations
	if last := t.confirmedAt.Load(); int64(at) > last {
		t.confirmedAt.CompareAndSwap(last, int64(at))
	}
	if t.merge("restore-grace", func(known *membership.Evacuations) bool { return known.ConfirmCurrent(at) }) {
		g.enqueue(g.evacuationChanged)
	}
}

// checkEvacuation notices that the process was suspended, and asks some entries for what it has missed.
func (g *Gateway) checkEvacuation(now time.Time) {
	t, at := &g.evacuations, bootTime()
	if last := time.Duration(t.aliveAt.Swap(int64(at))); at-last > suspendedAfter && g.config.Settings.Bounds.Evacuation > 0 {
		t.resumedAt.Store(int64(at))
		g.log.WithField("suspended_ms", (at - last).Milliseconds()).Info("process-resumed")
		for _, peer := range g.peerDirectory.sample(updateFanout) {
			g.sendHello(now, peer, false)
		}
	}
	t.merge("entry", func(known *membership.Evacuations) bool { return known.Release(at) })
	g.rereadEvacuations(at)
	g.evacuationChanged(now)
}

// rereadEvacuations has the whole store read if it does not show what another entry told. It does so at most once per
// membership.EvacuationGrace, since wrong messages must not load the store.
func (g *Gateway) rereadEvacuations(at time.Duration) {
	t := &g.evacuations
	t.mu.Lock()
	needed := t.known.NeedsRead(at)
	state, _ := t.known.Current()
	t.mu.Unlock()
	if !needed || at-t.rereadAt < membership.EvacuationGrace && t.rereadAt > 0 {
		return
	}
	t.rereadAt = at
	g.metrics.count("evacuations_reread")
	g.log.WithFields(logrus.Fields{"zones": state.Zones, "era": state.Era, "revision": state.Revision}).Warn("evacuation-unproven")
	g.follower.Reread()
}

// addEvacuation adds the newest state to a hello. Zones that only an earlier era of the store lists are told by a hello of
// their own, which is sent first: a receiver that has just started must not rely on the newest state alone.
func (g *Gateway) addEvacuation(hello *datagram.Hello, to netip.AddrPort) {
	g.evacuations.mu.Lock()
	state, known := g.evacuations.known.Current()
	held, holding := g.evacuations.known.Held()
	g.evacuations.mu.Unlock()
	if holding {
		earlier, evacuation := *hello, datagram.Evacuation(held)
		earlier.Answer, earlier.Evacuation = true, &evacuation
		g.socket.Send(to, datagram.Message{Hello: &earlier})
	}
	if known {
		evacuation := datagram.Evacuation(state)
		hello.Evacuation = &evacuation
	}
}

// recordHeardEvacuation merges what another entry knows.
func (g *Gateway) recordHeardEvacuation(now time.Time, heard *datagram.Evacuation) {
	if heard == nil {
		return
	}
	g.evacuations.merge("entry", func(known *membership.Evacuations) bool {
		return known.Merge(bootTime(), membership.EvacuationState(*heard))
	})
	g.evacuations.heardAt.Store(int64(bootTime()))
	g.evacuationChanged(now)
}
