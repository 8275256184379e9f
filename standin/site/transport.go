package site

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/crocusline/crocusline/modules/delay"
)

// Transport is an http.RoundTripper that passes requests to a handler in the same
// process. It opens no socket, so it can be used in virtual time.
type Transport struct {
	handler http.Handler
	latency time.Duration
	link    *Link
}

// TransportOption configures a Transport.
type TransportOption func(*Transport)

// WithLink makes the bodies of responses arrive over the link.
func WithLink(l *Link) TransportOption { return func(t *Transport) { t.link = l } }

// NewTransport returns a Transport that takes the latency for each request and, again,
// for each response.
func NewTransport(handler http.Handler, latency time.Duration, opts ...TransportOption) *Transport {
	t := &Transport{handler: handler, latency: latency}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// RoundTrip implements http.RoundTripper. A request whose context ends while it is on
// its way to the handler is executed nevertheless.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	served := make(chan struct{})
	go func() {
		defer close(served)
		time.Sleep(t.latency)
		t.handler.ServeHTTP(recorder, r)
	}()
	select {
	case <-served:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	if !delay.Wait(r.Context(), t.latency) {
		return nil, r.Context().Err()
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotFirstResponseByte != nil {
		trace.GotFirstResponseByte()
	}
	resp := recorder.Result()
	if t.link != nil {
		resp.Body = io.NopCloser(&linkReader{ctx: r.Context(), link: t.link, reader: resp.Body})
	}
	return resp, nil
}

// segmentBytes is the number of bytes that a Link carries at a time.
const segmentBytes = 8 << 10

// Link is a network link that several transports share. Responses that arrive at the same
// time have equal parts of its bandwidth.
type Link struct {
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is when the link has carried all bytes that it has accepted.
	freeAt time.Time
}

// NewLink returns a link with the bandwidth.
func NewLink(bytesPerSecond float64) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// accept returns how long the link takes until it has carried n more bytes.
func (l *Link) accept(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt.Sub(now)
}

// linkReader reads a body as it arrives over a link.
type linkReader struct {
	ctx    context.Context
	link   *Link
	reader io.Reader
}

// Read implements io.Reader.
func (r *linkReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p[:min(len(p), segmentBytes)])
	if n > 0 && !delay.Wait(r.ctx, r.link.accept(n)) {
		return 0, context.Cause(r.ctx)
	}
	return n, err
}
