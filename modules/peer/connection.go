package peer

import (
	"io"

	"github.com/quic-go/quic-go/http3"
)

// connection is a transport that speaks to one peer. The library closes an idle
// connection under a body that is still read, so the calls are counted here.
type connection struct {
	transport *http3.Transport
	// calls counts the calls whose answer is not read to its end.
	calls int
	// used says that a call ended since the last sweep.
	used bool
}

func (c *Client) acquire(host string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.connections[host]
	if !ok {
		conn = &connection{transport: &http3.Transport{
			TLSClientConfig:    c.tls,
			QUICConfig:         c.quic,
			DisableCompression: true,
		}}
		c.connections[host] = conn
	}
	conn.calls++
	return conn
}

func (c *Client) release(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.calls--
	conn.used = true
}

// closeUnused closes the connections that no call has used since the last
// sweep.
func (c *Client) closeUnused() {
	c.mu.Lock()
	var unused []*connection
	for host, conn := range c.connections {
		if conn.calls == 0 && !conn.used {
			unused = append(unused, conn)
			delete(c.connections, host)
		}
		conn.used = false
	}
	c.mu.Unlock()
	for _, conn := range unused {
		_ = conn.transport.Close()
	}
}

// countedBody ends a call when its answer is closed.
type countedBody struct {
	io.ReadCloser
	release func()
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}
