package standin

import (
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"oriolemill.example/oriolemill/internal/messenger"
)

// WeightStore simulates the weight store, which serves a limited number of models a
// second. It is safe for concurrent use.
type WeightStore struct {
	limiter         *rate.Limiter
	serveTime       time.Duration
	servedModels    atomic.Int64
	refusedRequests atomic.Int64
}

// NewWeightStore returns a store that serves perSecond models a second and up to
// burst of them at once, each in serveTime.
func NewWeightStore(perSecond float64, burst int, serveTime time.Duration) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), serveTime: serveTime}
}

// ServedCount returns the number of models served.
func (s *WeightStore) ServedCount() int { return int(s.servedModels.Load()) }

// RefusedCount returns the number of requests rejected by the rate limit.
func (s *WeightStore) RefusedCount() int { return int(s.refusedRequests.Load()) }

// Handler returns the handler of the store's HTTP interface.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+messenger.PathWeights+"{model}", func(w http.ResponseWriter, r *http.Request) {
		if !s.limiter.Allow() {
			s.refusedRequests.Add(1)
			http.Error(w, "rate", http.StatusTooManyRequests)
			return
		}
		if !sleepWhileConnected(r, s.serveTime) {
			return
		}
		s.servedModels.Add(1)
		_, _ = w.Write([]byte(r.PathValue("model")))
	})
	return mux
}
