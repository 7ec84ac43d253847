package relay

import (
	"context"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/internal/gateway/streamorigin"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// toldTimeout bounds how long the first event of a stream waits until a member knows which
	// target began the stream. Members are told when the request is sent, so that their answers
	// usually come before the first event.
	toldTimeout = 50 * time.Millisecond
	// originMargin is how much longer than its client waits the origin of a stream is kept.
	originMargin = time.Second
)

// streamOrigin is the software version of the targets that may get the request of a stream. Targets
// do not check whether they understand a stream of another version, so that it goes on only at
// targets of the version that began it.
type streamOrigin struct {
	// begun is true once the client has a part of the stream.
	begun bool
	// version is that of the target that began it; unknown if a member of an earlier version
	// reported that target. Before the stream has begun it is the one that it has to begin at;
	// unknown for any.
	version directory.Version
}

// begin records the target that began the stream, unless it has begun already.
func (o *streamOrigin) begin(t directory.Target) {
	if !o.begun {
		o.begun, o.version = true, t.Version
	}
}

// mayGoTo reports whether a target may get the request.
func (o *streamOrigin) mayGoTo(t directory.Target) bool {
	if o.begun && !o.version.Known() {
		return false
	}
	return !o.version.Known() || t.Version == o.version
}

// nowhere reports whether no target may get the request since it is not known which began it.
func (o *streamOrigin) nowhere() bool { return o.begun && !o.version.Known() }

// resumable reports whether the request's client may take its stream up.
func (r *resolvedRequest) resumable() bool {
	return r.route.Kind == catalog.Stream && r.route.Resumable
}

// assigned returns the request's stream with the version at which it has to begin, by the targets as
// they are now.
func (r *resolvedRequest) assigned(streams StreamOrigins) streamOrigin {
	return r.assign(r.stream, streams)
}

// assign returns a stream of the request as assigned does.
func (r *resolvedRequest) assign(stream streamOrigin, streams StreamOrigins) streamOrigin {
	if r.resumable() && !stream.begun {
		stream.version = streams.Assign(r.service.Name, streamorigin.KeyOf(r.org.Name, r.req.ID))
	}
	return stream
}

// takesUp reports whether the client has a part of the stream from an earlier request.
func (r *resolvedRequest) takesUp() bool {
	return r.route.Kind == catalog.Stream && r.req.LastEvent != ""
}

// tellOrigin tells members at which target a stream begins that clients may take up. told is
// nil if there is nothing to tell.
func (s *sender) tellOrigin(target directory.Target) (told <-chan struct{}) {
	if !s.resumable() || s.stream.begun {
		return nil
	}
	origin := streamorigin.Origin{Service: s.service.Name, Version: target.Version, Attempt: len(s.outcome.Attempts)}
	return s.streams.Tell(streamorigin.KeyOf(s.org.Name, s.req.ID), origin, s.keepOrigin(s.now()))
}

// keepOrigin returns for how long the origin of the request's stream is kept.
func (r *resolvedRequest) keepOrigin(now time.Time) time.Duration {
	return max(r.req.Timeout, r.times.ResponseDeadline.Sub(now)) + originMargin
}

// refuseUnheard refuses a request that begins a stream if its client could not take the stream up at the
// right version: this node hears neither from the source nor from members. Other nodes may.
func (s *Server) refuseUnheard(ctx context.Context, r *resolvedRequest) *verdict.Error {
	if !r.resumable() || r.stream.begun {
		return nil
	}
	if s.cfg.Streams.MayBegin(ctx, r.service.Name, streamorigin.KeyOf(r.org.Name, r.req.ID), r.keepOrigin(s.cfg.Now())) {
		return nil
	}
	return s.refuseStream(r, verdict.ReasonNotReady, "the targets may have changed unseen, and no member answers")
}

// awaitTold waits for toldTimeout until a member knows where the stream begins, so that the
// client can take it up at another node if this one ends. Without that it goes on here all the
// same.
func awaitTold(ctx context.Context, told <-chan struct{}) {
	if told == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, toldTimeout)
	defer cancel()
	select {
	case <-told:
	case <-ctx.Done():
	}
}

