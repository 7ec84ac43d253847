package directory_test

import (
	"testing"

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
