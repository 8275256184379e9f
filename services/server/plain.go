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

// MaxResponseBytes is the largest answer of a plain service.
const MaxResponseBytes = 1 << 20

// PlainService is a plain service, some of whose calls may not be repeated.
type PlainService struct {
	address netip.AddrPort
	config  config
}

// NewPlainService returns the driver of the plain service at an address. Each call has
// a connection of its own, so that a call is never repeated by the transport.
func NewPlainService(address netip.AddrPort, opts ...Option) *PlainService {
	return &PlainService{address: address, config: newConfig(opts, false)}
}

// call makes one call. Once the request may have been written, anything but a
// whole answer leaves the outcome unknown.
func (p *PlainService) call(ctx context.Context, req run.Request) (run.Result, error) {
	var s sent
	// A body of a type of its own keeps the transport from repeating the call.
	body := struct{ io.Reader }{bytes.NewReader(req.Body)}
	hr, err := http.NewRequestWithContext(s.trace(ctx), http.MethodPost, baseURL(p.address)+"/call", body)
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
		return run.Result{}, s.failed("The service did not answer.")
	}
	defer closeBody(resp.Body)
	answer, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	if err != nil || len(answer) > MaxResponseBytes {
		return run.Result{}, s.failed("The service's answer did not arrive whole.")
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return run.Result{}, plainRefusal(resp.StatusCode)
	}
	return run.Result{Body: answer, MemoryBytes: len(answer)}, nil
}

// plainRefusal returns the refusal of a call answered with an error status. No
// status proves that the service did nothing.
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
