package rankagent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/datagram"
	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

func prepareOrder(rank ident.Rank, version uint64, placement expert.LayerPlacements) *datagram.Order {
	return &datagram.Order{Rank: rank, Order: expert.LockstepOrder{Kind: expert.LockstepPrepare, Version: version, Placement: placement}}
}

func TestOrdersCarryOnlyChangesToAgentsThatKnowTheRest(t *testing.T) {
	c := qt.New(t)
	first := expert.LayerPlacements{{{0, 1}, {2, 3}}, {{0, 2}, {1, 3}}}
	second := expert.LayerPlacements{{{0, 1}, {2, 3}}, {{0, 2}, {0, 3}}}
	third := expert.LayerPlacements{{{0, 2}, {2, 3}}, {{0, 2}, {0, 3}}}
	leader, agent := placementBook{}, placementBook{}
	give := func(version uint64, placement expert.LayerPlacements) (*datagram.Order, bool) {
		order := prepareOrder(1, version, placement)
		leader.shorten(order)
		whole := order.Base == 0
		taken := agent.complete(order)
		reply := newReply(order)
		reply.Result = expert.LockstepUnanswered
		if taken {
			c.Assert(order.Order.Placement, qt.DeepEquals, placement)
			reply.Result = expert.LockstepAccepted
		}
		leader.answered(reply)
		return order, whole
	}
	_, whole := give(1, first)
	c.Assert(whole, qt.IsTrue)
	order, whole := give(2, second)
	c.Assert(whole, qt.IsFalse)
	c.Assert(order.Changes, qt.DeepEquals, []expert.PlacementChange{{Layer: 1, Rank: 1, Experts: []expert.Expert{0, 3}}})
	again := prepareOrder(1, 2, nil)
	again.Base, again.Changes = 1, order.Changes
	c.Assert(agent.complete(again), qt.IsTrue, qt.Commentf("a copy of an order that was carried out"))
	c.Assert(again.Order.Placement, qt.DeepEquals, second)

	agent = placementBook{}
	_, whole = give(3, third)
	c.Assert(whole, qt.IsFalse)
	c.Assert(agent.version, qt.Equals, uint64(0), qt.Commentf("an agent that started again does not guess"))
	_, whole = give(3, third)
	c.Assert(whole, qt.IsTrue)
	c.Assert(agent.placement, qt.DeepEquals, third)

	other := prepareOrder(0, 3, third)
	leader.shorten(other)
	c.Assert(other.Base, qt.Equals, uint64(0), qt.Commentf("a rank that accepted nothing yet"))
	bad := prepareOrder(1, 4, nil)
	bad.Base, bad.Changes = 3, []expert.PlacementChange{{Layer: 9}}
	c.Assert(agent.complete(bad), qt.IsFalse)
	hold := &datagram.Order{Order: expert.LockstepOrder{Kind: expert.LockstepHold}}
	leader.shorten(hold)
	c.Assert(agent.complete(hold), qt.IsTrue)
}
