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

// Order asks a model engine to load or unload a model, or to change its role.
type Order struct {
	// FencingNumber grows with each writer of orders. An engine that honours it
	// refuses a lower one than it has seen.
	FencingNumber int64 `json:"fencingNumber"`
	// Order is OrderLoad, OrderUnload or OrderRole.
	Order string `json:"order"`
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
	// Sender is the sidecar incarnation, for the engine's own logs.
	Sender string `json:"sender,omitempty"`
}

// The orders that engines take.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// EngineState is what a model engine holds and does.
type EngineState struct {
	Role   string   `json:"role"`
	Models []string `json:"models"`
}

// FencedError says that an engine has seen a higher fencing number.
type FencedError struct {
	FencingNumber int64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("the engine has seen a higher fencing number than %d", e.FencingNumber)
}

// maxSetupBytes bounds the report of an engine.
const maxSetupBytes = 1 << 20

// Setup returns what the engine reports of itself, which may be late.
func (e *Engine) State(ctx context.Context) (EngineState, error) {
	var setup EngineState
	data, err := e.exchange(ctx, http.MethodGet, "/v1/load", nil)
	if err != nil {
		return setup, err
	}
	return setup, errors.Wrap(json.Unmarshal(data, &setup), "engine setup")
}

// SendOrder gives the engine an order, unless it can't be sent by the given time. The
// engine may take longer to answer. The error is a *FencedError when the engine
// refused the order for its fencing number. After another error the order may
// have been carried out.
func (e *Engine) SendOrder(ctx context.Context, order Order, by time.Time) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.WithStack(err)
	}
	if !time.Now().Before(by) {
		return errors.WithStack(context.DeadlineExceeded)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := time.AfterFunc(time.Until(by), cancel)
	defer late.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { late.Stop() },
	})
	_, err = e.exchange(ctx, http.MethodPost, "/v1/orders", body)
	var status *statusError
	if errors.As(err, &status) && status.code == http.StatusConflict {
		return &FencedError{FencingNumber: order.FencingNumber}
	}
	return err
}

// statusError is an answer other than 200.
type statusError struct {
	path string
	code int
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("engine answered %s with status %d", e.path, e.code)
}

func (e *Engine) exchange(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, baseURL(e.address)+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.GetBody = nil // The transport must not repeat the request.
	resp, err := e.config.client.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer closeBody(resp.Body)
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxSetupBytes))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &statusError{path: path, code: resp.StatusCode}
	}
	return data, nil
}
