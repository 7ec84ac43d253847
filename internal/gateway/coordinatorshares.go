package gateway

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/fairshare"
	"github.com/honeydyke/honeydyke/internal/message"
)

// shownOverShare is how many of the organisations over the level the state dump lists.
const shownOverShare = 10

// shares applies fairshare.Table to the plans of one service. Its table is nil while the
// service has no fair shares; then no plan is marked.
type shares struct {
	service string
	metrics *metrics
	table   *fairshare.Table
}

// configure switches fair shares on or off. A table that is switched on again learns anew.
func (s *shares) configure(on bool) {
	switch {
	case !on:
		s.table = nil
	case s.table == nil:
		s.table = fairshare.NewTable()
	}
}

// observeRate sets the service's rate, which is determined once for a message with plans.
func (s *shares) observeRate(now time.Time, perSecond float64) {
	if s.table != nil {
		s.table.ObserveRate(now, perSecond)
	}
}

// ask records a planned stage and reports whether its organisation is over its share.
func (s *shares) ask(now time.Time, p batching.Plan) bool {
	if s.table == nil || !s.table.Ask(now, sharePlan(p)) {
		return false
	}
	s.metrics.recordOverShare(s.service)
	return true
}

// cancel gives back what a cancelled plan has taken.
func (s *shares) cancel(now time.Time, p batching.Plan) {
	if s.table != nil {
		s.table.Cancel(now, sharePlan(p))
	}
}

// state returns the level and the largest of the organisations over it.
func (s *shares) state(now time.Time) fairshare.State {
	if s.table == nil {
		return fairshare.State{}
	}
	return s.table.State(now, shownOverShare)
}

// sharePlan returns a plan as fairshare knows it. Members of an earlier version send neither
// the organisation nor a digest; this version always sends a digest.
func sharePlan(p batching.Plan) fairshare.Plan {
	return fairshare.Plan{
		Request: p.Request, Stage: p.Stage, Items: p.Items,
		Name: fairshare.Name{Organisation: p.Organisation, Unmarked: p.Organisation == "" && p.Digest == 0},
	}
}

func encodeOverShare(list []fairshare.Demand) []message.OrganisationDemand {
	var out []message.OrganisationDemand
	for _, d := range list {
		out = append(out, message.OrganisationDemand{Organisation: d.Organisation, PerSecond: d.PerSecond})
	}
	return out
}
