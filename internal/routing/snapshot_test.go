package routing_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// TestSnapshotJoinsLoadsAndDispatches checks that a snapshot contains the listed backend servers with a lease, and adds this
// entry's dispatches since the load report.
func TestSnapshotJoinsLoadsAndDispatches(t *testing.T) {
	c := qt.New(t)
	builder := routing.NewSnapshotBuilder([]fleet.BackendServer{
		{VM: "c", Zone: "z1", Capacity: 4, Group: "g", Ranks: []ident.Rank{6, 7}},
		{VM: "a", Zone: "z0", Capacity: 8},
	})
	load := membership.Load{Ranks: []membership.RankLoad{{Rank: 7, Tokens: 100, CacheUsed: 500}}}
	views := []membership.BackendView{{VM: "a"}, {VM: "b"}, {VM: "c", Load: load}}
	request := routing.Request{PromptTokens: 1000, Blocks: make([]routing.Block, 4), RunAlone: true}
	builder.RecordDispatch(&request, routing.Decision{VM: "c", Rank: 7, PrefixBlocks: 1})
	builder.SetStraggler("a", true)

	list := builder.Build(views, nil).Candidates
	c.Assert(list, qt.HasLen, 2)
	c.Check(list[0].VM, qt.Equals, ident.VM("a"))
	c.Check(list[0].Capacity, qt.Equals, 8)
	c.Check(list[0].Straggler, qt.IsTrue)
	c.Check(list[0].PendingTokens, qt.Equals, 0)
	c.Check(list[1].Zone, qt.Equals, ident.Zone("z1"))
	c.Check(list[1].PendingTokens, qt.Equals, 750)
	c.Check(list[1].SuspectRequests, qt.Equals, 1)
	c.Check(list[1].Ranks, qt.DeepEquals, []routing.Rank{{Rank: 6}, {Rank: 7, Tokens: 850, CacheUsed: 0.5}})

	builder.RecordLoadReport("c")
	builder.RecordEnd("c", true)
	builder.SetStraggler("a", false)
	list = builder.Build(views, nil).Candidates
	c.Check(list[0].Straggler, qt.IsFalse)
	c.Check(list[1].PendingTokens, qt.Equals, 0)
	c.Check(list[1].SuspectRequests, qt.Equals, 0)
	c.Check(list[1].Ranks[1].Tokens, qt.Equals, 100)

	builder.RecordDispatch(&request, routing.Decision{VM: "c", Rank: routing.NoRank})
	builder.SetBackends([]fleet.BackendServer{{VM: "a"}})
	builder.SetBackends([]fleet.BackendServer{{VM: "a"}, {VM: "c"}})
	list = builder.Build(views, nil).Candidates
	c.Assert(list, qt.HasLen, 2)
	c.Check(list[1].PendingTokens, qt.Equals, 0)
	c.Check(list[1].Ranks, qt.HasLen, 0)
}
