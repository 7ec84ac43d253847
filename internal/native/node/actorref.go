package node

import (
	"log/slog"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
)

// askTimeout bounds the wait for an actor's answer. Actors do no input or output, so
// only an overloaded or stopping process is this slow.
const askTimeout = 2 * time.Second

// actorRef is the address of an actor. It is empty until spawn.
type actorRef struct {
	// mu is held while the actor is being spawned: it runs before its address is known
	// here, and what it begins may answer to it meanwhile.
	mu   sync.RWMutex
	root *actor.RootContext
	pid  *actor.PID
}

func (r *actorRef) spawn(system *actor.ActorSystem, producer actor.Producer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.root = system.Root
	r.pid = r.root.Spawn(actor.PropsFromProducer(producer))
}

// address returns the actor's address, once it has been spawned.
func (r *actorRef) address() (*actor.RootContext, *actor.PID) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.root, r.pid
}

// send puts a message into the actor's mailbox.
func (r *actorRef) send(msg any) {
	root, pid := r.address()
	root.Send(pid, msg)
}

// ask sends a message and waits for the answer. It fails when the actor gives
// none of type T within askTimeout.
func ask[T any](r *actorRef, msg any) (T, error) {
	var none T
	root, pid := r.address()
	answer, err := root.RequestFuture(pid, msg, askTimeout).Result()
	if err != nil {
		return none, err
	}
	typed, ok := answer.(T)
	if !ok {
		return none, errors.Errorf("unexpected answer %T", answer)
	}
	return typed, nil
}

// quietLogger keeps the actor library's own lines out of the node's log.
func quietLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.DiscardHandler)
}
