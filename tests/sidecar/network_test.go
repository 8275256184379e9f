package sidecar_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
)

// network connects the processes of one test in memory, so that a test runs in
// virtual time.
type network struct {
	mu    sync.Mutex
	hosts map[string]*host
}

// host is one process's listener. It implements net.Listener.
type host struct {
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
	return &network{hosts: map[string]*host{}}
}

// serve starts a host. A later host at the address takes the place of an
// earlier one.
func (n *network) serve(t *testing.T, address string, h http.Handler) *host {
	t.Helper()
	ho := &host{address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	ho.server = &http.Server{Handler: h}
	n.mu.Lock()
	n.hosts[address] = ho
	n.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = ho.server.Serve(ho)
	}()
	t.Cleanup(func() {
		ho.kill()
		_ = ho.server.Close()
		<-ended
	})
	return ho
}

// client returns an HTTP client of the network.
func (n *network) client(t *testing.T, keepAlive bool) *http.Client {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: !keepAlive, MaxIdleConnsPerHost: 64}
	transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		ho := n.hosts[address]
		n.mu.Unlock()
		if ho == nil {
			return nil, errRefused
		}
		return ho.dial(ctx)
	}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func (h *host) dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	h.mu.Lock()
	if h.down {
		h.mu.Unlock()
		return nil, errRefused
	}
	h.conns = append(h.conns, near, far)
	h.mu.Unlock()
	select {
	case h.accept <- far:
		return near, nil
	case <-h.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// cut breaks all connections. New ones can be made.
func (h *host) cut() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		_ = c.Close()
	}
	h.conns = nil
}

// kill breaks all connections and refuses new ones.
func (h *host) kill() {
	h.mu.Lock()
	h.down = true
	h.mu.Unlock()
	h.cut()
}

// Accept implements net.Listener.
func (h *host) Accept() (net.Conn, error) {
	select {
	case c := <-h.accept:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *host) Close() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.closed:
	default:
		close(h.closed)
	}
	return nil
}

// Addr implements net.Listener.
func (h *host) Addr() net.Addr { return &net.UnixAddr{Name: h.address} }
