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

// echoDispatcher admits all requests and responds with two short tokens and the prompt.
type echoDispatcher struct{}

func (echoDispatcher) Admit(string, dispatch.Request) (dispatch.Plan, func(), error) {
	return dispatch.Plan{}, func() {}, nil
}
func (echoDispatcher) Authenticate(string) error           { return nil }
func (echoDispatcher) RecordAccepted(string, string)       {}
func (echoDispatcher) RecordFailure(string, string, error) {}
func (echoDispatcher) Add(dispatch.Receipt)                {}
func (echoDispatcher) RecordRefusal(refusal.Reason)        {}
func (echoDispatcher) RecordResponse()                     {}

func (echoDispatcher) Dispatch(_ context.Context, req dispatch.Request, _ dispatch.Plan, sink dispatch.Sink) (dispatch.Response, error) {
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
	mux.Handle(New(hclog.NewNullLogger(), echoDispatcher{}, echoDispatcher{}, echoDispatcher{}, echoDispatcher{}, 1<<20))
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
			t.Errorf("prompt of %d bytes: %d compressed messages received, want %d", len(prompt), got, want)
		}
	}
}
