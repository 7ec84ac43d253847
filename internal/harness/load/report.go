package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/honeydyke/honeydyke/pkg/client"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// maxMicros is the longest time that the histograms hold, in microseconds.
	maxMicros = int64(maxDuration / time.Microsecond)
	// digits is how many significant digits of a time the histograms keep.
	digits = 3
)

// Latency sums up times, in milliseconds.
type Latency struct {
	P50 float64 `json:"p50Ms"`
	P95 float64 `json:"p95Ms"`
	P99 float64 `json:"p99Ms"`
	Max float64 `json:"maxMs"`
}

// PipelineReport is what became of one pipeline's requests.
type PipelineReport struct {
	// Sent counts requests.
	Sent int `json:"sent"`
	// Whole counts whole answers within their deadline.
	Whole int `json:"whole"`
	// Wrong counts answers to other requests.
	Wrong int `json:"wrong"`
	// NotRun, MayHaveRun and Ran count refusals by verdict.
	NotRun     int `json:"notRun"`
	MayHaveRun int `json:"mayHaveRun"`
	Ran        int `json:"ran"`
	// Reasons counts refusals by reason.
	Reasons map[string]int `json:"reasons"`
	// Attainment is Whole over Sent.
	Attainment float64 `json:"attainment"`
	// Answer is the time to the whole answer; First is that to the first text.
	Answer Latency `json:"answer"`
	First  Latency `json:"first"`
	// CostByStage is the mean cost of each stage over whole answers.
	CostByStage map[string]float64 `json:"costByStage"`

	answers *hdrhistogram.Histogram
	firsts  *hdrhistogram.Histogram
	costs   map[string]float64
}

// Report is what became of a run.
type Report struct {
	Seconds    float64                    `json:"seconds"`
	Sent       int                        `json:"sent"`
	Whole      int                        `json:"whole"`
	Wrong      int                        `json:"wrong"`
	Attainment float64                    `json:"attainment"`
	Pipelines  map[string]*PipelineReport `json:"pipelines"`
	// NotRun lists the inputs whose callers got the verdict that they did not run.
	NotRun []string `json:"-"`
}

// recorder collects results from many goroutines.
type recorder struct {
	mu        sync.Mutex
	pipelines map[string]*PipelineReport
	notRun    []string
}

func newRecorder() *recorder { return &recorder{pipelines: make(map[string]*PipelineReport)} }

// of returns the report of a pipeline and counts one request. The lock is held.
func (r *recorder) of(pipeline string) *PipelineReport {
	p := r.pipelines[pipeline]
	if p == nil {
		p = &PipelineReport{
			Reasons: make(map[string]int),
			answers: hdrhistogram.New(1, maxMicros, digits),
			firsts:  hdrhistogram.New(1, maxMicros, digits),
			costs:   make(map[string]float64),
		}
		r.pipelines[pipeline] = p
	}
	p.Sent++
	return p
}

func (r *recorder) whole(pipeline string, answer *client.Answer, first, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.of(pipeline)
	p.Whole++
	// A time beyond maxMicros is counted as whole and left out of the times.
	_ = p.answers.RecordValue(took.Microseconds())
	_ = p.firsts.RecordValue(first.Microseconds())
	for _, s := range answer.Stages {
		p.costs[s.Stage] += s.Cost
	}
}

func (r *recorder) wrong(pipeline string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(pipeline).Wrong++
}

func (r *recorder) failed(pipeline, input string, err *verdict.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.of(pipeline)
	p.Reasons[string(err.Reason())]++
	switch err.Verdict() {
	case verdict.NotRun:
		p.NotRun++
		r.notRun = append(r.notRun, input)
	case verdict.Ran:
		p.Ran++
	default:
		p.MayHaveRun++
	}
}

func (r *recorder) report(took time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := &Report{Seconds: took.Seconds(), Pipelines: r.pipelines, NotRun: r.notRun}
	for _, p := range r.pipelines {
		p.sum()
		rep.Sent += p.Sent
		rep.Whole += p.Whole
		rep.Wrong += p.Wrong
	}
	rep.Attainment = ratio(rep.Whole, rep.Sent)
	return rep
}

func (p *PipelineReport) sum() {
	p.Attainment = ratio(p.Whole, p.Sent)
	p.Answer = latencyOf(p.answers)
	p.First = latencyOf(p.firsts)
	p.CostByStage = make(map[string]float64)
	for stage, cost := range p.costs {
		p.CostByStage[stage] = cost / float64(p.Whole)
	}
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// Print writes the report for people.
func (r *Report) Print(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%-18s %6s %6s %7s %8s %8s %9s %9s  %s\n",
		"pipeline", "sent", "whole", "attain", "not-run", "may-have", "p50 ms", "p99 ms", "cost by stage")
	if err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(r.Pipelines)) {
		p := r.Pipelines[name]
		if _, err := fmt.Fprintf(w, "%-18s %6d %6d %6.1f%% %8d %8d %9.1f %9.1f  %s\n",
			name, p.Sent, p.Whole, 100*p.Attainment, p.NotRun, p.MayHaveRun+p.Ran, p.Answer.P50, p.Answer.P99, costs(p.CostByStage)); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(w, "all: %d sent, %d whole in time (%.1f%%), %d wrong\n", r.Sent, r.Whole, 100*r.Attainment, r.Wrong)
	return err
}

func costs(byStage map[string]float64) string {
	line := ""
	for _, stage := range slices.Sorted(maps.Keys(byStage)) {
		line += fmt.Sprintf("%s %.2f  ", stage, byStage[stage])
	}
	return line
}
