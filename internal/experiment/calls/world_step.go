package calls

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/attempt"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// loadReport announces an agent's current incarnation and lease number to an entry.
type loadReport struct {
	agent ident.Instance
	lease attempt.Number
}

func (w *World) stepLog(process *entryProcess, event attempt.LogEvent) {
	for _, action := range process.log.Step(w.now, event) {
		switch action := action.(type) {
		case attempt.SendClaimAnswer:
			w.post(process.host.vm, action.Answer.Claimant.VM, action.Answer)
		case attempt.SendPeerQuestion:
			w.post(process.host.vm, action.To, action.Question)
		case attempt.SendPeerAnswer:
			w.post(process.host.vm, action.Answer.Asker.VM, action.Answer)
		case attempt.Superseded:
			process.exited = true
		case attempt.SendLogHandOver:
			w.post(process.host.vm, action.HandOver.To, action.HandOver)
		case attempt.SendLogHandOverAck:
			w.post(process.host.vm, action.Ack.From.VM, action.Ack)
		case attempt.LogStopped:
			process.exited = !w.drainUntilKilled
		case attempt.NeedFleet:
		}
	}
}

func (w *World) stepCaller(process *entryProcess, event attempt.CallEvent) {
	for _, action := range process.caller.Step(w.now, event) {
		w.performCaller(process, action)
	}
}

func (w *World) performCaller(process *entryProcess, action attempt.CallAction) {
	from := process.host.vm
	switch action := action.(type) {
	case attempt.NeedRoute:
		w.chooseRoute(process, action)
	case attempt.SendDispatch:
		w.post(from, action.Dispatch.Target.VM, action.Dispatch)
	case attempt.SendRevoke:
		w.post(from, action.Revoke.Target.VM, action.Revoke)
	case attempt.SendQuery:
		w.post(from, action.Query.Target.VM, action.Query)
	case attempt.SendCancel:
		w.post(from, action.Cancel.Target.VM, action.Cancel)
	case attempt.SendQuarantine:
		w.postEntries(from, action.Notice)
	case attempt.SendCleared:
		w.postEntries(from, attempt.SuspectCleared(action))
	case attempt.Finish:
		w.record.recordOutcome(w.now, action)
	case attempt.ResumeStream:
	}
}

func (w *World) chooseRoute(process *entryProcess, need attempt.NeedRoute) {
	vm := need.Only
	found := vm != ""
	if !found {
		vm, found = w.route(process, need)
	}
	view, known := process.agents[vm]
	down := w.config.DownAfter > 0 && w.now.Sub(view.lastReceivedAt) > w.config.DownAfter
	if !found || !known || down {
		w.stepCaller(process, attempt.NoRoute{Request: need.Request, Cause: outcome.CauseNoBackend, RetryAfter: time.Second})
		return
	}
	w.stepCaller(process, attempt.Routed{Request: need.Request, Target: view.instance, Lease: view.lease})
}

func (w *World) stepOwner(process *agentProcess, event attempt.OwnerEvent) {
	for _, action := range process.owner.Step(w.now, event) {
		w.performOwner(process, action)
	}
}

func (w *World) performOwner(process *agentProcess, action attempt.OwnerAction) {
	from := process.host.vm
	switch action := action.(type) {
	case attempt.Run:
		w.trace("%v runs %s as %v", process.instance, action.Dispatch.RunKey, action.Dispatch.ID)
		w.record.addRun(w.now, action.Dispatch)
		process.running = append(process.running, action.Dispatch)
		if w.onRun != nil {
			w.onRun(process, action.Dispatch)
		}
	case attempt.SendReply:
		w.post(from, action.Reply.ID.Entry.VM, action.Reply)
	case attempt.SendClaim:
		w.post(from, action.To, action.Claim)
	case attempt.SendRelease:
		w.post(from, action.To, action.Request)
	case attempt.SendHandOver:
		w.post(from, action.HandOver.To, action.HandOver)
	case attempt.SendHandOverAck:
		w.post(from, action.Ack.From, action.Ack)
	case attempt.SendCrashReport:
		w.postEntries(from, action.Report)
	case attempt.SendTicket:
		if action.Reply.Refused.Kind == outcome.Open {
			w.tickets = append(w.tickets, action.Reply.Ticket)
		}
	case attempt.OwnerStopped:
		process.exited = !w.drainUntilKilled
	case attempt.OwnershipChanged, attempt.OwnerSuperseded:
		w.trace("%v %T %+v", process.instance, action, action)
	case attempt.CancelRun, attempt.SendKeyAnswer, attempt.OwnerNeedsFleet, attempt.KeysRefused:
	}
}

func (w *World) post(from, to ident.VM, message any) {
	w.send(envelope{from: from, to: to, message: message})
}

func (w *World) postEntries(from ident.VM, message any) {
	for _, host := range w.entries {
		w.post(from, host.vm, message)
	}
}

