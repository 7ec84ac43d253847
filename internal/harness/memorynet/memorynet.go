// Package memorynet is a network in memory: listeners and connections between hosts, with the delays and faults of a
// real one, each at an exact moment. Code that blocks on it blocks on channels alone, so that it runs in a bubble of
// testing/synctest, in which time moves only when all wait.
//
// A connection behaves as TCP does for whoever reads and writes: buffers of a size, an orderly end after what was sent
// before it, a reset that is told once to the first who touches the connection, and silence. What systems report of
// TCP beside that (acknowledgements, probes) it does not have.
package memorynet

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/wait"
)

// bufferSize is how many bytes of one direction of a connection may wait to be read.
const bufferSize = 256 << 10

// firstPort is the first port that is given to a listener without one.
const firstPort = 20_000

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	delay     time.Duration
	jitter    time.Duration
	rng       *rand.Rand
	listeners map[string]*listener
	conns     map[*conn]bool
	links     map[link]linkState
	lastPort  int
	// changed is closed and replaced when a link changes.
	changed chan struct{}
}

// link is one way from a host to another.
type link struct{ from, to string }

// state is what a link does.
type state int

const (
	// passes is a sound link.
	passes state = iota
	// silent carries nothing; what was sent arrives once the link passes again.
	silent
	// refuses resets connections and refuses new ones.
	refuses
)

// linkState is what a link does, and since when.
type linkState struct {
	state
	since time.Time
}

// arrival reports whether what is due at a time has arrived over the link, or how long that takes; 0 if it does not
// while the link is as it is.
func (l linkState) arrival(at time.Time) (wait time.Duration, arrived bool) {
	if l.state != passes {
		return 0, !at.After(l.since)
	}
	wait = time.Until(at)
	return wait, wait <= 0
}

// Option configures a Network.
type Option func(*Network)

// WithDelay sets how long each way takes: between delay and delay plus jitter, drawn for each write.
func WithDelay(delay, jitter time.Duration) Option {
	return func(n *Network) { n.delay, n.jitter = delay, jitter }
}

// WithSeed sets the seed of what is drawn.
func WithSeed(seed uint64) Option {
	return func(n *Network) { n.rng = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns a network without delays.
func New(opts ...Option) *Network {
	n := &Network{
		rng: rand.New(rand.NewPCG(1, 0)), listeners: make(map[string]*listener), conns: make(map[*conn]bool),
		links: make(map[link]linkState), lastPort: firstPort, changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(n)
	}
	return n
}

// Host returns the network as seen by a host with an IP address.
func (n *Network) Host(ip string) *Host { return &Host{net: n, ip: ip} }

// Silence lets a link carry nothing, in one direction; what is sent arrives once Restore is called.
func (n *Network) Silence(from, to string) { n.set(link{from, to}, silent) }

// Refuse resets the connections between two hosts and refuses new ones.
func (n *Network) Refuse(a, b string) {
	n.set(link{a, b}, refuses)
	n.set(link{b, a}, refuses)
	n.reset(func(c *conn) bool { return c.between(a, b) })
}

// Restore ends what Silence and Refuse did between two hosts.
func (n *Network) Restore(a, b string) {
	n.set(link{a, b}, passes)
	n.set(link{b, a}, passes)
}

// Kill resets all connections of a host and closes its listeners, as the end of its processes does.
func (n *Network) Kill(ip string) {
	n.mu.Lock()
	var gone []*listener
	for _, l := range n.listeners {
		if l.host.ip == ip {
			gone = append(gone, l)
		}
	}
	n.mu.Unlock()
	for _, l := range gone {
		_ = l.Close()
	}
	n.reset(func(c *conn) bool { return c.host.ip == ip })
}

func (n *Network) set(l link, s state) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[l] = linkState{s, time.Now()}
	close(n.changed)
	n.changed = make(chan struct{})
}

// state returns what a link does, and a channel that is closed when a link changes.
func (n *Network) state(l link) (linkState, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[l], n.changed
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func (n *Network) reset(which func(*conn) bool) {
	n.mu.Lock()
	var list []*conn
	for c := range n.conns {
		if which(c) {
			list = append(list, c)
		}
	}
	n.mu.Unlock()
	for _, c := range list {
		c.Reset()
	}
}

// way returns how long a write takes to arrive.
func (n *Network) way() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.jitter <= 0 {
		return n.delay
	}
	return n.delay + time.Duration(n.rng.Int64N(int64(n.jitter)))
}

// Host is a host of a network.
type Host struct {
	net *Network
	ip  string
}

// Listen listens on a port of the host; 0 picks one. Of the address the port alone counts.
func (h *Host) Listen(address string) (net.Listener, error) {
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return nil, err
	}
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if port == 0 {
		n.lastPort++
		port = n.lastPort
	}
	l := &listener{host: h, addr: h.addr(port), accepted: make(chan *conn), closed: make(chan struct{})}
	if n.listeners[l.addr.String()] != nil {
		return nil, errors.Errorf("listen %s: address already in use", l.addr)
	}
	n.listeners[l.addr.String()] = l
	return l, nil
}

func (h *Host) addr(port int) *net.TCPAddr { return &net.TCPAddr{IP: net.ParseIP(h.ip), Port: port} }

// DialContext connects to an address of the network.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	for _, way := range []link{{h.ip, to}, {to, h.ip}} {
		if err := h.net.await(ctx, way); err != nil {
			return nil, dialError(address, err)
		}
	}
	h.net.mu.Lock()
	l := h.net.listeners[address]
	h.net.lastPort++
	port := h.net.lastPort
	h.net.mu.Unlock()
	if l == nil {
		return nil, dialError(address, errRefused)
	}
	near, far := newPair(h, l, port)
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, dialError(address, errRefused)
	case <-ctx.Done():
		return nil, dialError(address, ctx.Err())
	}
}

// await waits for one way of a handshake.
func (n *Network) await(ctx context.Context, l link) error {
	if err := wait.For(ctx, n.way()); err != nil {
		return err
	}
	for {
		s, changed := n.state(l)
		switch s.state {
		case passes:
			return nil
		case refuses:
			return errRefused
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func dialError(address string, err error) error {
	addr, _ := net.ResolveTCPAddr("tcp", address) // an address that does not parse is left out
	return &net.OpError{Op: "dial", Net: "tcp", Addr: addr, Err: err}
}

// listener is a listener of a host.
type listener struct {
	host     *Host
	addr     *net.TCPAddr
	accepted chan *conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.addr, Err: net.ErrClosed}
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.host.net.mu.Lock()
		defer l.host.net.mu.Unlock()
		delete(l.host.net.listeners, l.addr.String())
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }
