package control

import (
	"strconv"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/admission"
	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
)

func (e *Entry) receive(now time.Time, event MessageReceived) {
	from := event.From.VM
	// The sender named in the body must be the process that the message came from.
	if claimed, ok := claimedSender(event.Body); ok && claimed != event.From {
		e.recordEvent("message-of-another-sender", SeverityWarning, from, Field{"claimed", claimed.String()})
		return
	}
	switch body := event.Body.(type) {
	case *attempt.Reply:
		e.receiveReply(now, *body)
	case *membership.LeaseGrant:
		e.stepConfig(now, membership.VersionReceived{From: from, Version: body.Config})
		// A grant comes over the connection of its request, thus the answer to a probe over the
		// probe's connection. For other grants the holder ignores NewConnection.
		e.stepHolder(now, membership.GrantReceived{From: from, Grant: *body, NewConnection: true})
		e.backends.recordLoadReport(from)
		e.retryRoutes(now)
	case *membership.Leaving:
		e.stepHolder(now, membership.LeavingReceived{From: from, Leaving: *body})
	case *attempt.Claim:
		e.stepLog(now, attempt.ClaimReceived{Claim: *body})
	case *attempt.PeerQuestion:
		e.stepLog(now, attempt.PeerQuestionReceived{Question: *body})
	case *attempt.PeerAnswer:
		e.stepLog(now, attempt.PeerAnswerReceived{Answer: *body})
	case *attempt.LogHandOver:
		e.stepLog(now, attempt.LogHandOverReceived{HandOver: *body})
	case *attempt.LogHandOverAck:
		e.stepLog(now, attempt.LogHandOverAckReceived{Ack: *body})
	case *attempt.CrashReport:
		e.stepCaller(now, attempt.CrashReportReceived{Report: *body})
	case *attempt.QuarantineNotice:
		e.stepCaller(now, attempt.QuarantineNoticeReceived{Notice: *body})
	case *ClearedNotice:
		e.stepCaller(now, attempt.SuspectCleared{Fingerprint: body.Fingerprint})
	case *attempt.KeyAnswer:
		e.emit(KeyAnswered{Answer: *body})
	case *admission.LimitRequest:
		e.stepCoordinator(now, admission.LimitRequested{Request: *body})
	case *admission.LimitGrant:
		e.stepAdmission(now, admission.LimitGranted{Grant: *body})
	default:
		e.recordEvent("message-not-expected", SeverityWarning, from)
	}
}

func (e *Entry) stepHolder(now time.Time, event membership.HolderEvent) {
	for _, action := range e.leaseHolder.Step(now, event) {
		e.handleHolderAction(now, action)
	}
}

func (e *Entry) handleHolderAction(now time.Time, action membership.HolderAction) {
	switch action := action.(type) {
	case membership.SendLeaseRequest:
		e.emit(Send{To: action.To, Body: &action.Request})
	case membership.ProbeNewConnection:
		e.emit(Send{To: action.To, Body: &action.Request, NewConnection: true})
	case membership.ReplaceConnection:
		e.handleConnectionReplaced(now, action)
	case membership.BackendChanged:
		severity := SeverityInfo
		if action.To == membership.StateSuspect || action.To == membership.StateGone {
			severity = SeverityWarning
		}
		e.recordEvent("backend-changed", severity, action.VM, Field{"from", string(action.From)}, Field{"to", string(action.To)})
	case membership.BackendRestarted:
		e.recordEvent("backend-restarted", SeverityWarning, action.VM,
			Field{"old", strconv.FormatUint(uint64(action.Old), 16)},
			Field{"new", strconv.FormatUint(uint64(action.New), 16)})
	case membership.GapDetected:
		// The process was paused for the time in Gap.
		e.recordEvent("gap", SeverityWarning, "", Field{"gap", action.Gap.String()})
	}
}

