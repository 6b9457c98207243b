// Package control holds the control state of entry and agent processes. It combines the
// decision packages: each step takes a typed event and the current time and returns typed
// actions. It does no I/O, so that a test or simulation can run many processes in one. The
// Dispatcher, for entries that send requests without leases, is called by methods instead of
// events and returns assignments.
package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/published"
)

// TickInterval is the time between two Tick events.
const TickInterval = 100 * time.Millisecond

// Self describes the process that the control state belongs to.
type Self struct {
	Instance ident.Instance
	Zone     ident.Zone
	Region   ident.Region
	// Layout says how the configuration service stores the configuration.
	Layout membership.Layout
	// Seeds are the peers to request a configuration from until one is in force.
	Seeds []membership.Peer
	// Group configures the agent's part in a model group.
	Group GroupSettings
}

// Route is an opaque handle of the connection on which a message was received; nil means none.
// It has nothing to do with routing.Route, the rule by which a request is routed.
type Route any

// Event is an input of an Entry or an Agent.
type Event interface{ isEvent() }

// Action is an output of an Entry or an Agent.
type Action interface{ isAction() }

// MessageReceived delivers a message from another process.
type MessageReceived struct {
	From ident.Instance
	// Body is a pointer to one of the message types that the programs register with the codec.
	Body  any
	Route Route
}

// ConfigAnswered delivers the configuration service's response to a ReadConfig action.
type ConfigAnswered struct{ Answer membership.ServiceAnswered }

// ConfigFailed reports that a ReadConfig action failed.
type ConfigFailed struct{ Failure membership.ServiceFailed }

// ListedVM is one VM of the platform's list.
type ListedVM struct {
	VM      ident.VM
	Leaving bool
}

// VMsListed delivers the platform's list of VMs.
type VMsListed struct{ VMs []ListedVM }

// Tick comes every TickInterval and drives timeouts and periodic work.
type Tick struct{}

// StopRequested reports that a planned stop was requested: the process drains before it exits.
type StopRequested struct{}

// StopForced ends the process at once, without waiting for open calls or runs.
type StopForced struct{}

func (MessageReceived) isEvent() {}
func (ConfigAnswered) isEvent()  {}
func (ConfigFailed) isEvent()    {}
func (VMsListed) isEvent()       {}
func (Tick) isEvent()            {}
func (StopRequested) isEvent()   {}
func (StopForced) isEvent()      {}

// Send sends a message to the process on a VM.
type Send struct {
	To   ident.VM
	Body any
	// Route is the connection to send over; nil lets the transport choose one.
	Route Route
	// NewConnection requires a connection that is opened for this message.
	NewConnection bool
}

// ReadConfig calls the configuration service.
type ReadConfig struct{ Call membership.ServiceCall }

// InForce publishes the configuration in force to the threads that serve traffic.
type InForce struct{ Configuration *published.Configuration }

// Readiness reports whether the process accepts calls.
type Readiness struct{ Ready bool }

// ReasonSuperseded is the Reason of an Exit after a later incarnation of the process was
// detected.
const ReasonSuperseded = "superseded"

// Exit ends the process. Reason is ReasonSuperseded or the event of charts/process.json that
// caused the exit.
type Exit struct{ Reason string }

// Severity is the level at which a TimelineEvent is logged.
type Severity uint8

// The severities of a TimelineEvent.
const (
	SeverityInfo Severity = iota
	SeverityWarning
	SeverityDebug
)

// Field is a key and a value of a TimelineEvent.
type Field struct {
	Key   string
	Value string
}

// TimelineEvent is an event for the timeline and the log.
type TimelineEvent struct {
	Kind     string
	Severity Severity
	Request  ident.Request
	Customer ident.Customer
	Group    ident.Group
	// About is the VM that the event concerns; "" means the process's own VM.
	About  ident.VM
	Fields []Field
}

// Gauge is the current value of a metric.
type Gauge struct {
	Name  string
	Value float64
}

// Gauges publishes metric values, about once a second.
type Gauges struct{ Gauges []Gauge }

func (Send) isAction()          {}
func (Gauges) isAction()        {}
func (ReadConfig) isAction()    {}
func (InForce) isAction()       {}
func (Readiness) isAction()     {}
func (Exit) isAction()          {}
func (TimelineEvent) isAction() {}
