package sidecar_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
)

// network connects the processes of one test in memory, so that the test can run in
// virtual time.
type network struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// endpoint is the listener of one process. It implements net.Listener.
type endpoint struct {
	address string
	server  *http.Server
	accept  chan net.Conn
	closed  chan struct{}

	mu    sync.Mutex
	down  bool
	conns []net.Conn
}

var errRefused = errors.New("connection refused")

func newNetwork() *network {
	return &network{endpoints: map[string]*endpoint{}}
}

// listen starts an endpoint that serves h. It replaces an earlier endpoint with the
// same address.
func (n *network) listen(t *testing.T, address string, h http.Handler) *endpoint {
	t.Helper()
	ep := &endpoint{address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	ep.server = &http.Server{Handler: h}
	n.mu.Lock()
	n.endpoints[address] = ep
	n.mu.Unlock()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = ep.server.Serve(ep)
	}()
	t.Cleanup(func() {
		ep.takeDown()
		_ = ep.server.Close()
		<-stopped
	})
	return ep
}

// client returns an HTTP client that connects to the endpoints of the network.
func (n *network) client(t *testing.T, keepAlive bool) *http.Client {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: !keepAlive, MaxIdleConnsPerHost: 64}
	transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		ep := n.endpoints[address]
		n.mu.Unlock()
		if ep == nil {
			return nil, errRefused
		}
		return ep.dial(ctx)
	}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func (ep *endpoint) dial(ctx context.Context) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	ep.mu.Lock()
	if ep.down {
		ep.mu.Unlock()
		return nil, errRefused
	}
	ep.conns = append(ep.conns, clientConn, serverConn)
	ep.mu.Unlock()
	select {
	case ep.accept <- serverConn:
		return clientConn, nil
	case <-ep.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// closeConnections closes all connections. New ones can be opened.
func (ep *endpoint) closeConnections() {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	for _, c := range ep.conns {
		_ = c.Close()
	}
	ep.conns = nil
}

// takeDown closes all connections and refuses new ones.
func (ep *endpoint) takeDown() {
	ep.mu.Lock()
	ep.down = true
	ep.mu.Unlock()
	ep.closeConnections()
}

// Accept implements net.Listener.
func (ep *endpoint) Accept() (net.Conn, error) {
	select {
	case c := <-ep.accept:
		return c, nil
	case <-ep.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (ep *endpoint) Close() error {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	select {
	case <-ep.closed:
	default:
		close(ep.closed)
	}
	return nil
}

// Addr implements net.Listener.
func (ep *endpoint) Addr() net.Addr { return &net.UnixAddr{Name: ep.address} }
