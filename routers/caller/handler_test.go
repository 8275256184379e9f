package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/crocusline/crocusline/models/refusal"
	callerv1 "github.com/crocusline/crocusline/modules/wire/caller/v1"
	"github.com/crocusline/crocusline/modules/wire/caller/v1/callerv1connect"
	"github.com/crocusline/crocusline/routers/caller"
	"github.com/crocusline/crocusline/services/dispatch"
	"github.com/crocusline/crocusline/services/refusalwire"
)

const maxBytes = 4096

// fakeEntry admits requests with the token "good" and responds with two tokens. The
// prompt "fail" makes it return an error that is not a refusal.
type fakeEntry struct {
	admitted int
	ids      map[string]bool
	refused  map[refusal.Reason]int
	receipts int
}

func (e *fakeEntry) Admit(token string, _ dispatch.Request) (dispatch.Plan, func(), error) {
	if token != "good" {
		return dispatch.Plan{}, nil, refusal.New(refusal.Unauthenticated, 0, "give the workspace's token")
	}
	e.admitted++
	return dispatch.Plan{}, func() { e.admitted-- }, nil
}

func (e *fakeEntry) Authenticate(token string) error {
	if token == "bad" {
		return refusal.New(refusal.Unauthenticated, 0, "the token is wrong")
	}
	return nil
}

func (e *fakeEntry) RecordAccepted(string, string)       {}
func (e *fakeEntry) RecordFailure(string, string, error) {}
func (e *fakeEntry) RecordResponse()                     {}
func (e *fakeEntry) Add(dispatch.Receipt)                { e.receipts++ }
func (e *fakeEntry) RecordRefusal(r refusal.Reason)      { e.refused[r]++ }

func (e *fakeEntry) Dispatch(_ context.Context, req dispatch.Request, _ dispatch.Plan, sink dispatch.Sink) (dispatch.Response, error) {
	e.ids[req.ID] = true
	if req.Prompt == "fail" {
		return dispatch.Response{}, errors.New("internal fault")
	}
	if err := sink.Accepted(req.ID, "model-1", req.FromToken); err != nil {
		return dispatch.Response{}, err
	}
	if err := sink.Tokens(req.FromToken, []string{"a", " b"}); err != nil {
		return dispatch.Response{}, err
	}
	return dispatch.Response{RequestID: req.ID, Tokens: 2, Receipt: &dispatch.Receipt{}}, nil
}

func serve(t *testing.T) (*fakeEntry, callerv1connect.RouterServiceClient, string) {
	e := &fakeEntry{ids: map[string]bool{}, refused: map[refusal.Reason]int{}}
	mux := http.NewServeMux()
	mux.Handle(caller.New(hclog.NewNullLogger(), e, e, e, e, maxBytes))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return e, callerv1connect.NewRouterServiceClient(server.Client(), server.URL), server.URL
}

func call(t *testing.T, c callerv1connect.RouterServiceClient, token string, req *callerv1.SubmitRequest) (*callerv1.CallResponse, error) {
	t.Helper()
	r := connect.NewRequest(&callerv1.CallRequest{Request: req})
	r.Header().Set("Authorization", "Bearer "+token)
	resp, err := c.Call(t.Context(), r)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func TestCompleteResponseStoresReceipt(t *testing.T) {
	e, client, _ := serve(t)
	resp, err := call(t, client, "good", &callerv1.SubmitRequest{Workspace: "w", Kind: "k", Prompt: "p"})
	if err != nil {
		t.Fatal(err)
	}
	if resp.GetText() != "a b" || !e.ids[resp.GetDone().GetRequestId()] || e.receipts != 1 || e.admitted != 0 {
		t.Errorf("response %v, receipts %d, still admitted %d", resp, e.receipts, e.admitted)
	}
}

func TestInvalidRequestsAreRefusedWithAdvice(t *testing.T) {
	tests := []struct {
		name    string
		token   string
		req     *callerv1.SubmitRequest
		reason  refusal.Reason
		outcome refusal.Outcome
	}{
		{"wrong token", "bad", &callerv1.SubmitRequest{}, refusal.Unauthenticated, refusal.NotRun},
		{"no request", "good", nil, refusal.InvalidRequest, refusal.NotRun},
		{"negative token", "good", &callerv1.SubmitRequest{FromToken: -1}, refusal.InvalidRequest, refusal.NotRun},
		{"resume without a key", "good", &callerv1.SubmitRequest{FromToken: 2}, refusal.MissingIdempotencyKey, refusal.NotRun},
		{"deadline passed", "good", &callerv1.SubmitRequest{Timeout: durationpb.New(-time.Second)}, refusal.DeadlineExpired, refusal.NotRun},
		{"internal error", "good", &callerv1.SubmitRequest{Prompt: "fail"}, refusal.Unspecified, refusal.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e, client, _ := serve(t)
			_, err := call(t, client, test.token, test.req)
			got, ok := refusalwire.Decode(err)
			if !ok || got.Reason != test.reason || got.Outcome != test.outcome || got.Advice == "" {
				t.Fatalf("error %v, want %s with outcome %s", err, test.reason, test.outcome)
			}
			var ce *connect.Error
			if !errors.As(err, &ce) || ce.Meta().Get(caller.RequestIDHeader) == "" {
				t.Error("no request ID in the error's metadata")
			}
			if e.refused[test.reason] != 1 || e.receipts != 0 || e.admitted != 0 {
				t.Errorf("refused %v, receipts %d, still admitted %d", e.refused, e.receipts, e.admitted)
			}
		})
	}
}

func TestMalformedAndOversizeBodies(t *testing.T) {
	e, _, url := serve(t)
	for body, want := range map[string]string{
		`{"request": {"workspace": `:                      "invalid_argument",
		`"` + strings.Repeat("x", maxBytes) + `"`:         "resource_exhausted",
		`{"request": {"timeout": "a while"}}`:             "invalid_argument",
		`{"request": {"kind": "k", "maxTokens": "many"}}`: "invalid_argument",
	} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+callerv1connect.RouterServiceCallProcedure, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		var text strings.Builder
		_ = resp.Write(&text)
		resp.Body.Close()
		if !strings.Contains(text.String(), want) {
			t.Errorf("body %.40q: %s, want %s", body, text.String(), want)
		}
	}
	if len(e.ids) != 0 {
		t.Errorf("%d requests dispatched", len(e.ids))
	}
}
