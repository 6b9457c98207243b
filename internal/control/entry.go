package control

import (
	"time"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/routing"
)

// leavingRetryAfter is the Retry-After of calls that a stopping entry refuses: the other entries can serve them at once.
const leavingRetryAfter = 50 * time.Millisecond

// EntryConfig configures an Entry.
type EntryConfig struct {
	Self Self
	// BalancerLag is how long the load balancer in front of the entries may still send calls
	// after a planned stop began.
	BalancerLag time.Duration
}

// Entry is the control state of an entry process. It is not safe for concurrent use.
type Entry struct {
	*base
	// config is the configuration of this process. It hides base.config, which distributes the
	// published configuration.
	config EntryConfig
	// leaseHolder holds the leases of backend servers.
	leaseHolder *membership.Holder
	admission   *admission.Controller
	coordinator *admission.LimitCoordinator
	log         *attempt.Log
	caller      *attempt.CallTable
	backends    backendSet
	calls       map[ident.Request]*entryCall
	// unrouted are the requests that wait for a target, oldest first.
	unrouted []attempt.NeedRoute
	// refusedRoutes counts the attempts that were refused because no backend server could run
	// them: hedges, and attempts that could no longer meet the deadline of the request.
	refusedRoutes uint64
	// lastStepAt is the time of the last event.
	lastStepAt time.Time
	// stopRequestedAt is when a planned stop was requested; zero before.
	stopRequestedAt time.Time
	// logHandOverSince is when a planned stop began to hand over the log of run keys; zero
	// before.
	logHandOverSince time.Time
}

// entryCall is the entry's state of an open call, beside the state of its attempts.
type entryCall struct {
	arrived   CallArrived
	arrivedAt time.Time
	// dispatchedAt is when the last attempt was dispatched.
	dispatchedAt time.Time
	// firstByteAt is when the first part of the answer was delivered; zero before.
	firstByteAt time.Time
	// openAttempts are the attempts that may be open at their targets, with the VMs of the
	// targets.
	openAttempts map[attempt.AttemptID]ident.VM
	// rank is the rank chosen last, or routing.NoRank.
	rank ident.Rank
	// alone is true if the backend server runs no other request during the last attempt.
	alone bool
	// finished is true once a FinishCall was emitted.
	finished bool
}

// NewEntry returns the control state of an entry that starts now, with its first actions.
func NewEntry(now time.Time, config EntryConfig) (*Entry, []Action, error) {
	base, err := newBase(config.Self, false)
	if err != nil {
		return nil, nil, err
	}
	self := config.Self.Instance
	holder, err := membership.NewHolder(membership.HolderSettings{Self: self}, charts.Files)
	if err != nil {
		return nil, nil, err
	}
	limits := admission.DefaultSettings(self)
	log := attempt.NewLog(now, attempt.DefaultLogConfig(self))
	e := &Entry{
		base:        base,
		config:      config,
		leaseHolder: holder,
		admission:   admission.NewController(limits),
		coordinator: admission.NewLimitCoordinator(limits),
		log:         log,
		caller:      attempt.NewCallTable(attempt.DefaultCallConfig(self), log),
		backends:    newBackendSet(now, self, config.Self.Zone),
		calls:       map[ident.Request]*entryCall{},
		lastStepAt:  now,
	}
	e.openWork = e.OpenCalls
	e.addSeeds(now)
	return e, e.drainActions(), nil
}

// Step handles one event and returns the actions to carry out.
func (e *Entry) Step(now time.Time, event Event) []Action {
	if membership.Gap(e.lastStepAt, now) > clockGap {
		e.stepLog(now, attempt.LogClockGap{})
	}
	e.lastStepAt = now
	e.handle(now, event)
	return e.drainActions()
}

func (e *Entry) handle(now time.Time, event Event) {
	if handled, inForce := e.handleShared(now, event); handled {
		if inForce {
			e.applyConfiguration(now)
		}
		return
	}
	switch event := event.(type) {
	case CallArrived:
		e.receiveCall(now, event)
	case CallRejected:
		e.recordRejection(event)
	case ReplyArrived:
		e.receiveReply(now, event.Reply)
	case AgentLoadReceived:
		e.stepHolder(now, membership.LoadReceived{From: event.Agent.VM, Incarnation: event.Agent.Incarnation, Load: event.Load})
		e.backends.recordLoadReport(event.Agent.VM)
	case DispatchFailed:
		e.stepCaller(now, attempt.DispatchUnsent{ID: event.ID})
		e.endAttempt(now, event.ID)
	case AnswerBroken:
		e.stepCaller(now, attempt.StreamBroken{ID: event.ID})
	case AnswerProgress:
		e.recordProgress(now, event)
	case CallerDisconnected:
		e.stepAdmission(now, admission.Cancel{Request: event.Request})
		e.stepCaller(now, attempt.CallerDisconnected{Request: event.Request})
	case CallDelivered:
		e.endCall(now, event)
	case KeyInquiry:
		e.answerKeyInquiry(event)
	case MessageReceived:
		e.route = event.Route
		e.receive(now, event)
	case VMsListed:
		e.applyVMList(now, event.VMs)
	case Tick:
		e.tick(now)
	case StopRequested:
		e.fire(eventStop)
		if e.stopRequestedAt.IsZero() {
			e.stopRequestedAt = now
		}
	}
}

