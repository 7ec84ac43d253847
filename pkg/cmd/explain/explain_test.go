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
{"level":"info","request":"first","lasts":1533.8,"left":2197.4,"stage0":"rank 4 items behind 1.25s","waitMs":1253.8,"boundMs":1137.79,"windowMs":2197.4,"planShare":0.85,"aloneMs":280,"leadMs":150,"priorityMarginMs":300,"minWaitMs":150,"retried":false,"time":2000,"message":"request: refused, the stages would take too long"}
{"level":"info","request":"second","lasts":1533.8,"left":-20,"waitMs":1253.8,"boundMs":150,"windowMs":500,"planShare":0.85,"aloneMs":280,"leadMs":150,"priorityMarginMs":0,"minWaitMs":150,"retried":true,"time":2000,"message":"request: refused, the stages would take too long"}
{"level":"info","request":"third","lasts":1533.8,"left":1500,"waitMs":253.8,"boundMs":150,"windowMs":1500,"planShare":0.85,"aloneMs":280,"leadMs":150,"priorityMarginMs":0,"minWaitMs":150,"retried":false,"overShare":true,"time":2000,"message":"request: refused, the stages would take too long"}
{"level":"warn","request":"r1","verdict":"may-have-run","time":1750,"message":"request: ended"}
{"level":"warn","request":"copied","target":"t1","verdict":"not-run","answer":"421 of \"old\" to call 3","connection":"7 from a:1 to b:2","before":["200 of \"older\" to call 1","421 of \"old\" to call 2"],"time":2000,"message":"request: attempt failed"}
{"level":"warn","requests":["other","batched"],"target":"t1","answer":"503 of \"\" to call 1","connection":"8 from a:1 to b:2","time":2000,"message":"items: batch failed"}
{"level":"warn","request":"displaced","took":321,"verdict":"not-run","reason":"overload","withdrawnBy":"rank","waitedMs":320.5,"latePriority":2,"projectedMs":2312,"dueMs":1500,"time":2000,"message":"request: ended"}
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
}

const background = `node-a {"level":"info","dataCentre":"d1","from":"","time":100,"message":"view: data centre evacuated"}
node-a {"level":"info","dataCentre":"d2","from":"","time":200,"message":"view: data centre evacuated"}
node-a {"level":"info","dataCentre":"d2","from":"","time":300,"message":"view: data centre taken back"}
node-a {"level":"info","dataCentre":"d3","from":"","time":9000,"message":"view: data centre evacuated"}
node-b {"level":"warn","digest":"ab","targets":["t1","t2"],"held":60000,"from":"","time":900,"message":"quarantine: request held, targets ended with it"}
node-b {"level":"warn","digest":"cd","targets":["t3","t4"],"held":60000,"from":"","time":950,"message":"quarantine: request held, targets ended with it"}
node-b {"level":"info","digest":"ab","from":"","time":9000,"message":"quarantine: request released, a target answered it"}
node-a {"level":"warn","request":"r9","verdict":"not-run","reason":"quarantined","digest":"ab","time":1000,"message":"request: ended"}
`

func TestExplainBackground(t *testing.T) {
	convey.Convey("Beside a request stand what was evacuated then and why such requests were held, and nothing else", t, func() {
		var s story
		convey.So(s.read("-", strings.NewReader(background), "r9"), convey.ShouldBeNil)
		var told []string
		for _, l := range s.lines() {
			told = append(told, strings.SplitN(l.text(s.own[0].at()), "\n", 2)[0])
		}
		convey.So(told, convey.ShouldResemble, []string{
			"-0.900s  view: data centre evacuated  [node-a]",
			"-0.100s  quarantine: request held, targets ended with it  [node-b]",
			"+0.000s  request: ended  [node-a]",
		})
	})
}

func TestExplainRefusal(t *testing.T) {
	convey.Convey("A refusal says in a sentence what was compared", t, func() {
		shouldPrint := func(request, sentence string) {
			out, err := execute(request)
			convey.So(err, convey.ShouldBeNil)
			convey.So(out, convey.ShouldContainSubstring, "\n         "+sentence+"\n")
		}
		convey.Convey("of a first attempt with the time to its objective", func() {
			shouldPrint("first", "The stages would have waited 1253.8 ms for other requests, more than the 1137.8 ms left for it: 0.85 of the 2197.4 ms to the objective, less 280.0 ms for the stages themselves, 150.0 ms for the engine and 300.0 ms for the route's priority.")
		})
		convey.Convey("or, of an admitted request, what displaced it", func() {
			shouldPrint("displaced", "The request was admitted and refused 320.5 ms later, before anything of it ran, because more urgent work had displaced it: with its items, work of priority 2 at rank would have been done 812.0 ms after it was due.")
		})
		convey.Convey("of a retry with its whole objective, and of a short one with the least wait", func() {
			shouldPrint("second", "The stages would have waited 1253.8 ms for other requests, more than the 150.0 ms that are always allowed: 0.85 of the 500.0 ms of the whole objective, as for each retry, less 280.0 ms for the stages themselves, 150.0 ms for the engine and 0.0 ms for the route's priority.")
		})
		convey.Convey("of a request over its organisation's share with the wait that such a request is allowed", func() {
			shouldPrint("third", "The stages would have waited 253.8 ms for other requests, and the request's organisation asked for more than its share of a full service; such a request may wait for 150.0 ms.")
		})
	})
}

// TestExplainEvidence guards against an incident in which nothing tells whose answer a refusal was
// believed from.
func TestExplainEvidence(t *testing.T) {
	convey.Convey("A failed attempt says from which answer it was concluded and what came before on the connection", t, func() {
		out, err := execute("copied")
		convey.So(err, convey.ShouldBeNil)
		convey.So(out, convey.ShouldContainSubstring, "\n         The verdict \"not-run\" was concluded from the answer 421 of \"old\" to call 3 on connection 7 from a:1 to b:2, which had brought before: 200 of \"older\" to call 1, 421 of \"old\" to call 2.\n")
	})
	convey.Convey("So does a failed batch, for each request with items in it", t, func() {
		out, err := execute("batched")
		convey.So(err, convey.ShouldBeNil)
		convey.So(out, convey.ShouldContainSubstring, "\n         This was concluded from the answer 503 of \"\" to call 1 on connection 8 from a:1 to b:2, which had brought nothing before.\n")
	})
}

func TestExplainInput(t *testing.T) {
	convey.Convey("The lines are to be had as JSON", t, func() {
		out, err := execute("r1", "--json")
		convey.So(err, convey.ShouldBeNil)
		var lines []line
		convey.So(json.Unmarshal([]byte(out), &lines), convey.ShouldBeNil)
		convey.So(lines, convey.ShouldHaveLength, 3)
	})
	convey.Convey("A file is read up to a line that is too long, and the rest reported", t, func() {
		long := strings.Repeat("x", maxLine)
		var s story
		convey.So(s.read("-", strings.NewReader(recorded+long+"\n"+recorded), "r1"), convey.ShouldNotBeNil)
		convey.So(s.own, convey.ShouldHaveLength, 3)
	})
	convey.Convey("A request that no line names is an error", t, func() {
		_, err := execute("r3")
		convey.So(err, convey.ShouldNotBeNil)
	})
}
