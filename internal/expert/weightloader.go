package expert

import (
	"cmp"
	"time"
)

// Defaults of a WeightLoaderConfig and parameters of a loader's rate control.
const (
	DefaultParallelFetches  = 4
	DefaultMaxFetchFailures = 5
	// DefaultThrottlePause is the pause after FetchThrottled without a RetryAfter.
	DefaultThrottlePause = time.Second
	// minRateShare is the minimum rate as a fraction of the configured rate.
	minRateShare = 1.0 / 16
	// rateRecoveryFactor is the factor by which each completed fetch raises a reduced rate.
	rateRecoveryFactor = 1.05
)

// WeightLoaderConfig sets how an agent loads weights from the weight store. Zero values are
// replaced by the defaults.
type WeightLoaderConfig struct {
	// ExpertBytes is the size of one expert's weights in one layer, in bytes.
	ExpertBytes int64
	// Rate is the rate at which the agent may read from the store, in bytes per second.
	Rate float64
	// Parallel is the maximum number of fetches in progress.
	Parallel int
	// MaxFailures is the number of failed fetches of one placement after which the load fails.
	// Throttled fetches do not count.
	MaxFailures int
}

func (c WeightLoaderConfig) withDefaults() WeightLoaderConfig {
	c.ExpertBytes = cmp.Or(c.ExpertBytes, DefaultExpertBytes)
	c.Rate = cmp.Or(c.Rate, float64(DefaultStoreRate))
	c.Parallel = cmp.Or(c.Parallel, DefaultParallelFetches)
	c.MaxFailures = cmp.Or(c.MaxFailures, DefaultMaxFetchFailures)
	return c
}

// FetchResult is the result of a fetch.
type FetchResult uint8

// The results of a fetch.
const (
	// FetchDone means that the weights are in the engine's staging memory.
	FetchDone FetchResult = iota + 1
	// FetchThrottled means that the store rejected the fetch because of its rate limit.
	FetchThrottled
	// FetchFailed means any other failure.
	FetchFailed
)

// Fetched is the event that reports the result of a FetchWeights action to a WeightLoader.
type Fetched struct {
	Version   Version
	Placement Placement
	Result    FetchResult
	// RetryAfter is the delay that the store requested with FetchThrottled; 0 if it requested none.
	RetryAfter time.Duration
	// Cause describes a FetchFailed.
	Cause string
}

func (Fetched) isEvent() {}

// FetchWeights is the action to fetch one expert's weights, of size Bytes, into the engine's
// staging memory.
type FetchWeights struct {
	Version   Version
	Placement Placement
	Bytes     int64
}

// LoadEnded is the action to report the end of a load. Cause is "" if all weights are in memory,
// otherwise it describes the failure.
type LoadEnded struct {
	Version Version
	Cause   string
}

func (FetchWeights) isAction() {}
func (LoadEnded) isAction()    {}

// pendingFetch is a placement to fetch with its number of failed fetches.
type pendingFetch struct {
	placement Placement
	failures  int
}

// WeightLoader fetches the weights of one map at a time and keeps to the agent's rate at the weight
// store. It halves its rate each time the store throttles a fetch and raises it again with each
// completed one. It is not safe for concurrent use.
type WeightLoader struct {
	config        WeightLoaderConfig
	bucket        *TokenBucket
	version       Version
	queuedFetches []pendingFetch
	openFetches   []pendingFetch
	// pausedUntil is the end of the pause after a throttled fetch.
	pausedUntil time.Time
	// nextAt is when a Tick is due; zero if none is.
	nextAt time.Time
}

// NewWeightLoader returns a loader without a load.
func NewWeightLoader(now time.Time, config WeightLoaderConfig) *WeightLoader {
	config = config.withDefaults()
	burst := float64(config.ExpertBytes)
	return &WeightLoader{config: config, bucket: NewTokenBucket(now, config.Rate, burst)}
}

// Load starts a load. A load that is still in progress is abandoned without a LoadEnded.
func (w *WeightLoader) Load(now time.Time, load LoadWeights) []Action {
	w.version = load.Version
	w.queuedFetches, w.openFetches = nil, nil
	for _, placement := range load.Placements {
		w.queuedFetches = append(w.queuedFetches, pendingFetch{placement: placement})
	}
	return w.startFetches(now)
}

// Abandon abandons the load of a version, if it is in progress, without a LoadEnded.
func (w *WeightLoader) Abandon(version Version) {
	if w.version == version {
		w.queuedFetches, w.openFetches = nil, nil
		w.version = Version{}
	}
}

// NextTick returns when a Tick is due; the zero time means that none is.
func (w *WeightLoader) NextTick() time.Time { return w.nextAt }

// Step handles a Tick or a Fetched event. Results of abandoned loads are ignored.
func (w *WeightLoader) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return w.startFetches(now)
	case Fetched:
		return w.handleFetched(now, e)
	default:
		return nil
	}
}

func (w *WeightLoader) handleFetched(now time.Time, result Fetched) []Action {
	fetch, found := w.removeOpen(result)
	if !found {
		return nil
	}
	switch result.Result {
	case FetchDone:
		w.bucket.SetRate(now, min(w.config.Rate, w.bucket.Rate()*rateRecoveryFactor))
	case FetchThrottled:
		w.bucket.SetRate(now, max(w.config.Rate*minRateShare, w.bucket.Rate()/2))
		w.pausedUntil = now.Add(cmp.Or(result.RetryAfter, DefaultThrottlePause))
		w.queuedFetches = append(w.queuedFetches, fetch)
	case FetchFailed:
		fetch.failures++
		if fetch.failures >= w.config.MaxFailures {
			return w.endLoad(cmp.Or(result.Cause, "weights of an expert could not be fetched from the weight store"))
		}
		w.queuedFetches = append(w.queuedFetches, fetch)
	}
	if len(w.queuedFetches) == 0 && len(w.openFetches) == 0 {
		return w.endLoad("")
	}
	return w.startFetches(now)
}

// removeOpen removes and returns the open fetch to which a result belongs, and false if there is none.
func (w *WeightLoader) removeOpen(result Fetched) (pendingFetch, bool) {
	if result.Version != w.version {
		return pendingFetch{}, false
	}
	for i, fetch := range w.openFetches {
		if fetch.placement == result.Placement {
			w.openFetches = append(w.openFetches[:i:i], w.openFetches[i+1:]...)
			return fetch, true
		}
	}
	return pendingFetch{}, false
}

func (w *WeightLoader) endLoad(cause string) []Action {
	ended := LoadEnded{Version: w.version, Cause: cause}
	w.Abandon(w.version)
	return []Action{ended}
}

// startFetches starts as many fetches as the rate and the limit of open fetches allow now.
func (w *WeightLoader) startFetches(now time.Time) []Action {
	w.nextAt = time.Time{}
	var actions []Action
	for len(w.queuedFetches) > 0 && len(w.openFetches) < w.config.Parallel {
		ready := now.Add(w.bucket.Delay(now, float64(w.config.ExpertBytes)))
		if ready.Before(w.pausedUntil) {
			ready = w.pausedUntil
		}
		if ready.After(now) {
			w.nextAt = ready
			return actions
		}
		w.bucket.Reserve(now, float64(w.config.ExpertBytes))
		fetch := w.queuedFetches[0]
		w.queuedFetches = w.queuedFetches[1:]
		w.openFetches = append(w.openFetches, fetch)
		actions = append(actions, FetchWeights{Version: w.version, Placement: fetch.placement, Bytes: w.config.ExpertBytes})
	}
	return actions
}
