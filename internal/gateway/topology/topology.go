// Package topology says where data centres lie, and in which of them a request may be
// served. It does no input or output and reads no clock; its values are immutable.
//
// It owns the rule which data centres a confined request may use (Confinement.Allows). It
// relies on the operator's settings for the region of each data centre: one that they do
// not name lies in no region, so that a confined request never goes there.
package topology

import "slices"

// Topology says in which region each data centre lies. The zero value knows none.
type Topology struct{ regions map[string]string }

// New returns the topology with the given region of each data centre; the caller must not
// change them afterwards.
func New(regions map[string]string) Topology { return Topology{regions: regions} }

// Confine returns the confinement to lists of regions, all of which bind. An empty list
// binds to nothing.
func (t Topology) Confine(bounds ...[]string) Confinement {
	c := Confinement{topology: t}
	for _, regions := range bounds {
		if len(regions) > 0 {
			c.bounds = append(c.bounds, regions)
		}
	}
	return c
}

// Confinement is where a request, its items and their results must stay. The zero value
// confines nothing.
type Confinement struct {
	topology Topology
	bounds   [][]string
}

// Confines says whether there is any bound.
func (c Confinement) Confines() bool { return len(c.bounds) > 0 }

// Allows says whether a data centre may be used: its region is in each of the lists. A
// wrong yes takes data to where its owner forbids it; a wrong no refuses a request.
func (c Confinement) Allows(dataCentre string) bool {
	if !c.Confines() {
		return true
	}
	region, known := c.topology.regions[dataCentre]
	if !known {
		return false
	}
	return !slices.ContainsFunc(c.bounds, func(regions []string) bool { return !slices.Contains(regions, region) })
}
