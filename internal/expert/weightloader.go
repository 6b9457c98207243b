package expert

import (
	"cmp"
	"time"
)

// Defaults of a WeightLoaderConfig and limits of a loader's rate.
const (
	DefaultParallelFetches = 4
	DefaultFetchAttempts   = 5
	DefaultThrottlePause   = time.Second
	slowestRateShare       = 1.0 / 16
	rateRecovery           = 1.05
)

// WeightLoaderConfig describes how an agent loads weights from the weight store.
type WeightLoaderConfig struct {
	// ExpertBytes is the size of one expert's weights in one layer.
	ExpertBytes int64
	// Rate is the agent's part of the store's rate in bytes a second.
	Rate float64
	// Parallel is the number of fetches that may be open at once.
	Parallel int
	// Attempts is the number of tries for one placement; throttled ones do not count.
	Attempts int
}

func (c WeightLoaderConfig) withDefaults() WeightLoaderConfig {
	c.ExpertBytes = cmp.Or(c.ExpertBytes, DefaultExpertBytes)
	c.Rate = cmp.Or(c.Rate, float64(DefaultStoreRate))
	c.Parallel = cmp.Or(c.Parallel, DefaultParallelFetches)
	c.Attempts = cmp.Or(c.Attempts, DefaultFetchAttempts)
	return c
}

// FetchResult is what became of a fetch.
type FetchResult uint8

// The results of a fetch.
const (
	FetchDone FetchResult = iota + 1
	FetchThrottled
	FetchFailed
)

// Fetched tells a WeightLoader what became of a FetchWeights.
type Fetched struct {
	Version   Version
	Placement Placement
	Result    FetchResult
	// RetryAfter is the store's wish after FetchThrottled; 0 if it gave none.
	RetryAfter time.Duration
	Cause      string
}

func (Fetched) isEvent() {}

// FetchWeights asks to fetch one expert's weights into the engine's staging memory.
type FetchWeights struct {
	Version   Version
	Placement Placement
	Bytes     int64
}

// LoadEnded reports the end of a load. Cause is "" if all weights are in memory.
type LoadEnded struct {
	Version Version
	Cause   string
}

func (FetchWeights) isAction() {}
func (LoadEnded) isAction()    {}

// pendingFetch is a placement to fetch, with its failed attempts.
type pendingFetch struct {
	placement Placement
	failed    int
}

// WeightLoader fetches the weights of one map at a time within the weight store's rate.
// It slows down when the store throttles. It is not safe for concurrent use.
type WeightLoader struct {
	config  WeightLoaderConfig
	bucket  *TokenBucket
	version Version
	queue   []pendingFetch
	open    []pendingFetch
	// pausedUntil is when the store may be asked again after it throttled.
	pausedUntil time.Time
	nextAt      time.Time
}

// NewWeightLoader returns a loader without work.
func NewWeightLoader(now time.Time, config WeightLoaderConfig) *WeightLoader {
	config = config.withDefaults()
	burst := float64(config.ExpertBytes)
	return &WeightLoader{config: config, bucket: NewTokenBucket(now, config.Rate, burst)}
}

// Load starts a load; it replaces one that has not ended.
func (w *WeightLoader) Load(now time.Time, load LoadWeights) []Action {
	w.version = load.Version
	w.queue, w.open = nil, nil
	for _, placement := range load.Placements {
		w.queue = append(w.queue, pendingFetch{placement: placement})
	}
	return w.start(now)
}

// Drop gives up the load of a version.
func (w *WeightLoader) Drop(version Version) {
	if w.version == version {
		w.queue, w.open = nil, nil
		w.version = Version{}
	}
}

// NextTick returns when a Tick is due; the zero time means never.
func (w *WeightLoader) NextTick() time.Time { return w.nextAt }

// Step handles a Tick or a Fetched.
func (w *WeightLoader) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return w.start(now)
	case Fetched:
		return w.fetched(now, e)
	default:
		return nil
	}
}

func (w *WeightLoader) fetched(now time.Time, result Fetched) []Action {
	fetch, found := w.take(result)
	if !found {
		return nil
	}
	switch result.Result {
	case FetchDone:
		w.bucket.SetRate(now, min(w.config.Rate, w.bucket.Rate()*rateRecovery))
	case FetchThrottled:
		w.bucket.SetRate(now, max(w.config.Rate*slowestRateShare, w.bucket.Rate()/2))
		w.pausedUntil = now.Add(cmp.Or(result.RetryAfter, DefaultThrottlePause))
		w.queue = append(w.queue, fetch)
	case FetchFailed:
		fetch.failed++
		if fetch.failed >= w.config.Attempts {
			return w.end(cmp.Or(result.Cause, "weights could not be fetched"))
		}
		w.queue = append(w.queue, fetch)
	}
	if len(w.queue) == 0 && len(w.open) == 0 {
		return w.end("")
	}
	return w.start(now)
}

// take removes the open fetch that a result belongs to.
func (w *WeightLoader) take(result Fetched) (pendingFetch, bool) {
	if result.Version != w.version {
		return pendingFetch{}, false
	}
	for i, fetch := range w.open {
		if fetch.placement == result.Placement {
			w.open = append(w.open[:i:i], w.open[i+1:]...)
			return fetch, true
		}
	}
	return pendingFetch{}, false
}

func (w *WeightLoader) end(cause string) []Action {
	ended := LoadEnded{Version: w.version, Cause: cause}
	w.Drop(w.version)
	return []Action{ended}
}

// start opens as many fetches as the rate and the limit allow now.
func (w *WeightLoader) start(now time.Time) []Action {
	w.nextAt = time.Time{}
	var actions []Action
	for len(w.queue) > 0 && len(w.open) < w.config.Parallel {
		ready := now.Add(w.bucket.Delay(now, float64(w.config.ExpertBytes)))
		if ready.Before(w.pausedUntil) {
			ready = w.pausedUntil
		}
		if ready.After(now) {
			w.nextAt = ready
			return actions
		}
		w.bucket.Reserve(now, float64(w.config.ExpertBytes))
		fetch := w.queue[0]
		w.queue = w.queue[1:]
		w.open = append(w.open, fetch)
		actions = append(actions, FetchWeights{Version: w.version, Placement: fetch.placement, Bytes: w.config.ExpertBytes})
	}
	return actions
}
