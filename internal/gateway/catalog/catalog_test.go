package catalog_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

func route(name, prefix string) *catalog.Route {
	return &catalog.Route{Name: name, Host: "Host.example", Prefix: prefix, Split: []catalog.Share{{Service: "s", Weight: 1}}}
}

func TestCatalog(t *testing.T) {
	convey.Convey("The longest prefix of the host wins", t, func() {
		c, err := catalog.New(1, []*catalog.Route{route("short", "/a/"), route("long", "/a/b/")}, nil, nil, catalog.Limits{})
		convey.So(err, convey.ShouldBeNil)
		convey.So(c.Route("host.example:80", "/a/b/c").Name, convey.ShouldEqual, "long")
		convey.So(c.Route("host.example", "/a/c").Name, convey.ShouldEqual, "short")
		convey.So(c.Route("host.example", "/c"), convey.ShouldBeNil)
		convey.So(c.Route("other.example", "/a/b/c"), convey.ShouldBeNil)
	})
	convey.Convey("A configuration that cannot be served is refused whole", t, func() {
		bad := route("r", "/a/")
		bad.Stages = []catalog.Stage{{Service: "x", After: []int{0}}}
		_, err := catalog.New(1, []*catalog.Route{bad}, nil, nil, catalog.Limits{})
		convey.So(err, convey.ShouldNotBeNil)
		_, err = catalog.New(1, []*catalog.Route{{Name: "nowhere"}}, nil, nil, catalog.Limits{})
		convey.So(err, convey.ShouldNotBeNil)
	})
	convey.Convey("Keys belong to organisations", t, func() {
		c, _ := catalog.New(1, nil, nil, []*catalog.Organisation{{Name: "o", Keys: []string{"k"}}}, catalog.Limits{})
		convey.So(c.NeedsKeys(), convey.ShouldBeTrue)
		convey.So(c.Organisation("k").Name, convey.ShouldEqual, "o")
		convey.So(c.Organisation("x"), convey.ShouldBeNil)
	})
	convey.Convey("Shares follow the weights", t, func() {
		r := &catalog.Route{Split: []catalog.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
		counts := map[string]int{}
		for i := range uint64(100) {
			counts[r.Service(i)]++
		}
		convey.So(counts, convey.ShouldResemble, map[string]int{"a": 90, "b": 10})
	})
	convey.Convey("The last stages are those that nothing comes after", t, func() {
		r := &catalog.Route{Stages: []catalog.Stage{{}, {}, {After: []int{1}}}}
		convey.So(r.LastStages(), convey.ShouldResemble, []int{0, 2})
	})
}

// TestRouteKinds says which requests may be retried.
func TestRouteKinds(t *testing.T) {
	cases := []struct {
		why   string
		route catalog.Route
		want  bool
	}{
		{"repeatable may", catalog.Route{Kind: catalog.Idempotent}, true},
		{"to run once may not", catalog.Route{Kind: catalog.AtMostOnce}, false},
		{"a stream may not", catalog.Route{Kind: catalog.Stream}, false},
		{"a resumable stream may", catalog.Route{Kind: catalog.Stream, Resumable: true}, true},
		{"to run once may not even when resumable", catalog.Route{Kind: catalog.AtMostOnce, Resumable: true}, false},
	}
	convey.Convey("A request that is", t, func() {
		for _, c := range cases {
			convey.Convey(c.why+" run more than once", func() {
				convey.So(c.route.Retryable(), convey.ShouldEqual, c.want)
			})
		}
	})
}
