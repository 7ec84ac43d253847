package requestbodies_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/requestbodies"
)

const mb = 1 << 20

// clock is a clock that a test sets.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) time() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func bodyOf(n int) io.ReadCloser { return io.NopCloser(strings.NewReader(strings.Repeat("b", n))) }

// shouldRefuse holds that a body is refused, before it is read or while it is.
func shouldRefuse(err error, begun bool) {
	var refused *requestbodies.RefusedError
	convey.So(errors.As(err, &refused), convey.ShouldBeTrue)
	convey.So(refused.Begun, convey.ShouldEqual, begun)
}

// shouldHold holds how many bytes and bodies a budget has.
func shouldHold(b *requestbodies.Budget, bytes int64, bodies int) {
	state := b.State()
	convey.So(state.Held, convey.ShouldEqual, bytes)
	convey.So(state.Bodies, convey.ShouldEqual, bodies)
}

// slowBody is a body of which a part came, and the rest waits.
type slowBody struct {
	came    io.Reader
	waiting chan struct{}
	rest    chan io.Reader
	then    io.Reader
	once    sync.Once
}

func newSlowBody(came int) *slowBody {
	return &slowBody{came: bytes.NewReader(make([]byte, came)), waiting: make(chan struct{}), rest: make(chan io.Reader, 1)}
}

func (s *slowBody) Read(b []byte) (int, error) {
	if n, _ := s.came.Read(b); n > 0 {
		return n, nil
	}
	if s.then == nil {
		s.once.Do(func() { close(s.waiting) })
		s.then = <-s.rest
	}
	return s.then.Read(b)
}

func (s *slowBody) Close() error {
	s.rest <- iotest.ErrReader(io.ErrClosedPipe)
	return nil
}

// TestBodiesWithinABudget guards against bodies that take more memory together than a process has.
func TestBodiesWithinABudget(t *testing.T) {
	convey.Convey("Given a budget of 20 MB", t, func() {
		c := &clock{now: time.Now()}
		b := requestbodies.New(20*mb, c.time)
		read := func(n int) (*requestbodies.Body, error) { return b.Read(bodyOf(n), int64(n)) }
		convey.Convey("a body is held as it came until it is released", func() {
			for _, announced := range []int64{300_000, -1} {
				d, err := b.Read(bodyOf(300_000), announced)
				convey.So(err, convey.ShouldBeNil)
				convey.So(d.Len(), convey.ShouldEqual, 300_000)
				shouldHold(b, 300_000, 1)
				var got bytes.Buffer
				_, err = d.WriteTo(&got)
				convey.So(err, convey.ShouldBeNil)
				again, err := io.ReadAll(d.Reader())
				convey.So(err, convey.ShouldBeNil)
				convey.So(bytes.Equal(got.Bytes(), again), convey.ShouldBeTrue)
				convey.So(string(again), convey.ShouldEqual, strings.Repeat("b", 300_000))
				d.Release()
				shouldHold(b, 0, 0)
			}
		})
		convey.Convey("what does not fit is refused before it is read, and fits once there is room", func() {
			var list []*requestbodies.Body
			for range 4 {
				d, err := read(4 * mb)
				convey.So(err, convey.ShouldBeNil)
				list = append(list, d)
			}
			unread := &slowBody{came: iotest.ErrReader(errors.New("it was read"))}
			_, err := b.Read(unread, 4*mb)
			shouldRefuse(err, false)
			// Small ones fit beside large ones.
			for range 30 {
				d, err := read(100 << 10)
				convey.So(err, convey.ShouldBeNil)
				defer d.Release()
			}
			list[0].Release()
			list[1].Release()
			_, err = read(4 * mb)
			convey.So(err, convey.ShouldBeNil)
		})
		convey.Convey("one that is longer than the budget is admitted alone", func() {
			d, err := read(24 * mb)
			convey.So(err, convey.ShouldBeNil)
			_, err = read(1)
			shouldRefuse(err, false)
			d.Release()
		})
		convey.Convey("an error of the reader is its own, and nothing is held", func() {
			_, err := b.Read(io.NopCloser(iotest.ErrReader(io.ErrClosedPipe)), 5*mb)
			convey.So(err, convey.ShouldEqual, io.ErrClosedPipe)
			_, err = b.Read(io.NopCloser(io.MultiReader(bodyOf(100), iotest.ErrReader(io.ErrUnexpectedEOF))), 5*mb)
			convey.So(err, convey.ShouldEqual, io.ErrUnexpectedEOF)
			shouldHold(b, 0, 0)
		})
		convey.Convey("callers that send slowly hold what came", func() {
			var all sync.WaitGroup
			var slow []*slowBody
			for range 5 {
				s := newSlowBody(10)
				slow = append(slow, s)
				all.Go(func() {
					if d, err := b.Read(s, 4*mb); err == nil {
						d.Release()
					}
				})
				// At first they count with what they announce, so that not all of them are let in.
				select {
				case <-s.waiting:
				case <-time.After(50 * time.Millisecond):
				}
			}
			c.advance(5 * time.Second)
			for range 4 {
				_, err := read(4 * mb)
				convey.So(err, convey.ShouldBeNil)
			}
			for _, s := range slow {
				s.rest <- strings.NewReader("")
			}
			all.Wait()
		})
		convey.Convey("one that grows without room is given up, if it is the longest", func() {
			s := newSlowBody(9 * mb)
			failed := make(chan error)
			go func() {
				_, err := b.Read(s, -1)
				failed <- err
			}()
			<-s.waiting
			d, err := b.Read(bodyOf(8*mb), -1)
			convey.So(err, convey.ShouldBeNil)
			s.rest <- bodyOf(9 * mb)
			shouldRefuse(<-failed, true)
			shouldHold(b, 8*mb, 1)
			d.Release()
		})
		convey.Convey("or the longest in its place", func() {
			s := newSlowBody(12 * mb)
			failed := make(chan error)
			go func() {
				_, err := b.Read(s, -1)
				failed <- err
			}()
			<-s.waiting
			d, err := b.Read(bodyOf(9*mb), -1)
			convey.So(err, convey.ShouldBeNil)
			shouldRefuse(<-failed, true)
			shouldHold(b, 9*mb, 1)
			d.Release()
		})
	})
}

