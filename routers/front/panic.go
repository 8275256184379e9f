package front

import (
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/refusal"
)

// writeTracker records whether a response was begun.
type writeTracker struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *writeTracker) WriteHeader(statusCode int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(statusCode)
}

// Write implements io.Writer.
func (w *writeTracker) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Unwrap is called by http.ResponseController to get the underlying writer.
func (w *writeTracker) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// abort ends the handling of a request whose response has begun and can't be completed, and closes its connection. A
// caller of HTTP/1.0 takes the orderly end of the connection for that of the response, so that it gets a reset.
func abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
				// If this fails, the close is orderly.
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// handlePanic responds to a request whose handling ended by a panic with the value, or closes its
// connection if the response was begun. No panic has the value nil.
func (h *Handler) handlePanic(value any, w *writeTracker, r *http.Request) {
	if value == nil {
		return
	}
	if err, ok := value.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	req, err := h.headers.Decode(r, time.Now())
	if err != nil {
		req = &call.Request{}
	}
	stack := strings.Join(strings.Fields(string(debug.Stack())), " ")
	h.log.Error("request ended by a panic", "requestId", req.ID, "responseBegun", w.begun, "panic", value, "stack", stack)
	if w.begun {
		abort(w, r)
	}
	clear(w.Header())
	w.Header().Set("Connection", "close")
	h.refuse(w, req, &refusal.Error{Reason: refusal.Unspecified, Outcome: refusal.Unknown, Advice: "an internal error"})
}
