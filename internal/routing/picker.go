package routing

import (
	"time"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/membership"
	"github.com/bramleyspool/bramleyspool/internal/outcome"
)

// Policy determines how a Picker chooses a target.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Chooser Chooser
	// Ranks chooses the rank at the chosen backend server.
	Ranks RankChooser
	// Estimate predicts the waiting times in decisions.
	Estimate Estimate
}

// DefaultPolicy returns the policy of an entry for model services.
func DefaultPolicy(estimate Estimate) Policy {
	return Policy{
		Filters: []Filter{Owned{}, Usable{}, NotExcluded{}, WithoutSuspects{}, WithinCredits{}, MeetsDeadline{Estimate: estimate}},
		Scorers: []Scorer{
			FirstToken{Estimate: estimate},
			Occupancy{Weight: 0.5, WarmUp: 30 * time.Second},
			StepSpeed{Estimate: estimate, Weight: 0.01, StragglerCost: 1},
			CachePressure{Above: 0.85, Weight: 1},
			OtherZone{Seconds: 0.002},
		},
		Chooser:  Sampled{Count: 1},
		Ranks:    DefaultRankChooser(),
		Estimate: estimate,
	}
}

// Picker picks targets for requests. The result depends only on its inputs, the seed and the number of earlier picks.
// It is not safe for concurrent use.
type Picker struct {
	policy Policy
	seed   uint64
	picks  uint64
	scored []Scored
	// request is a field to avoid a heap allocation per pick, because interface methods take its address.
	request Request
}

// NewPicker returns a picker whose random choices are derived from the seed.
func NewPicker(policy Policy, seed uint64) *Picker {
	return &Picker{policy: policy, seed: seed}
}

// Pick returns the target for a request, or the cause of its refusal.
func (p *Picker) Pick(now time.Time, request Request, snapshot Snapshot) Decision {
	p.picks++
	p.request = request
	greatest := p.filter(now, &p.request, snapshot)
	if len(p.scored) == 0 {
		return p.refuse(&p.request, snapshot, greatest)
	}
	for i := range p.scored {
		p.score(now, &p.request, snapshot, &p.scored[i])
	}
	draw := mix(p.seed ^ mix(p.picks))
	chosen := p.scored[p.choose(draw, &p.request, snapshot)]
	return p.decide(&p.request, snapshot, chosen, draw)
}

// filter collects the candidates that pass all filters, and returns the greatest Rejection value of the others.
func (p *Picker) filter(now time.Time, request *Request, snapshot Snapshot) Rejection {
	p.scored = p.scored[:0]
	greatest := Accepted
	for i := range snapshot.Candidates {
		rejection := p.check(now, request, &snapshot.Candidates[i])
		if rejection == Accepted {
			p.scored = append(p.scored, Scored{Index: i})
		}
		greatest = max(greatest, rejection)
	}
	return greatest
}

func (p *Picker) check(now time.Time, request *Request, candidate *Candidate) Rejection {
	for _, filter := range p.policy.Filters {
		if rejection := filter.Check(now, request, candidate); rejection != Accepted {
			return rejection
		}
	}
	return Accepted
}

func (p *Picker) score(now time.Time, request *Request, snapshot Snapshot, scored *Scored) {
	candidate := &snapshot.Candidates[scored.Index]
	if snapshot.Prefixes != nil && len(request.Blocks) > 0 {
		blocks := snapshot.Prefixes.Match(now, candidate.VM, request.Blocks)
		scored.Match = Match{Blocks: blocks, Share: float64(blocks) / float64(len(request.Blocks))}
	}
	for _, scorer := range p.policy.Scorers {
		scored.Cost += scorer.Cost(now, request, candidate, scored.Match)
	}
}

// choose returns the index of the choice in p.scored.
func (p *Picker) choose(draw uint64, request *Request, snapshot Snapshot) int {
	if request.RunAlone {
		return p.chooseForSuspect(snapshot)
	}
	return p.policy.Chooser.Choose(draw, p.scored)
}

