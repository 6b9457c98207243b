package expert

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// triggerWorld feeds a MapTrigger with the demand of a group of 72 ranks, 0.1 s at a time. Maps come into force at once.
type triggerWorld struct {
	trigger MapTrigger
	input   MapInput
	now     time.Time
}

func newTriggerWorld(random *rand.Rand) *triggerWorld {
	w := &triggerWorld{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	w.input = MapInput{
		Placement: startPlacement(12, 72, 144), Demand: NewDemand(12, 144), Slots: 3, NewPerLayer: 2, LoadTime: 16 * time.Millisecond, Ready: true,
		LoadsWithin: func(limit time.Duration) int { return int(limit / (16 * time.Millisecond)) },
		Pass:        65 * time.Millisecond, ExpertPart: 13 * time.Millisecond,
	}
	w.settle(peakedLoad(random, 12, 144))
	return w
}

// settle runs the demand for 1 s and adopts all maps.
func (w *triggerWorld) settle(load Load) {
	for range 10 {
		w.add(load)
		w.decide()
	}
}

func (w *triggerWorld) add(load Load) {
	w.now = w.now.Add(demandBucketTime)
	w.input.Now = w.now
	w.input.Demand.Add(w.now, choices(load, 1))
}

// decide adopts the map that is proposed and returns whether there is one.
func (w *triggerWorld) decide() (MapProposal, bool) {
	proposal, found := w.trigger.Decide(&w.input)
	if found {
		w.input.Placement = proposal.Plan.Placement
	}
	return proposal, found
}

// setSpeed changes the slowness of a rank.
func (w *triggerWorld) setSpeed(rank int, slowness float64) {
	w.input.Slowness = rankWeights(w.input.Slowness, 72)
	w.input.Slowness[rank] = slowness
}

// Guards against changes of speed that start no map, and against maps that cost more than they save: for a rank that
// recovered, for a small slowness of a group without requests, and again for a speed that did not change.
func TestChangeOfSpeedStartsAMap(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(17, 18))
	for _, factor := range []float64{1.3, 2, 4, 8} {
		w := newTriggerWorld(random)
		w.setSpeed(40, factor)
		proposal, found := w.decide()
		c.Check(found, qt.IsTrue, qt.Commentf("factor %v", factor))
		c.Check(proposal.Cause(), qt.Equals, "speed")
		_, found = w.decide()
		c.Check(found, qt.IsFalse, qt.Commentf("factor %v, after the map", factor))
		w.setSpeed(40, 1)
		for range 50 {
			w.input.Now = w.input.Now.Add(demandBucketTime)
			proposal, found = w.decide()
			c.Check(found, qt.IsFalse, qt.Commentf("recovery from factor %v: skew %v to %v", factor, proposal.Plan.SkewBefore, proposal.Plan.SkewAfter))
		}
	}
	w := newTriggerWorld(random)
	w.input.ExpertPart = 0
	w.setSpeed(40, 1.3)
	_, found := w.decide()
	c.Check(found, qt.IsFalse, qt.Commentf("a group without requests"))
	w = newTriggerWorld(random)
	w.setSpeed(40, 4)
	w.input.Ready = false
	_, found = w.decide()
	c.Check(found, qt.IsFalse, qt.Commentf("a rollout is in progress"))
	w.input.MayReplace = true
	_, found = w.decide()
	c.Check(found, qt.IsTrue, qt.Commentf("the map of the rollout can be replaced"))
	w.setSpeed(40, 8)
	_, found = w.decide()
	c.Check(found, qt.IsFalse, qt.Commentf("the estimate of a slow rank rises while its map is loaded"))
	w.setSpeed(41, 4)
	_, found = w.decide()
	c.Check(found, qt.IsTrue, qt.Commentf("another rank becomes slow while a map is loaded"))
}

// Guards against a map for a jump in demand whose loading begins again with each rank that is detected as slow: the gain of
// the map being loaded must not count as the gain of its successor. The change of speed must be decided again afterwards.
func TestNewlySlowRanksKeepTheMapOfAJump(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(27, 28))
	w := newTriggerWorld(random)
	before := w.input.Placement
	load, found, restarts := peakedLoad(random, 12, 144), false, 0
	for i := 0; i < 10 && !found; i++ {
		w.add(load)
		_, found = w.decide()
	}
	c.Assert(found, qt.IsTrue)
	loading := w.input.Placement
	w.input.Placement, w.input.Ready, w.input.MayReplace = before, false, true
	demand, _ := w.input.Demand.Estimate()
	for rank := range 8 {
		w.setSpeed(rank, 1.1)
		proposal, found := w.trigger.Decide(&w.input)
		// 6 s of passes of which 13 ms of 65 ms are spent in experts, against 15 % of the loading and 0.3 s of rollout.
		saved := (PlacementSkew(loading, demand, w.input.Slowness) - proposal.Plan.SkewAfter) * 13 / 65 * 6
		cost := 0.15 * (0.016*float64(proposal.Plan.MaxPerRank) + 0.3)
		c.Check(found, qt.Equals, saved > cost, qt.Commentf("rank %d: saved %v, cost %v", rank, saved, cost))
		if found {
			loading = proposal.Plan.Placement
			restarts++
		}
	}
	// Eight ranks at 1.1 cost at most a tenth of the skew of 1.3: 0.16 s in 6 s, enough for two maps that save 0.07 s each.
	c.Check(restarts <= 2, qt.IsTrue, qt.Commentf("the loading began again %d times", restarts))
	w.setSpeed(9, 8)
	_, found = w.trigger.Decide(&w.input)
	c.Check(found, qt.IsTrue, qt.Commentf("a map that saves much more than the one being loaded replaces it"))

	w.input.Placement, w.input.Ready, w.input.MayReplace = loading, true, false
	w.setSpeed(10, 1.2)
	proposal, _ := w.trigger.Decide(&w.input)
	c.Check(proposal.SpeedChanged, qt.IsTrue)
}

