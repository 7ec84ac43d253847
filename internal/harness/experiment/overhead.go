package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/client"
)

// OverheadOptions shape the measurement of a node's overhead.
type OverheadOptions struct {
	// Concurrency is the number of callers; each sends one call after another,
	// directly and through the node in turn.
	Concurrency int
	// Calls is the number of calls of each kind per caller.
	Calls int
	// Work is how long the stand-in works on a call.
	Work time.Duration
}

// Overhead is the time of a call through one node over that of a direct one.
type Overhead struct {
	Direct   Quantiles `json:"direct"`
	Node     Quantiles `json:"node"`
	RatioP50 float64   `json:"ratioP50"`
	RatioP99 float64   `json:"ratioP99"`
}

// Quantiles are times in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50Ms"`
	P99 float64 `json:"p99Ms"`
}

// Print writes the result for people.
func (o *Overhead) Print(w io.Writer) error {
	_, err := fmt.Fprintf(w, "direct p50 %.3f ms, p99 %.3f ms\nnode   p50 %.3f ms, p99 %.3f ms\nratio  p50 %.2f, p99 %.2f\n",
		o.Direct.P50, o.Direct.P99, o.Node.P50, o.Node.P99, o.RatioP50, o.RatioP99)
	return err
}

// MeasureOverhead sends the same calls directly and through a node, in turn.
func MeasureOverhead(ctx context.Context, opts OverheadOptions) (*Overhead, error) {
	text, err := oneStage()
	if err != nil {
		return nil, err
	}
	l, err := lab.Start(ctx, text, lab.WithNodes(1), lab.WithSlots(4*opts.Concurrency),
		lab.WithSpeed(bundle.KindEncoder, standin.Speed{Base: opts.Work}))
	if err != nil {
		return nil, err
	}
	defer l.Close()
	m := &overheadMeter{direct: hdrhistogram.New(1, 60_000_000, 3), node: hdrhistogram.New(1, 60_000_000, 3)}
	ends := make(chan error, opts.Concurrency)
	for i := range opts.Concurrency {
		go func() { ends <- m.caller(ctx, l, i, opts.Calls) }()
	}
	for range opts.Concurrency {
		if err := <-ends; err != nil {
			return nil, err
		}
	}
	return m.result(), nil
}

type overheadMeter struct {
	mu     sync.Mutex
	direct *hdrhistogram.Histogram
	node   *hdrhistogram.Histogram
}

// caller sends its calls in pairs, and changes which of a pair goes first.
func (m *overheadMeter) caller(ctx context.Context, l *lab.Lab, number, calls int) error {
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	c := client.New(l.Nodes[0].URL(), examples.Key("depots"), client.WithHTTPClient(h))
	target := l.Pool("encoders")[number%2].Address()
	direct := func(id string) error { return callDirectly(ctx, h, target, id) }
	through := func(id string) error {
		_, err := c.Run(ctx, client.Request{Pipeline: "echo", Input: id}, nil)
		return err
	}
	for i := range calls {
		id := fmt.Sprintf("caller %d call %d", number, i)
		order := []func() error{
			func() error { return m.time(m.direct, func() error { return direct(id) }) },
			func() error { return m.time(m.node, func() error { return through(id) }) },
		}
		for k := range order {
			if err := order[(k+i)%len(order)](); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m *overheadMeter) time(h *hdrhistogram.Histogram, call func() error) error {
	start := time.Now()
	if err := call(); err != nil {
		return err
	}
	took := time.Since(start)
	m.mu.Lock()
	defer m.mu.Unlock()
	return h.RecordValue(took.Microseconds())
}

func (m *overheadMeter) result() *Overhead {
	o := &Overhead{Direct: quantilesOf(m.direct), Node: quantilesOf(m.node)}
	o.RatioP50 = o.Node.P50 / o.Direct.P50
	o.RatioP99 = o.Node.P99 / o.Direct.P99
	return o
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: float64(h.ValueAtQuantile(50)) / 1000, P99: float64(h.ValueAtQuantile(99)) / 1000}
}

// callDirectly calls a stand-in as the node does.
func callDirectly(ctx context.Context, h *http.Client, address, id string) error {
	body, err := json.Marshal(message.StageCall{Stage: "echo", Organisation: "depots", Input: id})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.PathStage, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(wire.HeaderIdentity, "direct")
	resp, err := h.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("the stand-in answered with status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