// deliverEntry passes a received message to the decision code of an entry.
func (w *World) deliverEntry(process *entryProcess, message any) {
	if _, periodic := message.(loadReport); !periodic {
		w.trace("%v receives %T %+v", process.instance, message, message)
	}
	switch message := message.(type) {
	case loadReport:
		w.recordAgent(process, message.agent, message.lease)
	case attempt.Claim:
		w.recordAgent(process, message.Claimant, 0)
		w.stepLog(process, attempt.ClaimReceived{Claim: message})
	case attempt.PeerQuestion:
		w.stepLog(process, attempt.PeerQuestionReceived{Question: message})
	case attempt.PeerAnswer:
		w.stepLog(process, attempt.PeerAnswerReceived{Answer: message})
	case attempt.LogHandOver:
		w.stepLog(process, attempt.LogHandOverReceived{HandOver: message})
	case attempt.LogHandOverAck:
		w.stepLog(process, attempt.LogHandOverAckReceived{Ack: message})
	case attempt.Reply:
		w.recordAgent(process, message.Agent, message.Lease)
		w.stepCaller(process, attempt.ReplyReceived{Reply: message})
	case attempt.CrashReport:
		w.stepCaller(process, attempt.CrashReportReceived{Report: message})
	case attempt.QuarantineNotice:
		w.stepCaller(process, attempt.QuarantineNoticeReceived{Notice: message})
	case attempt.SuspectCleared:
		w.stepCaller(process, message)
	}
}

// recordAgent stores the agent's latest incarnation and lease number; messages of earlier incarnations
// are ignored.
func (w *World) recordAgent(process *entryProcess, agent ident.Instance, lease attempt.Number) {
	known := process.agents[agent.VM]
	if agent.Incarnation < known.instance.Incarnation {
		return
	}
	if agent == known.instance {
		lease = max(lease, known.lease)
	}
	process.agents[agent.VM] = agentView{instance: agent, lease: lease, lastReceivedAt: w.now}
}

// deliverAgent passes a received message to the decision code of an agent.
func (w *World) deliverAgent(process *agentProcess, message any) {
	w.trace("%v receives %T %+v", process.instance, message, message)
	switch message := message.(type) {
	case attempt.Dispatch:
		w.stepOwner(process, attempt.DispatchReceived{Dispatch: message})
	case attempt.Revoke:
		w.stepOwner(process, attempt.RevokeReceived{Revoke: message})
	case attempt.Query:
		w.stepOwner(process, attempt.QueryReceived{Query: message})
	case attempt.Cancel:
		w.stepOwner(process, attempt.CancelReceived{Cancel: message})
	case attempt.ClaimAnswer:
		w.stepOwner(process, attempt.ClaimAnswerReceived{Answer: message})
	case attempt.ReleaseRequest:
		w.stepOwner(process, attempt.ReleaseRequestReceived{Request: message})
	case attempt.HandOver:
		w.stepOwner(process, attempt.HandOverReceived{HandOver: message})
	case attempt.HandOverAck:
		w.stepOwner(process, attempt.HandOverAckReceived{Ack: message})
	}
}

// finishRun ends a run at the agent's backend server with the given outcome.
func (w *World) finishRun(process *agentProcess, index int, result outcome.Outcome) {
	dispatch := process.running[index]
	process.running = append(process.running[:index:index], process.running[index+1:]...)
	if result.Kind == outcome.NotRun {
		w.record.removeRun(dispatch)
	}
	w.stepOwner(process, attempt.RunEnded{
		ID: dispatch.ID, Outcome: result,
		Answer: attempt.Answer{Digest: answerDigest(dispatch.RunKey, dispatch.ID.Request, dispatch.Body)},
	})
}

// crashBackend crashes the agent's backend server: all its runs end without an answer.
func (w *World) crashBackend(process *agentProcess) {
	process.running = nil
	w.stepOwner(process, attempt.BackendCrashed{})
}

// advance moves the clock forward in ticks; all active processes handle each tick.
func (w *World) advance(duration time.Duration) {
	const tick = 100 * time.Millisecond
	end := w.now.Add(duration)
	for w.now.Before(end) {
		w.now = w.now.Add(min(tick, end.Sub(w.now)))
		w.tick()
	}
}

func (w *World) tick() {
	for _, host := range w.agents {
		for _, process := range host.active() {
			w.stepOwner(process, w.leases())
			w.stepOwner(process, attempt.OwnerTick{})
			w.sendLoadReport(process)
		}
	}
	for _, host := range w.entries {
		for _, process := range host.active() {
			w.stepLog(process, attempt.LogTick{})
			w.stepCaller(process, attempt.CallTick{})
		}
	}
}

// sendLoadReport sends the agent's load report to all entries that are reachable, without delay or loss.
func (w *World) sendLoadReport(process *agentProcess) {
	report := loadReport{agent: process.instance, lease: w.leases().Current}
	for _, host := range w.entries {
		current := host.current()
		if current == nil || current.paused || w.blocked[link{process.host.vm, host.vm}] {
			continue
		}
		w.deliverEntry(current, report)
		w.stepOwner(process, attempt.EntryConnected{Entry: current.instance})
	}
}
