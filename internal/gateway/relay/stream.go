package relay

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes limits the size of a stream's event, which is buffered before it is
// forwarded; events have some hundred bytes.
const maxEventBytes = 1 << 20

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
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReader(r)}
}

// next returns the next event, or io.EOF at the end of a complete stream. The event is
// valid until the next call.
func (e *eventReader) next() (event, error) {
	e.text = e.text[:0]
	var ev event
	for {
		line, err := e.r.ReadSlice('\n')
		e.text = append(e.text, line...)
		if err == bufio.ErrBufferFull && len(e.text) < maxEventBytes {
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
