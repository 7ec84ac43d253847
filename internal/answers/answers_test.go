package answers_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/honeydyke/honeydyke/internal/answers"
)

// endless is a body without end that counts what is read of it.
type endless struct {
	read   atomic.Int64
	closed atomic.Bool
	// wait, if not nil, is awaited once the given number of bytes was read.
	wait  chan struct{}
	after int64
}

// Read implements io.Reader.
func (e *endless) Read(b []byte) (int, error) {
	if e.wait != nil && e.read.Load() >= e.after {
		<-e.wait
	}
	if e.closed.Load() {
		return 0, errors.New("closed")
	}
	e.read.Add(int64(len(b)))
	return len(b), nil
}

// Close implements io.Closer.
func (e *endless) Close() error {
	e.closed.Store(true)
	if e.wait != nil {
		close(e.wait)
	}
	return nil
}

func TestOneAnswer(t *testing.T) {
	p := answers.NewPool(1 << 20)
	read := func(r io.Reader, most int64) (*answers.Answer, error) { return p.Read(io.NopCloser(r), most) }
	convey.Convey("A whole answer comes as it was sent, in whatever pieces", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			want := bytes.Repeat([]byte(rapid.StringN(1, 50, -1).Draw(t, "text")), rapid.IntRange(0, 5000).Draw(t, "times"))
			want = want[:min(len(want), 1<<19)]
			body := rapid.SampledFrom([]func(io.Reader) io.Reader{
				func(r io.Reader) io.Reader { return r }, iotest.HalfReader, iotest.DataErrReader,
			}).Draw(t, "reader")(bytes.NewReader(want))
			a, err := read(body, 1<<19)
			if err != nil || !bytes.Equal(a.Bytes(), want) || a.Len() != len(want) || !bytes.Equal(bytes.Join(a.Chunks(), nil), want) {
				t.Fatalf("%d bytes came as %v: %v", len(want), a, err)
			}
		})
	})
	convey.Convey("An answer may have as many bytes as allowed, and no more", t, func() {
		_, err := read(strings.NewReader(strings.Repeat("x", 10_000)), 10_000)
		convey.So(err, convey.ShouldBeNil)
		_, err = read(strings.NewReader(strings.Repeat("x", 10_001)), 10_000)
		convey.So(answers.IsTooLong(err), convey.ShouldBeTrue)
		convey.So(err.Error(), convey.ShouldEqual, "the answer has more than 10000 bytes")
	})
	convey.Convey("The error of a body that breaks off is its own", t, func() {
		for _, sent := range []string{"", "some", strings.Repeat("x", 70_000)} {
			for _, failure := range []error{io.ErrUnexpectedEOF, errors.New("reset")} {
				_, err := read(io.MultiReader(strings.NewReader(sent), iotest.ErrReader(failure)), 1<<19)
				convey.So(err, convey.ShouldEqual, failure)
			}
		}
	})
}

// TestPoolIsBounded guards against targets that send without end at once and take all memory of a
// node, each within the bound of its answer.
func TestPoolIsBounded(t *testing.T) {
	const limit = 2 << 20
	convey.Convey("Given answers without end that are read at once", t, func() {
		var givenUp atomic.Int64
		p := answers.NewPool(limit, answers.OnGivenUp(func(bytes int64) { givenUp.Add(1) }))
		bodies := make([]*endless, 32)
		errs := make([]error, len(bodies))
		var all sync.WaitGroup
		for i := range bodies {
			bodies[i] = &endless{}
			all.Go(func() { _, errs[i] = p.Read(bodies[i], limit) })
		}
		convey.Convey("all end, and sound answers beside them are whole", func() {
			sound := strings.Repeat("x", 30_000)
			for range 200 {
				a, err := p.Read(io.NopCloser(strings.NewReader(sound)), limit)
				convey.So(err, convey.ShouldBeNil)
				convey.So(a.Len(), convey.ShouldEqual, len(sound))
			}
			all.Wait()
			for _, err := range errs {
				convey.So(answers.IsTooLong(err), convey.ShouldBeTrue)
			}
			convey.So(givenUp.Load(), convey.ShouldBeGreaterThan, 0)
		})
		all.Wait()
	})
	convey.Convey("A long answer that has stopped coming makes room for others", t, func() {
		p := answers.NewPool(limit)
		silent := &endless{wait: make(chan struct{}), after: limit / 2}
		ended := make(chan error)
		go func() {
			_, err := p.Read(silent, limit)
			ended <- err
		}()
		for silent.read.Load() < limit/2 {
		}
		a, err := p.Read(io.NopCloser(strings.NewReader(strings.Repeat("x", limit/2))), limit)
		convey.So(err, convey.ShouldBeNil)
		convey.So(a.Len(), convey.ShouldEqual, limit/2)
		select {
		case err := <-ended:
			convey.So(err, convey.ShouldEqual, answers.ErrPoolFull)
		case <-time.After(5 * time.Second):
			t.Error("the answer that has stopped coming was not given up")
		}
	})
	convey.Convey("A pool holds an answer of the most that one may have, on any machine", t, func() {
		convey.So(answers.PoolBytes(0), convey.ShouldBeGreaterThanOrEqualTo, answers.MaxAnswerBytes)
		convey.So(answers.PoolBytes(10<<20), convey.ShouldEqual, answers.MaxAnswerBytes)
		convey.So(answers.PoolBytes(800<<20), convey.ShouldEqual, 100<<20)
	})
}
