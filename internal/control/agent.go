package control

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/expert"
	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// clockGap is the longest time between two events that does not count as a pause of the
// process.
const clockGap = time.Second

// handOverTimeout is how long a planned stop waits for other processes to take over run keys.
const handOverTimeout = 10 * time.Second

// crashMergeWindow is the time after a crash of the backend server in which further reports
// belong to the same crash: each of its runs may report it.
const crashMergeWindow = 2 * time.Second

// removedVMTimeout is how long a VM must be missing from the platform's list to count as
// removed for good.
const removedVMTimeout = 30 * time.Second

// Agent is the control state of an agent process. It is not safe for concurrent use.
type Agent struct {
	*base
	// grantor grants leases of the backend server to entries; nil until a configuration lists
	// the server.
	grantor *membership.Grantor
	// owner owns the run keys of the backend server and decides about all its attempts.
	owner    *attempt.Owner
	leases   leaseWindow
	absences absenceTracker
	service  ident.Service
	running  map[attempt.AttemptID]ident.Instance
	// suspects are the attempts of requests that may have crashed a backend server. Each runs,
	// or waits to run, as the only request at the backend server.
	suspects map[attempt.AttemptID]bool
	load     membership.Load
	// lastStepAt is the time of the last event.
	lastStepAt time.Time
	// group is nil outside model groups and until the engine has reported its expert layers.
	group           *group
	expertLayers    int
	expertsPerLayer int
	// crashedAt is when the backend server last crashed.
	crashedAt time.Time
	// handOverSince is when a planned stop began to hand over run keys; zero before.
	handOverSince time.Time
}

// NewAgent returns the control state of an agent that starts now, with its first actions.
func NewAgent(now time.Time, self Self) (*Agent, []Action, error) {
	base, err := newBase(self, true)
	if err != nil {
		return nil, nil, err
	}
	a := &Agent{
		base:       base,
		owner:      attempt.NewOwner(now, attempt.DefaultOwnerConfig(self.Instance)),
		running:    map[attempt.AttemptID]ident.Instance{},
		suspects:   map[attempt.AttemptID]bool{},
		lastStepAt: now,
	}
	a.openWork = func() int { return len(a.running) }
	a.addSeeds(now)
	return a, a.drainActions(), nil
}

// Step handles one event and returns the actions to carry out.
func (a *Agent) Step(now time.Time, event Event) []Action {
	if gap := membership.Gap(a.lastStepAt, now); gap > clockGap {
		// The process was paused for the time gap.
		a.recordEvent("gap", SeverityWarning, "", Field{"gap", gap.String()})
		a.stepOwner(now, attempt.ClockGap{})
	}
	a.lastStepAt = now
	a.handle(now, event)
	return a.drainActions()
}

func (a *Agent) handle(now time.Time, event Event) {
	if handled, inForce := a.handleShared(now, event); handled {
		if inForce {
			a.applyConfiguration(now)
		}
		return
	}
	if a.stepGroup(now, event) {
		return
	}
	switch event := event.(type) {
	case MessageReceived:
		a.route = event.Route
		a.receive(now, event)
	case DispatchArrived:
		a.receiveDispatch(now, event.Dispatch)
	case RunFinished:
		a.stepOwner(now, event.Result)
		a.endRun(now, event.Result.ID)
	case BackendCrashed:
		a.handleBackendCrash(now)
	case BackendLoadReceived:
		a.load = event.Load
		a.stepGrantor(now, membership.LoadReported{Load: event.Load})
	case VMsListed:
		a.applyVMList(now, event.VMs)
	case Tick:
		a.tick(now)
	case StopRequested:
		a.fire(eventStop)
		a.stepGrantor(now, membership.LeaveRequested{})
	}
}

func (a *Agent) tick(now time.Time) {
	if a.stepConfig(now, membership.ConfigTick{}) {
		a.applyConfiguration(now)
	}
	a.stepGrantor(now, membership.GrantorTick{})
	a.advanceLeases(now)
	a.stepOwner(now, attempt.OwnerTick{})
	if a.group != nil {
		a.group.tick(now)
	}
	a.checkHandOverTimeout(now)
	status := a.Status()
	a.publishGauges(now, Gauge{"agent_open", float64(status.Open)}, Gauge{"agent_leaving", boolGauge(status.Leaving)})
}

func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// checkHandOverTimeout ends a planned stop whose run keys no process has taken over within
// handOverTimeout. Their next owner treats them as in doubt, as after a crash.
func (a *Agent) checkHandOverTimeout(now time.Time) {
	if a.state != stateDraining || a.handOverSince.IsZero() || now.Sub(a.handOverSince) < handOverTimeout {
		return
	}
	a.recordEvent("hand-over-incomplete", SeverityWarning, "")
	a.fire(eventDrained)
}

// applyConfiguration passes the configuration that came into force to the parts of the agent.
func (a *Agent) applyConfiguration(now time.Time) {
	published := a.configuration.Fleet
	service, backend := published.Backend(a.self.Instance.VM)
	if backend == nil {
		a.recordEvent("not-published", SeverityWarning, "")
	} else {
		a.applyBackend(service, backend)
	}
	a.stepGrantor(now, membership.ConfigInForce{Version: a.configuration.Version})
	a.stepOwner(now, attempt.OwnerFleetChanged{Fleet: *published})
	if backend != nil {
		a.applyGroup(now, service, backend)
	}
}

