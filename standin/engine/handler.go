package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/standin/control"
)

// Limits of a request.
const (
	maxMaxTokens     = 65_536
	defaultMaxTokens = 16
)

// Handler returns the HTTP handler of the engine's API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletions)
	mux.HandleFunc("POST /v1/cancel", e.serveCancel)
	mux.HandleFunc("GET /v1/kv/{id}", e.serveExport)
	mux.HandleFunc("POST /v1/kv/{id}", e.serveImport)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, e.Load())
	})
	mux.HandleFunc("GET /v1/cache_events", e.serveCacheEvents)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /v1/orders", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, e.Orders())
	})
	mux.HandleFunc("GET /ran", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, e.Requests())
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WriteProcessMetrics(w)
	})
	control.RegisterHandlers(mux, e)
	return mux
}

func (e *Engine) serveCompletions(w http.ResponseWriter, r *http.Request) {
	data, ok := control.ReadBody(w, r)
	if !ok {
		return
	}
	req, err := decodeRequest(data)
	if err != nil {
		control.WriteError(w, http.StatusBadRequest, err)
		return
	}
	if e.consumeFailure() {
		control.WriteError(w, http.StatusServiceUnavailable, errors.New("failure on command"))
		return
	}
	s := newStream(req.RequestID, req.Prompt, req.generated(), req.MaxTokens, req.Priority)
	e.start(s)
	out := &completionWriter{w: w, req: req, stream: s, breakAfter: e.consumeBreak()}
	if err := e.streamTokens(r.Context(), s, out); err != nil {
		e.cancel(s)
		if errors.Is(err, errInjectedBreak) {
			panic(http.ErrAbortHandler)
		}
	}
}

// streamTokens writes the tokens of a stream as they are generated until it ends.
func (e *Engine) streamTokens(ctx context.Context, s *stream, out *completionWriter) error {
	position := s.startToken
	out.writeHeader()
	for {
		tokens, end := e.tokensFrom(s, position)
		position += len(tokens)
		if err := out.writeTokens(tokens); err != nil {
			return err
		}
		if end != finishNone {
			return out.finish(end)
		}
		select {
		case <-s.progress:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// cancelRequest is the body of /v1/cancel.
type cancelRequest struct {
	RequestID string `json:"requestId"`
}

// cancelResponse reports whether the request had a running or waiting stream.
type cancelResponse struct {
	Cancelled bool `json:"cancelled"`
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	data, ok := control.ReadBody(w, r)
	if !ok {
		return
	}
	var req cancelRequest
	if err := control.Decode(data, &req); err != nil {
		control.WriteError(w, http.StatusBadRequest, err)
		return
	}
	control.WriteJSON(w, http.StatusOK, cancelResponse{Cancelled: e.Cancel(req.RequestID)})
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	c, err := e.Export(r.PathValue("id"))
	if err != nil {
		control.WriteError(w, http.StatusNotFound, err)
		return
	}
	control.WriteJSON(w, http.StatusOK, c)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	data, ok := control.ReadBody(w, r)
	if !ok {
		return
	}
	var c KVCache
	if err := control.Decode(data, &c); err != nil {
		control.WriteError(w, http.StatusBadRequest, err)
		return
	}
	e.Import(c)
}

// cacheEvents is the response body of /v1/cache_events.
type cacheEvents struct {
	Events []CacheEvent `json:"events"`
	Time   time.Time    `json:"time"`
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	if text := r.URL.Query().Get("after"); text != "" {
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			control.WriteError(w, http.StatusBadRequest, err)
			return
		}
		after = parsed
	}
	control.WriteJSON(w, http.StatusOK, cacheEvents{Events: e.CacheEvents(after), Time: e.now()})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	data, ok := control.ReadBody(w, r)
	if !ok {
		return
	}
	var o Order
	if err := control.Decode(data, &o); err != nil {
		control.WriteError(w, http.StatusBadRequest, err)
		return
	}
	err := e.ExecuteOrder(o)
	var fenced *FencedError
	switch {
	case errors.As(err, &fenced):
		control.WriteError(w, http.StatusConflict, err)
	case err != nil:
		control.WriteError(w, http.StatusBadRequest, err)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
