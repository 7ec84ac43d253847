package relay

import (
	"context"
	"io"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/streamorigin"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// PromptPart is a part of a prompt. Requests can have parts in common.
type PromptPart struct {
	ID string
	// Tokens is the length of the part.
	Tokens int
}

// Request is one request of a client. A retry by the client is a Request of its own.
type Request struct {
	ID   string
	Host string
	Path string
	// Key is the API key that the client sent; empty for none.
	Key string
	// Arrived is when the request was received.
	Arrived time.Time
	// Timeout is how long the client waits; 0 if unknown.
	Timeout time.Duration
	// Parts are the parts of the prompt, in order. All but the last may be shared with other
	// requests.
	Parts []PromptPart
	// Tokens is the length of the whole prompt.
	Tokens int
	// Items is the request's number of items in each stage of its route.
	Items []int
	// Source is the key of the data that the first stages' items are computed from.
	Source string
	// LastEvent is the event after which the client resumes a stream; empty for the start.
	LastEvent string
	// Resumes is the ID of the request that brought the client the first event of the stream
	// that it resumes; empty for none.
	Resumes string
	// Content is the hash of method, path, query and body. It is the same when the client
	// retries.
	Content uint64
	// Payload is what the adapter forwards, in its own representation.
	Payload any
}

// Call is a request on its way to one target.
type Call struct {
	Target directory.Target
	ID     string
	// Payload is that of the Request.
	Payload any
	// Repeatable is set if the request may be sent to another target after this one.
	Repeatable bool
	// Deadline is the response deadline, after which the response is of no use.
	Deadline time.Time
	// Organisation is the holder of the client's API key; empty for none.
	Organisation string
	// Priority is the priority at an engine, from 0 (first) to 9; -1 for none.
	Priority int
	// Inputs are the handles of the last stages' results.
	Inputs []string
	// CopyFrom is the address of an engine from which the target should copy the parts of
	// the prompt that it has not cached; empty for none.
	CopyFrom string
	// LastEvent is the event after which the target resumes a stream; empty for the start.
	LastEvent string
	// Permit is called just before the first byte is written. If it returns an error, the
	// call must not be sent.
	Permit func() error
}

// Reply is a target's response to a call, available once its header has arrived.
type Reply struct {
	// Status is the target's status.
	Status int
	// Succeeded reports whether the status is a success.
	Succeeded bool
	// ClaimsNotRun reports whether clients take the status for a proof that the request has not
	// run. The reply itself proves that it ran.
	ClaimsNotRun bool
	// Head is the header to forward, in the adapter's own representation.
	Head any
	// Body is the response body; io.EOF at its end proves that it is complete, unless Undelimited.
	Body io.ReadCloser
	// Undelimited reports whether only the end of the connection ends the body.
	Undelimited bool
	// Load is the load that the target reported; nil for none.
	Load *placement.Load
	// Slowdown is how many times as long as usual work takes at the target now, as it
	// reported; 0 if unknown.
	Slowdown float64
}

// Upstream sends calls to targets.
type Upstream interface {
	// Send returns once the header of the response has arrived. The error says whether the
	// target may have run the call; without proof to the contrary it may have.
	Send(ctx context.Context, c Call) (*Reply, *verdict.Error)
	// HasEnded reports whether the process of a target has provably ended: its instance
	// responds and nothing listens on the target's port. A target that does not respond at
	// all may be running behind a broken network path.
	HasEnded(ctx context.Context, target directory.Target) bool
}

// Responder writes the response to a client. Begin is called once, before any Write. An
// error means that the client has disconnected.
type Responder interface {
	// Begin forwards a target's header; length is in bytes, -1 for a stream.
	Begin(r *Reply, length int) error
	// Write forwards bytes without delay.
	Write(p []byte) error
}

// Group is the items of one stage of one request.
type Group struct {
	// Request is the ID of the request, Stage the index in its route.
	Request string
	Stage   int
	// Digest identifies the work of the stage; 0 if unknown.
	Digest quarantine.Digest
	// Count is the number of items.
	Count int
	// Source or Inputs are what the items are computed from: a key, or the handles of
	// earlier results.
	Source string
	Inputs []string
	// ReadTime is how long after it was sent a call should have fetched the inputs.
	ReadTime time.Duration
	// Bytes is the approximate size of one result.
	Bytes int64
	// Due and Deadline are as in rules.StageTimes.
	Due      time.Time
	Deadline time.Time
	// Priority is from 0 (first) to 9.
	Priority int
	// DataCentre is the preferred data centre of the targets; empty for any.
	DataCentre string
	// WithdrawableUntil is until when the coordinator may refuse the group before any of its
	// items has run (rules.Times.WithdrawableUntil); the zero time for never.
	WithdrawableUntil time.Time
}

// PlanTimeout bounds Batcher.Plan. The request waits for it before admission. A coordinator
// that takes longer is late or gone, and the request is admitted or refused by how late it is
// (Batcher.LeastBacklogs). What Plan takes longer is this node's own delay.
const PlanTimeout = 100 * time.Millisecond

// Batcher runs the items of stages at their services' targets.
type Batcher interface {
	// Run returns the results in the order of the items' indices. It calls inputsRead, at
	// most once, when the items should have read their inputs. An error with
	// verdict.ReasonInputGone means that inputs are lost and must be recomputed.
	Run(ctx context.Context, service string, g Group, inputsRead func()) ([]batching.Result, *verdict.Error)
	// Release releases results at their targets.
	Release(service string, results []batching.Result)
	// Plan announces the stages that a request will run, and returns a quote for each, in
	// their order. It waits for PlanTimeout at most.
	Plan(ctx context.Context, p PlanRequest) []Quote
	// AwaitQuotes waits for the quotes that Plan returned as unknown, and returns all that are
	// known then, in the order of the stages. It returns false if some stay unknown, because ctx
	// is done or there will be no answer.
	AwaitQuotes(ctx context.Context, p PlanRequest, quotes []Quote) ([]Quote, bool)
	// PlansWait reports whether plans for these stages have to wait because a coordinator has
	// not answered earlier ones.
	PlansWait(stages []PlannedStage) bool
	// LeastBacklogs returns, for stages of services whose coordinator is late, the least
	// that their backlogs can be; 0 for the others.
	LeastBacklogs(stages []PlannedStage) []time.Duration
	// Cancel withdraws the plans of a request, and asks the coordinators to reserve capacity
	// for its retry unless reserve is nil. quotes are those that Plan returned, or AwaitQuotes later.
	Cancel(p PlanRequest, quotes []Quote, reserve *Reservation)
}

// PlanRequest announces the stages of a request to their coordinators.
type PlanRequest struct {
	// Request is the ID of the request.
	Request string
	// Organisation is the holder of the client's API key; empty for none.
	Organisation string
	// Digest identifies what the request asks for, by which coordinators recognise a retry
	// with another ID; 0 if unknown.
	Digest quarantine.Digest
	Stages []PlannedStage
}

// Quote is the answer of a coordinator to a planned stage.
type Quote struct {
	// Backlog is how long the service takes for the work that goes before the stage;
	// UnknownBacklog if its coordinator did not answer in time.
	Backlog time.Duration
	// Arrivals is the part of Backlog that is due to more urgent work that is expected to
	// arrive while the stage waits.
	Arrivals time.Duration
	// ReturnAfter is the time after which capacity can be reserved for a retry, if the request
	// is refused; NoOffer if none can be, and 0 if the coordinator reserves nothing.
	ReturnAfter time.Duration
	// Held is whether the request has a reservation already, which ReturnAfter is the time of.
	Held bool
	// Reserved is whether the request is the retry for which capacity was reserved.
	Reserved bool
	// OverShare is whether the service is full and the request's organisation asks for more
	// than its share of it.
	OverShare bool
}

// Unknown reports whether the coordinator did not answer in time.
func (q Quote) Unknown() bool { return q.Backlog == UnknownBacklog }

// UnknownBacklog is the backlog of a service whose coordinator did not answer.
const UnknownBacklog time.Duration = -1

// NoOffer is the Quote.ReturnAfter of a stage for whose retry no capacity can be reserved. It
// is a whole millisecond, as messages carry it.
const NoOffer = -time.Millisecond

// Reservation is capacity to reserve for the retry of a refused request.
type Reservation struct {
	// After is the time until the client may retry, Keep how long after that the reservation
	// is kept.
	After, Keep time.Duration
}

// Quarantine tracks the requests that crash the targets that run them; quarantine.Tracker
// implements it. Its methods are called concurrently and must not block.
type Quarantine interface {
	// Empty reports whether no request is suspected, so that Admit need not be called.
	Empty() bool
	// Admit decides about a request before any work for it starts.
	Admit(d quarantine.Digest) quarantine.Admission
	// Suspected reports whether targets crashed while they had a request, and none has
	// responded to it since.
	Suspected(d quarantine.Digest) bool
	// Held reports, just before a request is sent, whether it must not be, and why.
	Held(d quarantine.Digest) (quarantine.Hold, bool)
	// RecordCrash records that a target crashed while it had a request.
	RecordCrash(d quarantine.Digest, c quarantine.Crash)
	// RecordAnswer records that a target responded to a request, even if with a failure of its
	// own.
	RecordAnswer(d quarantine.Digest)
}

// PartQuarantine tracks the parts of prompts that crash the targets which begin to answer them;
// quarantine.Tracker implements it. Its methods are called concurrently and must not block.
type PartQuarantine interface {
	// Empty reports whether no part is suspected, so that AdmitAll need not be called.
	Empty() bool
	// AdmitAll decides about a request by the parts of its prompt, before any work for it starts.
	AdmitAll(parts []quarantine.Digest) quarantine.Admission
	// RecordRequest records that a request with some parts was admitted, of those of an
	// organisation to a service that group identifies.
	RecordRequest(group quarantine.Digest, parts []quarantine.Digest)
	// HeldAmong reports, just before a request is sent, which of its parts forbids that, and why.
	HeldAmong(parts []quarantine.Digest) (quarantine.Digest, quarantine.Hold, bool)
	// RecordCrash records that a target crashed that had a request with the part and had not begun
	// to answer it.
	RecordCrash(part quarantine.Digest, c quarantine.Crash)
	// RecordAnswer records that a target began to answer a request with the part.
	RecordAnswer(part quarantine.Digest)
}

// Gate enforces the limits and pauses that targets request; backpressure.Gate implements
// it. Its methods are called concurrently and must not block.
type Gate interface {
	// Blocked lists the targets of a directory that may not get a request from this node
	// now.
	Blocked(d *directory.Directory) []string
	// Unconfirmed lists the targets of a directory that may get a request from this node now
	// and should, to learn whether their limit still holds.
	Unconfirmed(d *directory.Directory) []string
	// Crowded reports whether a target may get no request now because requests are under way
	// that it may refuse, so that it may get one as soon as these are answered.
	Crowded(target directory.Incarnation) bool
	// Take reports whether a target may get a request now, and counts the request if so.
	Take(target directory.Incarnation) bool
	// HeldBack reports, just before a request is sent, whether its target must not get it.
	HeldBack(target directory.Incarnation) bool
	// PauseLeft is how much longer a target accepts no requests from this node; 0 for no
	// pause.
	PauseLeft(target directory.Incarnation) time.Duration
}

// Lender lends what other members may send to targets that have a limit. Its method is called
// concurrently.
type Lender interface {
	// Borrow returns one of some targets to which another member lets this node send a request
	// now, or false if there is none. It waits for members for a short time only.
	Borrow(ctx context.Context, targets []directory.Incarnation) (directory.Incarnation, bool)
}

// Placer chooses engines based on what all nodes have sent to them.
type Placer interface {
	// Place chooses an engine; false if there was no answer in time.
	Place(ctx context.Context, service string, p placement.Prompt) (Placed, bool)
	// Prefilled reports that a placed prompt no longer loads its engine; complete says
	// whether the prefill was completed. slowdown is as in Reply.
	Prefilled(service, request string, complete bool, slowdown float64)
}

// Placed is the choice of a Placer.
type Placed struct {
	// Engine is the ID of the engine.
	Engine string
	// CopyFrom is the address of another engine that has more of the prompt cached, from
	// which the chosen engine should copy it; empty for none.
	CopyFrom string
}

// StreamOrigins remembers at which targets streams began, for all nodes. Its methods are called
// concurrently.
type StreamOrigins interface {
	// Tell records at which target a stream begins, for a time, and tells members. It does not
	// block: told is closed once a member knows, or none can be told.
	Tell(k streamorigin.Key, o streamorigin.Origin, keep time.Duration) (told <-chan struct{})
	// MayBegin reports whether a stream may begin at this node. While its targets may have changed unseen
	// for long, it waits for a short time until a member knows of the stream, so that no node works out
	// its version by targets that this node did not see.
	MayBegin(ctx context.Context, service string, k streamorigin.Key, keep time.Duration) bool
	// Find returns where a stream began, by what this node or a member knows. It waits for
	// members for a short time only.
	Find(ctx context.Context, k streamorigin.Key) (streamorigin.Origin, bool)
	// FindRun returns where a stream began by what targets were answering when this node started.
	FindRun(request string) (streamorigin.Origin, bool)
	// Assign returns the version at which a new stream of a service has to begin; unknown if it may
	// begin at any.
	Assign(service string, k streamorigin.Key) directory.Version
	// Infer returns the version at which a stream must have begun that nobody knows of, or why that
	// is not known. It waits for the source for a short time only.
	Infer(ctx context.Context, l streamorigin.Lost) (v directory.Version, unknown string)
}

// PlannedStage is a stage that a request will run.
type PlannedStage struct {
	Service string
	Stage   int
	Items   int
	// Due is when the results should be available for the response to meet its objective.
	Due time.Time
	// Priority is the priority of the items, 0 for the most urgent.
	Priority int
	// Bytes is the approximate size of one result; 0 if unknown.
	Bytes int64
}
