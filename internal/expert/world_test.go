package expert

import (
	"fmt"
	"slices"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// stepKey identifies one step of one generation.
type stepKey struct {
	generation Generation
	step       Step
}

// world simulates a group of agents and engines. Its network may lose, delay, duplicate and
// reorder messages. It records the map of each step and a violation if ranks use different
// maps in a step.
type world struct {
	now           time.Time
	shape         Shape
	group         ident.Group
	roster        Roster
	nodes         []*node
	network       []Send
	usedMaps      map[stepKey]Version
	started       map[stepKey]map[ident.Rank]bool
	ended         []RolloutEnded
	violation     string
	processStarts uint64
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

// engine simulates the ranks of one agent.
type engine struct {
	generation Generation
	next       map[ident.Rank]Step
	weights    map[Placement]bool
	maps       map[Version]Map
}

func newWorld(agents, ranksEach int) *world {
	w := &world{
		now:      time.Unix(1_700_000_000, 0),
		group:    "g",
		shape:    Shape{Ranks: agents * ranksEach, Layers: 1, Experts: 6, Slots: 6},
		usedMaps: map[stepKey]Version{},
		started:  map[stepKey]map[ident.Rank]bool{},
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

// start starts a new agent process on a VM, with the given engine or, if it is zero, a new
// one.
func (w *world) start(entry RosterMember, running engine) *node {
	w.processStarts++
	n := &node{vm: entry.VM, ranks: entry.Ranks, engine: running}
	n.self = ident.Instance{VM: entry.VM, Incarnation: ident.Incarnation(w.processStarts)}
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
	w.stepBoth(n, RosterChanged{Roster: n.roster})
}

func (w *world) stepBoth(n *node, event Event) {
	w.perform(n, n.member.Step(w.now, event))
	w.perform(n, n.leader.Step(w.now, event))
}

func (w *world) elect(n *node, elected bool) {
	n.elected = elected
	w.perform(n, n.leader.Step(w.now, ElectionChanged{Elected: elected}))
}

func (w *world) deliver(message Send) {
	for _, n := range w.nodes {
		if n.vm != message.To || n.paused {
			continue
		}
		w.stepBoth(n, Received{Message: message.Message})
	}
}

func (w *world) perform(n *node, actions []Action) {
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

// record records the map of an allowed step. It checks that all ranks use the same map and
// that the weights are loaded.
func (w *world) record(n *node, allowed AllowStep) {
	key := stepKey{allowed.Generation, allowed.Step}
	if other, found := w.usedMaps[key]; found && other != allowed.Version {
		w.violation = fmt.Sprintf("step %d of generation %s: rank %d uses map %s, another rank map %s", allowed.Step, allowed.Generation, allowed.Rank, allowed.Version, other)
	}
	w.usedMaps[key] = allowed.Version
	if w.started[key] == nil {
		w.started[key] = map[ident.Rank]bool{}
	}
	w.started[key][allowed.Rank] = true
	n.engine.next[allowed.Rank] = allowed.Step + 1
	layer := n.engine.maps[allowed.Version].Layers[0]
	for _, replica := range layer.Ranks[allowed.Rank] {
		if !n.engine.weights[Placement{Expert: replica.Expert, Rank: allowed.Rank}] {
			w.violation = fmt.Sprintf("rank %d uses map %s without the weights of expert %d", allowed.Rank, allowed.Version, replica.Expert)
		}
	}
}

// request requests the next step of a rank if all ranks have started the previous one.
func (w *world) request(n *node, rank ident.Rank) {
	step := n.engine.next[rank]
	if n.paused || n.engine.generation.IsZero() {
		return
	}
	if step > 1 && len(w.started[stepKey{n.engine.generation, step - 1}]) < w.shape.Ranks {
		return
	}
	request := StepRequested{Rank: rank, Generation: n.engine.generation, Step: step}
	w.perform(n, n.member.Step(w.now, request))
}

func (w *world) finishLoad(n *node, succeed bool) {
	if len(n.loading) == 0 || n.paused {
		return
	}
	load := n.loading[0]
	n.loading = n.loading[1:]
	if !succeed {
		w.perform(n, n.member.Step(w.now, WeightsFailed{Version: load.Version, Cause: "weight store refused"}))
		return
	}
	for _, placement := range load.Placements {
		n.engine.weights[placement] = true
	}
	w.perform(n, n.member.Step(w.now, WeightsLoaded{Version: load.Version}))
}

func (w *world) restartEngine(n *node) {
	if n.paused {
		return
	}
	n.engine = engine{next: map[ident.Rank]Step{}, weights: map[Placement]bool{}, maps: map[Version]Map{}}
	n.loading = nil
	w.perform(n, n.member.Step(w.now, EngineRestarted{}))
}

// restartAgent replaces the agent process on a VM. The engine keeps running if keepEngine.
func (w *world) restartAgent(i int, keepEngine bool) {
	old := w.nodes[i]
	kept := engine{}
	if keepEngine {
		kept = old.engine
	}
	w.nodes[i] = w.start(RosterMember{VM: old.vm, Ranks: old.ranks}, kept)
}

// replace publishes a new VM for the ranks of node i. The old VM keeps running, but the
// roster no longer lists it.
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
			w.stepBoth(n, Tick{})
		}
	}
}

// endFaults ends all faults: only the listed agents run, all with the current roster and the
// same elected leader.
func (w *world) endFaults() {
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

// run runs the group without faults for a duration.
func (w *world) run(d time.Duration) {
	w.runUntil(d, func() bool { return false })
}

// runUntil runs the group without faults for a duration or until a condition holds.
func (w *world) runUntil(d time.Duration, condition func() bool) {
	const tick = 100 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < d && !condition(); elapsed += tick {
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
