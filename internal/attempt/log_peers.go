package attempt

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// logStop is the entry's part in handing logs over.
type logStop struct {
	stopping bool
	done     bool
	sentAt   time.Time
	// kept holds the final logs of other entries' runs.
	kept map[ident.VM]keptLog
	// offered is the log of the VM's earlier run, until all peers have answered.
	offered *LogHandOver
	// previous holds the VM's earlier run that each peer knows of.
	previous map[ident.VM]ident.Incarnation
}

type keptLog struct {
	handOver   LogHandOver
	receivedAt time.Time
}

func (l *Log) answerPeer(now time.Time, question PeerQuestion) []LogAction {
	answer := PeerAnswer{Entry: l.config.Self, Asker: question.Asker}
	known := l.peers[question.Asker.VM]
	if question.Asker.Incarnation < known.Current {
		answer.Superseding = known.Current
		return []LogAction{SendPeerAnswer{answer}}
	}
	hold(l.peers, HeldClaim{VM: question.Asker.VM, Current: question.Asker.Incarnation})
	answer.Knows = now.Sub(l.knowsSince)
	answer.Claims = l.heldClaims()
	answer.Peers = l.knownPeers()
	answer.Previous = before(l.peers[question.Asker.VM], question.Asker.Incarnation)
	if kept, ok := l.stop.kept[question.Asker.VM]; ok && kept.handOver.From.Incarnation == answer.Previous {
		handOver := kept.aged(now)
		answer.Log = &handOver
	}
	return []LogAction{SendPeerAnswer{answer}}
}

// aged returns the kept log with times that count up to now.
func (k keptLog) aged(now time.Time) LogHandOver {
	passed := now.Sub(k.receivedAt)
	handOver := k.handOver
	handOver.Covers += passed
	handOver.Keys = append([]DispatchedKey(nil), k.handOver.Keys...)
	for i := range handOver.Keys {
		handOver.Keys[i].Age += passed
	}
	return handOver
}

func (l *Log) hearPeer(now time.Time, answer PeerAnswer) []LogAction {
	if answer.Asker != l.config.Self {
		return nil
	}
	if answer.Superseding != 0 {
		return []LogAction{Superseded{answer.Superseding}}
	}
	if l.answered[answer.Entry.VM] {
		return nil
	}
	for _, claim := range answer.Claims {
		hold(l.claims, claim)
	}
	if since := now.Add(-answer.Knows); since.Before(l.knowsSince) {
		l.knowsSince = since
	}
	l.answered[answer.Entry.VM] = true
	l.closeGap(now, answer)
	hold(l.peers, HeldClaim{VM: answer.Entry.VM, Current: answer.Entry.Incarnation})
	for _, peer := range answer.Peers {
		if peer.VM != l.config.Self.VM {
			hold(l.peers, HeldClaim{VM: peer.VM, Current: peer.Incarnation})
		}
	}
	l.noteOffer(now, answer)
	return nil
}

// distrust asks all peers again whether another run of the VM is known. Until they have
// answered the log counts as new.
func (l *Log) distrust(now time.Time) []LogAction {
	if l.gap == nil {
		l.gap = &logGap{startedAt: l.startedAt, knowsSince: l.knowsSince, since: l.lastStep}
	}
	l.startedAt = now
	l.knowsSince = now
	l.answered = map[ident.VM]bool{}
	l.asked = map[ident.VM]time.Time{}
	return l.askPeers(now)
}

// closeGap trusts the log again once all peers answered that have known every run since
// before the pause.
func (l *Log) closeGap(now time.Time, answer PeerAnswer) {
	if l.gap == nil {
		return
	}
	if now.Add(-answer.Knows).After(l.gap.since) {
		l.gap = nil
		return
	}
	if l.Informed() {
		l.startedAt, l.knowsSince = l.gap.startedAt, l.gap.knowsSince
		l.gap = nil
	}
}

