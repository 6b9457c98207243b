// Package routing chooses the backend server, and the rank within its group, that a
// request is sent to. Filters rule candidates out, scorers rate the others, and a
// chooser picks one. A pick is a pure function of its inputs and of the picker's seed.
package routing

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// NoRank stands for a request that is not bound to a rank.
const NoRank ident.Rank = -1

// Block is the hash of a prefix of a prompt that ends at a block of the engine's cache.
type Block uint64

// Request is what routing looks at of one request.
type Request struct {
	ID      ident.Request
	Service ident.Service
	// Zone is the zone of the entry.
	Zone ident.Zone
	// Blocks are the hashes of the prompt's prefixes, shortest first; empty for plain services.
	Blocks []Block
	// PromptTokens and OutputTokens are the known and the expected number of tokens.
	PromptTokens int
	OutputTokens int
	// Deadline is when the answer must have started; zero if none.
	Deadline time.Time
	// Excluded are backend servers that must not be chosen, such as those that refused it.
	Excluded []ident.VM
	// Owner is the only backend server that may run the request; "" if any may.
	Owner ident.VM
	// RunAlone is true for a request suspected of crashing its backend server. It goes to
	// an idle backend server or else to a fixed one, whose agent runs it alone.
	RunAlone bool
}

// Rank is what is known of one rank of a candidate.
type Rank struct {
	Rank ident.Rank
	// Tokens is the number of tokens that the rank has yet to process.
	Tokens int
	// CacheUsed is the share of the rank's KV cache in use, from 0 to 1.
	CacheUsed float64
}

// Candidate is one backend server in a snapshot.
type Candidate struct {
	membership.BackendView
	Zone ident.Zone
	// Capacity is the number of requests that the backend server runs at once.
	Capacity int
	// Group is the model group; "" outside groups.
	Group ident.Group
	// Ranks are the ranks of the group that the backend server holds.
	Ranks []Rank
	// Straggler is true if the backend server is known to be much slower than its peers.
	Straggler bool
	// Suspects is the number of requests suspected of crashes that are open there.
	Suspects int
	// PendingTokens is the number of tokens of this entry's dispatches since the load report.
	PendingTokens int
}

// PrefixLookup tells how much of a prompt a backend server has cached.
type PrefixLookup interface {
	// Match returns the number of leading blocks that the backend server probably holds.
	Match(now time.Time, vm ident.VM, blocks []Block) int
}

// Snapshot is what an entry knows at the time of a pick. It is not changed by picks.
type Snapshot struct {
	// Candidates are the backend servers of the request's service, in the order of their VMs.
	Candidates []Candidate
	// Prefixes tells what is cached where; nil if nothing is known.
	Prefixes PrefixLookup
}

// Decision is the result of a pick: a target, or the cause of a refusal.
type Decision struct {
	// Cause is CauseNone if a target was found.
	Cause       outcome.Cause
	VM          ident.VM
	Incarnation ident.Incarnation
	Lease       membership.LeaseNumber
	// Rank is the rank to enter at, or NoRank.
	Rank ident.Rank
	// PrefixBlocks is the number of the prompt's blocks that the target probably holds.
	PrefixBlocks int
	// Wait is the estimated time until the answer starts; 0 if unknown.
	Wait time.Duration
	// RetryAfter is the estimated time until a refused request may find room; 0 if unknown.
	RetryAfter time.Duration
}

// Rejection is why a filter ruled a candidate out.
type Rejection uint8

// The reasons to rule a candidate out, from the weakest to the strongest: the refusal of
// a request names the cause of its strongest one.
const (
	Accepted Rejection = iota
	RejectedNotOwner
	RejectedUnusable
	RejectedExcluded
	RejectedLeaving
	RejectedFull
	RejectedNotAlone
	RejectedLate
)

// Filter rules candidates out.
type Filter interface {
	Check(now time.Time, request *Request, candidate *Candidate) Rejection
}

// Scorer rates a candidate: the estimated cost of choosing it, in seconds.
type Scorer interface {
	Cost(now time.Time, request *Request, candidate *Candidate, match Match) float64
}

// Match is what is known of the prompt's prefix at a candidate.
type Match struct {
	// Blocks is the number of leading blocks that are probably cached.
	Blocks int
	// Share is Blocks as a share of all blocks, from 0 to 1.
	Share float64
}

// Scored is a candidate with its cost.
type Scored struct {
	// Index is the candidate's place in the snapshot.
	Index int
	Cost  float64
	Match Match
}

// Chooser picks one of the scored candidates, of which there is at least one.
type Chooser interface {
	Choose(draw uint64, scored []Scored) int
}
