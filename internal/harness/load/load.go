// Package load stands in for the callers of nodes: it sends requests at times drawn
// beforehand (an open loop, so that a slow node is not spared) and accounts for
// every answer. Left out: what callers do next, such as retries and follow-up
// requests. It relies on pkg/client; a call that fails is counted by its verdict,
// and only a plan that cannot be run is an error.
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

	"github.com/honeydyke/honeydyke/internal/saturate"
	"github.com/honeydyke/honeydyke/internal/wait"
	"github.com/honeydyke/honeydyke/pkg/client"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// maxRequests and maxDuration bound one run.
	maxRequests = 1_000_000
	maxDuration = 10 * time.Minute
	// idlePerNode is how many idle connections to a node are kept for the next calls.
	idlePerNode = 1024
	// leastBurstRest is the least factor of the rate outside bursts, so that a burst
	// that takes the whole mean does not stop the arrivals for good.
	leastBurstRest = 0.01
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
	return max(rest, leastBurstRest)
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
	for _, a := range p.Arrivals() {
		if wait.For(ctx, time.Until(start.Add(a.At))) != nil {
			break
		}
		running.Add(1)
		go func() {
			defer running.Done()
			p.send(ctx, clients[a.Node], a, rec)
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

// clients returns a client for each node; all share one pool of connections.
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
	// Number counts from 0.
	Number int
	// At is the time since the start of the run.
	At    time.Duration
	Share Share
	// Node is the URL that the request is sent to.
	Node string
}

// Arrivals draws all requests of the plan beforehand, in order, so that a seed gives
// the same ones whatever the nodes do.
func (p Plan) Arrivals() []Arrival {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	total := 0.0
	for _, s := range p.Mix {
		total += s.Weight
	}
	var list []Arrival
	at := 0.0
	for {
		at += rng.ExpFloat64() / (p.Rate * p.Burst.at(saturate.Duration(at*float64(time.Second))))
		due := saturate.Duration(at * float64(time.Second))
		if due >= p.Duration {
			return list
		}
		list = append(list, Arrival{
			Number: len(list), At: due, Share: pick(p.Mix, rng.Float64()*total), Node: p.Nodes[rng.IntN(len(p.Nodes))],
		})
	}
}

// pick returns the share that x falls into, in units of weight.
func pick(mix []Share, x float64) Share {
	for _, s := range mix {
		if x < s.Weight {
			return s
		}
		x -= s.Weight
	}
	return mix[len(mix)-1]
}

// send sends one request and records what became of it.
func (p Plan) send(ctx context.Context, c *client.Client, a Arrival, rec *recorder) {
	input := Input(a.Number, a.Share.InputBytes)
	c = c.WithKey(p.Key(a.Share.Organisation))
	req := client.Request{Pipeline: a.Share.Pipeline, Input: input, Stream: a.Share.Stream, Deadline: a.Share.Deadline}
	start := time.Now()
	if a.Share.Once {
		ticket, err := c.TakeTicket(ctx, a.Share.Pipeline)
		if err != nil {
			rec.failed(a.Share.Pipeline, input, verdict.From(err))
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
		rec.failed(a.Share.Pipeline, input, verdict.From(err))
	case p.Check != nil && !p.Check(a.Share, input, answer.Output):
		rec.wrong(a.Share.Pipeline)
	default:
		rec.whole(a.Share.Pipeline, answer, first, took)
	}
}

// Input returns a text of about size bytes that only request number has.
func Input(number, size int) string {
	head := fmt.Sprintf("request %d: ", number)
	return head + strings.Repeat("x", max(0, size-len(head)))
}
