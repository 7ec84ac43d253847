package explain

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

const recorded = `  12.5 node-b {"level":"warn","request":"r1","target":"t1","reason":"connection-lost","again":true,"time":1500,"message":"request: attempt failed"}
not a log line
node-a {"level":"info","request":"r1","stage":0,"time":1100,"message":"request: stage made"}
{"level":"info","request":"r2","time":1200,"message":"request: ended"}
{"level":"warn","request":"r1","verdict":"may-have-run","time":1750,"message":"request: ended"}
`

func execute(args ...string) (string, error) {
	var out bytes.Buffer
	f := factory.New("test")
	f.In, f.Out = strings.NewReader(recorded), &out
	cmd := NewCmdExplain(f, nil)
	cmd.SetArgs(args)
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	err := cmd.Execute()
	return out.String(), err
}

func TestExplain(t *testing.T) {
	convey.Convey("A request's lines are told in order, over nodes, with what decided them", t, func() {
		out, err := execute("r1")
		convey.So(err, convey.ShouldBeNil)
		made, failed, ended := strings.Index(out, "+0.000s  request: stage made  [node-a]"), strings.Index(out, "+0.400s  request: attempt failed  [12.5 node-b]"), strings.Index(out, "+0.650s  request: ended")
		convey.So(made, convey.ShouldEqual, 0)
		convey.So(failed, convey.ShouldBeGreaterThan, made)
		convey.So(ended, convey.ShouldBeGreaterThan, failed)
		convey.So(out, convey.ShouldContainSubstring, "reason: connection-lost")
		convey.So(out, convey.ShouldNotContainSubstring, "r2")
	})
	convey.Convey("The lines are to be had as JSON", t, func() {
		out, err := execute("r1", "--json")
		convey.So(err, convey.ShouldBeNil)
		var lines []line
		convey.So(json.Unmarshal([]byte(out), &lines), convey.ShouldBeNil)
		convey.So(lines, convey.ShouldHaveLength, 3)
	})
	convey.Convey("A request that no line names is an error", t, func() {
		_, err := execute("r3")
		convey.So(err, convey.ShouldNotBeNil)
	})
}
