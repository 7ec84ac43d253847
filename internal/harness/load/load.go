// Package load sends requests to nodes as independent callers do: arrivals are
// open-loop, so a slow node is not spared, and every answer is accounted for.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/wait"
	"github.com/honeydyke/honeydyke/pkg/client"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// maxRequests bounds one run.
	maxRequests = 1_000_000
	// maxDuration bounds one run.
	maxDuration = 10 * time.Minute
	// idlePerNode is enough for the calls that a run has open at once.
	idlePerNode = 1024
)

// Share is one part of a mix of requests.
type Share struct {
	Pipeline     string
	Organisation string
	// Weight is the part's share of all arrivals, relative to the others'.
	Weight float64
	// InputBytes is the size of the input.
	InputBytes int
	// Stream asks for the answer piece by piece.
	Stream bool
	// Deadline is the caller's; the pipeline's when zero.
	Deadline time.Duration
	// Once takes a ticket for each request.
	Once bool
}

// Plan describes one run.
type Plan struct {
	// Nodes are the URLs of the nodes, which are called in turn at random.
	Nodes []string
	// Key returns the bearer key of an organisation.
	Key func(organisation string) string
	// Rate is the mean of arrivals a second; the gaps are exponential.
	Rate float64
	// Duration is how long requests arrive.
	Duration time.Duration
	// Seed makes arrivals repeatable.
	Seed uint64
	Mix  []Share
	// Burst raises the rate for a while, again and again.
	Burst Burst
	// Check returns whether an answer is the right one; nil accepts all.
	Check func(share Share, input, output string) bool
}

// Burst multiplies the rate by Factor for Length out of every Every; the zero
// value is no burst. The mean rate of the plan stays as it is.
type Burst struct {
	Every  time.Duration
	Length time.Duration
	Factor float64
}

// at returns the factor of the rate at a time of the run.
func (b Burst) at(t time.Duration) float64 {
	if b.Every <= 0 {
		return 1
	}
	share := b.Length.Seconds() / b.Every.Seconds()
	rest := (1 - share*b.Factor) / (1 - share)
	if t%b.Every < b.Length {
		return b.Factor
	}
	return max(rest, 0.01)
}

// arrival is one request of a run.
type arrival struct {
	number int
	at     time.Duration
	share  Share
	node   string
}

// Run sends the requests of a plan and waits for all answers.
func Run(ctx context.Context, p Plan) (*Report, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	rec := newRecorder()
	clients := p.clients()
	var running sync.WaitGroup
	start := time.Now()
	for _, a := range p.arrivals() {
		if wait.For(ctx, time.Until(start.Add(a.at))) != nil {
			break
		}
		running.Add(1)
		go func() {
			defer running.Done()
			p.send(ctx, clients[a.node], a, rec)
		}()
	}
	running.Wait()
	return rec.report(time.Since(start)), ctx.Err()
}

func (p Plan) check() error {
	switch {
	case len(p.Nodes) == 0:
		return errors.New("a load needs at least one node")
	case len(p.Mix) == 0:
		return errors.New("a load needs a mix")
	case p.Rate <= 0 || p.Duration <= 0 || p.Duration > maxDuration:
		return errors.Errorf("the rate must be above 0 and the duration at most %s", maxDuration)
	case p.Rate*p.Duration.Seconds() > maxRequests:
		return errors.Errorf("a load has at most %d requests", maxRequests)
	}
	return nil
}

func (p Plan) clients() map[string]*client.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerNode, MaxIdleConns: 0}
	h := &http.Client{Transport: transport}
	clients := make(map[string]*client.Client)
	for _, url := range p.Nodes {
		clients[url] = client.New(url, "", client.WithHTTPClient(h))
	}
	return clients
}

// Arrival is one request of a plan.
type Arrival struct {
	At    time.Duration
	Share Share
}

// Arrivals lists all requests of the plan, in order.
func (p Plan) Arrivals() []Arrival {
	var list []Arrival
	for _, a := range p.arrivals() {
		list = append(list, Arrival{At: a.at, Share: a.share})
	}
	return list
}

// arrivals draws all requests beforehand, so that a seed gives the same ones
// whatever the nodes do.
func (p Plan) arrivals() []arrival {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	total := 0.0
	for _, s := range p.Mix {
		total += s.Weight
	}
	var list []arrival
	at := 0.0
	for {
		at += rng.ExpFloat64() / (p.Rate * p.Burst.at(time.Duration(at*float64(time.Second))))
		due := time.Duration(at * float64(time.Second))
		if due >= p.Duration {
			return list
		}
		list = append(list, arrival{
			number: len(list), at: due, share: pick(p.Mix, rng.Float64()*total), node: p.Nodes[rng.IntN(len(p.Nodes))],
		})
	}
}

func pick(mix []Share, x float64) Share {
	for _, s := range mix {
		if x < s.Weight {
			return s
		}
		x -= s.Weight
	}
	return mix[len(mix)-1]
}

func (p Plan) send(ctx context.Context, c *client.Client, a arrival, rec *recorder) {
	input := Input(a.number, a.share.InputBytes)
	c = c.WithKey(p.Key(a.share.Organisation))
	req := client.Request{Pipeline: a.share.Pipeline, Input: input, Stream: a.share.Stream, Deadline: a.share.Deadline}
	start := time.Now()
	if a.share.Once {
		ticket, err := c.TakeTicket(ctx, a.share.Pipeline)
		if err != nil {
			rec.failed(a.share.Pipeline, input, verdict.From(err))
			return
		}
		req.Ticket = ticket.Ticket
	}
	first := time.Duration(0)
	answer, err := c.Run(ctx, req, func(string) {
		if first == 0 {
			first = time.Since(start)
		}
	})
	took := time.Since(start)
	switch {
	case err != nil:
		rec.failed(a.share.Pipeline, input, verdict.From(err))
	case p.Check != nil && !p.Check(a.share, input, answer.Output):
		rec.wrong(a.share.Pipeline)
	default:
		rec.whole(a.share.Pipeline, answer, first, took)
	}
}

// Input returns a text of about size bytes that only request number has.
func Input(number, size int) string {
	head := fmt.Sprintf("request %d: ", number)
	return head + strings.Repeat("x", max(0, size-len(head)))
}
