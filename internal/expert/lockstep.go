package expert

import (
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/charts"
	"github.com/bramleyspool/bramleyspool/internal/chart"
	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// LockstepOrderKind is what an order asks an engine whose group switches maps by itself at a step.
type LockstepOrderKind string

// The kinds of order.
const (
	// LockstepClaim changes nothing; once an engine accepted it, it refuses orders with smaller fences.
	LockstepClaim LockstepOrderKind = "claim"
	// LockstepPrepare loads the experts that the rank lacks for the map.
	LockstepPrepare LockstepOrderKind = "prepare"
	// LockstepArm makes the rank switch to the prepared map as the pass Step begins.
	LockstepArm LockstepOrderKind = "arm"
	// LockstepDisarm takes an arm back.
	LockstepDisarm LockstepOrderKind = "disarm"
	// LockstepHold keeps the whole group from beginning the pass Step.
	LockstepHold LockstepOrderKind = "hold"
	// LockstepRelease ends a hold.
	LockstepRelease LockstepOrderKind = "release"
)

// LockstepOrder is an order to the engine of one rank.
type LockstepOrder struct {
	Kind LockstepOrderKind `cbor:"1,keyasint" json:"kind"`
	// Epoch is the life of the group that the order is for.
	Epoch uint64 `cbor:"2,keyasint" json:"epoch"`
	// Fence is the fencing token.
	Fence   uint64 `cbor:"3,keyasint" json:"fence"`
	Version uint64 `cbor:"4,keyasint,omitempty" json:"version,omitempty"`
	Step    uint64 `cbor:"5,keyasint,omitempty" json:"step,omitempty"`
	// Placement is the map to prepare.
	Placement LayerPlacements `cbor:"6,keyasint,omitempty" json:"placement,omitempty"`
}

// LayerPlacements holds the experts of each rank, by layer and rank, in ascending order.
type LayerPlacements [][][]Expert

// Clone returns a copy that shares nothing with p.
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

// LockstepResult is what became of an order.
type LockstepResult string

// The results of an order.
const (
	// LockstepAccepted means that the order has begun, is done, or that its state already holds.
	LockstepAccepted LockstepResult = "accepted"
	// LockstepRefused means that the order does not fit the engine's state.
	LockstepRefused LockstepResult = "refused"
	// LockstepStale means that the engine has seen a greater fence.
	LockstepStale LockstepResult = "stale"
	// LockstepUnanswered means that the order may take effect at any time, or never.
	LockstepUnanswered LockstepResult = "unanswered"
)

// RankStatus is the state of a rank's engine at one moment.
type RankStatus struct {
	Epoch uint64     `cbor:"1,keyasint" json:"epoch"`
	Rank  ident.Rank `cbor:"2,keyasint" json:"rank"`
	Size  int        `cbor:"3,keyasint" json:"size"`
	// Open is false while the group can't run requests.
	Open bool `cbor:"4,keyasint" json:"open"`
	// Step is the last pass that was begun.
	Step uint64 `cbor:"5,keyasint" json:"step"`
	// Map is the version of the map in use; 0 is the map that a group starts with.
	Map uint64 `cbor:"6,keyasint" json:"map"`
	// Prepared is the version whose experts are all loaded, Armed the one to switch to; 0 for none.
	Prepared uint64 `cbor:"7,keyasint,omitempty" json:"prepared,omitempty"`
	Armed    uint64 `cbor:"8,keyasint,omitempty" json:"armed,omitempty"`
	// ArmedStep is the pass of the switch if the engine reports it; 0 if it does not.
	ArmedStep uint64 `cbor:"9,keyasint,omitempty" json:"armed_step,omitempty"`
	// Held is the pass that the rank keeps the group from beginning; 0 for none.
	Held uint64 `cbor:"10,keyasint,omitempty" json:"held,omitempty"`
	// Loading is true while an order is in progress.
	Loading bool `cbor:"11,keyasint,omitempty" json:"loading,omitempty"`
	// Running and Waiting are numbers of requests.
	Running int `cbor:"12,keyasint,omitempty" json:"running,omitempty"`
	Waiting int `cbor:"13,keyasint,omitempty" json:"waiting,omitempty"`
	// Pace is over 1 for a rank that is slower than its kind.
	Pace float64 `cbor:"14,keyasint,omitempty" json:"pace,omitempty"`
}

// LockstepReply is the answer to an order.
type LockstepReply struct {
	Rank ident.Rank
	// Sequence repeats the number of the SendLockstepOrder.
	Sequence uint64
	Result   LockstepResult
	// Status is the state after the order if HasStatus is true.
	Status    RankStatus
	HasStatus bool
	// Experts are the rank's experts by layer, in answer to a claim.
	Experts [][]Expert
}

// SendLockstepOrder is the action of giving an order to the engine of a rank.
type SendLockstepOrder struct {
	Rank     ident.Rank
	Sequence uint64
	// Direct orders go straight to the engine, as its agent does not answer.
	Direct bool
	Order  LockstepOrder
}

// ReadRank is the action of reading the state of a rank straight from its engine, as its agent does not answer.
type ReadRank struct {
	Rank ident.Rank
}

// Beacon is the action of telling all agents of the group who leads.
type Beacon struct {
	Epoch, Fence uint64
}

// MapInForce reports the end of a rollout.
type MapInForce struct {
	Version uint64
	// Took is the time from the plan until all ranks reported the new map; all experts were loaded after Loaded, and
	// all ranks were armed and the group went on after Released.
	Took, Loaded, Released time.Duration
}

// LockstepLeadership reports that the agent began or ceased to lead, and why.
type LockstepLeadership struct {
	Leading bool
	Fence   uint64
	Reason  string
}

// LockstepAction is an action of a LockstepLeader.
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

// Times of the leader.
const (
	// beaconInterval is how often a leader tells that it lives.
	beaconInterval = 200 * time.Millisecond
	// leaderSilence is the silence after which the first follower takes over: three beacons and the
	// delay of a process with a fifth of a core. A held group must be free within one to two seconds.
	leaderSilence = 700 * time.Millisecond
	// successionDelay keeps followers from taking over at once: a claim takes some 20 ms.
	successionDelay = 120 * time.Millisecond
	// maxSuccession bounds the sum of these delays in large groups.
	maxSuccession = 1200 * time.Millisecond
	// orderRepeat is the time without an answer after which an order is given again: an agent waits
	// some 40 ms for its engine and answers then.
	orderRepeat = 90 * time.Millisecond
	// urgentRepeat is the same while the group may be held: an agent answers within some 15 ms unless its
	// engine leaves the order unanswered, and the message or its answer may be lost.
	urgentRepeat = 25 * time.Millisecond
	// directAfter is the number of orders to an agent without an answer after which the engine gets them directly.
	directAfter = 4
	// statusLife is the age at which a silent agent's status is read from its engine.
	statusLife = 400 * time.Millisecond
	// stepMargin is how many passes ahead of the group a switch is set first. Arming all ranks takes
	// two messages, which is far less than a pass, and the hold is in place before.
	stepMargin = 1
	// cautiousMargin is the margin while orders go unanswered: two or three are given again before the
	// group, whose passes take 50 ms and more, has to stand still for them.
	cautiousMargin = 3
	// unansweredMemory is how long an unanswered order makes the leader cautious.
	unansweredMemory = 5 * time.Second
	// firstPatience is how long an agent that starts waits for a leader: a beacon interval and a half.
	firstPatience = 300 * time.Millisecond
	// maxHoldTries bounds how often a rollout chooses a later step.
	maxHoldTries = 3
	// fenceUnit separates the fences of different milliseconds; the rank fills the rest.
	fenceUnit = 1024
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
