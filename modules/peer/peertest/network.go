// Package peertest simulates a network between peers in one process, with fault
// injection, for tests.
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

// Network routes calls to handlers by address. It supports unary calls only.
type Network struct {
	mu              sync.Mutex
	handlers        map[netip.AddrPort]http.Handler
	partitioned     map[netip.AddrPort]bool
	responsesToDrop map[netip.AddrPort]int
	calls           map[string]int
	bodyBytes       map[netip.AddrPort]int64
}

// New returns a network without peers.
func New() *Network {
	return &Network{
		handlers:        map[netip.AddrPort]http.Handler{},
		partitioned:     map[netip.AddrPort]bool{},
		responsesToDrop: map[netip.AddrPort]int{},
		calls:           map[string]int{},
		bodyBytes:       map[netip.AddrPort]int64{},
	}
}

// Serve sets the handler for calls to the address.
func (n *Network) Serve(address netip.AddrPort, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// SetPartitioned sets whether calls to and from the address hang until their context
// ends.
func (n *Network) SetPartitioned(address netip.AddrPort, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[address] = partitioned
}

// DropResponses makes the next calls to the address take effect and then hang until
// their context ends.
func (n *Network) DropResponses(address netip.AddrPort, calls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.responsesToDrop[address] = calls
}

// Calls returns the number of calls of a procedure, such as
// "/peer.v1.LedgerService/Draw", that reached a handler.
func (n *Network) Calls(procedure string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[procedure]
}

// BodyBytes returns the total size of the request and response bodies of the calls
// made by the peer at the address.
func (n *Network) BodyBytes(from netip.AddrPort) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bodyBytes[from]
}

func (n *Network) addBodyBytes(from netip.AddrPort, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bodyBytes[from] += int64(size)
}

// Client returns an HTTP client for the peer at the address.
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
	handler, dropResponse := t.network.route(t.from, to, req.URL.Path)
	if handler == nil {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	response := make(chan *http.Response, 1)
	go func() {
		recorder := httptest.NewRecorder()
		inner := req.Clone(req.Context())
		inner.Body = io.NopCloser(bytes.NewReader(body))
		handler.ServeHTTP(recorder, inner)
		t.network.addBodyBytes(t.from, len(body)+recorder.Body.Len())
		response <- recorder.Result()
	}()
	select {
	case resp := <-response:
		if !dropResponse {
			return resp, nil
		}
		<-req.Context().Done()
		return nil, errors.WithStack(req.Context().Err())
	case <-req.Context().Done():
		return nil, errors.WithStack(req.Context().Err())
	}
}

// route returns the handler for a call, or nil if the call must hang, and whether to
// drop its response.
func (n *Network) route(from, to netip.AddrPort, procedure string) (http.Handler, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	handler := n.handlers[to]
	if handler == nil || n.partitioned[from] || n.partitioned[to] {
		return nil, false
	}
	n.calls[procedure]++
	dropResponse := n.responsesToDrop[to] > 0
	if dropResponse {
		n.responsesToDrop[to]--
	}
	return handler, dropResponse
}
