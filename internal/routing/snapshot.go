package routing

import (
	"slices"
	"strings"

	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

// own is what an entry knows of its own dispatches to one backend server.
type own struct {
	// tokens are the prompt tokens dispatched since the last load report.
	tokens int
	// ranks are the prompt tokens dispatched to each rank since then.
	ranks map[ident.Rank]int
	// suspects is the number of open requests suspected of crashes.
	suspects int
}

// SnapshotBuilder makes the snapshots of one service: it joins the published backend
// servers with their leases and loads, and corrects the loads by the entry's own
// dispatches since they were reported. It is not safe for concurrent use.
type SnapshotBuilder struct {
	backends   []fleet.BackendServer
	own        map[ident.VM]*own
	stragglers map[ident.VM]bool
	candidates []Candidate
}

// NewSnapshotBuilder returns a builder for the backend servers of a service.
func NewSnapshotBuilder(backends []fleet.BackendServer) *SnapshotBuilder {
	b := &SnapshotBuilder{own: map[ident.VM]*own{}, stragglers: map[ident.VM]bool{}}
	b.SetBackends(backends)
	return b
}

// SetBackends replaces the published backend servers, and forgets those no longer listed.
func (b *SnapshotBuilder) SetBackends(backends []fleet.BackendServer) {
	b.backends = slices.Clone(backends)
	slices.SortFunc(b.backends, func(x, y fleet.BackendServer) int { return strings.Compare(string(x.VM), string(y.VM)) })
	kept := make(map[ident.VM]*own, len(backends))
	for _, backend := range b.backends {
		if known := b.own[backend.VM]; known != nil {
			kept[backend.VM] = known
		}
	}
	b.own = kept
}

// SetStraggler notes whether a backend server is known to be much slower than its peers.
func (b *SnapshotBuilder) SetStraggler(vm ident.VM, slow bool) {
	if slow {
		b.stragglers[vm] = true
		return
	}
	delete(b.stragglers, vm)
}

// Dispatched notes a request that was sent to the target of a decision.
func (b *SnapshotBuilder) Dispatched(request *Request, decision Decision) {
	o := b.of(decision.VM)
	tokens := request.PromptTokens
	if len(request.Blocks) > 0 {
		tokens -= tokens * decision.PrefixBlocks / len(request.Blocks)
	}
	o.tokens += tokens
	if decision.Rank != NoRank {
		o.ranks[decision.Rank] += tokens
	}
	if request.RunAlone {
		o.suspects++
	}
}

// Ended notes the end of a request at a backend server.
func (b *SnapshotBuilder) Ended(vm ident.VM, runAlone bool) {
	if o := b.own[vm]; o != nil && runAlone {
		o.suspects -= min(o.suspects, 1)
	}
}

// LoadReported notes a new load report, which contains the dispatches made before.
func (b *SnapshotBuilder) LoadReported(vm ident.VM) {
	if o := b.own[vm]; o != nil {
		o.tokens = 0
		clear(o.ranks)
	}
}

// Build returns the snapshot for the leases that the entry holds, which must be in the
// order of their VMs. It is valid until the next call.
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
	o := b.own[view.VM]
	*c = Candidate{
		BackendView: view,
		Zone:        backend.Zone,
		Capacity:    backend.Capacity,
		Group:       backend.Group,
		Straggler:   b.stragglers[view.VM],
	}
	if o != nil {
		c.PendingTokens = o.tokens
		c.Suspects = o.suspects
	}
	for _, rank := range backend.Ranks {
		ranks = append(ranks, rankOf(rank, view.Load.Ranks, o))
	}
	c.Ranks = ranks
}

// rankOf returns the reported load of a rank with the entry's own dispatches since.
func rankOf(rank ident.Rank, loads []membership.RankLoad, o *own) Rank {
	r := Rank{Rank: rank}
	for _, load := range loads {
		if load.Rank == rank {
			r.Tokens = int(load.Tokens)
			r.CacheUsed = float64(load.CacheUsed) / 1000
		}
	}
	if o != nil {
		r.Tokens += o.ranks[rank]
	}
	return r
}

func (b *SnapshotBuilder) of(vm ident.VM) *own {
	o := b.own[vm]
	if o == nil {
		o = &own{ranks: map[ident.Rank]int{}}
		b.own[vm] = o
	}
	return o
}
