package attempt

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// shortestRun is the duration below which runs are not distinguished: it is mostly that of the messages.
const shortestRun = time.Millisecond

// maxSuspectsWithSingles is the number of suspects up to which prompt parts that were running at one end are compared.
const maxSuspectsWithSingles = 1024

// suspectCase is the evidence against one trait.
type suspectCase struct {
	trait Fingerprint
	// ends are the ends at which the trait was running and that no other quarantined trait explains, in the order of time; once
	// the case is weighed, those since the first that the trait's served runs do not outweigh.
	ends []*serverEnd
	// running are all ends at which the trait was running, also those that are not counted in ends.
	running []*serverEnd
	// served has the numbers of the trait's runs that were served before each end, and after the last.
	served []int
	// compared has the evidence of each end for comparisons with other traits, which is not limited to MaxEvidence.
	compared map[*serverEnd]float64
	// events are the ends, those at the same moment as one since they may have one cause.
	events []crashEvent
	// strength is the evidence of all events and of the served runs.
	strength float64
	// atTimes is true if the events are explained best if only a share of the trait's runs end their server.
	atTimes bool
}

// crashEvent is one or several ends of servers at the same moment.
type crashEvent struct {
	ends []*serverEnd
	// nats is the evidence of the end with the most, which is not limited.
	nats float64
}

// comparedAt returns the evidence of an event against the trait, for comparisons; 0 if it was not running.
func (c *suspectCase) comparedAt(event *crashEvent) float64 {
	most := 0.0
	for _, end := range event.ends {
		most = max(most, c.compared[end])
	}
	return most
}

// suspected reports whether the trait was running at the end and no server has survived it since.
func (e *serverEnd) suspected(trait Fingerprint) bool {
	run, known := e.runs[trait]
	return known && !run.survived
}

// explained reports whether a quarantined trait, or all traits of a quarantined combination, were running at an end. The
// trait except, and combinations with it, do not count.
func (r *CrashRegister) explained(now time.Time, end *serverEnd, except Fingerprint) bool {
	if r.quarantine.Len() == 0 {
		return false
	}
	for trait, run := range end.runs {
		if run.survived {
			continue
		}
		if trait != except && r.quarantine.Left(now, trait) > 0 {
			return true
		}
		for _, key := range r.quarantine.byMember[trait] {
			members := r.quarantine.combined[key]
			absent := slices.ContainsFunc(members, func(member Fingerprint) bool { return member == except || !end.suspected(member) })
			if !absent && r.quarantine.Left(now, key) > 0 {
				return true
			}
		}
	}
	return false
}

// assessment is the evidence against all suspects at one time. First, each end gets owners: the traits that explain it best
// if all ends raise the rate of ends by chance. Then each trait is weighed without the ends that it owns in that rate.
type assessment struct {
	register *CrashRegister
	now      time.Time
	cases    []*suspectCase
	// unexplained has the ends that nothing quarantined explains, services their times.
	unexplained map[*serverEnd]bool
	services    map[ident.Service]*endTimes
	// owners has the traits that explain an end best.
	owners map[*serverEnd][]Fingerprint
}

// endTimes are the times of a service's ends in ascending order.
type endTimes struct {
	// every has those of all ends, all those of the unexplained ones.
	every, all []time.Time
	// idle are those of the servers that no entry had sent anything; they may have ended up to ListDelay before.
	idle []time.Time
	// unowned are those of the ends that no trait explains with enough evidence for a quarantine.
	unowned []time.Time
}

// newAssessment collects the unexplained ends, and the traits that were running at two ends or more. Parts that were running
// at one end are included unless there are very many suspects.
func (r *CrashRegister) newAssessment(now time.Time) *assessment {
	a := &assessment{
		register: r, now: now, unexplained: map[*serverEnd]bool{}, services: map[ident.Service]*endTimes{}, owners: map[*serverEnd][]Fingerprint{},
	}
	for _, end := range r.ends {
		if a.services[end.service] == nil {
			a.services[end.service] = &endTimes{}
		}
		times := a.services[end.service]
		times.every = append(times.every, end.at)
		if r.explained(now, end, Fingerprint{}) {
			continue
		}
		a.unexplained[end] = true
		times.all = append(times.all, end.at)
		if len(end.runs) == 0 {
			times.idle = append(times.idle, end.at)
		}
	}
	for _, times := range a.services {
		slices.SortFunc(times.every, time.Time.Compare)
		slices.SortFunc(times.all, time.Time.Compare)
		slices.SortFunc(times.idle, time.Time.Compare)
	}
	for trait, servers := range r.suspects {
		single := trait.IsPart() && len(r.suspects) <= maxSuspectsWithSingles
		if (len(servers) > 1 || single) && r.quarantine.Left(now, trait) == 0 {
			ends, served := r.settledEnds(now, trait, servers)
			a.cases = append(a.cases, &suspectCase{trait: trait, ends: ends, served: served, running: slices.Clone(ends)})
		}
	}
	a.addSurvivedEnds()
	return a
}

