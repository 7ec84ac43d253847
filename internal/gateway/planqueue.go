package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/relay"
)

const (
	// planMessageTimeout bounds the wait for the answer to a message with plans. It frees the
	// place of a message to a member that is frozen, and is longer than a member that is only
	// overloaded takes.
	planMessageTimeout = 5 * time.Second
	// lateLogInterval is how often a node logs that a coordinator is late.
	lateLogInterval = time.Second
	// lateAnswerKept is for how long the late answer to a plan is kept for its request, which
	// asks for it or cancels the plan as soon as it notices that the wait is over. It is longer
	// than the stalls of a node on a busy machine (0.35 s).
	lateAnswerKept = time.Second
	// maxLateAnswers bounds the late answers that are kept.
	maxLateAnswers = 1024
)

// requestPlan announces the stages of a request, or withdraws their announcement.
type requestPlan struct {
	relay.PlanRequest
	cancelled bool
	// reserve is set if the plan is cancelled and capacity is to be reserved for a retry.
	reserve *relay.Reservation
	// refusedAt is when the request was refused, from which the time of reserve counts: the
	// cancellation may wait for its turn while the client's time runs. It is zero for a plan
	// that was received.
	refusedAt time.Time
}

// planSender sends plans to a coordinator and returns the quotes for the stages of each. A
// coordinator of an earlier version answers only the first plan.
type planSender func(ctx context.Context, plans []requestPlan) ([][]relay.Quote, error)

// planQueue sends this node's plans to one coordinator. Plans that arrive while as many
// messages are outstanding as planWindow allows wait, and go together in the next message. A
// plan that is given up before that is not sent at all.
//
// It owns the waiting plans, the outstanding messages, and the lock that guards them. If the
// coordinator fails, the plans of the message end without quotes.
type planQueue struct {
	now  func() time.Time
	log  zerolog.Logger
	send planSender

	mu      sync.Mutex
	waiting []*queuedPlan
	// outstanding holds the plans of the messages that have no answer yet.
	outstanding map[int][]*queuedPlan
	// lateAnswers holds the plans that were answered after the wait for them had ended, the
	// oldest first.
	lateAnswers []*queuedPlan
	window      planWindow
	// loggedAt is when it was last logged that the coordinator is late, and unanswered the
	// number of plans that ended without quotes since.
	loggedAt   time.Time
	unanswered int
}

// queuedPlan is a plan that waits to be sent or answered.
type queuedPlan struct {
	requestPlan
	// quotes receives the answer; nil for none.
	quotes chan []relay.Quote
	// givenUp is whether nothing waits for the answer any more.
	givenUp bool
	// awaited is whether its request waits for the late answer.
	awaited bool
	// cancellation is sent once the plan's message has ended, so that it cannot overtake the
	// plan; nil for none.
	cancellation *queuedPlan
	// answeredAt is when the answer to a plan arrived that was given up.
	answeredAt time.Time
}

func newPlanQueue(now func() time.Time, log zerolog.Logger, send planSender) *planQueue {
	return &planQueue{
		now: now, log: log, send: send,
		outstanding: map[int][]*queuedPlan{},
	}
}

// plan announces the stages of a request and returns their quotes; nil if there is no
// answer before ctx is done.
func (q *planQueue) plan(ctx context.Context, request relay.PlanRequest) []relay.Quote {
	p := newQueuedPlan(requestPlan{PlanRequest: request})
	q.add(p)
	select {
	case quotes := <-p.quotes:
		return quotes
	case <-ctx.Done():
		q.giveUp(ctx, p)
		return p.arrived()
	}
}

// stageKey identifies a planned stage of a request.
type stageKey struct {
	service string
	stage   int
}

func keyOf(s relay.PlannedStage) stageKey { return stageKey{s.Service, s.Stage} }

// quotesByStage returns the quotes of a plan by its stages.
func (p *queuedPlan) quotesByStage(quotes []relay.Quote) map[stageKey]relay.Quote {
	if len(quotes) != len(p.Stages) {
		return nil
	}
	byStage := make(map[stageKey]relay.Quote, len(quotes))
	for i, s := range p.Stages {
		byStage[keyOf(s)] = quotes[i]
	}
	return byStage
}

// awaitLate waits for the answer to a plan that was given up after it had been sent. It returns
// nil if there is none, or if ctx is done first.
func (q *planQueue) awaitLate(ctx context.Context, request string) map[stageKey]relay.Quote {
	q.mu.Lock()
	p := q.findOutstanding(request)
	if p == nil {
		p = q.takeLateAnswer(request)
	} else {
		p.awaited = true
	}
	q.mu.Unlock()
	if p == nil {
		return nil
	}
	select {
	case quotes := <-p.quotes:
		return p.quotesByStage(quotes)
	case <-ctx.Done():
		q.mu.Lock()
		defer q.mu.Unlock()
		p.awaited = false
		return p.quotesByStage(p.arrived())
	}
}

// arrived returns the quotes if they arrived together with the end of the wait for them; nil if
// not. The plan of an answer that is lost here could not be cancelled any more.
func (p *queuedPlan) arrived() []relay.Quote {
	select {
	case quotes := <-p.quotes:
		return quotes
	default:
		return nil
	}
}

// findOutstanding returns the plan of a request that has been sent and not answered; nil if there
// is none. The caller must hold the lock.
func (q *planQueue) findOutstanding(request string) *queuedPlan {
	for _, plans := range q.outstanding {
		for _, p := range plans {
			if p.Request == request && !p.cancelled {
				return p
			}
		}
	}
	return nil
}

