package gateway

import (
	"bufio"
	"context"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/answerhead"
	"github.com/honeydyke/honeydyke/internal/tcpconn"
	"github.com/honeydyke/honeydyke/internal/wire"
)

const (
	// tunnelTimeout bounds getting a tunnel, for which a call to a target that is down waits. It
	// is longer than tunnelDialTimeout and the time until half a dozen members are asked.
	tunnelTimeout = 450 * time.Millisecond
	// tunnelTries is how many members are asked for a tunnel, and tunnelStagger how long the
	// answer of one is awaited alone: many times what a member takes that reaches the target.
	tunnelTries   = 8
	tunnelStagger = 50 * time.Millisecond
	// downAnswers is how many members a target must refuse to count as down. One may have lost its
	// own paths and not know it yet.
	downAnswers = 2
	// noTunnelTime is how long a member that gave no tunnels is not asked again, unreachedTime
	// how long one is not asked for a target that it did not reach, and unsupportedTime how long
	// one is not asked that does not know tunnels. For the same times a member is asked after the
	// others if it, or the target, did not answer in time.
	noTunnelTime    = 500 * time.Millisecond
	unreachedTime   = 3 * time.Second
	unsupportedTime = 10 * time.Second
)

// errNoMember means that there is no member to ask for a tunnel.
var errNoMember = errors.New("no member gives tunnels to the target")

// tunnelClient gets tunnels to targets from other members.
type tunnelClient struct {
	now     func() time.Time
	members *members
	dial    func(ctx context.Context, member, target string) (net.Conn, error)

	mu sync.Mutex
	// avoided holds until when members are not asked, and late until when they are asked after the
	// others.
	avoided, late map[tunnelKey]time.Time
	// last is the member that gave the last tunnel. It is asked first.
	last string
}

// tunnelKey is a member and a target; the target is empty for all targets.
type tunnelKey struct{ member, target string }

// tunnelResult is what became of asking one member for a tunnel.
type tunnelResult struct {
	conn net.Conn
	err  error
}

func newTunnelClient(now func() time.Time, m *members, opts ...tcpconn.Option) *tunnelClient {
	dial := func(ctx context.Context, member, target string) (net.Conn, error) {
		return dialTunnel(ctx, member, target, opts...)
	}
	return &tunnelClient{now: now, members: m, dial: dial, avoided: map[tunnelKey]time.Time{}, late: map[tunnelKey]time.Time{}}
}

// connect connects to a target through a member. Members are asked one after the other, the
// next when one fails or does not answer soon, until the target has refused enough of them: some
// may be cut off from the target as well. A tunnel that comes too late is closed; nothing was sent on
// it. The error is that of a member which the target refused, if there is one.
func (c *tunnelClient) connect(ctx context.Context, target string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	members := c.candidates(target)
	results := make(chan tunnelResult, len(members))
	failure, asked, answered, refused := errNoMember, 0, 0, 0
	defer func() { go closeTunnels(results, asked-answered) }()
	for answered < len(members) && refused < downAnswers {
		var next <-chan time.Time
		if asked < len(members) {
			member := members[asked]
			go func() { results <- c.ask(ctx, member, target) }()
			asked++
			next = time.After(tunnelStagger)
		}
		select {
		case <-next:
		case r := <-results:
			answered++
			if r.err == nil {
				return r.conn, nil
			}
			if errors.Is(r.err, errTargetRefused) {
				refused++
			}
			if refused == 0 || errors.Is(r.err, errTargetRefused) {
				failure = r.err
			}
		}
	}
	return nil, failure
}

// closeTunnels closes the tunnels among the next n results.
func closeTunnels(results <-chan tunnelResult, n int) {
	for range n {
		if r := <-results; r.err == nil {
			closeUnused(r.conn)
		}
	}
}

// ask asks a member for a tunnel.
func (c *tunnelClient) ask(ctx context.Context, member, target string) tunnelResult {
	conn, err := c.dial(ctx, member, target)
	switch {
	case err == nil:
		c.gave(member)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		// The member may still be connecting to the target.
		c.avoid(member, target, errTargetSilent)
	case ctx.Err() == nil:
		c.avoid(member, target, err)
	}
	return tunnelResult{conn: conn, err: errors.Wrap(err, member)}
}

// candidates returns the members to ask for a tunnel to a target, in order.
func (c *tunnelClient) candidates(target string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	holds := func(until map[tunnelKey]time.Time, member string) bool {
		return now.Before(until[tunnelKey{member, ""}]) || now.Before(until[tunnelKey{member, target}])
	}
	isAvoided := func(member string) bool { return holds(c.avoided, member) }
	isLate := func(member string) bool { return holds(c.late, member) }
	members := c.members.others(func(member string) bool { return !isAvoided(member) })
	late := slices.DeleteFunc(slices.Clone(members), func(member string) bool { return !isLate(member) })
	members = slices.DeleteFunc(members, isLate)
	if i := slices.Index(members, c.last); i > 0 {
		members = append([]string{c.last}, slices.Delete(members, i, i+1)...)
	}
	members = append(members, late...)
	return members[:min(tunnelTries, len(members))]
}

// gave notes that a member gave a tunnel.
func (c *tunnelClient) gave(member string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = member
}

// avoid notes that a member gave no tunnel: to any target, or to one that it does not reach.
func (c *tunnelClient) avoid(member, target string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, m := range []map[tunnelKey]time.Time{c.avoided, c.late} {
		maps.DeleteFunc(m, func(_ tunnelKey, until time.Time) bool { return until.Before(now) })
	}
	switch err {
	case errUnsupported:
		c.avoided[tunnelKey{member, ""}] = now.Add(unsupportedTime)
	case errNoTunnels:
		c.avoided[tunnelKey{member, ""}] = now.Add(noTunnelTime)
	// A member that is only slow may be the only one that reaches the target.
	case errMemberSilent:
		c.late[tunnelKey{member, ""}] = now.Add(noTunnelTime)
	case errTargetSilent:
		c.late[tunnelKey{member, target}] = now.Add(unreachedTime)
	default:
		c.avoided[tunnelKey{member, target}] = now.Add(unreachedTime)
	}
}

// dialTunnel asks a member for a tunnel to a target.
func dialTunnel(ctx context.Context, member, target string, opts ...tcpconn.Option) (net.Conn, error) {
	conn, err := tcpconn.NewDialer(peerDialTimeout, opts...).DialContext(ctx, "tcp", member)
	if err != nil {
		return nil, errMemberSilent
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	r, resp, err := requestTunnel(conn, member, target)
	if err != nil {
		_ = conn.Close()
		return nil, errMemberSilent
	}
	if err := tunnelError(resp.StatusCode); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &tunnelConn{Conn: conn, r: r, counts: countsTunnel(resp.Header)}, nil
}

// countsTunnel reports whether a request for a tunnel, or the answer to one, has the header that
// asks for a count after the last frame.
func countsTunnel(h http.Header) bool { return h.Get(wire.HeaderTunnelCount) != "" }

// requestTunnel sends the request for a tunnel and returns the head of the answer, with the reader of
// what follows it.
func requestTunnel(conn net.Conn, member, target string) (*bufio.Reader, *http.Response, error) {
	query := url.Values{paramTarget: {target}}.Encode()
	req, err := http.NewRequest(http.MethodGet, "http://"+member+wire.PathTunnel+"?"+query, nil)
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", upgradeTunnel)
	req.Header.Set(wire.HeaderTunnelCount, "1")
	if err := req.Write(conn); err != nil {
		return nil, nil, err
	}
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, req)
	if err == nil {
		err = answerhead.Check(resp)
	}
	return r, resp, err
}
