package standin_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

// allowSteps orders an engine to run the steps below the bound under its initial map.
func allowSteps(c *qt.C, client *platform.EngineClient, bound uint64) {
	receipt, err := client.Order(context.Background(), platform.Order{
		ID: fmt.Sprintf("allow-%d", bound), Kind: platform.OrderAllowSteps, Step: bound,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(receipt.State, qt.Equals, platform.OrderDone, qt.Commentf(receipt.Detail))
}

// loadOrder returns an order that loads model m. The order's ID is also used as the version.
func loadOrder(id string, fence platform.Fence) platform.Order {
	return platform.Order{ID: id, Fence: fence, Kind: platform.OrderLoadModel, Model: "m", Version: id}
}

func TestOrderContract(t *testing.T) {
	cases := append([]callCase{
		{standin.Fault{Kind: standin.FaultStale}, "garbage", 0},
		{standin.Fault{Kind: standin.FaultRedirect}, "garbage", 0},
	}, callCases...)
	for _, tc := range cases {
		if tc.fault.Kind == standin.FaultDoubled {
			tc.runs = 1 // An engine carries out each order ID once.
		}
		t.Run(tc.name(), func(t *testing.T) {
			inBubble(t, func(c *qt.C) {
				tc.fault.Skip, tc.fault.Count = 1, 1
				engine, client := newEngine(c, standin.EngineOptions{}, tc.fault)
				_, err := client.Order(context.Background(), loadOrder("first", 1))
				c.Assert(err, qt.IsNil)
				_, err = client.Order(context.Background(), loadOrder("second", 2))
				waitForLateRequests()
				tc.check(c, err, len(engine.AppliedOrders())-1)
				state, err := client.ReadBack(context.Background())
				c.Assert(err, qt.IsNil)
				c.Assert(state.LastOrder, qt.Equals, []string{"first", "second"}[tc.runs])
			})
		})
	}
}

// TestDelayedOrderArrivesAfterNewerOrder checks that an engine with fencing refuses an order that
// arrives after one with a higher fencing number, and that an engine without fencing applies it.
func TestDelayedOrderArrivesAfterNewerOrder(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignores-fencing-%t", ignores), func(t *testing.T) {
			inBubble(t, func(c *qt.C) {
				engine, client := newEngine(c, standin.EngineOptions{IgnoresFencing: ignores},
					standin.Fault{Kind: standin.FaultSlow, Delay: time.Minute, Count: 1})
				_, err := client.Order(context.Background(), loadOrder("old", 1))
				c.Assert(errorKind(err), qt.Equals, "unknown")
				_, err = client.Order(context.Background(), loadOrder("new", 2))
				c.Assert(err, qt.IsNil)
				waitForLateRequests()
				want := "new"
				if ignores {
					want = "old"
				}
				c.Assert(engine.State().Version, qt.Equals, want)
			})
		})
	}
}

func TestOrderDelay(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		_, client := newEngine(c, standin.EngineOptions{OrderDelay: time.Minute})
		ctx := context.Background()
		receipt, err := client.Order(ctx, loadOrder("a", 1))
		c.Assert(err, qt.IsNil)
		c.Assert(receipt.State, qt.Equals, platform.OrderRunning)
		_, err = client.Order(ctx, loadOrder("b", 2))
		c.Assert(errorKind(err), qt.Equals, "refused")
		time.Sleep(time.Minute)
		state, err := client.ReadBack(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(state.LastState, qt.Equals, platform.OrderDone)
		c.Assert(state.Version, qt.Equals, "a")
	})
}

func TestOrdersChangeEngineState(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		engine, client := newEngine(c, standin.EngineOptions{GateSteps: true})
		ctx := context.Background()
		sendOrder := func(order platform.Order) platform.OrderState {
			order.ID = fmt.Sprintf("%s-%d-%d", order.Kind, order.Step, order.MapVersion)
			receipt, err := client.Order(ctx, order)
			c.Assert(err, qt.IsNil)
			return receipt.State
		}
		one, two := platform.ExpertRef{Layer: 0, Expert: 1}, platform.ExpertRef{Layer: 0, Expert: 2}
		next := &platform.ExpertMap{Version: 7, Layers: [][][]uint16{{{1, 2}, {3}}}}
		for _, tc := range []struct {
			order platform.Order
			state platform.OrderState
		}{
			{platform.Order{Kind: platform.OrderLoadModel, Model: "m", Version: "1"}, platform.OrderDone},
			{platform.Order{Kind: platform.OrderLoadAdapter, Adapter: "a", Version: "2"}, platform.OrderDone},
			{platform.Order{Kind: platform.OrderSetRole, Role: platform.RoleDecode}, platform.OrderDone},
			{platform.Order{Kind: platform.OrderLoadExperts, Experts: []platform.ExpertRef{two, one}}, platform.OrderDone},
			{platform.Order{Kind: platform.OrderDropExperts, Experts: []platform.ExpertRef{one}}, platform.OrderDone},
			{platform.Order{Kind: platform.OrderActivateMap}, platform.OrderFailed},
			{platform.Order{Kind: platform.OrderActivateMap, Map: next, Step: 2}, platform.OrderDone},
			{platform.Order{Kind: platform.OrderAllowSteps, Step: 3}, platform.OrderFailed},
			{platform.Order{Kind: platform.OrderAllowSteps, Step: 3, MapVersion: 7}, platform.OrderDone},
			{platform.Order{Kind: "dance"}, platform.OrderFailed},
		} {
			c.Assert(sendOrder(tc.order), qt.Equals, tc.state, qt.Commentf("%v", tc.order))
		}
		stream, err := client.Stream(ctx, platform.EngineRequest{ID: "r", Body: completionBody("p", 9, true)})
		c.Assert(err, qt.IsNil)
		_, err = readAll(stream)
		c.Assert(errorKind(err), qt.Equals, "unknown")
		state, err := client.ReadBack(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(state, qt.DeepEquals, platform.EngineState{
			Boot: 1, LastOrder: "dance-0-0", LastState: platform.OrderFailed, Model: "m", Version: "1",
			Adapters: []string{"a@2"}, Role: platform.RoleDecode, MapVersion: 7, Step: 3, Gated: true, AllowedSteps: 3,
			Experts: []platform.ExpertRef{two},
		})
		c.Assert(engine.MapChanges(), qt.DeepEquals, []standin.MapChange{{Boot: 1, Step: 0, MapVersion: 0}, {Boot: 1, Step: 2, MapVersion: 7}})
		c.Assert(sendOrder(platform.Order{Kind: platform.OrderActivateMap, Map: next, Step: 1}), qt.Equals, platform.OrderFailed)
	})
}
