// Package server contains the sidecar's HTTP clients for its backend server. The
// backend server is a model engine, which streams its response as server-sent
// events, or a plain service, which sends a single HTTP response.
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

// Server represents a backend server, either an *Engine or a *PlainService.
type Server interface {
	isServer()
}

func (*Engine) isServer()       {}
func (*PlainService) isServer() {}

// TokenSink receives the tokens of a completion in order.
type TokenSink interface {
	WriteToken(text string)
}

// Driver runs requests on a backend server.
type Driver struct {
	Server Server
}

// Run sends a request to the server and returns when the request has ended.
// Cancelling the context cancels the request. The error is a *refusal.Error. Its
// outcome is NotRun if no connection to the server was obtained or a model engine
// rejected the request.
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

// Option configures a client of a backend server.
type Option func(*config)

type config struct {
	client *http.Client
}

// WithClient sets the HTTP client. Its transport must not retry requests.
func WithClient(client *http.Client) Option {
	return func(c *config) { c.client = client }
}

// dialTimeout is how long a connection to the backend server may take.
const dialTimeout = 2 * time.Second

// newConfig returns the configuration of a client that uses a new connection for each request. On
// a connection that is used again, a copy of an earlier response can arrive in place of the
// response: neither kind of server names the request in its responses. And the transport may
// retry a request that failed on a reused connection.
func newConfig(opts []Option) config {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	// HTTP/1.1 only, because the HTTP/2 transport retries requests on its own.
	transport.TLSNextProto = map[string]func(string, *tls.Conn) http.RoundTripper{}
	transport.ForceAttemptHTTP2 = false
	transport.DisableKeepAlives = true
	c := config{client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// noRedirect prevents the client from sending a request again to the location of
// a redirect.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func baseURL(address netip.AddrPort) string {
	return "http://" + address.String()
}

// connTrace records whether a request obtained a connection. Without one, no part
// of the request can have reached the server.
type connTrace struct {
	connected atomic.Bool
}

func (t *connTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// serverFailed returns the refusal of a request that failed without a usable
// response.
func (t *connTrace) serverFailed(advice string) *refusal.Error {
	e := refusal.New(refusal.ServerFailed, serverFailedRetryAfter, advice)
	if t.connected.Load() {
		e.Outcome = refusal.Unknown
	}
	return e
}

// serverFailedRetryAfter is the retry-after time that a caller receives when a
// backend server failed.
const serverFailedRetryAfter = time.Second
