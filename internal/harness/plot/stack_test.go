package plot

import (
	"bytes"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestStack(t *testing.T) {
	convey.Convey("The parts of a stack lie on top of each other", t, func() {
		convey.So(sumOf(nil, []float64{1, 2}), convey.ShouldResemble, []float64{1, 2})
		convey.So(sumOf([]float64{1, 2}, []float64{3, 4}), convey.ShouldResemble, []float64{4, 6})
		points := outline([]float64{1, 2}, []float64{4, 6})
		convey.So(points, convey.ShouldHaveLength, 4)
		convey.So(points[1].Y, convey.ShouldEqual, 6)
		convey.So(points[2].Y, convey.ShouldEqual, 2)
		convey.So(points[3].Y, convey.ShouldEqual, 1)
	})
	convey.Convey("It is drawn with the names of bands and marks", t, func() {
		var out bytes.Buffer
		s := Stack{
			Title: "title", Bands: []Band{{"low", []float64{1, 2}}, {"high", []float64{3, 4}}},
			Marks: []Marks{{Name: "marked", Marks: []Mark{{X: 1}}}, {Name: "nothing"}},
		}
		convey.So(s.WriteSVG(&out), convey.ShouldBeNil)
		for _, text := range []string{"title", "low", "high", "marked"} {
			convey.So(out.String(), convey.ShouldContainSubstring, text)
		}
		convey.So(out.String(), convey.ShouldNotContainSubstring, "nothing")
	})
}
