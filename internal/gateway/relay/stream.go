package relay

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/answers"
)

// errTruncatedEvent means that a stream ended within an event.
var errTruncatedEvent = errors.New("the stream ended in the middle of an event")

// event is one complete event of a stream, including the empty line that ends it.
type event struct {
	text []byte
	// id is the event's number; empty for none.
	id string
}

// eventReader reads complete events of a stream.
type eventReader struct {
	r    *bufio.Reader
	text []byte
	// total counts the bytes of the stream.
	total int64
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReader(r)}
}

// tooLong returns an error if the event, or the stream, has more bytes than are read.
func (e *eventReader) tooLong() error {
	switch {
	case len(e.text) > answers.MaxEventBytes:
		return &answers.TooLongError{Most: answers.MaxEventBytes}
	case e.total > answers.MaxStreamBytes:
		return &answers.TooLongError{Most: answers.MaxStreamBytes}
	}
	return nil
}

// next returns the next event, or io.EOF at the end of a complete stream. The event is
// valid until the next call.
func (e *eventReader) next() (event, error) {
	e.text = e.text[:0]
	var ev event
	for {
		line, err := e.r.ReadSlice('\n')
		e.text = append(e.text, line...)
		e.total += int64(len(line))
		if tooLong := e.tooLong(); tooLong != nil {
			return event{}, tooLong
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(e.text) > 0 {
			return event{}, errTruncatedEvent
		}
		if err != nil {
			return event{}, err
		}
		field := bytes.TrimRight(line, "\r\n")
		if len(field) == 0 {
			ev.text = e.text
			return ev, nil
		}
		if id, found := bytes.CutPrefix(field, []byte("id:")); found {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}