// noteOffer takes over the log of the VM's earlier run once all peers agree which that was.
func (l *Log) noteOffer(now time.Time, answer PeerAnswer) {
	if answer.Log != nil {
		l.stop.offered = answer.Log
	}
	if answer.Previous != 0 {
		if l.stop.previous == nil {
			l.stop.previous = map[ident.VM]ident.Incarnation{}
		}
		l.stop.previous[answer.Entry.VM] = answer.Previous
	}
	offered := l.stop.offered
	if offered == nil || !l.Informed() {
		return
	}
	l.stop.offered = nil
	for _, previous := range l.stop.previous {
		if previous != offered.From.Incarnation {
			return
		}
	}
	l.merge(now, *offered)
}

// merge makes the log of the VM's earlier run part of this run's.
func (l *Log) merge(now time.Time, handOver LogHandOver) {
	for _, key := range handOver.Keys {
		log := l.services[key.RunKey.Service()]
		if log == nil {
			continue
		}
		at := now.Add(-key.Age)
		known := log.keys[key.RunKey]
		if known == nil {
			known = &loggedKey{}
			log.keys[key.RunKey] = known
		}
		target := known.target(key.Target)
		target.body, target.at, target.served = key.Body, at, key.Served
		target.open++
		log.expiry.add(at.Add(retentionOf(log.service)+l.config.StartsWithin), key.RunKey)
		log.byOwner = nil
	}
	if covered := now.Add(-handOver.Covers); covered.Before(l.startedAt) {
		l.startedAt = covered
	}
}

// sendLog hands the log to the entry that keeps it, again and again until it is kept.
func (l *Log) sendLog(now time.Time) []LogAction {
	if !l.stop.stopping || l.stop.done || (!l.stop.sentAt.IsZero() && now.Sub(l.stop.sentAt) < l.config.AskAgain) {
		return nil
	}
	l.stop.sentAt = now
	others := make([]ident.VM, 0, len(l.fleet.Entries))
	for _, entry := range l.fleet.Entries {
		if entry.VM != l.config.Self.VM {
			others = append(others, entry.VM)
		}
	}
	keeper := Highest(string(l.config.Self.VM), others)
	if keeper == "" {
		l.stop.done = true
		return []LogAction{LogStopped{}}
	}
	handOver := LogHandOver{From: l.config.Self, To: keeper, Covers: now.Sub(l.startedAt)}
	for _, service := range l.fleet.Services {
		handOver.Keys = append(handOver.Keys, l.services[service.Name].allKeys(now)...)
	}
	return []LogAction{SendLogHandOver{handOver}}
}

func (s *serviceLog) allKeys(now time.Time) []DispatchedKey {
	var keys []DispatchedKey
	for _, name := range sortedKeys(s.keys) {
		for _, target := range s.keys[name].targets {
			if target.open > 0 || target.served {
				keys = append(keys, target.dispatched(now, name))
			}
		}
	}
	return keys
}

func (t loggedTarget) dispatched(now time.Time, key ident.RunKey) DispatchedKey {
	return DispatchedKey{RunKey: key, Body: t.body, Target: t.instance, Age: now.Sub(t.at), Served: t.served}
}

func (l *Log) keepLog(now time.Time, handOver LogHandOver) []LogAction {
	if handOver.To != l.config.Self.VM {
		return nil
	}
	kept, ok := l.stop.kept[handOver.From.VM]
	if !ok || kept.handOver.From.Incarnation <= handOver.From.Incarnation {
		l.stop.kept[handOver.From.VM] = keptLog{handOver: handOver, receivedAt: now}
	}
	return []LogAction{SendLogHandOverAck{LogHandOverAck{From: handOver.From}}}
}

func (l *Log) logKept(ack LogHandOverAck) []LogAction {
	if ack.From != l.config.Self || l.stop.done {
		return nil
	}
	l.stop.done = true
	return []LogAction{LogStopped{}}
}
