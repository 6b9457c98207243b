package membership

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// LeaseNumber numbers the grants of one incarnation of an agent, from 1.
type LeaseNumber uint64

// Sequence numbers the lease requests of one entry to one agent, from 1.
type Sequence uint64

// Milliseconds is a duration as it is sent in messages.
type Milliseconds uint32

// Duration converts to a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// ToMilliseconds rounds a duration down to milliseconds. Negative durations become 0, and too large
// ones the maximum.
func ToMilliseconds(d time.Duration) Milliseconds {
	if d < 0 {
		return 0
	}
	return Milliseconds(min(d/time.Millisecond, 1<<32-1))
}

// PerMille is a share in thousandths.
type PerMille uint16

// Load is the load of a backend server, as its agent reports it.
type Load struct {
	// Running is the number of requests that the engine runs.
	Running uint32 `cbor:"1,keyasint,omitempty"`
	// Waiting is the number of requests that wait at the agent or in the engine.
	Waiting uint32 `cbor:"2,keyasint,omitempty"`
	// Tokens is the number of prompt tokens that the open requests have yet to process.
	Tokens uint32 `cbor:"3,keyasint,omitempty"`
	// CacheUsed is the share of the KV cache in use.
	CacheUsed PerMille `cbor:"4,keyasint,omitempty"`
	// StepTime is the recent mean duration of the engine's steps, in microseconds.
	StepTime uint32 `cbor:"5,keyasint,omitempty"`
	// Age is the time since the engine made the report.
	Age Milliseconds `cbor:"6,keyasint,omitempty"`
	// Ranks are the loads of the ranks that the backend server holds; empty outside groups.
	Ranks []RankLoad `cbor:"7,keyasint,omitempty"`
}

// RankLoad is the load of one rank of a model group.
type RankLoad struct {
	Rank ident.Rank `cbor:"1,keyasint"`
	// Tokens is the number of tokens that the rank's open requests have yet to process.
	Tokens uint32 `cbor:"2,keyasint,omitempty"`
	// CacheUsed is the share of the rank's KV cache in use.
	CacheUsed PerMille `cbor:"3,keyasint,omitempty"`
}

// LeaseRequest asks an agent for a lease. It also serves as the entry's heartbeat and,
// sent over a new connection, as a probe.
type LeaseRequest struct {
	Sequence Sequence `cbor:"1,keyasint"`
	// Held is the LeaseNumber of the last grant that the entry received; 0 if none.
	Held LeaseNumber `cbor:"2,keyasint,omitempty"`
	// Incarnation is the incarnation of the agent that made the grant Held; 0 if none.
	Incarnation ident.Incarnation `cbor:"3,keyasint,omitempty"`
	// Demand is the number of requests that the entry could keep open at the agent.
	Demand uint32 `cbor:"4,keyasint,omitempty"`
	// Config is the version that the entry has in force.
	Config template.Version `cbor:"5,keyasint,omitempty"`
}

