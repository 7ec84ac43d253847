package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errTornEvent is a stream that ended within an event.
var errTornEvent = errors.New("the stream ended within an event")

// event is one whole event of a stream, with the empty line that ends it.
type event struct {
	text []byte
	// id is the event's number; empty for none.
	id string
}

// eventReader reads whole events.
type eventReader struct {
	r    *bufio.Reader
	text []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReader(r)}
}

// next returns the next event, or io.EOF when the stream is whole. The event is
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
			return event{}, errTornEvent
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

// passStream passes events on as they come. When the stream breaks it may be
// continued after the last event that was passed on.
func (j *job) passStream(ctx context.Context, reply *Reply, patience *patienceTimer) *verdict.Error {
	events := newEventReader(reply.Body)
	for {
		ev, err := events.next()
		if err == io.EOF {
			return j.endStream(reply)
		}
		if err != nil {
			return broken(ctx, err)
		}
		patience.Again()
		if repeated(ev.id, j.req.LastEvent) {
			continue
		}
		if err := j.passEvent(reply, ev); err != nil {
			return err
		}
	}
}

// repeated says whether an event was passed on before.
func repeated(id, last string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	m, err := strconv.ParseInt(last, 10, 64)
	return err == nil && n <= m
}

func (j *job) passEvent(reply *Reply, ev event) *verdict.Error {
	if !j.begun.Load() {
		j.begin(reply)
		if err := j.out.Begin(reply, -1); err != nil {
			return callerGone(err)
		}
	}
	if err := j.out.Write(ev.text); err != nil {
		return callerGone(err)
	}
	j.outcome.Events++
	if ev.id != "" {
		j.req.LastEvent = ev.id
	}
	return nil
}

// endStream ends a whole stream; one without events has only its head.
func (j *job) endStream(reply *Reply) *verdict.Error {
	if j.begun.Load() {
		return nil
	}
	j.begin(reply)
	if err := j.out.Begin(reply, -1); err != nil {
		return callerGone(err)
	}
	return nil
}
