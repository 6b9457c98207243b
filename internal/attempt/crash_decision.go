package attempt

import (
	"cmp"
	"slices"
	"time"
)

// youngCauses is the number of traits with little evidence that are assumed to be causes at a time.
const youngCauses = 2

// maxCases bounds the traits that are compared in one assessment; those with the most evidence are.
const maxCases = 128

// planAssessment plans an assessment at the given time.
func (r *CrashRegister) planAssessment(at time.Time) {
	if r.assessAt.IsZero() || at.Before(r.assessAt) {
		r.assessAt = at
	}
}

// assess quarantines the traits, and combinations of traits, against which there is enough evidence. It does nothing until
// an end has changed and settled.
func (r *CrashRegister) assess(now time.Time) {
	if r.assessAt.IsZero() || now.Before(r.assessAt) {
		return
	}
	r.assessAt = time.Time{}
	assessment := r.newAssessment(now)
	assessment.findOwners()
	var all, strong []*suspectCase
	clear(r.strength)
	for _, suspect := range assessment.cases {
		assessment.weigh(suspect)
		if len(suspect.events) > 0 && len(suspect.ends) >= r.config.MinEnds {
			r.strength[suspect.trait] = suspect.strength
		}
		all = append(all, suspect)
	}
	slices.SortFunc(all, func(a, b *suspectCase) int {
		return cmp.Or(cmp.Compare(b.strength, a.strength), a.trait.compare(b.trait))
	})
	all = all[:min(len(all), maxCases)]
	for _, suspect := range all {
		switch {
		case r.config.enough(suspect):
			strong = append(strong, suspect)
		case len(suspect.ends) >= r.config.MinEnds:
			r.addFinding(suspect.finding(CrashEvidenceShort, 0))
		}
	}
	for _, suspect := range strong {
		if assessment.awaitsTrial(suspect) {
			r.addFinding(suspect.finding(CrashAwaitsTrial, 0))
			continue
		}
		r.decide(now, suspect, strong, all)
	}
}

// decide quarantines a trait if it explains its events better than the other traits. If some explain them nearly as well,
// only requests that have all of these are refused: one of them is the cause. A request with some of them still runs, and
// its end tells which. Until ReturnFor after the first event there may soon be more evidence against traits that have
// little: up to youngCauses of them may turn out to be the cause. A trait that was served between its events must explain them
// better than all others at any time: a part of many requests is served, and may have run at the ends by several causes.
func (r *CrashRegister) decide(now time.Time, suspect *suspectCase, strong, all []*suspectCase) {
	others := strong
	if suspect.atTimes {
		others = all
	} else if !suspect.trait.IsPart() {
		// Two requests never share a run, so that another one with little evidence is a cause of its own.
		others = slices.DeleteFunc(slices.Clone(all), func(other *suspectCase) bool { return other.trait.IsPart() && !slices.Contains(strong, other) })
	}
	unexplained := suspect.unexplainedBy(others)
	margin := totalNats(unexplained)
	decidable := suspect.events[0].ends[0].at.Add(r.config.ReturnFor)
	if margin >= r.config.Margin && (suspect.atTimes || now.Before(decidable)) {
		for range youngCauses {
			unexplained = suspect.withoutBest(unexplained, all)
		}
		margin = totalNats(unexplained)
		if countAbove(unexplained, 1) < 2 {
			// One of the ends may have happened by chance.
			margin = 0
		}
	}
	if margin >= r.config.Margin {
		r.quarantineAll(now, suspect, []Fingerprint{suspect.trait}, margin)
		return
	}
	if now.Before(decidable) {
		r.planAssessment(decidable)
	}
	members := []Fingerprint{suspect.trait}
	for _, other := range strong {
		if other != suspect && suspect.marginOver(other) < r.config.Margin {
			members = append(members, other.trait)
		}
	}
	if len(members) > 1 && len(members) <= maxCombined {
		r.quarantineAll(now, suspect, members, margin)
		return
	}
	r.addFinding(suspect.finding(CrashNotDistinguished, margin))
}

// unexplainedBy returns by how many nats the trait explains each of its events better than the best of the others.
func (c *suspectCase) unexplainedBy(others []*suspectCase) []float64 {
	unexplained := make([]float64, len(c.events))
	for i := range c.events {
		best := 0.0
		for _, other := range others {
			if other != c {
				best = max(best, other.comparedAt(&c.events[i]))
			}
		}
		unexplained[i] = max(c.comparedAt(&c.events[i])-best, 0)
	}
	return unexplained
}

// withoutBest returns what remains unexplained after the other trait that explains most of it.
func (c *suspectCase) withoutBest(unexplained []float64, others []*suspectCase) []float64 {
	least := unexplained
	for _, other := range others {
		if other == c {
			continue
		}
		rest := make([]float64, len(unexplained))
		for i := range rest {
			rest[i] = min(unexplained[i], max(c.comparedAt(&c.events[i])-other.comparedAt(&c.events[i]), 0))
		}
		if totalNats(rest) < totalNats(least) {
			least = rest
		}
	}
	return least
}

// countAbove returns the number of values above the limit.
func countAbove(values []float64, limit float64) int {
	count := 0
	for _, value := range values {
		if value > limit {
			count++
		}
	}
	return count
}

// totalNats returns the sum of the values.
func totalNats(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// marginOver returns by how many nats the trait explains its events better than the other one.
func (c *suspectCase) marginOver(other *suspectCase) float64 {
	margin := 0.0
	for i := range c.events {
		margin += c.comparedAt(&c.events[i]) - other.comparedAt(&c.events[i])
	}
	return margin
}

// quarantineAll refuses requests that have all given traits, the suspect's among them, and plans to report it.
func (r *CrashRegister) quarantineAll(now time.Time, suspect *suspectCase, traits []Fingerprint, margin float64) {
	if key, added := r.quarantine.AddAll(traits, now.Add(r.config.QuarantineFor)); added {
		r.changedQuarantine[key] = reportsPerChange
		finding := suspect.finding(CrashQuarantined, margin)
		finding.Trait = key
		r.addFinding(finding)
	}
}
