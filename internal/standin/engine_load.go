package standin

import (
	"net/http"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/platform"
)

const (
	// maxLoadSamples bounds the number of load samples that an engine keeps.
	maxLoadSamples = 512
	// rateWindow is the time over which token rates are averaged.
	rateWindow = time.Second
)

// loadSample is an engine's load at one time. The token counts are totals of the boot.
type loadSample struct {
	at                   time.Time
	sequence             uint64
	running              int
	waiting              int
	cacheUse             float64
	uncachedPromptTokens uint64
	generatedTokens      uint64
}

// loadHistory holds the load samples of a boot, so that reports can be delayed by LoadLag.
type loadHistory struct {
	uncachedPromptTokens uint64
	generatedTokens      uint64
	sequence             uint64
	samples              []loadSample
}

// recordLoad adds the current load to the history.
func (e *Engine) recordLoad() {
	h := &e.load
	h.sequence++
	h.samples = append(h.samples, loadSample{
		at: time.Now(), sequence: h.sequence, running: len(e.running), waiting: len(e.waiting),
		cacheUse: e.cache.usedFraction(), uncachedPromptTokens: h.uncachedPromptTokens, generatedTokens: h.generatedTokens,
	})
	if len(h.samples) > maxLoadSamples {
		h.samples = append(h.samples[:0], h.samples[maxLoadSamples/2:]...)
	}
}

// indexAt returns the index of the newest sample taken at or before the given time, or 0 if
// there is none.
func (h *loadHistory) indexAt(when time.Time) int {
	for i := len(h.samples) - 1; i > 0; i-- {
		if !h.samples[i].at.After(when) {
			return i
		}
	}
	return 0
}

func (e *Engine) loadReport(now time.Time) platform.LoadReport {
	h := &e.load
	if len(h.samples) == 0 {
		return platform.LoadReport{Boot: e.boot, Age: e.options.LoadLag}
	}
	reportTime := now.Add(-e.options.LoadLag)
	newest := h.samples[h.indexAt(reportTime)]
	oldest := h.samples[h.indexAt(reportTime.Add(-rateWindow))]
	rate := func(newer, older uint64) float64 {
		return float64(newer-older) / rateWindow.Seconds()
	}
	return platform.LoadReport{
		Boot: e.boot, Sequence: newest.sequence, Age: e.options.LoadLag,
		Running: newest.running, Waiting: newest.waiting, KVCacheUse: newest.cacheUse,
		PromptTokensPerSecond:    rate(newest.uncachedPromptTokens, oldest.uncachedPromptTokens),
		GeneratedTokensPerSecond: rate(newest.generatedTokens, oldest.generatedTokens),
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.lock.Lock()
	report := e.loadReport(time.Now())
	e.lock.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	e.lock.Lock()
	counts := platform.ExpertCounts{Boot: e.boot, Step: e.orders.state.Step, Layers: make([][]uint64, len(e.counts))}
	for layer, row := range e.counts {
		counts.Layers[layer] = append([]uint64{}, row...)
	}
	e.lock.Unlock()
	writeJSON(w, http.StatusOK, counts)
}
