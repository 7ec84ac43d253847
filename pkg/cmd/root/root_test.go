package root

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/pkg/client"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// childVariable makes the test's own binary run as honeydyke.
const childVariable = "HONEYDYKE_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(Main(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// execute runs a command line with captured streams.
func execute(stdin string, args ...string) (out, errs string, code int) {
	var o, e bytes.Buffer
	f := factory.New("test")
	f.In, f.Out, f.Err = strings.NewReader(stdin), &o, &e
	code = mainWith(context.Background(), f, args)
	return o.String(), e.String(), code
}

func TestEveryVerbHelps(t *testing.T) {
	var visit func(*cobra.Command)
	visit = func(cmd *cobra.Command) {
		if cmd.Name() == "completion" || cmd.Name() == "help" {
			return
		}
		t.Run(cmd.CommandPath(), func(t *testing.T) {
			convey.Convey("The verb has a short line and a long text, and an example when it runs", t, func() {
				convey.So(cmd.Short, convey.ShouldNotBeEmpty)
				convey.So(cmd.Long, convey.ShouldNotBeEmpty)
				if cmd.Runnable() {
					convey.So(cmd.Example, convey.ShouldNotBeEmpty)
				}
			})
		})
		for _, child := range cmd.Commands() {
			visit(child)
		}
	}
	visit(NewCmdRoot(factory.New("test")))
}

func TestEveryExampleParses(t *testing.T) {
	var visit func(*cobra.Command)
	visit = func(cmd *cobra.Command) {
		for example := range strings.Lines(cmd.Example) {
			t.Run(strings.TrimSpace(example), func(t *testing.T) {
				convey.Convey("The example names this verb, with flags and arguments that it takes", t, func() {
					named, rest, err := NewCmdRoot(factory.New("test")).Find(exampleArgs(example))
					convey.So(err, convey.ShouldBeNil)
					convey.So(named.CommandPath(), convey.ShouldEqual, cmd.CommandPath())
					convey.So(named.ParseFlags(rest), convey.ShouldBeNil)
					convey.So(named.ValidateArgs(named.Flags().Args()), convey.ShouldBeNil)
				})
			})
		}
		for _, child := range cmd.Commands() {
			visit(child)
		}
	}
	visit(NewCmdRoot(factory.New("test")))
}

// shellWord is one word of an example: quoted or without blanks.
var shellWord = regexp.MustCompile(`"[^"]*"|\S+`)

// exampleArgs returns the arguments that the shell gives to honeydyke in one line
// of an example, which may stand in a pipe and redirect its output.
func exampleArgs(line string) []string {
	var args []string
	for _, word := range shellWord.FindAllString(line, -1) {
		switch word {
		case "honeydyke":
			args = nil
		case ">":
			return args
		default:
			args = append(args, strings.Trim(word, `"`))
		}
	}
	return args
}

func TestExitCodes(t *testing.T) {
	bad := filepath.Join("..", "..", "bundle", "testdata", "bad", "cycle.hujson")
	good := filepath.Join("..", "..", "..", "examples", "kowhai", "bundle.hujson")
	cases := []struct {
		name string
		args []string
		code int
		says string
	}{
		{"version", []string{"version"}, factory.ExitOK, "honeydyke test"},
		{"unknown verb", []string{"fly"}, factory.ExitUsage, "unknown command"},
		{"unknown flag", []string{"version", "--loud"}, factory.ExitUsage, "unknown flag"},
		{"missing flag", []string{"node"}, factory.ExitUsage, "--settings is required"},
		{"missing argument", []string{"bundle", "check"}, factory.ExitUsage, "requires at least 1 arg"},
		{"wrong kind of key", []string{"key", "new", "door"}, factory.ExitUsage, "invalid argument"},
		{"good bundle", []string{"bundle", "check", good}, factory.ExitOK, "number 1 is good"},
		{"bad bundle", []string{"bundle", "check", bad}, factory.ExitFailure, "cycle.hujson:20: /pipelines/0/stages"},
		{"no such file", []string{"bundle", "show", "nothing"}, factory.ExitFailure, "nothing"},
		{"nobody listens", []string{"send", "--node", "http://127.0.0.1:1", "--once", "--pipeline", "p", "x"}, factory.ExitNotRun, "dial-failed (not-run)"},
		{"unknown format", []string{"load", "--node", "x", "--pipeline", "p", "--format", "png"}, factory.ExitUsage, "text, json and svg"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			convey.Convey("The exit code and the message fit", t, func() {
				out, errs, code := execute("", c.args...)
				convey.So(code, convey.ShouldEqual, c.code)
				convey.So(out+errs, convey.ShouldContainSubstring, c.says)
			})
		})
	}
}

