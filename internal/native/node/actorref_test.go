package node

import (
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/smartystreets/goconvey/convey"
)

// TestMessageBeforeSpawnReturns holds a failure of the fault matrix beside load: an actor
// that was being spawned had begun an exchange, whose answer came before the one who
// spawned it knew the actor's address, and the process panicked.
func TestMessageBeforeSpawnReturns(t *testing.T) {
	convey.Convey("A message that is sent to an actor while it is being spawned reaches it", t, func() {
		ref := &actorRef{}
		got := make(chan any, 1)
		begun := make(chan struct{})
		ref.spawn(actor.NewActorSystem(actor.WithLoggerFactory(quietLogger)), func() actor.Actor {
			go func() {
				close(begun)
				ref.send("answer")
			}()
			<-begun
			time.Sleep(20 * time.Millisecond)
			return receiver(func(msg any) { got <- msg })
		})
		convey.So(<-got, convey.ShouldEqual, "answer")
	})
}

// receiver passes on the texts that it receives.
type receiver func(msg any)

func (r receiver) Receive(ctx actor.Context) {
	if text, is := ctx.Message().(string); is {
		r(text)
	}
}
