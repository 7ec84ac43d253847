package matrix_test

import (
	"context"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/harness/matrix"
)

func TestEveryFaultAtEveryStep(t *testing.T) {
	convey.Convey("No promise is broken by any fault at any step, alone or in pairs", t, func() {
		report, err := matrix.Run(context.Background(), matrix.Options{Pairs: 100, Seed: 1})
		convey.So(err, convey.ShouldBeNil)
		var table strings.Builder
		convey.So(report.Print(&table), convey.ShouldBeNil)
		if len(report.Broken()) > 0 {
			t.Log(table.String())
		}
		convey.So(report.Broken(), convey.ShouldBeEmpty)
		convey.So(len(report.Cells), convey.ShouldBeGreaterThan, 500)
	})
}
