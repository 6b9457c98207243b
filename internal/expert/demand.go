package expert

import (
	"math"
	"time"
)

// Parameters of the demand estimate.
const (
	// demandBucketTime is the minimum time for which counts are collected before they are compared with the
	// estimate. It covers two or three passes (a pass is a fixed number of steps), so that each bucket holds
	// some thousand choices.
	demandBucketTime = 100 * time.Millisecond
	// demandSliceTime is the minimum time for which counts are collected before they are tested for a jump. A slice that
	// shows one replaces the estimate at once; other slices are added to the bucket.
	demandSliceTime = 40 * time.Millisecond
	// jumpSimilarity is the cosine similarity of a bucket and the estimate below which demand counts as
	// having jumped. It is 0.99 or more while demand is stable, and 0.1 to 0.5 across a jump.
	jumpSimilarity = 0.85
	// sliceJumpSimilarity replaces jumpSimilarity for a slice. It is smaller, so that a slice with counts from before and
	// after a jump usually waits for the next one: a map for such a mixture would be replaced while it is loaded.
	sliceJumpSimilarity = 0.75
	// demandRetention is the factor by which the estimate is multiplied before a bucket is added.
	demandRetention = 0.8
	// minBucketChoices is the minimum number of choices in the first layer of a bucket, and of a slice. With fewer,
	// noise alone looks like a jump.
	minBucketChoices = 1500
)

// ChoiceCounts holds the number of choices of each expert on one rank since the rank's last report. A choice routes
// one token to one expert. Each agent sends them to the agent that leads the group as a LockstepLeader.
type ChoiceCounts struct {
	// Layers holds the counts of each layer.
	Layers []LayerCounts `cbor:"1,keyasint" json:"layers"`
}

// Demand estimates the current demand for each expert of a group with a LockstepLeader from ChoiceCounts. (For a
// group with a Leader, Popularity does so from Counts.) Demand is stable for some seconds and then jumps to an
// unrelated distribution; a jump discards all earlier counts. Demand is not safe for concurrent use.
type Demand struct {
	layers, experts int
	// bucket holds the choices counted since bucketStart, without those of slice, which were counted since sliceStart.
	bucket, slice           Load
	bucketStart, sliceStart time.Time
	estimate                Load
	// buckets is the number of buckets added to the estimate since the last jump.
	buckets int
	jumps   int
}

// NewDemand returns an empty estimate for a number of layers and of experts per layer.
func NewDemand(layers, experts int) *Demand {
	return &Demand{layers: layers, experts: experts, bucket: NewLoad(layers, experts), slice: NewLoad(layers, experts), estimate: NewLoad(layers, experts)}
}

// Add adds the choices of one rank, received at now. It reports whether the estimate changed. Counts with a
// wrong number of layers are ignored. At a layer with a wrong number of experts, Add returns early, and the
// layers before it stay counted.
func (d *Demand) Add(now time.Time, counts ChoiceCounts) bool {
	if len(counts.Layers) != d.layers {
		return false
	}
	if d.bucketStart.IsZero() {
		d.bucketStart, d.sliceStart = now, now
	}
	for layer, scaled := range counts.Layers {
		if len(scaled.Scaled) != d.experts {
			return false
		}
		for expert := range scaled.Scaled {
			d.slice[layer][expert] += scaled.Tokens(expert)
		}
	}
	if now.Sub(d.sliceStart) >= demandSliceTime && total(d.slice[0]) >= minBucketChoices {
		if d.buckets > 0 && d.similarity(d.slice) < sliceJumpSimilarity {
			d.jump(now)
			return true
		}
		d.addSlice(now)
	}
	if now.Sub(d.bucketStart) < demandBucketTime || total(d.bucket[0])+total(d.slice[0]) < minBucketChoices {
		return false
	}
	d.addSlice(now)
	d.closeBucket(now)
	return true
}

// jump replaces the estimate by the slice, discards the bucket and starts a new one.
func (d *Demand) jump(now time.Time) {
	d.jumps++
	d.buckets = 1
	for layer := range d.estimate {
		copy(d.estimate[layer], d.slice[layer])
		clear(d.slice[layer])
		clear(d.bucket[layer])
	}
	d.bucketStart, d.sliceStart = now, now
}

// addSlice adds the slice to the bucket and starts a new one.
func (d *Demand) addSlice(now time.Time) {
	for layer := range d.slice {
		for expert, choices := range d.slice[layer] {
			d.bucket[layer][expert] += choices
			d.slice[layer][expert] = 0
		}
	}
	d.sliceStart = now
}

// closeBucket adds the bucket to the estimate, or replaces the estimate by it after a jump, and starts a
// new bucket.
func (d *Demand) closeBucket(now time.Time) {
	keep := demandRetention
	if d.buckets > 0 && d.similarity(d.bucket) < jumpSimilarity {
		keep = 0
		d.buckets = 0
		d.jumps++
	}
	for layer := range d.estimate {
		for expert := range d.estimate[layer] {
			d.estimate[layer][expert] = keep*d.estimate[layer][expert] + d.bucket[layer][expert]
			d.bucket[layer][expert] = 0
		}
	}
	d.buckets++
	d.bucketStart = now
}

// similarity returns the cosine similarity of counts and the estimate, averaged over all layers.
func (d *Demand) similarity(counts Load) float64 {
	sum := 0.0
	for layer := range counts {
		sum += cosine(counts[layer], d.estimate[layer])
	}
	return sum / float64(len(counts))
}

// cosine returns the cosine similarity of two vectors, or 1 if one of them is zero.
func cosine(a, b []float64) float64 {
	dot, squareA, squareB := 0.0, 0.0, 0.0
	for i := range a {
		dot += a[i] * b[i]
		squareA += a[i] * a[i]
		squareB += b[i] * b[i]
	}
	if squareA == 0 || squareB == 0 {
		return 1
	}
	return dot / math.Sqrt(squareA*squareB)
}

func total(counts []float64) float64 {
	sum := 0.0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// Estimate returns the load of each expert and the number of buckets added since the last jump. The load is a
// weighted sum of choices, not a rate; it is valid until the next Add.
func (d *Demand) Estimate() (Load, int) {
	return d.estimate, d.buckets
}

// Jumps returns the number of jumps detected so far.
func (d *Demand) Jumps() int {
	return d.jumps
}
