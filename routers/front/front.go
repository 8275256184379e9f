// Package front takes callers' requests over plain HTTP, by host and path. The
// project's own interface for callers is in package caller.
package front

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/services/relay"
)

const (
	// bodyTimeout is how long a caller may take to send a body. Callers give up on
	// an entry that has not read a request after a second; slow links take longer.
	bodyTimeout = 5 * time.Second
	// defaultBodyBytes bounds a body before the tables say so.
	defaultBodyBytes = 4 << 20
)

// HeaderCodec translates requests.
type HeaderCodec interface {
	// Decode returns a caller's request. Its body is not read.
	Decode(r *http.Request, arrived time.Time) (*call.Request, error)
	// SetRequestID marks an answer of crocusline's own with the id of its request.
	SetRequestID(to http.Header, r *call.Request)
	// SetRetryAfter sets the time after which a caller may come back.
	SetRetryAfter(to http.Header, d time.Duration)
}

// Relay answers requests.
type Relay interface {
	Relay(ctx context.Context, w http.ResponseWriter, r *call.Request) error
}

// TableSource gives the tables in force.
type TableSource interface {
	Table() *route.Table
}

// Handler serves callers.
type Handler struct {
	log      hclog.Logger
	messages HeaderCodec
	relay    Relay
	tables   TableSource
	draining atomic.Bool
	open     atomic.Int64
}

// New returns a handler that answers through the relay.
func New(log hclog.Logger, messages HeaderCodec, r Relay, tables TableSource) *Handler {
	return &Handler{log: log.Named("front"), messages: messages, relay: r, tables: tables}
}

// Drain makes each answer the last of its connection.
func (h *Handler) Drain() { h.draining.Store(true) }

// Draining says whether Drain was called.
func (h *Handler) Draining() bool { return h.draining.Load() }

// OpenRequests returns the number of requests under way.
func (h *Handler) OpenRequests() int64 { return h.open.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.open.Add(1)
	defer h.open.Add(-1)
	arrived := time.Now()
	if h.Draining() {
		w.Header().Set("Connection", "close")
	}
	req, err := h.messages.Decode(r, arrived)
	if err != nil {
		h.refuse(w, &call.Request{}, refusal.New(refusal.InvalidRequest, 0, err.Error()))
		return
	}
	if req.Body, err = h.read(w, r); err != nil {
		h.log.Info("body not read", "requestId", req.ID, "error", err)
		h.refuse(w, req, bodyRefusal(err))
		return
	}
	err = h.relay.Relay(r.Context(), w, req)
	var aborted *relay.AbortedError
	switch {
	case err == nil:
	case errors.As(err, &aborted):
		panic(http.ErrAbortHandler)
	default:
		h.refuse(w, req, err)
	}
}

// read returns the whole body.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit := int64(defaultBodyBytes)
	if t := h.tables.Table(); t != nil && t.Limits.BodyBytes > 0 {
		limit = t.Limits.BodyBytes
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, errors.WithStack(err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return body, errors.WithStack(control.SetReadDeadline(time.Time{}))
}

func bodyRefusal(err error) *refusal.Error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return refusal.New(refusal.BodyTooLarge, 0, err.Error())
	}
	return refusal.New(refusal.DeadlineExpired, 0, "the body did not arrive in time")
}

// refuse answers a request that was not relayed.
func (h *Handler) refuse(w http.ResponseWriter, r *call.Request, err error) {
	e, ok := refusal.As(err)
	if !ok {
		h.log.Error("unexpected error", "requestId", r.ID, "error", err)
		e = &refusal.Error{Reason: refusal.Unspecified, Outcome: refusal.Unknown, Advice: "an internal error"}
	}
	h.messages.SetRequestID(w.Header(), r)
	if e.Outcome == refusal.NotRun && e.RetryAfter > 0 {
		h.messages.SetRetryAfter(w.Header(), e.RetryAfter)
	}
	http.Error(w, e.Error(), statusOf(e))
}

// statusOf returns the status of a refusal. Only those below 500 and 503 say that
// the request has not run.
func statusOf(e *refusal.Error) int {
	if e.Outcome == refusal.Unknown {
		if e.Reason == refusal.DeadlineExpired {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch e.Reason {
	case refusal.InvalidRequest:
		return http.StatusBadRequest
	case refusal.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case refusal.Unauthenticated:
		return http.StatusUnauthorized
	case refusal.UnknownKind:
		return http.StatusNotFound
	case refusal.BudgetExhausted:
		return http.StatusPaymentRequired
	case refusal.BudgetUnreachable:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}
