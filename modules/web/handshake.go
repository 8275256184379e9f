package web

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"time"

	"github.com/pkg/errors"
)

// maxHandshakeBytes limits what a caller sends before the TLS handshake has ended. crypto/tls holds messages of 64 KiB; those of
// callers without a certificate have some 2 KiB.
const maxHandshakeBytes = 16 << 10

// handshakeListener accepts connections over TLS whose handshake is limited.
type handshakeListener struct {
	net.Listener
	config *tls.Config
	// errorLog gets the errors of handshakes, the standard logger if it is nil.
	errorLog *log.Logger
}

// Accept implements net.Listener.
func (l *handshakeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limited := &handshakeConn{tcpConn: tcpConn{conn}, left: maxHandshakeBytes}
	return &handshakingConn{Conn: tls.Server(limited, l.config), limited: limited, errorLog: l.errorLog}, nil
}

// handshakingConn is a connection over TLS whose handshake is made by the first read. As it isn't a tls.Conn, net/http
// leaves the handshake to it; the deadline is that of the first header.
type handshakingConn struct {
	*tls.Conn
	limited  *handshakeConn
	errorLog *log.Logger
}

// plainTextResponse is the response to a caller that doesn't use TLS.
const plainTextResponse = "HTTP/1.0 400 Bad Request\r\n\r\nThe listener uses TLS: send requests to https://.\n"

// Read implements net.Conn.
func (c *handshakingConn) Read(p []byte) (int, error) {
	if c.limited != nil {
		// The deadline of the connection ends it.
		if err := c.HandshakeContext(context.Background()); err != nil {
			c.reportFailure(err)
			return 0, err
		}
		c.limited.ended = true
		c.limited = nil
	}
	return c.Conn.Read(p)
}

// reportFailure logs the error of a handshake, and responds to a caller that doesn't use TLS.
func (c *handshakingConn) reportFailure(err error) {
	logger := c.errorLog
	if logger == nil {
		logger = log.Default()
	}
	logger.Printf("http: TLS handshake error from %s: %v", c.RemoteAddr(), err)
	var header tls.RecordHeaderError
	if errors.As(err, &header) && header.Conn != nil && header.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = io.WriteString(header.Conn, plainTextResponse)
	}
}

// handshakeConn is the connection under TLS. Its reads end when the handshake is too long.
type handshakeConn struct {
	tcpConn
	left  int
	ended bool
}

// NetConn returns the connection without the limit.
func (c *handshakeConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *handshakeConn) Read(p []byte) (int, error) {
	if c.ended {
		return c.Conn.Read(p)
	}
	if c.left == 0 {
		return 0, &HandshakeError{Max: maxHandshakeBytes}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// HandshakeError is the error of a TLS handshake that is too long.
type HandshakeError struct {
	// Max is the number of bytes that are allowed.
	Max int
}

// Error implements error.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("the handshake has more than %d bytes", e.Max)
}
