package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/refusal"
	callerv1 "github.com/crocusline/crocusline/modules/wire/caller/v1"
	"github.com/crocusline/crocusline/modules/wire/caller/v1/callerv1connect"
	"github.com/crocusline/crocusline/modules/wire/wiretest"
	"github.com/crocusline/crocusline/services/dispatch"
)

// echo admits all requests and answers with two short tokens and the prompt.
type echo struct{}

func (echo) Admit(string, dispatch.Request) (dispatch.Plan, func(), error) {
	return dispatch.Plan{}, func() {}, nil
}
func (echo) RecordAccepted(string, string)       {}
func (echo) RecordFailure(string, string, error) {}
func (echo) Add(dispatch.Receipt)                {}
func (echo) RecordRefusal(refusal.Reason)        {}
func (echo) RecordResponse()                     {}

func (echo) Dispatch(_ context.Context, req dispatch.Request, _ dispatch.Plan, sink dispatch.Sink) (dispatch.Response, error) {
	if err := sink.Accepted("r1", "model-1", 0); err != nil {
		return dispatch.Response{}, err
	}
	for i, token := range []string{"a", "b", req.Prompt} {
		if err := sink.Tokens(int64(i), []string{token}); err != nil {
			return dispatch.Response{}, err
		}
	}
	return dispatch.Response{RequestID: "r1", Tokens: 3}, nil
}

func TestOnlyLargeMessagesAreCompressed(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(New(hclog.NewNullLogger(), echo{}, echo{}, echo{}, echo{}, 1<<20))
	s := httptest.NewServer(mux)
	defer s.Close()
	for prompt, want := range map[string]int64{"short": 0, strings.Repeat("x", 4096): 1} {
		var decompressions wiretest.DecompressionCounter
		c := callerv1connect.NewRouterServiceClient(s.Client(), s.URL, decompressions.Option())
		stream, err := c.Submit(context.Background(), connect.NewRequest(&callerv1.SubmitRequest{Prompt: prompt}))
		if err != nil {
			t.Fatal(err)
		}
		for stream.Receive() {
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		_ = stream.Close()
		if got := decompressions.Count(); got != want {
			t.Errorf("prompt of %d bytes: %d messages came compressed, want %d", len(prompt), got, want)
		}
	}
}
