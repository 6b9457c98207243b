package platform

import "github.com/bramleyspool/bramleyspool/internal/ident"

// Fence is the fencing number of an order. Some engines refuse orders with a smaller number
// than that of an earlier order; others ignore it.
type Fence uint64

// OrderKind is the kind of an engine order.
type OrderKind string

// The kinds of orders. A step is one iteration of an engine's batch: it generates a token for
// each running request. The ranks of a lock-step group run each step together. Steps are
// numbered from 0 in each boot.
const (
	// OrderLoadModel loads Model at Version.
	OrderLoadModel OrderKind = "load-model"
	// OrderLoadAdapter loads Adapter at Version for Model.
	OrderLoadAdapter OrderKind = "load-adapter"
	// OrderSetRole changes the engine's Role.
	OrderSetRole OrderKind = "set-role"
	// OrderLoadExperts loads the weights of Experts.
	OrderLoadExperts OrderKind = "load-experts"
	// OrderDropExperts frees the weights of Experts.
	OrderDropExperts OrderKind = "drop-experts"
	// OrderActivateMap makes Map the expert map in use from step Step on.
	OrderActivateMap OrderKind = "activate-map"
	// OrderAllowSteps allows the engine to run the steps below Step under map MapVersion.
	OrderAllowSteps OrderKind = "allow-steps"
	// OrderCloseSteps revokes the permission for all steps that have not started.
	OrderCloseSteps OrderKind = "close-steps"
)

// Role says which phases of inference an engine runs.
type Role string

// The roles of engines.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// ExpertRef identifies one expert of one layer.
type ExpertRef struct {
	Layer  int `json:"layer"`
	Expert int `json:"expert"`
}

// ExpertMap assigns the experts of all layers to the ranks of a group.
type ExpertMap struct {
	Version uint64 `json:"version"`
	// Layers[layer][rank] lists the experts on the rank.
	Layers [][][]uint16 `json:"layers"`
}

// Order is one order to an engine.
type Order struct {
	// ID is unique; an engine carries out each ID at most once.
	ID    string    `json:"id"`
	Fence Fence     `json:"fence"`
	Kind  OrderKind `json:"kind"`
	// Rank is the target rank in its group.
	Rank       ident.Rank  `json:"rank"`
	Model      string      `json:"model,omitempty"`
	Adapter    string      `json:"adapter,omitempty"`
	Version    string      `json:"version,omitempty"`
	Role       Role        `json:"role,omitempty"`
	Experts    []ExpertRef `json:"experts,omitempty"`
	Map        *ExpertMap  `json:"map,omitempty"`
	MapVersion uint64      `json:"map_version,omitempty"`
	Step       uint64      `json:"step,omitempty"`
	// Boot is the boot number of the target engine; an engine with another boot number
	// refuses the order. 0 means any.
	Boot uint64 `json:"boot,omitempty"`
}

// OrderState is the state of an order at the engine.
type OrderState string

// The states of orders.
const (
	OrderNone    OrderState = ""
	OrderRunning OrderState = "running"
	OrderDone    OrderState = "done"
	OrderFailed  OrderState = "failed"
)

// OrderReceipt is an engine's response to an order that it accepted.
type OrderReceipt struct {
	ID    string     `json:"id"`
	State OrderState `json:"state"`
	// Detail explains a failed order.
	Detail string `json:"detail,omitempty"`
}

// EngineState is an engine's state, including the result of its last order.
type EngineState struct {
	Boot uint64 `json:"boot"`
	// LastOrder, LastFence and LastState describe the order that was started last.
	LastOrder string     `json:"last_order"`
	LastFence Fence      `json:"last_fence"`
	LastState OrderState `json:"last_state"`
	Model     string     `json:"model"`
	Version   string     `json:"version"`
	Adapters  []string   `json:"adapters,omitempty"`
	Role      Role       `json:"role"`
	// MapVersion is the version of the map in use. NextMapVersion is used from step
	// NextMapStep on; 0 means that no next map is set.
	MapVersion     uint64 `json:"map_version"`
	NextMapVersion uint64 `json:"next_map_version,omitempty"`
	NextMapStep    uint64 `json:"next_map_step,omitempty"`
	// Step is the number of the next step.
	Step uint64 `json:"step"`
	// Gated is true if the engine runs only the steps below AllowedSteps.
	Gated        bool   `json:"gated,omitempty"`
	AllowedSteps uint64 `json:"allowed_steps,omitempty"`
	// Experts lists the experts whose weights are loaded in addition to the map's, sorted.
	Experts []ExpertRef `json:"experts,omitempty"`
}

// ExpertCounts holds how many tokens were routed to each expert of each layer since the
// engine's boot.
type ExpertCounts struct {
	Boot uint64     `json:"boot"`
	Rank ident.Rank `json:"rank"`
	// Step is the number of the next step. Tokens of earlier steps are counted, except those
	// of a step that is still running.
	Step uint64 `json:"step"`
	// Layers[layer][expert] is the number of tokens.
	Layers [][]uint64 `json:"layers"`
}
