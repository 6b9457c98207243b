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
	// MaxKeys bounds the number of run keys over all services; new keys are refused at the limit.
	MaxKeys int
	// ResendAfter is the time after which an unanswered claim, release request or final hand-over is sent again.
	ResendAfter time.Duration
	// HoldLimit bounds the time for which a dispatch is held until its key may run or, for a
	// suspect, until nothing else runs.
	HoldLimit time.Duration
	// ClockSkew bounds the difference between the clocks of two VMs.
	ClockSkew time.Duration
	// StartsWithin bounds the time from a dispatch to the start of its run, as in LogConfig.
	StartsWithin time.Duration
	// KeysPerPart and BytesPerPart bound the run keys and the answer bytes in one part of a hand-over.
	KeysPerPart  int
	BytesPerPart int
	Doubt        DoubtPolicy
}

// DefaultBytesPerPart bounds the answer bytes in one part of a hand-over.
const DefaultBytesPerPart = 256 << 10

// DoubtPolicy says what an agent does with a key that an earlier owner may have run.
type DoubtPolicy uint8

// The policies for keys in doubt.
const (
	// DoubtAsk asks the entries and the earlier owners whether the key has run.
	DoubtAsk DoubtPolicy = iota
	// DoubtRefuse runs no key until the agent has owned it for the whole retention.
	DoubtRefuse
	// DoubtIgnore runs every key that is not in the table, so that keys can run twice. It serves
	// only as a baseline in experiments.
	DoubtIgnore
)

// DefaultOwnerConfig returns the default configuration of an agent's Owner.
func DefaultOwnerConfig(self ident.Instance) OwnerConfig {
	return OwnerConfig{
		Self:        self,
		MaxKeys:     1_000_000,
		ResendAfter: 200 * time.Millisecond,
		HoldLimit:   2 * time.Second,
		ClockSkew:   500 * time.Millisecond,

		StartsWithin: DefaultStartsWithin,
		KeysPerPart:  DefaultKeysPerPart,
		BytesPerPart: DefaultBytesPerPart,
	}
}

// OwnerEvent is an event of an Owner.
type OwnerEvent interface{ isOwnerEvent() }

// DispatchReceived carries a dispatch whose body has arrived in full.
type DispatchReceived struct{ Dispatch Dispatch }

// RevokeReceived carries an entry's revocation of an attempt.
type RevokeReceived struct{ Revoke Revoke }

// QueryReceived carries an entry's query about an attempt.
type QueryReceived struct{ Query Query }

// CancelReceived reports that no caller waits for an attempt's answer.
type CancelReceived struct{ Cancel Cancel }

// RunEnded reports the end of a run. An outcome of kind NotRun means that the backend server
// proved that it did not start the request.
type RunEnded struct {
	ID      AttemptID
	Outcome outcome.Outcome
	Answer  Answer
	// Content is the body of the answer, kept for resends; nil if it is too large to keep.
	Content []byte
}

// BackendCrashed reports that the backend server crashed and that all its runs are lost.
type BackendCrashed struct{}

// OwnerFleetChanged carries the published fleet; a version that is not later is ignored.
type OwnerFleetChanged struct{ Fleet fleet.Fleet }

// VMsRemoved names published VMs that have been missing from the platform's list of VMs for so
// long that they count as removed.
type VMsRemoved struct{ VMs []ident.VM }

// EntryConnected reports that an incarnation of an entry opened a connection.
type EntryConnected struct{ Entry ident.Instance }

// ClaimAnswerReceived carries one part of an entry's answer to a claim.
type ClaimAnswerReceived struct{ Answer ClaimAnswer }

// ReleaseRequestReceived carries the request of another agent for the keys that this other agent
// owns now.
type ReleaseRequestReceived struct{ Request ReleaseRequest }

// HandOverReceived carries one part of a hand-over of run keys.
type HandOverReceived struct{ HandOver HandOver }

