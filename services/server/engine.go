package server

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/run"
)

// Engine is a client of a model engine that implements the common completions
// API.
type Engine struct {
	address netip.AddrPort
	config  config
}

// NewEngine returns a client of the model engine at an address.
func NewEngine(address netip.AddrPort, opts ...Option) *Engine {
	return &Engine{address: address, config: newConfig(opts)}
}

type completionRequest struct {
	Prompt    string   `json:"prompt"`
	MaxTokens int      `json:"max_tokens"`
	Stream    bool     `json:"stream"`
	Priority  int      `json:"priority"`
	RequestID string   `json:"request_id"`
	Generated []string `json:"generated,omitempty"`

	StreamOptions streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type completionEvent struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// complete streams the completion of a prompt to the sink. The connection is
// closed when the context ends, which cancels the request at the engine.
func (e *Engine) complete(ctx context.Context, req run.Request, sink TokenSink) (run.Result, error) {
	body, err := json.Marshal(completionRequest{
		Prompt:        req.Prompt,
		MaxTokens:     req.MaxTokens,
		Stream:        true,
		Priority:      int(req.Rank),
		RequestID:     req.ID,
		Generated:     req.Generated,
		StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err != nil {
		return run.Result{}, refusal.New(refusal.InvalidRequest, 0, "The prompt cannot be encoded.")
	}
	var trace connTrace
	hr, err := http.NewRequestWithContext(trace.withTrace(ctx), http.MethodPost, baseURL(e.address)+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return run.Result{}, refusal.New(refusal.InvalidRequest, 0, err.Error())
	}
	hr.GetBody = nil // The transport must not retry the request.
	hr.Header.Set("Content-Type", "application/json")
	hr.Header.Set("Accept", "text/event-stream")
	resp, err := e.config.client.Do(hr)
	if err != nil {
		return run.Result{}, trace.serverFailed("The model engine did not answer: try another server.")
	}
	defer closeBody(resp.Body)
	if err := engineRefusal(resp.StatusCode); err != nil {
		return run.Result{}, err
	}
	result, err := readCompletion(resp.Body, req.Generated, sink)
	if err != nil {
		return run.Result{}, trace.serverFailed("The model engine ended the answer early: try another server.")
	}
	return result, nil
}

// engineRefusal returns the refusal for a response status, or nil for 200. Only a status that rejects the
// request shows that it has not run.
func engineRefusal(status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return refusal.New(refusal.ServerFailed, serverFailedRetryAfter, "The model engine takes no work now: try another server.")
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout:
		return refusal.New(refusal.ServerRejected, 0, "The model engine rejected the request: change it.")
	default:
		e := refusal.New(refusal.ServerFailed, serverFailedRetryAfter, "The model engine failed: try another server.")
		e.Outcome = refusal.Unknown
		return e
	}
}

// readCompletion writes the tokens of a completion to the sink and returns when it
// reads the event that ends the stream. The tokens generated earlier are counted
// in the result.
func readCompletion(r io.Reader, generated []string, sink TokenSink) (run.Result, error) {
	result := run.Result{OutputTokens: int64(len(generated))}
	for _, token := range generated {
		result.MemoryBytes += len(token)
	}
	events := NewEventReader(r)
	for {
		data, err := events.Next()
		if err != nil {
			return run.Result{}, err
		}
		if string(data) == doneMarker {
			return result, nil
		}
		var event completionEvent
		if err := json.Unmarshal(data, &event); err != nil {
			return run.Result{}, errors.Wrap(err, "decode completion event")
		}
		if event.Usage != nil {
			result.PromptTokens = event.Usage.PromptTokens
		}
		for _, c := range event.Choices {
			if c.Index != 0 || c.Text == "" {
				continue
			}
			result.OutputTokens++
			result.MemoryBytes += len(c.Text)
			sink.WriteToken(c.Text)
		}
	}
}

// doneMarker is the data of the event that ends a completion.
const doneMarker = "[DONE]"

func closeBody(body io.Closer) {
	_ = body.Close()
}