// applyBackend creates the grantor of leases when the agent's backend server is first
// published.
func (a *Agent) applyBackend(service *fleet.Service, backend *fleet.BackendServer) {
	a.service = service.Name
	if a.grantor != nil {
		return
	}
	a.grantor = membership.NewGrantor(membership.GrantorSettings{
		Self:  a.self.Instance,
		Slots: backend.Capacity,
	})
}

func (a *Agent) receive(now time.Time, event MessageReceived) {
	// The sender named in the body must be the process that the message came from.
	if claimed, ok := claimedSender(event.Body); ok && claimed != event.From {
		a.recordEvent("message-of-another-sender", SeverityWarning, event.From.VM, Field{"claimed", claimed.String()})
		return
	}
	switch body := event.Body.(type) {
	case *membership.LeaseRequest:
		a.stepConfig(now, membership.VersionReceived{From: event.From.VM, Version: body.Config})
		a.stepOwner(now, attempt.EntryConnected{Entry: event.From})
		a.stepGrantor(now, membership.LeaseRequested{From: event.From, Request: *body})
	case *attempt.Revoke:
		a.stepOwner(now, attempt.RevokeReceived{Revoke: *body})
	case *attempt.Query:
		a.stepOwner(now, attempt.QueryReceived{Query: *body})
	case *attempt.Cancel:
		a.stepOwner(now, attempt.CancelReceived{Cancel: *body})
	case *attempt.ClaimAnswer:
		a.stepOwner(now, attempt.ClaimAnswerReceived{Answer: *body})
	case *attempt.ReleaseRequest:
		a.stepOwner(now, attempt.ReleaseRequestReceived{Request: *body})
	case *attempt.HandOver:
		a.stepOwner(now, attempt.HandOverReceived{HandOver: *body})
	case *attempt.HandOverAck:
		a.stepOwner(now, attempt.HandOverAckReceived{Ack: *body})
	case *attempt.TicketRequest:
		a.stepOwner(now, attempt.TicketRequestReceived{Request: *body})
	case *expert.Envelope:
		if a.group != nil {
			a.group.receive(now, event.From, event.Route, *body)
		}
	case *attempt.KeyQuestion:
		a.stepOwner(now, attempt.KeyQuestionReceived{Question: *body})
	default:
		a.recordEvent("message-not-expected", SeverityWarning, event.From.VM)
	}
}

// receiveDispatch checks the lease of a dispatch and passes the dispatch to the owner. Without
// a valid lease it sets an expired lease number, so that the owner refuses the attempt for
// good.
func (a *Agent) receiveDispatch(now time.Time, dispatch attempt.Dispatch) {
	a.advanceLeases(now)
	if !a.leaseValid(now, dispatch) {
		dispatch.Lease = a.leases.invalidNumber()
	}
	if dispatch.Alone && !a.suspects[dispatch.ID] {
		a.suspects[dispatch.ID] = true
		a.stepGrantor(now, membership.SuspectRequestQueued{})
	}
	a.stepOwner(now, attempt.DispatchReceived{Dispatch: dispatch})
}

func (a *Agent) leaseValid(now time.Time, dispatch attempt.Dispatch) bool {
	if a.grantor == nil {
		return false
	}
	number := membership.LeaseNumber(dispatch.Lease)
	cause := a.grantor.Check(now, dispatch.ID.Entry, dispatch.Target.Incarnation, number)
	return cause == outcome.CauseNone
}

func (a *Agent) stepGrantor(now time.Time, event membership.GrantorEvent) {
	if a.grantor == nil {
		return
	}
	for _, action := range a.grantor.Step(now, event) {
		switch action := action.(type) {
		case membership.SendGrant:
			a.leases.recordGrant(now, action.Grant)
			a.emit(Send{To: action.To.VM, Body: &action.Grant, Route: a.route})
		case membership.SendLeaving:
			a.emit(Send{To: action.To.VM, Body: &action.Leaving})
		case membership.GrantorDrained:
			a.handOverSince = now
			a.stepOwner(now, attempt.OwnerStop{})
		}
	}
}

func (a *Agent) advanceLeases(now time.Time) {
	if moved, ok := a.leases.advance(now); ok {
		a.stepOwner(now, moved)
	}
}

func (a *Agent) stepOwner(now time.Time, event attempt.OwnerEvent) {
	for _, action := range a.owner.Step(now, event) {
		a.handleOwnerAction(now, action)
	}
}

