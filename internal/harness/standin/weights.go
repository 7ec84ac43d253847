package standin

import (
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// PathWeights is the path of the weight store; a model's name follows it.
const PathWeights = "/v1/weights/"

// WeightStore is a stand-in for the rate-limited store of model weights. A
// fetch over the rate is refused with a Retry-After.
type WeightStore struct {
	limiter *rate.Limiter
}

// NewWeightStore returns a store that allows perSecond fetches a second.
func NewWeightStore(perSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(perSecond), 1)}
}

// ServeHTTP answers a fetch.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r := s.limiter.Reserve()
	if wait := r.Delay(); wait > 0 {
		r.Cancel()
		w.Header().Set(wire.HeaderVerdict, verdict.NotRun.String())
		w.Header().Set("Retry-After", strconv.Itoa(int(wait/time.Second)+1))
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	w.WriteHeader(http.StatusOK)
}
