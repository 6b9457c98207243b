package membership

import (
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// The events, guards and actions of the state chart charts/lease.json.
const (
	eventGranted     chart.Event = "granted"
	eventLeaving     chart.Event = "left"
	eventSilent      chart.Event = "silent"
	eventProbeFailed chart.Event = "probe-failed"
	eventAbsent      chart.Event = "absent"
	eventGap         chart.Event = "gap"

	guardProbed           chart.Guard = "probed"
	guardAbsent           chart.Guard = "absent-from-list"
	guardProbeHasFailed   chart.Guard = "probe-has-failed"
	guardOtherIncarnation chart.Guard = "other-incarnation"

	actionPublish chart.Action = "publish"
	actionProbe   chart.Action = "probe"
	actionRenew   chart.Action = "renew"
	actionReplace chart.Action = "replace-connection"
)

// maxPendingRequests is the number of latest lease requests to an agent that a grant may still answer.
const maxPendingRequests = 4

// pendingRequest is a lease request that a grant may still answer.
type pendingRequest struct {
	sequence Sequence
	sent     time.Time
}

// backend is the state of one backend server in a Holder.
type backend struct {
	view   BackendView
	demand uint32
	// sequence is the number of the last request. Grants for requests up to staleThrough are ignored.
	sequence     Sequence
	staleThrough Sequence
	lastAnswered Sequence
	pending      [maxPendingRequests]pendingRequest
	// lastReceivedAt is when the last valid grant was received. Before the first grant it is when the
	// backend server was added; after a gap, the end of the gap.
	lastReceivedAt time.Time
	lastRequestAt  time.Time
	nextRequestAt  time.Time
	// unanswered counts the lease requests sent by sendLeaseRequest since the last valid grant. Those sent
	// with a dispatch or as a probe are not counted.
	unanswered int
	// leavingIncarnation is the incarnation that announced that it is leaving.
	leavingIncarnation ident.Incarnation
	probe              probe
}

// probe is an attempt to reach an agent over a new connection.
type probe struct {
	// sequence is the number of the lease request of the open probe; 0 if no probe is open.
	sequence Sequence
	deadline time.Time
	// retryAt is the earliest time of the next probe after a failed one.
	retryAt time.Time
	backoff time.Duration
	failed  bool
}

// guardedEvent is an event for the state chart with the values that its guards check.
type guardedEvent struct {
	event chart.Event
	// viaProbe is true if a grant answers the open probe and came over its connection.
	viaProbe bool
	// otherIncarnation is true if a grant is from another incarnation than the one that announced that it
	// is leaving.
	otherIncarnation bool
}

// setBackends replaces the list of backend servers. The state of those that stay is kept; leases are
// requested from the new ones.
func (h *Holder) setBackends(now time.Time, vms []ident.VM, out *holderActions) {
	updated := make([]*backend, 0, len(vms))
	sorted := append([]ident.VM(nil), vms...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	for i, vm := range sorted {
		if i > 0 && sorted[i-1] == vm {
			continue
		}
		b := h.find(vm)
		if b == nil {
			b = &backend{view: BackendView{VM: vm, State: h.chart.Initial()}, lastReceivedAt: now}
		}
		updated = append(updated, b)
	}
	h.backends = updated
	for _, b := range updated {
		if b.sequence == 0 {
			h.sendLeaseRequest(now, b, out)
		}
	}
}

// checkGap detects that the process was paused. Grants for requests sent before the pause are then
// ignored, and all leases are requested again.
func (h *Holder) checkGap(now time.Time, out *holderActions) {
	last := h.lastStep
	h.lastStep = now
	if last.IsZero() {
		return
	}
	gap := Gap(last, now)
	if gap <= h.settings.MaxGap {
		return
	}
	out.add(GapDetected{Gap: gap})
	for _, b := range h.backends {
		b.staleThrough = b.sequence
		b.lastReceivedAt = now
		b.probe = probe{}
		h.apply(now, b, guardedEvent{event: eventGap}, out)
	}
}

func (h *Holder) tick(now time.Time, b *backend, out *holderActions) {
	if !now.Before(b.nextRequestAt) {
		h.sendLeaseRequest(now, b, out)
	}
	expired := b.view.State == StateAlive && !now.Before(b.view.Expires)
	if expired || now.Sub(b.lastReceivedAt) >= h.settings.Silence {
		h.handleSilence(now, b, out)
	}
	if b.probe.sequence != 0 && !now.Before(b.probe.deadline) {
		h.handleProbeFailed(now, b, b.probe.sequence, out)
	}
}

// handleSilence handles that no grant was received for too long. The first time, the state chart's
// transition starts a probe. After a failed probe, handleSilence itself starts further ones with a
// backoff, except in StateGone.
func (h *Holder) handleSilence(now time.Time, b *backend, out *holderActions) {
	if b.probe.sequence != 0 {
		return
	}
	if b.probe.failed {
		if b.view.State != StateGone && !now.Before(b.probe.retryAt) {
			h.startProbe(now, b, out)
		}
		return
	}
	h.apply(now, b, guardedEvent{event: eventSilent}, out)
}

// sendLeaseRequest sends a lease request and schedules the next one: after retryInterval for the first
// maxRetries requests without a grant, then after the heartbeat interval; in StateGone always after
// maxProbeBackoff.
func (h *Holder) sendLeaseRequest(now time.Time, b *backend, out *holderActions) {
	out.add(SendLeaseRequest{To: b.view.VM, Request: h.newLeaseRequest(now, b)})
	b.lastRequestAt = now
	wait := retryInterval
	if b.unanswered >= maxRetries {
		wait = h.settings.HeartbeatInterval
	}
	if b.view.State == StateGone {
		wait = maxProbeBackoff
	}
	b.unanswered++
	b.nextRequestAt = now.Add(wait)
}

// setDemand sets how many credits the entry can use. If it has fewer, the next lease request is due
// two retry intervals after the last one.
func (b *backend) setDemand(demand uint32) {
	b.demand = demand
	soon := b.lastRequestAt.Add(2 * retryInterval)
	if demand > b.view.Credits && soon.Before(b.nextRequestAt) {
		b.nextRequestAt = soon
	}
}

// Request creates a lease request for the caller to send along with a dispatch, and records it as sent.
// It returns false if the next lease request is not due within half a heartbeat interval, or the VM is not
// in the entry's subset. The grant in the answer to the dispatch saves a heartbeat.
func (h *Holder) Request(now time.Time, vm ident.VM) (LeaseRequest, bool) {
	b := h.find(vm)
	if b == nil || b.nextRequestAt.Sub(now) > h.settings.HeartbeatInterval/2 {
		return LeaseRequest{}, false
	}
	return h.newLeaseRequest(now, b), true
}

func (h *Holder) newLeaseRequest(now time.Time, b *backend) LeaseRequest {
	b.sequence++
	b.pending[b.sequence%maxPendingRequests] = pendingRequest{sequence: b.sequence, sent: now}
	return LeaseRequest{
		Sequence:    b.sequence,
		Held:        b.view.Lease,
		Incarnation: b.view.Incarnation,
		Demand:      max(b.demand, b.view.Open),
		Config:      h.config,
	}
}

func (h *Holder) startProbe(now time.Time, b *backend, out *holderActions) {
	request := h.newLeaseRequest(now, b)
	b.probe.sequence = request.Sequence
	b.probe.deadline = now.Add(h.settings.ProbeTimeout)
	out.add(ProbeNewConnection{To: b.view.VM, Request: request})
}

func (h *Holder) handleProbeFailed(now time.Time, b *backend, sequence Sequence, out *holderActions) {
	if b.probe.sequence == 0 || b.probe.sequence != sequence {
		return
	}
	b.probe.sequence = 0
	b.probe.failed = true
	b.probe.backoff = min(max(2*b.probe.backoff, h.settings.ProbeTimeout), maxProbeBackoff)
	b.probe.retryAt = now.Add(b.probe.backoff)
	h.apply(now, b, guardedEvent{event: eventProbeFailed}, out)
}

func (h *Holder) handleListed(now time.Time, b *backend, state ListedState, out *holderActions) {
	b.view.Listed = state
	if state == ListedAbsent {
		h.apply(now, b, guardedEvent{event: eventAbsent}, out)
	}
}

// sentAt returns when the request with the sequence number was sent. It returns false if the request
// is unknown or too old to be answered.
func (b *backend) sentAt(sequence Sequence) (time.Time, bool) {
	request := b.pending[sequence%maxPendingRequests]
	return request.sent, request.sequence == sequence && sequence > b.staleThrough
}

// isNewer reports whether a grant is newer than the last one. Grants of the same incarnation are
// compared by lease number, others by the sequence number of the request.
func (b *backend) isNewer(grant LeaseGrant) bool {
	if grant.Incarnation == b.view.Incarnation {
		return grant.Leaving || grant.Number > b.view.Lease
	}
	return grant.Sequence > b.lastAnswered
}

func (h *Holder) handleGrant(now time.Time, b *backend, event GrantReceived, out *holderActions) {
	grant := event.Grant
	sent, known := b.sentAt(grant.Sequence)
	if !known || !b.isNewer(grant) {
		return
	}
	changed := grant.Incarnation != b.view.Incarnation
	if changed {
		h.handleRestart(b, grant.Incarnation, out)
	}
	b.lastAnswered = max(b.lastAnswered, grant.Sequence)
	b.lastReceivedAt = now
	b.unanswered = 0
	b.nextRequestAt = now.Add(h.settings.HeartbeatInterval)
	b.view.Load, b.view.LoadAt, b.view.SinceLoad = grant.Load, now, 0
	viaProbe := event.NewConnection && b.probe.sequence == grant.Sequence
	b.probe = probe{}
	if grant.Leaving {
		h.handleLeaving(now, b, grant.Incarnation, out)
		return
	}
	b.view.Lease = grant.Number
	b.view.Credits = grant.Credits
	b.view.Expires = sent.Add(min(grant.Duration.Duration(), maxLease) - leaseMargin)
	if b.view.FirstGranted.IsZero() {
		b.view.FirstGranted = now
	}
	leaving := b.leavingIncarnation == grant.Incarnation
	h.apply(now, b, guardedEvent{event: eventGranted, viaProbe: viaProbe, otherIncarnation: !leaving}, out)
}

// setLoad records the load of the current incarnation and ignores that of any other.
func (b *backend) setLoad(now time.Time, event LoadReceived) {
	if event.Incarnation == b.view.Incarnation {
		b.view.Load, b.view.LoadAt, b.view.SinceLoad = event.Load, now, 0
	}
}

// handleRestart removes the lease and the credits that the previous incarnation granted.
func (h *Holder) handleRestart(b *backend, incarnation ident.Incarnation, out *holderActions) {
	if b.view.Incarnation != 0 {
		out.add(BackendRestarted{VM: b.view.VM, Old: b.view.Incarnation, New: incarnation})
	}
	b.view.Incarnation = incarnation
	b.view.Lease = 0
	b.view.Credits = 0
	b.view.FirstGranted = time.Time{}
}

func (h *Holder) handleLeaving(now time.Time, b *backend, incarnation ident.Incarnation, out *holderActions) {
	if incarnation != b.view.Incarnation && b.view.Incarnation != 0 {
		return
	}
	b.leavingIncarnation = incarnation
	b.view.Incarnation = incarnation
	b.view.Credits = 0
	h.apply(now, b, guardedEvent{event: eventLeaving}, out)
}

// apply passes an event to the state chart and carries out the actions of the transition.
func (h *Holder) apply(now time.Time, b *backend, s guardedEvent, out *holderActions) {
	step, err := h.chart.Next(b.view.State, s.event, func(guard chart.Guard) bool { return b.evalGuard(guard, s) })
	if err != nil {
		panic("invariant: " + err.Error())
	}
	b.view.State = step.To
	for _, action := range step.Actions {
		switch action {
		case actionPublish:
			if step.From != step.To {
				out.add(BackendChanged{VM: b.view.VM, From: step.From, To: step.To})
			}
		case actionProbe:
			if !b.probe.failed || !now.Before(b.probe.retryAt) {
				h.startProbe(now, b, out)
			}
		case actionRenew:
			h.sendLeaseRequest(now, b, out)
		case actionReplace:
			out.add(ReplaceConnection{To: b.view.VM})
		}
	}
}

func (b *backend) evalGuard(guard chart.Guard, s guardedEvent) bool {
	switch guard {
	case guardProbed:
		return s.viaProbe
	case guardAbsent:
		return b.view.Listed == ListedAbsent
	case guardProbeHasFailed:
		return b.probe.failed
	case guardOtherIncarnation:
		return s.otherIncarnation
	}
	panic("invariant: unknown guard " + string(guard))
}
