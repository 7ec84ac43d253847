// Package catalog holds the gateway's configuration: the routes and the services they
// lead to, the organisations that may use them, and the stages that run before a request.
// It performs no I/O.
//
// The package defines the meaning of a configuration independently of the platform it
// came from: durations are Go durations and sizes are in bytes. An adapter supplies the
// values, and what it could not read of a part. Each part is judged by itself: one that cannot
// be used is refused alone, and Faults names it. A Catalog is immutable and is read on every
// request without a lock.
package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind determines how often a request of a route may run and how it is answered.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run at most once per client attempt.
	AtMostOnce
	// Stream requests are answered with a stream of events.
	Stream
)

// Share is one service's share of a route's traffic.
type Share struct {
	// Service is the name of the service.
	Service string
	// Weight is the share, relative to the sum of the route's weights.
	Weight int
}

// Stage is work that must be complete before a request of the route can run.
type Stage struct {
	// Service is the name of the service that processes the stage's items.
	Service string
	// After lists the indexes in Route.Stages of the stages whose results this stage
	// reads.
	After []int
	// ResultBytes is the approximate size of one item's result.
	ResultBytes int64
}

// Route determines how requests for one path prefix of one host are served.
type Route struct {
	// Name is the route's name in logs and metrics.
	Name string
	// Host is the request host, without a port. Its case is ignored.
	Host string
	// Prefix is the path prefix of matching requests.
	Prefix string
	Kind   Kind
	// Timeout limits the time from a request's arrival to the end of its response. If 0,
	// the caller's own timeout applies.
	Timeout time.Duration
	// Objective is the latency objective: the time from a request's arrival within which
	// its response should arrive; for a stream, the time to the first event. A later
	// response is of less use. 0 if the route has none: see ObjectiveOrTimeout.
	Objective time.Duration
	// PauseLimit is the longest gap between two events of a stream that counts as on time.
	PauseLimit time.Duration
	// Priority orders requests; lower values are served first.
	Priority int
	// Split lists the services that requests are distributed over.
	Split []Share
	// MaxAttempts limits how often one request is sent to a target. With 1 or less,
	// requests are not retried.
	MaxAttempts int
	// Stages lists the work to complete before the request is sent to its service.
	Stages []Stage
	// Public routes require no key.
	Public bool
	// Resumable streams may be continued on another target.
	Resumable bool
	// Place is where the route stands in its document, and Unreadable lists its values that
	// could not be read.
	Place      string
	Unreadable []Unreadable
	// Refused says why no request of the route can be served; empty if they can.
	Refused string
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service returns the name of the service that a request with the given hash is routed
// to. It is empty if no share has a positive weight.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(hash % uint64(total))
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}

// Batch describes the targets of a service that process the items of stages in batches.
type Batch struct {
	// MaxItems is the maximum number of items in one call.
	MaxItems int
	// CallLatency is the approximate fixed duration of a call, and PerItem the time that
	// each item adds to it.
	CallLatency time.Duration
	PerItem     time.Duration
	// MemoryBytes is the memory that one target has for results; UnknownMemory if it is unknown.
	MemoryBytes int64
	// ResultTTL is how long a result is kept after its call.
	ResultTTL time.Duration
	// LinkBytesPerSecond is the rate at which results can be fetched from one target; 0
	// if unknown.
	LinkBytesPerSecond float64
}

// WarmUp describes targets that are cold when they start or become cold later. The zero
// value describes targets that are never cold.
type WarmUp struct {
	// Duration is how long a target stays cold after its start.
	Duration time.Duration
	// RequestsPerSecond is the request rate that a cold target can handle, summed over all
	// nodes; 0 means unlimited.
	RequestsPerSecond float64
}

// Service is a group of interchangeable targets.
type Service struct {
	// Name identifies the service in the configuration, in logs and in metrics.
	Name string
	// MaxConnections limits the connections to one target, summed over all nodes; 0 means
	// unlimited.
	MaxConnections int
	// Engine is set if the targets generate from prompts, and Batch if they process items
	// of stages. Plain services have neither.
	Engine bool
	Batch  *Batch
	// WarmUp limits the load of the service's targets while they are cold.
	WarmUp WarmUp
	// CopyTimePerToken is the time in which an engine copies one cached token from another
	// engine in its data centre; 0 if unknown, or if engines do not copy tokens.
	CopyTimePerToken time.Duration
	// Place is where the service stands in its document, and Unreadable lists its values that
	// could not be read.
	Place      string
	Unreadable []Unreadable
}

// Organisation is a customer, whose callers authenticate with its keys.
type Organisation struct {
	// Name identifies the organisation in the configuration and in logs.
	Name string
	// Keys are the secrets that authenticate its callers.
	Keys []string
	// Priority is the priority of its requests; lower values are served first.
	Priority int
	// Place is where the organisation stands in its document, and Unreadable lists its values
	// that could not be read.
	Place      string
	Unreadable []Unreadable
	// Refused says why no request of the organisation can be served; empty if they can.
	Refused string
}

// Limits restrict what callers may send. Limits on request headers and idle connections
// belong to the gateway's servers, which start before any catalog is available.
type Limits struct {
	// BodyBytes limits the size of a request body; 0 selects the gateway's default.
	BodyBytes int64
}

