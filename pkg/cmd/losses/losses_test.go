package losses

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

const recorded = `node-a {"dataCentre":"d1","time":1000,"message":"node: started"}
node-a {"request":"r1","route":"a","objective":100,"first":50,"took":60,"time":1500,"message":"request: ended"}
node-a {"request":"r2","route":"a","objective":100,"stages":90,"first":150,"took":160,"time":2500,"message":"request: ended"}
node-b {"request":"r3","route":"b","verdict":"not-run","reason":"overload","took":1,"time":3500,"message":"request: ended"}
node-b {"request":"r4",
`

func execute(args ...string) (stdout, stderr string, err error) {
	var out, errs bytes.Buffer
	f := factory.New("test")
	f.In, f.Out, f.Err = strings.NewReader(recorded), &out, &errs
	cmd := NewCmdLosses(f, nil)
	cmd.SetArgs(args)
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	err = cmd.Execute()
	return out.String(), errs.String(), err
}

// shouldExitWith asserts the exit code of a command line.
func shouldExitWith(code int, args ...string) {
	_, _, err := execute(args...)
	convey.So(factory.ExitCode(err), convey.ShouldEqual, code)
}

func TestLosses(t *testing.T) {
	convey.Convey("The table names each cause with its rule, and the sum of all", t, func() {
		out, _, err := execute()
		convey.So(err, convey.ShouldBeNil)
		convey.So(out, convey.ShouldContainSubstring, "admission, internal/gateway/relay/rules/admission.go, the services of the stages")
		convey.So(out, convey.ShouldContainSubstring, "stages, internal/gateway/batching/order.go")
		convey.So(out, convey.ShouldContainSubstring, "5 lines read, 3 of requests, 0 that do not parse")
	})
	convey.Convey("The sums come as JSON too, by data centre, with what is unknown", t, func() {
		out, _, err := execute("--json", "--by", "data-centre")
		convey.So(err, convey.ShouldBeNil)
		var r report
		convey.So(json.Unmarshal([]byte(out), &r), convey.ShouldBeNil)
		convey.So(r.Total.Requests, convey.ShouldEqual, 3)
		convey.So(r.Rows, convey.ShouldHaveLength, 2)
		convey.So(r.Rows[0].Group, convey.ShouldEqual, "d1")
		convey.So(r.Rows[1].Group, convey.ShouldEqual, "unknown")
	})
	convey.Convey("Requests count by route and time", t, func() {
		out, _, err := execute("--json", "--route", "a", "--from", "1970-01-01T00:00:02Z", "--to", "1970-01-01T00:00:03Z")
		convey.So(err, convey.ShouldBeNil)
		var r report
		convey.So(json.Unmarshal([]byte(out), &r), convey.ShouldBeNil)
		convey.So(r.Total.Requests, convey.ShouldEqual, 1)
	})
	convey.Convey("A picture is drawn", t, func() {
		file := filepath.Join(t.TempDir(), "losses.svg")
		_, _, err := execute("--svg", file)
		convey.So(err, convey.ShouldBeNil)
		svg, err := os.ReadFile(file)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(svg), convey.ShouldContainSubstring, "late: stages")
	})
	convey.Convey("A file that is not there is reported, the others count, and the end is an error", t, func() {
		out, errs, err := execute("missing.log", "-")
		convey.So(err.Error(), convey.ShouldContainSubstring, "1 of 2 logs")
		convey.So(factory.ExitCode(err), convey.ShouldNotEqual, 0)
		convey.So(errs, convey.ShouldContainSubstring, "missing.log")
		convey.So(out, convey.ShouldContainSubstring, "3 of requests")
	})
	convey.Convey("Arguments that do not read are refused", t, func() {
		shouldExitWith(factory.ExitUsage, "--by", "moon")
		shouldExitWith(factory.ExitUsage, "--from", "yesterday")
		shouldExitWith(factory.ExitUsage, "--to", "yesterday")
	})
}
