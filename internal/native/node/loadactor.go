package node

import (
	"github.com/asynkron/protoactor-go/actor"
)

// reportDone says to loadActor that a report was read or could not be. The actor
// also takes timePassed.
type reportDone struct{}

// loadActor reads the load reports of the targets, one at a time.
type loadActor struct {
	gate    *gate
	reports *reportReader
	self    *actorRef

	reading bool
}

// Receive implements actor.Actor.
func (a *loadActor) Receive(c actor.Context) {
	switch c.Message().(type) {
	case timePassed:
		a.read()
	case reportDone:
		a.reading = false
	}
}

// read reads the report that is worth most, unless one is being read.
func (a *loadActor) read() {
	target, ok := a.gate.nextReport()
	if a.reading || !ok {
		return
	}
	a.reading = true
	go func() {
		a.reports.read(target)
		a.self.send(reportDone{})
	}()
}
