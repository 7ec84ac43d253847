package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/streamorigin"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
)

const (
	// originCopies is how many members are told where a stream began. A stream is lost to its
	// client if they and the node that began it end together.
	originCopies = 2
	// originTellTries is how many members are tried until originCopies know.
	originTellTries = 4
	// originsAsked is how many members are asked at first: those that were told, and one more as
	// the node that told them left itself out of the order.
	originsAsked = originCopies + 1
	// originsAskedMore is how many are asked if none of them knows, since members that did not
	// answer, joined or left shift the order.
	originsAskedMore = 8
	// originTimeout bounds a message to one member.
	originTimeout = 250 * time.Millisecond
	// originFindTimeout is how long all answers of some members are waited for. One of another data
	// centre answers within some 10 ms. Later answers are waited for while none has known the stream.
	originFindTimeout = 60 * time.Millisecond
	// originAvoidTime is how long a member that did not answer is passed over.
	originAvoidTime = time.Second
	// maxOriginKeep bounds the time for which an origin is kept, whatever a client waits.
	maxOriginKeep = 2 * time.Minute
)

// streamOrigins implements relay.StreamOrigins: it keeps where streams began, for this node and
// for members, tells members and asks them.
type streamOrigins struct {
	now     func() time.Time
	log     zerolog.Logger
	members *members
	peers   *peerClient
	metrics *metrics
	// late holds the members that did not answer lately, earlier those of an earlier version.
	late, earlier *avoidedMembers

	// confirm makes sure that the view has all that the source knew when it was called.
	confirm func(ctx context.Context) error
	// forgotten returns the newest revision up to one whose changes the source has forgotten, and
	// when it was asked. The source remembers each change for reach.
	forgotten func(ctx context.Context, last view.Revision) (view.Revision, time.Time, error)
	reach     time.Duration
	// behind returns how far the view of this node or of a member was behind the source at most since
	// a time.
	behind func(since time.Time) time.Duration
	// confirmed reports whether the view was confirmed lately.
	confirmed func(ctx context.Context) bool

	mu    sync.Mutex
	table *streamorigin.Table

	// historyMu guards history and runs.
	historyMu sync.Mutex
	history   *streamorigin.History
	runs      *streamorigin.Runs
}

// newStreamOrigins returns the origins of a node that starts now; opts are those of its history.
func newStreamOrigins(now func() time.Time, log zerolog.Logger, members *members, peers *peerClient, m *metrics, opts ...streamorigin.Option) *streamOrigins {
	return &streamOrigins{
		now: now, log: log, members: members, peers: peers, metrics: m, table: streamorigin.NewTable(),
		late: newAvoidedMembers(now), earlier: newAvoidedMembers(now), history: streamorigin.NewHistory(now(), opts...), runs: streamorigin.NewRuns(),
		confirm: func(context.Context) error { return nil }, behind: members.worstViewAge,
		confirmed: func(context.Context) bool { return true },
	}
}

// observe records a change of the view.
func (s *streamOrigins) observe(now time.Time, old, next *view.View, ch view.Changes) {
	s.historyMu.Lock()
	defer s.historyMu.Unlock()
	s.history.Observe(now, old, next, ch)
}

// extend records what the source still knew of the time before this process when it was asked, which
// is all there was if complete.
func (s *streamOrigins) extend(asked time.Time, complete bool, ch view.Changes) {
	s.historyMu.Lock()
	defer s.historyMu.Unlock()
	s.history.Extend(s.now(), asked, s.reach, complete, ch)
}

// Assign implements relay.StreamOrigins.
func (s *streamOrigins) Assign(service string, k streamorigin.Key) directory.Version {
	s.historyMu.Lock()
	defer s.historyMu.Unlock()
	return s.history.Assign(s.now(), service, k)
}

// Infer implements relay.StreamOrigins.
func (s *streamOrigins) Infer(ctx context.Context, l streamorigin.Lost) (directory.Version, string) {
	if err := s.confirm(ctx); err != nil {
		s.log.Info().Err(err).Msg("streams: confirming the view failed")
		return 0, "the targets may have changed unseen"
	}
	l.Assigned = s.members.allAssign()
	l.Behind = s.behind(l.From(s.now())) + reportLag
	v, unknown := s.infer(l)
	if unknown == "" || !s.narrow(ctx, l) {
		return v, unknown
	}
	return s.infer(l)
}

