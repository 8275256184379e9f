package peer

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	defaultIdle = 6 * time.Second
	defaultDial = time.Second
	// keepAlivesPerIdle is how many probes a silent connection sends within the
	// idle time, so that a lost packet does not end it.
	keepAlivesPerIdle = 3
)

// Client calls peers over HTTP/3. It opens a connection at the first call and
// closes it once no call has used it for a while.
type Client struct {
	transport *http3.Transport
	http      *http.Client
	sweep     time.Duration
	stop      chan struct{}
	done      sync.WaitGroup
}

// ClientOption changes a new Client.
type ClientOption func(*Client)

// WithIdle sets how long a peer may be silent before its connection counts as
// lost.
func WithIdle(d time.Duration) ClientOption {
	return func(c *Client) {
		c.transport.QUICConfig.MaxIdleTimeout = d
		c.transport.QUICConfig.KeepAlivePeriod = d / keepAlivesPerIdle
	}
}

// WithDial sets how long a new connection may take.
func WithDial(d time.Duration) ClientOption {
	return func(c *Client) { c.transport.QUICConfig.HandshakeIdleTimeout = d }
}

// WithSweep sets the time between two closings of unused connections.
func WithSweep(d time.Duration) ClientOption {
	return func(c *Client) { c.sweep = d }
}

// NewClient returns a client that shows the identity to peers.
func NewClient(id *Identity, opts ...ClientOption) *Client {
	transport := &http3.Transport{
		TLSClientConfig: id.ClientConfig(),
		QUICConfig: &quic.Config{
			HandshakeIdleTimeout: defaultDial,
			MaxIdleTimeout:       defaultIdle,
			KeepAlivePeriod:      defaultIdle / keepAlivesPerIdle,
		},
		DisableCompression: true,
	}
	c := &Client{
		transport: transport,
		http:      &http.Client{Transport: transport},
		sweep:     30 * time.Second,
		stop:      make(chan struct{}),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.done.Go(c.closeIdle)
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

// Close ends all connections and waits for the client's goroutine.
func (c *Client) Close() error {
	close(c.stop)
	c.done.Wait()
	return errors.WithStack(c.transport.Close())
}

func (c *Client) closeIdle() {
	ticker := time.NewTicker(c.sweep)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			c.transport.CloseIdleConnections()
		}
	}
}