// addSurvivedEnds adds the ends that the served runs of a suspect outweigh to those at which it was running: if the suspect
// ends servers at times, they are no ends by chance.
func (a *assessment) addSurvivedEnds() {
	cases := make(map[Fingerprint]*suspectCase, len(a.cases))
	for _, suspect := range a.cases {
		cases[suspect.trait] = suspect
	}
	for end := range a.unexplained {
		for trait, run := range end.runs {
			if suspect := cases[trait]; run.survived && suspect != nil {
				suspect.running = append(suspect.running, end)
			}
		}
	}
}

// settledEnds returns the ends that count against a trait, in the order of time, and the numbers of served runs before each
// and after the last. It plans another assessment for those that have not settled.
func (r *CrashRegister) settledEnds(now time.Time, trait Fingerprint, servers []ServerInstance) (ends []*serverEnd, served []int) {
	var settled []*serverEnd
	for _, server := range servers {
		end := r.ends[server]
		if settlesAt := end.at.Add(r.config.SettleTime); now.Before(settlesAt) {
			r.planAssessment(settlesAt)
			continue
		}
		settled = append(settled, end)
	}
	slices.SortFunc(settled, func(a, b *serverEnd) int { return a.at.Compare(b.at) })
	sum := 0
	for i, runs := range servedBetween(trait, settled) {
		sum += runs
		if i == len(settled) || !r.explained(now, settled[i], trait) {
			served, sum = append(served, sum), 0
		}
		if i < len(settled) && len(served) > len(ends) {
			ends = append(ends, settled[i])
		}
	}
	return ends, served
}

// findOwners determines the traits that explain each end best. For this, all ends count for the rate at which servers end
// by chance.
func (a *assessment) findOwners() {
	best := map[*serverEnd]float64{}
	for _, suspect := range a.cases {
		nats := make([]float64, len(suspect.ends))
		for i, end := range suspect.ends {
			nats[i] = a.chanceNats(end, suspect.trait, nil)
		}
		strength := a.register.config.weighOutcomes(nats, suspect.served).strength
		for _, end := range suspect.running {
			switch {
			case strength > best[end]:
				best[end], a.owners[end] = strength, []Fingerprint{suspect.trait}
			case strength == best[end]:
				a.owners[end] = append(a.owners[end], suspect.trait)
			}
		}
	}
	for end := range a.unexplained {
		if best[end] < a.register.config.EvidenceLimit {
			times := a.services[end.service]
			times.unowned = append(times.unowned, end.at)
		}
	}
	for _, times := range a.services {
		slices.SortFunc(times.unowned, time.Time.Compare)
	}
}

// weigh computes the evidence against a trait. The ends that it explains best do not count for the rate at which servers
// end by chance.
func (a *assessment) weigh(suspect *suspectCase) {
	config := &a.register.config
	suspect.compared = map[*serverEnd]float64{}
	var owned []*serverEnd
	for _, end := range suspect.running {
		if slices.Contains(a.owners[end], suspect.trait) {
			owned = append(owned, end)
		}
	}
	// served has the numbers of served runs before each event, and last after the last.
	served, since := []int{}, 0
	for i, end := range suspect.ends {
		since += suspect.served[i]
		chance, together := a.chanceNats(end, suspect.trait, owned), a.togetherNats(end, suspect)
		nats := min(chance, together)
		suspect.compared[end] = min(chance, together)
		last := len(suspect.events) - 1
		if last >= 0 && config.sameMoment(suspect.events[last].ends[0], end, suspect.trait) {
			event := &suspect.events[last]
			event.ends, event.nats = append(event.ends, end), max(event.nats, nats)
			continue
		}
		suspect.events = append(suspect.events, crashEvent{ends: []*serverEnd{end}, nats: nats})
		served, since = append(served, since), 0
	}
	suspect.weighServed(config, append(served, since+suspect.served[len(suspect.ends)]))
}

// weighServed weighs the evidence of the events against the numbers of served runs before each and after the last. What the
// served runs take away, they take from each event in proportion.
func (c *suspectCase) weighServed(config *CrashConfig, served []int) {
	nats, total := make([]float64, len(c.events)), 0.0
	for i := range c.events {
		nats[i] = c.events[i].nats
	}
	weight := config.weighOutcomes(nats, served)
	c.events, c.strength, c.atTimes, c.ends = c.events[weight.first:], weight.strength, weight.share < 1, nil
	for i := range c.events {
		total += min(c.events[i].nats, config.MaxEvidence)
		c.ends = append(c.ends, c.events[i].ends...)
	}
	compared := map[*serverEnd]float64{}
	for _, end := range c.ends {
		if total > 0 {
			compared[end] = c.compared[end] * min(c.strength/total, 1)
		}
	}
	c.compared = compared
}

