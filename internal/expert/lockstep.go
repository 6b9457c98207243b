package expert

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// LockstepOrderKind is the kind of an order to an engine whose group switches maps on its own as a pass begins. A pass
// is a fixed number of steps that all ranks of the group run in lock-step. "Step" in the names of this file means the
// number of a pass.
type LockstepOrderKind string

// The kinds of order.
const (
	// LockstepClaim changes only the engine's fence: once accepted, orders with smaller fences are stale.
	LockstepClaim LockstepOrderKind = "claim"
	// LockstepPrepare loads the experts of the map that the rank does not have yet.
	LockstepPrepare LockstepOrderKind = "prepare"
	// LockstepArm makes the rank switch to the prepared map when the pass Step begins.
	LockstepArm LockstepOrderKind = "arm"
	// LockstepDisarm cancels an arm.
	LockstepDisarm LockstepOrderKind = "disarm"
	// LockstepHold prevents the whole group from beginning the pass Step. An order to one rank is enough, because a pass
	// begins only if no rank holds it.
	LockstepHold LockstepOrderKind = "hold"
	// LockstepRelease ends a hold.
	LockstepRelease LockstepOrderKind = "release"
)

// LockstepOrder is a leader's order to the engine of one rank.
type LockstepOrder struct {
	Kind LockstepOrderKind `cbor:"1,keyasint" json:"kind"`
	// Epoch numbers the formations of the group; engines refuse orders for another one. It is not a leader's term, unlike
	// the type Epoch: the term of a LockstepLeader is identified by its Fence.
	Epoch uint64 `cbor:"2,keyasint" json:"epoch"`
	// Fence is the fencing token of the leader's claim.
	Fence uint64 `cbor:"3,keyasint" json:"fence"`
	// Version is the version of the map to prepare, arm or disarm; 0 in orders of other kinds.
	Version uint64 `cbor:"4,keyasint,omitempty" json:"version,omitempty"`
	// Step is the pass to arm for, to hold or to release; 0 in orders of other kinds.
	Step uint64 `cbor:"5,keyasint,omitempty" json:"step,omitempty"`
	// Placement is the map to prepare; it is empty in orders of other kinds.
	Placement LayerPlacements `cbor:"6,keyasint,omitempty" json:"placement,omitempty"`
}

// LayerPlacements lists the experts of each rank. It is indexed by layer and rank; the experts are in ascending order.
type LayerPlacements [][][]Expert

// Clone returns a deep copy.
func (p LayerPlacements) Clone() LayerPlacements {
	clone := make(LayerPlacements, len(p))
	for layer, ranks := range p {
		clone[layer] = make([][]Expert, len(ranks))
		for rank, experts := range ranks {
			clone[layer][rank] = slices.Clone(experts)
		}
	}
	return clone
}

// LockstepResult is the result of an order.
type LockstepResult string

// The results of an order.
const (
	// LockstepAccepted means that the order has been started or completed, or that it had no effect because the engine
	// is already in the requested state.
	LockstepAccepted LockstepResult = "accepted"
	// LockstepRefused means that the engine's state does not allow the order.
	LockstepRefused LockstepResult = "refused"
	// LockstepStale means that the engine has accepted an order with a greater fence.
	LockstepStale LockstepResult = "stale"
	// LockstepUnanswered means that the engine did not answer: the order may take effect at any later time, or never.
	LockstepUnanswered LockstepResult = "unanswered"
)

