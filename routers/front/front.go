// Package front serves callers over plain HTTP. Requests are routed by host and path.
// Crocusline's own protocol for callers is in package caller.
package front

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/call"
	intakemodel "github.com/crocusline/crocusline/models/intake"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/services/intake"
	"github.com/crocusline/crocusline/services/memory"
	"github.com/crocusline/crocusline/services/relay"
	"github.com/crocusline/crocusline/services/strain"
)

const (
	// bodyTimeout is how long a caller may take to send a request body. Callers cancel a
	// request that the gateway has not read after a second, but slow links take longer.
	bodyTimeout = 5 * time.Second
	// stopRetryAfter is about the time that a caller takes to reach another gateway.
	stopRetryAfter = 100 * time.Millisecond
	// defaultMaxBodyBytes limits a request body if the routing tables set no limit.
	defaultMaxBodyBytes = 4 << 20
)

// HeaderCodec translates between the headers of callers and requests.
type HeaderCodec interface {
	// Decode returns a caller's request without its body, which is not read.
	Decode(r *http.Request, arrivedAt time.Time) (*call.Request, error)
	// SetRequestID sets the id of the request in a response that the gateway itself
	// generates.
	SetRequestID(to http.Header, r *call.Request)
	// SetRetryAfter sets the time after which the caller may retry.
	SetRetryAfter(to http.Header, d time.Duration)
}

// Relay forwards requests to backend servers.
type Relay interface {
	// Relay writes the response to w. It returns a relay.AbortedError if the response
	// was begun and can't be completed, and another error if nothing was written.
	Relay(ctx context.Context, w http.ResponseWriter, r *call.Request) error
}

// TableSource provides the current routing tables.
type TableSource interface {
	Table() *route.Table
}

// Handler serves callers.
type Handler struct {
	log     hclog.Logger
	headers HeaderCodec
	relay   Relay
	tables  TableSource
	// drainingSince is when a planned stop began, with its plan, or nil.
	drainingSince atomic.Pointer[drain]
	// givenUp ends when open requests are given up.
	givenUp      context.Context
	giveUp       context.CancelCauseFunc
	openRequests atomic.Int64
	// strain decides which requests are taken.
	strain *strain.Service
	// memory is the budget of all requests in progress.
	memory *memory.Service
}

// drain is a planned stop in progress.
type drain struct {
	intakemodel.Stop
	begunAt time.Time
}

// errStopping is the cause of the end of requests that a planned stop gives up.
var errStopping = refusal.New(refusal.ShuttingDown, stopRetryAfter, "this entry ends before the backend server has answered")

// Option configures a Handler.
type Option func(*Handler)

// WithStrain sets what knows the gateway's own resources and decides which requests are taken. Without
// it, all are.
func WithStrain(s *strain.Service) Option {
	return func(h *Handler) { h.strain = s }
}

// WithMemory sets the budget of the memory for all requests in progress.
func WithMemory(m *memory.Service) Option {
	return func(h *Handler) { h.memory = m }
}