// enough reports whether the evidence against the suspect suffices for a quarantine. The limit is lower after confirming
// trial runs: the suspect was known before them, and not found among all requests by its ends.
func (c *CrashConfig) enough(suspect *suspectCase) bool {
	limit := c.EvidenceLimit
	if c.trialEnds(suspect) >= c.ConfirmingTrials {
		limit = c.TrialEvidenceLimit
	}
	return len(suspect.events) >= c.MinEnds && suspect.strength >= limit
}

// trialEnds returns the number of the suspect's ends that cut off a run which began after MinEnds earlier ones had settled: a
// trial run, see TrialRuns. Parts of prompts have none.
func (c *CrashConfig) trialEnds(suspect *suspectCase) int {
	if suspect.trait.IsPart() || len(suspect.ends) <= c.MinEnds {
		return 0
	}
	settled, ends := suspect.ends[c.MinEnds-1].at.Add(c.SettleTime), 0
	for _, end := range suspect.ends[c.MinEnds:] {
		if began := end.at.Add(-end.runs[suspect.trait].duration); !began.Before(settled) {
			ends++
		}
	}
	return ends
}

// awaitsTrial reports whether only a trial run can tell whether the suspect is the cause of its ends: it has ended none in a
// trial run, and fewer than MinEnds of them lie outside of outages.
func (a *assessment) awaitsTrial(suspect *suspectCase) bool {
	config := &a.register.config
	if suspect.trait.IsPart() || config.trialEnds(suspect) > 0 {
		return false
	}
	outside := 0
	for _, end := range suspect.ends {
		if !a.inOutage(end) {
			outside++
		}
	}
	return outside < config.MinEnds
}

// inOutage reports whether an end belongs to a sequence of ends, each soon after the one before, that took at least half of
// the service's servers.
func (a *assessment) inOutage(end *serverEnd) bool {
	gap, times := a.register.config.SequenceGap, a.services[end.service].every
	first, _ := slices.BinarySearchFunc(times, end.at, time.Time.Compare)
	last := first
	for first > 0 && times[first].Sub(times[first-1]) <= gap {
		first--
	}
	for last+1 < len(times) && times[last+1].Sub(times[last]) <= gap {
		last++
	}
	return 2*float64(last-first+1) >= a.serversOf(end)
}

// sameMoment reports whether two ends may have one cause. A run that began after the first end was not cut off by it.
func (c *CrashConfig) sameMoment(first, second *serverEnd, trait Fingerprint) bool {
	return second.at.Sub(first.at) <= c.SameMoment && second.at.Add(-second.runs[trait].duration).Before(first.at)
}

// chanceNats returns the negative logarithm of the probability that a server ends by chance during a trait's run that an
// end cut off. It follows from the rate of the service's unexplained ends but the owned ones; a run that is cut off at a
// random time would on average have lasted twice as long.
func (a *assessment) chanceNats(end *serverEnd, trait Fingerprint, owned []*serverEnd) float64 {
	config := &a.register.config
	ends := config.PriorEnds + float64(countWithin(a.services[end.service].all, end.at, config.ObserveFor)-a.countOwn(owned, end, config.ObserveFor))
	expected := ends / (a.serversOf(end) * config.ObserveFor.Seconds()) * 2 * max(end.runs[trait].duration, shortestRun).Seconds()
	return max(-math.Log(expected), 0)
}

// togetherNats returns the negative logarithm of the probability that a run is on one of the servers that ended at the same
// moment, if there are others than those on which the trait was running.
func (a *assessment) togetherNats(end *serverEnd, suspect *suspectCase) float64 {
	config, times := &a.register.config, a.services[end.service]
	together := countWithin(times.unowned, end.at, config.SameMoment) - a.countOwn(suspect.ends, end, config.SameMoment)
	// A single idle server that disappears from the list later has probably ended at another time.
	if idle := countBetween(times.idle, end.at.Add(-config.SameMoment), end.at.Add(config.ListDelay)); idle > 1 {
		together = max(together, idle)
	}
	if together <= 0 {
		return math.Inf(1)
	}
	return max(-math.Log(float64(together+1)/a.serversOf(end)), 0)
}

// serversOf returns the number of servers of the service of a server that ended.
func (a *assessment) serversOf(end *serverEnd) float64 {
	return float64(a.register.servers[end.service].at(a.now))
}

// countOwn returns how many of the given ends count for the rate of the end's service around it.
func (a *assessment) countOwn(own []*serverEnd, end *serverEnd, span time.Duration) int {
	count := 0
	for _, other := range own {
		if other.service == end.service && other.at.Sub(end.at).Abs() <= span && a.unexplained[other] {
			count++
		}
	}
	return count
}

// countWithin returns how many of the ascending times are within a span before or after the given one.
func countWithin(times []time.Time, at time.Time, span time.Duration) int {
	return countBetween(times, at.Add(-span), at.Add(span))
}

// countBetween returns how many of the ascending times are between the first and the last given one.
func countBetween(times []time.Time, first, last time.Time) int {
	from, _ := slices.BinarySearchFunc(times, first, time.Time.Compare)
	to := sort.Search(len(times), func(i int) bool { return times[i].After(last) })
	return max(to-from, 0)
}
