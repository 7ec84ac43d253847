package catalog

import (
	"fmt"
	"strings"
)

// Rule: what of a configuration is in force, and what is refused.
//
// Each part is judged by itself, and of parts that name the same thing the first counts, so that a change inside one part
// never changes what another one means. A value that cannot be read counts as absent where its absence has a meaning; a
// route that may lead elsewhere than it says is refused. What may be meant for a part that cannot be read is refused as not run, with
// a time to come back, and never as unknown, which is final for callers. A wrong refusal costs a route or an
// organisation its requests until the next version; a wrong guess runs them elsewhere.

const (
	// maxShares bounds the services of a route, which are looked through for each request.
	maxShares = 1024
	// maxWeight bounds a weight, so that their sum stays in range.
	maxWeight = 1 << 40
)

func (c *Catalog) addService(s *Service) {
	why := ""
	switch u := first(s.Unreadable, WholeField, NameField); {
	case u != nil:
		why = u.Why
	case s.Name == "":
		why = "it has no name"
	case c.services[s.Name] != nil:
		why = "an earlier service has the same name"
	}
	if why != "" {
		c.faults.add(Fault{Part: partService, Name: s.Name, Place: s.Place, Why: why, Refused: true})
		return
	}
	c.noteUnused(partService, s.Name, s.Unreadable)
	s.normalise()
	c.services[s.Name] = s
}

// normalise replaces values that mean nothing by those of absent ones.
func (s *Service) normalise() {
	s.MaxConnections = max(s.MaxConnections, 0)
	s.WarmUp.Duration = max(s.WarmUp.Duration, 0)
	s.WarmUp.RequestsPerSecond = max(s.WarmUp.RequestsPerSecond, 0)
	s.CopyTimePerToken = max(s.CopyTimePerToken, 0)
	if s.Batch != nil {
		s.Batch.normalise()
	}
}

// maxBatchItems bounds the items of a call, so that multiples of them stay in range.
const maxBatchItems = 1 << 20

// UnknownMemory is the memory for results of targets that do not say how much they have, above that of all that do.
const UnknownMemory = 1 << 44

// normalise replaces values that mean nothing, or are absent: a call has at least one item, and memory of an unknown
// size is no limit.
func (b *Batch) normalise() {
	b.MaxItems = min(max(b.MaxItems, 1), maxBatchItems)
	b.CallLatency, b.PerItem, b.ResultTTL = max(b.CallLatency, 0), max(b.PerItem, 0), max(b.ResultTTL, 0)
	if b.MemoryBytes <= 0 || b.MemoryBytes > UnknownMemory {
		b.MemoryBytes = UnknownMemory
	}
	b.LinkBytesPerSecond = max(b.LinkBytesPerSecond, 0)
}

// addRoute adds a route, unless one of known is for the same requests.
func (c *Catalog) addRoute(r *Route, known map[match]bool) {
	if u := first(r.Unreadable, WholeField, HostField, PrefixField); u != nil {
		c.faults.add(Fault{Part: partRoute, Name: r.Name, Place: u.Place, Why: u.Why, Refused: true})
		host := ""
		if u.Field == PrefixField {
			host = r.Host
		}
		c.routesUnknown(host, u.Why)
		return
	}
	at := match{host: strings.ToLower(r.Host), prefix: r.Prefix}
	if known[at] {
		c.faults.add(Fault{Part: partRoute, Name: r.Name, Place: r.Place, Why: "an earlier route has the same host and prefix", Refused: true})
		return
	}
	known[at] = true
	c.noteUnused(partRoute, r.Name, r.Unreadable)
	r.normalise()
	var place string
	if r.Refused, place = r.fault(); r.Refused != "" {
		c.faults.add(Fault{Part: partRoute, Name: r.Name, Place: place, Why: r.Refused, Refused: true})
	}
	c.routes[at.host] = append(c.routes[at.host], r)
	if r.Refused == "" {
		c.noteServices(r)
	}
}

// match says which requests a route is for.
type match struct{ host, prefix string }

// normalise replaces values that mean nothing by those of absent ones.
func (r *Route) normalise() {
	r.Timeout, r.Objective, r.PauseLimit = max(r.Timeout, 0), max(r.Objective, 0), max(r.PauseLimit, 0)
	for i, s := range r.Split {
		r.Split[i].Weight = min(max(s.Weight, 0), maxWeight)
	}
}

