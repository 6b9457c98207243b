// Package routing chooses the backend server, and the rank within its group, for a request. Filters exclude candidates,
// scorers assign costs to the others, and a chooser picks one of them. A pick depends only on its inputs, the picker's
// seed and the number of earlier picks.
//
// Entries that send requests through agents use Picker with snapshots of leased backend servers. Entries that send
// directly to backend servers use one Server for each backend server, and Table, which holds the routes, services and
// credentials.
package routing

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// NoRank is the rank of a request that is not bound to a rank.
const NoRank ident.Rank = -1

// Block is the hash of a prefix of a prompt that ends at a block boundary of the engine's cache.
type Block uint64

// Request holds the properties of a request that routing uses.
type Request struct {
	ID      ident.Request
	Service ident.Service
	// Zone is the availability zone of the entry.
	Zone ident.Zone
	// Blocks are the hashes of the prompt's prefixes, shortest first; empty for plain services.
	Blocks []Block
	// PromptTokens is the number of tokens in the prompt, OutputTokens the expected number in the answer.
	PromptTokens int
	OutputTokens int
	// Deadline is the latest time for the start of the answer; zero if there is none.
	Deadline time.Time
	// Excluded lists backend servers that must not be chosen, such as those that refused the request.
	Excluded []ident.VM
	// Owner is the only backend server that may run the request; "" if any may.
	Owner ident.VM
	// RunAlone is true for a request suspected of crashing its backend server. It is sent to an idle backend server,
	// or else to a fixed one, whose agent runs it alone.
	RunAlone bool
}

// Rank is the load of one rank of a candidate.
type Rank struct {
	Rank ident.Rank
	// Tokens is the number of tokens that the rank has yet to process.
	Tokens int
	// CacheUsed is the fraction of the rank's KV cache in use, from 0 to 1.
	CacheUsed float64
}

// Candidate is one backend server in a snapshot.
type Candidate struct {
	membership.BackendView
	Zone ident.Zone
	// Capacity is the number of requests that the backend server runs at a time.
	Capacity int
	// Group is the model group; "" for a backend server outside groups.
	Group ident.Group
	// Ranks are the ranks of the group that the backend server holds.
	Ranks []Rank
	// Straggler is true if the backend server is known to be much slower than its peers.
	Straggler bool
	// SuspectRequests is the number of this entry's open requests at the backend server that are suspected of crashing
	// backend servers.
	SuspectRequests int
	// PendingTokens is the number of prompt tokens that this entry has dispatched since the latest load report.
	PendingTokens int
}

// PrefixLookup estimates how much of a prompt a backend server has cached.
type PrefixLookup interface {
	// Match returns the number of leading blocks that the backend server probably has cached.
	Match(now time.Time, vm ident.VM, blocks []Block) int
}

// Snapshot is the state of a service at an entry at the time of a pick. Picks do not change the candidates, but they
// refresh the last use of matching entries in a PrefixIndex.
type Snapshot struct {
	// Candidates are the backend servers of the request's service, sorted by VM.
	Candidates []Candidate
	// Prefixes estimates which prefixes are cached where; nil if nothing is known.
	Prefixes PrefixLookup
}

// Decision is the result of a pick: a target, or the cause of a refusal.
type Decision struct {
	// Cause is CauseNone if a target was found.
	Cause       outcome.Cause
	VM          ident.VM
	Incarnation ident.Incarnation
	Lease       membership.LeaseNumber
	// Rank is the rank to send the request to, or NoRank.
	Rank ident.Rank
	// PrefixBlocks is the number of the prompt's blocks that the target probably has cached.
	PrefixBlocks int
	// Wait is the estimated time until the answer starts; 0 if unknown.
	Wait time.Duration
	// RetryAfter is the estimated time until a refused request can be accepted; 0 if unknown.
	RetryAfter time.Duration
}

// Rejection is the reason for which a filter excludes a candidate.
type Rejection uint8

// The reasons to exclude a candidate. If all candidates are excluded, the refusal of the request states the cause for the
// greatest of their reasons. Roughly, a greater value means that the candidate came closer to running the request. From
// RejectedFull on, the refusal has a RetryAfter.
const (
	Accepted Rejection = iota
	RejectedNotOwner
	RejectedUnusable
	RejectedExcluded
	RejectedLeaving
	RejectedFull
	RejectedRunsSuspect
	RejectedLate
)

// Filter excludes candidates. It returns Accepted for those that remain.
type Filter interface {
	Check(now time.Time, request *Request, candidate *Candidate) Rejection
}

// Scorer estimates the cost of choosing a candidate, in seconds.
type Scorer interface {
	Cost(now time.Time, request *Request, candidate *Candidate, match Match) float64
}

// Match states how much of the prompt a candidate probably has cached.
type Match struct {
	// Blocks is the number of leading blocks that are probably cached.
	Blocks int
	// Share is Blocks as a fraction of the prompt's blocks, from 0 to 1.
	Share float64
}

// Scored is a candidate with its total cost in seconds.
type Scored struct {
	// Index is the candidate's index in the snapshot.
	Index int
	Cost  float64
	Match Match
}

// Chooser picks one of the scored candidates and returns its index in scored. There is at least one candidate. The
// draw is a uniformly distributed random number.
type Chooser interface {
	Choose(draw uint64, scored []Scored) int
}
