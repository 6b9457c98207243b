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

// orderProcessor carries out the orders of one engine boot.
type orderProcessor struct {
	ignoresFencing bool
	delay          time.Duration
	state          platform.EngineState
	receipts       map[string]platform.OrderReceipt
	// pending is the order that is being carried out; nil if there is none.
	pending *platform.Order
	dueAt   time.Time
	// activeMap is the map in use; nextMap is used from state.NextMapStep on.
	activeMap *platform.ExpertMap
	nextMap   *platform.ExpertMap
	// applied lists the orders that took effect, oldest first.
	applied []platform.Order
}

func newOrderProcessor(options EngineOptions, boot uint64) orderProcessor {
	return orderProcessor{
		ignoresFencing: options.IgnoresFencing,
		delay:          options.OrderDelay,
		state: platform.EngineState{
			Boot: boot, Model: options.Model, Role: platform.RoleBoth, Gated: options.GateSteps,
		},
		receipts: make(map[string]platform.OrderReceipt),
	}
}

// rejectReason returns why an order is refused, or "" if it is accepted.
func (p *orderProcessor) rejectReason(order platform.Order) string {
	switch {
	case order.ID == "":
		return "order has no id"
	case !p.ignoresFencing && order.Fence < p.state.LastFence:
		return "fencing number is lower than that of the last order"
	case order.Boot != 0 && order.Boot != p.state.Boot:
		return "order is for another boot of the engine"
	case p.pending != nil:
		return "another order is running"
	}
	return ""
}

// submit starts an order and returns its receipt, or why it is refused. An order ID that was
// accepted before gets its current receipt.
func (p *orderProcessor) submit(order platform.Order, now time.Time) (platform.OrderReceipt, string) {
	p.completePending(now)
	if receipt, ok := p.receipts[order.ID]; ok {
		return receipt, ""
	}
	if reason := p.rejectReason(order); reason != "" {
		return platform.OrderReceipt{}, reason
	}
	p.state.LastOrder, p.state.LastFence, p.state.LastState = order.ID, order.Fence, platform.OrderRunning
	p.pending, p.dueAt = &order, now.Add(p.delay)
	p.receipts[order.ID] = platform.OrderReceipt{ID: order.ID, State: platform.OrderRunning}
	p.completePending(now)
	return p.receipts[order.ID], ""
}

// completePending applies the pending order once its delay has passed.
func (p *orderProcessor) completePending(now time.Time) {
	if p.pending == nil || now.Before(p.dueAt) {
		return
	}
	order := *p.pending
	p.pending = nil
	receipt := platform.OrderReceipt{ID: order.ID, State: platform.OrderDone}
	if detail := p.apply(order); detail != "" {
		receipt.State, receipt.Detail = platform.OrderFailed, detail
	} else {
		p.applied = append(p.applied, order)
	}
	p.state.LastState = receipt.State
	p.receipts[order.ID] = receipt
}

// apply changes the state as ordered. It returns why it can't, or "" if it did.
func (p *orderProcessor) apply(order platform.Order) string {
	s := &p.state
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
		return p.activate(order)
	case platform.OrderAllowSteps:
		return p.allow(order)
	case platform.OrderCloseSteps:
		s.AllowedSteps = min(s.AllowedSteps, s.Step)
	default:
		return "unknown order kind"
	}
	return ""
}

func (p *orderProcessor) activate(order platform.Order) string {
	s := &p.state
	switch {
	case order.Map == nil:
		return "order has no map"
	case order.Step < s.Step:
		return "step of the order has passed"
	}
	s.NextMapVersion, s.NextMapStep = order.Map.Version, order.Step
	p.nextMap = order.Map
	p.switchMap()
	return ""
}

func (p *orderProcessor) allow(order platform.Order) string {
	s := &p.state
	current := s.MapVersion
	if s.NextMapVersion != 0 && s.NextMapStep < order.Step {
		current = s.NextMapVersion
	}
	if order.MapVersion != current {
		return "order has another map version than the steps that it allows"
	}
	s.AllowedSteps = max(s.AllowedSteps, order.Step)
	return ""
}

// switchMap activates the next map once its step is reached.
func (p *orderProcessor) switchMap() {
	s := &p.state
	if s.NextMapVersion != 0 && s.Step >= s.NextMapStep {
		s.MapVersion = s.NextMapVersion
		s.NextMapVersion, s.NextMapStep = 0, 0
		p.activeMap, p.nextMap = p.nextMap, nil
	}
}

// stepAllowed reports whether the next step may run.
func (p *orderProcessor) stepAllowed(now time.Time) bool {
	p.completePending(now)
	return !p.state.Gated || p.state.Step < p.state.AllowedSteps
}

// advanceStep returns the number and the map version of the next step and increments the step
// number.
func (p *orderProcessor) advanceStep() (step, mapVersion uint64) {
	p.switchMap()
	step, mapVersion = p.state.Step, p.state.MapVersion
	p.state.Step++
	return step, mapVersion
}

func (p *orderProcessor) readBack(now time.Time) platform.EngineState {
	p.completePending(now)
	p.switchMap()
	state := p.state
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
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if e.group != nil {
		// A step must not start while an order is being applied, because the ranks could
		// otherwise run it under different orders.
		e.group.stepMu.Lock()
		defer e.group.stepMu.Unlock()
	}
	e.lock.Lock()
	receipt, reason := e.orders.submit(order, time.Now())
	e.startLoop()
	if receipt.State == platform.OrderRunning {
		time.AfterFunc(e.options.OrderDelay, e.resumeSteps)
	}
	e.lock.Unlock()
	if reason != "" {
		writeError(w, http.StatusConflict, reason)
		return
	}
	writeJSON(w, http.StatusOK, receipt)
}

// resumeSteps restarts the step loop after an order has completed, because the order may have
// allowed steps.
func (e *Engine) resumeSteps() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.startLoop()
}

func (e *Engine) serveReadBack(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

// AppliedOrders returns the orders of the current boot that took effect, oldest first.
func (e *Engine) AppliedOrders() []platform.Order {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.orders.completePending(time.Now())
	return slices.Clone(e.orders.applied)
}