// fault returns why the requests of a route cannot be served, empty if they can, and the place of the fault.
func (r *Route) fault() (why, place string) {
	if u := first(r.Unreadable, DestinationField, StagesField); u != nil {
		return u.Why, u.Place
	}
	if why := r.splitFault(); why != "" {
		return why, r.Place
	}
	return r.stageFault(), r.Place
}

func (r *Route) splitFault() string {
	if len(r.Split) == 0 {
		return "it has no service"
	}
	if len(r.Split) > maxShares {
		return fmt.Sprintf("%d services, %d are allowed", len(r.Split), maxShares)
	}
	total := 0
	for i, s := range r.Split {
		if s.Service == "" {
			return fmt.Sprintf("share %d has no service", i)
		}
		total += s.Weight
	}
	if total == 0 {
		return "no service has a weight above 0"
	}
	return ""
}

// noteServices records what the services of a route have to know of it.
func (c *Catalog) noteServices(r *Route) {
	if r.Kind == Stream && r.Resumable {
		for _, s := range r.Split {
			c.resumable[s.Service] = true
		}
	}
	for _, s := range r.Stages {
		c.addObjective(s.Service, r.Objective)
		c.describeStage(s.Service, r.Place)
	}
}

// describeStage gives a service that processes items of a route's stages, and does not say how, the least that each
// target of such a service can do.
func (c *Catalog) describeStage(name, route string) {
	s := c.services[name]
	if s == nil {
		s = &Service{Name: name, Place: route}
		c.services[name] = s
	}
	if s.Batch != nil {
		return
	}
	c.faults.add(Fault{Part: partService, Name: name, Place: s.Place, Why: "a stage runs there, and it does not say how: calls have one item"})
	s.Batch = &Batch{}
	s.Batch.normalise()
}

func (c *Catalog) addOrganisation(o *Organisation) {
	if u := first(o.Unreadable, WholeField); u != nil {
		c.faults.add(Fault{Part: partOrganisation, Place: u.Place, Why: u.Why, Refused: true})
		c.keysUnknown(u.Why)
		return
	}
	if u := first(o.Unreadable, KeysField); u != nil {
		c.faults.add(Fault{Part: partOrganisation, Name: o.Name, Place: u.Place, Why: u.Why})
		c.keysUnknown(u.Why)
	}
	c.noteUnused(partOrganisation, o.Name, o.Unreadable)
	switch u := first(o.Unreadable, NameField); {
	case u != nil:
		o.Refused = u.Why
	case o.Name == "" && len(o.Keys) > 0:
		o.Refused = "it has no name"
	}
	if o.Refused != "" {
		c.faults.add(Fault{Part: partOrganisation, Name: o.Name, Place: o.Place, Why: o.Refused, Refused: true})
	}
	for _, k := range o.Keys {
		// A caller without a key has the empty one, which belongs to nobody.
		if k == "" {
			continue
		}
		if other := c.organisations[k]; other != nil {
			if other != o {
				c.faults.add(Fault{Part: partOrganisation, Name: o.Name, Place: o.Place, Why: "an earlier organisation has one of its keys"})
			}
			continue
		}
		c.organisations[k] = o
	}
}

// keysUnknown records that keys could not be read. Of several reasons the first counts.
func (c *Catalog) keysUnknown(why string) {
	if c.unknownKeys == "" {
		c.unknownKeys = why
	}
}

// routesUnknown records that a route of a host, "" for any, could not be read. Of several reasons the first counts.
func (c *Catalog) routesUnknown(host, why string) {
	host = strings.ToLower(host)
	if c.unknownRoutes[host] == "" {
		c.unknownRoutes[host] = why
	}
}

// MayHaveKey returns why a key that no organisation has may be one of the configuration's; empty if it is none.
func (c *Catalog) MayHaveKey() string { return c.unknownKeys }

// MayHaveRoute returns why a request without a route, to a host, may have one; empty if it has none.
func (c *Catalog) MayHaveRoute(host string) string {
	if why := c.unknownRoutes[""]; why != "" {
		return why
	}
	return c.unknownRoutes[HostName(host)]
}
