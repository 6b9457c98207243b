package expert

import (
	"fmt"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// stepKey names one lock-step iteration.
type stepKey struct {
	generation Generation
	step       Step
}

// world is a group of agents and engines in one process with a network that loses,
// delays, doubles and reorders. It records which map each rank used in each step.
type world struct {
	now     time.Time
	shape   Shape
	group   ident.Group
	roster  Roster
	nodes   []*node
	network []Send
	used    map[stepKey]Version
	started map[stepKey]map[ident.Rank]bool
	ended   []RolloutEnded
	fault   string
	births  uint64
}

// node is one agent with its engine.
type node struct {
	vm      ident.VM
	self    ident.Instance
	ranks   []ident.Rank
	member  *Member
	leader  *Leader
	paused  bool
	elected bool
	roster  Roster
	loading []LoadWeights
	engine  engine
}

// engine is a stand-in of the ranks behind one agent.
type engine struct {
	generation Generation
	next       map[ident.Rank]Step
	weights    map[Placement]bool
	maps       map[Version]Map
}

func newWorld(agents, ranksEach int) *world {
	w := &world{
		now:     time.Unix(1_700_000_000, 0),
		group:   "g",
		shape:   Shape{Ranks: agents * ranksEach, Layers: 1, Experts: 6, Slots: 6},
		used:    map[stepKey]Version{},
		started: map[stepKey]map[ident.Rank]bool{},
	}
	w.roster.Version = 1
	for i := range agents {
		var ranks []ident.Rank
		for k := range ranksEach {
			ranks = append(ranks, ident.Rank(i*ranksEach+k))
		}
		w.roster.Members = append(w.roster.Members, RosterMember{VM: ident.VM(fmt.Sprintf("vm%d", i)), Ranks: ranks})
	}
	for _, member := range w.roster.Members {
		w.nodes = append(w.nodes, w.start(member, engine{}))
	}
	return w
}

// start runs a new agent process on a VM.
func (w *world) start(entry RosterMember, running engine) *node {
	w.births++
	n := &node{vm: entry.VM, ranks: entry.Ranks, engine: running}
	n.self = ident.Instance{VM: entry.VM, Incarnation: ident.Incarnation(w.births)}
	var err error
	n.member, err = NewMember(MemberConfig{Group: w.group, Self: n.self, Ranks: n.ranks, Shape: w.shape})
	if err != nil {
		panic(err)
	}
	n.leader, err = NewLeader(LeaderConfig{Group: w.group, Self: n.self, Shape: w.shape, StepMargin: 6})
	if err != nil {
		panic(err)
	}
	if n.engine.weights == nil {
		n.engine = engine{next: map[ident.Rank]Step{}, weights: map[Placement]bool{}, maps: map[Version]Map{}}
	}
	w.publish(n)
	return n
}

func (w *world) publish(n *node) {
	n.roster = Roster{Version: w.roster.Version, Members: slices.Clone(w.roster.Members)}
	w.both(n, RosterChanged{Roster: n.roster})
}

func (w *world) both(n *node, event Event) {
	w.act(n, n.member.Step(w.now, event))
	w.act(n, n.leader.Step(w.now, event))
}

func (w *world) elect(n *node, elected bool) {
	n.elected = elected
	w.act(n, n.leader.Step(w.now, ElectionChanged{Elected: elected}))
}

func (w *world) deliver(message Send) {
	for _, n := range w.nodes {
		if n.vm != message.To || n.paused {
			continue
		}
		w.both(n, Received{Message: message.Message})
	}
}

func (w *world) act(n *node, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			w.network = append(w.network, a)
		case LoadWeights:
			n.loading = append(n.loading, a)
		case JoinGeneration:
			n.engine.generation = a.Generation
			n.engine.maps[a.Map.Version] = a.Map
			for _, rank := range n.ranks {
				n.engine.next[rank] = 1
			}
		case LeaveGeneration:
			n.engine.generation = Generation{}
		case MapScheduled:
			n.engine.maps[a.Activation.Version] = a.Map
		case AllowStep:
			w.record(n, a)
		case RolloutEnded:
			w.ended = append(w.ended, a)
		}
	}
}

// record notes the use of a map in a step and checks that it is the one of all ranks.
func (w *world) record(n *node, allowed AllowStep) {
	key := stepKey{allowed.Generation, allowed.Step}
	if other, found := w.used[key]; found && other != allowed.Version {
		w.fault = fmt.Sprintf("step %d of %s: rank %d uses %s, another rank %s", allowed.Step, allowed.Generation, allowed.Rank, allowed.Version, other)
	}
	w.used[key] = allowed.Version
	if w.started[key] == nil {
		w.started[key] = map[ident.Rank]bool{}
	}
	w.started[key][allowed.Rank] = true
	n.engine.next[allowed.Rank] = allowed.Step + 1
	layer := n.engine.maps[allowed.Version].Layers[0]
	for _, replica := range layer.Ranks[allowed.Rank] {
		if !n.engine.weights[Placement{Expert: replica.Expert, Rank: allowed.Rank}] {
			w.fault = fmt.Sprintf("rank %d uses %s without the weights of expert %d", allowed.Rank, allowed.Version, replica.Expert)
		}
	}
}

