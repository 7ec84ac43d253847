package lab_test

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/pkg/client"
)

func TestClaimIsSummarised(t *testing.T) {
	convey.Convey("Given a deployment of Kōwhai's", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		l, err := lab.Start(ctx, examples.Kowhai())
		convey.So(err, convey.ShouldBeNil)
		defer l.Close()
		convey.Convey("a claim's summary is streamed out whole, through four stages", func() {
			c := client.New(l.Nodes[0].URL(), examples.Key("assessors"))
			var streamed string
			answer, err := c.Run(ctx, client.Request{Pipeline: "summarise-claim", Input: "claim 7: a dented door", Stream: true},
				func(text string) { streamed += text })
			convey.So(err, convey.ShouldBeNil)
			convey.So(answer.Output, convey.ShouldEqual, streamed)
			convey.So(answer.Output, convey.ShouldNotBeEmpty)
			convey.So(len(answer.Stages), convey.ShouldEqual, 4)
		})
	})
}
