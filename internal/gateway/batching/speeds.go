package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/targetspeed"
)

// Speeds describes the targets that report their speed.
func (c *Core) Speeds(now time.Time) []targetspeed.View {
	var list []targetspeed.View
	for _, t := range c.pool.targets {
		if t.slowdown.reports.Known() {
			list = append(list, t.slowdown.reports.View(now, t.Incarnation().String(), t.slowdown.observed(now)))
		}
	}
	return list
}
