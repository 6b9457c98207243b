package attempt

import (
	"cmp"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// logStop is the entry's state for handing logs over: its own when it stops, and those of others.
type logStop struct {
	stopping bool
	done     bool
	sentAt   time.Time
	// stored holds the final logs of other entries' incarnations.
	stored map[ident.VM]storedLog
	// offered is the log of the VM's previous incarnation, until all peers have answered.
	offered *LogHandOver
	// previous holds the previous incarnation of this VM that each peer knows.
	previous map[ident.VM]ident.Incarnation
}

// storedLog is another entry's final log, kept for the next incarnation of its VM.
type storedLog struct {
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
	recordLatestIncarnation(l.peers, KnownIncarnation{VM: question.Asker.VM, Current: question.Asker.Incarnation})
	answer.ClaimsKnownFor = now.Sub(l.claimsKnownSince)
	answer.Claims = l.heldClaims()
	answer.Peers = l.knownPeers()
	answer.Previous = incarnationBefore(l.peers[question.Asker.VM], question.Asker.Incarnation)
	if kept, ok := l.stop.stored[question.Asker.VM]; ok && kept.handOver.From.Incarnation == answer.Previous {
		handOver := kept.aged(now)
		answer.Log = &handOver
	}
	return []LogAction{SendPeerAnswer{answer}}
}

// aged returns the stored log with its ages and coverage extended to now.
func (k storedLog) aged(now time.Time) LogHandOver {
	passed := now.Sub(k.receivedAt)
	handOver := k.handOver
	handOver.Covers += passed
	handOver.Keys = append([]DispatchedKey(nil), k.handOver.Keys...)
	for i := range handOver.Keys {
		handOver.Keys[i].Age += passed
	}
	return handOver
}

func (l *Log) receivePeerAnswer(now time.Time, answer PeerAnswer) []LogAction {
	if answer.Asker != l.config.Self {
		return nil
	}
	if answer.Superseding != 0 {
		return []LogAction{Superseded{answer.Superseding}}
	}
	if l.answeredPeers[answer.Entry.VM] {
		return nil
	}
	for _, claim := range answer.Claims {
		recordLatestIncarnation(l.claims, claim)
	}
	if since := now.Add(-answer.ClaimsKnownFor); since.Before(l.claimsKnownSince) {
		l.claimsKnownSince = since
	}
	l.answeredPeers[answer.Entry.VM] = true
	l.restorePrePause(now, answer)
	recordLatestIncarnation(l.peers, KnownIncarnation{VM: answer.Entry.VM, Current: answer.Entry.Incarnation})
	for _, peer := range answer.Peers {
		if peer.VM != l.config.Self.VM {
			recordLatestIncarnation(l.peers, KnownIncarnation{VM: peer.VM, Current: peer.Incarnation})
		}
	}
	l.adoptOfferedLog(now, answer)
	return nil
}

// revalidate is called after a pause of the process. It asks all peers whether they know another
// incarnation of the VM. Until they have answered, the log counts as new.
func (l *Log) revalidate(now time.Time) []LogAction {
	if l.prePause == nil {
		l.prePause = &prePauseLog{completeSince: l.completeSince, claimsKnownSince: l.claimsKnownSince, pausedAt: l.lastStep}
	}
	l.completeSince = now
	l.claimsKnownSince = now
	l.answeredPeers = map[ident.VM]bool{}
	l.peerAskedAt = map[ident.VM]time.Time{}
	return l.askPeers(now)
}

// restorePrePause restores the log's coverage once all peers have answered, if the ClaimsKnownFor
// of each answer reaches back to before the pause.
func (l *Log) restorePrePause(now time.Time, answer PeerAnswer) {
	if l.prePause == nil {
		return
	}
	if now.Add(-answer.ClaimsKnownFor).After(l.prePause.pausedAt) {
		l.prePause = nil
		return
	}
	if l.PeersAnswered() {
		l.completeSince, l.claimsKnownSince = l.prePause.completeSince, l.prePause.claimsKnownSince
		l.prePause = nil
	}
}

// adoptOfferedLog merges the log of the VM's previous incarnation once all peers agree which
// incarnation that was.
func (l *Log) adoptOfferedLog(now time.Time, answer PeerAnswer) {
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
	if offered == nil || !l.PeersAnswered() {
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

// merge adds the log of the VM's previous incarnation to this one.
func (l *Log) merge(now time.Time, handOver LogHandOver) {
	for _, key := range handOver.Keys {
		log := l.services[key.RunKey.Service()]
		if log == nil {
			continue
		}
		at := now.Add(-key.Age)
		record := log.keys[key.RunKey]
		if record == nil {
			record = &loggedKey{}
			log.keys[key.RunKey] = record
		}
		target := record.target(key.Target)
		target.body, target.at, target.served = key.Body, at, key.Served
		target.open++
		log.expiry.add(at.Add(retentionOf(log.service)+l.config.StartsWithin), key.RunKey)
		log.byOwner = nil
	}
	if covered := now.Add(-handOver.Covers); covered.Before(l.completeSince) {
		l.completeSince = covered
	}
}

// sendLog sends the log to the entry that stores it, and repeats that until it is acknowledged.
func (l *Log) sendLog(now time.Time) []LogAction {
	if !l.stop.stopping || l.stop.done || (!l.stop.sentAt.IsZero() && now.Sub(l.stop.sentAt) < l.config.ResendAfter) {
		return nil
	}
	l.stop.sentAt = now
	others := make([]ident.VM, 0, len(l.fleet.Entries))
	for _, entry := range l.fleet.Entries {
		if entry.VM != l.config.Self.VM {
			others = append(others, entry.VM)
		}
	}
	custodian := RendezvousVM(string(l.config.Self.VM), others)
	if custodian == "" {
		l.stop.done = true
		return []LogAction{LogStopped{}}
	}
	handOver := LogHandOver{From: l.config.Self, To: custodian, Covers: now.Sub(l.completeSince)}
	for _, service := range l.fleet.Services {
		handOver.Keys = append(handOver.Keys, l.services[service.Name].allKeys(now)...)
	}
	return []LogAction{SendLogHandOver{handOver}}
}

func (s *serviceLog) allKeys(now time.Time) []DispatchedKey {
	var keys []DispatchedKey
	for _, name := range sortedKeys(s.keys, cmp.Compare) {
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

func (l *Log) storeLog(now time.Time, handOver LogHandOver) []LogAction {
	if handOver.To != l.config.Self.VM {
		return nil
	}
	kept, ok := l.stop.stored[handOver.From.VM]
	if !ok || kept.handOver.From.Incarnation <= handOver.From.Incarnation {
		l.stop.stored[handOver.From.VM] = storedLog{handOver: handOver, receivedAt: now}
	}
	return []LogAction{SendLogHandOverAck{LogHandOverAck{From: handOver.From}}}
}

func (l *Log) receiveLogAck(ack LogHandOverAck) []LogAction {
	if ack.From != l.config.Self || l.stop.done {
		return nil
	}
	l.stop.done = true
	return []LogAction{LogStopped{}}
}
