package web

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// refusedResponse is the response to a connection beyond the limit. Nothing was read from it.
const refusedResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.250\r\nContent-Length: 0\r\n\r\n"

// refusalTimeout is how long the write of that response may take. It fits in a new connection's buffer.
const refusalTimeout = 10 * time.Millisecond

// minIdleTime is how long a connection is kept without a request, so that a caller that has just
// connected has time to send one.
const minIdleTime = 100 * time.Millisecond

// WithMaxConnections limits the number of open connections. limit is called for each new one. When it is
// reached, the connection that has had no request in progress for the longest time is closed. If all
// have requests, or have been without one for a short time only, the new connection is refused with 503.
// onLimit is called for each connection that is closed or refused.
func WithMaxConnections(limit func() int, onLimit func()) Option {
	return func(s *Server) {
		s.connections = &connections{limit: limit, onLimit: onLimit, idle: list.New(), open: map[*limitedConn]struct{}{}}
	}
}

// connections limits the open connections of a server. It is safe for concurrent use.
type connections struct {
	limit   func() int
	onLimit func()

	mu   sync.Mutex
	open map[*limitedConn]struct{}
	// idle holds the connections without a request in progress, the longest idle first. A connection
	// that has sent a part of a header is idle.
	idle *list.List
}

// limitedConn is a connection that counts against the limit until it is closed.
type limitedConn struct {
	tcpConn
	connections *connections
	// element is the connection's place in idle, or nil, and idleSince when it got it.
	element   *list.Element
	idleSince time.Time
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.connections.remove(c)
	return c.Conn.Close()
}

// add returns the connection with a place under the limit, or nil if there is none.
func (c *connections) add(conn net.Conn) *limitedConn {
	limit := c.limit()
	c.mu.Lock()
	closed := c.removeIdleLocked(len(c.open) - limit + 1)
	var added *limitedConn
	if len(c.open) < limit {
		added = &limitedConn{tcpConn: tcpConn{conn}, connections: c}
		c.open[added] = struct{}{}
		c.setIdleLocked(added)
	}
	c.mu.Unlock()
	for _, idle := range closed {
		c.onLimit()
		_ = idle.Conn.Close()
	}
	return added
}

// removeIdleLocked removes at most n connections that have been idle for minIdleTime, and returns them.
func (c *connections) removeIdleLocked(n int) []*limitedConn {
	var removed []*limitedConn
	for e := c.idle.Front(); e != nil && len(removed) < n; e = c.idle.Front() {
		conn := e.Value.(*limitedConn)
		if time.Since(conn.idleSince) < minIdleTime {
			break
		}
		c.removeLocked(conn)
		removed = append(removed, conn)
	}
	return removed
}

func (c *connections) remove(conn *limitedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeLocked(conn)
}

func (c *connections) removeLocked(conn *limitedConn) {
	delete(c.open, conn)
	c.setBusyLocked(conn)
}

func (c *connections) setIdleLocked(conn *limitedConn) {
	if _, open := c.open[conn]; !open || conn.element != nil {
		return
	}
	conn.idleSince = time.Now()
	conn.element = c.idle.PushBack(conn)
}

func (c *connections) setBusyLocked(conn *limitedConn) {
	if conn.element != nil {
		c.idle.Remove(conn.element)
		conn.element = nil
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// install makes the server use the limit.
func (c *connections) install(s *http.Server) {
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, findLimited(conn))
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*limitedConn); ok {
			c.mu.Lock()
			c.setBusyLocked(conn)
			c.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// setIdle records that a connection has no request in progress any more. The response is written after the handler, and before
// that.
func (c *connections) setIdle(conn net.Conn) {
	if limited := findLimited(conn); limited != nil {
		c.mu.Lock()
		c.setIdleLocked(limited)
		c.mu.Unlock()
	}
}

// findLimited returns the limited connection under a connection, such as one with TLS.
func findLimited(conn net.Conn) *limitedConn {
	switch c := conn.(type) {
	case *limitedConn:
		return c
	case interface{ NetConn() net.Conn }:
		return findLimited(c.NetConn())
	default:
		return nil
	}
}

// limitedListener accepts connections while there is a place for them.
type limitedListener struct {
	net.Listener
	connections *connections
	// plain is whether the connections don't use TLS, so that a response can be written at once.
	plain bool
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limited := l.connections.add(conn); limited != nil {
			return limited, nil
		}
		l.connections.onLimit()
		if l.plain && conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
			_, _ = conn.Write([]byte(refusedResponse))
		}
		_ = conn.Close()
	}
}
