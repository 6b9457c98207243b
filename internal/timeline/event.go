package timeline

import (
	"cmp"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// Kind names a type of event, for example "call-dispatched".
type Kind string

// Kinds of events that this package creates.
const (
	// KindDropped stands for events that the process has dropped from its buffer. The field "count" holds
	// their number, the field "first" the stamp of the first event that the process has ever dropped.
	KindDropped Kind = "events-dropped"
	// KindUnreachable stands for the events of a process that could not be queried. The field "reason" holds the error.
	KindUnreachable Kind = "process-unreachable"
)

// Event is one event of one process. Empty identifiers are omitted from its text, JSON and CBOR forms.
type Event struct {
	Stamp       Stamp             `cbor:"1,keyasint" json:"stamp"`
	VM          ident.VM          `cbor:"2,keyasint" json:"vm"`
	Incarnation ident.Incarnation `cbor:"3,keyasint" json:"incarnation"`
	// Sequence is the number of the event among those of its instance, from 1.
	Sequence uint64         `cbor:"4,keyasint" json:"sequence"`
	Kind     Kind           `cbor:"5,keyasint" json:"kind"`
	Request  ident.Request  `cbor:"6,keyasint,omitempty" json:"request,omitempty"`
	Customer ident.Customer `cbor:"7,keyasint,omitempty" json:"customer,omitempty"`
	Group    ident.Group    `cbor:"8,keyasint,omitempty" json:"group,omitempty"`
	// About is the VM that the event concerns, if it is not VM.
	About  ident.VM `cbor:"9,keyasint,omitempty" json:"about,omitempty"`
	Fields []Field  `cbor:"10,keyasint,omitempty" json:"fields,omitempty"`
}

// Compare orders events by their stamps, then by process and sequence number.
func (e *Event) Compare(other *Event) int {
	return cmp.Or(
		e.Stamp.Compare(other.Stamp),
		cmp.Compare(e.VM, other.VM),
		cmp.Compare(e.Incarnation, other.Incarnation),
		cmp.Compare(e.Sequence, other.Sequence),
	)
}

// copyContent copies other and appends the fields. It reuses the memory of e.Fields and keeps no reference to the slices
// that it copies from.
func (e *Event) copyContent(other Event, fields []Field) {
	kept := append(e.Fields[:0], other.Fields...)
	*e = other
	e.Fields = append(kept, fields...)
}

// Unreachable returns the event for a process that could not be queried for its events.
func Unreachable(stamp Stamp, vm ident.VM, reason string) Event {
	return Event{Stamp: stamp, VM: vm, Kind: KindUnreachable, Fields: []Field{String("reason", reason)}}
}

// representsLoss reports whether the event stands for missing events.
func (e *Event) representsLoss() bool {
	return e.Kind == KindDropped || e.Kind == KindUnreachable
}
