package agent

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/node"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/published"
)

const (
	// stateInterval is the time between two polls of the state of an engine in a group.
	stateInterval = 50 * time.Millisecond
	// countsInterval is the time between two polls of the engine's token counts by expert.
	countsInterval = 500 * time.Millisecond
	// engineReadTimeout bounds one read of the engine's state or counts.
	engineReadTimeout = 2 * time.Second
	// orderTimeout bounds an order that is not cancelled earlier.
	orderTimeout = 30 * time.Second
	// receiptInterval is the time between two polls of an order that the engine is executing.
	receiptInterval = 20 * time.Millisecond
)

// groupEngine sends orders to an engine of a model group and polls its state and counts.
type groupEngine struct {
	host   *node.Host
	engine platform.Engine
	rank   ident.Rank
	// stateReadMu is held while a state is read and posted, so that states are posted in the
	// order of their reads.
	stateReadMu  sync.Mutex
	startPolling sync.Once

	mu sync.Mutex
	// cancels holds the cancel function of each pending order by its fencing number. Calling it
	// closes the order's connection.
	cancels map[uint64]context.CancelFunc
}

// startOrder sends an order in a new goroutine.
func (g *groupEngine) startOrder(action control.SendEngineOrder) {
	ctx, cancel := context.WithTimeout(g.host.Context(), orderTimeout)
	g.mu.Lock()
	g.cancels[action.Order.Number] = cancel
	g.mu.Unlock()
	g.host.Spawn(func(context.Context) {
		defer g.cancelOrder(action.Order.Number)
		g.executeOrder(ctx, action)
	})
}

// cancelOrder closes the connection of an order that is not answered yet.
func (g *groupEngine) cancelOrder(number uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if stop := g.cancels[number]; stop != nil {
		stop()
		delete(g.cancels, number)
	}
}

// startIfGrouped starts to poll the engine if the VM's backend server is in a group.
func (g *groupEngine) startIfGrouped(configuration *published.Configuration, vm ident.VM) {
	_, backend := configuration.Fleet.Backend(vm)
	if g.engine == nil || backend == nil || backend.Group == "" || len(backend.Ranks) == 0 {
		return
	}
	g.startPolling.Do(func() {
		g.rank = backend.Ranks[0]
		g.host.Spawn(func(ctx context.Context) { repeat(ctx, stateInterval, g.pollState) })
		g.host.Spawn(func(ctx context.Context) { repeat(ctx, countsInterval, g.pollCounts) })
	})
}

// repeat calls work immediately and then at each interval until the context ends.
func repeat(ctx context.Context, interval time.Duration, work func(ctx context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// pollState reads the engine's state and posts it.
func (g *groupEngine) pollState(ctx context.Context) {
	g.stateReadMu.Lock()
	defer g.stateReadMu.Unlock()
	if state, err := g.readState(ctx); err == nil {
		g.host.Post(control.EngineStateReceived{State: state})
	}
}

// readForControl reads the engine's state and posts the answer to a ReadEngine action.
func (g *groupEngine) readForControl(ctx context.Context, request uint64) {
	g.stateReadMu.Lock()
	defer g.stateReadMu.Unlock()
	state, err := g.readState(ctx)
	g.host.Post(control.EngineRead{Read: expert.EngineRead{Request: request, State: state, Failed: err != nil}})
}

func (g *groupEngine) readState(ctx context.Context) (expert.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, engineReadTimeout)
	defer cancel()
	state, err := g.engine.ReadBack(ctx)
	if err != nil {
		return expert.EngineState{}, err
	}
	return g.convertState(state), nil
}

// convertState converts a state of the platform's engine interface. Its LastFence, the fencing
// number of the order that was started last, becomes GreatestFence. All loaded experts are on this
// engine's rank.
func (g *groupEngine) convertState(state platform.EngineState) expert.EngineState {
	converted := expert.EngineState{
		Boot:          strconv.FormatUint(state.Boot, 10),
		GreatestFence: uint64(state.LastFence),
		Model:         state.Model,
		Revision:      state.Version,
		Role:          string(state.Role),
		Map:           state.MapVersion,
		NextMap:       state.NextMapVersion,
		NextStep:      state.NextMapStep,
		Step:          state.Step,
		Allowed:       state.AllowedSteps,
		Gated:         state.Gated,
	}
	for _, loaded := range state.Experts {
		converted.Loaded = append(converted.Loaded, expert.Placement{Layer: loaded.Layer, Expert: expert.Expert(loaded.Expert), Rank: g.rank})
	}
	return converted
}

// pollCounts reads the numbers of tokens routed to each expert and posts them.
func (g *groupEngine) pollCounts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineReadTimeout)
	defer cancel()
	counts, err := g.engine.ExpertCounts(ctx)
	if err != nil {
		return
	}
	g.host.Post(control.CountsReceived{Boot: strconv.FormatUint(counts.Boot, 10), Step: counts.Step, Layers: counts.Layers})
}

