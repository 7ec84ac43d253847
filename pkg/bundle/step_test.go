package bundle_test

import (
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

func TestSteps(t *testing.T) {
	text := string(read(t, "good.hujson"))
	next := strings.Replace(text, "1000", "2000", 1)
	convey.Convey("Given a node that has one of the last texts", t, func() {
		h := bundle.History{}.With(signed([]byte(text), "mere")).With(signed([]byte(next), "mere"))
		own := signed([]byte(text), "mere")
		convey.Convey("it gets a step, which is small and makes the newest", func() {
			tr := h.Transfer(bundle.Digest([]byte(text)))
			convey.So(tr.Step, convey.ShouldNotBeNil)
			convey.So(len(tr.Step.Edits), convey.ShouldEqual, 1)
			convey.So(len(tr.Step.Edits[0].New), convey.ShouldBeLessThan, 100)
			made, err := tr.Apply(own)
			convey.So(err, convey.ShouldBeNil)
			convey.So(made, convey.ShouldResemble, h.Newest())
			_, err = trust(1, "mere").Verify("made", made)
			convey.So(err, convey.ShouldBeNil)
		})
		convey.Convey("a changed step makes a text that no signature fits", func() {
			tr := h.Transfer(bundle.Digest([]byte(text)))
			tr.Step.Edits[0].New = "3"
			made, err := tr.Apply(own)
			convey.So(err, convey.ShouldBeNil)
			_, err = trust(1, "mere").Verify("made", made)
			convey.So(err, convey.ShouldNotBeNil)
		})
		convey.Convey("a step from another text, or past its end, is refused", func() {
			tr := h.Transfer(bundle.Digest([]byte(text)))
			_, err := tr.Apply(signed([]byte(next), "mere"))
			convey.So(err, convey.ShouldNotBeNil)
			tr.Step.Edits[0].End = len(text) + 1
			_, err = tr.Apply(own)
			convey.So(err, convey.ShouldNotBeNil)
		})
		convey.Convey("a node with an unknown text gets the whole", func() {
			convey.So(h.Transfer("sha256:unknown").Whole, convey.ShouldNotBeNil)
		})
	})
}

// TestStepsOfAnyTexts makes steps between any two texts, with characters of
// several bytes.
func TestStepsOfAnyTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gen := rapid.StringOf(rapid.RuneFrom([]rune("aō日\n")))
		a := bundle.Signed{Text: gen.Draw(t, "from")}
		b := bundle.Signed{Text: gen.Draw(t, "to")}
		made, err := bundle.NewStep(a, b).Apply(a)
		if err != nil || made.Text != b.Text {
			t.Fatalf("%q to %q made %q: %v", a.Text, b.Text, made.Text, err)
		}
	})
}
