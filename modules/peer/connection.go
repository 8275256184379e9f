package peer

import (
	"io"

	"github.com/quic-go/quic-go/http3"
)

// connection is the transport to one peer. It counts the open calls because the
// library closes an idle connection even while a response body is being read.
type connection struct {
	transport *http3.Transport
	// openCalls is the number of calls whose response body is not closed.
	openCalls int
	// usedSinceSweep is set if a call ended after the last sweep.
	usedSinceSweep bool
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
	conn.openCalls++
	return conn
}

func (c *Client) release(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.openCalls--
	conn.usedSinceSweep = true
}

// closeUnused closes the connections that have no open call and had none since the
// last sweep.
func (c *Client) closeUnused() {
	c.mu.Lock()
	var unused []*connection
	for host, conn := range c.connections {
		if conn.openCalls == 0 && !conn.usedSinceSweep {
			unused = append(unused, conn)
			delete(c.connections, host)
		}
		conn.usedSinceSweep = false
	}
	c.mu.Unlock()
	for _, conn := range unused {
		_ = conn.transport.Close()
	}
}

// countedBody releases the connection when the response body is closed.
type countedBody struct {
	io.ReadCloser
	release func()
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}