// chooseForSuspect picks an idle backend server for a request suspected of crashes, or else always the same one, so that
// such requests reach few backend servers.
func (p *Picker) chooseForSuspect(snapshot Snapshot) int {
	best, bestIdle, most := 0, false, uint64(0)
	for i := range p.scored {
		candidate := &snapshot.Candidates[p.scored[i].Index]
		idle := candidate.OpenWork() == 0
		weight := hashName(string(candidate.VM))
		if idle && !bestIdle || idle == bestIdle && weight >= most {
			best, bestIdle, most = i, idle, weight
		}
	}
	return best
}

func (p *Picker) decide(request *Request, snapshot Snapshot, chosen Scored, draw uint64) Decision {
	candidate := &snapshot.Candidates[chosen.Index]
	wait := p.policy.Estimate.Queue(request, candidate) + p.policy.Estimate.Prompt(request, chosen.Match)
	return Decision{
		VM:           candidate.VM,
		Incarnation:  candidate.Incarnation,
		Lease:        candidate.Lease,
		Rank:         p.policy.Ranks.Choose(mix(draw), candidate.Ranks),
		PrefixBlocks: chosen.Match.Blocks,
		Wait:         wait,
	}
}

func (p *Picker) refuse(request *Request, snapshot Snapshot, greatest Rejection) Decision {
	decision := Decision{Cause: cause(greatest), Rank: NoRank}
	if greatest < RejectedFull {
		return decision
	}
	for i := range snapshot.Candidates {
		candidate := &snapshot.Candidates[i]
		if candidate.State != membership.StateAlive || request.Owner != "" && request.Owner != candidate.VM {
			continue
		}
		wait := p.policy.Estimate.Queue(request, candidate) + p.policy.Estimate.slotWait(request, candidate)
		if decision.RetryAfter == 0 || wait < decision.RetryAfter {
			decision.RetryAfter = wait
		}
	}
	return decision
}

// slotWait returns the expected time until one of a candidate's slots becomes free.
func (e Estimate) slotWait(request *Request, candidate *Candidate) time.Duration {
	return e.slotTime(request, candidate) / time.Duration(max(candidate.Capacity, 1))
}

func cause(rejection Rejection) outcome.Cause {
	switch rejection {
	case RejectedLeaving:
		return outcome.CauseLeaving
	case RejectedFull, RejectedRunsSuspect:
		return outcome.CauseBackendsFull
	case RejectedLate:
		return outcome.CauseDeadline
	}
	return outcome.CauseNoBackend
}

// RankChooser chooses the rank of a group to which a request is sent. All ranks run in lock-step, so that the most
// loaded rank determines the pace of all.
type RankChooser struct {
	// TokenCost is the cost of a prompt token that is not yet processed.
	TokenCost time.Duration
	// CacheCost is the cost of a full KV cache. It exceeds the time that a full cache adds to one step, because cached
	// tokens slow every step until their request ends.
	CacheCost time.Duration
}

// DefaultRankChooser returns the chooser for an engine whose costs are unknown.
func DefaultRankChooser() RankChooser {
	return RankChooser{TokenCost: 50 * time.Microsecond, CacheCost: 240 * time.Millisecond}
}

// Choose returns the least loaded rank, at random among equal ones; NoRank if there are no ranks.
func (c RankChooser) Choose(draw uint64, ranks []Rank) ident.Rank {
	best, bestCost, ties := NoRank, 0.0, uint64(0)
	for i, rank := range ranks {
		cost := float64(rank.Tokens)*float64(c.TokenCost) + rank.CacheUsed*float64(c.CacheCost)
		switch {
		case best == NoRank || cost < bestCost:
			best, bestCost, ties = rank.Rank, cost, 1
		case cost == bestCost:
			ties++
			if mix(draw^uint64(i))%ties == 0 {
				best = rank.Rank
			}
		}
	}
	return best
}
