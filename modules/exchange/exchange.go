// Package exchange calls HTTP/1.1 servers over connections of its own. Unlike
// http.Transport it never sends a request a second time, tells whether a failed
// request can have reached the server, and keeps a connection only while nothing
// about it is in doubt.
package exchange

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Defaults of the options.
const (
	// DefaultDialTimeout covers some 50 round trips within a region, yet leaves
	// time for another server.
	DefaultDialTimeout = 150 * time.Millisecond
	// DefaultIdleTimeout is how long a connection is kept unused when the server names no
	// limit of its own.
	DefaultIdleTimeout = 8 * time.Second
	// DefaultUserTimeout is how long sent bytes may stay unacknowledged.
	DefaultUserTimeout = 3 * time.Second
	// DefaultMaxConns is the most connections to one server at a time.
	DefaultMaxConns = 64
)

// DialError says that no connection came about, so that nothing was sent.
type DialError struct {
	Address netip.AddrPort
	// PoolExhausted says that the pool's own limit was reached.
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

// NoResponseError says that a request got no answer. It may have run unless nothing of
// it was written.
type NoResponseError struct {
	Address netip.AddrPort
	// Written says that a part of the request may have reached the server.
	Written bool
	// Reused says that the connection had carried requests before.
	Reused bool
	Err    error
}

// Error implements error.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("no answer from %s (written %t, reused %t): %v", e.Address, e.Written, e.Reused, e.Err)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Err }

// Option changes a Client at construction.
type Option func(*Client)

// WithDialTimeout sets how long a connection may take to come about.
func WithDialTimeout(d time.Duration) Option { return func(c *Client) { c.dialTimeout = d } }

// WithIdleTimeout sets how long a connection is kept unused.
func WithIdleTimeout(d time.Duration) Option { return func(c *Client) { c.idle = d } }

// Client keeps the connections to all servers.
type Client struct {
	dialTimeout time.Duration
	idle        time.Duration

	mu     sync.Mutex
	hosts  map[netip.AddrPort]*host
	closed bool

	dialed atomic.Int64
	reused atomic.Int64
}

// host holds the connections to one address.
type host struct {
	idle []*conn
	open int
}

// New returns a client without connections.
func New(opts ...Option) *Client {
	c := &Client{
		dialTimeout: DefaultDialTimeout, idle: DefaultIdleTimeout,
		hosts: map[netip.AddrPort]*host{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Dialed returns the number of connections made.
func (c *Client) Dialed() int64 { return c.dialed.Load() }

// Reused returns the number of requests sent over a kept connection.
func (c *Client) Reused() int64 { return c.reused.Load() }

// Request is a request to one server.
type Request struct {
	Address netip.AddrPort
	Method  string
	// Target is the path and query, sent as they are.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxConns is the most connections to the address at a time; 0 stands for
	// DefaultConnections.
	MaxConns int
	// IsForeign says whether an answer's head belongs to another request. Such an
	// answer is skipped.
	IsForeign func(http.Header) bool
}

// Do sends the request once and returns the head of its answer. The context ends
// the exchange, also while the answer's body is read. The caller closes the body.
func (c *Client) Do(ctx context.Context, r *Request) (*http.Response, error) {
	conn, err := c.take(ctx, r)
	if err != nil {
		return nil, err
	}
	return conn.roundTrip(ctx, r)
}

// take returns a kept connection or a new one.
func (c *Client) take(ctx context.Context, r *Request) (*conn, error) {
	if kept := c.kept(r.Address); kept != nil {
		c.reused.Add(1)
		return kept, nil
	}
	if !c.book(r) {
		return nil, &DialError{Address: r.Address, PoolExhausted: true}
	}
	dialer := net.Dialer{Timeout: c.dialTimeout, KeepAliveConfig: keepAlive, Control: limitSilence}
	raw, err := dialer.DialContext(ctx, "tcp", r.Address.String())
	if err != nil {
		c.release(r.Address)
		return nil, &DialError{Address: r.Address, Err: err}
	}
	c.dialed.Add(1)
	return newConn(c, r.Address, raw), nil
}

// keepAlive shows within seconds that a peer is gone.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: DefaultUserTimeout, Interval: time.Second, Count: 3}

// limitSilence ends a connection whose bytes are not acknowledged.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(DefaultUserTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return errors.WithStack(controlErr)
	}
	return errors.Wrap(err, "set TCP_USER_TIMEOUT")
}

// kept takes the connection that was used last, if it is usable.
func (c *Client) kept(address netip.AddrPort) *conn {
	now := time.Now()
	for {
		c.mu.Lock()
		h := c.hosts[address]
		if h == nil || len(h.idle) == 0 {
			c.mu.Unlock()
			return nil
		}
		last := h.idle[len(h.idle)-1]
		if now.Sub(last.used) > min(c.idle, last.keep) {
			c.mu.Unlock()
			return nil
		}
		h.idle = h.idle[:len(h.idle)-1]
		c.mu.Unlock()
		if last.quiet() {
			return last
		}
		last.close()
	}
}

// book counts a new connection, if there is room for it.
func (c *Client) book(r *Request) bool {
	most := r.MaxConns
	if most <= 0 {
		most = DefaultMaxConns
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[r.Address]
	if h == nil {
		h = &host{}
		c.hosts[r.Address] = h
	}
	if h.open >= most {
		return false
	}
	h.open++
	return true
}

func (c *Client) release(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[address]
	if h == nil {
		return
	}
	if h.open--; h.open <= 0 && len(h.idle) == 0 {
		delete(c.hosts, address)
	}
}

// keep takes a connection back.
func (c *Client) keep(k *conn) {
	c.mu.Lock()
	h := c.hosts[k.address]
	if c.closed || h == nil {
		c.mu.Unlock()
		k.close()
		return
	}
	k.used = time.Now()
	h.idle = append(h.idle, k)
	c.mu.Unlock()
}

// Prune closes connections that were unused for too long. It is called from time
// to time.
func (c *Client) Prune(now time.Time) {
	var old []*conn
	c.mu.Lock()
	for _, h := range c.hosts {
		live := h.idle[:0]
		for _, k := range h.idle {
			if now.Sub(k.used) > min(c.idle, k.keep) {
				old = append(old, k)
				continue
			}
			live = append(live, k)
		}
		h.idle = live
	}
	c.mu.Unlock()
	for _, k := range old {
		k.close()
	}
}

// Close closes the unused connections; those in use close when they are done.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	var all []*conn
	for _, h := range c.hosts {
		all = append(all, h.idle...)
		h.idle = nil
	}
	c.mu.Unlock()
	for _, k := range all {
		k.close()
	}
	return nil
}