// refuseKeptDraining refuses a new stream if this node keeps all targets draining at which it has to
// begin, although their entries say that they are ready. A node that started since may use them, and
// would take the stream for one of theirs if it began elsewhere. Without this the request would run
// its stages first.
func (s *Server) refuseKeptDraining(r *resolvedRequest) *verdict.Error {
	list := s.cfg.View().Directory.Service(r.service.Name)
	if !slices.ContainsFunc(list, directory.Target.DrainTakenBack) {
		return nil
	}
	stream := r.assigned(s.cfg.Streams)
	kept := func(t directory.Target) bool { return t.DrainTakenBack() && t.EntryVersion() == stream.version }
	if !stream.version.Known() || !slices.ContainsFunc(list, kept) || s.anyMayGet(r, stream) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "the stream has to begin at version %s, whose targets are draining for this node", stream.version).
		WithRetryAfter(retryAfter(r.times.ResponseDeadline.Sub(s.cfg.Now())))
}

// resumeStream binds a request that takes a stream up to the service and the version of the
// target that began it. It refuses the request if they are unknown, or if no target is left
// that may continue the stream. One that begins is refused as refuseKeptDraining says.
func (s *Server) resumeStream(ctx context.Context, r *resolvedRequest, outcome *Outcome) *verdict.Error {
	if !r.takesUp() {
		return s.refuseKeptDraining(r)
	}
	key := streamorigin.KeyOf(r.org.Name, r.req.Resumes)
	origin, found := s.cfg.Streams.Find(ctx, key)
	if !found {
		origin, found = s.cfg.Streams.FindRun(r.req.Resumes)
	}
	if !found {
		v, unknown := s.inferVersion(ctx, r, key)
		if unknown != "" {
			return s.refuseStream(r, verdict.ReasonStreamUnknown, "no node knows which version began the stream of request "+r.req.Resumes+", and "+unknown)
		}
		origin = streamorigin.Origin{Service: r.service.Name, Version: v}
		outcome.Inferred = true
	}
	if !origin.Version.Known() {
		return s.refuseStream(r, verdict.ReasonStreamUnknown, "the version that began the stream of request "+r.req.Resumes+" was not known to the node that sent it")
	}
	outcome.Software = origin.Version.String()
	if !leadsTo(r.route, origin.Service) {
		return s.refuseStream(r, verdict.ReasonVersionGone, "the route no longer leads to "+origin.Service+", which began the stream")
	}
	r.toService(s.cfg.View().Catalog, origin.Service, outcome)
	r.stream = streamOrigin{begun: true, version: origin.Version}
	if !s.anyMayGet(r, r.stream) {
		return s.refuseStream(r, verdict.ReasonVersionGone, "no target of version "+outcome.Software+" is left, which began the stream")
	}
	return nil
}

// inferVersion returns the version at which a stream must have begun of which no node knows, or why
// that is not known.
func (s *Server) inferVersion(ctx context.Context, r *resolvedRequest, key streamorigin.Key) (v directory.Version, unknown string) {
	if len(r.route.Split) != 1 || !r.route.Resumable {
		return 0, "its route leads to several services, or its streams are not resumed"
	}
	seen := s.timeouts.of(r.route.Name).With(r.req.Timeout, true)
	return s.cfg.Streams.Infer(ctx, streamorigin.Lost{
		Key: key, Named: r.req.Resumes != "", Service: r.service.Name, Host: r.req.Host, Path: r.req.Path,
		Age: rules.StreamAge(rules.StreamAgeInput{
			Clients: seen, RouteTimeout: r.route.Timeout, Left: r.req.Timeout, Held: s.cfg.Now().Sub(r.req.Arrived),
			Most: streamorigin.MaxAge(r.route, seen.Longest),
		}),
	})
}

// anyMayGet reports whether a usable target may get a stream of a request.
func (s *Server) anyMayGet(r *resolvedRequest, stream streamOrigin) bool {
	now := s.cfg.Now()
	return slices.ContainsFunc(s.cfg.View().Directory.Service(r.service.Name), func(t directory.Target) bool {
		return t.Usable(now) && stream.mayGoTo(t)
	})
}

// leadsTo reports whether a part of a route's traffic goes to a service.
func leadsTo(route *catalog.Route, service string) bool {
	return slices.ContainsFunc(route.Split, func(s catalog.Share) bool { return s.Service == service && s.Weight > 0 })
}

// refuseStream refuses a request whose stream no target may continue now. Another node may know
// the stream, and targets of its version may start again.
func (s *Server) refuseStream(r *resolvedRequest, reason verdict.Reason, text string) *verdict.Error {
	return verdict.New(verdict.NotRun, reason, "%s", text).WithRetryAfter(retryAfter(r.times.ResponseDeadline.Sub(s.cfg.Now())))
}