// request lets a rank ask for its next step if the step before was started by all.
func (w *world) request(n *node, rank ident.Rank) {
	step := n.engine.next[rank]
	if n.paused || n.engine.generation.IsZero() {
		return
	}
	if step > 1 && len(w.started[stepKey{n.engine.generation, step - 1}]) < w.shape.Ranks {
		return
	}
	request := StepRequested{Rank: rank, Generation: n.engine.generation, Step: step}
	w.act(n, n.member.Step(w.now, request))
}

func (w *world) finishLoad(n *node, succeed bool) {
	if len(n.loading) == 0 || n.paused {
		return
	}
	load := n.loading[0]
	n.loading = n.loading[1:]
	if !succeed {
		w.act(n, n.member.Step(w.now, WeightsFailed{Version: load.Version, Cause: "weight store refused"}))
		return
	}
	for _, placement := range load.Placements {
		n.engine.weights[placement] = true
	}
	w.act(n, n.member.Step(w.now, WeightsLoaded{Version: load.Version}))
}

func (w *world) restartEngine(n *node) {
	if n.paused {
		return
	}
	n.engine = engine{next: map[ident.Rank]Step{}, weights: map[Placement]bool{}, maps: map[Version]Map{}}
	n.loading = nil
	w.act(n, n.member.Step(w.now, EngineRestarted{}))
}

// restartAgent replaces the process on a VM; its engine lives on if kept.
func (w *world) restartAgent(i int, keepEngine bool) {
	old := w.nodes[i]
	kept := engine{}
	if keepEngine {
		kept = old.engine
	}
	w.nodes[i] = w.start(RosterMember{VM: old.vm, Ranks: old.ranks}, kept)
}

// replace publishes a new VM for the ranks of node i. The old one lives on unlisted.
func (w *world) replace(i int) {
	old := w.nodes[i]
	w.roster.Version++
	members := slices.Clone(w.roster.Members)
	at := slices.IndexFunc(members, func(m RosterMember) bool { return m.VM == old.vm })
	if at < 0 {
		return
	}
	members[at] = RosterMember{VM: ident.VM(fmt.Sprintf("vm%d-%d", at, w.roster.Version)), Ranks: old.ranks}
	entry := members[at]
	slices.SortFunc(members, func(a, b RosterMember) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	w.roster.Members = members
	w.nodes = append(w.nodes, w.start(entry, engine{}))
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		if !n.paused {
			w.both(n, Tick{})
		}
	}
}

// heal ends all faults: listed agents alone run, know the roster and elect one leader.
func (w *world) heal() {
	w.nodes = slices.DeleteFunc(w.nodes, func(n *node) bool {
		_, listed := w.roster.Member(n.vm)
		return !listed
	})
	leader := Elect(w.group, w.roster, func(ident.VM) bool { return true })
	for _, n := range w.nodes {
		n.paused = false
		w.publish(n)
		w.elect(n, n.vm == leader)
	}
}

// run lets the healthy group go on for a time.
func (w *world) run(d time.Duration) {
	w.runUntil(d, func() bool { return false })
}

// runUntil lets the healthy group go on for a time, or until a condition holds.
func (w *world) runUntil(d time.Duration, holds func() bool) {
	const tick = 100 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < d && !holds(); elapsed += tick {
		pending := w.network
		w.network = nil
		for _, message := range pending {
			w.deliver(message)
		}
		for _, n := range w.nodes {
			w.finishLoad(n, true)
			for _, rank := range n.ranks {
				w.request(n, rank)
			}
		}
		w.advance(tick)
	}
}

func (w *world) ready() *node {
	for _, n := range w.nodes {
		if n.leader.Ready() && !n.paused {
			return n
		}
	}
	return nil
}

// otherMap returns a valid map that depends on seed.
func (w *world) otherMap(seed int) Map {
	m := StaticMap(Version{}, Shape{Ranks: w.shape.Ranks, Layers: 1, Experts: w.shape.Experts, Slots: 3 + seed%2})
	ranks := m.Layers[0].Ranks
	by := seed % len(ranks)
	m.Layers[0].Ranks = append(slices.Clone(ranks[by:]), ranks[:by]...)
	return m
}
