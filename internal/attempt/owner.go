package attempt

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Self ident.Instance
	// MaxKeys bounds the run keys of all services; new keys are refused at the bound.
	MaxKeys int
	// AskAgain is the time after which unanswered questions are repeated.
	AskAgain time.Duration
	// HoldLimit bounds the time that a dispatch waits for the answers about its key.
	HoldLimit time.Duration
	// ClockSkew bounds the difference between the clocks of two VMs.
	ClockSkew time.Duration
	// StartsWithin bounds the time from a dispatch to its start, as in LogConfig.
	StartsWithin time.Duration
	// KeysPerPart and BytesPerPart bound the run keys and the answers in one part of a hand-over.
	KeysPerPart  int
	BytesPerPart int
	Doubt        DoubtPolicy
}

// DefaultBytesPerPart bounds the answers in one part of a hand-over.
const DefaultBytesPerPart = 256 << 10

// DoubtPolicy says what an agent does with keys that an earlier owner may have run.
type DoubtPolicy uint8

// The policies for keys in doubt.
const (
	// DoubtAsk asks the entries and the earlier owners.
	DoubtAsk DoubtPolicy = iota
	// DoubtRefuse runs no key before the agent has owned it for the whole retention.
	DoubtRefuse
	// DoubtIgnore runs every key that is not in the table. It runs keys twice, and serves
	// as a baseline of experiments only.
	DoubtIgnore
)

// DefaultOwnerConfig returns the configuration of an agent's table.
func DefaultOwnerConfig(self ident.Instance) OwnerConfig {
	return OwnerConfig{
		Self:      self,
		MaxKeys:   1_000_000,
		AskAgain:  200 * time.Millisecond,
		HoldLimit: 2 * time.Second,
		ClockSkew: 500 * time.Millisecond,

		StartsWithin: DefaultStartsWithin,
		KeysPerPart:  DefaultKeysPerPart,
		BytesPerPart: DefaultBytesPerPart,
	}
}

// OwnerEvent is an event of an Owner.
type OwnerEvent interface{ isOwnerEvent() }

// DispatchReceived brings a dispatch with its whole body.
type DispatchReceived struct{ Dispatch Dispatch }

// RevokeReceived brings an entry's revocation.
type RevokeReceived struct{ Revoke Revoke }

// QueryReceived brings an entry's question about an attempt.
type QueryReceived struct{ Query Query }

// CancelReceived says that nobody waits for an attempt's answer.
type CancelReceived struct{ Cancel Cancel }

// RunEnded says how a run on the backend server ended. An outcome of kind NotRun means that
// the backend server proved that it did not start the request.
type RunEnded struct {
	ID      Attempt
	Outcome outcome.Outcome
	Answer  Answer
	// Content is the answer's body, kept for resends; nil if it is too large to keep.
	Content []byte
}

// BackendDied says that the backend server died with all that ran on it.
type BackendDied struct{}

// OwnerFleetChanged brings the published fleet; older versions are ignored.
type OwnerFleetChanged struct{ Fleet fleet.Fleet }

// VMsGone names the VMs that left the platform's list for good.
type VMsGone struct{ VMs []ident.VM }

// EntrySeen says that an entry's run opened a connection.
type EntrySeen struct{ Entry ident.Instance }

// ClaimAnswered brings one part of an entry's answer to a claim.
type ClaimAnswered struct{ Answer ClaimAnswer }

// ReleaseAsked brings another agent's request for its keys.
type ReleaseAsked struct{ Request ReleaseRequest }

// HandOverReceived brings run keys.
type HandOverReceived struct{ HandOver HandOver }

// HandOverKept says that a receiver keeps the keys of a hand-over.
type HandOverKept struct{ Ack HandOverAck }

// LeaseMoved moves the agent's lease numbers: dispatches below Start are not started, and
// records of ended attempts below Forget are dropped. Both only grow.
type LeaseMoved struct {
	Current Number
	Start   Number
	Forget  Number
}

// ClockGap says that the process was paused, so that another run may have taken its place.
type ClockGap struct{}