// Catalog is one version of the configuration.
type Catalog struct {
	// Version increases with each change of the configuration.
	Version  int64
	Limits   Limits
	services map[string]*Service
	routes   map[string][]*Route
	// organisations holds the organisations by their keys, and organisationCount counts them.
	organisations     map[string]*Organisation
	organisationCount int
	// needsKeys is whether the configuration has organisations at all. It may hold none, or none
	// that has a key.
	needsKeys bool
	// objectives holds the range of the objectives of the routes that have a stage at a
	// service.
	objectives map[string]objectiveRange
	// resumable holds the services of streams that may be resumed.
	resumable  map[string]bool
	routeCount int
	faults     faultList
	// unknownKeys says why a key that no organisation has may be one of the configuration's, and
	// unknownRoutes, by host, why a path without a route may have one; "" is any host.
	unknownKeys   string
	unknownRoutes map[string]string
}

// objectiveRange is the shortest and the longest of some objectives.
type objectiveRange struct{ shortest, longest time.Duration }

// Option adds to a catalog what an adapter could not read outside of its routes, services and
// organisations.
type Option func(*Catalog)

// New returns a catalog of the given parts, which it takes over. organisations is nil if the configuration has
// none, so that no route requires a key; if they have been removed one by one, it is empty.
func New(version int64, routes []*Route, services []*Service, organisations []*Organisation, limits Limits, opts ...Option) *Catalog {
	c := &Catalog{
		Version: version, Limits: limits, routeCount: len(routes),
		services:      make(map[string]*Service, len(services)),
		routes:        make(map[string][]*Route),
		organisations: make(map[string]*Organisation), organisationCount: len(organisations), needsKeys: organisations != nil,
		objectives: make(map[string]objectiveRange), resumable: make(map[string]bool), unknownRoutes: make(map[string]string),
	}
	for _, opt := range opts {
		opt(c)
	}
	for _, s := range services {
		c.addService(s)
	}
	known := make(map[match]bool, len(routes))
	for _, r := range routes {
		c.addRoute(r, known)
	}
	for _, rs := range c.routes {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, o := range organisations {
		c.addOrganisation(o)
	}
	return c
}

// ObjectiveOrTimeout returns how long a response may take to be in time: without an objective, as long
// as the request may be held. It is no measure of how soon clients give up a silent stream.
func (r *Route) ObjectiveOrTimeout() time.Duration {
	if r.Objective > 0 {
		return r.Objective
	}
	return r.Timeout
}

func (c *Catalog) addObjective(service string, objective time.Duration) {
	if objective <= 0 {
		return
	}
	known, found := c.objectives[service]
	if !found {
		known = objectiveRange{shortest: objective, longest: objective}
	}
	c.objectives[service] = objectiveRange{shortest: min(known.shortest, objective), longest: max(known.longest, objective)}
}

// ObjectiveRatio returns the ratio of the longest to the shortest objective of the routes that
// have a stage at a service; 0 if there are none.
func (c *Catalog) ObjectiveRatio(service string) float64 {
	known, found := c.objectives[service]
	if !found {
		return 0
	}
	return float64(known.longest) / float64(known.shortest)
}

// ResumableServices returns the services of streams that may be resumed, in no order.
func (c *Catalog) ResumableServices() []string { return slices.Collect(maps.Keys(c.resumable)) }

// ChangedRoutes returns the routes that an earlier catalog does not have in the same form, and those
// of it that this one does not have.
func (c *Catalog) ChangedRoutes(old *Catalog) []*Route {
	return append(c.routesNotIn(old), old.routesNotIn(c)...)
}

// routesNotIn returns the routes that another catalog does not have in the same form.
func (c *Catalog) routesNotIn(other *Catalog) []*Route {
	var list []*Route
	for host, routes := range c.routes {
		known := make(map[string]*Route, len(other.routes[host]))
		for _, r := range other.routes[host] {
			known[r.Prefix] = r
		}
		for _, r := range routes {
			if !known[r.Prefix].leadsAs(r) {
				list = append(list, r)
			}
		}
	}
	return list
}

// leadsAs reports whether a route, nil for none, leads streams as another one of its path does.
func (r *Route) leadsAs(other *Route) bool {
	return r != nil && r.Kind == other.Kind && r.Resumable == other.Resumable && slices.Equal(r.Split, other.Split) &&
		r.Timeout == other.Timeout && r.Objective == other.Objective && r.PauseLimit == other.PauseLimit
}

// HostName returns the name in a request's host, in lower case and without its port.
func HostName(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Route returns the route with the longest matching path prefix for a host, which may
// include a port. It returns nil if no route matches.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.routes[HostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Routes returns all routes, in no order.
func (c *Catalog) Routes() []*Route {
	return slices.Concat(slices.Collect(maps.Values(c.routes))...)
}

// Service returns the service with a name, or nil if there is none.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Organisation returns the organisation that a key belongs to, or nil for an unknown key.
func (c *Catalog) Organisation(key string) *Organisation { return c.organisations[key] }

// Rule: when a request needs a key.
//
// Routes that are not public require a key if the configuration has organisations, also if
// none of them has a key: whoever takes the last one away wants nobody to be let in. A wrong
// "no" opens the deployment to everybody; a wrong "yes" refuses all requests.

// NeedsKeys reports whether routes that are not public require a key.
func (c *Catalog) NeedsKeys() bool { return c.needsKeys }

// OrganisationCount returns the number of organisations.
func (c *Catalog) OrganisationCount() int { return c.organisationCount }

// KeyCount returns the number of keys of all organisations.
func (c *Catalog) KeyCount() int { return len(c.organisations) }

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int { return c.routeCount }