// HandOverAckReceived reports that the receiver stored the keys of a hand-over.
type HandOverAckReceived struct{ Ack HandOverAck }

// LeaseAdvanced advances the agent's lease numbers: dispatches below MinStart are not started, and
// records of ended attempts below MinKept are dropped. No number decreases.
type LeaseAdvanced struct {
	Current  Number
	MinStart Number
	MinKept  Number
}

// ClockGap reports that the process was paused, so that another incarnation may have claimed
// its VM in that time.
type ClockGap struct{}

// TicketRequestReceived carries an entry's request for a ticket.
type TicketRequestReceived struct{ Request TicketRequest }

// KeyQuestionReceived carries an entry's question about a run key.
type KeyQuestionReceived struct{ Question KeyQuestion }

// OwnerStop makes the agent stop: it waits for its runs to end and then hands its keys over.
type OwnerStop struct{}

// OwnerTick advances the time: it expires keys and tickets and repeats unanswered messages.
type OwnerTick struct{}

func (DispatchReceived) isOwnerEvent()       {}
func (RevokeReceived) isOwnerEvent()         {}
func (QueryReceived) isOwnerEvent()          {}
func (CancelReceived) isOwnerEvent()         {}
func (RunEnded) isOwnerEvent()               {}
func (BackendCrashed) isOwnerEvent()         {}
func (OwnerFleetChanged) isOwnerEvent()      {}
func (VMsRemoved) isOwnerEvent()             {}
func (EntryConnected) isOwnerEvent()         {}
func (ClaimAnswerReceived) isOwnerEvent()    {}
func (ReleaseRequestReceived) isOwnerEvent() {}
func (HandOverReceived) isOwnerEvent()       {}
func (HandOverAckReceived) isOwnerEvent()    {}
func (LeaseAdvanced) isOwnerEvent()          {}
func (ClockGap) isOwnerEvent()               {}
func (TicketRequestReceived) isOwnerEvent()  {}
func (KeyQuestionReceived) isOwnerEvent()    {}
func (OwnerStop) isOwnerEvent()              {}
func (OwnerTick) isOwnerEvent()              {}

// OwnerAction is an action of an Owner.
type OwnerAction interface{ isOwnerAction() }

// Run hands a request to the backend server. It must be executed at once or not at all: after a
// pause of the process, another agent may own the run key. If it is not executed, RunEnded must
// report an outcome of kind NotRun.
type Run struct{ Dispatch Dispatch }

// CancelRun aborts a run whose answer no caller waits for.
type CancelRun struct{ ID AttemptID }

// SendReply sends a reply to the entry that the attempt names.
type SendReply struct {
	Reply Reply
	// Source is the attempt whose buffered answer is the body of the reply.
	Source AttemptID
	// Content is the body if the answer came with a hand-over.
	Content []byte
}

// SendClaim sends a claim to the entry on a VM.
type SendClaim struct {
	To    ident.VM
	Claim Claim
}

// SendRelease sends a release request to the agent on a VM.
type SendRelease struct {
	To      ident.VM
	Request ReleaseRequest
}

// SendHandOver sends one part of a hand-over to the agent on the VM that it names.
type SendHandOver struct{ HandOver HandOver }

// SendHandOverAck acknowledges a complete hand-over.
type SendHandOverAck struct{ Ack HandOverAck }

// SendTicket answers a TicketRequest.
type SendTicket struct{ Reply TicketReply }

// SendKeyAnswer answers a KeyQuestion.
type SendKeyAnswer struct{ Answer KeyAnswer }

// SendCrashReport sends the report of a backend server's crash to all entries of the roster.
type SendCrashReport struct{ Report CrashReport }

// OwnerNeedsFleet reports that a peer has a later fleet version, which should be fetched.
type OwnerNeedsFleet struct{ Version template.Version }

// OwnerSuperseded reports that a later incarnation claimed the VM: the process must stop, or
// restart with an incarnation greater than By.
type OwnerSuperseded struct{ By ident.Incarnation }

