package cost

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	callerv1 "github.com/crocusline/crocusline/modules/wire/caller/v1"
	"github.com/crocusline/crocusline/modules/wire/caller/v1/callerv1connect"
	"github.com/crocusline/crocusline/standin/cluster"
	"github.com/crocusline/crocusline/standin/engine"
)

// engineClient sends requests directly to the engine.
type engineClient struct {
	http *http.Client
	url  string
}

func newEngineClient(url string) *engineClient {
	return &engineClient{http: &http.Client{Transport: &http.Transport{}}, url: url}
}

func (c *engineClient) stream(ctx context.Context, prompt string, tokens int, onTokens func(int)) error {
	body, err := json.Marshal(engine.Request{Prompt: prompt, MaxTokens: tokens, Stream: true})
	if err != nil {
		return errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("engine: status %d", resp.StatusCode)
	}
	return readEvents(bufio.NewScanner(resp.Body), onTokens)
}

// readEvents reads the server-sent events of a response up to the end marker. A
// response without it is an error.
func readEvents(lines *bufio.Scanner, onTokens func(int)) error {
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		var event engine.Response
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return errors.WithStack(err)
		}
		for _, choice := range event.Choices {
			if choice.Text != "" {
				onTokens(1)
			}
		}
	}
	if err := lines.Err(); err != nil {
		return errors.WithStack(err)
	}
	return errors.New("engine: the response ended without [DONE]")
}

// entryClient sends requests through an entry and a sidecar.
type entryClient struct {
	caller callerv1connect.RouterServiceClient
}

func newEntryClient(url string) *entryClient {
	return &entryClient{caller: callerv1connect.NewRouterServiceClient(&http.Client{Transport: &http.Transport{}}, url)}
}

func (c *entryClient) stream(ctx context.Context, prompt string, tokens int, onTokens func(int)) error {
	req := connect.NewRequest(&callerv1.SubmitRequest{
		Workspace: cluster.Workspace,
		Kind:      "draft",
		Prompt:    prompt,
		MaxTokens: int32(tokens),
	})
	req.Header().Set("Authorization", "Bearer "+cluster.Token)
	response, err := c.caller.Submit(ctx, req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer response.Close()
	for response.Receive() {
		if text := response.Msg().GetTokens().GetText(); len(text) > 0 {
			onTokens(len(text))
		}
	}
	return errors.WithStack(response.Err())
}
