package routing

import (
	"slices"
	"strings"

	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// localState is the entry's own load on one backend server.
type localState struct {
	// tokens is the number of prompt tokens dispatched since the latest load report.
	tokens int
	// ranks is the number of prompt tokens dispatched to each rank since then.
	ranks map[ident.Rank]int
	// suspectRequests is the number of this entry's open requests suspected of crashing backend servers.
	suspectRequests int
}

// SnapshotBuilder builds the snapshots of one service. It joins the backend servers of the fleet document with their
// leases and load reports, and adds the entry's own dispatches since each report. It is not safe for concurrent use.
type SnapshotBuilder struct {
	backends   []fleet.BackendServer
	local      map[ident.VM]*localState
	stragglers map[ident.VM]bool
	candidates []Candidate
}

// NewSnapshotBuilder returns a builder for the backend servers of a service in the fleet document.
func NewSnapshotBuilder(backends []fleet.BackendServer) *SnapshotBuilder {
	b := &SnapshotBuilder{local: map[ident.VM]*localState{}, stragglers: map[ident.VM]bool{}}
	b.SetBackends(backends)
	return b
}

// SetBackends replaces the service's backend servers by those of a new fleet document. It removes the entry's own load on
// those that are no longer listed, but keeps whether they are stragglers.
func (b *SnapshotBuilder) SetBackends(backends []fleet.BackendServer) {
	b.backends = slices.Clone(backends)
	slices.SortFunc(b.backends, func(x, y fleet.BackendServer) int { return strings.Compare(string(x.VM), string(y.VM)) })
	kept := make(map[ident.VM]*localState, len(backends))
	for _, backend := range b.backends {
		if known := b.local[backend.VM]; known != nil {
			kept[backend.VM] = known
		}
	}
	b.local = kept
}

// SetStraggler records whether a backend server is known to be much slower than its peers.
func (b *SnapshotBuilder) SetStraggler(vm ident.VM, slow bool) {
	if slow {
		b.stragglers[vm] = true
		return
	}
	delete(b.stragglers, vm)
}

// RecordDispatch records a request that was sent to the target of a decision.
func (b *SnapshotBuilder) RecordDispatch(request *Request, decision Decision) {
	state := b.stateOf(decision.VM)
	tokens := request.PromptTokens
	if len(request.Blocks) > 0 {
		tokens -= tokens * decision.PrefixBlocks / len(request.Blocks)
	}
	state.tokens += tokens
	if decision.Rank != NoRank {
		state.ranks[decision.Rank] += tokens
	}
	if request.RunAlone {
		state.suspectRequests++
	}
}

// RecordEnd records the end of a request at a backend server; runAlone is that of the request.
func (b *SnapshotBuilder) RecordEnd(vm ident.VM, runAlone bool) {
	if state := b.local[vm]; state != nil && runAlone {
		state.suspectRequests -= min(state.suspectRequests, 1)
	}
}

// RecordLoadReport records a new load report, which includes the dispatches made before.
func (b *SnapshotBuilder) RecordLoadReport(vm ident.VM) {
	if state := b.local[vm]; state != nil {
		state.tokens = 0
		clear(state.ranks)
	}
}

// Build returns the snapshot for the leases that the entry holds. The views must be sorted by VM. The snapshot is valid
// until the next call.
func (b *SnapshotBuilder) Build(views []membership.BackendView, prefixes PrefixLookup) Snapshot {
	b.candidates = b.candidates[:0]
	next := 0
	for _, view := range views {
		for next < len(b.backends) && b.backends[next].VM < view.VM {
			next++
		}
		if next < len(b.backends) && b.backends[next].VM == view.VM {
			b.add(view, &b.backends[next])
		}
	}
	return Snapshot{Candidates: b.candidates, Prefixes: prefixes}
}

func (b *SnapshotBuilder) add(view membership.BackendView, backend *fleet.BackendServer) {
	b.candidates = slices.Grow(b.candidates, 1)[:len(b.candidates)+1]
	c := &b.candidates[len(b.candidates)-1]
	ranks := c.Ranks[:0]
	state := b.local[view.VM]
	*c = Candidate{
		BackendView: view,
		Zone:        backend.Zone,
		Capacity:    backend.Capacity,
		Group:       backend.Group,
		Straggler:   b.stragglers[view.VM],
	}
	if state != nil {
		c.PendingTokens = state.tokens
		c.SuspectRequests = state.suspectRequests
	}
	for _, rank := range backend.Ranks {
		ranks = append(ranks, rankOf(rank, view.Load.Ranks, state))
	}
	c.Ranks = ranks
}

// rankOf returns the reported load of a rank plus the entry's own dispatches since the report.
func rankOf(rank ident.Rank, loads []membership.RankLoad, state *localState) Rank {
	r := Rank{Rank: rank}
	for _, load := range loads {
		if load.Rank == rank {
			r.Tokens = int(load.Tokens)
			r.CacheUsed = float64(load.CacheUsed) / 1000
		}
	}
	if state != nil {
		r.Tokens += state.ranks[rank]
	}
	return r
}

func (b *SnapshotBuilder) stateOf(vm ident.VM) *localState {
	state := b.local[vm]
	if state == nil {
		state = &localState{ranks: map[ident.Rank]int{}}
		b.local[vm] = state
	}
	return state
}
