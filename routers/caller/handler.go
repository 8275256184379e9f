// Package caller implements the Connect API through which callers submit requests.
package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/modules/wire"
	callerv1 "github.com/crocusline/crocusline/modules/wire/caller/v1"
	"github.com/crocusline/crocusline/modules/wire/caller/v1/callerv1connect"
	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
	"github.com/crocusline/crocusline/services/dispatch"
	"github.com/crocusline/crocusline/services/intake"
	"github.com/crocusline/crocusline/services/memory"
	"github.com/crocusline/crocusline/services/refusalwire"
)

// Admission decides whether a request is admitted, and plans how it is run.
type Admission interface {
	// Authenticate returns a *refusal.Error if the token is not one of any workspace.
	Authenticate(token string) error
	// Admit returns the plan of an admitted request and a function that releases its
	// admission.
	Admit(token string, req dispatch.Request) (dispatch.Plan, func(), error)
	// RecordAccepted records that a sidecar accepted a workspace's request of the kind.
	RecordAccepted(workspace, kind string)
	// RecordFailure records the error of such a request that got no complete response.
	RecordFailure(workspace, kind string, err error)
}

// Dispatcher runs admitted requests.
type Dispatcher interface {
	Dispatch(ctx context.Context, req dispatch.Request, p dispatch.Plan, sink dispatch.Sink) (dispatch.Response, error)
}

// ReceiptStore stores the receipts of responses that were sent.
type ReceiptStore interface {
	Add(r dispatch.Receipt)
}

// Counters counts the handler's results in metrics.
type Counters interface {
	RecordRefusal(reason refusal.Reason)
	RecordResponse()
}

// RequestIDHeader is the header with the ID of a request that got no complete response.
const RequestIDHeader = "Crocusline-Request-Id"

// Handler implements caller.v1.RouterService.
type Handler struct {
	log         hclog.Logger
	admission   Admission
	dispatcher  Dispatcher
	receipts    ReceiptStore
	counters    Counters
	memory      *memory.Service
	bodyTimeout time.Duration
	maxBytes    int64
}

// Option configures a Handler.
type Option func(*Handler)

// WithMemory sets the budget of the memory for all calls in progress.
func WithMemory(m *memory.Service) Option { return func(h *Handler) { h.memory = m } }

// WithBodyTimeout sets how long the body of a call may take to arrive.
func WithBodyTimeout(d time.Duration) Option { return func(h *Handler) { h.bodyTimeout = d } }

// New returns the service's path and handler. Messages larger than maxBytes are
// rejected before they are read.
func New(log hclog.Logger, a Admission, d Dispatcher, r ReceiptStore, c Counters, maxBytes int, opts ...Option) (string, http.Handler) {
	h := &Handler{
		log: log, admission: a, dispatcher: d, receipts: r, counters: c,
		memory: memory.New(memory.DefaultLimit), bodyTimeout: defaultBodyTimeout, maxBytes: int64(maxBytes),
	}
	for _, opt := range opts {
		opt(h)
	}
	path, handler := callerv1connect.NewRouterServiceHandler(h, connect.WithReadMaxBytes(maxBytes), wire.Compression())
	return path, &bodyReader{Handler: h, next: handler, writer: connect.NewErrorWriter()}
}

// Submit implements caller.v1.RouterService.
func (h *Handler) Submit(ctx context.Context, req *connect.Request[callerv1.SubmitRequest], stream *connect.ServerStream[callerv1.SubmitResponse]) error {
	resp, err := h.serve(ctx, req.Header(), req.Msg, &streamSink{stream: stream})
	if err != nil {
		return err
	}
	done := &callerv1.SubmitResponse{Event: &callerv1.SubmitResponse_Done{Done: doneMessage(resp)}}
	if err := stream.Send(done); err != nil {
		return err
	}
	h.storeReceipt(resp)
	return nil
}

// Call implements caller.v1.RouterService.
func (h *Handler) Call(ctx context.Context, req *connect.Request[callerv1.CallRequest]) (*connect.Response[callerv1.CallResponse], error) {
	request := req.Msg.GetRequest()
	if request == nil {
		return nil, h.refuse(newRequestID(), "", refusal.New(refusal.InvalidRequest, 0, `the field "request" is missing`))
	}
	sink := &textSink{response: memory.ResponseOf(ctx)}
	resp, err := h.serve(ctx, req.Header(), request, sink)
	if err != nil {
		return nil, err
	}
	h.storeReceipt(resp)
	return connect.NewResponse(&callerv1.CallResponse{Text: sink.text(), Done: doneMessage(resp)}), nil
}

func (h *Handler) storeReceipt(resp dispatch.Response) {
	if resp.Receipt != nil {
		h.receipts.Add(*resp.Receipt)
	}
}

