package expert

import "time"

// Limits and thresholds of a MapTrigger.
const (
	// firstMapLoadTime limits the time that a rank loads experts for the first map after a jump in demand or a change of
	// speed, and refinedMapLoadTime the time for the maps that refine it. The limits allow four and eight experts of
	// 0.42 GB, or one and two of 1.7 GB. Passes are slow until a map is active, so a rough map that is active soon is worth
	// more than a better one that takes longer to load. See docs/measurements/platform.md.
	firstMapLoadTime   = 160 * time.Millisecond
	refinedMapLoadTime = 300 * time.Millisecond
	// minGainPerSecond times the seconds for loading an expert is the smallest gain for which a copy of it is loaded. The
	// gain is the reduction of the highest rank load, as a fraction of the mean rank load (see CopyLimits.MinGain): at
	// least 0.004 for an expert of 1.7 GB, 0.001 for one of 0.42 GB. Loading a copy with a smaller gain costs more than the
	// copy saves.
	minGainPerSecond = 0.027
	// minImprovement is the smallest relative reduction of the skew for which a map is proposed. Passes take 15 % longer
	// while experts are loaded, for about one second of the few seconds between two changes of demand. The map must save
	// more time than that.
	minImprovement = 0.06
	// stragglerDuration is the usual time for which a rank is slow. A map for a change of speed must save more time in it
	// than its loading costs.
	stragglerDuration = 6 * time.Second
	// slownessRetention is the time for which maps treat a rank as slow after it was. A rank that is slow and as usual by turns would
	// otherwise start a map with each change, in which passes take longer while experts are loaded. A recovered rank that
	// holds few experts for this time costs little.
	slownessRetention = 3 * time.Second
	// loadingSlowdown is the fraction by which passes take longer while experts are loaded, as stated by the platform, and
	// rolloutTime the time of a rollout without the loading itself, in which it may apply too.
	loadingSlowdown = 0.15
	rolloutTime     = 300 * time.Millisecond
)

// MapInput is what a MapTrigger decides by.
type MapInput struct {
	// Placement is the map in use, Demand the estimated demand.
	Placement LayerPlacements
	Demand    *Demand
	// Now is the present time.
	Now time.Time
	// Slowness is as in RankSpeeds, Leaving as in CopyLimits.
	Slowness []float64
	Leaving  []bool
	// Slots and NewPerLayer are the limits of a rank in a layer. LoadsWithin returns the number of experts that a rank loads
	// within a time, and LoadTime is that of one expert.
	Slots, NewPerLayer int
	LoadsWithin        func(time.Duration) int
	LoadTime           time.Duration
	// Ready is true if no rollout is in progress, MayReplace if the map of the one in progress can be replaced.
	Ready, MayReplace bool
	// Pass is the duration of a pass, and ExpertPart the part of it that is spent in experts with a skew of 1; 0 if unknown.
	Pass, ExpertPart time.Duration
}

// MapTrigger decides when a leader proposes a map: after a jump in demand or a change of speed at once, and otherwise when
// it reduces the skew enough. It is pure and not safe for concurrent use.
type MapTrigger struct {
	// plannedJumps is the number of jumps, and plannedSlowness the slowness, at the last decision on them.
	plannedJumps    int
	plannedSlowness []float64
	// planned is the state of the demand at the last plan.
	planned demandState
	// loading is the placement proposed last, until a decision finds that its rollout ended. refusedSlowness is the
	// slowness with which a map was last compared with it and not proposed.
	loading         LayerPlacements
	refusedSlowness []float64
	// recentlySlow holds the ranks that are slow or were a short time ago.
	recentlySlow map[int]retainedSlowness
}

// demandState identifies an estimate of the demand, which changes only with a jump or another bucket.
type demandState struct{ jumps, buckets int }

// retainedSlowness is the last slowness of a rank that was slow, and the time until which maps use it.
type retainedSlowness struct {
	slowness float64
	until    time.Time
}

// MapProposal is a map to propose, and its causes.
type MapProposal struct {
	Plan CopyPlan
	// Jumped and SpeedChanged are true if demand jumped or speeds changed since the last decision on them.
	Jumped, SpeedChanged bool
}

// Cause returns the cause of the map as it is logged.
func (p *MapProposal) Cause() string {
	switch {
	case p.Jumped && p.SpeedChanged:
		return "jump-and-speed"
	case p.Jumped:
		return "jump"
	case p.SpeedChanged:
		return "speed"
	}
	return "refinement"
}