// LeaseGrant answers a lease request. It may also come with the answer to a dispatch.
type LeaseGrant struct {
	// Sequence is the sequence number of the request that it answers.
	Sequence    Sequence          `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	// Number identifies the lease; 0 if none is granted.
	Number LeaseNumber `cbor:"3,keyasint,omitempty"`
	// Duration counts from the moment the entry sent the request.
	Duration Milliseconds `cbor:"4,keyasint,omitempty"`
	// Credits is the number of requests that the entry may have open at the agent.
	Credits uint32 `cbor:"5,keyasint,omitempty"`
	Load    Load   `cbor:"6,keyasint,omitempty"`
	// Leaving is true if the backend server is leaving and accepts no new requests.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// Config is the version that the agent has in force.
	Config template.Version `cbor:"8,keyasint,omitempty"`
}

// Leaving notifies an entry that a backend server is leaving and accepts no new requests.
type Leaving struct {
	Incarnation ident.Incarnation `cbor:"1,keyasint"`
}

// Stamp identifies one configuration. Stamps are totally ordered, by version first.
type Stamp struct {
	Version template.Version `cbor:"1,keyasint"`
	// Digest is the digest of the whole value.
	Digest Digest `cbor:"2,keyasint"`
}

// Digest is the first 8 bytes of a SHA-256 hash, read as a big-endian number.
type Digest uint64

// Less reports whether the stamp is older than the other.
func (s Stamp) Less(other Stamp) bool {
	if s.Version != other.Version {
		return s.Version < other.Version
	}
	return s.Digest < other.Digest
}

// IsZero reports whether the stamp stands for no configuration.
func (s Stamp) IsZero() bool {
	return s == Stamp{}
}

// ReaderHeartbeat is the last heartbeat of a process that watches the configuration service.
type ReaderHeartbeat struct {
	VM ident.VM `cbor:"1,keyasint"`
	// Age is the time since the reader sent the heartbeat, as measured by the sender of the message.
	Age Milliseconds `cbor:"2,keyasint,omitempty"`
}

// ConfigDigest is the message that announces the sender's configuration to a peer by its stamp. The type
// Digest is a hash. A ConfigDigest is sent
//   - as an offer as soon as a new configuration is in force,
//   - periodically,
//   - in answer to a ConfigDigest with Ask or with an older stamp,
//   - in answer to a ConfigFetch for a newer configuration than the sender's,
//   - with Ask: by a process that starts, resumes after a pause or gets its first peers; by one that
//     received a newer version in a lease message; and by a standby process that polls the readers.
type ConfigDigest struct {
	Held Stamp `cbor:"1,keyasint"`
	// Ask requests a ConfigDigest in return.
	Ask bool `cbor:"2,keyasint,omitempty"`
	// Readers are heartbeats of the readers in the sender's zone; empty if the peer is in another
	// zone.
	Readers []ReaderHeartbeat `cbor:"3,keyasint,omitempty"`
}

// ConfigFetch requests a configuration from a peer.
type ConfigFetch struct {
	// Want is the oldest configuration that the peer may send. If the peer has a newer one, it sends
	// that; if it has only an older one or none, it answers with a ConfigDigest.
	Want Stamp `cbor:"1,keyasint"`
	// Have is the configuration that the answer may use as the base of a delta.
	Have Stamp `cbor:"2,keyasint,omitempty"`
}

// Segment is a sequence of consecutive chunks of a configuration: either copied from the base
// configuration or listed by digest.
type Segment struct {
	// From is the index of the first copied chunk of the base.
	From uint32 `cbor:"1,keyasint,omitempty"`
	// Count is the number of copied chunks.
	Count uint32 `cbor:"2,keyasint,omitempty"`
	// Chunks are the digests of the listed chunks; empty if chunks are copied.
	Chunks []Digest `cbor:"3,keyasint,omitempty"`
}

// ConfigManifest answers a ConfigFetch. It lists the chunks of a configuration and carries the
// contents of those that the base lacks, up to maxMessageBodyBytes. The receiver requests the others by
// ConfigChunksRequest.
type ConfigManifest struct {
	Stamp Stamp `cbor:"1,keyasint"`
	// Base is the configuration that segments copy from; zero if none do.
	Base     Stamp     `cbor:"2,keyasint,omitempty"`
	Segments []Segment `cbor:"3,keyasint,omitempty"`
	// Bodies are contents of listed chunks.
	Bodies [][]byte `cbor:"4,keyasint,omitempty"`
}

// ConfigChunksRequest requests chunks of a configuration from a peer.
type ConfigChunksRequest struct {
	Stamp  Stamp    `cbor:"1,keyasint"`
	Chunks []Digest `cbor:"2,keyasint"`
}

// ConfigChunks carries contents of chunks. A chunk that the sender lacks, or that would exceed
// maxMessageBodyBytes, is left out; the receiver requests it again.
type ConfigChunks struct {
	Stamp  Stamp    `cbor:"1,keyasint"`
	Bodies [][]byte `cbor:"2,keyasint"`
}

// ConfigMessage is a message between configuration nodes.
type ConfigMessage interface{ isConfigMessage() }

func (ConfigDigest) isConfigMessage()        {}
func (ConfigFetch) isConfigMessage()         {}
func (ConfigManifest) isConfigMessage()      {}
func (ConfigChunksRequest) isConfigMessage() {}
func (ConfigChunks) isConfigMessage()        {}
