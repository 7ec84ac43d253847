package streamorigin_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/streamorigin"
)

// TestTable guards against origins that are kept too long or too short, that an earlier attempt
// replaces, or whose number is not bounded.
func TestTable(t *testing.T) {
	now := time.Unix(1000, 0)
	first := streamorigin.Origin{Service: "s", Version: directory.VersionOf("v1")}
	second := streamorigin.Origin{Service: "s", Version: directory.VersionOf("v2"), Attempt: 1}
	convey.Convey("Given a table with an origin", t, func() {
		table := streamorigin.NewTable()
		table.Put(now, 1, first, time.Second, true)
		shouldFind := func(at time.Time, want streamorigin.Origin, wantOwn bool) {
			o, own, found := table.Find(at, 1)
			convey.So(found, convey.ShouldBeTrue)
			convey.So(o, convey.ShouldEqual, want)
			convey.So(own, convey.ShouldEqual, wantOwn)
		}
		convey.Convey("it is found until its time has passed", func() {
			shouldFind(now.Add(time.Second-1), first, true)
			_, _, found := table.Find(now.Add(time.Second), 1)
			convey.So(found, convey.ShouldBeFalse)
			table.Prune(now.Add(time.Second))
			convey.So(table.Len(), convey.ShouldEqual, 0)
		})
		convey.Convey("that of a later attempt replaces it, and not the other way round", func() {
			table.Put(now, 1, second, time.Second, false)
			shouldFind(now, second, false)
			table.Put(now, 1, first, time.Minute, false)
			shouldFind(now, second, false)
		})
		convey.Convey("a hundred thousand others leave a bounded number, the longest kept ones", func() {
			for k := range streamorigin.Key(100_000) {
				table.Put(now, 2+k, first, time.Minute+time.Duration(k)*time.Millisecond, false)
			}
			convey.So(table.Len(), convey.ShouldBeLessThanOrEqualTo, 60_000)
			_, _, found := table.Find(now, 2+99_999)
			convey.So(found, convey.ShouldBeTrue)
		})
	})
	convey.Convey("Keys differ by organisation and request, and read back", t, func() {
		k := streamorigin.KeyOf("acme", "1")
		convey.So(k, convey.ShouldNotEqual, streamorigin.KeyOf("", "acme1"))
		convey.So(k, convey.ShouldNotEqual, streamorigin.KeyOf("acm", "e1"))
		read, ok := streamorigin.ParseKey(k.String())
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(read, convey.ShouldEqual, k)
		_, ok = streamorigin.ParseKey("no key")
		convey.So(ok, convey.ShouldBeFalse)
	})
}
