package directory

import (
	"math"
	"sync"
)

// Version is a version of the targets' software. Equal versions have equal values within one
// process. The zero value is an unknown version. It has two bytes so that a Target fits in 128
// bytes.
type Version uint16

// versions interns the names of versions. An index is a Version.
var versions = struct {
	sync.RWMutex
	names []string
	index map[string]Version
}{names: []string{""}, index: map[string]Version{"": 0}}

// VersionOf returns the version with a name; unknown for the empty name, and once a process has
// seen more than 65,535 names.
func VersionOf(name string) Version {
	versions.RLock()
	v, known := versions.index[name]
	versions.RUnlock()
	if known {
		return v
	}
	versions.Lock()
	defer versions.Unlock()
	if v, known = versions.index[name]; known || len(versions.names) > math.MaxUint16 {
		return v
	}
	v = Version(len(versions.names))
	versions.names = append(versions.names, name)
	versions.index[name] = v
	return v
}

// Known reports whether the version is known.
func (v Version) Known() bool { return v != 0 }

// String returns the name of the version; empty if it is unknown.
func (v Version) String() string {
	versions.RLock()
	defer versions.RUnlock()
	return versions.names[v]
}
