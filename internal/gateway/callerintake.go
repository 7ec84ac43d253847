package gateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/intake"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// linkSamples is over how many measurements of the own delay the use of the link is averaged: half a
// second, in which large requests and bursts of events even out.
const linkSamples = 10

// callerIntake decides which callers this node takes, by its own load and that of the members. It owns
// the gate and its lock. Without a known size of the machine it takes all.
type callerIntake struct {
	now     func() time.Time
	log     zerolog.Logger
	metrics *metrics
	// bytesPerSecond is the bandwidth of the link; 0 if unknown.
	bytesPerSecond float64
	// enabled is whether the size of the machine is known.
	enabled bool
	// callerBytes returns how many bytes callers have sent and received so far.
	callerBytes func() int64
	// haveRoom reports whether the other members can take callers.
	haveRoom func() bool
	// onBusy is called when this node becomes busy, or no longer is.
	onBusy func()

	mu   sync.Mutex
	gate intake.Gate
	// samples are the last values of callerBytes.
	samples []transferred
	busy    bool
	// turnedAway and refused count since the node became busy.
	turnedAway, refused int
}

// transferred is how many bytes had passed by a time.
type transferred struct {
	at    time.Time
	bytes int64
}

func newCallerIntake(now func() time.Time, log zerolog.Logger, m *metrics, cfg *settings.Gateway) *callerIntake {
	const bitsPerByte, bitsPerMbit = 8, 1e6
	return &callerIntake{
		now: now, log: log, metrics: m,
		enabled: cfg.Cores > 0 && cfg.LinkMbps > 0, bytesPerSecond: cfg.LinkMbps * bitsPerMbit / bitsPerByte,
	}
}

// observe records how late this node's own work runs.
func (i *callerIntake) observe(delay time.Duration) {
	if !i.enabled {
		return
	}
	now := i.now()
	load := intake.Load{Delay: delay, LinkShare: i.linkShare(now)}
	room := load.Overloaded() && i.haveRoom()
	i.mu.Lock()
	i.gate.Observe(now, load, room)
	changed := i.busy != i.gate.Busy(now)
	if changed {
		i.busy = !i.busy
		i.logBusy(load, room)
	}
	i.mu.Unlock()
	if changed {
		i.onBusy()
	}
}

// logBusy logs that this node became busy, or no longer is. The caller must hold the lock.
func (i *callerIntake) logBusy(load intake.Load, room bool) {
	ev := i.log.Warn()
	if !i.busy {
		ev = i.log.Info()
	}
	ev.Bool("busy", i.busy).Dur("delay", load.Delay).Float64("linkShare", load.LinkShare).Bool("othersHaveRoom", room).
		Int("turnedAway", i.turnedAway).Int("refused", i.refused).Msg("node: more work than its machine can do")
	i.turnedAway, i.refused = 0, 0
}

// linkShare returns the share of the link that callers' requests and answers use each way. What
// callers send is passed on, and what they receive was received, so each way carries both.
func (i *callerIntake) linkShare(now time.Time) float64 {
	if i.bytesPerSecond <= 0 {
		return 0
	}
	i.samples = append(i.samples, transferred{now, i.callerBytes()})
	i.samples = i.samples[max(len(i.samples)-linkSamples, 0):]
	first, last := i.samples[0], i.samples[len(i.samples)-1]
	took := last.at.Sub(first.at).Seconds()
	if took <= 0 {
		return 0
	}
	return float64(last.bytes-first.bytes) / took / i.bytesPerSecond
}

// turnsAway decides whether a new connection is closed before anything is read.
func (i *callerIntake) turnsAway() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch i.gate.Connection(i.now()).(type) {
	case intake.TurnAway:
		i.turnedAway++
		i.metrics.turnedAway.Inc(1)
		return true
	default:
		return false
	}
}

// overload implements relay.Config.Overload: it returns the load for which a request is refused.
func (i *callerIntake) overload() (intake.Load, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch d := i.gate.Request(i.now()).(type) {
	case intake.Refuse:
		i.refused++
		return d.Load, true
	default:
		return intake.Load{}, false
	}
}

// movesCallers reports whether callers should connect to other members.
func (i *callerIntake) movesCallers() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.gate.MovesCallers()
}

// runsLate reports whether this node's own work runs late.
func (i *callerIntake) runsLate() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.gate.RunsLate()
}

// isBusy reports whether this node lately had more work than it can do.
func (i *callerIntake) isBusy() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.busy
}
