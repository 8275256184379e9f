package web

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// fieldsResponse is the response to a header with too many fields. The rest of the header is not read.
const fieldsResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// WithMaxHeaderFields sets the maximum number of lines of a request's header. net/http limits only its bytes, and a
// field without a value takes 20 times as much memory as it has bytes. It has no effect on HTTP/2.
func WithMaxHeaderFields(n int) Option {
	return func(s *Server) { s.maxHeaderFields = n }
}

// headerListener limits the header fields of the connections that it accepts.
type headerListener struct {
	net.Listener
	maxFields int
}

// Accept implements net.Listener.
func (l *headerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headerConn{tcpConn: tcpConn{conn}, header: headerLines{max: l.maxFields}}, nil
}

// headerConn is a connection whose reads end when a header has too many fields. net/http reads from it in one goroutine
// at a time.
type headerConn struct {
	tcpConn
	header headerLines
}

// NetConn returns the connection without the limit.
func (c *headerConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *headerConn) Read(p []byte) (int, error) {
	if c.header.exceeded() {
		// net/http reads on after an error in a header.
		return 0, c.err()
	}
	n, err := c.Conn.Read(p)
	if c.header.add(p[:n]); !c.header.exceeded() {
		return n, err
	}
	if c.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = io.WriteString(c.Conn, fieldsResponse)
	}
	return 0, c.err()
}

// Write implements net.Conn. net/http responds to errors in a header, which has a response already.
func (c *headerConn) Write(p []byte) (int, error) {
	if c.header.exceeded() {
		return 0, c.err()
	}
	return c.Conn.Write(p)
}

func (c *headerConn) err() error { return &HeaderFieldsError{Max: c.header.max} }

// HeaderFieldsError is the error of a connection that was used after a header with too many fields.
type HeaderFieldsError struct {
	// Max is the number of fields that are allowed.
	Max int
}

// Error implements error.
func (e *HeaderFieldsError) Error() string {
	return fmt.Sprintf("the header has more than %d fields", e.Max)
}

// headerLines counts the lines of a request's header as it is read.
type headerLines struct {
	max int
	// lines is the number of lines that are not blank. net/http skips blank ones before a request.
	lines int
	// text is whether the current line has a byte beside a carriage return, and ended whether the header was read to its end.
	text, ended bool
}

// reset begins the next header. What was read of it with the request before is not counted, at most one buffer.
func (h *headerLines) reset() { h.lines, h.text, h.ended = 0, false, false }

// exceeded reports whether the header has too many fields. Its first line is that of the request.
func (h *headerLines) exceeded() bool { return h.lines-1 > h.max }

// add counts what was read.
func (h *headerLines) add(p []byte) {
	for _, b := range p {
		switch {
		case h.ended:
			return
		case b == '\n' && h.text:
			h.text = false
			h.lines++
		case b == '\n':
			h.ended = h.lines > 0
		case b != '\r':
			h.text = true
		}
	}
}

// tcpConn passes on what net.TCPConn has beside net.Conn.
type tcpConn struct{ net.Conn }

// CloseWrite ends the connection's direction to the caller. net/http calls it before it closes a connection with unread
// bytes, which resets it.
func (c tcpConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errors.WithStack(http.ErrNotSupported)
}

// SetLinger sets what Close does with bytes that are not sent yet, as that of net.TCPConn does.
func (c tcpConn) SetLinger(sec int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return conn.SetLinger(sec)
	}
	return errors.WithStack(http.ErrNotSupported)
}
