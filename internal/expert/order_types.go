package expert

import (
	"slices"
	"time"
)

// OrderKind is what an order asks an engine to do.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderChangeRole  OrderKind = "change-role"
	OrderLoadExperts OrderKind = "load-experts"
	// OrderActivateMap makes Map the expert map from the engine's step Step on.
	OrderActivateMap OrderKind = "activate-map"
	// OrderAllowSteps lets the engine run its steps below Step under the map Experts.
	OrderAllowSteps OrderKind = "allow-steps"
	// OrderCloseSteps takes the allowance of all steps back that have not started.
	OrderCloseSteps OrderKind = "close-steps"
)

// Order asks an engine for a change. Fields that its kind does not use are empty.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Model and Revision name the model to load.
	Model    string `json:"model,omitempty"`
	Revision string `json:"revision,omitempty"`
	// Adapter names the adapter to load, at Revision.
	Adapter string `json:"adapter,omitempty"`
	// Role is the role to change to, such as "prefill" or "decode".
	Role string `json:"role,omitempty"`
	// Experts is the version of the map whose Placements are loaded.
	Experts    Version     `json:"experts,omitzero"`
	Placements []Placement `json:"placements,omitempty"`
	// Map is the map to activate.
	Map Map `json:"map,omitzero"`
	// Step is a step of the engine's own numbering.
	Step uint64 `json:"step,omitempty"`
	// Engine is the run of the engine that the order is for; "" for whichever runs.
	Engine string `json:"engine,omitempty"`
}

// Subject is what an order changes: a newer order on a subject replaces an older one
// that was not sent.
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

// EngineState is what an engine reports when it is read back.
type EngineState struct {
	// Engine identifies the run of the engine process; it changes when the engine restarts.
	Engine string `json:"engine"`
	// Greatest is the greatest fencing number seen; 0 if the engine ignores them.
	Greatest uint64         `json:"greatest"`
	Model    string         `json:"model"`
	Revision string         `json:"revision"`
	Adapters []AdapterState `json:"adapters"`
	Role     string         `json:"role"`
	// Experts is the newest map version whose weights were loaded.
	Experts Version `json:"experts,omitzero"`
	// Loaded are the placements whose weights are loaded.
	Loaded []Placement `json:"loaded,omitempty"`
	// Map is the Number of the map in use, and NextMap of the one in use from the
	// engine's step NextStep on; 0 for none.
	Map      uint64 `json:"map,omitempty"`
	NextMap  uint64 `json:"next_map,omitempty"`
	NextStep uint64 `json:"next_step,omitempty"`
	// Step is the engine's next step; it runs those below Allowed.
	Step    uint64 `json:"step,omitempty"`
	Allowed uint64 `json:"allowed,omitempty"`
	// Gated is true if the engine runs only steps that were allowed.
	Gated bool `json:"gated,omitempty"`
}

// Shows reports whether the state has the effect of an order.
func (s EngineState) Shows(order Order) bool {
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
		return s.Experts == order.Experts || s.holds(order.Placements)
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

func (s EngineState) holds(placements []Placement) bool {
	for _, placement := range placements {
		if !slices.Contains(s.Loaded, placement) {
			return false
		}
	}
	return len(placements) > 0
}

// OrderAnswer is what became of a sent order, as far as the sender knows.
type OrderAnswer uint8

// The answers to a sent order.
const (
	// AnswerDone is the engine's word that the order took effect.
	AnswerDone OrderAnswer = iota + 1
	// AnswerFailed is the engine's word that the order had and will have no effect.
	AnswerFailed
	// AnswerStale is the engine's refusal of the fencing number.
	AnswerStale
	// AnswerNotSent is the client's word that no byte of the order left.
	AnswerNotSent
	// AnswerNone means that no answer came and that the client has closed the order's
	// connection: the order may take effect at any time of its lifetime.
	AnswerNone
)

// OrderWanted asks an OrderIssuer for an order.
type OrderWanted struct {
	Order Order
}

// OrderAnswered tells what became of a SendOrder.
type OrderAnswered struct {
	Number uint64
	Answer OrderAnswer
	// Greatest is the greatest fencing number seen by an engine that answered AnswerStale.
	Greatest uint64
	Cause    string
}

// EngineRead is the answer to a ReadEngine.
type EngineRead struct {
	// Request repeats the number of the ReadEngine.
	Request uint64
	State   EngineState
	// Failed is true if the engine could not be read.
	Failed bool
}

func (OrderWanted) isEvent()   {}
func (OrderAnswered) isEvent() {}
func (EngineRead) isEvent()    {}

// SendOrder asks to send an order to the engine, once and without automatic retries.
type SendOrder struct {
	// Number is the fencing number.
	Number uint64
	Order  Order
}

// CancelOrder asks the client to end a SendOrder that is overdue: it closes the
// connection, or does not open one any more, and answers AnswerNone or AnswerNotSent.
type CancelOrder struct {
	Number uint64
}

// ReadEngine asks for the engine's state.
type ReadEngine struct {
	Request uint64
}

// OrderResult is how an order ended.
type OrderResult uint8

// The results of an order.
const (
	OrderDone OrderResult = iota + 1
	OrderFailed
	// OrderSuperseded is an order that was replaced by a newer one before it was sent.
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

// OrderDoubtful reports an order without an answer at an engine that ignores fencing
// numbers: no further order is sent until it shows, lapses or the engine restarts.
type OrderDoubtful struct {
	Order Order
	Since time.Time
}

func (SendOrder) isAction()     {}
func (CancelOrder) isAction()   {}
func (ReadEngine) isAction()    {}
func (OrderEnded) isAction()    {}
func (OrderDoubtful) isAction() {}
