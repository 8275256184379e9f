package peer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/run"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	"github.com/crocusline/crocusline/services/refusalwire"
	"github.com/crocusline/crocusline/services/runner"
	"github.com/crocusline/crocusline/services/server"
)

// echoBackend responds with the words of the prompt and the body of the request.
type echoBackend struct{}

func (echoBackend) Run(_ context.Context, req run.Request, sink server.TokenSink) (run.Result, error) {
	words := strings.Fields(req.Prompt)
	for _, w := range words[len(req.Generated):] {
		sink.WriteToken(w)
	}
	n := int64(len(words))
	return run.Result{PromptTokens: n, OutputTokens: n, Body: req.Body}, nil
}

// fakeOutbox counts the calls of Add and settles its entries at once.
type fakeOutbox struct {
	mu      sync.Mutex
	entries []ledger.Entry
	calls   int
}

func (b *fakeOutbox) Add(_ int, entries []ledger.Entry, settled func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = append(b.entries, entries...)
	b.calls++
	go settled()
}

func startSidecar(t *testing.T, options ...connect.ClientOption) (peerv1connect.SidecarServiceClient, *fakeOutbox) {
	t.Helper()
	outbox := &fakeOutbox{}
	r := runner.New("drafting-1", "sidecar/1", echoBackend{}, runner.WithOutbox(outbox))
	if err := r.Start(context.Background(), kernel.New(hclog.NewNullLogger())); err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(NewSidecarHandler(r, nil).HTTPHandler())
	s := httptest.NewServer(mux)
	t.Cleanup(func() {
		s.Close()
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	return peerv1connect.NewSidecarServiceClient(s.Client(), s.URL, options...), outbox
}

// runRequest runs a request and returns its tokens and final frame.
func runRequest(t *testing.T, c peerv1connect.SidecarServiceClient, req *peerv1.RunRequest) ([]string, *peerv1.Finished, error) {
	t.Helper()
	stream, err := c.Run(context.Background(), connect.NewRequest(req))
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = stream.Close() }()
	var tokens []string
	var finished *peerv1.Finished
	for stream.Receive() {
		switch e := stream.Msg().GetEvent().(type) {
		case *peerv1.RunResponse_Chunk:
			if got, want := e.Chunk.GetFirst(), req.GetFromToken()+int64(len(tokens)); got != want {
				t.Errorf("chunk starts at %d, want %d", got, want)
			}
			tokens = append(tokens, e.Chunk.GetTokens()...)
		case *peerv1.RunResponse_Finished:
			finished = e.Finished
		}
	}
	return tokens, finished, stream.Err()
}

func hold(holder string) *peerv1.Hold {
	return &peerv1.Hold{Holder: holder, Sequence: 1, Tokens: 100, Shard: 3}
}

func TestRunAndReplay(t *testing.T) {
	c, outbox := startSidecar(t)
	req := &peerv1.RunRequest{
		RequestId: "r1", Workspace: "clinic", IdempotencyKey: "k", Idempotent: true,
		Prompt: "keep the ice cold", MaxTokens: 4, Hold: hold("entry/a"),
	}
	tokens, finished, err := runRequest(t, c, req)
	if err != nil || fmt.Sprint(tokens) != "[keep the ice cold]" || finished.GetTokens() != 4 {
		t.Fatalf("response = %v, %v, %v", tokens, finished, err)
	}
	retry := &peerv1.RunRequest{
		RequestId: "r2", Workspace: "clinic", IdempotencyKey: "k", Idempotent: true,
		FromToken: 2, Hold: hold("entry/b"),
	}
	tokens, finished, err = runRequest(t, c, retry)
	if err != nil || fmt.Sprint(tokens) != "[ice cold]" {
		t.Fatalf("replay = %v, %v", tokens, err)
	}
	if !finished.GetReplayed() || finished.GetHold().GetHolder() != "entry/a" || finished.GetHold().GetShard() != 3 || finished.GetUsage().GetBilledTokens() != 8 {
		t.Errorf("finished = %v", finished)
	}
	outbox.mu.Lock()
	defer outbox.mu.Unlock()
	if outbox.calls != 1 {
		t.Errorf("bills = %d, want 1", outbox.calls)
	}
}

func TestRefusalsHaveReasonAndOutcome(t *testing.T) {
	c, _ := startSidecar(t)
	if _, err := c.Fence(context.Background(), connect.NewRequest(&peerv1.FenceRequest{Entry: "entry/dead"})); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		req  *peerv1.RunRequest
		want refusal.Reason
	}{
		{"fenced entry", &peerv1.RunRequest{RequestId: "r1", Idempotent: true, Hold: hold("entry/dead")}, refusal.Fenced},
		{"other incarnation", &peerv1.RunRequest{RequestId: "r1", Idempotent: true, Incarnation: "x/1"}, refusal.WrongIncarnation},
		{"join without a running request", &peerv1.RunRequest{RequestId: "r1", Idempotent: true, JoinOnly: true}, refusal.NotFound},
		{"unregistered booking", &peerv1.RunRequest{RequestId: "r1", IdempotencyKey: "k"}, refusal.InvalidRequest},
		{"unknown rank", &peerv1.RunRequest{RequestId: "r1", Idempotent: true, Rank: 9}, refusal.InvalidRequest},
		{"negative position", &peerv1.RunRequest{RequestId: "r1", Idempotent: true, FromToken: -1}, refusal.InvalidRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, _, err := runRequest(t, c, tt.req)
			if e, ok := refusalwire.Decode(err); !ok || e.Reason != tt.want || e.Outcome != refusal.NotRun {
				t.Errorf("error = %v, want %s (notRun)", err, tt.want)
			}
		})
	}
}

func TestInquireFenceProbe(t *testing.T) {
	c, _ := startSidecar(t)
	ctx := context.Background()
	inquire := func(key string, fence bool) string {
		t.Helper()
		req := &peerv1.InquireRequest{Workspace: "clinic", IdempotencyKey: key, Attempt: 1, Fence: fence}
		resp, err := c.Inquire(ctx, connect.NewRequest(req))
		if err != nil {
			t.Fatal(err)
		}
		return resp.Msg.GetState()
	}
	booking := &peerv1.RunRequest{
		RequestId: "r1", Workspace: "clinic", IdempotencyKey: "k1", Attempt: 1, Price: 5,
		Incarnation: "sidecar/1", Body: []byte("bay 4"), Hold: hold("entry/a"),
	}
	if _, finished, err := runRequest(t, c, booking); err != nil || string(finished.GetBody()) != "bay 4" || finished.GetUsage().GetBilledTokens() != 5 {
		t.Fatalf("booking = %v, %v", finished, err)
	}
	if got := inquire("k1", true); got != "ran" {
		t.Errorf("state = %s, want ran", got)
	}
	if got := inquire("k2", false); got != "notSeen" {
		t.Errorf("state = %s, want notSeen", got)
	}
	if got := inquire("k2", true); got != "fenced" {
		t.Errorf("state = %s, want fenced", got)
	}
	probe, err := c.Probe(ctx, connect.NewRequest(&peerv1.ProbeRequest{}))
	if err != nil || probe.Msg.GetServer() != "drafting-1" || probe.Msg.GetLoad().GetSlots() != runner.DefaultSlots {
		t.Errorf("probe = %v, %v", probe, err)
	}
	ack, err := c.Acknowledge(ctx, connect.NewRequest(&peerv1.AcknowledgeRequest{RequestId: "r1"}))
	if err != nil || !ack.Msg.GetKnown() {
		t.Errorf("acknowledge = %v, %v", ack, err)
	}
}
