package standin

import (
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// GroupOptions are the settings of a lock-step group.
type GroupOptions struct {
	// Ranks is the number of ranks; each is an engine of its own.
	Ranks int
	// Engine are the settings of each rank.
	Engine EngineOptions
	// RankDelay is added to a rank's time for a step; nil adds nothing.
	RankDelay func(rank int, step uint64) time.Duration
	// MapDelay is added to a rank's time for a step under a map; nil adds nothing.
	MapDelay func(rank int, placed *platform.ExpertMap) time.Duration
}

// GroupReport sums up the steps of a group.
type GroupReport struct {
	// Steps counts the steps of all boots.
	Steps uint64
	// Torn counts the steps in which the ranks used different maps.
	Torn uint64
	// Slowest is the sum over steps of the slowest rank's time.
	Slowest time.Duration
	// Mean is the sum over steps of the mean of the ranks' times.
	Mean time.Duration
}

// Skew returns how much longer the slowest rank took than the mean, 0 for no difference.
func (r GroupReport) Skew() float64 {
	if r.Mean == 0 {
		return 0
	}
	return float64(r.Slowest)/float64(r.Mean) - 1
}

// Group is a stand-in for a group of ranks in lock-step: a step starts when every rank
// may run it, and ends when the slowest is done. If one rank crashes, all do.
type Group struct {
	options GroupOptions
	ranks   []*Engine
	loops   sync.WaitGroup
	// boundary is held while a step starts and while all ranks crash, so that neither
	// happens to a part of the ranks. It is taken before a rank's lock, mu after it.
	boundary sync.Mutex

	mu sync.Mutex
	// looping is true while a goroutine runs steps; asked is true if something changed
	// since it last looked for work.
	looping bool
	asked   bool
	closed  chan struct{}
	report  GroupReport
}

// NewGroup returns a group of ranks that have just booted.
func NewGroup(options GroupOptions) *Group {
	g := &Group{options: options, closed: make(chan struct{})}
	for range options.Ranks {
		rank := NewEngine(options.Engine)
		rank.group = g
		g.ranks = append(g.ranks, rank)
	}
	return g
}

// Rank returns the engine of a rank.
func (g *Group) Rank(rank int) *Engine { return g.ranks[rank] }

// Report returns the sums over all steps so far.
func (g *Group) Report() GroupReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.report
}

// StepMaps returns the StepMaps of each rank, between two steps.
func (g *Group) StepMaps() [][]StepMap {
	g.boundary.Lock()
	defer g.boundary.Unlock()
	all := make([][]StepMap, len(g.ranks))
	for i, rank := range g.ranks {
		all[i] = rank.StepMaps()
	}
	return all
}

// Crash crashes all ranks.
func (g *Group) Crash() {
	g.boundary.Lock()
	defer g.boundary.Unlock()
	g.crash()
}

func (g *Group) crash() {
	for _, rank := range g.ranks {
		rank.crashAlone()
	}
}

// Close stops all ranks and waits for the end of their work.
func (g *Group) Close() {
	g.stop()
	for _, rank := range g.ranks {
		rank.Close()
	}
	g.loops.Wait()
}

func (g *Group) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !isClosed(g.closed) {
		close(g.closed)
	}
}

// kick makes the group look for work. It is called under a rank's lock, and so takes none.
func (g *Group) kick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asked = true
	if g.looping || isClosed(g.closed) {
		return
	}
	g.looping = true
	g.loops.Go(g.loop)
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// loop runs steps until nothing is left to do and nothing has changed since it looked.
func (g *Group) loop() {
	for {
		for g.step() {
		}
		if g.idle() {
			return
		}
	}
}

// idle ends the loop unless something was asked meanwhile.
func (g *Group) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.asked && !isClosed(g.closed) {
		g.asked = false
		return false
	}
	g.looping = false
	return true
}

// step runs one step of all ranks; false if there is none to run.
func (g *Group) step() bool {
	started, ok := g.begin()
	if !ok || !sleep(g.note(started), g.closed) {
		return false
	}
	for i, rank := range g.ranks {
		rank.endStep(started[i].boot)
	}
	return true
}

// begin starts a step on all ranks; false if it can't be run. If a rank crashes by it,
// all do.
func (g *Group) begin() ([]startedStep, bool) {
	g.boundary.Lock()
	defer g.boundary.Unlock()
	if !g.ready() {
		return nil, false
	}
	started := make([]startedStep, len(g.ranks))
	for i, rank := range g.ranks {
		step, alive := rank.beginLockStep()
		if !alive {
			g.crash()
			return nil, false
		}
		if g.options.RankDelay != nil {
			step.delay += g.options.RankDelay(i, step.number)
		}
		if g.options.MapDelay != nil && step.placed != nil {
			step.delay += g.options.MapDelay(i, step.placed)
		}
		started[i] = step
	}
	for i, rank := range g.ranks {
		rank.noteLockStep(started[i])
	}
	return started, true
}

// ready reports whether a rank has work and all ranks may run the next step.
func (g *Group) ready() bool {
	work := false
	for _, rank := range g.ranks {
		busy, may := rank.canStep()
		if !may {
			return false
		}
		work = work || busy
	}
	return work
}

// note adds a step to the report and returns how long it takes.
func (g *Group) note(started []startedStep) time.Duration {
	var slowest, sum time.Duration
	torn := false
	for _, step := range started {
		slowest = max(slowest, step.delay)
		sum += step.delay
		torn = torn || step.mapVersion != started[0].mapVersion
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Steps++
	g.report.Slowest += slowest
	g.report.Mean += sum / time.Duration(len(started))
	if torn {
		g.report.Torn++
	}
	return slowest
}
