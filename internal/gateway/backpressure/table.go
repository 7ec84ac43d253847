package backpressure

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/message"
)

// limitReport is what a target said of its limit, and when.
type limitReport struct {
	Limit
	at time.Time
}

// table holds the newest report of each life that has a limit. It is not safe for
// concurrent use.
type table struct {
	limits map[directory.Life]limitReport
}

func newTable() *table { return &table{limits: map[directory.Life]limitReport{}} }

// heard takes in a report.
func (t *table) heard(target directory.Life, r limitReport) {
	if !r.Set {
		delete(t.limits, target)
		return
	}
	t.limits[target] = r
}

// limit returns the limit of a target.
func (t *table) limit(target directory.Life) Limit { return t.limits[target].Limit }

// limited counts the targets with a limit.
func (t *table) limited() int { return len(t.limits) }

// messages lists the targets with a limit by their names.
func (t *table) messages(now time.Time) []message.TargetLimit {
	list := make([]message.TargetLimit, 0, len(t.limits))
	for target, r := range t.limits {
		list = append(list, message.TargetLimit{
			Target: target.String(), PerSecond: r.PerSecond, AgoMs: int(now.Sub(r.at).Milliseconds()),
		})
	}
	slices.SortFunc(list, func(a, b message.TargetLimit) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

func (t *table) prune(d *directory.Directory) {
	maps.DeleteFunc(t.limits, func(target directory.Life, _ limitReport) bool { return !d.Lives(target) })
}
