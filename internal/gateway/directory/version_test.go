package directory_test

import (
	"testing"
	"unsafe"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// TestVersions guards against a target whose software version is lost or taken over from an
// earlier process, by which its streams would end or go on at another version.
func TestVersions(t *testing.T) {
	v1, v2 := directory.VersionOf("v1"), directory.VersionOf("v2")
	after := func(known, put directory.Target) directory.Version {
		known.ID, put.ID = "a", "a"
		got, _ := directory.New(known).With(put).Target("a")
		return got.Version
	}
	convey.Convey("Versions are equal by their names, and the empty name is unknown", t, func() {
		convey.So(directory.VersionOf("v1"), convey.ShouldEqual, v1)
		convey.So(v1, convey.ShouldNotEqual, v2)
		convey.So(v1.String(), convey.ShouldEqual, "v1")
		convey.So(directory.VersionOf("").Known(), convey.ShouldBeFalse)
	})
	convey.Convey("A target that is put without a version keeps that of its process", t, func() {
		convey.So(after(directory.Target{Version: v1}, directory.Target{}), convey.ShouldEqual, v1)
		convey.So(after(directory.Target{Version: v1, StartMs: 1}, directory.Target{}), convey.ShouldEqual, v1)
	})
	convey.Convey("It does not keep that of an earlier process, and a named one replaces it", t, func() {
		convey.So(after(directory.Target{Version: v1, StartMs: 1}, directory.Target{StartMs: 2}).Known(), convey.ShouldBeFalse)
		convey.So(after(directory.Target{Version: v1}, directory.Target{Version: v2}), convey.ShouldEqual, v2)
	})
}

// TestEntryOfTarget guards against nodes that assign streams to other targets than a node that
// started later, which knows only the latest entry of each target.
func TestEntryOfTarget(t *testing.T) {
	v1, v2 := directory.VersionOf("v1"), directory.VersionOf("v2")
	ready := directory.Target{ID: "a", Version: v1}
	draining := directory.Target{ID: "a", Version: v1, State: directory.Draining}
	lapsed := directory.Target{ID: "a", Version: v1, State: directory.Lapsed, StateUntil: until}
	restarted := directory.Target{ID: "a", Version: v1, StartMs: 1}
	unversioned := directory.Target{ID: "a"}
	cases := []struct {
		why         string
		entries     []directory.Target
		ready       bool
		version     directory.Version
		keptVersion directory.Version
		usable      bool
	}{
		{"that is ready", []directory.Target{ready}, true, v1, v1, true},
		{"that drains", []directory.Target{ready, draining}, false, v1, v1, false},
		{"whose drain is taken back", []directory.Target{draining, ready}, true, v1, v1, false},
		{"that drains again", []directory.Target{draining, ready, draining}, false, v1, v1, false},
		{"whose drain is taken back by a member's word", []directory.Target{ready, draining.WithEntry(true, false)}, true, v1, v1, false},
		{"that a member reports as lapsed while it drains", []directory.Target{draining, lapsed}, false, v1, v1, false},
		{"that drained and started again", []directory.Target{draining, ready, restarted}, true, v1, v1, true},
		{"that loses its version", []directory.Target{ready, unversioned}, true, 0, v1, true},
		{"that loses its version by a member's word", []directory.Target{ready.WithEntry(true, true)}, true, 0, v1, true},
		{"that has a version again", []directory.Target{ready, unversioned, {ID: "a", Version: v2}}, true, v2, v2, true},
		{"that never had a version", []directory.Target{unversioned, unversioned}, true, 0, 0, true},
		{"that loses both", []directory.Target{draining, unversioned}, true, 0, v1, false},
	}
	convey.Convey("The entry of a target", t, func() {
		for _, c := range cases {
			convey.Convey(c.why, func() {
				d := directory.New()
				for _, e := range c.entries {
					d = d.With(e)
				}
				d = d.With(directory.Target{ID: "other"})
				got, _ := d.Target("a")
				convey.So(got.EntryReady(), convey.ShouldEqual, c.ready)
				convey.So(got.EntryVersion(), convey.ShouldEqual, c.version)
				convey.So(got.Version, convey.ShouldEqual, c.keptVersion)
				convey.So(got.Usable(until), convey.ShouldEqual, c.usable)
			})
		}
	})
}

// TestSizeOfTarget guards against a Target that maps hold by pointer, with one allocation each.
func TestSizeOfTarget(t *testing.T) {
	convey.Convey("A target fits in 128 bytes", t, func() {
		convey.So(unsafe.Sizeof(directory.Target{}), convey.ShouldBeLessThanOrEqualTo, 128)
	})
}