// cancel withdraws a plan. answered is whether plan returned quotes; if not, the plan may
// never have been sent.
func (q *planQueue) cancel(plan requestPlan, answered bool) {
	plan.cancelled = true
	cancellation := newQueuedPlan(plan)
	if answered {
		q.add(cancellation)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.findOutstanding(plan.Request); p != nil {
		p.cancellation = cancellation
		return
	}
	if q.takeLateAnswer(plan.Request) != nil {
		q.waiting = append(q.waiting, cancellation)
		q.sendNext()
	}
}

// keepLateAnswer keeps a plan that was given up before its answer arrived: its request may not
// have asked for the answer, or cancelled the plan, yet. The caller must hold the lock.
func (q *planQueue) keepLateAnswer(p *queuedPlan) {
	p.answeredAt = q.now()
	q.lateAnswers = slices.DeleteFunc(q.lateAnswers, func(other *queuedPlan) bool {
		return p.answeredAt.Sub(other.answeredAt) >= lateAnswerKept
	})
	if len(q.lateAnswers) >= maxLateAnswers {
		q.lateAnswers = slices.Delete(q.lateAnswers, 0, 1)
	}
	q.lateAnswers = append(q.lateAnswers, p)
}

// takeLateAnswer removes and returns the plan of a request whose late answer is kept; nil if
// there is none. The caller must hold the lock.
func (q *planQueue) takeLateAnswer(request string) *queuedPlan {
	for i, p := range q.lateAnswers {
		if p.Request == request {
			q.lateAnswers = slices.Delete(q.lateAnswers, i, i+1)
			return p
		}
	}
	return nil
}

func newQueuedPlan(p requestPlan) *queuedPlan {
	return &queuedPlan{requestPlan: p, quotes: make(chan []relay.Quote, 1)}
}

func (q *planQueue) add(p *queuedPlan) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, p)
	q.sendNext()
}

// giveUp drops a plan that nothing waits for any more because ctx is done, unless it has been
// sent.
func (q *planQueue) giveUp(ctx context.Context, p *queuedPlan) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p.givenUp = true
	q.waiting = slices.DeleteFunc(q.waiting, func(other *queuedPlan) bool { return other == p })
	if deadline, ok := ctx.Deadline(); ok && ctx.Err() == context.DeadlineExceeded {
		q.window.timedOut(time.Since(deadline))
		q.unanswered++
		q.logLate()
	}
}

// sendNext sends the waiting plans if the window is open. The caller must hold the lock.
func (q *planQueue) sendNext() {
	if len(q.waiting) == 0 || !q.window.open() {
		return
	}
	id := q.window.sent(q.now())
	q.outstanding[id], q.waiting = q.waiting, nil
	go q.exchange(id, q.outstanding[id])
}

// begun records that a message is being written. On a busy machine 96 of 7,257 messages were
// written more than 50 ms after they had been queued, up to 0.35 s.
func (q *planQueue) begun(id int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window.begun(id, q.now())
}

// observe notes every stallTick that this node runs, until ctx is done.
func (q *planQueue) observe(ctx context.Context) {
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.mu.Lock()
			q.window.observe(q.now())
			q.mu.Unlock()
		}
	}
}

// exchange sends a message and distributes its answer.
func (q *planQueue) exchange(id int, plans []*queuedPlan) {
	q.begun(id)
	message := make([]requestPlan, len(plans))
	for i, p := range plans {
		message[i] = p.requestPlan
	}
	ctx, cancel := context.WithTimeout(context.Background(), planMessageTimeout)
	defer cancel()
	go q.observe(ctx)
	answers, err := q.send(ctx, message)
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.outstanding, id)
	q.window.ended(id, err == nil)
	if err != nil {
		q.log.Debug().Int("plans", len(plans)).Err(err).Msg("items: planning stages at a member failed")
		answers = make([][]relay.Quote, len(plans))
	}
	q.distribute(plans, answers)
	q.sendNext()
}

// distribute passes on the answers to the first plans of a message, and lets the others wait
// for the next one. The caller must hold the lock.
func (q *planQueue) distribute(plans []*queuedPlan, answers [][]relay.Quote) {
	var again []*queuedPlan
	for i, p := range plans {
		switch {
		case i < len(answers):
			p.quotes <- answers[i]
			switch {
			case p.cancellation != nil:
				again = append(again, p.cancellation)
			case p.givenUp && !p.awaited && answers[i] != nil:
				q.keepLateAnswer(p)
			}
		case p.givenUp:
			p.quotes <- nil
		default:
			again = append(again, p)
		}
	}
	q.waiting = append(again, q.waiting...)
}

// full reports whether a plan would have to wait for an earlier message.
func (q *planQueue) full() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.window.open()
}

// leastBacklog returns the least that the backlog of a service can be while its coordinator is
// late: how late it is. It is 0 if the coordinator answers in time. An earlier answer is not added,
// since the targets work off what it counted while the coordinator is late.
func (q *planQueue) leastBacklog() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.window.observe(now)
	return q.window.delay(now)
}

// logLate logs that plans were not answered in time, at most once per lateLogInterval. The
// caller must hold the lock.
func (q *planQueue) logLate() {
	now := q.now()
	if now.Sub(q.loggedAt) < lateLogInterval {
		return
	}
	q.log.Info().Int("unanswered", q.unanswered).Int("waiting", len(q.waiting)).Int("outstanding", len(q.outstanding)).Int("overtaken", q.window.overtaken()).
		Dur("delay", q.window.delay(now)).Msg("items: coordinator is late")
	q.loggedAt, q.unanswered = now, 0
}