// Decide returns the map to propose now, and false if none is worth its cost.
func (t *MapTrigger) Decide(input *MapInput) (MapProposal, bool) {
	load, buckets := input.Demand.Estimate()
	jumps := input.Demand.Jumps()
	slowness := t.retainSlowness(input.Now, input.Slowness, len(input.Placement[0]))
	proposal := MapProposal{Jumped: jumps != t.plannedJumps, SpeedChanged: t.speedChanged(slowness)}
	urgent := proposal.Jumped || proposal.SpeedChanged
	if input.Ready {
		t.loading, t.refusedSlowness = nil, nil
	}
	if !input.Ready && (!input.MayReplace || !proposal.Jumped && !t.newlySlow(slowness)) {
		return proposal, false
	}
	state := demandState{jumps: jumps, buckets: buckets}
	if !urgent && state == t.planned {
		// A plan takes 6 to 20 ms of a full core, of which an agent has about a quarter.
		return proposal, false
	}
	t.planned = state
	loadTimeLimit := refinedMapLoadTime
	if urgent || buckets <= 1 {
		loadTimeLimit = firstMapLoadTime
	}
	proposal.Plan = PlanCopies(input.Placement, load, CopyLimits{
		Slots: input.Slots, PerRank: input.LoadsWithin(loadTimeLimit), PerLayer: input.NewPerLayer,
		MinGain: minGainPerSecond * input.LoadTime.Seconds(), Slowness: slowness, Leaving: input.Leaving,
	})
	plan := &proposal.Plan
	improves := plan.Copies > 0 && (plan.SkewBefore-plan.SkewAfter)/plan.SkewBefore >= minImprovement
	if proposal.SpeedChanged && !proposal.Jumped {
		skewBefore := plan.SkewBefore
		if t.loading != nil {
			// The map being loaded is the alternative: its gain is not a gain of the new map.
			skewBefore = PlacementSkew(t.loading, load, slowness)
		}
		improves = input.savesTime(plan, skewBefore)
	}
	if !improves && !input.Ready {
		// The change of speed is decided again once the map is in use.
		t.refusedSlowness = slowness
		return proposal, false
	}
	t.plannedSlowness = slowness
	if improves {
		t.plannedJumps, t.loading, t.refusedSlowness = jumps, plan.Placement, nil
	}
	return proposal, improves
}

// retainSlowness returns the slowness by which to plan: that of ranks that are slow, and for slownessRetention the last one of ranks that were;
// nil if there are none.
func (t *MapTrigger) retainSlowness(now time.Time, slowness []float64, ranks int) []float64 {
	for rank, factor := range slowness {
		if factor > 1 {
			if t.recentlySlow == nil {
				t.recentlySlow = map[int]retainedSlowness{}
			}
			t.recentlySlow[rank] = retainedSlowness{slowness: factor, until: now.Add(slownessRetention)}
		}
	}
	var planned []float64
	for rank, retained := range t.recentlySlow {
		if !now.Before(retained.until) || rank >= ranks {
			delete(t.recentlySlow, rank)
			continue
		}
		if planned == nil {
			planned = rankWeights(nil, ranks)
		}
		planned[rank] = retained.slowness
	}
	return planned
}

// speedChanged reports whether a slowness differs from that of the last decision as much as a SpeedChange does.
func (t *MapTrigger) speedChanged(slowness []float64) bool {
	ranks := max(len(slowness), len(t.plannedSlowness))
	now, before := rankWeights(slowness, ranks), rankWeights(t.plannedSlowness, ranks)
	for rank := range now {
		if isSpeedChange(before[rank], now[rank]) {
			return true
		}
	}
	return false
}

// newlySlow reports whether a rank is slow that was not at the last decision, nor at the last comparison with the map being
// loaded. Only that replaces a map while it is loaded: when the estimate of a slow rank rises, the next map is nearly the
// same, and to replace it would only begin its loading again.
func (t *MapTrigger) newlySlow(slowness []float64) bool {
	slowIn := func(earlier []float64, rank int) bool { return rank < len(earlier) && earlier[rank] > 1 }
	for rank, factor := range slowness {
		if factor > 1 && !slowIn(t.plannedSlowness, rank) && !slowIn(t.refusedSlowness, rank) {
			return true
		}
	}
	return false
}

// savesTime reports whether a map saves more pass time while a rank is slow than its loading costs. skewBefore is the skew
// without it.
func (i *MapInput) savesTime(plan *CopyPlan, skewBefore float64) bool {
	if i.Pass <= 0 {
		return false
	}
	saved := (skewBefore - plan.SkewAfter) * i.ExpertPart.Seconds() / i.Pass.Seconds() * stragglerDuration.Seconds()
	loading := time.Duration(plan.MaxPerRank)*i.LoadTime + rolloutTime
	return saved > loadingSlowdown*loading.Seconds()
}
