package relay

import (
	"io"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/answers"
)

// repeated reads a text over and over.
type repeated struct {
	text string
	at   int
}

// Read implements io.Reader.
func (r *repeated) Read(b []byte) (int, error) {
	n := copy(b, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}

// TestStreamBounds guards against an event, or a stream, that a faulty target never ends and that is
// read until the memory is used up.
func TestStreamBounds(t *testing.T) {
	for name, text := range map[string]string{"one line": "x", "many lines": "data: x\n"} {
		convey.Convey("An event without an end is given up, of "+name, t, func() {
			events := newEventReader(&repeated{text: text})
			_, err := events.next()
			convey.So(answers.IsTooLong(err), convey.ShouldBeTrue)
			convey.So(len(events.text), convey.ShouldBeLessThan, 2*answers.MaxEventBytes)
		})
	}
	convey.Convey("Events without an end are given up", t, func() {
		events := newEventReader(&repeated{text: "data: x\n\n"})
		var err error
		for err == nil {
			_, err = events.next()
		}
		convey.So(answers.IsTooLong(err), convey.ShouldBeTrue)
	})
	convey.Convey("An event of the most bytes is whole", t, func() {
		text := "data: " + strings.Repeat("x", answers.MaxEventBytes-len("data: \n\n")) + "\n\n"
		events := newEventReader(strings.NewReader(text))
		ev, err := events.next()
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(ev.text), convey.ShouldEqual, answers.MaxEventBytes)
		_, err = events.next()
		convey.So(err, convey.ShouldEqual, io.EOF)
	})
}