// RankStatus is a snapshot of the state of a rank's engine.
type RankStatus struct {
	// Epoch numbers the formations of the group, as in LockstepOrder.
	Epoch uint64     `cbor:"1,keyasint" json:"epoch"`
	Rank  ident.Rank `cbor:"2,keyasint" json:"rank"`
	// Size is the number of ranks of the group.
	Size int `cbor:"3,keyasint" json:"size"`
	// Open is false while the group can't run requests.
	Open bool `cbor:"4,keyasint" json:"open"`
	// Step is the last pass that has begun.
	Step uint64 `cbor:"5,keyasint" json:"step"`
	// Map is the version of the map in use; 0 is the group's initial map.
	Map uint64 `cbor:"6,keyasint" json:"map"`
	// Prepared is the version of the map whose experts are all loaded, Armed that of the map to switch to; 0 for none.
	Prepared uint64 `cbor:"7,keyasint,omitempty" json:"prepared,omitempty"`
	Armed    uint64 `cbor:"8,keyasint,omitempty" json:"armed,omitempty"`
	// ArmedStep is the pass that the rank is armed for; 0 if the engine does not report it.
	ArmedStep uint64 `cbor:"9,keyasint,omitempty" json:"armed_step,omitempty"`
	// Held is the pass that the rank holds; 0 for none.
	Held uint64 `cbor:"10,keyasint,omitempty" json:"held,omitempty"`
	// Loading is true while the engine is busy carrying out an order to prepare a map, that is, loads experts.
	Loading bool `cbor:"11,keyasint,omitempty" json:"loading,omitempty"`
	// Running and Waiting are numbers of requests.
	Running int `cbor:"12,keyasint,omitempty" json:"running,omitempty"`
	Waiting int `cbor:"13,keyasint,omitempty" json:"waiting,omitempty"`
	// Pace is a factor reported by the engine: greater than 1 for a rank that is slower than other ranks of its kind.
	// RankSpeeds estimates speeds from it.
	Pace float64 `cbor:"14,keyasint,omitempty" json:"pace,omitempty"`
}

// maxGroupSize limits the size of a group in received statuses: messages number ranks by 16 bits.
const maxGroupSize = 1 << 16

// Valid reports whether the size of the group and the rank in a received status are possible.
func (s *RankStatus) Valid() bool {
	return s.Size > 0 && s.Size <= maxGroupSize && s.Rank >= 0 && int(s.Rank) < s.Size
}

// LockstepReply is the answer to an order.
type LockstepReply struct {
	Rank ident.Rank
	// Sequence repeats the number of the SendLockstepOrder.
	Sequence uint64
	Result   LockstepResult
	// Status is the state of the rank after the order. It is valid only if HasStatus is true.
	Status    RankStatus
	HasStatus bool
	// Experts are the rank's experts by layer. They are set only in the reply to a claim.
	Experts [][]Expert
}

// SendLockstepOrder is the action that sends an order to the engine of a rank.
type SendLockstepOrder struct {
	Rank     ident.Rank
	Sequence uint64
	// Direct is true if the order is sent to the engine itself because its agent does not answer.
	Direct bool
	Order  LockstepOrder
	// Relay is the tree along which the rank's agent passes the order on; nil for none.
	Relay *Relay
}

// ReadRank is the action that reads the state of a rank from its engine because its agent does not answer.
type ReadRank struct {
	Rank ident.Rank
}

// Beacon is the action that announces the leader to all agents of the group.
type Beacon struct {
	Epoch, Fence uint64
}

// MapInForce reports that all ranks use the map of a rollout.
type MapInForce struct {
	Version uint64
	// The durations start with the proposal of the map. Took ends when all ranks have reported the map as the one in use,
	// Loaded when all experts are loaded, and Released when all ranks are armed and the leader orders the
	// release of the hold.
	Took, Loaded, Released time.Duration
}

// LockstepLeadership reports that the agent started or stopped leading. Reason is the event that caused it.
type LockstepLeadership struct {
	Leading bool
	Fence   uint64
	Reason  string
}

// LockstepAction is an action that a LockstepLeader requests from its caller.
type LockstepAction interface{ isLockstepAction() }

func (SendLockstepOrder) isLockstepAction()  {}
func (Beacon) isLockstepAction()             {}
func (MapInForce) isLockstepAction()         {}
func (LockstepLeadership) isLockstepAction() {}
func (ReadRank) isLockstepAction()           {}