// executeOrder sends an order and posts its result. While the engine executes the order, it sends
// the order again to poll the receipt.
func (g *groupEngine) executeOrder(ctx context.Context, action control.SendEngineOrder) {
	order := convertOrder(action)
	receipt, err := g.engine.Order(ctx, order)
	answer := expert.OrderAnswered{Number: action.Order.Number}
	switch {
	case err == nil && receipt.State == platform.OrderRunning:
		answer.Answer, answer.Cause = g.awaitOrder(ctx, order)
	case err == nil:
		answer.Answer, answer.Cause = orderAnswer(receipt.State), receipt.Detail
	case platform.KindOf(err) == platform.KindNotStarted:
		answer.Answer = expert.AnswerNotSent
	case platform.KindOf(err) == platform.KindRefused:
		answer.Answer, answer.GreatestFence = g.classifyRefusal(ctx, order)
		answer.Cause = err.Error()
	default:
		answer.Answer = expert.AnswerNone
	}
	g.host.Post(control.OrderAnswered{Answer: answer})
}

// classifyRefusal returns the answer for an order that the engine refused: AnswerStale and the
// engine's last fencing number if the engine has not restarted and that number is greater than
// the order's; AnswerFailed otherwise, also if the engine's state can't be read.
func (g *groupEngine) classifyRefusal(ctx context.Context, order platform.Order) (expert.OrderAnswer, uint64) {
	state, err := g.engine.ReadBack(ctx)
	if err != nil {
		return expert.AnswerFailed, 0
	}
	if order.Boot == state.Boot && state.LastFence > order.Fence {
		return expert.AnswerStale, uint64(state.LastFence)
	}
	return expert.AnswerFailed, 0
}

// awaitOrder polls an order that the engine is executing until it has ended. It polls by sending
// the order again: an engine executes each order ID at most once, and answers a repeated ID with
// the state of the order.
func (g *groupEngine) awaitOrder(ctx context.Context, order platform.Order) (expert.OrderAnswer, string) {
	ticker := time.NewTicker(receiptInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return expert.AnswerNone, ""
		}
		receipt, err := g.engine.Order(ctx, order)
		if err != nil {
			return expert.AnswerNone, ""
		}
		if receipt.State != platform.OrderRunning {
			return orderAnswer(receipt.State), receipt.Detail
		}
	}
}

func orderAnswer(state platform.OrderState) expert.OrderAnswer {
	if state == platform.OrderDone {
		return expert.AnswerDone
	}
	return expert.AnswerFailed
}

// convertOrder converts an order to the platform's engine interface. The order's number is its
// fencing number, called Fence there: an engine that checks it refuses an order with a smaller
// number than that of an earlier order.
func convertOrder(action control.SendEngineOrder) platform.Order {
	requested := action.Order.Order
	order := platform.Order{
		ID:    fmt.Sprintf("%s/%d", action.Issuer, action.Order.Number),
		Fence: platform.Fence(action.Order.Number),
		Rank:  action.Rank,
		Step:  requested.Step,
	}
	order.Boot, _ = strconv.ParseUint(requested.Boot, 10, 64)
	switch requested.Kind {
	case expert.OrderLoadExperts:
		order.Kind = platform.OrderLoadExperts
		for _, placement := range requested.Placements {
			order.Experts = append(order.Experts, platform.ExpertRef{Layer: placement.Layer, Expert: int(placement.Expert)})
		}
	case expert.OrderActivateMap:
		order.Kind = platform.OrderActivateMap
		order.Map = convertMap(requested.Map)
	case expert.OrderAllowSteps:
		order.Kind = platform.OrderAllowSteps
		order.MapVersion = requested.MapVersion.Number()
	case expert.OrderCloseSteps:
		order.Kind = platform.OrderCloseSteps
	default:
		panic("invariant: unknown order kind " + string(requested.Kind))
	}
	return order
}

func convertMap(placed expert.Map) *platform.ExpertMap {
	converted := &platform.ExpertMap{Version: placed.Version.Number()}
	for _, layer := range placed.Layers {
		ranks := make([][]uint16, len(layer.Ranks))
		for rank, replicas := range layer.Ranks {
			for _, replica := range replicas {
				ranks[rank] = append(ranks[rank], uint16(replica.Expert))
			}
		}
		converted.Layers = append(converted.Layers, ranks)
	}
	return converted
}

// computePlan computes a plan and posts it to the control thread.
func (g *groupEngine) computePlan(action control.MakePlan) {
	plan := action.Planner.Plan(action.Input)
	g.host.Post(control.PlanMade{Number: action.Number, Epoch: action.Epoch, Plan: plan})
}