// TicketAsked brings an entry's request for a ticket.
type TicketAsked struct{ Request TicketRequest }

// KeyAsked brings a question about a run key.
type KeyAsked struct{ Question KeyQuestion }

// OwnerStop asks the agent to stop: it finishes what runs and hands its keys over.
type OwnerStop struct{}

// OwnerTick lets time pass.
type OwnerTick struct{}

func (DispatchReceived) isOwnerEvent()  {}
func (RevokeReceived) isOwnerEvent()    {}
func (QueryReceived) isOwnerEvent()     {}
func (CancelReceived) isOwnerEvent()    {}
func (RunEnded) isOwnerEvent()          {}
func (BackendDied) isOwnerEvent()       {}
func (OwnerFleetChanged) isOwnerEvent() {}
func (VMsGone) isOwnerEvent()           {}
func (EntrySeen) isOwnerEvent()         {}
func (ClaimAnswered) isOwnerEvent()     {}
func (ReleaseAsked) isOwnerEvent()      {}
func (HandOverReceived) isOwnerEvent()  {}
func (HandOverKept) isOwnerEvent()      {}
func (LeaseMoved) isOwnerEvent()        {}
func (ClockGap) isOwnerEvent()          {}
func (TicketAsked) isOwnerEvent()       {}
func (KeyAsked) isOwnerEvent()          {}
func (OwnerStop) isOwnerEvent()         {}
func (OwnerTick) isOwnerEvent()         {}

// OwnerAction is an action of an Owner.
type OwnerAction interface{ isOwnerAction() }

// Run hands a request to the backend server, now or never.
type Run struct{ Dispatch Dispatch }

// CancelRun cuts a run whose answer nobody waits for.
type CancelRun struct{ ID Attempt }

// SendReply sends the agent's word to the entry that the attempt names.
type SendReply struct {
	Reply Reply
	// Source is the attempt whose answer the reply carries; its buffered bytes are the body.
	Source Attempt
	// Content is the body if it came by a hand-over.
	Content []byte
}

// SendClaim sends a claim to an entry's VM.
type SendClaim struct {
	To    ident.VM
	Claim Claim
}

// SendRelease asks another agent's VM for its keys.
type SendRelease struct {
	To      ident.VM
	Request ReleaseRequest
}

// SendHandOver sends run keys to the agent of a VM.
type SendHandOver struct{ HandOver HandOver }

// SendHandOverAck acknowledges a hand-over.
type SendHandOverAck struct{ Ack HandOverAck }

// SendTicket answers a TicketRequest.
type SendTicket struct{ Reply TicketReply }

// SendKeyAnswer answers a KeyQuestion.
type SendKeyAnswer struct{ Answer KeyAnswer }

// SendCrashReport tells all entries of the roster about a crash of the backend server.
type SendCrashReport struct{ Report CrashReport }

// OwnerNeedsFleet says that a peer knows a later fleet version.
type OwnerNeedsFleet struct{ Version template.Version }

// OwnerSuperseded says that a later run claimed the VM: the process must stop, or start
// again with an incarnation greater than By.
type OwnerSuperseded struct{ By ident.Incarnation }

// OwnerStopped says that nothing runs and all keys are handed over.
type OwnerStopped struct{}

// KeysRefused reports that the table is full and a new key was refused.
type KeysRefused struct {
	Service ident.Service
	Keys    int
}

// OwnershipChanged reports from when new keys of a service run, for logs and the time line.
type OwnershipChanged struct {
	Service ident.Service
	// Complete is true once the agent knows what may have run before.
	Complete bool
	// InDoubt is the number of keys that may have run.
	InDoubt int
}

func (Run) isOwnerAction()              {}
func (CancelRun) isOwnerAction()        {}
func (SendReply) isOwnerAction()        {}
func (SendClaim) isOwnerAction()        {}
func (SendRelease) isOwnerAction()      {}
func (SendHandOver) isOwnerAction()     {}
func (SendHandOverAck) isOwnerAction()  {}
func (SendTicket) isOwnerAction()       {}
func (SendKeyAnswer) isOwnerAction()    {}
func (SendCrashReport) isOwnerAction()  {}
func (OwnerNeedsFleet) isOwnerAction()  {}
func (OwnerSuperseded) isOwnerAction()  {}
func (OwnerStopped) isOwnerAction()     {}
func (KeysRefused) isOwnerAction()      {}
func (OwnershipChanged) isOwnerAction() {}

