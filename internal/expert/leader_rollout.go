package expert

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// progress fires the event that the statuses of all agents allow in the current state.
func (l *Leader) progress(now time.Time) []Action {
	if l.state == leaderClaiming {
		if l.roster.Covers(l.config.Shape.Ranks) && l.all(func(v *memberView) bool { return v.instance.VM != "" }) {
			return l.fire(now, "promised")
		}
		return nil
	}
	if !l.all(l.inExpectedState) {
		return l.fire(now, "member-changed")
	}
	switch l.state {
	case leaderPreparing:
		return l.progressPreparing(now)
	case leaderHolding:
		return l.progressHolding(now)
	case leaderActivating:
		if l.all(l.activated) {
			return l.fire(now, "all-activated")
		}
	case leaderAborting:
		if l.all(l.aborted) {
			return l.fire(now, "all-aborted")
		}
	}
	return nil
}

func (l *Leader) progressPreparing(now time.Time) []Action {
	for i := range l.members {
		rollout := l.members[i].status.Rollout
		if rollout.Version == l.rollout.expertMap.Version && rollout.Phase == PhaseFailed {
			l.rollout.cause = string(l.members[i].vm) + ": " + rollout.Cause
			return l.fire(now, "load-failed")
		}
	}
	if l.all(l.loaded) {
		return l.fire(now, "all-loaded")
	}
	return nil
}

func (l *Leader) progressHolding(now time.Time) []Action {
	for i := range l.members {
		view := &l.members[i]
		if !l.holding(view) && view.status.Started >= l.rollout.step {
			return l.fire(now, "step-passed")
		}
	}
	if l.all(l.holding) {
		return l.fire(now, "all-holding")
	}
	return nil
}

func (l *Leader) all(condition func(*memberView) bool) bool {
	for i := range l.members {
		if !condition(&l.members[i]) {
			return false
		}
	}
	return true
}

// inExpectedState reports whether an agent is in the generation and the rollout that the
// leader expects. It returns false for an agent whose engine restarted.
func (l *Leader) inExpectedState(view *memberView) bool {
	status := &view.status
	version := l.rollout.expertMap.Version
	ended := !version.IsZero() && status.Ended.Compare(version) >= 0
	switch l.state {
	case leaderPreparing, leaderHolding, leaderActivating:
		if ended {
			return false
		}
	}
	if !l.rollout.forming {
		return status.Generation == l.rollout.generation
	}
	joined := status.Generation == l.rollout.generation
	if l.state == leaderActivating && !joined && !l.loaded(view) {
		return false
	}
	left := status.Generation.IsZero() || status.Generation.Compare(l.rollout.generation) < 0
	return joined || left
}

// hasAcceptedPrepare reports whether an agent takes part in the rollout. The agent is loading
// weights, has loaded them or has failed to.
func (l *Leader) hasAcceptedPrepare(view *memberView) bool {
	return view.status.Rollout.Version == l.rollout.expertMap.Version
}

func (l *Leader) loaded(view *memberView) bool {
	rollout := view.status.Rollout
	return rollout.Version == l.rollout.expertMap.Version && rollout.Phase >= PhaseLoaded && rollout.Phase != PhaseFailed
}

func (l *Leader) holding(view *memberView) bool {
	rollout := view.status.Rollout
	return rollout.Version == l.rollout.expertMap.Version && rollout.Phase == PhaseHolding && rollout.HoldFrom == l.rollout.step
}

// activated reports whether an agent has accepted the Activate of the rollout: it uses the map
// or has scheduled it.
func (l *Leader) activated(view *memberView) bool {
	version := l.rollout.expertMap.Version
	status := &view.status
	if status.Generation != l.rollout.generation {
		return false
	}
	return status.Active.Version == version || status.Next.Version == version
}

func (l *Leader) aborted(view *memberView) bool {
	return view.status.Ended.Compare(l.rollout.expertMap.Version) >= 0 && view.status.Rollout.Version.IsZero()
}

// noMapScheduled reports whether no agent has a map that is scheduled for a later step.
func (l *Leader) noMapScheduled() bool {
	return l.all(func(v *memberView) bool { return v.status.Next.Version.IsZero() })
}

// evaluateGuard evaluates a guard of the chart "rollout".
func (l *Leader) evaluateGuard(guard chart.Guard) bool {
	switch guard {
	case "must-form":
		return !l.all(l.inCommonGeneration)
	case "must-complete":
		newest := l.newestInUseOrScheduled()
		return !l.all(func(v *memberView) bool {
			return v.status.Active.Version == newest || v.status.Next.Version == newest
		})
	case "must-abort":
		return !l.newestPending().IsZero()
	case "settled":
		return l.noMapScheduled()
	case "forming":
		return l.rollout.forming
	default:
		panic("invariant: unknown guard " + string(guard))
	}
}

// inCommonGeneration reports whether an agent is in the same generation as the roster's
// first agent and that generation was formed for the current roster.
func (l *Leader) inCommonGeneration(view *memberView) bool {
	generation := view.status.Generation
	return !generation.IsZero() &&
		generation == l.members[0].status.Generation &&
		view.status.RosterDigest == l.roster.Digest()
}

// newestInUseOrScheduled returns the newest map version that any agent uses or has scheduled.
func (l *Leader) newestInUseOrScheduled() Version {
	var newest Version
	for i := range l.members {
		status := &l.members[i].status
		newest = newerVersion(newest, newerVersion(status.Active.Version, status.Next.Version))
	}
	return newest
}

func (l *Leader) newestPending() Version {
	var newest Version
	for i := range l.members {
		newest = newerVersion(newest, l.members[i].status.Rollout.Version)
	}
	return newest
}