func (h *Handler) serve(ctx context.Context, header http.Header, msg *callerv1.SubmitRequest, sink dispatch.Sink) (dispatch.Response, error) {
	req, err := decodeRequest(msg)
	req.ID = newRequestID()
	if err != nil {
		return dispatch.Response{}, h.refuse(req.ID, msg.GetWorkspace(), err)
	}
	plan, release, err := h.admission.Admit(bearerToken(header), req)
	if err != nil {
		return dispatch.Response{}, h.refuse(req.ID, req.Workspace, err)
	}
	defer release()
	acceptSink := &acceptNotifier{Sink: sink, onAccept: func() { h.admission.RecordAccepted(req.Workspace, req.Kind) }}
	resp, err := h.dispatcher.Dispatch(ctx, req, plan, acceptSink)
	if err != nil {
		h.admission.RecordFailure(req.Workspace, req.Kind, err)
		return dispatch.Response{}, h.refuse(req.ID, req.Workspace, err)
	}
	h.counters.RecordResponse()
	h.log.Info("request answered", "requestId", resp.RequestID, "workspace", req.Workspace,
		"kind", req.Kind, "server", resp.Server, "tokens", resp.Tokens,
		"billedTokens", resp.Usage.BilledTokens, "replayed", resp.Replayed)
	return resp, nil
}

func newRequestID() string {
	return uuid.Must(uuid.NewV7()).String()
}

// refuse counts and logs the failure of a request and returns it as a Connect error
// with the request's ID in its metadata.
func (h *Handler) refuse(id, workspace string, err error) error {
	var noMemory *memory.ResponseError
	if errors.As(err, &noMemory) {
		err = &refusal.Error{
			Reason: refusal.Overloaded, Outcome: refusal.Unknown, RetryAfter: intake.MemoryRetryAfter,
			Advice: "this entry has no memory for the response: retry with the same key, another entry has room",
		}
	}
	var sinkErr *dispatch.SinkError
	if errors.As(err, &sinkErr) {
		h.log.Info("caller disconnected", "requestId", id, "workspace", workspace, "error", sinkErr.Cause)
		return connect.NewError(connect.CodeCanceled, err)
	}
	e, ok := refusal.As(err)
	if !ok {
		h.log.Error("unexpected error", "requestId", id, "workspace", workspace, "error", err)
		e = refusal.New(refusal.Unspecified, 0, "internal error")
		e.Outcome = refusal.Unknown
	}
	h.counters.RecordRefusal(e.Reason)
	h.log.Info("request refused", "requestId", id, "workspace", workspace, "reason", e.Reason,
		"outcome", e.Outcome, "retryAfter", e.RetryAfter)
	encoded := refusalwire.Encode(e)
	var ce *connect.Error
	if errors.As(encoded, &ce) {
		ce.Meta().Set(RequestIDHeader, id)
	}
	return encoded
}

// decodeRequest converts a message and validates the fields that do not depend on the
// tables.
func decodeRequest(msg *callerv1.SubmitRequest) (dispatch.Request, error) {
	req := dispatch.Request{
		Workspace:      msg.GetWorkspace(),
		Kind:           msg.GetKind(),
		IdempotencyKey: msg.GetIdempotencyKey(),
		Retry:          msg.GetRetry() || msg.GetFromToken() > 0,
		Prompt:         msg.GetPrompt(),
		Body:           msg.GetBody(),
		MaxTokens:      int(msg.GetMaxTokens()),
		FromToken:      msg.GetFromToken(),
	}
	switch {
	case req.FromToken < 0 || req.MaxTokens < 0:
		return req, refusal.New(refusal.InvalidRequest, 0, "fromToken and maxTokens must not be negative")
	case req.FromToken > 0 && req.IdempotencyKey == "":
		return req, refusal.New(refusal.MissingIdempotencyKey, 0, "fromToken needs the idempotencyKey of the request that it goes on with")
	case msg.GetTimeout() == nil:
		return req, nil
	}
	req.Timeout = msg.GetTimeout().AsDuration()
	if req.Timeout <= 0 {
		return req, refusal.New(refusal.DeadlineExpired, 0, "the timeout is not in the future; give a longer one")
	}
	return req, nil
}

func bearerToken(h http.Header) string {
	token, _ := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	return token
}

func doneMessage(resp dispatch.Response) *callerv1.Done {
	return &callerv1.Done{
		RequestId: resp.RequestID,
		Body:      resp.Body,
		Tokens:    resp.Tokens,
		Server:    resp.Server,
		Replayed:  resp.Replayed,
		Usage: &commonv1.Usage{
			PromptTokens: resp.Usage.PromptTokens,
			OutputTokens: resp.Usage.OutputTokens,
			BilledTokens: resp.Usage.BilledTokens,
		},
	}
}
