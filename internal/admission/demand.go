package admission

import (
	"math"
	"time"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 2 * time.Second

// demandMeter measures the demand for one limit at one entry, refused requests included.
type demandMeter struct {
	at time.Time
	// arrivals and tokens are the counts since at.
	arrivals, tokens float64
	// rate and tokenRate are averages a second.
	rate, tokenRate float64
	// peakOpen is the most open requests, those refused for concurrency included.
	peakOpen  float64
	open      float64
	refused   float64
	maxTokens float64
}

func (d *demandMeter) arrive(tokens int) {
	d.arrivals++
	d.tokens += float64(tokens)
	d.maxTokens = max(d.maxTokens, float64(tokens))
}

func (d *demandMeter) refuse(kind LimitKind) {
	if kind == LimitConcurrency {
		d.refused++
	}
}

func (d *demandMeter) noteOpen(open int) {
	d.open = max(d.open, float64(open))
}

// fold moves the counts since the last fold into the averages.
func (d *demandMeter) fold(now time.Time, open int) {
	elapsed := now.Sub(d.at).Seconds()
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed / demandWindow.Seconds())
	d.rate = d.rate*keep + d.arrivals/elapsed*(1-keep)
	d.tokenRate = d.tokenRate*keep + d.tokens/elapsed*(1-keep)
	d.peakOpen = max(d.peakOpen*keep, max(d.open, float64(open))+d.refused)
	d.maxTokens *= keep
	d.arrivals, d.tokens, d.refused = 0, 0, 0
	d.open = float64(open)
	d.at = now
}

// want returns the part that the demand needs beyond the static share.
func (l *heldLimit) want(now time.Time, settings LeaseSettings) Part {
	l.demand.fold(now, l.open)
	var want Part
	if l.limits.RatePerSecond > 0 {
		want.Rate = wanted(l.demand.rate, l.static.Rate, l.limits.RatePerSecond)
	}
	if l.limits.TokensPerSecond > 0 {
		needed := max(l.demand.tokenRate, l.demand.maxTokens/settings.BurstWindow.Seconds())
		want.Tokens = wanted(needed, l.static.Tokens, l.limits.TokensPerSecond)
	}
	if l.limits.Concurrency > 0 {
		peak := wanted(l.demand.peakOpen, float64(l.static.Concurrency), float64(l.limits.Concurrency))
		want.Concurrency = int(math.Ceil(peak))
	}
	return want
}

// negligible is the fraction of a limit below which demand counts as none.
const negligible = 1e-4

func wanted(demand, static, limit float64) float64 {
	want := min(demand, limit) - static
	if want < limit*negligible {
		return 0
	}
	return want
}
