package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/saturate"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// maxLine bounds one line of a log, in bytes; what is longer ends the reading of its
// file. Nodes write lines of some hundred bytes.
const maxLine = 1 << 20

// Messages of the lines that are read.
const (
	endedMessage    = "request: ended"
	startedMessage  = "node: started"
	lostMessage     = "source: lost"
	regainedMessage = "source: reachable again"
)

// wanted are the texts of which a line must have one to be read at all: to look for
// them takes a twentieth of the time of decoding the line.
var wanted = [][]byte{[]byte(endedMessage), []byte(startedMessage), []byte(lostMessage), []byte(regainedMessage)}

// Reader reads the logs of nodes one after the other. It keeps the data centre of each
// node and nothing of the requests, so that its memory does not grow with the logs.
type Reader struct {
	// Request and Mark get what is read, in the order of the lines.
	Request func(Request)
	Mark    func(Mark)

	counts      Lines
	dataCentres map[string]string
}

// Lines counts what was read.
type Lines struct {
	// All are the lines, Ended those of requests, and Bad those that have JSON which
	// does not read.
	All, Ended, Bad int
}

// NewReader returns a reader that passes on what it reads.
func NewReader(request func(Request), mark func(Mark)) *Reader {
	return &Reader{Request: request, Mark: mark, dataCentres: map[string]string{}}
}

// Lines returns what was read so far.
func (r *Reader) Lines() Lines { return r.counts }

// Read reads one log. Its name stands for the node where lines have no text before
// their JSON. The error is that of in, or a line that is too long; the lines before it
// count.
func (r *Reader) Read(name string, in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		r.counts.All++
		if line := scanner.Bytes(); isWanted(line) {
			r.readLine(name, line)
		}
	}
	return errors.Wrap(scanner.Err(), name)
}

func isWanted(line []byte) bool {
	for _, text := range wanted {
		if bytes.Contains(line, text) {
			return true
		}
	}
	return false
}

// line has the fields of all lines that are read; durations are in milliseconds.
type line struct {
	Message      string   `json:"message"`
	Time         int64    `json:"time"`
	DataCentre   string   `json:"dataCentre"`
	Route        string   `json:"route"`
	Service      string   `json:"service"`
	Organisation string   `json:"organisation"`
	Verdict      *string  `json:"verdict"`
	Reason       string   `json:"reason"`
	Attempts     string   `json:"attempts"`
	Status       int      `json:"status"`
	Objective    *float64 `json:"objective"`
	Stages       float64  `json:"stages"`
	First        float64  `json:"first"`
	Took         float64  `json:"took"`
	Remade       int      `json:"remade"`
	// WithdrawnBy is the service whose coordinator withdrew the request's group.
	WithdrawnBy string `json:"withdrawnBy"`
	OverShare   bool   `json:"overShare"`
}

func (r *Reader) readLine(name string, text []byte) {
	before, _, _ := bytes.Cut(text, []byte("{"))
	var l line
	if err := json.Unmarshal(text[len(before):], &l); err != nil {
		r.counts.Bad++
		return
	}
	node := nodeOf(string(before), name)
	at := time.UnixMilli(l.Time)
	switch l.Message {
	case endedMessage:
		r.counts.Ended++
		r.Request(r.requestOf(l, node, at))
	case startedMessage:
		r.dataCentres[node] = l.DataCentre
		r.Mark(Mark{At: at, Node: node, Kind: Started})
	case lostMessage:
		r.Mark(Mark{At: at, Node: node, Kind: SourceLost})
	case regainedMessage:
		r.Mark(Mark{At: at, Node: node, Kind: SourceRegained})
	}
}

// nodeOf returns the node that wrote a line: the last word of what a collector put
// before it, or else the name of the file.
func nodeOf(before, file string) string {
	words := strings.Fields(before)
	if len(words) == 0 {
		return file
	}
	return words[len(words)-1]
}

// requestOf classifies a request by its line.
func (r *Reader) requestOf(l line, node string, at time.Time) Request {
	q := Request{
		Ended: at, Node: node, DataCentre: r.dataCentres[node],
		Route: l.Route, Service: l.Service, Organisation: l.Organisation, Parts: l.parts(),
	}
	q.Outcome = l.outcome()
	switch q.Outcome {
	case Late:
		q.Cause = causeOfDelay(q.Parts, l.Remade)
	case Refused, Failed:
		q.Cause = causeOfReason(verdict.Reason(l.Reason))
		switch {
		case l.Verdict == nil:
			q.Cause = targetsFailure
		case l.WithdrawnBy != "":
			q.Cause = withdrawn
		case l.OverShare:
			q.Cause = overShare
		}
	}
	return q
}

// outcome decides what became of the request. What the configuration does not allow
// and what the caller gave up count first, then whether there is an answer.
func (l line) outcome() Outcome {
	switch verdict.Reason(l.Reason) {
	case verdict.ReasonUnauthorised, verdict.ReasonNotFound:
		return NotOwed
	case verdict.ReasonCancelled:
		return Left
	}
	switch {
	case l.Verdict != nil && verdict.Parse(*l.Verdict) == verdict.NotRun:
		return Refused
	case l.Verdict != nil, l.Status >= http.StatusBadRequest:
		return Failed
	case l.Objective == nil:
		return Unknown
	case l.First <= *l.Objective:
		return InTime
	}
	return Late
}

// parts cuts the request's time into the parts of its way.
func (l line) parts() Parts {
	p := Parts{Stages: milliseconds(l.Stages), Attempts: failedAttempts(l.Attempts)}
	answered := milliseconds(l.First)
	if answered == 0 {
		answered = milliseconds(l.Took)
	}
	p.Answer = max(answered-p.Stages-p.Attempts, 0)
	p.Rest = max(milliseconds(l.Took)-answered, 0)
	return p
}

func milliseconds(ms float64) time.Duration { return saturate.Duration(ms * float64(time.Millisecond)) }

// failedAttempts adds up the times of all attempts but the last, from their text:
// target, status or reason, and milliseconds of each, parted by colons.
func failedAttempts(text string) time.Duration {
	attempts := strings.Fields(text)
	var sum time.Duration
	for i := range len(attempts) - 1 {
		_, ms, _ := cutLast(attempts[i], ":")
		// An attempt without a time counts for nothing.
		n, _ := strconv.Atoi(ms)
		sum += time.Duration(n) * time.Millisecond
	}
	return sum
}

// cutLast cuts a text around the last separator.
func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}
