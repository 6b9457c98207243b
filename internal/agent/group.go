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
	// stateInterval is the time between two looks at the steps of an engine in a group.
	stateInterval  = 50 * time.Millisecond
	countsInterval = 500 * time.Millisecond
	// orderTimeout bounds one read of the state, orderLimit an order that nobody cancels.
	orderTimeout = 2 * time.Second
	orderLimit   = 30 * time.Second
	// receiptInterval is the time between two looks at an order that is being carried out.
	receiptInterval = 20 * time.Millisecond
)

// groupEngine gives orders to an engine of a model group and follows its steps.
type groupEngine struct {
	host   *node.Host
	engine platform.Engine
	rank   ident.Rank
	// reading keeps the states that are posted in the order in which they were read.
	reading sync.Mutex
	start   sync.Once

	mu sync.Mutex
	// cancels close the connections of the orders under way, by fencing number.
	cancels map[uint64]context.CancelFunc
}

// give gives an order in a goroutine of its own.
func (g *groupEngine) give(action control.SendEngineOrder) {
	ctx, cancel := context.WithTimeout(g.host.Context(), orderLimit)
	g.mu.Lock()
	g.cancels[action.Order.Number] = cancel
	g.mu.Unlock()
	g.host.Spawn(func(context.Context) {
		defer g.cancel(action.Order.Number)
		g.order(ctx, action)
	})
}

// cancel closes the connection of an order that has no answer yet.
func (g *groupEngine) cancel(number uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if stop := g.cancels[number]; stop != nil {
		stop()
		delete(g.cancels, number)
	}
}

// use begins to follow the engine if the VM's backend server is in a group.
func (g *groupEngine) use(configuration *published.Configuration, vm ident.VM) {
	_, backend := configuration.Fleet.Backend(vm)
	if g.engine == nil || backend == nil || backend.Group == "" || len(backend.Ranks) == 0 {
		return
	}
	g.start.Do(func() {
		g.rank = backend.Ranks[0]
		g.host.Spawn(func(ctx context.Context) { repeat(ctx, stateInterval, g.pollState) })
		g.host.Spawn(func(ctx context.Context) { repeat(ctx, countsInterval, g.pollCounts) })
	})
}

// repeat calls work at once and then after each interval until the context ends.
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

func (g *groupEngine) pollState(ctx context.Context) {
	g.reading.Lock()
	defer g.reading.Unlock()
	if state, err := g.readState(ctx); err == nil {
		g.host.Post(control.EngineStateReceived{State: state})
	}
}

// read answers a ReadEngine action.
func (g *groupEngine) read(ctx context.Context, request uint64) {
	g.reading.Lock()
	defer g.reading.Unlock()
	state, err := g.readState(ctx)
	g.host.Post(control.EngineRead{Read: expert.EngineRead{Request: request, State: state, Failed: err != nil}})
}

func (g *groupEngine) readState(ctx context.Context) (expert.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := g.engine.ReadBack(ctx)
	if err != nil {
		return expert.EngineState{}, err
	}
	return g.stateOf(state), nil
}

func (g *groupEngine) stateOf(state platform.EngineState) expert.EngineState {
	seen := expert.EngineState{
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
		seen.Loaded = append(seen.Loaded, expert.Placement{Layer: loaded.Layer, Expert: expert.Expert(loaded.Expert), Rank: g.rank})
	}
	return seen
}

func (g *groupEngine) pollCounts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	counts, err := g.engine.ExpertCounts(ctx)
	if err != nil {
		return
	}
	g.host.Post(control.CountsReceived{Engine: strconv.FormatUint(counts.Boot, 10), Step: counts.Step, Layers: counts.Layers})
}

// order gives an order once and tells what became of it.
func (g *groupEngine) order(ctx context.Context, action control.SendEngineOrder) {
	order := platformOrder(action)
	receipt, err := g.engine.Order(ctx, order)
	answer := expert.OrderAnswered{Number: action.Order.Number}
	switch {
	case err == nil && receipt.State == platform.OrderRunning:
		answer.Answer, answer.Cause = g.await(ctx, order)
	case err == nil:
		answer.Answer, answer.Cause = answerOf(receipt.State), receipt.Detail
	case platform.KindOf(err) == platform.KindNotStarted:
		answer.Answer = expert.AnswerNotSent
	case platform.KindOf(err) == platform.KindRefused:
		answer.Answer, answer.GreatestFence = g.refused(ctx, order)
		answer.Cause = err.Error()
	default:
		answer.Answer = expert.AnswerNone
	}
	g.host.Post(control.OrderAnswered{Answer: answer})
}

// refused tells whether an order was refused for its fencing number. An engine that can't
// be asked leaves it open.
func (g *groupEngine) refused(ctx context.Context, order platform.Order) (expert.OrderAnswer, uint64) {
	state, err := g.engine.ReadBack(ctx)
	if err != nil {
		return expert.AnswerFailed, 0
	}
	if order.Boot == state.Boot && state.LastFence > order.Fence {
		return expert.AnswerStale, uint64(state.LastFence)
	}
	return expert.AnswerFailed, 0
}

// await waits until an order that is being carried out has ended.
func (g *groupEngine) await(ctx context.Context, order platform.Order) (expert.OrderAnswer, string) {
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
			return answerOf(receipt.State), receipt.Detail
		}
	}
}

func answerOf(state platform.OrderState) expert.OrderAnswer {
	if state == platform.OrderDone {
		return expert.AnswerDone
	}
	return expert.AnswerFailed
}

func platformOrder(action control.SendEngineOrder) platform.Order {
	wanted := action.Order.Order
	order := platform.Order{
		ID:    fmt.Sprintf("%s/%d", action.Issuer, action.Order.Number),
		Fence: platform.Fence(action.Order.Number),
		Rank:  action.Rank,
		Step:  wanted.Step,
	}
	order.Boot, _ = strconv.ParseUint(wanted.Boot, 10, 64)
	switch wanted.Kind {
	case expert.OrderLoadExperts:
		order.Kind = platform.OrderLoadExperts
		for _, placement := range wanted.Placements {
			order.Experts = append(order.Experts, platform.ExpertRef{Layer: placement.Layer, Expert: int(placement.Expert)})
		}
	case expert.OrderActivateMap:
		order.Kind = platform.OrderActivateMap
		order.Map = platformMap(wanted.Map)
	case expert.OrderAllowSteps:
		order.Kind = platform.OrderAllowSteps
		order.MapVersion = wanted.MapVersion.Number()
	case expert.OrderCloseSteps:
		order.Kind = platform.OrderCloseSteps
	default:
		panic("invariant: unknown order " + string(wanted.Kind))
	}
	return order
}

func platformMap(placed expert.Map) *platform.ExpertMap {
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

// plan computes a plan and hands it to the control thread.
func (g *groupEngine) plan(action control.MakePlan) {
	plan := action.Planner.Plan(action.Input)
	g.host.Post(control.PlanMade{Number: action.Number, Epoch: action.Epoch, Plan: plan})
}