// Guards against plans, which take much of an agent's processor time, without a new demand or a change of speed.
func TestPlansNeedAChange(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(31, 32))
	w := newTriggerWorld(random)
	w.setSpeed(40, 1.3)
	w.decide()
	for _, factor := range []float64{1.3, 1.35, 1.25} {
		w.setSpeed(40, factor)
		proposal, found := w.decide()
		c.Check(found, qt.IsFalse)
		c.Check(proposal.Plan.Placement, qt.IsNil, qt.Commentf("planned at slowness %v", factor))
	}
	w.add(peakedLoad(random, 12, 144))
	proposal, _ := w.decide()
	c.Check(proposal.Plan.Placement, qt.IsNotNil, qt.Commentf("demand changed"))
}

// Guards against a map for each change of ranks that are slow and as usual by turns: the first map remains.
func TestFlappingRanksStartOneMap(t *testing.T) {
	c := qt.New(t)
	w := newTriggerWorld(rand.New(rand.NewPCG(25, 26)))
	maps := 0
	for i := range 100 {
		w.input.Now = w.input.Now.Add(demandBucketTime)
		w.input.Slowness = nil
		if i%10 < 5 {
			for rank := range 8 {
				w.setSpeed(rank, 2)
			}
		}
		if _, found := w.decide(); found {
			maps++
		}
	}
	c.Assert(maps, qt.Equals, 1)
}

// Guards against decisions that differ from those without speeds in groups whose ranks all report a pace of 1 or none. The
// rule in the test is the one by which leaders decided before they knew speeds.
func TestDecisionsWithoutSlowRanksAreUnchanged(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(19, 20))
	w := newTriggerWorld(random)
	speeds := NewRankSpeeds()
	plannedJumps := w.input.Demand.Jumps()
	proposals := 0
	for round := range 8 {
		load := peakedLoad(random, 12, 144)
		for bucket := range 12 {
			w.add(load)
			w.input.Ready = bucket%4 != 3
			w.input.MayReplace = !w.input.Ready && round%2 == 0
			for rank := range 72 {
				speeds.Observe(w.now, &RankStatus{Epoch: 1, Rank: ident.Rank(rank), Size: 72, Step: uint64(round*12 + bucket), Pace: float64(rank % 2)})
			}
			speeds.Update(w.now, idleTestPass)
			w.input.Slowness = speeds.Slowness()
			expected, expectedFound := decideWithoutSpeeds(&w.input, &plannedJumps)
			proposal, found := w.decide()
			c.Assert(found, qt.Equals, expectedFound)
			if found {
				proposals++
				c.Assert(proposal.Plan, qt.DeepEquals, expected)
			}
		}
	}
	c.Assert(proposals >= 8, qt.IsTrue, qt.Commentf("each of eight jumps needs a map; %d were proposed", proposals))
}

// decideWithoutSpeeds is the decision of leaders before they knew the speeds of ranks.
func decideWithoutSpeeds(input *MapInput, plannedJumps *int) (CopyPlan, bool) {
	load, buckets := input.Demand.Estimate()
	jumps := input.Demand.Jumps()
	jumped := jumps != *plannedJumps
	limit := 300 * time.Millisecond
	if jumped || buckets <= 1 {
		limit = 160 * time.Millisecond
	}
	if !input.Ready && (!jumped || !input.MayReplace) {
		return CopyPlan{}, false
	}
	plan := PlanCopies(input.Placement, load, CopyLimits{
		Slots: input.Slots, PerRank: input.LoadsWithin(limit), PerLayer: input.NewPerLayer, MinGain: 0.027 * input.LoadTime.Seconds(),
	})
	if plan.Copies == 0 || (plan.SkewBefore-plan.SkewAfter)/plan.SkewBefore < 0.06 {
		return plan, false
	}
	*plannedJumps = jumps
	return plan, true
}
