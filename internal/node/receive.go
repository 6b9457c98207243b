package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleyspool/bramleyspool/internal/control"
	"github.com/bramleyspool/bramleyspool/internal/timeline"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

// timelineCapacity is the maximum number of timeline events that a process buffers.
const timelineCapacity = 4096

// Authorize returns an error if a peer must not connect.
func (h *Host) Authorize(peer wire.Identity) error {
	return h.directory.Authorize(peer)
}

// Receive updates the clock with the message's stamp and queues the message for the control
// thread. If the queue is full, the message is dropped.
func (h *Host) Receive(_ wire.Identity, envelope wire.Envelope, from *wire.Conn) {
	h.clock.Receive(time.Now(), envelope.Stamp)
	h.Offer(control.MessageReceived{From: envelope.From, Body: envelope.Body, Route: from})
}

// ServeCall passes a call stream of another process to the role once it is set.
func (h *Host) ServeCall(peer wire.Identity, call *wire.Call) {
	select {
	case <-h.started:
		h.role.ServeCall(peer, call)
	case <-h.ctx.Done():
	}
}

// Report counts a fault of the transport and records it in the timeline and the log.
func (h *Host) Report(fault wire.Fault) {
	h.config.Metrics.Scope.Tagged(map[string]string{"reason": string(fault.Reason)}).Counter("transport_faults").Inc(1)
	h.RecordEvent(control.TimelineEvent{
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

// RecordEvent records an event in the timeline and the log.
func (h *Host) RecordEvent(record control.TimelineEvent) {
	event := timeline.Event{
		Kind:     timeline.Kind(record.Kind),
		Request:  record.Request,
		Customer: record.Customer,
		Group:    record.Group,
		About:    record.About,
	}
	for _, field := range record.Fields {
		event.Fields = append(event.Fields, timeline.String(field.Key, field.Value))
	}
	h.events.Add(time.Now(), event)
	h.log(record)
}

func (h *Host) log(record control.TimelineEvent) {
	fields := logrus.Fields{}
	for _, field := range record.Fields {
		fields[field.Key] = field.Value
	}
	if record.Request != "" {
		fields["request"] = record.Request
	}
	if record.Customer != "" {
		fields["customer"] = record.Customer
	}
	if record.Group != "" {
		fields["group"] = record.Group
	}
	if record.About != "" {
		fields["about"] = record.About
	}
	entry := h.config.Log.WithFields(fields)
	switch record.Severity {
	case control.SeverityWarning:
		entry.Warning(record.Kind)
	case control.SeverityDebug:
		entry.Debug(record.Kind)
	default:
		entry.Info(record.Kind)
	}
}
