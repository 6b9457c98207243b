package attempt

import (
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// DefaultRunKeyRetention is how long run keys are kept if the service does not say.
const DefaultRunKeyRetention = 24 * time.Hour

// LogConfig configures a Log.
type LogConfig struct {
	Self ident.Instance
	// AskAgain is the time after which an unanswered PeerQuestion is repeated.
	AskAgain time.Duration
	// StartsWithin bounds the time from a dispatch to its start at the agent: keys are
	// kept that much longer than the retention.
	StartsWithin time.Duration
	// KeysPerPart bounds the run keys in one part of an answer.
	KeysPerPart int
}

// DefaultKeysPerPart bounds the run keys in one message.
const DefaultKeysPerPart = 2000

// DefaultStartsWithin is longer than a lease and the wait for a start together.
const DefaultStartsWithin = time.Minute

// DefaultLogConfig returns the configuration of an entry.
func DefaultLogConfig(self ident.Instance) LogConfig {
	return LogConfig{Self: self, AskAgain: 200 * time.Millisecond, StartsWithin: DefaultStartsWithin, KeysPerPart: DefaultKeysPerPart}
}

// Log is an entry's record of the run keys that it dispatched, and of the agents' claims
// that restrict where it may dispatch to. It is not safe for concurrent use.
type Log struct {
	config     LogConfig
	startedAt  time.Time
	knowsSince time.Time
	lastStep   time.Time
	serial     uint64
	// gap is what the entry knew before it was paused, or nil.
	gap      *logGap
	fleet    fleet.Fleet
	services map[ident.Service]*serviceLog
	removed  map[ident.VM]time.Time
	// claims holds the claim with the greatest incarnation on each agent's VM.
	claims map[ident.VM]HeldClaim
	// answered holds the peers that said which claims they accepted.
	answered map[ident.VM]bool
	asked    map[ident.VM]time.Time
	// peers holds the runs of other entries that the entry has heard of.
	peers map[ident.VM]HeldClaim
	stop  logStop
}

type serviceLog struct {
	service fleet.Service
	// listID identifies the present list of backend servers.
	listID  uint64
	earlier []earlierList
	keys    map[ident.RunKey]*loggedKey
	expiry  expiryQueue[ident.RunKey]
	// byOwner lists the keys by their owner under the present list; nil if not known.
	byOwner map[ident.VM][]ident.RunKey
}

type earlierList struct {
	vms        []ident.VM
	id         uint64
	replacedAt time.Time
}

func newEarlierList(vms []ident.VM, replacedAt time.Time) earlierList {
	return earlierList{vms: vms, id: ListID(vms), replacedAt: replacedAt}
}

type loggedKey struct {
	targets []loggedTarget
}

type loggedTarget struct {
	instance ident.Instance
	body     Digest
	at       time.Time
	// open counts the dispatches without proof that they never started.
	open   int
	served bool
}

// logGap holds again if no other run of the entry's VM can have started since the time.
type logGap struct {
	startedAt  time.Time
	knowsSince time.Time
	since      time.Time
}

// NewLog returns the empty log of an entry that starts now.
func NewLog(now time.Time, config LogConfig) *Log {
	return &Log{
		config:     config,
		startedAt:  now,
		knowsSince: now,
		lastStep:   now,
		services:   map[ident.Service]*serviceLog{},
		removed:    map[ident.VM]time.Time{},
		claims:     map[ident.VM]HeldClaim{},
		answered:   map[ident.VM]bool{},
		asked:      map[ident.VM]time.Time{},
		peers:      map[ident.VM]HeldClaim{},
		stop:       logStop{kept: map[ident.VM]keptLog{}},
	}
}

// RecordResult says whether a run key may be dispatched.
type RecordResult uint8

// The results of Record.
const (
	// Recorded means that the dispatch is logged and must be sent now or never.
	Recorded RecordResult = iota + 1
	// RecordNotOwner means that the target does not own the key under the entry's version.
	RecordNotOwner
	// RecordNotOpen means that the service has not opened yet, or that the entry stops.
	RecordNotOpen
	// RecordNotClaimed means that the target has not claimed its VM at this entry, or a later
	// run has; it may be allowed later.
	RecordNotClaimed
)

// Record logs a run key before it is dispatched, or says why it must not be dispatched.
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
		log.noteOwner(dispatch.RunKey, dispatch.Target.VM)
	}
	log.expiry.add(now.Add(retentionOf(log.service)+l.config.StartsWithin), dispatch.RunKey)
	target := key.target(dispatch.Target)
	target.body = dispatch.Body
	target.at = now
	target.open++
	return Recorded
}

// recordTicket lets a ticket's key go to the ticket's owner only; no other run can ever run
// it, so that it need not be logged.
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

// Resolve records what became of one recorded dispatch: proven never to start, or served.
func (l *Log) Resolve(service ident.Service, key ident.RunKey, target ident.Instance, state ReplyState) {
	log := l.services[service]
	if log == nil || log.keys[key] == nil {
		return
	}
	entry := log.keys[key].target(target)
	switch state {
	case ReplyNeverStarted:
		entry.open = max(entry.open-1, 0)
	case ReplyFinished:
		entry.served = true
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

// Owner returns the VM that owns the key under the entry's version, or "".
func (l *Log) Owner(service ident.Service, key ident.RunKey) ident.VM {
	log := l.services[service]
	if log == nil {
		return ""
	}
	return OwnerOf(key, log.service)
}

// Claimed reports whether the run of the agent holds its VM's claim at this entry.
func (l *Log) Claimed(agent ident.Instance) bool {
	return l.claims[agent.VM].Current == agent.Incarnation
}

// Fleet returns the published fleet that the entry routes under.
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

// Informed reports whether all other entries of the roster said which claims they accepted.
func (l *Log) Informed() bool {
	return l.fleet.Version != 0 && len(l.uninformedPeers()) == 0
}

func (l *Log) uninformedPeers() []ident.VM {
	var missing []ident.VM
	for _, entry := range l.fleet.Entries {
		if entry.VM != l.config.Self.VM && !l.answered[entry.VM] {
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

func sortedKeys(keys map[ident.RunKey]*loggedKey) []ident.RunKey {
	sorted := make([]ident.RunKey, 0, len(keys))
	for key := range keys {
		sorted = append(sorted, key)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted
}

func (s *serviceLog) noteOwner(key ident.RunKey, owner ident.VM) {
	if s.byOwner != nil {
		s.byOwner[owner] = append(s.byOwner[owner], key)
	}
}

// keysOf returns the keys that the VM owns under the present list.
func (s *serviceLog) keysOf(vm ident.VM) []ident.RunKey {
	if s.byOwner == nil {
		s.byOwner = map[ident.VM][]ident.RunKey{}
		vms := backendVMs(s.service)
		for _, key := range sortedKeys(s.keys) {
			owner := Highest(string(key), vms)
			s.byOwner[owner] = append(s.byOwner[owner], key)
		}
	}
	return s.byOwner[vm]
}
