package admission

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

// Event is an input of a Controller.
type Event interface{ isEvent() }

// Configure replaces the customer plans and the roster.
type Configure struct {
	Plans []template.CustomerPlan
	// Roster lists the VMs of all entries in the fleet document of the configuration in force, in any order.
	Roster []ident.VM
}

// Arrive adds a new request at the entry.
type Arrive struct {
	Request  ident.Request
	Customer ident.Customer
	Class    ident.Class
	// Worth is the relative value of serving the request. If greater than 0, it overrides the worth of the class in the
	// plan. Queues of an overloaded customer are served in the order of worth per slot time.
	Worth float64
	// Tokens is the estimated number of prompt and output tokens; 0 for plain services, which do not
	// generate tokens.
	Tokens int
	// Deadline is the latest time for the start of the answer. If it is zero, the deadline of the plan is used,
	// counted from the arrival.
	Deadline time.Time
	// Retry is true if the caller repeats the request after a refusal or a failure.
	Retry bool
}

// Capacity sets the capacity of a service that the entry may use.
type Capacity struct {
	Service ident.Service
	// Slots is the number of requests that the entry may have dispatched at a time, including those already
	// dispatched.
	Slots int
	// ServiceTime is the mean time that a request occupies a slot; 0 if unknown.
	ServiceTime time.Duration
	// AnswerTime is the typical time from dispatch to the start of the answer.
	AnswerTime time.Duration
}

// Done reports the end of an admitted request.
type Done struct {
	Request ident.Request
	// Tokens is the number of tokens used; 0 keeps the estimate.
	Tokens  int
	Outcome outcome.Outcome
}

// Cancel reports that the caller of a request has disconnected. A queued request is refused; an admitted one stays
// open until its Done.
type Cancel struct {
	Request ident.Request
}

// LimitGranted delivers a grant from a coordinator.
type LimitGranted struct {
	Grant LimitGrant
}

// Tick triggers periodic work. It must be sent at least every TickInterval.
type Tick struct{}

func (Configure) isEvent()    {}
func (Arrive) isEvent()       {}
func (Capacity) isEvent()     {}
func (Done) isEvent()         {}
func (Cancel) isEvent()       {}
func (LimitGranted) isEvent() {}
func (Tick) isEvent()         {}

// Action is an output of a Controller.
type Action interface{ isAction() }

// Admit allows a request to be dispatched. The dispatcher reads its clock just before it sends the request; if NotAfter
// has passed, it does not send it and reports Done with CauseDeadline.
type Admit struct {
	Request  ident.Request
	Service  ident.Service
	NotAfter time.Time
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
}

// Refuse ends a request without dispatching it.
type Refuse struct {
	Request ident.Request
	Outcome outcome.Outcome
	// Limit is the limit that was reached; LimitNone if there was none.
	Limit LimitKind
}

// SendLimitRequest sends a message to the coordinator on a VM.
type SendLimitRequest struct {
	To      ident.VM
	Message LimitRequest
}

// Report carries the account entries that have changed. The control package writes their refusals to the timeline, the
// record of events that operators read. The operators' API reads Controller.Account instead.
type Report struct {
	Message AccountReport
}

func (Admit) isAction()            {}
func (Refuse) isAction()           {}
func (SendLimitRequest) isAction() {}
func (Report) isAction()           {}

// CoordinatorEvent is an input of a LimitCoordinator.
type CoordinatorEvent interface{ isCoordinatorEvent() }

// LimitRequested delivers a request of an entry, which may be the coordinator's own.
type LimitRequested struct {
	Request LimitRequest
}

func (Configure) isCoordinatorEvent()      {}
func (LimitRequested) isCoordinatorEvent() {}
func (Tick) isCoordinatorEvent()           {}

// CoordinatorAction is an output of a LimitCoordinator.
type CoordinatorAction interface{ isCoordinatorAction() }

// SendLimitGrant sends a message to the holder on a VM, which may be the coordinator's own.
type SendLimitGrant struct {
	To      ident.VM
	Message LimitGrant
}

func (SendLimitGrant) isCoordinatorAction() {}
