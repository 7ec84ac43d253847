// Package send holds the verb that sends one request.
package send

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/wait"
	"github.com/honeydyke/honeydyke/pkg/client"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// maxAttempts is how often one request is sent at most.
	maxAttempts = 5
	// minPause passes at least between two attempts.
	minPause = 100 * time.Millisecond
)

// Options are the parts and flags of the verb.
type Options struct {
	factory.CallFlags
	Factory *factory.Factory
	Input   string
	Stream  bool
	Once    bool
	JSON    bool
}

// NewCmdSend returns the verb.
func NewCmdSend(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "send --node <url> --pipeline <name> <input>",
		Short: "Send one request",
		Long: "Send one request and print the whole answer, or say whether it may have run.\n" +
			"A request that is safe to retry is sent again, to the next node given, up to five\n" +
			"times. With --once a ticket is taken first, and the request runs at most once\n" +
			"however often it is sent. An input of - is read from standard input.\n\n" +
			"Exit codes: 0 whole answer, 3 not run, 4 ran or may have run.",
		Example: "  honeydyke send --node http://10.0.0.1:8080 --pipeline availability \"a van in Nelson\"\n" +
			"  honeydyke send --node http://10.0.0.1:8080 --node http://10.0.0.2:8080 --once --pipeline release-locker \"locker 12\"",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Input = args[0]
			if err := opts.Complete(); err != nil {
				return err
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	opts.Add(cmd)
	cmd.Flags().BoolVar(&opts.Stream, "stream", false, "print the answer piece by piece")
	cmd.Flags().BoolVar(&opts.Once, "once", false, "run at most once, by a ticket")
	factory.AddJSONFlag(cmd, &opts.JSON)
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	if opts.Input == "-" {
		text, err := opts.Factory.Read("-")
		if err != nil {
			return err
		}
		opts.Input = string(text)
	}
	c := client.New(opts.Nodes[0], opts.Key)
	req := client.Request{Pipeline: opts.Pipeline, Input: opts.Input, Stream: opts.Stream, Deadline: opts.Deadline}
	if opts.Once {
		if err := takeTicket(ctx, c, &req); err != nil {
			return err
		}
	}
	answer, err := attempts(ctx, opts, c, req)
	if err != nil {
		return err
	}
	text := answer.Output + "\n"
	if opts.Stream {
		text = "\n"
	}
	return opts.Factory.Print(opts.JSON, answer, factory.Text(text))
}

func takeTicket(ctx context.Context, c *client.Client, req *client.Request) error {
	ticket, err := c.TakeTicket(ctx, req.Pipeline)
	if err != nil {
		return err
	}
	req.Ticket = ticket.Ticket
	return nil
}

// attempts sends the request until it is answered or must not be sent again.
func attempts(ctx context.Context, opts *Options, c *client.Client, req client.Request) (*client.Answer, error) {
	var err error
	for i := range maxAttempts {
		sent := 0
		var answer *client.Answer
		answer, err = c.WithBase(opts.Nodes[i%len(opts.Nodes)]).Run(ctx, req, func(text string) {
			sent += len(text)
			if opts.Stream && !opts.JSON {
				_, _ = fmt.Fprint(opts.Factory.Out, text)
			}
		})
		if err == nil {
			return answer, nil
		}
		e := verdict.From(err)
		again := e.SafeToRetry() || req.Ticket != ""
		if !again || !worthRetrying(e) || (sent > 0 && !opts.JSON) {
			return nil, err
		}
		_, _ = fmt.Fprintln(opts.Factory.Err, "honeydyke: trying again:", e)
		if req.Ticket != "" && e.Verdict() == verdict.NotRun {
			// A ticket whose run was refused stays spent.
			if err := takeTicket(ctx, c, &req); err != nil {
				return nil, err
			}
		}
		if wait.For(ctx, max(e.RetryAfter(), minPause)) != nil {
			return nil, err
		}
	}
	return nil, err
}

// worthRetrying says whether another attempt can end differently.
func worthRetrying(e *verdict.Error) bool {
	switch e.Reason() {
	case verdict.ReasonBadRequest, verdict.ReasonUnauthorised, verdict.ReasonNotFound, verdict.ReasonTooLarge,
		verdict.ReasonTicketNeeded, verdict.ReasonTicketInvalid, verdict.ReasonTicketExpired, verdict.ReasonHomeGone:
		return false
	}
	return true
}
