// Package server drives the backend server beside a sidecar: a model engine
// over HTTP with server-sent events, or a plain service over HTTP.
package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/run"
)

// Server is a backend server, either an *Engine or a *Plain.
type Server interface {
	isServer()
}

func (*Engine) isServer()       {}
func (*PlainService) isServer() {}

// TokenSink takes the tokens of an answer in order.
type TokenSink interface {
	WriteToken(text string)
}

// Driver runs requests at a backend server.
type Driver struct {
	Server Server
}

// Run runs a request and returns once it ended. Cancelling the context cancels
// the work. The error is a *refusal.Error, whose outcome "not run" means that
// nothing reached the server or that a model engine refused the request.
func (d Driver) Run(ctx context.Context, req run.Request, sink TokenSink) (run.Result, error) {
	switch s := d.Server.(type) {
	case *Engine:
		return s.complete(ctx, req, sink)
	case *PlainService:
		return s.call(ctx, req)
	default:
		return run.Result{}, errors.Errorf("server of unknown type %T", s)
	}
}

// Option changes how a server is reached.
type Option func(*config)

type config struct {
	client *http.Client
}

// WithClient sets the HTTP client. Its transport must not repeat requests.
func WithClient(client *http.Client) Option {
	return func(c *config) { c.client = client }
}

// Bounds of the connections to the backend server.
const (
	dialTimeout     = 2 * time.Second
	idleConnections = 256
)

func newConfig(opts []Option, keepAlive bool) config {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	transport.MaxIdleConnsPerHost = idleConnections
	// HTTP/1.1 only: the HTTP/2 transport repeats requests by itself.
	transport.TLSNextProto = map[string]func(string, *tls.Conn) http.RoundTripper{}
	transport.ForceAttemptHTTP2 = false
	transport.DisableKeepAlives = !keepAlive
	c := config{client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// refuseRedirect keeps the client from sending a request a second time.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func baseURL(address netip.AddrPort) string {
	return "http://" + address.String()
}

// sent tells whether a request can have reached the server.
type sent struct {
	connected atomic.Bool
}

func (s *sent) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	})
}

// failed returns the refusal of a request that ended with an error.
func (s *sent) failed(advice string) *refusal.Error {
	e := refusal.New(refusal.ServerFailed, retryElsewhere, advice)
	if s.connected.Load() {
		e.Outcome = refusal.Unknown
	}
	return e
}

// retryElsewhere is the time to come back after a backend server failed.
const retryElsewhere = time.Second
