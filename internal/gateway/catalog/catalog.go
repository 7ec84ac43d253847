// Package catalog holds the configuration of the gateway: which routes lead to
// which services, who may use them and which work comes before them.
//
// A Catalog is immutable. It is read on every request without a lock.
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
	// Repeatable requests may run more than once.
	Repeatable Kind = iota
	// Once requests run at most once for each attempt of a client.
	Once
	// Stream requests are answered by a series of events.
	Stream
)

// Share is one service's part of a route's traffic.
type Share struct {
	Service string
	Weight  int
}

// Stage is work that must be finished before a request of the route can run.
type Stage struct {
	Service string
	// After names the stages whose results this one needs.
	After []int
	// ResultBytes is roughly the size of one result.
	ResultBytes int64
}

// Route says how requests below one prefix of one host are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is held.
	Timeout time.Duration
	// Objective is the time within which an answer is worth the most; for a
	// stream, the time to its first event.
	Objective time.Duration
	// PauseLimit is the longest pause between events that is in time.
	PauseLimit time.Duration
	// Priority is lower for requests that are served first.
	Priority int
	Split    []Share
	// MaxAttempts bounds the targets that one request may be sent to.
	MaxAttempts int
	Stages      []Stage
	Public      bool
	// Resumable streams may be continued at another target.
	Resumable bool
}

// MayRepeat says whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// Service returns the service that a request with the given hash goes to.
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

// LastStages returns the stages that no other stage comes after.
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

// Engine describes the targets of a service that generate from a prompt.
type Engine struct {
	Slots       int
	CacheTokens int
	// TokenBytes is the memory of one token.
	TokenBytes float64
	// Backups says whether a run's memory can be copied as it grows.
	Backups bool
	// HandleTTL is how long a copy outlives its run.
	HandleTTL time.Duration
}

// Batch describes the targets of a service that work on items of stages.
type Batch struct {
	// Slots is how many calls one target works on at a time.
	Slots int
	// Queue is how many calls may wait at one target.
	Queue int
	// MaxItems is the most items of one call.
	MaxItems int
	// CallLatency and PerItem are about how long one call takes.
	CallLatency time.Duration
	PerItem     time.Duration
	// MemoryBytes is the memory of one target for results.
	MemoryBytes int64
	// ResultTTL is how long a result is kept after its call.
	ResultTTL time.Duration
}

// Service is a set of targets that do the same work.
type Service struct {
	Name string
	// MaxConnections is how many connections one target takes from all nodes.
	MaxConnections int
	Engine         *Engine
	Batch          *Batch
}

// Organisation is a holder of keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version       int64
	Limits        Limits
	services      map[string]*Service
	routes        map[string][]*Route
	organisations map[string]*Organisation
	routeCount    int
}

// New checks the parts and returns a catalog of them.
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

// Route returns the route with the longest prefix of path; nil for none.
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

// Services returns all services.
func (c *Catalog) Services() map[string]*Service { return c.services }

// Organisation returns the holder of a key; nil for none.
func (c *Catalog) Organisation(key string) *Organisation { return c.organisations[key] }

// NeedsKeys says whether any organisation is known, so that routes that are not
// public need a key.
func (c *Catalog) NeedsKeys() bool { return len(c.organisations) > 0 }

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int { return c.routeCount }