// OwnerStopped reports that nothing runs and that all keys are handed over.
type OwnerStopped struct{}

// KeysRefused reports that a new key was refused because the table is full. Keys is the
// number of keys in the table.
type KeysRefused struct {
	Service ident.Service
	Keys    int
}

// OwnershipChanged reports whether new keys of a service can run. It is shown in log lines and in
// the timeline.
type OwnershipChanged struct {
	Service ident.Service
	// Complete is true once the agent knows every run of its keys within the retention.
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

// Owner is the agent's table of all dispatches, with and without run keys, and of the run keys that
// the agent owns. It is not safe for concurrent use.
type Owner struct {
	config    OwnerConfig
	startedAt time.Time
	fleet     fleet.Fleet
	attempts  map[AttemptID]*attemptRecord
	// byLease lists the attempts by their lease number.
	byLease  map[Number][]AttemptID
	services map[ident.Service]*ownedService
	// removedVMs holds the VMs that VMsRemoved named, with the time at which it did.
	removedVMs map[ident.VM]time.Time
	// removedEntries holds the known entries that are not on the roster, with the time at which the
	// agent detected that.
	removedEntries map[ident.VM]time.Time
	lease          LeaseAdvanced
	tickets        ticketTable
	handOvers      handOvers
	// aloneAttempt is the suspect that runs alone or waits until it can; nil if there is none.
	aloneAttempt *AttemptID
	running      int
	crashCount   uint64
	keyCount     int
	stopping     bool
	// superseded is true once a later incarnation has claimed the VM.
	superseded bool
	actions    []OwnerAction
}

// attemptRecord is the state of one attempt at the agent.
type attemptRecord struct {
	dispatch Dispatch
	state    ReplyState
	outcome  outcome.Outcome
	answer   Answer
	// source is the attempt whose run gives the answer. It is zero while this attempt itself runs.
	source  AttemptID
	content []byte
	lease   Number
	// waitingAlone is true for a suspect that waits until nothing else runs.
	waitingAlone bool
	deadline     time.Time
}

// NewOwner returns the empty table of an agent that starts now.
func NewOwner(now time.Time, config OwnerConfig) *Owner {
	return &Owner{
		config:         config,
		startedAt:      now,
		attempts:       map[AttemptID]*attemptRecord{},
		byLease:        map[Number][]AttemptID{},
		services:       map[ident.Service]*ownedService{},
		removedVMs:     map[ident.VM]time.Time{},
		removedEntries: map[ident.VM]time.Time{},
		tickets:        ticketTable{issued: map[uint64]*issuedTicket{}},
		handOvers:      handOvers{custody: map[custodyKey]*custody{}, partial: map[partialHandOverKey]*partialHandOver{}, unacknowledged: map[handOverKey]HandOver{}},
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
		o.receiveDispatch(now, event.Dispatch)
	case RevokeReceived:
		o.revoke(now, event.Revoke)
	case QueryReceived:
		o.query(event.Query)
	case CancelReceived:
		o.cancel(event.Cancel)
	case RunEnded:
		o.endRun(now, event)
	case BackendCrashed:
		o.failRuns(now)
	case LeaseAdvanced:
		o.advanceLease(event)
	case TicketRequestReceived:
		o.issueTicket(now, event.Request)
	case KeyQuestionReceived:
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
	case VMsRemoved:
		o.recordRemovedVMs(now, event.VMs)
	case EntryConnected:
		o.observeEntry(now, event.Entry)
	case ClaimAnswerReceived:
		o.receiveClaimAnswer(now, event.Answer)
	case ReleaseRequestReceived:
		o.receiveReleaseRequest(now, event.Request)
	case HandOverReceived:
		o.receiveHandOver(now, event.HandOver)
	case HandOverAckReceived:
		o.receiveHandOverAck(event.Ack)
	case ClockGap:
		o.revalidate(now)
	}
}

func (o *Owner) act(action OwnerAction) {
	o.actions = append(o.actions, action)
}
