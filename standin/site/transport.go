package site

import (
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/crocusline/crocusline/modules/delay"
)

// Transport is an http.RoundTripper that passes requests to a handler in the same
// process. It opens no socket, so it can be used in virtual time.
type Transport struct {
	handler http.Handler
	latency time.Duration
}

// NewTransport returns a Transport that takes the latency for each request and, again,
// for each response.
func NewTransport(handler http.Handler, latency time.Duration) *Transport {
	return &Transport{handler: handler, latency: latency}
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
	return recorder.Result(), nil
}
