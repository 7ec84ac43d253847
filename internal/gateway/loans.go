package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/backpressure"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/message"
)

const (
	// loanTries is how many members are asked for a request.
	loanTries = 3
	// loanTimeout bounds asking one. It is above the time to a member of another data centre.
	loanTimeout = 30 * time.Millisecond
	// loanRetry is how long a member that had none to lend is not asked again.
	loanRetry = 50 * time.Millisecond
	// maxLoanTargets bounds the targets that are asked for at once.
	maxLoanTargets = 64
)

// sendLoans implements relay.Lender. Members divide the limit of a target among them evenly, while
// requests may come to one of them most. A node that may send no request to a limited target asks
// others for one of theirs. What is lent counts at the lender as if it had sent it, so that all
// nodes together send no more than before, whatever messages are lost.
type sendLoans struct {
	log     zerolog.Logger
	members *members
	peers   *peerClient
	gate    backpressure.Gate
	metrics *metrics
	avoided *avoidedMembers
}

// Borrow implements relay.Lender.
func (l *sendLoans) Borrow(ctx context.Context, targets []directory.Incarnation) (directory.Incarnation, bool) {
	limited := l.gate.Limited(targets)
	if len(limited) == 0 {
		return directory.Incarnation{}, false
	}
	rand.Shuffle(len(limited), func(i, j int) { limited[i], limited[j] = limited[j], limited[i] })
	limited = limited[:min(len(limited), maxLoanTargets)]
	for _, member := range l.members.nearest(rand.Uint64(), loanTries, l.avoided.accept()) {
		if target, lent := l.ask(ctx, member, limited); lent {
			l.metrics.recordLoan()
			return target, true
		}
	}
	return directory.Incarnation{}, false
}

// ask asks a member for a request to one of some targets.
func (l *sendLoans) ask(ctx context.Context, member string, targets []directory.Incarnation) (directory.Incarnation, bool) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	answer, err := l.peers.borrowSend(ctx, member, encodeIncarnations(targets))
	if err != nil {
		l.log.Debug().Str("member", member).Err(err).Msg("backpressure: asking a member for a request to limited targets failed")
	}
	if err != nil || len(answer.Targets) == 0 {
		l.avoided.avoid(member, loanRetry, err)
		return directory.Incarnation{}, false
	}
	return directory.ParseIncarnation(answer.Targets[0]), true
}

// serve lends a request to the member that asks.
func (l *sendLoans) serve(w http.ResponseWriter, r *http.Request) {
	var in message.SendLoan
	if !readJSON(w, r, &in) {
		return
	}
	targets := make([]directory.Incarnation, 0, min(len(in.Targets), maxLoanTargets))
	for _, name := range in.Targets[:min(len(in.Targets), maxLoanTargets)] {
		targets = append(targets, directory.ParseIncarnation(name))
	}
	out := message.SendLoan{Targets: []string{}}
	if target, lent := l.gate.Lend(targets); lent {
		out.Targets = append(out.Targets, target.String())
	}
	writeJSON(w, out)
}

// encodeIncarnations encodes the incarnations of targets.
func encodeIncarnations(targets []directory.Incarnation) message.SendLoan {
	out := message.SendLoan{Targets: make([]string, len(targets))}
	for i, target := range targets {
		out.Targets[i] = target.String()
	}
	return out
}
