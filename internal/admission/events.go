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
	// Roster lists the published entry VMs in any order.
	Roster []ident.VM
}

// Arrive reports a new request at the entry.
type Arrive struct {
	Request  ident.Request
	Customer ident.Customer
	Class    ident.Class
	// Worth overrides the plan's worth of the class if greater than 0.
	Worth float64
	// Tokens is the estimate of prompt and output tokens; 0 for plain services.
	Tokens int
	// Deadline is the latest time for the start of the answer; the plan's deadline
	// counted from now is used if it is zero.
	Deadline time.Time
	// Retry is true if the caller sends the request again after a refusal or a failure.
	Retry bool
}

// Capacity reports what the entry may use of a service.
type Capacity struct {
	Service ident.Service
	// Slots is the number of requests that the entry may have dispatched at once;
	// those already dispatched count.
	Slots int
	// ServiceTime is the mean time that a request holds a slot; 0 if unknown.
	ServiceTime time.Duration
	// AnswerTime is the usual time from dispatch to the start of the answer.
	AnswerTime time.Duration
}

// Done reports the end of an admitted request.
type Done struct {
	Request ident.Request
	// Tokens is the number of tokens used; 0 keeps the estimate.
	Tokens  int
	Outcome outcome.Outcome
}

// Cancel reports that the caller of a request has gone. A queued request is refused;
// an admitted one stays open until its Done.
type Cancel struct {
	Request ident.Request
}

// LimitGranted delivers a coordinator's answer.
type LimitGranted struct {
	Grant LimitGrant
}

// Tick reports the passing of time. It must come at least every TickInterval.
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

// Admit lets a request be dispatched. The dispatcher reads its clock just before it
// sends the request, and reports Done with CauseDeadline instead if NotAfter has passed.
type Admit struct {
	Request  ident.Request
	Service  ident.Service
	NotAfter time.Time
	// Waited is the time that the request was queued.
	Waited time.Duration
}

// Refuse gives a request its final answer.
type Refuse struct {
	Request ident.Request
	Outcome outcome.Outcome
	// Limit is the limit that was reached; LimitNone if none was.
	Limit LimitKind
}

// SendLimitRequest sends a message to the coordinator on a VM.
type SendLimitRequest struct {
	To      ident.VM
	Message LimitRequest
}

// Report publishes account entries to metrics, the API and the time line.
type Report struct {
	Message AccountReport
}

func (Admit) isAction()            {}
func (Refuse) isAction()           {}
func (SendLimitRequest) isAction() {}
func (Report) isAction()           {}

// CoordinatorEvent is an input of a LimitCoordinator.
type CoordinatorEvent interface{ isCoordinatorEvent() }

// LimitRequested delivers an entry's request, also that of the coordinator's own entry.
type LimitRequested struct {
	Request LimitRequest
}

func (Configure) isCoordinatorEvent()      {}
func (LimitRequested) isCoordinatorEvent() {}
func (Tick) isCoordinatorEvent()           {}

// CoordinatorAction is an output of a LimitCoordinator.
type CoordinatorAction interface{ isCoordinatorAction() }

// SendLimitGrant sends a message to the holder on a VM, which may be the own one.
type SendLimitGrant struct {
	To      ident.VM
	Message LimitGrant
}

func (SendLimitGrant) isCoordinatorAction() {}
