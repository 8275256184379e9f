package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/run"
)

// MaxResponseBytes is the maximum size of a plain service's response body.
const MaxResponseBytes = 1 << 20

// PlainService is a client of a plain service: a backend server that handles each
// request with a single HTTP response. Its calls are not necessarily idempotent.
type PlainService struct {
	address netip.AddrPort
	config  config
}

// NewPlainService returns a client of the plain service at an address.
func NewPlainService(address netip.AddrPort, opts ...Option) *PlainService {
	return &PlainService{address: address, config: newConfig(opts)}
}

// call sends one call. If the request may have been written, the outcome is
// unknown unless a complete response with a success status is received.
func (p *PlainService) call(ctx context.Context, req run.Request) (run.Result, error) {
	var trace connTrace
	// net/http sets GetBody for a bytes.Reader, which lets the transport retry the
	// call. Wrapping the reader prevents this.
	body := struct{ io.Reader }{bytes.NewReader(req.Body)}
	hr, err := http.NewRequestWithContext(trace.withTrace(ctx), http.MethodPost, baseURL(p.address)+"/call", body)
	if err != nil {
		return run.Result{}, refusal.New(refusal.InvalidRequest, 0, err.Error())
	}
	if len(req.Body) > 0 {
		hr.ContentLength = int64(len(req.Body))
	}
	if req.Key != "" {
		hr.Header.Set("Idempotency-Key", req.Key)
	}
	hr.Header.Set("Request-Id", req.ID)
	resp, err := p.config.client.Do(hr)
	if err != nil {
		return run.Result{}, trace.serverFailed("The service did not answer.")
	}
	defer closeBody(resp.Body)
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	if err != nil || len(data) > MaxResponseBytes {
		return run.Result{}, trace.serverFailed("The service's answer did not arrive whole.")
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return run.Result{}, plainRefusal(resp.StatusCode)
	}
	return run.Result{Body: data, MemoryBytes: len(data)}, nil
}

// plainRefusal returns the refusal for a response with an error status. The
// outcome is always unknown, because no status proves that the call had no effect.
func plainRefusal(status int) error {
	e := &refusal.Error{
		Reason:  refusal.ServerFailed,
		Outcome: refusal.Unknown,
		Advice:  "The service answered with an error: ask it whether the call took effect.",
	}
	if status < http.StatusInternalServerError {
		e.Reason = refusal.ServerRejected
	}
	return e
}
