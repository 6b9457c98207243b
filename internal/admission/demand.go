package admission

import (
	"math"
	"time"
)

// demandWindow is the time constant of the averages of demand.
const demandWindow = 2 * time.Second

// demandMeter measures the demand for one limit at one entry, including refused requests.
type demandMeter struct {
	updatedAt time.Time
	// arrivals and tokens are counts since updatedAt.
	arrivals, tokens float64
	// rate and tokenRate are averages per second.
	rate, tokenRate float64
	// peakOpen is the decaying peak of open requests, including those refused for concurrency.
	peakOpen float64
	// maxOpen is the greatest number of open requests and refusedConcurrency the number of requests refused for
	// concurrency, both since updatedAt.
	maxOpen            float64
	refusedConcurrency float64
	// maxTokens is the decaying maximum of the tokens of one request.
	maxTokens float64
}

func (d *demandMeter) recordArrival(tokens int) {
	d.arrivals++
	d.tokens += float64(tokens)
	d.maxTokens = max(d.maxTokens, float64(tokens))
}

func (d *demandMeter) recordRefusal(kind LimitKind) {
	if kind == LimitConcurrency {
		d.refusedConcurrency++
	}
}

func (d *demandMeter) recordOpen(open int) {
	d.maxOpen = max(d.maxOpen, float64(open))
}

// updateAverages moves the counts since the last update into the averages.
func (d *demandMeter) updateAverages(now time.Time, open int) {
	elapsed := now.Sub(d.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed / demandWindow.Seconds())
	d.rate = d.rate*decay + d.arrivals/elapsed*(1-decay)
	d.tokenRate = d.tokenRate*decay + d.tokens/elapsed*(1-decay)
	d.peakOpen = max(d.peakOpen*decay, max(d.maxOpen, float64(open))+d.refusedConcurrency)
	d.maxTokens *= decay
	d.arrivals, d.tokens, d.refusedConcurrency = 0, 0, 0
	d.maxOpen = float64(open)
	d.updatedAt = now
}

// requestedPart returns the part that the demand needs beyond the static share.
func (l *heldLimit) requestedPart(now time.Time, settings LeaseSettings) Part {
	l.demand.updateAverages(now, l.open)
	var part Part
	if l.limits.RatePerSecond > 0 {
		part.Rate = excessDemand(l.demand.rate, l.static.Rate, l.limits.RatePerSecond)
	}
	if l.limits.TokensPerSecond > 0 {
		needed := max(l.demand.tokenRate, l.demand.maxTokens/settings.BurstWindow.Seconds())
		part.Tokens = excessDemand(needed, l.static.Tokens, l.limits.TokensPerSecond)
	}
	if l.limits.Concurrency > 0 {
		peak := excessDemand(l.demand.peakOpen, float64(l.static.Concurrency), float64(l.limits.Concurrency))
		part.Concurrency = int(math.Ceil(peak))
	}
	return part
}

// negligibleFraction is the fraction of a limit below which the demand beyond the static share counts as zero.
const negligibleFraction = 1e-4

func excessDemand(demand, static, limit float64) float64 {
	excess := min(demand, limit) - static
	if excess < limit*negligibleFraction {
		return 0
	}
	return excess
}