// The states of a leader, as in charts/lockstep.json.
const (
	lockstepFollowing chart.State = "following"
	lockstepClaiming  chart.State = "claiming"
	lockstepReady     chart.State = "ready"
	lockstepPreparing chart.State = "preparing"
	lockstepSwitching chart.State = "switching"
	lockstepHolding   chart.State = "holding"
	lockstepArming    chart.State = "arming"
	lockstepSecuring  chart.State = "securing"
	lockstepDisarming chart.State = "disarming"
	lockstepReleasing chart.State = "releasing"
)

// Intervals, timeouts and limits of the leader.
const (
	// beaconInterval is the time between a leader's beacons.
	beaconInterval = 200 * time.Millisecond
	// leaderTimeout is the time without a beacon after which rank 0 takes over. It covers three beacons
	// and the scheduling delay of an agent process that has only a fifth of a core. It is short,
	// because a group whose leader fails while holding it must be released within one to two seconds.
	leaderTimeout = 700 * time.Millisecond
	// takeoverDelay is added to the timeout once per rank number, so that followers do not all take over
	// at the same time. A claim takes about 20 ms.
	takeoverDelay = 120 * time.Millisecond
	// maxTakeoverDelay limits a rank's total takeover delay in large groups.
	maxTakeoverDelay = 1200 * time.Millisecond
	// orderRetryInterval is the time without a reply after which an order is sent again. An agent waits
	// for its engine for about 40 ms before it replies.
	orderRetryInterval = 90 * time.Millisecond
	// urgentRetryInterval replaces orderRetryInterval while the group may be held. An agent whose engine
	// answers replies within about 15 ms, and the order or the reply may be lost.
	urgentRetryInterval = 25 * time.Millisecond
	// replyTimePerRank times the number of ranks is the time in which the orders to all ranks are sent and their replies
	// received, over a slow link and with a fifth of a core. It matters in groups of 40 ranks and more.
	replyTimePerRank = 700 * time.Microsecond
	// directOrderThreshold is the number of consecutive orders without a reply from the agent after which
	// orders are sent directly to the engine.
	directOrderThreshold = 4
	// maxStatusAge is the age of a rank's status at which the leader reads it from the engine.
	maxStatusAge = 400 * time.Millisecond
	// stepMargin is the number of passes from the last pass known to have begun to the pass of the switch,
	// at the first attempt to hold it. One is enough: the pass of the switch is held while the ranks are
	// armed, and arming takes two messages, which need much less time than a pass.
	stepMargin = 1
	// unansweredStepMargin replaces stepMargin while engines leave orders unanswered. It leaves time for
	// two or three retries before the group, whose passes take 50 ms or more, has to wait.
	unansweredStepMargin = 3
	// unansweredWindow is the time after an unanswered order during which unansweredStepMargin applies.
	unansweredWindow = 5 * time.Second
	// initialLeaderTimeout replaces leaderTimeout in an agent that has just started: one and a half beacon
	// intervals.
	initialLeaderTimeout = 300 * time.Millisecond
	// unformedEpoch is the epoch of a group that has not formed yet. Engines refuse all orders in it.
	unformedEpoch = 0
	// maxHoldAttempts limits the attempts of a rollout to hold a pass; each one chooses a later pass.
	maxHoldAttempts = 3
	// fencesPerMillisecond is the number of fences for each millisecond of the clock, one for each rank:
	// a fence is the Unix time in milliseconds multiplied by fencesPerMillisecond, plus the rank.
	fencesPerMillisecond = 1024
)

// LockstepVocabulary lists the guards and actions of charts/lockstep.json.
func LockstepVocabulary() chart.Vocabulary {
	return chart.Vocabulary{
		Guards: []chart.Guard{"placement-unknown", "armed", "armed-in-part", "armed-in-part-unheld", "held", "may-hold-again"},
		Actions: []chart.Action{
			"claim", "step-down", "hold-armed-step", "disarm", "release", "prepare", "hold", "arm", "report-done",
		},
	}
}

var lockstepChart = loadLockstepChart()

func loadLockstepChart() *chart.Chart {
	loaded, err := chart.Load(charts.Files, "lockstep", LockstepVocabulary())
	if err != nil {
		panic("invariant: " + err.Error())
	}
	return loaded
}