func (s *streamOrigins) infer(l streamorigin.Lost) (directory.Version, string) {
	s.historyMu.Lock()
	defer s.historyMu.Unlock()
	return s.history.Infer(s.now(), l)
}

// narrow learns which of the changes from before this process happened before a lost stream can have
// begun, and reports whether it asked: what the source has forgotten is older than its reach.
func (s *streamOrigins) narrow(ctx context.Context, l streamorigin.Lost) bool {
	s.historyMu.Lock()
	last, some := s.history.Earlier(l.From(s.now()))
	s.historyMu.Unlock()
	if !some || s.forgotten == nil {
		return false
	}
	forgotten, asked, err := s.forgotten(ctx, last)
	if err != nil {
		s.log.Info().Err(err).Msg("streams: asking what the source has forgotten failed")
		return false
	}
	s.historyMu.Lock()
	defer s.historyMu.Unlock()
	s.history.Narrow(forgotten, asked.Add(-s.reach))
	return true
}

// put keeps an origin for at most maxOriginKeep.
func (s *streamOrigins) put(k streamorigin.Key, o streamorigin.Origin, keep time.Duration, own bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Put(s.now(), k, o, min(keep, maxOriginKeep), own)
}

// find returns an origin that this node keeps.
func (s *streamOrigins) find(k streamorigin.Key) (o streamorigin.Origin, own, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Find(s.now(), k)
}

// prune drops what has expired, and counts what is left.
func (s *streamOrigins) prune() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Prune(s.now())
	s.metrics.streamOrigins.Update(float64(s.table.Len()))
	s.historyMu.Lock()
	defer s.historyMu.Unlock()
	s.runs.Prune(s.now())
}

// candidates returns the members that keep an origin, or that would next, in order.
func (s *streamOrigins) candidates(k streamorigin.Key, n int) []string {
	inTime, known := s.late.accept(), s.earlier.accept()
	return s.members.nearest(uint64(k), n, func(member string) bool { return inTime(member) && known(member) })
}

// otherCandidates returns more candidates than some, those that were late included: they may be the
// only ones that keep an origin.
func (s *streamOrigins) otherCandidates(k streamorigin.Key, n int, some []string) []string {
	known := s.earlier.accept()
	return s.members.nearest(uint64(k), n, func(member string) bool { return known(member) && !slices.Contains(some, member) })
}

// passOver passes a member over for a while that failed to answer.
func (s *streamOrigins) passOver(member string, err error) {
	if errors.Is(err, errUnsupported) {
		s.earlier.avoid(member, unsupportedMemberTime, err)
		return
	}
	s.late.avoid(member, originAvoidTime, err)
}

// Tell implements relay.StreamOrigins.
func (s *streamOrigins) Tell(k streamorigin.Key, o streamorigin.Origin, keep time.Duration) <-chan struct{} {
	s.put(k, o, keep, true)
	told := make(chan struct{})
	members := s.candidates(k, originTellTries)
	go s.tellMembers(members, k, o, keep, told)
	return told
}

// unbegunAttempt is the attempt of a stream that has begun nowhere yet, before all others.
const unbegunAttempt = -1

// MayBegin implements relay.StreamOrigins.
func (s *streamOrigins) MayBegin(ctx context.Context, service string, k streamorigin.Key, keep time.Duration) bool {
	if s.confirmed(ctx) || s.members.peakSize() <= 1 {
		return true
	}
	// Until it has begun, its version is not known: a node that finds it refuses it.
	o := streamorigin.Origin{Service: service, Attempt: unbegunAttempt}
	told := make(chan bool, originTellTries)
	members := s.candidates(k, originTellTries)
	if len(members) == 0 {
		// All were late: a pause of this node says nothing of them.
		members = s.otherCandidates(k, originTellTries, nil)
	}
	for _, member := range members {
		go func() { told <- s.tell(member, k, o, keep) }()
	}
	for range members {
		if <-told {
			return true
		}
	}
	s.log.Info().Int("members", len(members)).Msg("streams: a new stream is refused, as neither source nor members answer")
	return false
}

