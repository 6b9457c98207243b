// Package control holds the whole control state of an entry and of an agent process. It
// composes the decision packages: typed events go in with the time, typed actions come
// out. It does no I/O, so that many processes can be driven in one.
package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/published"
)

// TickInterval is the time between two Tick events.
const TickInterval = 100 * time.Millisecond

// Self describes the process.
type Self struct {
	Instance ident.Instance
	Zone     ident.Zone
	Region   ident.Region
	// Layout is the form in which the configuration service holds the configuration.
	Layout membership.Layout
	// Seeds are peers to ask for the configuration before one is in force.
	Seeds []membership.Peer
	// Group sets the agent's part in a model group.
	Group GroupSettings
}

// Route is an opaque handle of the connection that a message came over; nil for none.
type Route any

// Event is an input of an Entry or an Agent.
type Event interface{ isEvent() }

// Action is an output of an Entry or an Agent.
type Action interface{ isAction() }

// MessageReceived brings a message of another process.
type MessageReceived struct {
	From ident.Instance
	// Body is a pointer to one of the messages that the programs register.
	Body  any
	Route Route
}

// ConfigAnswered brings the configuration service's answer to a ReadConfig action.
type ConfigAnswered struct{ Answer membership.ServiceAnswered }

// ConfigFailed reports that a ReadConfig action failed.
type ConfigFailed struct{ Failure membership.ServiceFailed }

// ListedVM is one VM of the platform's list.
type ListedVM struct {
	VM      ident.VM
	Leaving bool
}

// VMsListed brings the platform's list of VMs.
type VMsListed struct{ VMs []ListedVM }

// Tick lets time pass.
type Tick struct{}

// StopAsked asks for a planned stop.
type StopAsked struct{}

// StopForced ends the process without waiting for what is open.
type StopForced struct{}

func (MessageReceived) isEvent() {}
func (ConfigAnswered) isEvent()  {}
func (ConfigFailed) isEvent()    {}
func (VMsListed) isEvent()       {}
func (Tick) isEvent()            {}
func (StopAsked) isEvent()       {}
func (StopForced) isEvent()      {}

// Send sends a message to the process on a VM.
type Send struct {
	To   ident.VM
	Body any
	// Route is the connection to answer over; nil leaves the choice.
	Route Route
	// NewConnection asks for a connection that is opened now.
	NewConnection bool
}

// ReadConfig calls the configuration service.
type ReadConfig struct{ Call membership.ServiceCall }

// InForce publishes a configuration to the traffic threads.
type InForce struct{ Configuration *published.Configuration }

// Readiness tells whether the process takes calls.
type Readiness struct{ Ready bool }

// ReasonSuperseded is the reason of an Exit because a later run of the VM is known.
const ReasonSuperseded = "superseded"

// Exit ends the process.
type Exit struct{ Reason string }

// Severity is how a note is logged.
type Severity uint8

// The severities of notes.
const (
	SeverityInfo Severity = iota
	SeverityWarning
	SeverityDebug
)

// Field is one key and value of a note.
type Field struct {
	Key   string
	Value string
}

// Note is an event for the time line and the log.
type Note struct {
	Kind     string
	Severity Severity
	Request  ident.Request
	Customer ident.Customer
	Group    ident.Group
	// About is the VM that the note is about; "" for the process's own.
	About  ident.VM
	Fields []Field
}

// Gauge is one figure for the metrics.
type Gauge struct {
	Name  string
	Value float64
}

// Gauges publishes figures, about once a second.
type Gauges struct{ Gauges []Gauge }

func (Send) isAction()       {}
func (Gauges) isAction()     {}
func (ReadConfig) isAction() {}
func (InForce) isAction()    {}
func (Readiness) isAction()  {}
func (Exit) isAction()       {}
func (Note) isAction()       {}
