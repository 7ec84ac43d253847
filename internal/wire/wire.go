// Package wire names the headers, paths and limits that callers, nodes, targets and
// the platform of the native interface share, and the paths between gateways. It
// holds names only and relies on nothing; a name changed here breaks calls between
// versions.
package wire

import (
	"strconv"
	"time"
)

// Headers between callers, nodes and targets.
const (
	// HeaderIdentity carries the identity of a request and is echoed by answers.
	HeaderIdentity = "X-Request-Id"
	// HeaderDeadline carries the time left, in milliseconds.
	HeaderDeadline = "Honeydyke-Deadline-Ms"
	// HeaderVerdict carries the verdict of an answer that is not whole.
	HeaderVerdict = "Honeydyke-Verdict"
	// HeaderTicket carries a ticket.
	HeaderTicket = "Honeydyke-Ticket"
	// HeaderOrganisation carries the organisation between nodes.
	HeaderOrganisation = "Honeydyke-Organisation"
	// HeaderBundle carries the number of the bundle that governs a request.
	HeaderBundle = "Honeydyke-Bundle"
	// HeaderPriority carries a priority; a lower number is served first.
	HeaderPriority = "Honeydyke-Priority"
	// HeaderIdempotency carries a key that a target may check.
	HeaderIdempotency = "Idempotency-Key"
	// HeaderTunnelCount asks a gateway for the count of what it wrote through a tunnel.
	HeaderTunnelCount = "Honeydyke-Tunnel-Count"
)

// Paths of targets.
const (
	PathStage = "/v1/stage"
	PathChat  = "/v1/chat/completions"
	PathLoad  = "/v1/load"
)

// Paths of nodes.
const (
	PathPipelines = "/v1/pipelines/"
	PathTickets   = "/v1/tickets"
	PathModels    = "/v1/models"
	PathExchange  = "/peer/v1/exchange"
	PathBundle    = "/peer/v1/bundle"
	PathForward   = "/peer/v1/forward/"
	PathGossip    = "/peer/v1/gossip"
	PathItems     = "/peer/v1/items"
	PathRelease   = "/peer/v1/release"
	PathPlan      = "/peer/v1/plan"
	PathPlace     = "/peer/v1/place"
	PathRead      = "/peer/v1/read"
	PathView      = "/peer/v1/view"
	PathSuspects  = "/peer/v1/suspects"
	PathTunnel    = "/peer/v1/tunnel"
	PathStream    = "/peer/v1/stream"
	PathLend      = "/peer/v1/lend"
	PathState     = "/state"
	PathReady     = "/readyz"
	PathHealth    = "/healthz"
	PathMetrics   = "/metrics"
)

// Paths of the platform.
const (
	// PathConfiguration holds the signed bundle; the query "after" waits for a
	// change of the entity tag it names.
	PathConfiguration = "/v1/values/bundle"
	PathInstances     = "/v1/instances"
)

// Limits, in bytes, on what other processes send. None was measured.
const (
	// MaxRequestBytes bounds the body of a request.
	MaxRequestBytes = 4 << 20
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes = 16 << 20
	// MaxHeaderBytes bounds the headers of a request or an answer, and a load report.
	MaxHeaderBytes = 64 << 10
	// MaxEventBytes bounds one event of a stream.
	MaxEventBytes = 1 << 20
)

// Milliseconds formats d for a header; it never gives a negative number.
func Milliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d, 0).Milliseconds(), 10)
}