func TestSigningOnTheCommandLine(t *testing.T) {
	convey.Convey("Two approvers make keys, sign a bundle, and a node's settings verify it", t, func() {
		dir := t.TempDir()
		write := func(name, text string) string {
			path := filepath.Join(dir, name)
			convey.So(os.WriteFile(path, []byte(text), 0o600), convey.ShouldBeNil)
			return path
		}
		file := write("bundle.hujson", string(examples.Floraria()))
		var approvers []string
		signed := file
		for i, name := range []string{"mere", "tane"} {
			out, _, code := execute("", "key", "new", "approver", "--json")
			convey.So(code, convey.ShouldEqual, 0)
			var key struct{ Secret, Public string }
			convey.So(json.Unmarshal([]byte(out), &key), convey.ShouldBeNil)
			approvers = append(approvers, fmt.Sprintf(`{"name":%q,"publicKey":%q}`, name, key.Public))
			args := []string{"bundle", "sign", signed, "--approver", name, "--key", write(name+".key", key.Secret)}
			if i > 0 {
				args = append(args, "--signed")
			}
			out, errs, code := execute("", args...)
			convey.So(errs, convey.ShouldBeEmpty)
			convey.So(code, convey.ShouldEqual, 0)
			signed = write(name+".json", out)
		}
		settings := write("settings.hujson", fmt.Sprintf(`{"dataCentre":"laredo",
			"listen":{"callers":"127.0.0.1:0","peers":"127.0.0.1:0","admin":"127.0.0.1:0"},
			"trust":{"deployment":"floraria","required":2,"approvers":[%s]},
			"keys":{"peer":%q,"ticket":%q},"configurationService":"http://127.0.0.1:1"}`,
			strings.Join(approvers, ","), strings.Repeat("p", 32), strings.Repeat("0", 64)))
		_, _, code := execute("", "node", "--settings", settings, "--check")
		convey.So(code, convey.ShouldEqual, 0)
		out, _, code := execute("", "bundle", "verify", signed, "--settings", settings)
		convey.So(out, convey.ShouldContainSubstring, "signed as required")
		convey.So(code, convey.ShouldEqual, 0)
		_, errs, code := execute("", "bundle", "verify", filepath.Join(dir, "mere.json"), "--settings", settings)
		convey.So(errs, convey.ShouldContainSubstring, "1 approvers signed; 2 are required")
		convey.So(code, convey.ShouldEqual, factory.ExitFailure)
	})
}