// TestBudgetOfRandomBodies holds that a budget is not exceeded, nor kept, by any series of bodies.
func TestBudgetOfRandomBodies(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const limit = mb
		b := requestbodies.New(limit, time.Now)
		var held []*requestbodies.Body
		sum := int64(0)
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			if len(held) > 0 && rapid.Bool().Draw(r, "releases") {
				i := rapid.IntRange(0, len(held)-1).Draw(r, "which")
				sum -= held[i].Len()
				held[i].Release()
				held = append(held[:i], held[i+1:]...)
			}
			n := rapid.IntRange(0, limit/2).Draw(r, "bytes")
			announced := int64(n)
			if rapid.Bool().Draw(r, "unknown") {
				announced = -1
			}
			d, err := b.Read(bodyOf(n), announced)
			if err != nil {
				if sum+int64(n) <= limit*8/10 {
					r.Fatalf("%d bytes were refused beside %d: %v", n, sum, err)
				}
				continue
			}
			if d.Len() != int64(n) {
				r.Fatalf("%d of %d bytes", d.Len(), n)
			}
			sum += d.Len()
			held = append(held, d)
			if state := b.State(); state.Held != sum || state.Held > limit || state.Bodies != len(held) || state.Reading != 0 {
				r.Fatalf("%+v, held are %d bytes of %d bodies", state, sum, len(held))
			}
		}
	})
}

// TestBudgetBytes holds how large a budget is.
func TestBudgetBytes(t *testing.T) {
	convey.Convey("It is a part of the memory, and never too little for some requests", t, func() {
		convey.So(requestbodies.BudgetBytes(0), convey.ShouldEqual, 128*mb)
		convey.So(requestbodies.BudgetBytes(284*mb), convey.ShouldBeBetween, 85*mb, 86*mb)
		convey.So(requestbodies.BudgetBytes(20*mb), convey.ShouldEqual, 16*mb)
	})
}
