package expert

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// progress fires the event that the statuses of all agents allow.
func (l *Leader) progress(now time.Time) []Action {
	if l.state == leaderClaiming {
		if l.roster.Covers(l.config.Shape.Ranks) && l.all(func(v *memberView) bool { return v.instance.VM != "" }) {
			return l.fire(now, "promised")
		}
		return nil
	}
	if !l.all(l.intact) {
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
	for i := range l.views {
		rollout := l.views[i].status.Rollout
		if rollout.Version == l.rollout.expertMap.Version && rollout.Phase == PhaseFailed {
			l.rollout.cause = string(l.views[i].vm) + ": " + rollout.Cause
			return l.fire(now, "load-failed")
		}
	}
	if l.all(l.loaded) {
		return l.fire(now, "all-loaded")
	}
	return nil
}

func (l *Leader) progressHolding(now time.Time) []Action {
	for i := range l.views {
		view := &l.views[i]
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
	for i := range l.views {
		if !condition(&l.views[i]) {
			return false
		}
	}
	return true
}

// intact reports whether an agent is in the generation and the rollout that the leader
// counts on. An agent whose engine restarted is not.
func (l *Leader) intact(view *memberView) bool {
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

func (l *Leader) preparing(view *memberView) bool {
	return view.status.Rollout.Version == l.rollout.expertMap.Version
}

func (l *Leader) loaded(view *memberView) bool {
	rollout := view.status.Rollout
	return rollout.Version == l.rollout.expertMap.Version && rollout.Phase >= PhaseLoaded && rollout.Phase != PhaseFailed
}

func (l *Leader) holding(view *memberView) bool {
	rollout := view.status.Rollout
	return rollout.Version == l.rollout.expertMap.Version && rollout.Phase == PhaseHolding && rollout.HoldBefore == l.rollout.step
}

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

// settled reports whether no agent has a map that is scheduled for a later step.
func (l *Leader) settled() bool {
	return l.all(func(v *memberView) bool { return v.status.Next.Version.IsZero() })
}

// holds evaluates the guards of the chart "rollout".
func (l *Leader) holds(guard chart.Guard) bool {
	switch guard {
	case "must-form":
		return !l.all(l.formed)
	case "must-complete":
		newest := l.newestActivated()
		return !l.all(func(v *memberView) bool {
			return v.status.Active.Version == newest || v.status.Next.Version == newest
		})
	case "must-abort":
		return !l.newestPending().IsZero()
	case "settled":
		return l.settled()
	case "forming":
		return l.rollout.forming
	default:
		panic("invariant: unknown guard " + string(guard))
	}
}

// formed reports whether an agent is in the same generation as the first one, formed
// for the present roster.
func (l *Leader) formed(view *memberView) bool {
	generation := view.status.Generation
	return !generation.IsZero() &&
		generation == l.views[0].status.Generation &&
		view.status.RosterDigest == l.roster.Digest()
}

func (l *Leader) newestActivated() Version {
	var newest Version
	for i := range l.views {
		status := &l.views[i].status
		newest = later(newest, later(status.Active.Version, status.Next.Version))
	}
	return newest
}

func (l *Leader) newestPending() Version {
	var newest Version
	for i := range l.views {
		newest = later(newest, l.views[i].status.Rollout.Version)
	}
	return newest
}

func later(a, b Version) Version {
	if a.Compare(b) >= 0 {
		return a
	}
	return b
}

func (l *Leader) do(action chart.Action) []Action {
	switch action {
	case "claim":
		return l.claim()
	case "step-down":
		return append(l.handOver(), LeadershipChanged{Epoch: l.epoch})
	case "lead":
		return l.lead()
	case "form":
		l.form()
	case "complete":
		l.complete()
	case "abort-left-over":
		l.rollout = leaderRollout{open: true, expertMap: Map{Version: l.newestPending()}, generation: l.rollout.generation, cause: "left over by an earlier leader"}
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
			l.rollout.cause = "timeout in state " + string(l.state)
		}
	case "report-done":
		l.remember(l.rollout.expertMap)
		done := l.ended(RolloutDone)
		l.rollout.forming = false
		return []Action{done}
	case "report-given-up":
		return []Action{l.ended(RolloutGivenUp)}
	default:
		panic("invariant: unknown action " + string(action))
	}
	return nil
}

// claim starts a new epoch. Its number is greater than all that the agent has heard of.
func (l *Leader) claim() []Action {
	actions := l.handOver()
	l.greatest++
	l.epoch = Epoch{Number: l.greatest, Leader: l.config.Self}
	l.sequence = 0
	l.rollout = leaderRollout{}
	l.views = make([]memberView, len(l.roster.Members))
	for i, member := range l.roster.Members {
		l.views[i].vm = member.VM
	}
	return actions
}

// handOver reports a rollout that this epoch does not end.
func (l *Leader) handOver() []Action {
	if !l.rollout.open {
		return nil
	}
	return []Action{l.ended(RolloutHandedOver)}
}

func (l *Leader) lead() []Action {
	l.rollout.generation = l.views[0].status.Generation
	return []Action{LeadershipChanged{Epoch: l.epoch, Leading: true}}
}

func (l *Leader) nextVersion() Version {
	l.sequence++
	return Version{Epoch: l.epoch, Sequence: l.sequence}
}

// form starts a generation under the newest map in use, or the static map.
func (l *Leader) form() {
	base := l.Map()
	if base.Validate(l.config.Shape) != nil {
		base = StaticMap(Version{}, l.config.Shape)
	}
	base = base.Clone()
	base.Version = l.nextVersion()
	l.rollout = leaderRollout{open: true, expertMap: base, forming: true, generation: l.epoch, step: 1}
}

// complete goes on with the rollout that some agent has activated.
func (l *Leader) complete() {
	version := l.newestActivated()
	l.rollout.open = true
	l.rollout.expertMap = l.Map()
	l.rollout.expertMap.Version = version
	for i := range l.views {
		status := &l.views[i].status
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

// chooseStep picks the first step of the new map; the margin grows with each try.
func (l *Leader) chooseStep() {
	greatest := l.rollout.step
	for i := range l.views {
		greatest = max(greatest, l.views[i].status.Started, l.views[i].status.Active.Step)
	}
	l.rollout.step = greatest + l.rollout.margin
	l.rollout.margin = min(2*l.rollout.margin, maxStepMargin)
}

func (l *Leader) ended(result RolloutResult) RolloutEnded {
	l.rollout.open = false
	return RolloutEnded{
		Version: l.rollout.expertMap.Version,
		Result:  result,
		Cause:   l.rollout.cause,
		Step:    l.rollout.step,
		Forming: l.rollout.forming,
	}
}

// due returns the message that an agent has not answered yet; nil for none.
func (l *Leader) due(view *memberView) Message {
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
		if l.preparing(view) {
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
