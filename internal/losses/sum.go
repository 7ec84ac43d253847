package losses

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Grouping says by what requests are summed up.
type Grouping string

// Groupings.
const (
	// ByRule is by the cause, and the rule that decides it.
	ByRule Grouping = "rule"
	// ByRoute is by the route.
	ByRoute Grouping = "route"
	// ByOrganisation is by the holder of the caller's key.
	ByOrganisation Grouping = "organisation"
	// ByDataCentre is by where the node is.
	ByDataCentre Grouping = "data-centre"
	// ByMoment is by the second in which the request ended.
	ByMoment Grouping = "moment"
)

// Groupings are all there are.
func Groupings() []Grouping {
	return []Grouping{ByRule, ByRoute, ByOrganisation, ByDataCentre, ByMoment}
}

// unknownGroup names the requests whose line does not say to which group they belong.
const unknownGroup = "unknown"

// momentLayout is how the start of a second is written.
const momentLayout = "15:04:05"

// Filter says which requests count. The zero value lets all through.
type Filter struct {
	// From and To bound when a request ended; zero for no bound.
	From, To time.Time
	// Route is the only one that counts; empty for all.
	Route string
}

// Takes says whether a request counts.
func (f Filter) Takes(q Request) bool {
	switch {
	case !f.From.IsZero() && q.Ended.Before(f.From):
		return false
	case !f.To.IsZero() && !q.Ended.Before(f.To):
		return false
	}
	return f.Route == "" || q.Route == f.Route
}

// Row is one group of requests.
type Row struct {
	// Group names the group; of a cause, Rule and Resource are the rule that decides it
	// and what that looks at.
	Group    string `json:"group"`
	Rule     string `json:"rule,omitempty"`
	Resource string `json:"resource,omitempty"`
	// Requests are all of the group, ByOutcome how many of each outcome, in the order of
	// the outcomes.
	Requests  int           `json:"requests"`
	ByOutcome [outcomes]int `json:"byOutcome"`
	// Parts adds up where the time of the group's requests went.
	Parts Parts `json:"parts"`
}

// Count returns how many requests of the group had an outcome.
func (r Row) Count(o Outcome) int { return r.ByOutcome[o] }

// Lost returns how many requests were late, refused or failed.
func (r Row) Lost() int { return r.Count(Late) + r.Count(Refused) + r.Count(Failed) }

// with returns the row with one more request.
func (r Row) with(q Request) Row {
	r.Requests++
	r.ByOutcome[q.Outcome]++
	r.Parts = r.Parts.add(q.Parts)
	return r
}

// Sum adds up requests by groups. The zero value is not usable; create it with NewSum.
type Sum struct {
	by     Grouping
	filter Filter
	total  Row
	rows   map[string]Row
}

// NewSum returns an empty sum.
func NewSum(by Grouping, filter Filter) *Sum {
	return &Sum{by: by, filter: filter, total: Row{Group: "all"}, rows: map[string]Row{}}
}

// Add counts a request, when the filter takes it.
func (s *Sum) Add(q Request) {
	if !s.filter.Takes(q) {
		return
	}
	s.total = s.total.with(q)
	group := s.groupOf(q)
	row, known := s.rows[group]
	if !known {
		row = Row{Group: group}
		if s.by == ByRule {
			row.Rule, row.Resource = q.Cause.Rule, q.Cause.Resource
		}
	}
	s.rows[group] = row.with(q)
}

// groupOf names the group of a request. What has no cause is grouped by its outcome.
func (s *Sum) groupOf(q Request) string {
	group := ""
	switch s.by {
	case ByRule:
		group = q.Cause.Name
		if !q.Outcome.lost() {
			group = "(" + q.Outcome.String() + ")"
		}
	case ByRoute:
		group = q.Route
	case ByOrganisation:
		group = q.Organisation
	case ByDataCentre:
		group = q.DataCentre
	case ByMoment:
		group = q.Ended.UTC().Truncate(time.Second).Format(momentLayout)
	}
	return cmp.Or(group, unknownGroup)
}

// Total returns all requests that count.
func (s *Sum) Total() Row { return s.total }

// Rows returns the groups: moments in their order, others by what was lost.
func (s *Sum) Rows() []Row {
	rows := slices.Collect(maps.Values(s.rows))
	slices.SortFunc(rows, func(a, b Row) int {
		if s.by == ByMoment {
			return cmp.Compare(a.Group, b.Group)
		}
		return cmp.Or(cmp.Compare(b.Lost(), a.Lost()), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Group, b.Group))
	})
	return rows
}