// New returns a handler that forwards requests through the relay.
func New(log hclog.Logger, headers HeaderCodec, r Relay, tables TableSource, opts ...Option) *Handler {
	h := &Handler{
		log: log.Named("front"), headers: headers, relay: r, tables: tables, strain: strain.New(log),
		memory: memory.New(memory.DefaultLimit),
	}
	h.givenUp, h.giveUp = context.WithCancelCause(context.Background())
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Drain begins a planned stop: every later response closes its connection, and the readiness check
// fails. By the plan, requests are refused from a time on, and given up at another.
func (h *Handler) Drain(plan intakemodel.Stop) {
	if h.drainingSince.CompareAndSwap(nil, &drain{Stop: plan, begunAt: time.Now()}) {
		time.AfterFunc(plan.GiveUpAfter, func() { h.giveUp(errStopping) })
	}
}

// Draining reports whether Drain was called.
func (h *Handler) Draining() bool { return h.drainingSince.Load() != nil }

// refusesAll reports whether a planned stop has come so far that requests are no longer taken.
func (h *Handler) refusesAll(now time.Time) bool {
	d := h.drainingSince.Load()
	return d != nil && now.Sub(d.begunAt) >= d.AcceptFor
}

// OpenRequests returns the number of requests in flight.
func (h *Handler) OpenRequests() int64 { return h.openRequests.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.openRequests.Add(1)
	defer h.openRequests.Add(-1)
	tracker := &writeTracker{ResponseWriter: w}
	defer func() { h.handlePanic(recover(), tracker, r) }()
	h.serve(tracker, r)
}

// serve reads a request and responds to it.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	if strained := h.strain.RecordReceived(r.ContentLength); strained || h.Draining() {
		w.Header().Set("Connection", "close")
	}
	req, err := h.headers.Decode(r, arrivedAt)
	if err != nil {
		h.refuse(w, &call.Request{}, refusal.New(refusal.InvalidRequest, 0, err.Error()))
		return
	}
	if h.refusesAll(arrivedAt) {
		h.refuseStopping(w, req)
		return
	}
	held := h.memory.NewReservation()
	defer held.Release()
	body := intake.New(w, r, held, intake.WithMaxBytes(h.maxBodyBytes()), intake.WithTimeout(bodyTimeout))
	// The link doesn't carry a body that is refused here.
	if err := reserve(held, body); err != nil {
		h.refuseBody(w, req, r, err)
		return
	}
	if err := h.acceptBody(r, req); err != nil {
		h.log.Info("request refused before its body", "requestId", req.ID, "bytes", r.ContentLength, "error", err)
		// Without this the server reads the body before it sends the response.
		w.Header().Set("Connection", "close")
		h.refuse(w, req, err)
		return
	}
	if req.Body, err = body.ReadAll(); err != nil {
		h.refuseBody(w, req, r, err)
		return
	}
	// The body may have ended long after the header.
	if h.refusesAll(time.Now()) || h.givenUp.Err() != nil {
		h.refuseStopping(w, req)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer context.AfterFunc(h.givenUp, func() { cancel(context.Cause(h.givenUp)) })()
	err = h.relay.Relay(ctx, w, req)
	var aborted *relay.AbortedError
	switch {
	case err == nil:
	case errors.As(err, &aborted):
		abort(w, r)
	default:
		h.refuse(w, req, err)
	}
}

// refuseStopping refuses a request because of a planned stop.
func (h *Handler) refuseStopping(w http.ResponseWriter, req *call.Request) {
	h.log.Info("request refused by a planned stop", "requestId", req.ID)
	w.Header().Set("Connection", "close")
	h.refuse(w, req, refusal.New(refusal.ShuttingDown, stopRetryAfter, "this entry stops: another one takes the request"))
}

// acceptBody refuses a request that the gateway can't carry in time, by its urgency.
func (h *Handler) acceptBody(r *http.Request, req *call.Request) error {
	priority := 0
	if t := h.tables.Table(); t != nil {
		if found, err := t.Find(req.Host, req.Path); err == nil {
			priority = found.Priority
		}
	}
	if wait, accepted := h.strain.Accept(r.ContentLength, priority); !accepted {
		return refusal.New(refusal.Overloaded, wait, "this entry carries all that it can: another one has room")
	}
	return nil
}

// refuse writes the response to a request that the relay did not respond to.
func (h *Handler) refuse(w http.ResponseWriter, r *call.Request, err error) {
	e, ok := refusal.As(err)
	if !ok {
		h.log.Error("unexpected error", "requestId", r.ID, "error", err)
		e = &refusal.Error{Reason: refusal.Unspecified, Outcome: refusal.Unknown, Advice: "an internal error"}
	}
	h.headers.SetRequestID(w.Header(), r)
	if e.Outcome == refusal.NotRun && e.RetryAfter > 0 {
		h.headers.SetRetryAfter(w.Header(), e.RetryAfter)
	}
	http.Error(w, e.Error(), statusCode(e))
}

// statusCode returns the HTTP status code of a refusal. Only 503 and codes below 500
// tell the caller that the request was not executed.
func statusCode(e *refusal.Error) int {
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
