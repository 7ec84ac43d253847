package rules_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
)

func TestEvacuated(t *testing.T) {
	evacuated := func(names ...string) func(string) bool {
		return func(service string) bool {
			for _, n := range names {
				if n == service {
					return true
				}
			}
			return false
		}
	}
	convey.Convey("A request whose last service is evacuated everywhere is refused before its stages run", t, func() {
		service, refused := rules.Evacuated([]string{"encode", "retrieve", "engines"}, evacuated("engines"))
		convey.So(refused, convey.ShouldBeTrue)
		convey.So(service, convey.ShouldEqual, "engines")
	})
	convey.Convey("A request that needs none of the evacuated services is not refused", t, func() {
		_, refused := rules.Evacuated([]string{"engines"}, evacuated("encode"))
		convey.So(refused, convey.ShouldBeFalse)
	})
}