func TestVerbsAgainstANode(t *testing.T) {
	convey.Convey("Given a node", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		l, err := lab.Start(ctx, examples.Kowhai(), lab.WithNodes(2))
		convey.So(err, convey.ShouldBeNil)
		defer l.Close()
		one, two := l.Nodes[0], l.Nodes[1]
		key := examples.Key("depots")
		convey.Convey("send prints the whole answer, streamed or not, once or not", func() {
			for _, flags := range [][]string{nil, {"--stream"}} {
				args := append([]string{"send", "--node", one.URL(), "--key", key, "--pipeline", "availability", "a van"}, flags...)
				out, errs, code := execute("", args...)
				convey.So(errs, convey.ShouldBeEmpty)
				convey.So(code, convey.ShouldEqual, factory.ExitOK)
				convey.So(strings.TrimSpace(out), convey.ShouldEqual, lab.Expected(l.Plan, "depots", "availability", "a van"))
			}
			out, _, code := execute("locker 5", "send", "--node", two.URL(), "--key", key, "--pipeline", "release-locker", "--once", "--json", "-")
			convey.So(code, convey.ShouldEqual, factory.ExitOK)
			convey.So(out, convey.ShouldContainSubstring, `"stage": "release"`)
		})
		convey.Convey("send says that a request did not run", func() {
			_, errs, code := execute("", "send", "--node", one.URL(), "--key", "wrong", "--pipeline", "availability", "x")
			convey.So(code, convey.ShouldEqual, factory.ExitNotRun)
			convey.So(errs, convey.ShouldContainSubstring, "unauthorised (not-run)")
		})
		convey.Convey("state shows the bundle, the targets and the peers", func() {
			out, _, code := execute("", "state", "--admin", "http://"+one.AdminAddress())
			convey.So(code, convey.ShouldEqual, factory.ExitOK)
			for _, want := range []string{"bundle 1", "engines-1", two.PeerAddress(), "depots"} {
				convey.So(out, convey.ShouldContainSubstring, want)
			}
		})
		convey.Convey("load reports as text, JSON and SVG", func() {
			args := []string{"load", "--node", one.URL(), "--key", key, "--pipeline", "availability", "--rate", "30", "--duration", "500ms"}
			for format, want := range map[string]string{"text": "whole in time", "json": `"costByStage"`, "svg": "<svg"} {
				out, _, code := execute("", append(args, "--format", format)...)
				convey.So(code, convey.ShouldEqual, factory.ExitOK)
				convey.So(out, convey.ShouldContainSubstring, want)
			}
		})
	})
}

func TestProcessStopsWithoutCutting(t *testing.T) {
	convey.Convey("Given a node process with streams in flight and load from several callers", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		l, err := lab.Start(ctx, examples.Kowhai(), lab.WithNodes(0))
		convey.So(err, convey.ShouldBeNil)
		defer l.Close()
		p, err := startProcess(ctx, l, 0, nil)
		convey.So(err, convey.ShouldBeNil)
		defer p.kill()
		convey.So(lab.WaitReady(ctx, p.admin), convey.ShouldBeNil)
		c := client.New(p.url(), examples.Key("members-app"))
		const callers = 16
		begun := make(chan struct{}, callers)
		ends := make(chan error, callers)
		for i := range callers {
			go func() { ends <- callUntilRefused(ctx, l, c, i, begun) }()
		}
		for range callers {
			<-begun
		}
		convey.So(p.signal(syscall.SIGTERM), convey.ShouldBeNil)
		for range callers {
			convey.So(<-ends, convey.ShouldBeNil)
		}
		convey.So(p.wait(), convey.ShouldBeNil)
		convey.So(p.logged(), convey.ShouldContainSubstring, "stop: ended")
	})
}

// callUntilRefused asks for one streamed reply after another until the node
// refuses one as not run, or its port is closed.
func callUntilRefused(ctx context.Context, l *lab.Lab, c *client.Client, caller int, begun chan<- struct{}) error {
	for n := 0; ; n++ {
		input := fmt.Sprintf("caller %d request %d", caller, n)
		first := n == 0
		answer, err := c.Run(ctx, client.Request{Pipeline: "chat-reply", Input: input, Stream: true}, func(string) {
			if first {
				begun <- struct{}{}
			}
			first = false
		})
		if err != nil && verdict.From(err).Verdict() == verdict.NotRun {
			return nil
		}
		if err != nil {
			return err
		}
		if answer.Output != lab.Expected(l.Plan, "members-app", "chat-reply", input) {
			return fmt.Errorf("%s got another answer", input)
		}
	}
}
