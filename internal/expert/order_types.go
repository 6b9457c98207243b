package expert

import (
	"slices"
	"time"
)

// OrderKind is the kind of change that an order requests.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderChangeRole  OrderKind = "change-role"
	OrderLoadExperts OrderKind = "load-experts"
	// OrderActivateMap makes the engine use Map from its step Step on.
	OrderActivateMap OrderKind = "activate-map"
	// OrderAllowSteps allows the engine to run its steps below Step with the map of version
	// MapVersion.
	OrderAllowSteps OrderKind = "allow-steps"
	// OrderCloseSteps revokes the permission of all steps that have not started.
	OrderCloseSteps OrderKind = "close-steps"
)

// Order requests a change from an engine. Fields that its kind does not use are empty.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Model and Revision name the model to load.
	Model    string `json:"model,omitempty"`
	Revision string `json:"revision,omitempty"`
	// Adapter names the adapter to load, at Revision.
	Adapter string `json:"adapter,omitempty"`
	// Role is the role to change to, such as "prefill" or "decode".
	Role string `json:"role,omitempty"`
	// MapVersion is the version of the map whose Placements are loaded, or with which the allowed
	// steps run.
	MapVersion Version     `json:"experts,omitzero"`
	Placements []Placement `json:"placements,omitempty"`
	// Map is the map to activate.
	Map Map `json:"map,omitzero"`
	// Step is a step in the engine's own numbering.
	Step uint64 `json:"step,omitempty"`
	// Boot is the boot number of the engine process that the order is for, as in
	// EngineState; "" means any.
	Boot string `json:"engine,omitempty"`
}

// Subject identifies what an order changes. A newer order on the same subject replaces an
// older one that has not been sent.
func (o Order) Subject() string {
	if o.Kind == OrderLoadAdapter {
		return string(o.Kind) + "/" + o.Adapter
	}
	return string(o.Kind)
}

// AdapterState is an adapter that an engine holds.
type AdapterState struct {
	Name     string `json:"name"`
	Revision string `json:"revision"`
}

// EngineState is the state of an engine, as read after orders and restarts.
type EngineState struct {
	// Boot is the boot number of the engine process, which changes when the engine restarts.
	Boot string `json:"engine"`
	// GreatestFence is the greatest fencing number that the engine has received; 0 if the engine
	// ignores fencing numbers.
	GreatestFence uint64         `json:"greatest"`
	Model         string         `json:"model"`
	Revision      string         `json:"revision"`
	Adapters      []AdapterState `json:"adapters"`
	Role          string         `json:"role"`
	// LoadedVersion is the newest map version whose weights have been loaded.
	LoadedVersion Version `json:"experts,omitzero"`
	// Loaded are the placements whose weights are loaded.
	Loaded []Placement `json:"loaded,omitempty"`
	// Map is the Version.Number of the map in use, and NextMap that of the map to use from
	// the engine's step NextStep on; 0 for none.
	Map      uint64 `json:"map,omitempty"`
	NextMap  uint64 `json:"next_map,omitempty"`
	NextStep uint64 `json:"next_step,omitempty"`
	// Step is the engine's next step. The engine may run steps below Allowed.
	Step    uint64 `json:"step,omitempty"`
	Allowed uint64 `json:"allowed,omitempty"`
	// Gated is true if the engine runs only allowed steps.
	Gated bool `json:"gated,omitempty"`
}

// Reflects reports whether the state shows the effect of an order.
func (s EngineState) Reflects(order Order) bool {
	switch order.Kind {
	case OrderLoadModel:
		return s.Model == order.Model && s.Revision == order.Revision
	case OrderLoadAdapter:
		for _, adapter := range s.Adapters {
			if adapter.Name == order.Adapter {
				return adapter.Revision == order.Revision
			}
		}
		return false
	case OrderChangeRole:
		return s.Role == order.Role
	case OrderLoadExperts:
		return s.LoadedVersion == order.MapVersion || s.hasLoaded(order.Placements)
	case OrderActivateMap:
		number := order.Map.Version.Number()
		return s.Map == number || s.NextMap == number && s.NextStep == order.Step
	case OrderAllowSteps:
		return s.Allowed >= order.Step
	case OrderCloseSteps:
		return s.Allowed <= s.Step
	default:
		return false
	}
}

func (s EngineState) hasLoaded(placements []Placement) bool {
	for _, placement := range placements {
		if !slices.Contains(s.Loaded, placement) {
			return false
		}
	}
	return len(placements) > 0
}

// OrderAnswer is the result of a sent order, as reported by the agent's client of the engine.
type OrderAnswer uint8

// The answers to a sent order.
const (
	// AnswerDone means that the engine reported that the order took effect.
	AnswerDone OrderAnswer = iota + 1
	// AnswerFailed means that the engine reported that the order failed: it has no effect,
	// now or later.
	AnswerFailed
	// AnswerStale means that the engine refused the fencing number.
	AnswerStale
	// AnswerNotSent means that the client sent no byte of the order.
	AnswerNotSent
	// AnswerNone means that the engine did not answer and that the client has closed the
	// order's connection. The order may still take effect within its lifetime.
	AnswerNone
)

// OrderRequested asks an OrderIssuer to issue an order.
type OrderRequested struct {
	Order Order
}

// OrderAnswered reports the result of a SendOrder. Number is its fencing number.
type OrderAnswered struct {
	Number uint64
	Answer OrderAnswer
	// GreatestFence is the greatest fencing number that the engine has received, if Answer is
	// AnswerStale.
	GreatestFence uint64
	Cause         string
}

// EngineRead reports the result of a ReadEngine.
type EngineRead struct {
	// Request repeats the number of the ReadEngine.
	Request uint64
	State   EngineState
	// Failed is true if the state could not be read.
	Failed bool
}

func (OrderRequested) isEvent() {}
func (OrderAnswered) isEvent()  {}
func (EngineRead) isEvent()     {}

// SendOrder sends an order to the engine, once and without automatic retries.
type SendOrder struct {
	// Number is the fencing number.
	Number uint64
	Order  Order
}

// CancelOrder cancels an overdue SendOrder. The client closes the connection, or does not
// open one if it has not yet, and then reports AnswerNone or AnswerNotSent.
type CancelOrder struct {
	Number uint64
}

// ReadEngine reads the engine's state. Request numbers the reads.
type ReadEngine struct {
	Request uint64
}

// OrderResult is the result of an order at its issuer.
type OrderResult uint8

// The results of an order.
const (
	OrderDone OrderResult = iota + 1
	OrderFailed
	// OrderSuperseded means that a newer order on the same subject replaced the order.
	OrderSuperseded
)

// String returns the result as it is logged.
func (r OrderResult) String() string {
	switch r {
	case OrderDone:
		return "done"
	case OrderFailed:
		return "failed"
	case OrderSuperseded:
		return "superseded"
	default:
		return "unknown"
	}
}

// OrderEnded reports the end of an order.
type OrderEnded struct {
	Order  Order
	Result OrderResult
	Cause  string
}

// OrderInDoubt reports that it is unknown whether a sent order has taken effect or still
// will, at an engine that ignores fencing numbers. Since is the time at which the order was
// sent. No further order is sent until the engine's state shows the effect, the order's
// lifetime ends or the engine restarts.
type OrderInDoubt struct {
	Order Order
	Since time.Time
}

func (SendOrder) isAction()    {}
func (CancelOrder) isAction()  {}
func (ReadEngine) isAction()   {}
func (OrderEnded) isAction()   {}
func (OrderInDoubt) isAction() {}