// Owner is the agent's table of dispatches and run keys. It is not safe for concurrent use.
type Owner struct {
	config    OwnerConfig
	startedAt time.Time
	fleet     fleet.Fleet
	attempts  map[Attempt]*heldAttempt
	// byLease lists the attempts by the lease that they rest on.
	byLease  map[Number][]Attempt
	services map[ident.Service]*ownedService
	// gone holds the VMs that left the platform's list for good, with when the agent heard it.
	gone map[ident.VM]time.Time
	// removed holds the entries that left the roster, with when the agent saw it.
	removed   map[ident.VM]time.Time
	lease     LeaseMoved
	tickets   ticketBook
	handOvers handOvers
	// alone is the suspect that runs or waits to run alone; nil if there is none.
	alone    *Attempt
	running  int
	crashes  uint64
	keys     int
	stopping bool
	// superseded is true once a later run has claimed the VM.
	superseded bool
	actions    []OwnerAction
}

// heldAttempt is what the agent knows of one attempt.
type heldAttempt struct {
	dispatch Dispatch
	state    ReplyState
	outcome  outcome.Outcome
	answer   Answer
	source   Attempt
	content  []byte
	lease    Number
	// waits is true for a suspect that waits until it can run alone.
	waits    bool
	deadline time.Time
}

// NewOwner returns the empty table of an agent that starts now.
func NewOwner(now time.Time, config OwnerConfig) *Owner {
	return &Owner{
		config:    config,
		startedAt: now,
		attempts:  map[Attempt]*heldAttempt{},
		byLease:   map[Number][]Attempt{},
		services:  map[ident.Service]*ownedService{},
		gone:      map[ident.VM]time.Time{},
		removed:   map[ident.VM]time.Time{},
		tickets:   ticketBook{issued: map[uint64]*issuedTicket{}},
		handOvers: handOvers{custody: map[custodyKey]*custody{}, arriving: map[arrivalKey]*arrival{}, unacknowledged: map[handOverKey]HandOver{}},
	}
}

// Step handles one event.
func (o *Owner) Step(now time.Time, event OwnerEvent) []OwnerAction {
	o.actions = nil
	o.handle(now, event)
	o.advance(now)
	actions := o.actions
	o.actions = nil
	return actions
}

func (o *Owner) handle(now time.Time, event OwnerEvent) {
	switch event := event.(type) {
	case DispatchReceived:
		o.receive(now, event.Dispatch)
	case RevokeReceived:
		o.revoke(now, event.Revoke)
	case QueryReceived:
		o.query(event.Query)
	case CancelReceived:
		o.cancel(event.Cancel)
	case RunEnded:
		o.endRun(now, event)
	case BackendDied:
		o.loseRuns(now)
	case LeaseMoved:
		o.moveLease(event)
	case TicketAsked:
		o.issueTicket(now, event.Request)
	case KeyAsked:
		o.answerKey(event.Question)
	case OwnerStop:
		o.stopping = true
	case OwnerTick:
		o.tick(now)
	default:
		o.handleOwnership(now, event)
	}
}

func (o *Owner) handleOwnership(now time.Time, event OwnerEvent) {
	switch event := event.(type) {
	case OwnerFleetChanged:
		o.setFleet(now, event.Fleet)
	case VMsGone:
		o.noteGone(now, event.VMs)
	case EntrySeen:
		o.seeEntry(now, event.Entry)
	case ClaimAnswered:
		o.hearClaim(now, event.Answer)
	case ReleaseAsked:
		o.release(now, event.Request)
	case HandOverReceived:
		o.takeOver(now, event.HandOver)
	case HandOverKept:
		o.handOverKept(event.Ack)
	case ClockGap:
		o.distrust(now)
	}
}

func (o *Owner) act(action OwnerAction) {
	o.actions = append(o.actions, action)
}