func (a *Agent) handleOwnerAction(now time.Time, action attempt.OwnerAction) {
	switch action := action.(type) {
	case attempt.Run:
		id := action.Dispatch.ID
		a.running[id] = id.Entry
		a.stepGrantor(now, membership.RequestAccepted{Entry: id.Entry})
		a.emit(StartRun(action))
	case attempt.CancelRun:
		a.emit(StopRun(action))
	case attempt.SendReply:
		a.endSuspect(now, action.Reply)
		a.emit(SendReply{Reply: action.Reply, Source: action.Source, Content: action.Content, Load: a.currentLoad(now), Route: a.route})
	case attempt.SendClaim:
		a.emit(Send{To: action.To, Body: &action.Claim})
	case attempt.SendRelease:
		a.emit(Send{To: action.To, Body: &action.Request})
	case attempt.SendHandOver:
		a.emit(Send{To: action.HandOver.To, Body: &action.HandOver})
	case attempt.SendHandOverAck:
		a.emit(Send{To: action.Ack.From, Body: &action.Ack})
	case attempt.SendTicket:
		a.emit(Send{To: action.Reply.Entry.VM, Body: &action.Reply, Route: a.route})
	case attempt.SendKeyAnswer:
		a.emit(Send{To: action.Answer.Entry.VM, Body: &action.Answer, Route: a.route})
	case attempt.SendCrashReport:
		a.sendCrashReport(action.Report)
	default:
		a.handleOwnerStatus(action)
	}
}

func (a *Agent) handleOwnerStatus(action attempt.OwnerAction) {
	switch action := action.(type) {
	case attempt.OwnerSuperseded:
		a.recordEvent("superseded", SeverityWarning, "", Field{"by", strconv.FormatUint(uint64(action.By), 16)})
		a.emit(Exit{Reason: ReasonSuperseded})
	case attempt.OwnerStopped:
		a.fire(eventDrained)
	case attempt.KeysRefused:
		a.recordEvent("run-keys-full", SeverityWarning, "", Field{"service", string(action.Service)},
			Field{"keys", strconv.Itoa(action.Keys)})
	case attempt.OwnershipChanged:
		a.recordEvent("ownership", SeverityInfo, "", Field{"service", string(action.Service)},
			Field{"complete", strconv.FormatBool(action.Complete)}, Field{"in-doubt", strconv.Itoa(action.InDoubt)})
	}
}

// shownFingerprintBytes is the number of bytes of a fingerprint that the timeline shows.
const shownFingerprintBytes = 4

// formatFingerprints returns the first bytes of the fingerprints in hexadecimal, separated by
// commas.
func formatFingerprints(requests []attempt.Fingerprint) string {
	prefixes := make([]string, len(requests))
	for i, request := range requests {
		prefixes[i] = hex.EncodeToString(request[:shownFingerprintBytes])
	}
	return strings.Join(prefixes, ",")
}

// sendCrashReport sends a crash of the backend server to all entries.
func (a *Agent) sendCrashReport(report attempt.CrashReport) {
	a.recordEvent("backend-crashed", SeverityWarning, "", Field{"crash", strconv.FormatUint(report.Crash, 10)},
		Field{"running", strconv.Itoa(len(report.Running))}, Field{"alone", strconv.FormatBool(report.Alone)},
		Field{"fingerprints", formatFingerprints(report.Running)})
	if a.configuration == nil {
		return
	}
	for _, entry := range a.configuration.Fleet.Entries {
		a.emit(Send{To: entry.VM, Body: &report})
	}
}

func (a *Agent) endRun(now time.Time, id attempt.AttemptID) {
	entry, ok := a.running[id]
	if !ok {
		return
	}
	delete(a.running, id)
	a.stepGrantor(now, membership.RequestEnded{Entry: entry})
}

// endSuspect ends the exclusive run of a suspect request after its final reply, so that other
// requests may run again.
func (a *Agent) endSuspect(now time.Time, reply attempt.Reply) {
	running := reply.State == attempt.ReplyQueued || reply.State == attempt.ReplyStarted
	if running || !a.suspects[reply.ID] {
		return
	}
	delete(a.suspects, reply.ID)
	a.stepGrantor(now, membership.SuspectRequestEnded{})
}

// currentLoad returns the load to send with an answer.
func (a *Agent) currentLoad(now time.Time) membership.Load {
	if a.grantor == nil {
		return membership.Load{}
	}
	return a.grantor.Load(now)
}

// handleBackendCrash ends all runs. attempt.Owner decides which replies to send to the entries
// that dispatched them.
func (a *Agent) handleBackendCrash(now time.Time) {
	if len(a.running) == 0 && now.Sub(a.crashedAt) < crashMergeWindow {
		return
	}
	a.crashedAt = now
	a.stepOwner(now, attempt.BackendCrashed{})
	for id := range a.running {
		a.endRun(now, id)
	}
}

func (a *Agent) applyVMList(now time.Time, listed []ListedVM) {
	if a.configuration == nil {
		return
	}
	removed := a.absences.update(now, a.configuration.Fleet, listed)
	if len(removed) > 0 {
		a.stepOwner(now, attempt.VMsRemoved{VMs: removed})
	}
}

// Status returns the state of the agent for operators.
func (a *Agent) Status() BackendStatus {
	status := BackendStatus{Service: a.service, Running: len(a.running), Load: a.load}
	if a.grantor != nil {
		status.Open = a.grantor.Open()
		status.Leaving = a.grantor.Leaving()
	}
	return status
}
