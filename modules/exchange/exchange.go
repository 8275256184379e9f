// Package exchange is an HTTP/1.1 client with its own connection pool. Unlike
// http.Transport it never resends a request, reports whether a failed request may
// have reached the server, and reuses a connection only after the request was
// written completely, the response was read to its end and no further bytes arrived.
package exchange

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/netmeter"
)

// Defaults of the options.
const (
	// DefaultDialTimeout covers about 50 round trips within a region and still leaves
	// time to try another server.
	DefaultDialTimeout = 150 * time.Millisecond
	// DefaultIdleTimeout is how long a connection may stay idle if the server sends no
	// Keep-Alive timeout.
	DefaultIdleTimeout = 8 * time.Second
	// DefaultUserTimeout is the TCP user timeout: how long sent bytes may stay
	// unacknowledged before the connection is closed.
	DefaultUserTimeout = 3 * time.Second
	// DefaultMaxConns is the maximum number of open connections to one server.
	DefaultMaxConns = 64
)

// DialError is returned if no connection could be made. Nothing of the request was
// sent.
type DialError struct {
	Address netip.AddrPort
	// PoolExhausted is set if the client's connection limit for the address was reached.
	PoolExhausted bool
	Err           error
}

// Error implements error.
func (e *DialError) Error() string {
	if e.PoolExhausted {
		return fmt.Sprintf("all connections to %s are in use", e.Address)
	}
	return fmt.Sprintf("connect to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// NoResponseError is returned if a request received no response. The server may have
// processed the request unless Written is false.
type NoResponseError struct {
	Address netip.AddrPort
	// Written is set if a part of the request may have reached the server.
	Written bool
	// Reused is set if the connection had carried earlier requests.
	Reused bool
	Err    error
}

// Error implements error.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("no response from %s (written %t, reused %t): %v", e.Address, e.Written, e.Reused, e.Err)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Err }

// NotSentError is returned if the context had ended before the request was written. Nothing of it was
// sent.
type NotSentError struct {
	Address netip.AddrPort
	Err     error
}

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Ended returns why the context has ended, or nil. In a process that lacks processor time, the timer of a context runs
// long after its deadline.
func Ended(ctx context.Context) error {
	if ctx.Err() != nil {
		return errors.WithStack(context.Cause(ctx))
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return errors.WithStack(context.DeadlineExceeded)
	}
	return nil
}

// Option configures a Client.
type Option func(*Client)

// WithDialTimeout sets the timeout for establishing a connection.
func WithDialTimeout(d time.Duration) Option { return func(c *Client) { c.dialTimeout = d } }

// WithIdleTimeout sets how long a connection may stay idle.
func WithIdleTimeout(d time.Duration) Option { return func(c *Client) { c.idleTimeout = d } }

// WithMeter sets what counts the bytes of the connections.
func WithMeter(m *netmeter.Meter) Option { return func(c *Client) { c.meter = m } }

// WithOnReached sets the function that is called after a server has accepted or refused a connection. It must not
// block.
func WithOnReached(f func(address netip.AddrPort)) Option {
	return func(c *Client) { c.onReached = f }
}

// Client is an HTTP/1.1 client with a connection pool for each address.
type Client struct {
	dialTimeout time.Duration
	idleTimeout time.Duration
	meter       *netmeter.Meter
	onReached   func(netip.AddrPort)

	mu     sync.Mutex
	pools  map[netip.AddrPort]*pool
	closed bool

	dialed atomic.Int64
	reused atomic.Int64
}

// pool holds the connections to one address.
type pool struct {
	// idle is ordered by the time at which the connections were returned, oldest first.
	idle []*conn
	// open is the number of connections, including those in use or being dialed.
	open int
}

// New returns a client without connections.
func New(opts ...Option) *Client {
	c := &Client{
		dialTimeout: DefaultDialTimeout, idleTimeout: DefaultIdleTimeout,
		pools: map[netip.AddrPort]*pool{}, onReached: func(netip.AddrPort) {},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Dialed returns the number of connections established.
func (c *Client) Dialed() int64 { return c.dialed.Load() }

// Reused returns the number of requests sent over an idle connection.
func (c *Client) Reused() int64 { return c.reused.Load() }

// Request is a request to a server.
type Request struct {
	Address netip.AddrPort
	Method  string
	// Target is the path and query. It is sent as it is.
	Target string
	Host   string
	Header http.Header
	// CurrentHeader returns the header right before it is written, in place of Header. It may be nil.
	CurrentHeader func() http.Header
	Body          []byte
	// ID is the id that tells responses to the request from those to others, or empty if there is none. A
	// connection that has lately carried a request with the same id isn't used.
	ID string
	// NewConnection is whether a connection is used that has carried no other request.
	NewConnection bool
	// MaxConns is the maximum number of open connections to the address; 0 means
	// DefaultMaxConns.
	MaxConns int
	// DialTimeout is the timeout for establishing a connection; 0 means that of the client.
	DialTimeout time.Duration
	// IsForeign reports whether a response header belongs to another request. Such a
	// response is skipped. reused is whether the connection has carried earlier requests. It
	// may be nil.
	IsForeign func(h http.Header, reused bool) bool
	// Released is called once no connection carries the request any more: it was closed, is kept for others, or there
	// was none. It may be called more than once, and may be nil.
	Released func()
}

// header returns the header to write.
func (r *Request) header() http.Header {
	if r.CurrentHeader != nil {
		return r.CurrentHeader()
	}
	return r.Header
}

func (r *Request) released() {
	if r.Released != nil {
		r.Released()
	}
}

// Do sends the request once and returns the response as soon as its header is read.
// The end of the context closes the connection, also while the body is read. A request
// whose context has ended isn't sent. The caller must close the body.
func (c *Client) Do(ctx context.Context, r *Request) (*http.Response, error) {
	if err := Ended(ctx); err != nil {
		r.released()
		return nil, &NotSentError{Address: r.Address, Err: err}
	}
	conn, err := c.acquire(ctx, r)
	if err != nil {
		r.released()
		return nil, err
	}
	if err := Ended(ctx); err != nil {
		c.putIdle(conn)
		r.released()
		return nil, &NotSentError{Address: r.Address, Err: err}
	}
	return conn.roundTrip(ctx, r)
}

// OpenedAt returns when the connection was established over which a response of Do arrives: the process that sends it
// has run since then. It returns the present time for other responses, which prove nothing.
func OpenedAt(resp *http.Response) time.Time {
	if b, ok := resp.Body.(*body); ok {
		return b.conn.openedAt
	}
	return time.Now()
}

// Reused reports whether the connection over which a response of Do arrives had carried other requests.
func Reused(resp *http.Response) bool {
	b, ok := resp.Body.(*body)
	return ok && b.conn.reused
}

// Connect establishes a connection and keeps it for the next request. It returns a DialError
// if the server accepts none. If all connections to it are in use, none is established.
func (c *Client) Connect(ctx context.Context, address netip.AddrPort) error {
	conn, err := c.dial(ctx, &Request{Address: address})
	var failed *DialError
	if errors.As(err, &failed) && failed.PoolExhausted {
		return nil
	}
	if err != nil {
		return err
	}
	c.putIdle(conn)
	return nil
}

// acquire returns an idle connection or establishes a new one.
func (c *Client) acquire(ctx context.Context, r *Request) (*conn, error) {
	if r.NewConnection {
		return c.dial(ctx, r)
	}
	if idle := c.takeIdle(r); idle != nil {
		c.reused.Add(1)
		return idle, nil
	}
	return c.dial(ctx, r)
}

// dial establishes a connection.
func (c *Client) dial(ctx context.Context, r *Request) (*conn, error) {
	if !c.reserve(r) && (!c.closeIdle(r.Address) || !c.reserve(r)) {
		return nil, &DialError{Address: r.Address, PoolExhausted: true}
	}
	dialer := net.Dialer{Timeout: cmp.Or(r.DialTimeout, c.dialTimeout), KeepAliveConfig: tcpKeepAlive, Control: setUserTimeout}
	netConn, err := dialer.DialContext(ctx, "tcp", r.Address.String())
	if err != nil {
		c.release(r.Address)
		if errors.Is(ctx.Err(), context.Canceled) {
			// Says nothing about the server.
			return nil, &NotSentError{Address: r.Address, Err: Ended(ctx)}
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.onReached(r.Address)
		}
		return nil, &DialError{Address: r.Address, Err: err}
	}
	c.onReached(r.Address)
	c.dialed.Add(1)
	return newConn(c, r.Address, netConn), nil
}

// tcpKeepAlive detects an unreachable peer of an idle connection within seconds.
var tcpKeepAlive = net.KeepAliveConfig{Enable: true, Idle: DefaultUserTimeout, Interval: time.Second, Count: 3}

// setUserTimeout makes the kernel close a connection if sent bytes stay unacknowledged
// for DefaultUserTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setUserTimeoutOf(raw, DefaultUserTimeout)
}

// takeIdle removes the most recently used connection that can carry the request from the pool and
// returns it, or nil if there is none.
func (c *Client) takeIdle(r *Request) *conn {
	now := time.Now()
	for {
		idle := c.removeIdle(r, now)
		if idle == nil || idle.usable() {
			return idle
		}
		idle.close()
	}
}

// removeIdle removes the most recently used connection that has not expired and has not carried the
// request's id from the pool and returns it, or nil if there is none.
func (c *Client) removeIdle(r *Request, now time.Time) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[r.Address]
	if p == nil {
		return nil
	}
	for i, conn := range slices.Backward(p.idle) {
		if now.Sub(conn.idleSince) <= min(c.idleTimeout, conn.idleTimeout) && !conn.ids.contains(r.ID) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return conn
		}
	}
	return nil
}

// reserve counts a new connection against the limit of its address. It returns false
// if the limit is reached.
func (c *Client) reserve(r *Request) bool {
	limit := r.MaxConns
	if limit <= 0 {
		limit = DefaultMaxConns
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[r.Address]
	if p == nil {
		p = &pool{}
		c.pools[r.Address] = p
	}
	if p.open >= limit {
		return false
	}
	p.open++
	return true
}

// closeIdle closes the idle connection to the address that was used least recently, and reports whether there
// was one.
func (c *Client) closeIdle(address netip.AddrPort) bool {
	c.mu.Lock()
	p := c.pools[address]
	if p == nil || len(p.idle) == 0 {
		c.mu.Unlock()
		return false
	}
	oldest := p.idle[0]
	p.idle = slices.Delete(p.idle, 0, 1)
	c.mu.Unlock()
	oldest.close()
	return true
}

// release undoes reserve for a connection that was closed or never established.
func (c *Client) release(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		return
	}
	if p.open--; p.open <= 0 && len(p.idle) == 0 {
		delete(c.pools, address)
	}
}

// putIdle returns a connection to its pool, or closes it if the client is closed. It has been idle since its last
// request or since it was established.
func (c *Client) putIdle(conn *conn) {
	c.mu.Lock()
	p := c.pools[conn.address]
	if c.closed || p == nil {
		c.mu.Unlock()
		conn.close()
		return
	}
	p.idle = append(p.idle, conn)
	c.mu.Unlock()
}

// Prune closes the connections whose idle timeout has passed, and those that can't be used again,
// whose unread bytes take memory. The owner of the client calls it periodically.
func (c *Client) Prune(now time.Time) {
	var expired []*conn
	c.mu.Lock()
	for _, p := range c.pools {
		live := p.idle[:0]
		for _, conn := range p.idle {
			if now.Sub(conn.idleSince) > min(c.idleTimeout, conn.idleTimeout) || !conn.usable() {
				expired = append(expired, conn)
				continue
			}
			live = append(live, conn)
		}
		p.idle = live
	}
	c.mu.Unlock()
	for _, conn := range expired {
		conn.close()
	}
}

// Close closes the idle connections. Connections in use are closed when their
// response body is closed.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	var idle []*conn
	for _, p := range c.pools {
		idle = append(idle, p.idle...)
		p.idle = nil
	}
	c.mu.Unlock()
	for _, conn := range idle {
		conn.close()
	}
	return nil
}
