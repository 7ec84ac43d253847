package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// resolvedRequest is a request with the part of the configuration that applies to it. Apart
// from overShare and stream it does not change once the request is admitted.
type resolvedRequest struct {
	req *Request
	// begun is when this node began to decide on the request.
	begun   time.Time
	route   *catalog.Route
	service *catalog.Service
	// org is the holder of the client's API key; the zero value for none.
	org catalog.Organisation
	// digest identifies the work that the request asks for.
	digest quarantine.Digest
	// partDigests identify the parts of the prompt that other requests of the organisation may
	// share.
	partDigests []quarantine.Digest
	// trial is true if the request is quarantined and may be sent once.
	trial bool
	// stages has one entry for each stage of the route.
	stages rules.Stages
	times  rules.Times
	// stream is what began the stream; it is begun by the first part of the response.
	stream streamOrigin
	// overShare is set if the request is refused while its organisation is over its share.
	overShare bool
}

// resolve finds the route, the organisation and the service of a request, and records in
// the outcome those that it found.
func (s *Server) resolve(req *Request, outcome *Outcome) (*resolvedRequest, *verdict.Error) {
	v := s.cfg.View()
	c := v.Catalog
	if c == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "no configuration is available yet").
			WithRetryAfter(notReadyRetryAfter(req.Timeout))
	}
	outcome.Version, outcome.Revision = c.Version, int64(v.Revision)
	r := &resolvedRequest{req: req, begun: s.cfg.Now(), route: c.Route(req.Host, req.Path)}
	outcome.Route = r.route
	if err := r.refused(c); err != nil {
		return nil, err
	}
	if !r.route.Public && c.NeedsKeys() {
		org := c.Organisation(req.Key)
		if err := r.unauthorised(c, org); err != nil {
			return nil, err
		}
		r.org = *org
		outcome.Organisation = org.Name
	}
	if n := r.route.CountItems(req.Items); s.cfg.MaxItems > 0 && n > s.cfg.MaxItems {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the request has %d items of stages, %d are allowed", n, s.cfg.MaxItems)
	}
	r.toService(c, r.route.Service(xxhash.Sum64String(req.ID)), outcome)
	r.stages = stagesOf(c, r.route, req.Items)
	r.times = rules.NewTimes(rules.TimesInput{
		Arrived: req.Arrived, ClientTimeout: req.Timeout, RouteTimeout: r.route.Timeout, Objective: r.route.ObjectiveOrTimeout(),
		TakenUp: r.takesUp(),
		Prefill: s.prefills.firstEventTime(r.service.Name, req.Tokens),
	})
	return r, nil
}

// refused returns an error if the request has no route, or one that cannot be served.
func (r *resolvedRequest) refused(c *catalog.Catalog) *verdict.Error {
	switch {
	case r.route != nil && r.route.Refused != "":
		return r.unusable("the route cannot be served: %s", r.route.Refused)
	case r.route != nil:
		return nil
	}
	if why := c.MayHaveRoute(r.req.Host); why != "" {
		return r.unusable("the configuration may have a route for the request that cannot be read: %s", why)
	}
	return verdict.New(verdict.NotRun, verdict.ReasonNotFound, "no route matches the request")
}

// unauthorised returns an error if a request's organisation, nil for none, may not use its route.
func (r *resolvedRequest) unauthorised(c *catalog.Catalog, org *catalog.Organisation) *verdict.Error {
	switch {
	case org != nil && org.Refused != "":
		return r.unusable("the organisation cannot be served: %s", org.Refused)
	case org != nil:
		return nil
	}
	if why := c.MayHaveKey(); why != "" && r.req.Key != "" {
		return r.unusable("the API key may be one that cannot be read: %s", why)
	}
	return verdict.New(verdict.NotRun, verdict.ReasonUnauthorised, "the API key is unknown")
}

// unusable returns the error of a request that needs a part of the configuration which cannot be used.
func (r *resolvedRequest) unusable(format, why string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonNoTarget, format, why).WithRetryAfter(notReadyRetryAfter(r.req.Timeout))
}

// toService sets the service that the request goes to, and what depends on it. The route's
// traffic split is keyed by the request ID, so that a retry with the same ID goes to the same
// service.
func (r *resolvedRequest) toService(c *catalog.Catalog, name string, outcome *Outcome) {
	r.service = c.Service(name)
	if r.service == nil {
		r.service = &catalog.Service{Name: name}
	}
	outcome.Service = name
	r.digest = quarantine.DigestOf(r.org.Name, name, r.req.Content)
	outcome.Digest = r.digest
	r.partDigests = nil
	for _, part := range shareable(r.req.Parts) {
		r.partDigests = append(r.partDigests, quarantine.PartDigestOf(r.org.Name, name, part.ID))
	}
}

// stagesOf returns the stages of a route with the items of one request.
func stagesOf(c *catalog.Catalog, route *catalog.Route, items []int) rules.Stages {
	stages := make(rules.Stages, len(route.Stages))
	for i, s := range route.Stages {
		stages[i].After = s.After
		if i < len(items) {
			stages[i].Items = max(items[i], 0)
		}
		if service := c.Service(s.Service); service != nil && service.Batch != nil {
			b := service.Batch
			stages[i].Time = rules.BatchTime(b.CallLatency, b.PerItem, b.MaxItems)
			stages[i].BytesPerSecond = b.LinkBytesPerSecond
		}
	}
	return stages
}

// stageDigest identifies the work of one of the request's stages.
func (r *resolvedRequest) stageDigest(i int) quarantine.Digest {
	return quarantine.StageDigestOf(r.org.Name, r.route.Stages[i].Service, i, r.req.Content)
}

// digests returns the digests of the request itself and of the items of its stages.
func (r *resolvedRequest) digests() []quarantine.Digest {
	list := []quarantine.Digest{r.digest}
	for i, stage := range r.stages {
		for item := range stage.Items {
			list = append(list, r.stageDigest(i).Item(item))
		}
	}
	return list
}

// priority returns the priority of the request's prompt at targets.
func (r *resolvedRequest) priority() int {
	return rules.EnginePriority(r.org.Priority, r.route.Priority)
}

// stagePriority returns the priority of the request's items.
func (r *resolvedRequest) stagePriority() int { return rules.StagePriority(r.priority(), r.takesUp()) }
