package attempt

import (
	"cmp"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// DefaultRunKeyRetention is how long run keys are kept if the service sets no retention.
const DefaultRunKeyRetention = 24 * time.Hour

// LogConfig configures a Log.
type LogConfig struct {
	Self ident.Instance
	// ResendAfter is the time after which an unanswered PeerQuestion or LogHandOver is sent again.
	ResendAfter time.Duration
	// StartsWithin bounds the time from a dispatch to the start of its run at the agent. Keys are
	// kept for the retention plus this time.
	StartsWithin time.Duration
	// KeysPerPart bounds the run keys in one part of a ClaimAnswer.
	KeysPerPart int
}

// DefaultKeysPerPart bounds the run keys in one part of a ClaimAnswer or HandOver.
const DefaultKeysPerPart = 2000

// DefaultStartsWithin is longer than the term of a lease plus the longest wait for a start.
const DefaultStartsWithin = time.Minute

// DefaultLogConfig returns the default configuration of an entry's Log.
func DefaultLogConfig(self ident.Instance) LogConfig {
	return LogConfig{Self: self, ResendAfter: 200 * time.Millisecond, StartsWithin: DefaultStartsWithin, KeysPerPart: DefaultKeysPerPart}
}

// Log is an entry's record of the run keys that it dispatched, and of the agents' claims that
// restrict where it may dispatch to. It is not safe for concurrent use.
type Log struct {
	config LogConfig
	// completeSince is the time since which the log is complete: the start of the process or the end of
	// its last pause. It is earlier if the log of the previous incarnation was merged, or if the
	// peers know of no other incarnation since before the pause.
	completeSince time.Time
	// claimsKnownSince is the start of the time reported as ClaimsKnownFor in ClaimAnswer and
	// PeerAnswer.
	claimsKnownSince time.Time
	lastStep         time.Time
	serial           uint64
	// prePause is what the log covered before a pause of the process, or nil.
	prePause *prePauseLog
	fleet    fleet.Fleet
	services map[ident.Service]*serviceLog
	// removed holds the entries that left the roster, with the time at which this entry detected that.
	removed map[ident.VM]time.Time
	// claims holds, for each agent's VM, the latest incarnation that claimed it.
	claims map[ident.VM]KnownIncarnation
	// answeredPeers holds the peers that answered which claims they accepted.
	answeredPeers map[ident.VM]bool
	peerAskedAt   map[ident.VM]time.Time
	// peers holds the latest known incarnation of each other entry.
	peers map[ident.VM]KnownIncarnation
	stop  logStop
}

// serviceLog is the log of one service's run keys.
type serviceLog struct {
	service fleet.Service
	// listID identifies the current list of backend servers.
	listID  uint64
	earlier []earlierList
	keys    map[ident.RunKey]*loggedKey
	expiry  expiryQueue[ident.RunKey]
	// byOwner lists the keys by their owner under the current list; nil if it must be rebuilt.
	byOwner map[ident.VM][]ident.RunKey
}

// earlierList is a list of backend servers that was replaced at replacedAt; id is its ListID.
type earlierList struct {
	vms        []ident.VM
	id         uint64
	replacedAt time.Time
}

func newEarlierList(vms []ident.VM, replacedAt time.Time) earlierList {
	return earlierList{vms: vms, id: ListID(vms), replacedAt: replacedAt}
}

// loggedKey holds the dispatches of one run key, by target.
type loggedKey struct {
	targets []loggedTarget
}

// loggedTarget holds the dispatches of a run key to one incarnation of an agent; at is the time
// of the last one.
type loggedTarget struct {
	instance ident.Instance
	body     Digest
	at       time.Time
	// open counts the dispatches without proof that they never started.
	open   int
	served bool
}

// prePauseLog is restored if the ClaimsKnownFor of every peer's answer reaches back to before the
// pause: then no other incarnation of this entry can have started in between.
type prePauseLog struct {
	completeSince    time.Time
	claimsKnownSince time.Time
	pausedAt         time.Time
}

// NewLog returns the empty log of an entry that starts now.
func NewLog(now time.Time, config LogConfig) *Log {
	return &Log{
		config:           config,
		completeSince:    now,
		claimsKnownSince: now,
		lastStep:         now,
		services:         map[ident.Service]*serviceLog{},
		removed:          map[ident.VM]time.Time{},
		claims:           map[ident.VM]KnownIncarnation{},
		answeredPeers:    map[ident.VM]bool{},
		peerAskedAt:      map[ident.VM]time.Time{},
		peers:            map[ident.VM]KnownIncarnation{},
		stop:             logStop{stored: map[ident.VM]storedLog{}},
	}
}

// RecordResult says whether a run key may be dispatched.
type RecordResult uint8

// The results of Record.
const (
	// Recorded means that the dispatch is logged. It must be sent at once or not at all, since
	// StartsWithin counts from its logging. A dispatch that was not sent is reported with RecordEnd
	// as ReplyNeverStarted.
	Recorded RecordResult = iota + 1
	// RecordNotOwner means that the target does not own the key under the entry's fleet version.
	RecordNotOwner
	// RecordNotOpen means that the service has not opened yet, or that the entry is stopping.
	RecordNotOpen
	// RecordNotClaimed means that the target has not claimed its VM at this entry yet, or that a
	// later incarnation has.
	RecordNotClaimed
)

// Record logs a run key before it is dispatched, or returns why it must not be dispatched.
func (l *Log) Record(now time.Time, dispatch Dispatch) RecordResult {
	log := l.services[dispatch.Service]
	if log == nil || dispatch.FleetVersion != l.fleet.Version {
		return RecordNotOwner
	}
	if l.stop.stopping {
		return RecordNotOpen
	}
	if dispatch.Ticket != nil {
		return recordTicket(dispatch)
	}
	if OwnerOf(dispatch.RunKey, log.service) != dispatch.Target.VM {
		return RecordNotOwner
	}
	if l.claims[dispatch.Target.VM].Current != dispatch.Target.Incarnation {
		return RecordNotClaimed
	}
	if now.Before(log.service.OpenedAt) {
		return RecordNotOpen
	}
	key := log.keys[dispatch.RunKey]
	if key == nil {
		key = &loggedKey{}
		log.keys[dispatch.RunKey] = key
		log.indexOwner(dispatch.RunKey, dispatch.Target.VM)
	}
	log.expiry.add(now.Add(retentionOf(log.service)+l.config.StartsWithin), dispatch.RunKey)
	target := key.target(dispatch.Target)
	target.body = dispatch.Body
	target.at = now
	target.open++
	return Recorded
}

// recordTicket allows a ticket's key only at the ticket's owner. No other agent can run it, so
// it need not be logged.
func recordTicket(dispatch Dispatch) RecordResult {
	if dispatch.Ticket.Owner != dispatch.Target {
		return RecordNotOwner
	}
	return Recorded
}

func (k *loggedKey) target(instance ident.Instance) *loggedTarget {
	for i := range k.targets {
		if k.targets[i].instance == instance {
			return &k.targets[i]
		}
	}
	k.targets = append(k.targets, loggedTarget{instance: instance})
	return &k.targets[len(k.targets)-1]
}

// RecordEnd records the end of a logged dispatch: it is proven never to start, or was served.
func (l *Log) RecordEnd(service ident.Service, key ident.RunKey, target ident.Instance, state ReplyState) {
	log := l.services[service]
	if log == nil || log.keys[key] == nil {
		return
	}
	logged := log.keys[key].target(target)
	switch state {
	case ReplyNeverStarted:
		logged.open = max(logged.open-1, 0)
	case ReplyFinished:
		logged.served = true
	case ReplyQueued, ReplyStarted, ReplyInDoubt, ReplyForeign:
	}
}

// MayHaveRun reports whether this entry dispatched the key without proof that it never started.
func (l *Log) MayHaveRun(service ident.Service, key ident.RunKey) bool {
	log := l.services[service]
	if log == nil || log.keys[key] == nil {
		return false
	}
	for _, target := range log.keys[key].targets {
		if target.open > 0 || target.served {
			return true
		}
	}
	return false
}

// Owner returns the VM that owns the key under the entry's fleet version, or "".
func (l *Log) Owner(service ident.Service, key ident.RunKey) ident.VM {
	log := l.services[service]
	if log == nil {
		return ""
	}
	return OwnerOf(key, log.service)
}

// Claimed reports whether the latest claim on the agent's VM at this entry is by this incarnation.
func (l *Log) Claimed(agent ident.Instance) bool {
	return l.claims[agent.VM].Current == agent.Incarnation
}

// Fleet returns the published fleet that the entry uses for routing.
func (l *Log) Fleet() fleet.Fleet {
	return l.fleet
}

// Size returns the number of run keys in the log.
func (l *Log) Size() int {
	size := 0
	for _, log := range l.services {
		size += len(log.keys)
	}
	return size
}

// PeersAnswered reports whether all other entries of the roster answered which claims they accepted.
func (l *Log) PeersAnswered() bool {
	return l.fleet.Version != 0 && len(l.unansweredPeers()) == 0
}

func (l *Log) unansweredPeers() []ident.VM {
	var missing []ident.VM
	for _, entry := range l.fleet.Entries {
		if entry.VM != l.config.Self.VM && !l.answeredPeers[entry.VM] {
			missing = append(missing, entry.VM)
		}
	}
	return missing
}

func retentionOf(service fleet.Service) time.Duration {
	if service.RunKeyRetention > 0 {
		return service.RunKeyRetention
	}
	return DefaultRunKeyRetention
}

func (s *serviceLog) indexOwner(key ident.RunKey, owner ident.VM) {
	if s.byOwner != nil {
		s.byOwner[owner] = append(s.byOwner[owner], key)
	}
}

// keysOwnedBy returns the keys that the VM owns under the current list.
func (s *serviceLog) keysOwnedBy(vm ident.VM) []ident.RunKey {
	if s.byOwner == nil {
		s.byOwner = map[ident.VM][]ident.RunKey{}
		vms := backendVMs(s.service)
		for _, key := range sortedKeys(s.keys, cmp.Compare) {
			owner := RendezvousVM(string(key), vms)
			s.byOwner[owner] = append(s.byOwner[owner], key)
		}
	}
	return s.byOwner[vm]
}
