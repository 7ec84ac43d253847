// Package catalog holds the configuration of the gateway: which routes lead to which
// services, which organisations may use them, and which stages come before them. It
// does no input or output.
//
// The package owns the meaning of a configuration, whichever platform it came from:
// units here are those of Go, sizes are in bytes. It relies on an adapter for the
// values. A configuration that contradicts itself is refused whole (New), and the one
// in force stays. A Catalog is immutable, and is read on every request without a lock.
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind says how often a request of a route may run and how it is answered.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run at most once for each attempt of a client.
	AtMostOnce
	// Stream requests are answered by a series of events.
	Stream
)

// Share is one service's share of a route's traffic.
type Share struct {
	// Service is the name of the service.
	Service string
	// Weight is the share, in parts of the sum of the route's weights.
	Weight int
}

// Stage is work that must be finished before a request of the route can run.
type Stage struct {
	// Service is the name of the service that works on the stage's items.
	Service string
	// After is the indexes, in Route.Stages, of the stages whose results this one
	// reads; all are lower than its own.
	After []int
	// ResultBytes is about how many bytes one item's result has.
	ResultBytes int64
}

// Route says how requests below one prefix of one host are served.
type Route struct {
	// Name is the route's name in logs and metrics.
	Name string
	// Host is the host that requests are for, without a port, in any case.
	Host string
	// Prefix is what the path of a request begins with.
	Prefix string
	Kind   Kind
	// Timeout is the longest time from a request's arrival to the end of its answer;
	// 0 for the caller's own.
	Timeout time.Duration
	// Objective is the time from a request's arrival within which an answer is worth
	// the most; for a stream, the time to its first event.
	Objective time.Duration
	// PauseLimit is the longest pause between two events of a stream that is in time.
	PauseLimit time.Duration
	// Priority is lower for requests that are served first.
	Priority int
	// Split is the services that requests are divided among; never empty.
	Split []Share
	// MaxAttempts bounds how often one request is sent to a target; 1 and less for no
	// retry.
	MaxAttempts int
	// Stages is the work to be finished before the request is sent to its service.
	Stages []Stage
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another target.
	Resumable bool
}

// Retryable says whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service returns the name of the service that a request with the given hash goes to;
// empty when no share has a weight.
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

// LastStages returns the indexes of the stages whose results no other stage reads:
// the request itself does.
func (r *Route) LastStages() []int {
	var last []int
	for i := range r.Stages {
		followed := slices.ContainsFunc(r.Stages, func(s Stage) bool { return slices.Contains(s.After, i) })
		if !followed {
			last = append(last, i)
		}
	}
	return last
}

// Batch describes the targets of a service that work on items of stages.
type Batch struct {
	// MaxItems is the most items of one call.
	MaxItems int
	// CallLatency is about how long a call takes besides its items, and PerItem how
	// long each item adds.
	CallLatency time.Duration
	PerItem     time.Duration
	// MemoryBytes is the memory of one target for results, in bytes.
	MemoryBytes int64
	// ResultTTL is how long a result is kept after its call.
	ResultTTL time.Duration
	// LinkBytesPerSecond is how fast results are fetched from one target; 0 for
	// unknown.
	LinkBytesPerSecond float64
}

// WarmUp describes targets that start cold, or turn cold later. The zero value is for
// targets that are never cold.
type WarmUp struct {
	// Duration is how long a target stays cold after its start.
	Duration time.Duration
	// RequestsPerSecond is how many requests a second a cold target bears, from all nodes
	// together; 0 for no bound.
	RequestsPerSecond float64
}

// Service is a set of targets that do the same work.
type Service struct {
	// Name is the service's name, also in logs and metrics.
	Name string
	// MaxConnections is how many connections one target takes from all nodes
	// together; 0 for no bound.
	MaxConnections int
	// Engine says that the targets generate from prompts. Batch is set when they work
	// on items of stages. Plain services have neither.
	Engine bool
	Batch  *Batch
	// WarmUp bounds what a target of the service takes while it is cold.
	WarmUp WarmUp
	// CopyTimePerToken is the time in which an engine copies a cached token from another in its
	// data centre; 0 for unknown, or when engines do not copy.
	CopyTimePerToken time.Duration
}

// Organisation is a holder of keys.
type Organisation struct {
	// Name is the organisation's name, also in logs.
	Name string
	// Keys are the secrets by which callers show that they belong to it.
	Keys []string
	// Priority is that of its requests; it is lower for those that are served first.
	Priority int
}

// Limits bound what callers may send. The gateway's servers have bounds of their own
// for heads and idle connections, since they start before any catalog is known.
type Limits struct {
	// BodyBytes bounds the body of a request, in bytes; 0 for the gateway's default.
	BodyBytes int64
}

// Catalog is one version of the configuration.
type Catalog struct {
	// Version rises with each change of the configuration.
	Version       int64
	Limits        Limits
	services      map[string]*Service
	routes        map[string][]*Route
	organisations map[string]*Organisation
	routeCount    int
}

// New returns a catalog of the parts. It returns an error for a route that leads to no
// service or has a stage that comes after itself or a later one.
func New(version int64, routes []*Route, services []*Service, organisations []*Organisation, limits Limits) (*Catalog, error) {
	c := &Catalog{
		Version: version, Limits: limits, routeCount: len(routes),
		services:      make(map[string]*Service, len(services)),
		routes:        make(map[string][]*Route),
		organisations: make(map[string]*Organisation),
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		if err := c.add(r); err != nil {
			return nil, err
		}
	}
	for _, rs := range c.routes {
		slices.SortFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, o := range organisations {
		for _, k := range o.Keys {
			c.organisations[k] = o
		}
	}
	return c, nil
}

func (c *Catalog) add(r *Route) error {
	if len(r.Split) == 0 {
		return errors.Errorf("route %q leads to no service", r.Name)
	}
	for i, s := range r.Stages {
		for _, a := range s.After {
			if a < 0 || a >= i {
				return errors.Errorf("route %q: stage %d comes after stage %d", r.Name, i, a)
			}
		}
	}
	host := strings.ToLower(r.Host)
	c.routes[host] = append(c.routes[host], r)
	return nil
}

// Route returns the route of the host, with or without a port, that has the longest
// prefix of the path; nil for none.
func (c *Catalog) Route(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name; nil for none.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Organisation returns the holder of a key; nil for an unknown key.
func (c *Catalog) Organisation(key string) *Organisation { return c.organisations[key] }

// NeedsKeys says whether any organisation is known, so that routes that are not
// public need a key.
func (c *Catalog) NeedsKeys() bool { return len(c.organisations) > 0 }

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int { return c.routeCount }