func newerVersion(a, b Version) Version {
	if a.Compare(b) >= 0 {
		return a
	}
	return b
}

func (l *Leader) perform(action chart.Action) []Action {
	switch action {
	case "claim":
		return l.claim()
	case "step-down":
		return append(l.reportHandedOver(), LeadershipChanged{Epoch: l.epoch})
	case "lead":
		return l.startLeading()
	case "form":
		l.form()
	case "complete":
		l.complete()
	case "abort-left-over":
		l.rollout = leaderRollout{open: true, expertMap: Map{Version: l.newestPending()}, generation: l.rollout.generation, cause: "rollout of an earlier leader did not finish"}
	case "prepare":
		l.prepare()
	case "hold":
		l.chooseStep()
	case "activate":
		if l.rollout.forming {
			l.rollout.step = 1
		}
	case "abort":
		if l.rollout.cause == "" {
			// fire has already set l.state to the state that it enters, so the text names that
			// state and not the one whose timeout fired.
			l.rollout.cause = "timeout in state " + string(l.state)
		}
	case "report-done":
		l.retainMap(l.rollout.expertMap)
		done := l.endRollout(RolloutDone)
		l.rollout.forming = false
		return []Action{done}
	case "report-given-up":
		return []Action{l.endRollout(RolloutGivenUp)}
	default:
		panic("invariant: unknown action " + string(action))
	}
	return nil
}

// claim starts a new epoch. Its number is greater than that of every epoch in a received
// status.
func (l *Leader) claim() []Action {
	actions := l.reportHandedOver()
	l.greatestEpochNumber++
	l.epoch = Epoch{Number: l.greatestEpochNumber, Leader: l.config.Self}
	l.versionSequence = 0
	l.rollout = leaderRollout{}
	l.members = make([]memberView, len(l.roster.Members))
	for i, member := range l.roster.Members {
		l.members[i].vm = member.VM
	}
	return actions
}

// reportHandedOver reports an unfinished rollout as handed over to the next epoch.
func (l *Leader) reportHandedOver() []Action {
	if !l.rollout.open {
		return nil
	}
	return []Action{l.endRollout(RolloutHandedOver)}
}

func (l *Leader) startLeading() []Action {
	l.rollout.generation = l.members[0].status.Generation
	return []Action{LeadershipChanged{Epoch: l.epoch, Leading: true}}
}

func (l *Leader) nextVersion() Version {
	l.versionSequence++
	return Version{Epoch: l.epoch, Sequence: l.versionSequence}
}

// form starts a rollout that forms a generation. It uses the newest map that any agent uses or
// has scheduled, or the static map if none is known.
func (l *Leader) form() {
	base := l.Map()
	if base.Validate(l.config.Shape) != nil {
		base = StaticMap(Version{}, l.config.Shape)
	}
	base = base.Clone()
	base.Version = l.nextVersion()
	l.rollout = leaderRollout{open: true, expertMap: base, forming: true, generation: l.epoch, step: 1}
}

// complete continues the rollout of the newest map that any agent uses or has scheduled.
func (l *Leader) complete() {
	version := l.newestInUseOrScheduled()
	l.rollout.open = true
	l.rollout.expertMap = l.Map()
	l.rollout.expertMap.Version = version
	for i := range l.members {
		status := &l.members[i].status
		for _, activation := range []Activation{status.Active, status.Next} {
			if activation.Version == version {
				l.rollout.step = activation.Step
			}
		}
	}
}

func (l *Leader) prepare() {
	l.proposal.Version = l.nextVersion()
	l.rollout = leaderRollout{open: true, expertMap: l.proposal, generation: l.rollout.generation, margin: l.config.StepMargin}
}

// chooseStep chooses the first step of the new map. The margin doubles with each attempt.
func (l *Leader) chooseStep() {
	greatest := l.rollout.step
	for i := range l.members {
		greatest = max(greatest, l.members[i].status.Started, l.members[i].status.Active.Step)
	}
	l.rollout.step = greatest + l.rollout.margin
	l.rollout.margin = min(2*l.rollout.margin, maxStepMargin)
}

func (l *Leader) endRollout(result RolloutResult) RolloutEnded {
	l.rollout.open = false
	return RolloutEnded{
		Version: l.rollout.expertMap.Version,
		Result:  result,
		Cause:   l.rollout.cause,
		Step:    l.rollout.step,
		Forming: l.rollout.forming,
	}
}

// currentMessage returns the message to send to an agent in the current state. It is nil only
// while claiming, for an agent that has already promised the epoch.
func (l *Leader) currentMessage(view *memberView) Message {
	header := Header{Group: l.config.Group, Epoch: l.epoch, To: view.instance}
	version := l.rollout.expertMap.Version
	switch l.state {
	case leaderClaiming:
		if view.instance.VM != "" {
			return nil
		}
		header.To = ident.Instance{VM: view.vm}
		return Claim{Header: header, Roster: l.roster}
	case leaderPreparing:
		if l.hasAcceptedPrepare(view) {
			return Heartbeat{Header: header}
		}
		return Prepare{Header: header, Map: l.rollout.expertMap, Forming: l.rollout.forming, RosterDigest: l.roster.Digest()}
	case leaderHolding:
		return Hold{Header: header, Version: version, Step: l.rollout.step}
	case leaderActivating:
		return Activate{Header: header, Version: version, Generation: l.rollout.generation, Step: l.rollout.step}
	case leaderAborting:
		return Abort{Header: header, Version: version}
	default:
		return Heartbeat{Header: header}
	}
}
