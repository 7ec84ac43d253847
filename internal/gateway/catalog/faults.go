package catalog

// Field tells what a value of a part stands for, as far as it matters that it could not be read.
type Field int

const (
	// OtherField is a value whose absence has a meaning: an unreadable one counts as absent.
	OtherField Field = iota
	// WholeField is the part itself.
	WholeField
	// HostField and PrefixField say which requests a route is for.
	HostField
	PrefixField
	// DestinationField says which services a route leads to, and in which shares.
	DestinationField
	// StagesField says what has to run before a route's requests.
	StagesField
	// NameField is the name of a service or of an organisation.
	NameField
	// KeysField is the key or the keys of an organisation.
	KeysField
)

// Unreadable is a value that could not be read.
type Unreadable struct {
	// Place is where the value stands in its document.
	Place string
	Field Field
	// Why says what is wrong with it.
	Why string
}

// Fault is a part of a configuration that is refused, or a value that counts as absent.
type Fault struct {
	// Part is what the fault is in: "route", "service", "organisation", "limits" or "configuration".
	Part string
	// Name is the part's name, empty if it has none, and Place where the fault stands in its document.
	Name, Place string
	// Why says what is wrong.
	Why string
	// Refused reports whether the part is refused; otherwise a value of it counts as absent.
	Refused bool
}

// The parts of a configuration, as Fault.Part names them.
const (
	partRoute         = "route"
	partService       = "service"
	partOrganisation  = "organisation"
	partLimits        = "limits"
	partConfiguration = "configuration"
)

// MaxParts bounds the routes, the services and the organisations of a configuration, each by itself. An adapter reads
// no more, and reports that those which follow are unreadable.
const MaxParts = 1 << 17

// maxFaults bounds the faults that are kept of a catalog.
const maxFaults = 1000

// faultList holds the first faults of a catalog, and counts them all.
type faultList struct {
	list            []Fault
	refused, unused int
}

func (l *faultList) add(f Fault) {
	if f.Refused {
		l.refused++
	} else {
		l.unused++
	}
	if len(l.list) < maxFaults {
		l.list = append(l.list, f)
	}
}

// Faults returns the faults of the configuration, in the order of its parts: the first 1,000.
func (c *Catalog) Faults() []Fault { return c.faults.list }

// RefusedCount returns the number of parts that are refused.
func (c *Catalog) RefusedCount() int { return c.faults.refused }

// UnusedCount returns the number of values that count as absent.
func (c *Catalog) UnusedCount() int { return c.faults.unused }

// first returns the first unreadable value of some fields; nil for none.
func first(list []Unreadable, fields ...Field) *Unreadable {
	for i, u := range list {
		for _, f := range fields {
			if u.Field == f {
				return &list[i]
			}
		}
	}
	return nil
}

// noteUnused records the unreadable values of a part that count as absent.
func (c *Catalog) noteUnused(part, name string, list []Unreadable) {
	for _, u := range list {
		if u.Field == OtherField {
			c.faults.add(Fault{Part: part, Name: name, Place: u.Place, Why: u.Why})
		}
	}
}

// WithUnreadableLimit records a limit that could not be read.
func WithUnreadableLimit(u Unreadable) Option {
	return func(c *Catalog) { c.faults.add(Fault{Part: partLimits, Place: u.Place, Why: u.Why}) }
}

// WithUnreadableRoutes records that there are routes of which nothing could be read.
func WithUnreadableRoutes(u Unreadable) Option {
	return func(c *Catalog) {
		c.faults.add(Fault{Part: partConfiguration, Place: u.Place, Why: u.Why, Refused: true})
		c.routesUnknown("", u.Why)
	}
}

// WithUnreadableServices records that there are services of which nothing could be read.
func WithUnreadableServices(u Unreadable) Option {
	return func(c *Catalog) {
		c.faults.add(Fault{Part: partConfiguration, Place: u.Place, Why: u.Why, Refused: true})
	}
}

// WithUnreadableOrganisations records that there are organisations of which nothing could be read.
func WithUnreadableOrganisations(u Unreadable) Option {
	return func(c *Catalog) {
		c.faults.add(Fault{Part: partConfiguration, Place: u.Place, Why: u.Why, Refused: true})
		c.keysUnknown(u.Why)
	}
}
