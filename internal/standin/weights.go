package standin

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramleyspool/bramleyspool/internal/platform"
)

// Weights is a stand-in for the weight store. It is safe for concurrent use.
type Weights struct {
	limiter *rate.Limiter
	mux     *http.ServeMux

	mu    sync.Mutex
	files map[platform.WeightRef][]byte
}

// NewWeights returns a store whose token bucket refills at bytesPerSecond and holds burst
// bytes. A bytesPerSecond of 0 means no limit.
func NewWeights(bytesPerSecond float64, burst int) *Weights {
	s := &Weights{mux: http.NewServeMux(), files: make(map[platform.WeightRef][]byte)}
	if bytesPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), burst)
	}
	s.mux.HandleFunc("GET /v1/weights/{name}/{version}", s.serveFile)
	return s
}

// Put stores a file.
func (s *Weights) Put(ref platform.WeightRef, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.files[ref] = append([]byte(nil), data...)
}

// ServeHTTP serves a weight file.
func (s *Weights) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Weights) serveFile(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, ok := s.files[platform.WeightRef{Name: r.PathValue("name"), Version: r.PathValue("version")}]
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "weights do not exist")
		return
	}
	if wait := s.reserve(len(data)); wait > 0 {
		writeRetryLater(w, http.StatusTooManyRequests, wait, "rate limit exceeded")
		return
	}
	writeBody(w, http.StatusOK, data)
}

// reserve takes the bytes from the token bucket, or returns how long to wait for them. For more
// bytes than the burst it takes only the burst, because the bucket never holds more.
func (s *Weights) reserve(bytes int) time.Duration {
	if s.limiter == nil {
		return 0
	}
	now := time.Now()
	reservation := s.limiter.ReserveN(now, min(bytes, s.limiter.Burst()))
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}
