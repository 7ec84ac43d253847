package gateway

import (
	"github.com/honeydyke/honeydyke/internal/answers"
	"github.com/honeydyke/honeydyke/internal/requestbodies"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// bytesPerMB converts the memory of the settings.
const bytesPerMB = 1 << 20

// defaultMaxItems bounds the items of one request if the settings do not.
const defaultMaxItems = 4096

// maxItems returns how many items of stages one request may have.
func maxItems(cfg *settings.Gateway) int {
	if cfg.MaxItems > 0 {
		return cfg.MaxItems
	}
	return defaultMaxItems
}

// newAnswerPool returns the pool of the answers that this node is reading.
func (g *Gateway) newAnswerPool() *answers.Pool {
	limit := answers.PoolBytes(int64(g.cfg.Gateway.MemoryMb) * bytesPerMB)
	return answers.NewPool(limit, answers.OnGivenUp(func(bytes int64) {
		g.metrics.answersGivenUp.Inc(1)
		g.log.Warn().Int64("bytes", bytes).Int64("most", limit).Msg("answers: the longest answer was given up, since all together have too many bytes")
	}))
}

// newBodyBudget returns the budget of the bodies of requests that this node holds.
func (g *Gateway) newBodyBudget() *requestbodies.Budget {
	return requestbodies.New(requestbodies.BudgetBytes(int64(g.cfg.Gateway.MemoryMb)*bytesPerMB), g.now)
}
