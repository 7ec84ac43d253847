package standin_test

import (
	"bytes"
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/harness/standin"
)

func TestWeightStore(t *testing.T) {
	convey.Convey("A fetch over the rate is refused with a time to come back", t, func() {
		s := standin.NewWeightStore(0.001)
		var codes []int
		for range 2 {
			w := &recorded{header: http.Header{}}
			s.ServeHTTP(w, nil)
			codes = append(codes, w.status)
		}
		convey.So(codes, convey.ShouldResemble, []int{http.StatusOK, http.StatusTooManyRequests})
	})
}

// recorded is a response that is kept.
type recorded struct {
	header http.Header
	status int
	bytes.Buffer
}

func (r *recorded) Header() http.Header    { return r.header }
func (r *recorded) WriteHeader(status int) { r.status = status }
