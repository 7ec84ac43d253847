package gateway

import (
	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// admissionRules returns a function that decides which rules of admission apply to a service:
// those that the settings switch on, if the objectives of the routes that share the service
// differ by the ratio in the settings. Where objectives are alike, the whole backlog goes
// before a new request anyway. Without settings no rule applies.
func admissionRules(cfg *settings.Admission) func(*catalog.Catalog, string) batching.Admission {
	return func(c *catalog.Catalog, service string) batching.Admission {
		if cfg == nil || cfg.MinObjectiveRatio <= 0 || c.ObjectiveRatio(service) < cfg.MinObjectiveRatio {
			return batching.Admission{}
		}
		return batching.Admission{ByPosition: cfg.ByPosition, Withdraw: cfg.Withdraw, Reserve: cfg.Reserve, FairShares: cfg.FairShares}
	}
}