func (e *Entry) tick(now time.Time) {
	if e.stepConfig(now, membership.ConfigTick{}) {
		e.applyConfiguration(now)
	}
	if e.backends.expireExtra(now) {
		e.updateChosenBackends(now)
	}
	e.stepHolder(now, membership.HolderTick{})
	e.stepLog(now, attempt.LogTick{})
	e.stepCaller(now, attempt.CallTick{})
	e.reportCapacity(now)
	e.stepAdmission(now, admission.Tick{})
	e.stepCoordinator(now, admission.Tick{})
	e.retryRoutes(now)
	e.checkDrained(now)
	e.publishGauges(now, Gauge{"calls_open", float64(len(e.calls))}, Gauge{"route_refused", float64(e.refusedRoutes)})
}

// takesCalls reports whether the entry takes new calls. In a planned stop it takes them as long as the load balancer may send them. A call
// that it took after it had handed over its log of run keys would be missing there, and as long as callers send calls on open connections
// the stop would not end.
func (e *Entry) takesCalls(now time.Time) bool {
	return e.state != stateStopped && (e.state != stateDraining || now.Sub(e.stopRequestedAt) < e.config.BalancerLag)
}

// checkDrained completes a planned stop. Once the balancer lag has passed and no call is open,
// it starts to hand over the log of run keys to another entry; after handOverTimeout it stops
// without the hand-over.
func (e *Entry) checkDrained(now time.Time) {
	if e.state != stateDraining || e.takesCalls(now) || len(e.calls) > 0 {
		return
	}
	if e.logHandOverSince.IsZero() {
		e.logHandOverSince = now
		report := e.admission.FinalReport()
		e.recordAccount(report.Message)
		e.stepLog(now, attempt.LogStop{})
		return
	}
	if now.Sub(e.logHandOverSince) >= handOverTimeout {
		e.recordEvent("hand-over-incomplete", SeverityWarning, "")
		e.fire(eventDrained)
	}
}

// applyConfiguration passes the configuration that came into force to the parts of the entry.
func (e *Entry) applyConfiguration(now time.Time) {
	published := e.configuration.Fleet
	plans := e.configuration.Templates.Plans
	roster := make([]ident.VM, 0, len(published.Entries))
	for i := range published.Entries {
		roster = append(roster, published.Entries[i].VM)
	}
	configure := admission.Configure{Plans: plans, Roster: roster}
	e.stepAdmission(now, configure)
	e.stepCoordinator(now, configure)
	e.stepLog(now, attempt.LogFleetChanged{Fleet: *published})
	e.backends.applyFleet(published)
	e.updateChosenBackends(now)
	e.stepHolder(now, membership.ConfigChanged{Version: e.configuration.Version})
}

// updateChosenBackends reports the backend servers to lease to the lease holder.
func (e *Entry) updateChosenBackends(now time.Time) {
	e.stepHolder(now, membership.BackendsChosen{VMs: e.backends.chosen()})
}

// applyVMList reports the state of each leased VM in the platform's list to the lease holder.
func (e *Entry) applyVMList(now time.Time, listed []ListedVM) {
	states := make(map[ident.VM]membership.ListedState, len(listed))
	for _, vm := range listed {
		states[vm.VM] = membership.ListedLive
		if vm.Leaving {
			states[vm.VM] = membership.ListedLeaving
		}
	}
	for _, vm := range e.backends.chosen() {
		state, ok := states[vm]
		if !ok {
			state = membership.ListedAbsent
		}
		e.stepHolder(now, membership.VMListed{VM: vm, State: state})
	}
}

// Account returns a snapshot of the entry's overload account: the numbers of requests by
// outcome, per customer and class.
func (e *Entry) Account() []admission.AccountEntry {
	return e.admission.Account().Snapshot()
}

// Backends returns the entry's view of the backend servers that it leases.
func (e *Entry) Backends() []membership.BackendView {
	return e.leaseHolder.Views(nil)
}

// OpenCalls returns the number of open calls.
func (e *Entry) OpenCalls() int {
	return len(e.calls)
}

// snapshot returns the routing snapshot of a service.
func (e *Entry) snapshot(service *serviceState) routing.Snapshot {
	var views []membership.BackendView
	for _, view := range e.leaseHolder.Views(nil) {
		if _, ok := service.backends[view.VM]; ok {
			views = append(views, view)
		}
	}
	return service.builder.Build(views, service.prefixes)
}