// tellMembers tells originCopies of some members, in their order, and closes told when the first
// one knows or none can be told.
func (s *streamOrigins) tellMembers(members []string, k streamorigin.Key, o streamorigin.Origin, keep time.Duration, told chan struct{}) {
	next := make(chan string, len(members))
	for _, member := range members {
		next <- member
	}
	close(next)
	closeTold := sync.OnceFunc(func() { close(told) })
	defer closeTold()
	var tellers sync.WaitGroup
	for range originCopies {
		tellers.Go(func() {
			for member := range next {
				if s.tell(member, k, o, keep) {
					closeTold()
					return
				}
			}
		})
	}
	tellers.Wait()
}

// tell tells one member, and reports whether it knows.
func (s *streamOrigins) tell(member string, k streamorigin.Key, o streamorigin.Origin, keep time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), originTimeout)
	defer cancel()
	err := s.peers.tellOrigin(ctx, member, encodeOrigin(k, o, keep))
	if err != nil {
		s.log.Debug().Str("member", member).Err(err).Msg("streams: telling a member where a stream began failed")
		s.passOver(member, err)
	}
	return err == nil
}

// Find implements relay.StreamOrigins.
func (s *streamOrigins) Find(ctx context.Context, k streamorigin.Key) (streamorigin.Origin, bool) {
	best, own, found := s.find(k)
	if own {
		return best, true
	}
	q := originSearch{best: best, found: found, answers: make(chan message.StreamOrigin, originsAsked+originsAskedMore)}
	first := s.candidates(k, originsAsked)
	s.ask(ctx, first, k, &q)
	q.awaitAll(ctx, originFindTimeout)
	if q.found {
		return q.best, true
	}
	s.ask(ctx, s.otherCandidates(k, originsAskedMore, first), k, &q)
	q.awaitAll(ctx, originFindTimeout)
	q.awaitFirst(ctx)
	return q.best, q.found
}

// ask asks some members. Those that fail to answer are passed over for a while, but not those whose
// answer the caller no longer waits for.
func (s *streamOrigins) ask(ctx context.Context, members []string, k streamorigin.Key, q *originSearch) {
	q.pending += len(members)
	for _, member := range members {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), originTimeout)
			defer cancel()
			answer, err := s.peers.findOrigin(ctx, member, k)
			if err != nil {
				s.log.Debug().Str("member", member).Err(err).Msg("streams: asking a member where a stream began failed")
				s.passOver(member, err)
			}
			q.answers <- answer
		}()
	}
}

// originSearch is what the members that were asked about a stream have answered.
type originSearch struct {
	answers chan message.StreamOrigin
	// pending is how many have not answered.
	pending int
	// best is the origin of the latest attempt in the answers, if found.
	best  streamorigin.Origin
	found bool
}

// next reads one answer, and reports whether there was one before ctx ended.
func (q *originSearch) next(ctx context.Context) bool {
	select {
	case answer := <-q.answers:
		q.pending--
		if o, known := decodeOrigin(answer); known && (!q.found || o.Attempt > q.best.Attempt) {
			q.best, q.found = o, true
		}
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitAll reads the answers that come within a time.
func (q *originSearch) awaitAll(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for q.pending > 0 && q.next(ctx) {
	}
}

// awaitFirst reads answers until one of them knows the stream.
func (q *originSearch) awaitFirst(ctx context.Context) {
	for q.pending > 0 && !q.found && q.next(ctx) {
	}
}

// encodeOrigin encodes an origin that is told to a member.
func encodeOrigin(k streamorigin.Key, o streamorigin.Origin, keep time.Duration) message.StreamOrigin {
	return message.StreamOrigin{
		Key: k.String(), Service: o.Service, Version: o.Version.String(), Attempt: o.Attempt, KeepMs: int(keep.Milliseconds()),
	}
}

// decodeOrigin returns the origin in a message, and whether there is one.
func decodeOrigin(m message.StreamOrigin) (o streamorigin.Origin, known bool) {
	o = streamorigin.Origin{Service: m.Service, Version: directory.VersionOf(m.Version), Attempt: m.Attempt}
	return o, m.Service != ""
}
