package peer

import (
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

const (
	defaultIdle  = 6 * time.Second
	defaultDial  = time.Second
	defaultSweep = 30 * time.Second
	// keepAlivesPerIdle is how many probes a silent connection sends within the
	// idle time, so that a lost packet does not end it.
	keepAlivesPerIdle = 3
)

// Client calls peers over HTTP/3. It opens a connection at the first call and
// closes it once no call has used it for a while.
type Client struct {
	tls   *tls.Config
	quic  *quic.Config
	http  *http.Client
	sweep time.Duration
	stop  chan struct{}
	done  sync.WaitGroup

	mu          sync.Mutex
	connections map[string]*connection
}

// ClientOption changes a new Client.
type ClientOption func(*Client)

// WithIdleTimeout sets how long a peer may be silent before its connection counts as
// lost.
func WithIdleTimeout(d time.Duration) ClientOption {
	return func(c *Client) {
		c.quic.MaxIdleTimeout = d
		c.quic.KeepAlivePeriod = d / keepAlivesPerIdle
	}
}

// WithDialTimeout sets how long a new connection may take.
func WithDialTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.quic.HandshakeIdleTimeout = d }
}

// WithSweepInterval sets the time between two closings of unused connections.
func WithSweepInterval(d time.Duration) ClientOption {
	return func(c *Client) { c.sweep = d }
}

// NewClient returns a client that shows the identity to peers.
func NewClient(id *Identity, opts ...ClientOption) *Client {
	c := &Client{
		tls: id.ClientConfig(),
		quic: &quic.Config{
			HandshakeIdleTimeout: defaultDial,
			MaxIdleTimeout:       defaultIdle,
			KeepAlivePeriod:      defaultIdle / keepAlivesPerIdle,
		},
		sweep:       defaultSweep,
		stop:        make(chan struct{}),
		connections: map[string]*connection{},
	}
	c.http = &http.Client{Transport: c}
	for _, opt := range opts {
		opt(c)
	}
	c.done.Go(c.sweepUnused)
	return c
}

// HTTP returns the client to build Connect clients on.
func (c *Client) HTTP() *http.Client {
	return c.http
}

// URL returns the base URL of the peer at the address.
func URL(address netip.AddrPort) string {
	return "https://" + address.String()
}

// Connections returns the number of peers that a connection is kept for.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.connections)
}

// RoundTrip implements http.RoundTripper.
func (c *Client) RoundTrip(req *http.Request) (*http.Response, error) {
	conn := c.acquire(req.URL.Host)
	resp, err := conn.transport.RoundTrip(req)
	if err != nil {
		c.release(conn)
		return nil, err
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, release: sync.OnceFunc(func() { c.release(conn) })}
	return resp, nil
}

// Close ends all connections and waits for the client's goroutine.
func (c *Client) Close() error {
	close(c.stop)
	c.done.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	var first error
	for host, conn := range c.connections {
		if err := conn.transport.Close(); err != nil && first == nil {
			first = errors.WithStack(err)
		}
		delete(c.connections, host)
	}
	return first
}

func (c *Client) sweepUnused() {
	ticker := time.NewTicker(c.sweep)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			c.closeUnused()
		}
	}
}
