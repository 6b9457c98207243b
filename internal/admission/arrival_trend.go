package admission

import (
	"math"
	"time"
)

// Constants of ArrivalTrend.
const (
	// trendBucket and trendBuckets define the time over which arrivals are counted: 3 s, a quarter of the shortest known
	// wave of demand.
	trendBucket  = 250 * time.Millisecond
	trendBuckets = 12
)

// ArrivalTrend estimates the rate of arrivals and its slope. Load pattern: waves of demand of +-55% over 13 s, which
// change the rate by up to a quarter per second.
type ArrivalTrend struct {
	counts [trendBuckets]int
	// bucket is the number of the newest bucket, first that of the first one.
	bucket, first int64
}

func (t *ArrivalTrend) advance(now time.Time) {
	bucket := now.UnixNano() / int64(trendBucket)
	if t.first == 0 || bucket-t.bucket >= trendBuckets {
		*t = ArrivalTrend{bucket: bucket, first: bucket}
	}
	for t.bucket < bucket {
		t.bucket++
		t.counts[t.bucket%trendBuckets] = 0
	}
}

// Record counts an arrival.
func (t *ArrivalTrend) Record(now time.Time) {
	t.advance(now)
	t.counts[t.bucket%trendBuckets]++
}

// over returns the arrivals per second of the given number of full buckets that end the given number of buckets ago.
func (t *ArrivalTrend) over(buckets, ago int64) float64 {
	sum, n := 0, int64(0)
	for b := t.bucket - 1 - ago; n < buckets && b >= t.first && b > t.bucket-trendBuckets; b-- {
		sum += t.counts[b%trendBuckets]
		n++
	}
	if n == 0 {
		return 0
	}
	return float64(sum) / (float64(n) * trendBucket.Seconds())
}

// Rate returns the arrivals per second over about the last second.
func (t *ArrivalTrend) Rate(now time.Time) float64 {
	t.advance(now)
	return t.over(4, 0)
}

// Slope returns the change of the rate per second, relative to the rate, and its standard error if arrivals are independent;
// 0 until there is enough to compare.
func (t *ArrivalTrend) Slope(now time.Time) (slope, standardError float64) {
	t.advance(now)
	const half = (trendBuckets - 2) / 2
	if t.bucket-t.first <= 2*half {
		return 0, 0
	}
	late, early := t.over(half, 0), t.over(half, half)
	if late+early == 0 {
		return 0, 0
	}
	span := half * trendBucket.Seconds()
	mean := (late + early) / 2
	return (late - early) / span / mean, math.Sqrt(2/(mean*span)) / span
}
