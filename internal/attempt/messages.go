package attempt

import (
	"bytes"
	"encoding/hex"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// Digest is the SHA-256 digest of a request or answer body.
type Digest [32]byte

// Fingerprint identifies a request over resends by customer, class and body digest, or a part of prompts.
type Fingerprint [16]byte

// compare orders fingerprints by their bytes.
func (f Fingerprint) compare(other Fingerprint) int { return bytes.Compare(f[:], other[:]) }

// String returns the fingerprint in hexadecimal, as in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Number is the number of a lease under which an agent lets an entry dispatch requests to it. Later
// leases have greater numbers, and the agent refuses dispatches with a number below its minimum.
type Number uint64

// AttemptID identifies one dispatch of one request by one incarnation of an entry.
type AttemptID struct {
	Entry   ident.Instance `cbor:"1,keyasint"`
	Request ident.Request  `cbor:"2,keyasint"`
	Number  ident.Attempt  `cbor:"3,keyasint"`
}

// Dispatch asks an agent to run a request. The body follows it on the same stream.
type Dispatch struct {
	ID     AttemptID      `cbor:"1,keyasint"`
	Target ident.Instance `cbor:"2,keyasint"`
	// Lease is the number of the agent's lease under which the request is dispatched.
	Lease Number `cbor:"3,keyasint"`
	// FleetVersion is the fleet version that the entry used for routing.
	FleetVersion template.Version `cbor:"4,keyasint"`
	Customer     ident.Customer   `cbor:"5,keyasint"`
	Service      ident.Service    `cbor:"6,keyasint"`
	Class        ident.Class      `cbor:"7,keyasint"`
	Idempotent   bool             `cbor:"8,keyasint,omitempty"`
	// RunKey is "" for idempotent requests, and for others to which the caller gave no key.
	RunKey ident.RunKey `cbor:"9,keyasint,omitempty"`
	Body   Digest       `cbor:"10,keyasint"`
	// Alone is true for a suspect: nothing else may run on the backend server at the same time.
	Alone bool `cbor:"11,keyasint,omitempty"`
	// TimeLeft is the time within which the request must start.
	TimeLeft time.Duration `cbor:"12,keyasint,omitempty"`
	// Ticket restricts the run key to the ticket's owner; nil without one.
	Ticket *Ticket `cbor:"13,keyasint,omitempty"`
}

// Fingerprint returns the request's fingerprint.
func (d Dispatch) Fingerprint() Fingerprint {
	return NewFingerprint(d.Customer, d.Class, d.Body)
}

// ReplyState is the state of an attempt at the agent.
type ReplyState uint8

// The states of a reply.
const (
	// ReplyQueued means that the attempt is accepted and has not been started.
	ReplyQueued ReplyState = iota + 1
	// ReplyStarted means that the request was handed to the backend server.
	ReplyStarted
	// ReplyNeverStarted means that the attempt did not start and never will.
	ReplyNeverStarted
	// ReplyFinished means that the backend server's answer is complete.
	ReplyFinished
	// ReplyInDoubt means that the request may have run and its result is lost.
	ReplyInDoubt
	// ReplyForeign means that the attempt was dispatched to another incarnation of the agent, and
	// that this one knows nothing of it.
	ReplyForeign
)

// Reply reports the state of an attempt to the entry. The body of a finished answer follows on
// the stream of the dispatch, or is requested with Resume.
type Reply struct {
	ID    AttemptID      `cbor:"1,keyasint"`
	Agent ident.Instance `cbor:"2,keyasint"`
	State ReplyState     `cbor:"3,keyasint"`
	// Outcome is set for the states finished, never started and in doubt.
	Outcome outcome.Outcome `cbor:"4,keyasint,omitempty"`
	// Answer describes the answer of a finished attempt.
	Answer Answer `cbor:"5,keyasint,omitempty"`
	// Suspect is true if the request may have crashed a backend server.
	Suspect bool `cbor:"6,keyasint,omitempty"`
	// Lease is the agent's current lease number.
	Lease Number `cbor:"7,keyasint,omitempty"`
	// FleetVersion is the agent's fleet version; an entry with an older one must fetch it.
	FleetVersion template.Version `cbor:"8,keyasint,omitempty"`
}

// Answer describes the complete answer of a backend server: HTTP status, length in bytes and
// digest of the body.
type Answer struct {
	Status int    `cbor:"1,keyasint,omitempty"`
	Length int64  `cbor:"2,keyasint,omitempty"`
	Digest Digest `cbor:"3,keyasint"`
}

// Revoke asks an agent never to start an attempt. The agent answers with a Reply and keeps a
// tombstone, so that a dispatch that arrives later is refused.
type Revoke struct {
	ID     AttemptID      `cbor:"1,keyasint"`
	Target ident.Instance `cbor:"2,keyasint"`
	// Lease is the lease number of the dispatch. If it is below the agent's MinKept, the agent may
	// have dropped its record of the attempt and replies in doubt instead of adding a tombstone.
	Lease Number `cbor:"3,keyasint"`
}

// Query asks an agent for the state of an attempt. A dispatched attempt is left unchanged; an
// unknown one gets a tombstone.
type Query struct {
	ID     AttemptID      `cbor:"1,keyasint"`
	Target ident.Instance `cbor:"2,keyasint"`
	// Lease is the lease number of the dispatch. If it is below the agent's MinKept, the agent may
	// have dropped its record of the attempt and replies in doubt instead of adding a tombstone.
	Lease Number `cbor:"3,keyasint"`
}

// Resume asks an agent to send an answer's bytes from an offset.
type Resume struct {
	ID     AttemptID      `cbor:"1,keyasint"`
	Target ident.Instance `cbor:"2,keyasint"`
	Offset int64          `cbor:"3,keyasint"`
}

// Cancel reports that no caller waits for an attempt's answer. Only runs of idempotent requests are aborted.
type Cancel struct {
	ID     AttemptID      `cbor:"1,keyasint"`
	Target ident.Instance `cbor:"2,keyasint"`
}

// KeyStatus is the state of a run key at its owner.
type KeyStatus uint8

// The states of a run key on the wire.
const (
	// KeyAbsent means that the key never ran. An owner that may not know every run replies KeyInDoubt.
	KeyAbsent KeyStatus = iota + 1
	// KeyHeld means that the key is accepted and has not been started.
	KeyHeld
	// KeyRunning means that the key is running.
	KeyRunning
	// KeyServed means that the key ran and its answer is known.
	KeyServed
	// KeyInDoubt means that the key may have run.
	KeyInDoubt
)

// Claim asks an entry which of the claimant's run keys of a service it has dispatched to other VMs,
// or to other incarnations of the agent on the claimant's VM. An entry that accepts the claim
// dispatches run keys on that VM only to the claimant from then on, under FleetVersion or a later
// one.
type Claim struct {
	Claimant     ident.Instance   `cbor:"1,keyasint"`
	Service      ident.Service    `cbor:"2,keyasint"`
	FleetVersion template.Version `cbor:"3,keyasint"`
	// Round is the claimant's counter for the service. It grows whenever all entries must answer
	// anew, and answers to earlier rounds are ignored.
	Round uint64 `cbor:"4,keyasint"`
	// List identifies the claimant's list of the service's backend servers.
	List uint64 `cbor:"5,keyasint,omitempty"`
}

// ClaimAnswer is an entry's answer to a Claim, in one or more parts.
type ClaimAnswer struct {
	Entry    ident.Instance `cbor:"1,keyasint"`
	Claimant ident.Instance `cbor:"2,keyasint"`
	Service  ident.Service  `cbor:"3,keyasint"`
	Round    uint64         `cbor:"4,keyasint"`
	// Part counts from 0 to Parts-1.
	Part  int `cbor:"5,keyasint"`
	Parts int `cbor:"6,keyasint"`
	// Refused is set if the entry did not accept the claim.
	Refused ClaimRefusal `cbor:"7,keyasint,omitempty"`
	// Superseding is the latest incarnation that claimed the VM. It is set with every refusal, but
	// only ClaimSuperseded makes the claimant stop.
	Superseding ident.Incarnation `cbor:"8,keyasint,omitempty"`
	// Covers is the time before the answer for which the entry's log is complete.
	Covers time.Duration `cbor:"9,keyasint,omitempty"`
	// ClaimsKnownFor is the time before the answer within which the entry has missed no claim: each
	// claim that all entries accepted was sent to it or reported to it by a peer.
	ClaimsKnownFor time.Duration   `cbor:"10,keyasint,omitempty"`
	Keys           []DispatchedKey `cbor:"11,keyasint,omitempty"`
	// Previous is the latest incarnation that claimed the claimant's VM before; 0 for none.
	Previous ident.Incarnation `cbor:"12,keyasint,omitempty"`
	// Peers are the latest known incarnations of other entries.
	Peers []ident.Instance `cbor:"13,keyasint,omitempty"`
	// Earlier are the replaced lists of the service's backend servers.
	Earlier []EarlierList `cbor:"14,keyasint,omitempty"`
	// Removed are the known entries that are not on the roster.
	Removed []RemovedEntry `cbor:"15,keyasint,omitempty"`
	// FleetVersion is the entry's version.
	FleetVersion template.Version `cbor:"16,keyasint,omitempty"`
	// Serial numbers the entry's answers; parts with different serials must not be combined.
	Serial uint64 `cbor:"17,keyasint"`
}

// EarlierList is a replaced list of a service's backend servers.
type EarlierList struct {
	VMs []ident.VM `cbor:"1,keyasint"`
	// Age is the time since the list was replaced.
	Age time.Duration `cbor:"2,keyasint"`
}

// RemovedEntry is a known entry that is not on the roster.
type RemovedEntry struct {
	VM ident.VM `cbor:"1,keyasint"`
	// Age is the time since the sender detected that the entry left the roster; 0 for an entry that
	// the sender never saw on it.
	Age time.Duration `cbor:"2,keyasint"`
}

// ClaimRefusal says why an entry did not accept a claim.
type ClaimRefusal uint8

// The reasons for refusing a claim.
const (
	ClaimAccepted ClaimRefusal = iota
	// ClaimSuperseded means that a later incarnation of the agent, one with a greater number, has
	// claimed the VM.
	ClaimSuperseded
	// ClaimPeersPending means that the entry does not know yet which claims its peers accepted.
	ClaimPeersPending
	// ClaimBehind means that the entry's fleet version is older than the claim's.
	ClaimBehind
	// ClaimOtherList means that the entry has another list of backend servers under the claim's
	// version. This indicates a fault: a version has one list.
	ClaimOtherList
)

// DispatchedKey is one run key of an entry's log.
type DispatchedKey struct {
	RunKey ident.RunKey   `cbor:"1,keyasint"`
	Body   Digest         `cbor:"2,keyasint"`
	Target ident.Instance `cbor:"3,keyasint"`
	// Age is the time since the last dispatch.
	Age time.Duration `cbor:"4,keyasint"`
	// Served is true if the entry knows that the key ran.
	Served bool `cbor:"5,keyasint,omitempty"`
}

// PeerQuestion asks another entry which claims it accepted.
type PeerQuestion struct {
	Asker ident.Instance `cbor:"1,keyasint"`
}

// PeerAnswer answers a PeerQuestion.
type PeerAnswer struct {
	Entry ident.Instance `cbor:"1,keyasint"`
	Asker ident.Instance `cbor:"2,keyasint"`
	// ClaimsKnownFor is as in ClaimAnswer. The entry also knows every incarnation of the asker's VM
	// that accepted claims within this time, since each asks its peers before it accepts any.
	ClaimsKnownFor time.Duration      `cbor:"3,keyasint"`
	Claims         []KnownIncarnation `cbor:"4,keyasint,omitempty"`
	// Superseding is the latest known incarnation of the asker's VM if that is later than the asker,
	// which must then restart with a still later one; otherwise 0.
	Superseding ident.Incarnation `cbor:"5,keyasint,omitempty"`
	// Previous is the incarnation of the asker's VM that asked before; 0 for none.
	Previous ident.Incarnation `cbor:"6,keyasint,omitempty"`
	// Log is the final log of that incarnation, if it handed it over; nil otherwise.
	Log *LogHandOver `cbor:"7,keyasint,omitempty"`
	// Peers are the latest known incarnations of entries.
	Peers []ident.Instance `cbor:"8,keyasint,omitempty"`
}

// LogHandOver carries the log of an entry that stops to another entry, which keeps it for the
// next incarnation of the VM.
type LogHandOver struct {
	From ident.Instance `cbor:"1,keyasint"`
	To   ident.VM       `cbor:"2,keyasint"`
	// Covers is the time before the message for which the log is complete.
	Covers time.Duration   `cbor:"3,keyasint"`
	Keys   []DispatchedKey `cbor:"4,keyasint,omitempty"`
}

// LogHandOverAck confirms that a LogHandOver is stored. From is that of the LogHandOver, and thus
// the receiver of this message.
type LogHandOverAck struct {
	From ident.Instance `cbor:"1,keyasint"`
}

// KnownIncarnation holds the two latest incarnations that an entry knows of the process on a VM. For
// an agent's VM these are the incarnations that claimed it.
type KnownIncarnation struct {
	VM      ident.VM          `cbor:"1,keyasint"`
	Current ident.Incarnation `cbor:"2,keyasint"`
	// Previous is the latest known incarnation before Current; 0 for none.
	Previous ident.Incarnation `cbor:"3,keyasint,omitempty"`
}

// ReleaseRequest asks the agent on the VM of an earlier owner to hand over the run keys that
// the asker owns.
type ReleaseRequest struct {
	Asker        ident.Instance   `cbor:"1,keyasint"`
	Service      ident.Service    `cbor:"2,keyasint"`
	FleetVersion template.Version `cbor:"3,keyasint"`
	Round        uint64           `cbor:"4,keyasint"`
}

// HandOver carries run keys to their new owner. After sending it, the sender runs none of the
// keys that the receiver owns under FleetVersion.
type HandOver struct {
	From         ident.Instance   `cbor:"1,keyasint"`
	To           ident.VM         `cbor:"2,keyasint"`
	Service      ident.Service    `cbor:"3,keyasint"`
	FleetVersion template.Version `cbor:"4,keyasint"`
	// Round is the round of the ReleaseRequest, or 0 for a hand-over that was not requested.
	Round uint64        `cbor:"5,keyasint,omitempty"`
	Keys  []KeyTransfer `cbor:"6,keyasint,omitempty"`
	// CompleteFor is the ID of the list of backend servers for which the sender knows every run,
	// within the retention, of the keys that it owned under that list; 0 if there is no such list.
	CompleteFor uint64 `cbor:"7,keyasint,omitempty"`
	// Final is true if the sender is stopping and starts no further run.
	Final bool `cbor:"8,keyasint,omitempty"`
	// Custody is true for keys that the custodian, the agent on the VM To, keeps for the next
	// incarnation on the VM of From. The custodian sends them on to that incarnation with the same
	// From, To and Custody.
	Custody bool `cbor:"9,keyasint,omitempty"`
	// List identifies the list of backend servers by which the sender selected the keys.
	List uint64 `cbor:"10,keyasint"`
	// Part counts from 0 to Parts-1; parts with the same Serial belong together.
	Part   int    `cbor:"11,keyasint"`
	Parts  int    `cbor:"12,keyasint"`
	Serial uint64 `cbor:"13,keyasint"`
}

// KeyTransfer is one run key of a HandOver.
type KeyTransfer struct {
	RunKey ident.RunKey `cbor:"1,keyasint"`
	Body   Digest       `cbor:"2,keyasint"`
	Status KeyStatus    `cbor:"3,keyasint"`
	// ExpiresIn is the time until the key expires.
	ExpiresIn time.Duration   `cbor:"4,keyasint"`
	Outcome   outcome.Outcome `cbor:"5,keyasint,omitempty"`
	Answer    Answer          `cbor:"6,keyasint,omitempty"`
	// Content is the answer's body; nil if it was too large to keep.
	Content []byte `cbor:"7,keyasint,omitempty"`
}

// HandOverAck confirms that the keys of a HandOver are stored. From and To are as in the HandOver:
// the receiver of this message and the agent that stored the keys.
type HandOverAck struct {
	From         ident.VM         `cbor:"1,keyasint"`
	To           ident.Instance   `cbor:"2,keyasint"`
	Service      ident.Service    `cbor:"3,keyasint"`
	FleetVersion template.Version `cbor:"4,keyasint"`
	Custody      bool             `cbor:"5,keyasint,omitempty"`
}

// Ticket allows one run by one incarnation of an agent, and by no other.
type Ticket struct {
	Owner  ident.Instance `cbor:"1,keyasint"`
	Number uint64         `cbor:"2,keyasint"`
}

// TicketRequest asks an agent for a ticket.
type TicketRequest struct {
	Entry   ident.Instance `cbor:"1,keyasint"`
	Request ident.Request  `cbor:"2,keyasint"`
	Service ident.Service  `cbor:"3,keyasint"`
}

// TicketReply carries a fresh ticket, or the outcome of a refusal.
type TicketReply struct {
	Entry   ident.Instance  `cbor:"1,keyasint"`
	Request ident.Request   `cbor:"2,keyasint"`
	Ticket  Ticket          `cbor:"3,keyasint"`
	Refused outcome.Outcome `cbor:"4,keyasint,omitempty"`
	// ValidFor is the time for which the ticket can be used.
	ValidFor time.Duration `cbor:"5,keyasint,omitempty"`
}

// KeyQuestion asks an owner for the state of a run key.
type KeyQuestion struct {
	Entry   ident.Instance `cbor:"1,keyasint"`
	Request ident.Request  `cbor:"2,keyasint"`
	RunKey  ident.RunKey   `cbor:"3,keyasint"`
}

// KeyAnswer answers a KeyQuestion.
type KeyAnswer struct {
	Entry   ident.Instance  `cbor:"1,keyasint"`
	Request ident.Request   `cbor:"2,keyasint"`
	RunKey  ident.RunKey    `cbor:"3,keyasint"`
	Status  KeyStatus       `cbor:"4,keyasint"`
	Outcome outcome.Outcome `cbor:"5,keyasint,omitempty"`
	Answer  Answer          `cbor:"6,keyasint,omitempty"`
}

// CrashReport names the requests that were running when a backend server crashed.
type CrashReport struct {
	Agent ident.Instance `cbor:"1,keyasint"`
	// Crash numbers the crashes within this incarnation of the agent.
	Crash uint64 `cbor:"2,keyasint"`
	// Running are the requests that were running.
	Running []Fingerprint `cbor:"3,keyasint,omitempty"`
	// Group is the model group of the backend server, whose ranks all fail together; "" outside
	// groups.
	Group ident.Group `cbor:"4,keyasint,omitempty"`
	// Alone is true if a suspect ran alone on the backend server.
	Alone bool `cbor:"5,keyasint,omitempty"`
}

// QuarantineNotice reports to all entries that a request is refused from now on.
type QuarantineNotice struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Crashes is the number of crashes of backend servers on which the request was running.
	Crashes int `cbor:"2,keyasint"`
	// ExpiresIn is the time until the request may run again.
	ExpiresIn time.Duration `cbor:"3,keyasint"`
	// Members is set if requests are refused that have all these fingerprints; Fingerprint is then their digest.
	Members []Fingerprint `cbor:"4,keyasint,omitempty"`
}
