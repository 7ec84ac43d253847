package requesttarget_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/requesttarget"
)

// TestTargetsAreKept guards against a request that is passed on with another path or query.
func TestTargetsAreKept(t *testing.T) {
	for raw, want := range map[string]string{
		"/":                           "/",
		"/a/x":                        "/a/x",
		"/a/x?":                       "/a/x?",
		"/a/x??":                      "/a/x??",
		"/a/x?p=/a/b&n=%20":           "/a/x?p=/a/b&n=%20",
		"//orders/17":                 "//orders/17",
		"///orders//17/":              "///orders//17/",
		"//orders/a%2fb;c=1?x":        "//orders/a%2fb;c=1?x",
		"//":                          "//",
		"/a/../b/./c//":               "/a/../b/./c//",
		"/a%2Fb%2f%7e~":               "/a%2Fb%2f%7e~",
		"/a;v=1/b:c@d":                "/a;v=1/b:c@d",
		"/a:b":                        "/a:b",
		"/a|b\"<>^`{}":                "/a|b\"<>^`{}",
		"/caf\xc3\xa9\xff":            "/caf\xc3\xa9\xff",
		"/a#b":                        "/a#b",
		"/http://x/y":                 "/http://x/y",
		"http://host/a/x?q":           "/a/x?q",
		"HTTPS://host:8080//orders/1": "//orders/1",
		"http://host":                 "/",
		"http://host?q":               "/?q",
		"*":                           "",
		"host:443":                    "",
		"a/x":                         "",
		"":                            "",
		"ftp://host/a":                "",
		"//orders/a|b":                "",
		"//caf\xc3\xa9":               "",
	} {
		convey.Convey(raw, t, func() {
			target, err := requesttarget.Parse(raw)
			if want == "" {
				convey.So(err, convey.ShouldNotBeNil)
				return
			}
			convey.So(err, convey.ShouldBeNil)
			convey.So(target.String(), convey.ShouldEqual, want)
			convey.So(target.URL("http", "10.0.0.1:80").RequestURI(), convey.ShouldEqual, want)
		})
	}
}

// TestRequire guards against a handler that gets a request whose target cannot be passed on.
func TestRequire(t *testing.T) {
	convey.Convey("A handler gets requests with a target alone", t, func() {
		got := 0
		h := requesttarget.Require(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { got++ }))
		for uri, status := range map[string]int{"/a?": http.StatusOK, "*": http.StatusBadRequest, "//a|b": http.StatusBadRequest} {
			w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodOptions, "/", nil)
			r.RequestURI = uri
			h.ServeHTTP(w, r)
			convey.So(w.Code, convey.ShouldEqual, status)
		}
		convey.So(got, convey.ShouldEqual, 1)
	})
}
