package exchange

import (
	"context"
	"io"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

// checkedConn is a connection for clients of net/http whose orderly end is an EndError if what was written did not reach
// the server.
type checkedConn struct {
	net.Conn
	writeFailed atomic.Bool
}

// Dial returns a function that establishes connections as the dialer does, and checks their ends.
func Dial(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
}

// Write implements io.Writer.
func (c *checkedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// Read implements io.Reader.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if c.writeFailed.Load() {
		return n, &EndError{Unacknowledged: unacknowledged(c.Conn), Err: errors.WithStack(errReset)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), uploadGrace)
	defer cancel()
	if endErr := checkConnEnd(ctx, c.Conn); endErr != nil {
		return n, endErr
	}
	return n, err
}
