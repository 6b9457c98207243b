package expert

import (
	"math"
	"time"
)

// Constants of the demand estimate.
const (
	// demandBucket is the time for which counts are gathered before they are compared with what came
	// before: two or three passes, so that each bucket holds some thousand choices.
	demandBucket = 100 * time.Millisecond
	// jumpSimilarity is the cosine between a bucket and the estimate below which demand has jumped.
	// Windows within a phase have 0.99 and more, across a jump 0.1 to 0.5.
	jumpSimilarity = 0.85
	// demandMemory is the part of the estimate that is kept with each further bucket.
	demandMemory = 0.8
	// leastChoices is the number of choices in a layer that a bucket needs: with fewer, noise alone
	// looks like a jump.
	leastChoices = 1500
)

// ChoiceCounts are the choices of one rank's requests since its last report, by layer.
type ChoiceCounts struct {
	Layers []LayerCounts `cbor:"1,keyasint" json:"layers"`
}

// Demand estimates which experts are in demand now. Demand stays as it is for some seconds and then
// jumps to something unrelated: on a jump all that came before is forgotten. It is not safe for concurrent use.
type Demand struct {
	layers, experts int
	bucket          Load
	bucketStart     time.Time
	estimate        Load
	// buckets is the number of buckets in the estimate since the last jump.
	buckets int
	jumps   int
}

// NewDemand returns an estimate without counts.
func NewDemand(layers, experts int) *Demand {
	return &Demand{layers: layers, experts: experts, bucket: NewLoad(layers, experts), estimate: NewLoad(layers, experts)}
}

// Add counts the choices of one rank. It returns whether the estimate changed.
func (d *Demand) Add(now time.Time, counts ChoiceCounts) bool {
	if len(counts.Layers) != d.layers {
		return false
	}
	if d.bucketStart.IsZero() {
		d.bucketStart = now
	}
	for layer, scaled := range counts.Layers {
		if len(scaled.Scaled) != d.experts {
			return false
		}
		for expert := range scaled.Scaled {
			d.bucket[layer][expert] += scaled.Tokens(expert)
		}
	}
	if now.Sub(d.bucketStart) < demandBucket || total(d.bucket[0]) < leastChoices {
		return false
	}
	d.close(now)
	return true
}

func (d *Demand) close(now time.Time) {
	keep := demandMemory
	if d.buckets > 0 && d.similarity() < jumpSimilarity {
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

// similarity returns the mean cosine between the bucket and the estimate over all layers.
func (d *Demand) similarity() float64 {
	sum := 0.0
	for layer := range d.bucket {
		sum += cosine(d.bucket[layer], d.estimate[layer])
	}
	return sum / float64(len(d.bucket))
}

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

// Estimate returns the load of each expert and the number of buckets that it rests on. It is valid until the next Add.
func (d *Demand) Estimate() (Load, int) {
	return d.estimate, d.buckets
}

// Jumps returns how often demand has jumped.
func (d *Demand) Jumps() int {
	return d.jumps
}
