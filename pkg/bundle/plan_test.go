package bundle_test

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/pkg/bundle"
)

func TestAttemptsOfAStage(t *testing.T) {
	convey.Convey("A stage that may not be repeated has one attempt", t, func() {
		convey.So(bundle.Stage{Attempts: 3}.AttemptLimit(), convey.ShouldEqual, 1)
	})
	convey.Convey("A repeatable stage has those of the bundle", t, func() {
		convey.So(bundle.Stage{Repeatable: true, Attempts: 3}.AttemptLimit(), convey.ShouldEqual, 3)
	})
	convey.Convey("and without them as many as the schema says", t, func() {
		text, err := os.ReadFile("bundle.schema.json")
		convey.So(err, convey.ShouldBeNil)
		var schema struct {
			Defs struct {
				Stage struct {
					Properties struct {
						Attempts struct{ Default int }
					}
				}
			} `json:"$defs"`
		}
		convey.So(json.Unmarshal(text, &schema), convey.ShouldBeNil)
		convey.So(bundle.Stage{Repeatable: true}.AttemptLimit(), convey.ShouldEqual, schema.Defs.Stage.Properties.Attempts.Default)
	})
}
