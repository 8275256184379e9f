package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"
)

// Order instructs a model engine to load or unload a model or to change its role.
type Order struct {
	// FencingNumber increases with each order, also across the processes that send
	// orders to the engine. An engine that supports fencing rejects an order whose
	// number is lower than one it has received.
	FencingNumber int64 `json:"fencingNumber"`
	// Order is OrderLoad, OrderUnload or OrderRole.
	Order string `json:"order"`
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
	// Sender is the sidecar's incarnation. Engines only log it.
	Sender string `json:"sender,omitempty"`
}

// Values of Order.Order.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// EngineState is a model engine's current role and its loaded models.
type EngineState struct {
	Role   string   `json:"role"`
	Models []string `json:"models"`
}

// FencedError reports that the engine rejected an order because it has received
// one with a higher fencing number.
type FencedError struct {
	FencingNumber int64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("engine has received an order with a fencing number above %d", e.FencingNumber)
}

// maxStateBytes is the maximum size of an engine's response to a state request or
// an order.
const maxStateBytes = 1 << 20

// State returns the role and the models that the engine reports. The report may
// not yet include the most recent orders.
func (e *Engine) State(ctx context.Context) (EngineState, error) {
	var state EngineState
	data, err := e.do(ctx, http.MethodGet, "/v1/load", nil)
	if err != nil {
		return state, err
	}
	return state, errors.Wrap(json.Unmarshal(data, &state), "decode engine state")
}

// SendOrder sends an order to the engine. It fails if the request is not written
// before sendDeadline; the response may arrive later. The error is a *FencedError
// if the engine rejected the fencing number. After any other error, the engine may
// still have carried out the order.
func (e *Engine) SendOrder(ctx context.Context, order Order, sendDeadline time.Time) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.WithStack(err)
	}
	if !time.Now().Before(sendDeadline) {
		return errors.WithStack(context.DeadlineExceeded)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cancelUnsent := time.AfterFunc(time.Until(sendDeadline), cancel)
	defer cancelUnsent.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { cancelUnsent.Stop() },
	})
	_, err = e.do(ctx, http.MethodPost, "/v1/orders", body)
	var status *statusError
	if errors.As(err, &status) && status.code == http.StatusConflict {
		return &FencedError{FencingNumber: order.FencingNumber}
	}
	return err
}

// statusError reports a response with a status other than 200.
type statusError struct {
	path string
	code int
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("engine returned status %d for %s", e.code, e.path)
}

// do sends a request and returns the body of the response.
func (e *Engine) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, baseURL(e.address)+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.GetBody = nil // The transport must not retry the request.
	resp, err := e.config.client.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer closeBody(resp.Body)
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &statusError{path: path, code: resp.StatusCode}
	}
	return data, nil
}
