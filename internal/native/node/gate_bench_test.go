package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// benchPlan returns a plan of one pool with n targets.
func benchPlan(n int) *bundle.Plan {
	text := `{"name":"t","number":1,"previous":"","objective":{"attainmentWeight":1,"costWeight":0},
"organisations":[{"name":"o","weight":1,"keyDigests":["sha256:0000000000000000000000000000000000000000000000000000000000000000"],
"limits":{"concurrency":100000,"requestsPerSecond":1000000,"tokensPerSecond":1000000}}],
"pools":[{"name":"p","kind":"service","checksFences":false,"checksKeys":false,"targets":[`
	for i := range n {
		text += fmt.Sprintf(`{"name":"t%d","address":"127.0.%d.%d:1","dataCentre":"d%d","slots":8},`, i, i/250, i%250, i%4)
	}
	text += `]}],"pipelines":[{"name":"x","deadlineMs":60000,"stages":[{"name":"s","pool":"p","repeatable":true,"minimumMs":1,"cost":{"perCall":1,"perToken":0}}]}]}`
	plan, err := bundle.Parse("bench", []byte(text))
	if err != nil {
		panic(err)
	}
	return plan
}

func benchGate(n int) (*gate, *bundle.PipelinePlan) {
	g := newGate(admission.Config{DataCentre: "d0", Seed: 1}, time.Now)
	plan := benchPlan(n)
	g.apply(admission.Install{Plan: plan})
	return g, plan.Pipeline("x")
}

// BenchmarkDecision is one attempt's whole way through admission: submission,
// choice of a target, end.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 30, 100, 300, 1000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			g, p := benchGate(n)
			b.ReportAllocs()
			for b.Loop() {
				decide(g, p)
			}
		})
	}
}

func decide(g *gate, p *bundle.PipelinePlan) {
	grant, err := g.acquire(context.Background(), admission.Submit{
		Organisation: "o", Pipeline: p, Deadline: time.Now().Add(time.Minute),
	})
	if err != nil {
		panic(err)
	}
	g.end(grant, nil, time.Millisecond)
}

// BenchmarkDecisionParallel lets all processors decide at once behind the lock.
func BenchmarkDecisionParallel(b *testing.B) {
	g, p := benchGate(30)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			decide(g, p)
		}
	})
}

// decideActor makes the same decisions behind an actor's mailbox.
type decideActor struct {
	g *gate
	p *bundle.PipelinePlan
}

type decideNow struct{}

func (a *decideActor) Receive(c actor.Context) {
	if _, ok := c.Message().(decideNow); ok {
		decide(a.g, a.p)
		c.Respond(decideNow{})
	}
}

// BenchmarkDecisionActor is the way that was weighed against the lock.
func BenchmarkDecisionActor(b *testing.B) {
	g, p := benchGate(30)
	system := actor.NewActorSystem(actor.WithLoggerFactory(quietLogger))
	pid := system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return &decideActor{g, p} }))
	defer system.Shutdown()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := system.Root.RequestFuture(pid, decideNow{}, time.Minute).Result(); err != nil {
				b.Error(err)
			}
		}
	})
}