// handleConnectionReplaced queries the attempts on a connection that was replaced because no
// message was received on it.
func (e *Entry) handleConnectionReplaced(now time.Time, action membership.ReplaceConnection) {
	e.recordEvent("connection-replaced", SeverityWarning, action.To)
	view, ok := e.leaseHolder.View(action.To)
	if !ok {
		return
	}
	target := ident.Instance{VM: view.VM, Incarnation: view.Incarnation}
	e.stepCaller(now, attempt.ConnectionLost{Target: target})
}

func (e *Entry) stepLog(now time.Time, event attempt.LogEvent) {
	for _, action := range e.log.Step(now, event) {
		switch action := action.(type) {
		case attempt.SendClaimAnswer:
			e.emit(Send{To: action.Answer.Claimant.VM, Body: &action.Answer})
		case attempt.SendPeerQuestion:
			e.emit(Send{To: action.To, Body: &action.Question})
		case attempt.SendPeerAnswer:
			e.emit(Send{To: action.Answer.Asker.VM, Body: &action.Answer})
		case attempt.SendLogHandOver:
			e.emit(Send{To: action.HandOver.To, Body: &action.HandOver})
		case attempt.SendLogHandOverAck:
			e.emit(Send{To: action.Ack.From.VM, Body: &action.Ack})
		case attempt.LogStopped:
			e.fire(eventDrained)
		case attempt.Superseded:
			e.recordEvent("superseded", SeverityWarning, "", Field{"by", strconv.FormatUint(uint64(action.By), 16)})
			e.emit(Exit{Reason: ReasonSuperseded})
		}
	}
}

// sendLimitRequest sends this entry's request for its shares of customers' limits to the entry
// that coordinates these limits, which may be this entry itself.
func (e *Entry) sendLimitRequest(now time.Time, action admission.SendLimitRequest) {
	if action.To == e.self.Instance.VM {
		e.stepCoordinator(now, admission.LimitRequested{Request: action.Message})
		return
	}
	e.emit(Send{To: action.To, Body: &action.Message})
}

func (e *Entry) stepCoordinator(now time.Time, event admission.CoordinatorEvent) {
	for _, action := range e.coordinator.Step(now, event) {
		grant, ok := action.(admission.SendLimitGrant)
		if !ok {
			continue
		}
		if grant.To == e.self.Instance.VM {
			e.stepAdmission(now, admission.LimitGranted{Grant: grant.Message})
			continue
		}
		e.emit(Send{To: grant.To, Body: &grant.Message})
	}
}

// recordAccount writes the classes of a report that have refusals to the timeline.
func (e *Entry) recordAccount(report admission.AccountReport) {
	for _, entry := range report.Entries {
		for _, refusals := range entry.NotRun {
			e.emit(TimelineEvent{
				Kind: "overload-account", Severity: SeverityDebug, Customer: entry.Key.Customer,
				Fields: []Field{
					{"class", string(entry.Key.Class)},
					{"cause", string(refusals.Cause)},
					{"caused-by", string(refusals.CausedBy)},
					{"limit", string(refusals.Limit)},
					{"count", strconv.FormatUint(refusals.Count, 10)},
					{"worth", strconv.FormatFloat(refusals.Worth, 'g', -1, 64)},
				},
			})
		}
	}
}

// answerKeyInquiry sends a question about a run key to the owner of the key. A key without an
// owner is in doubt.
func (e *Entry) answerKeyInquiry(inquiry KeyInquiry) {
	owner := e.log.Owner(inquiry.Service, inquiry.RunKey)
	if owner == "" {
		e.emit(KeyAnswered{Answer: attempt.KeyAnswer{Request: inquiry.Request, RunKey: inquiry.RunKey, Status: attempt.KeyInDoubt}})
		return
	}
	e.emit(Send{To: owner, Body: &attempt.KeyQuestion{Entry: e.self.Instance, Request: inquiry.Request, RunKey: inquiry.RunKey}})
}
