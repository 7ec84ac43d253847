package node

import (
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

const (
	// drainPoll is how often a stopping node looks for work in flight.
	drainPoll = 20 * time.Millisecond
	// drainQuiet is how long nothing must be in flight before a stopping node closes its
	// connections. A caller whose answer has just ended may be sending its next request;
	// it is to be refused, not cut.
	drainQuiet = 250 * time.Millisecond
)

// drain waits for the end of the work in flight during a planned stop
// (docs/decisions/0010-planned-stop.md).
type drain struct {
	now func() time.Time
	// inFlight counts the calls that have no final answer yet.
	inFlight func() int
	// announce is how long the balancer takes to notice that the node is leaving.
	announce time.Duration
	// limit is how long the work may take in all.
	limit time.Duration
	// cut is closed to end the wait at once.
	cut <-chan struct{}
	log zerolog.Logger
}

// wait returns when the announcement is over and nothing has been in flight for
// drainQuiet. The error says how many calls are cut when limit or cut came
// first.
func (d *drain) wait() error {
	limit := time.After(d.limit)
	announced := time.After(d.announce)
	poll := time.Tick(drainPoll)
	announcementOver := false
	quietSince := time.Time{}
	for {
		select {
		case <-announced:
			announcementOver = true
		case <-limit:
			return d.cutWork("the limit of the settings has passed")
		case <-d.cut:
			return d.cutWork("a second signal came")
		case <-poll:
			switch {
			case d.inFlight() > 0:
				quietSince = time.Time{}
			case quietSince.IsZero():
				quietSince = d.now()
			case announcementOver && d.now().Sub(quietSince) >= drainQuiet:
				return nil
			}
		}
	}
}

// cutWork reports what the early end cuts.
func (d *drain) cutWork(why string) error {
	cut := d.inFlight()
	if cut == 0 {
		return nil
	}
	d.log.Error().Int("cut", cut).Str("why", why).Msg("stop: work in flight is cut")
	return errors.Errorf("%s: %d calls in flight were cut", why, cut)
}
