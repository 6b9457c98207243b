package routing

import (
	"time"
)

// Estimate predicts waiting and running times from a candidate's load.
type Estimate struct {
	// PromptRate is the number of prompt tokens that a backend server processes per second.
	PromptRate float64
	// StepTime is the duration of a step if the backend server does not report it.
	StepTime time.Duration
	// OutputTokens is the number of tokens of an answer if the request does not state it.
	OutputTokens int
	// ServiceTime is the time that a request occupies its slot if it generates no tokens.
	ServiceTime time.Duration
}

// DefaultEstimate returns the estimate for an engine whose times are unknown.
func DefaultEstimate() Estimate {
	return Estimate{PromptRate: 20000, StepTime: 30 * time.Millisecond, OutputTokens: 200, ServiceTime: 50 * time.Millisecond}
}

// Queue returns the expected time until the candidate starts to process the request.
func (e Estimate) Queue(request *Request, candidate *Candidate) time.Duration {
	wait := seconds(float64(candidate.PromptBacklog()) / e.PromptRate)
	if candidate.Capacity <= 0 {
		return wait
	}
	ahead := candidate.OpenWork() - candidate.Capacity + 1
	if ahead > 0 {
		wait += e.slotTime(request, candidate) * time.Duration(ahead) / time.Duration(candidate.Capacity)
	}
	return wait
}

// Prompt returns the expected time to process the part of the prompt that is not cached.
func (e Estimate) Prompt(request *Request, match Match) time.Duration {
	return seconds(float64(request.PromptTokens) * (1 - match.Share) / e.PromptRate)
}

// Step returns the duration of a step at the candidate.
func (e Estimate) Step(candidate *Candidate) time.Duration {
	if candidate.Load.StepTime == 0 {
		return e.StepTime
	}
	return time.Duration(candidate.Load.StepTime) * time.Microsecond
}

// slotTime returns how long a request occupies its slot.
func (e Estimate) slotTime(request *Request, candidate *Candidate) time.Duration {
	if request.PromptTokens == 0 && request.OutputTokens == 0 {
		return e.ServiceTime
	}
	tokens := request.OutputTokens
	if tokens == 0 {
		tokens = e.OutputTokens
	}
	return time.Duration(tokens) * e.Step(candidate)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// FirstToken scores the expected time until the first token.
type FirstToken struct{ Estimate Estimate }

// Cost implements Scorer.
func (s FirstToken) Cost(_ time.Time, request *Request, candidate *Candidate, match Match) float64 {
	return (s.Estimate.Queue(request, candidate) + s.Estimate.Prompt(request, match)).Seconds()
}

// Occupancy scores the fraction of the candidate's slots in use. A backend server that is new to the entry counts as
// fuller than it is while it warms up, so that not all entries send their requests to it at once.
type Occupancy struct {
	// Weight is the cost of a full backend server, in seconds.
	Weight float64
	// WarmUp is the time after which a new backend server counts with its full capacity.
	WarmUp time.Duration
}

// minWarmUpFactor is the fraction of its capacity with which a new backend server counts at first.
const minWarmUpFactor = 0.1

// Cost implements Scorer.
func (s Occupancy) Cost(now time.Time, _ *Request, candidate *Candidate, _ Match) float64 {
	if candidate.Capacity <= 0 {
		return float64(candidate.OpenWork()) * s.Weight
	}
	share := float64(candidate.OpenWork()+1) / float64(candidate.Capacity)
	return s.Weight * share / s.warmUpFactor(now, candidate)
}

func (s Occupancy) warmUpFactor(now time.Time, candidate *Candidate) float64 {
	age := now.Sub(candidate.FirstGranted)
	if s.WarmUp <= 0 || age >= s.WarmUp {
		return 1
	}
	return max(minWarmUpFactor, float64(age)/float64(s.WarmUp))
}

// StepSpeed scores the time to generate the answer at the candidate's speed, so that stragglers get fewer requests.
type StepSpeed struct {
	Estimate Estimate
	// Weight is the cost of a second of generation relative to a second of delay of the first token.
	Weight float64
	// StragglerCost is added for a known straggler, in seconds.
	StragglerCost float64
}

// Cost implements Scorer.
func (s StepSpeed) Cost(_ time.Time, request *Request, candidate *Candidate, _ Match) float64 {
	cost := 0.0
	if request.OutputTokens > 0 {
		cost = s.Weight * float64(request.OutputTokens) * s.Estimate.Step(candidate).Seconds()
	}
	if candidate.Straggler {
		cost += s.StragglerCost
	}
	return cost
}

// CachePressure scores a KV cache that is almost full, because engines then preempt requests.
type CachePressure struct {
	// Above is the fraction of the cache in use above which there is a cost.
	Above float64
	// Weight is the cost of a full cache, in seconds.
	Weight float64
}

// Cost implements Scorer.
func (s CachePressure) Cost(_ time.Time, _ *Request, candidate *Candidate, _ Match) float64 {
	used := float64(candidate.Load.CacheUsed) / 1000
	if used <= s.Above || s.Above >= 1 {
		return 0
	}
	return s.Weight * (used - s.Above) / (1 - s.Above)
}

// OtherZone scores a candidate in another availability zone than the entry.
type OtherZone struct {
	// Seconds is the cost of another zone.
	Seconds float64
}

// Cost implements Scorer.
func (s OtherZone) Cost(_ time.Time, request *Request, candidate *Candidate, _ Match) float64 {
	if request.Zone == candidate.Zone {
		return 0
	}
	return s.Seconds
}
