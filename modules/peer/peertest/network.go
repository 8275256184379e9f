// Package peertest carries calls between peers within one process, with
// faults, for tests.
package peertest

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// Network connects handlers by address. It carries unary calls only.
type Network struct {
	mu       sync.Mutex
	handlers map[netip.AddrPort]http.Handler
	cut      map[netip.AddrPort]bool
	lost     map[netip.AddrPort]int
	calls    map[string]int
	sent     map[netip.AddrPort]int64
}

// New returns a network without peers.
func New() *Network {
	return &Network{
		handlers: map[netip.AddrPort]http.Handler{},
		cut:      map[netip.AddrPort]bool{},
		lost:     map[netip.AddrPort]int{},
		calls:    map[string]int{},
		sent:     map[netip.AddrPort]int64{},
	}
}

// Serve makes the handler answer at the address.
func (n *Network) Serve(address netip.AddrPort, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// SetPartitioned makes calls to and from the address hang until they are given up, or
// work again.
func (n *Network) SetPartitioned(address netip.AddrPort, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// DropResponses makes the next calls to the address take effect and then hang
// until they are given up.
func (n *Network) DropResponses(address netip.AddrPort, calls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost[address] = calls
}

// Calls returns how many calls of a procedure were carried, such as
// "/peer.v1.LedgerService/Draw".
func (n *Network) Calls(procedure string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[procedure]
}

// BodyBytes returns the bytes of the bodies, of questions and answers together, of
// the calls that the peer at the address made.
func (n *Network) BodyBytes(from netip.AddrPort) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[from]
}

func (n *Network) count(from netip.AddrPort, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[from] += int64(size)
}

// Client returns the HTTP client of the peer at the address.
func (n *Network) Client(from netip.AddrPort) *http.Client {
	return &http.Client{Transport: &transport{network: n, from: from}}
}

type transport struct {
	network *Network
	from    netip.AddrPort
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	to, err := netip.ParseAddrPort(req.URL.Host)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	handler, lost := t.network.route(t.from, to, req.URL.Path)
	if handler == nil {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	answer := make(chan *http.Response, 1)
	go func() {
		recorder := httptest.NewRecorder()
		inner := req.Clone(req.Context())
		inner.Body = io.NopCloser(bytes.NewReader(body))
		handler.ServeHTTP(recorder, inner)
		t.network.count(t.from, len(body)+recorder.Body.Len())
		answer <- recorder.Result()
	}()
	select {
	case resp := <-answer:
		if !lost {
			return resp, nil
		}
		<-req.Context().Done()
		return nil, errors.WithStack(req.Context().Err())
	case <-req.Context().Done():
		return nil, errors.WithStack(req.Context().Err())
	}
}

// route returns the handler that answers, if any, and whether its answer gets
// lost.
func (n *Network) route(from, to netip.AddrPort, procedure string) (http.Handler, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	handler := n.handlers[to]
	if handler == nil || n.cut[from] || n.cut[to] {
		return nil, false
	}
	n.calls[procedure]++
	lost := n.lost[to] > 0
	if lost {
		n.lost[to]--
	}
	return handler, lost
}
