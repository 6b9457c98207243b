package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/timeline"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

// timelineCapacity is the number of events that a process keeps for the time line.
const timelineCapacity = 4096

// Authorize decides whether a peer is let in.
func (h *Host) Authorize(peer wire.Identity) error {
	return h.directory.Authorize(peer)
}

// Receive hands a message to the control thread.
func (h *Host) Receive(_ wire.Identity, envelope wire.Envelope, from *wire.Conn) {
	h.clock.Receive(time.Now(), envelope.Stamp)
	h.Offer(control.MessageReceived{From: envelope.From, Body: envelope.Body, Route: from})
}

// ServeCall serves a call stream of another process.
func (h *Host) ServeCall(peer wire.Identity, call *wire.Call) {
	select {
	case <-h.started:
		h.role.ServeCall(peer, call)
	case <-h.ctx.Done():
	}
}

// Report counts and logs a fault of the transport.
func (h *Host) Report(fault wire.Fault) {
	h.config.Metrics.Scope.Tagged(map[string]string{"reason": string(fault.Reason)}).Counter("transport_faults").Inc(1)
	h.Note(control.TimelineEvent{
		Kind:     "transport-fault",
		Severity: control.SeverityWarning,
		About:    fault.Peer.VM,
		Fields: []control.Field{
			{Key: "reason", Value: string(fault.Reason)},
			{Key: "address", Value: fault.Address},
			{Key: "error", Value: fault.Err.Error()},
		},
	})
}

// Note writes a note to the time line and the log.
func (h *Host) Note(note control.TimelineEvent) {
	event := timeline.Event{
		Kind:     timeline.Kind(note.Kind),
		Request:  note.Request,
		Customer: note.Customer,
		Group:    note.Group,
		About:    note.About,
	}
	for _, field := range note.Fields {
		event.Fields = append(event.Fields, timeline.String(field.Key, field.Value))
	}
	h.events.Add(time.Now(), event)
	h.log(note)
}

func (h *Host) log(note control.TimelineEvent) {
	fields := logrus.Fields{}
	for _, field := range note.Fields {
		fields[field.Key] = field.Value
	}
	if note.Request != "" {
		fields["request"] = note.Request
	}
	if note.Customer != "" {
		fields["customer"] = note.Customer
	}
	if note.Group != "" {
		fields["group"] = note.Group
	}
	if note.About != "" {
		fields["about"] = note.About
	}
	entry := h.config.Log.WithFields(fields)
	switch note.Severity {
	case control.SeverityWarning:
		entry.Warning(note.Kind)
	case control.SeverityDebug:
		entry.Debug(note.Kind)
	default:
		entry.Info(note.Kind)
	}
}
