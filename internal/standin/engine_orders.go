package standin

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// orderBook is what an engine knows of its orders.
type orderBook struct {
	ignoresFencing bool
	delay          time.Duration
	state          platform.EngineState
	receipts       map[string]platform.OrderReceipt
	// pending is the order that is being carried out, nil if none is.
	pending *platform.Order
	dueAt   time.Time
	// placed is the map in use and next the one to use from the state's NextMapStep on.
	placed *platform.ExpertMap
	next   *platform.ExpertMap
	// effects are the orders that took effect, in that order.
	effects []platform.Order
}

func newOrderBook(options EngineOptions, boot uint64) orderBook {
	return orderBook{
		ignoresFencing: options.IgnoresFencing,
		delay:          options.OrderDelay,
		state: platform.EngineState{
			Boot: boot, Model: options.Model, Role: platform.RoleBoth, Gated: options.GateSteps,
		},
		receipts: make(map[string]platform.OrderReceipt),
	}
}

// refusal says why an order is refused; "" if it is not.
func (b *orderBook) refusal(order platform.Order) string {
	switch {
	case order.ID == "":
		return "order without id"
	case !b.ignoresFencing && order.Fence < b.state.LastFence:
		return "old fencing number"
	case order.Boot != 0 && order.Boot != b.state.Boot:
		return "order for another boot"
	case b.pending != nil:
		return "another order is running"
	}
	return ""
}

// take starts an order. An order that came before gets the same receipt.
func (b *orderBook) take(order platform.Order, now time.Time) (platform.OrderReceipt, string) {
	b.settle(now)
	if receipt, ok := b.receipts[order.ID]; ok {
		return receipt, ""
	}
	if reason := b.refusal(order); reason != "" {
		return platform.OrderReceipt{}, reason
	}
	b.state.LastOrder, b.state.LastFence, b.state.LastState = order.ID, order.Fence, platform.OrderRunning
	b.pending, b.dueAt = &order, now.Add(b.delay)
	b.receipts[order.ID] = platform.OrderReceipt{ID: order.ID, State: platform.OrderRunning}
	b.settle(now)
	return b.receipts[order.ID], ""
}

// settle carries out the pending order when its time has come.
func (b *orderBook) settle(now time.Time) {
	if b.pending == nil || now.Before(b.dueAt) {
		return
	}
	order := *b.pending
	b.pending = nil
	receipt := platform.OrderReceipt{ID: order.ID, State: platform.OrderDone}
	if detail := b.apply(order); detail != "" {
		receipt.State, receipt.Detail = platform.OrderFailed, detail
	} else {
		b.effects = append(b.effects, order)
	}
	b.state.LastState = receipt.State
	b.receipts[order.ID] = receipt
}

// apply changes the state and says why it can't; "" if it did.
func (b *orderBook) apply(order platform.Order) string {
	s := &b.state
	switch order.Kind {
	case platform.OrderLoadModel:
		s.Model, s.Version, s.Adapters = order.Model, order.Version, nil
	case platform.OrderLoadAdapter:
		s.Adapters = insertSorted(s.Adapters, order.Adapter+"@"+order.Version, cmp.Compare)
	case platform.OrderSetRole:
		s.Role = order.Role
	case platform.OrderLoadExperts:
		for _, expert := range order.Experts {
			s.Experts = insertSorted(s.Experts, expert, compareExperts)
		}
	case platform.OrderDropExperts:
		s.Experts = slices.DeleteFunc(slices.Clone(s.Experts), func(e platform.ExpertRef) bool {
			return slices.Contains(order.Experts, e)
		})
	case platform.OrderActivateMap:
		return b.activate(order)
	case platform.OrderAllowSteps:
		return b.allow(order)
	case platform.OrderCloseSteps:
		s.AllowedSteps = min(s.AllowedSteps, s.Step)
	default:
		return "unknown kind of order"
	}
	return ""
}

func (b *orderBook) activate(order platform.Order) string {
	s := &b.state
	switch {
	case order.Map == nil:
		return "order without map"
	case order.Step < s.Step:
		return "step has passed"
	}
	s.NextMapVersion, s.NextMapStep = order.Map.Version, order.Step
	b.next = order.Map
	b.switchMap()
	return ""
}

func (b *orderBook) allow(order platform.Order) string {
	s := &b.state
	current := s.MapVersion
	if s.NextMapVersion != 0 && s.NextMapStep < order.Step {
		current = s.NextMapVersion
	}
	if order.MapVersion != current {
		return "steps are allowed under another map"
	}
	s.AllowedSteps = max(s.AllowedSteps, order.Step)
	return ""
}

// switchMap puts the next map in use when its step has come.
func (b *orderBook) switchMap() {
	s := &b.state
	if s.NextMapVersion != 0 && s.Step >= s.NextMapStep {
		s.MapVersion = s.NextMapVersion
		s.NextMapVersion, s.NextMapStep = 0, 0
		b.placed, b.next = b.next, nil
	}
}

// mayStep reports whether the next step is allowed.
func (b *orderBook) mayStep(now time.Time) bool {
	b.settle(now)
	return !b.state.Gated || b.state.Step < b.state.AllowedSteps
}

// takeStep runs a step and returns its number and map.
func (b *orderBook) takeStep() (step, mapVersion uint64) {
	b.switchMap()
	step, mapVersion = b.state.Step, b.state.MapVersion
	b.state.Step++
	return step, mapVersion
}

func (b *orderBook) readBack(now time.Time) platform.EngineState {
	b.settle(now)
	b.switchMap()
	state := b.state
	state.Adapters = slices.Clone(state.Adapters)
	state.Experts = slices.Clone(state.Experts)
	return state
}

func insertSorted[T any](list []T, item T, compare func(a, b T) int) []T {
	position, found := slices.BinarySearchFunc(list, item, compare)
	if found {
		return list
	}
	return slices.Insert(slices.Clone(list), position, item)
}

func compareExperts(a, b platform.ExpertRef) int {
	return cmp.Or(cmp.Compare(a.Layer, b.Layer), cmp.Compare(a.Expert, b.Expert))
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order platform.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&order); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if e.group != nil {
		// No order takes effect on a part of a step's ranks.
		e.group.boundary.Lock()
		defer e.group.boundary.Unlock()
	}
	e.lock.Lock()
	receipt, reason := e.orders.take(order, time.Now())
	e.kick()
	if receipt.State == platform.OrderRunning {
		time.AfterFunc(e.options.OrderDelay, e.resumeSteps)
	}
	e.lock.Unlock()
	if reason != "" {
		refuse(w, http.StatusConflict, reason)
		return
	}
	writeJSON(w, http.StatusOK, receipt)
}

// resumeSteps starts the loop again when an order is done that may allow steps.
func (e *Engine) resumeSteps() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.kick()
}

func (e *Engine) serveReadBack(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

// Effects returns the orders of this boot that took effect, in that order.
func (e *Engine) Effects() []platform.Order {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.orders.settle(time.Now())
	return slices.Clone(e.orders.effects)
}
