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
	defaultIdleTimeout   = 6 * time.Second
	defaultDialTimeout   = time.Second
	defaultSweepInterval = 30 * time.Second
	// keepAlivesPerIdleTimeout is the number of keep-alive packets that an idle
	// connection sends within the idle timeout, so that the loss of one packet does
	// not end the connection.
	keepAlivesPerIdleTimeout = 3
	// streamWindow is what a call holds of a response that is not read yet. Peers that are 1 ms away send 32 MB/s with it. connectionWindow is the
	// same for all calls to a peer, enough for more of them than a process has at once, so that responses whose callers don't
	// read stop no others.
	streamWindow     = 32 << 10
	connectionWindow = 64 << 20
)

// Client calls peers over HTTP/3. It opens a connection to a peer at the first
// call and closes it after one to two sweep intervals without calls.
type Client struct {
	tls           *tls.Config
	quic          *quic.Config
	http          *http.Client
	sweepInterval time.Duration
	stop          chan struct{}
	done          sync.WaitGroup

	mu          sync.Mutex
	connections map[string]*connection
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithIdleTimeout sets the time without a packet from the peer after which its
// connection is closed.
func WithIdleTimeout(d time.Duration) ClientOption {
	return func(c *Client) {
		c.quic.MaxIdleTimeout = d
		c.quic.KeepAlivePeriod = d / keepAlivesPerIdleTimeout
	}
}

// WithDialTimeout sets the timeout for establishing a connection.
func WithDialTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.quic.HandshakeIdleTimeout = d }
}

// WithSweepInterval sets the interval at which unused connections are closed.
func WithSweepInterval(d time.Duration) ClientOption {
	return func(c *Client) { c.sweepInterval = d }
}

// NewClient returns a client that authenticates itself to peers with the identity.
func NewClient(id *Identity, opts ...ClientOption) *Client {
	c := &Client{
		tls: id.ClientConfig(),
		quic: &quic.Config{
			HandshakeIdleTimeout: defaultDialTimeout,
			MaxIdleTimeout:       defaultIdleTimeout,
			KeepAlivePeriod:      defaultIdleTimeout / keepAlivesPerIdleTimeout,

			InitialStreamReceiveWindow:     streamWindow,
			MaxStreamReceiveWindow:         streamWindow,
			InitialConnectionReceiveWindow: connectionWindow,
			MaxConnectionReceiveWindow:     connectionWindow,
		},
		sweepInterval: defaultSweepInterval,
		stop:          make(chan struct{}),
		connections:   map[string]*connection{},
	}
	c.http = &http.Client{Transport: c}
	for _, opt := range opts {
		opt(c)
	}
	c.done.Go(c.sweepLoop)
	return c
}

// HTTP returns an HTTP client for the construction of Connect clients.
func (c *Client) HTTP() *http.Client {
	return c.http
}

// URL returns the base URL of the peer at the address.
func URL(address netip.AddrPort) string {
	return "https://" + address.String()
}

// Connections returns the number of peers with an open connection.
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

// Close closes all connections and waits until the sweeps have stopped.
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

func (c *Client) sweepLoop() {
	ticker := time.NewTicker(c.sweepInterval)
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
