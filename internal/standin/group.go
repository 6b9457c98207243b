package standin

import (
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// GroupOptions configures a Group.
type GroupOptions struct {
	// Ranks is the number of ranks; each rank is an Engine.
	Ranks int
	// Engine configures each rank.
	Engine EngineOptions
	// RankDelay returns the time to add to a rank's duration of a step; nil adds nothing.
	RankDelay func(rank int, step uint64) time.Duration
	// MapDelay returns the time to add to a rank's duration of a step under a map; nil adds
	// nothing.
	MapDelay func(rank int, expertMap *platform.ExpertMap) time.Duration
}

// GroupReport holds totals over the steps of a group.
type GroupReport struct {
	// Steps counts the steps of all boots.
	Steps uint64
	// MixedMapSteps counts the steps in which the ranks used different maps.
	MixedMapSteps uint64
	// SlowestSum is the sum over all steps of the slowest rank's duration.
	SlowestSum time.Duration
	// MeanSum is the sum over all steps of the mean of the ranks' durations.
	MeanSum time.Duration
}

// Skew returns by which fraction the slowest rank took longer than the mean; 0 means no
// difference.
func (r GroupReport) Skew() float64 {
	if r.MeanSum == 0 {
		return 0
	}
	return float64(r.SlowestSum)/float64(r.MeanSum) - 1
}

// Group is a stand-in for a lock-step group of ranks. A step starts when every rank may run it
// and ends when the slowest rank is done. If one rank crashes, all do.
type Group struct {
	options GroupOptions
	ranks   []*Engine
	loops   sync.WaitGroup
	// stepMu is held while a step starts on all ranks, while a rank processes an order and
	// while all ranks crash, so that none of these interleave. Lock order: stepMu, Engine.lock,
	// mu.
	stepMu sync.Mutex

	mu sync.Mutex
	// loopRunning is true while a goroutine runs steps. workRequested is true if startLoop was
	// called since that goroutine last checked for work.
	loopRunning   bool
	workRequested bool
	closed        chan struct{}
	report        GroupReport
}

// NewGroup returns a group whose ranks are in their first boot.
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

// Report returns the totals over all steps so far.
func (g *Group) Report() GroupReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.report
}

// MapChanges returns the MapChanges of each rank, read while no step is being started.
func (g *Group) MapChanges() [][]MapChange {
	g.stepMu.Lock()
	defer g.stepMu.Unlock()
	all := make([][]MapChange, len(g.ranks))
	for i, rank := range g.ranks {
		all[i] = rank.MapChanges()
	}
	return all
}

// Crash crashes all ranks.
func (g *Group) Crash() {
	g.stepMu.Lock()
	defer g.stepMu.Unlock()
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

// startLoop starts the goroutine that runs steps, or makes the running one check for work
// again. It is called with a rank's lock held, so it must not lock a rank.
func (g *Group) startLoop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.workRequested = true
	if g.loopRunning || isClosed(g.closed) {
		return
	}
	g.loopRunning = true
	g.loops.Go(g.runSteps)
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// runSteps runs steps until there is none to run and no work was requested since the last check.
func (g *Group) runSteps() {
	for {
		for g.runStep() {
		}
		if g.stopIfIdle() {
			return
		}
	}
}

// stopIfIdle marks the loop as ended and returns true if no work was requested since the last
// check, or if the group is closed. Otherwise the loop must check for work again.
func (g *Group) stopIfIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.workRequested && !isClosed(g.closed) {
		g.workRequested = false
		return false
	}
	g.loopRunning = false
	return true
}

// runStep runs one step of all ranks and returns false if there is none to run.
func (g *Group) runStep() bool {
	started, ok := g.beginStep()
	if !ok || !sleep(g.recordStep(started), g.closed) {
		return false
	}
	for i, rank := range g.ranks {
		rank.endStep(started[i].boot)
	}
	return true
}

// beginStep starts a step on all ranks and returns false if there is none to run. If a job
// crashes a rank, all ranks crash.
func (g *Group) beginStep() ([]startedStep, bool) {
	g.stepMu.Lock()
	defer g.stepMu.Unlock()
	if !g.canStep() {
		return nil, false
	}
	started := make([]startedStep, len(g.ranks))
	for i, rank := range g.ranks {
		step, ok := rank.beginLockStep()
		if !ok {
			g.crash()
			return nil, false
		}
		if g.options.RankDelay != nil {
			step.delay += g.options.RankDelay(i, step.number)
		}
		if g.options.MapDelay != nil && step.activeMap != nil {
			step.delay += g.options.MapDelay(i, step.activeMap)
		}
		started[i] = step
	}
	for i, rank := range g.ranks {
		rank.recordLockStepMap(started[i])
	}
	return started, true
}

// canStep reports whether at least one rank has jobs and all ranks may run the next step.
func (g *Group) canStep() bool {
	busy := false
	for _, rank := range g.ranks {
		rankBusy, allowed := rank.canStep()
		if !allowed {
			return false
		}
		busy = busy || rankBusy
	}
	return busy
}

// recordStep adds a step to the report and returns its duration.
func (g *Group) recordStep(started []startedStep) time.Duration {
	var slowest, sum time.Duration
	mixedMaps := false
	for _, step := range started {
		slowest = max(slowest, step.delay)
		sum += step.delay
		mixedMaps = mixedMaps || step.mapVersion != started[0].mapVersion
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Steps++
	g.report.SlowestSum += slowest
	g.report.MeanSum += sum / time.Duration(len(started))
	if mixedMaps {
		g.report.MixedMapSteps++
	}
	return slowest
}
