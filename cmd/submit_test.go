package cmd

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/crocusline/crocusline/models/refusal"
	callerv1 "github.com/crocusline/crocusline/modules/wire/caller/v1"
	"github.com/crocusline/crocusline/modules/wire/caller/v1/callerv1connect"
	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
	"github.com/crocusline/crocusline/services/refusalwire"
)

// attempt describes how scriptedEntry responds to one attempt.
type attempt struct {
	first  int64
	tokens []string
	// done completes the response; otherwise the attempt ends with err.
	done bool
	body string
	err  error
	hang bool
}

// scriptedEntry responds to each attempt as the next element describes, and repeats the
// last one.
type scriptedEntry struct {
	callerv1connect.UnimplementedRouterServiceHandler

	mu       sync.Mutex
	attempts []attempt
	requests []*callerv1.SubmitRequest
	auth     string
}

func (e *scriptedEntry) next(req *connect.Request[callerv1.SubmitRequest]) attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.attempts[min(len(e.requests), len(e.attempts)-1)]
	e.requests = append(e.requests, req.Msg)
	e.auth = req.Header().Get("Authorization")
	return a
}

func (e *scriptedEntry) Submit(ctx context.Context, req *connect.Request[callerv1.SubmitRequest], stream *connect.ServerStream[callerv1.SubmitResponse]) error {
	a := e.next(req)
	if a.tokens != nil || a.done {
		accepted := &callerv1.Accepted{RequestId: "r1", FirstToken: a.first}
		if err := stream.Send(&callerv1.SubmitResponse{Event: &callerv1.SubmitResponse_Accepted{Accepted: accepted}}); err != nil {
			return err
		}
		tokens := &callerv1.Tokens{First: a.first, Text: a.tokens}
		if err := stream.Send(&callerv1.SubmitResponse{Event: &callerv1.SubmitResponse_Tokens{Tokens: tokens}}); err != nil {
			return err
		}
	}
	if a.hang {
		<-ctx.Done()
	}
	if !a.done {
		return refusalwire.Encode(a.err)
	}
	done := &callerv1.Done{
		RequestId: "r1", Server: "model-1", Body: []byte(a.body), Tokens: a.first + int64(len(a.tokens)),
		Usage: &commonv1.Usage{PromptTokens: 2, OutputTokens: 4, BilledTokens: 6},
	}
	return stream.Send(&callerv1.SubmitResponse{Event: &callerv1.SubmitResponse_Done{Done: done}})
}

func serveEntry(t *testing.T, attempts ...attempt) (*scriptedEntry, string) {
	t.Helper()
	e := &scriptedEntry{attempts: attempts}
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewRouterServiceHandler(e))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return e, server.URL
}

// broken is the error of a connection that is reset during the response.
var broken = connect.NewError(connect.CodeUnavailable, errors.New("connection reset"))

func submitTo(t *testing.T, args ...string) result {
	t.Helper()
	return executeWith(t, "", append([]string{"submit", "-w", "clinics", "-k", "answerDriver"}, args...)...)
}

func TestSubmitResumesResponse(t *testing.T) {
	a, first := serveEntry(t, attempt{tokens: []string{"one ", "two "}, err: broken})
	b, second := serveEntry(t, attempt{first: 2, tokens: []string{"three ", "four"}, done: true})
	got := submitTo(t, "-e", first, "-e", second, "--timeout", "20s", "Where?")
	got.want(t, Succeeded, "billedTokens=6", "requestId=r1", "connection reset")
	if got.out != "one two three four\n" {
		t.Errorf("response %q", got.out)
	}
	before, after := a.requests[0], b.requests[0]
	if before.GetRetry() || !after.GetRetry() || after.GetFromToken() != 2 || after.GetPrompt() != "Where?" {
		t.Errorf("retried with %v, first request %v", after, before)
	}
	if before.GetIdempotencyKey() == "" || before.GetIdempotencyKey() != after.GetIdempotencyKey() {
		t.Errorf("keys %q and %q", before.GetIdempotencyKey(), after.GetIdempotencyKey())
	}
	if !strings.Contains(got.err, "key="+before.GetIdempotencyKey()) {
		t.Errorf("no key in standard error: %s", got.err)
	}
	if after.GetTimeout().AsDuration() > 20*time.Second || after.GetTimeout().AsDuration() < 10*time.Second {
		t.Errorf("timeout of the retry: %s", after.GetTimeout().AsDuration())
	}
}

func TestSubmitRewritesRegeneratedResponse(t *testing.T) {
	_, same := serveEntry(t, attempt{tokens: []string{"one ", "two "}, err: broken},
		attempt{tokens: []string{"one ", "two ", "three"}, done: true})
	if got := submitTo(t, "-e", same, "Where?"); got.code != Succeeded || got.out != "one two three\n" {
		t.Errorf("%s: %q", got.code, got.out)
	}
	_, other := serveEntry(t, attempt{tokens: []string{"one ", "two "}, err: broken},
		attempt{tokens: []string{"one ", "2 ", "3"}, done: true})
	if got := submitTo(t, "-e", other, "Where?"); got.code != Succeeded || !strings.HasSuffix(got.out, "]\n\none 2 3\n") {
		t.Errorf("%s: %q", got.code, got.out)
	}
	_, shorter := serveEntry(t, attempt{tokens: []string{"one ", "two "}, err: broken}, attempt{tokens: []string{"one "}, done: true})
	if got := submitTo(t, "-e", shorter, "Where?"); got.code != Succeeded || !strings.HasSuffix(got.out, "]\n\none \n") {
		t.Errorf("%s: %q", got.code, got.out)
	}
}

func TestSubmitReportsMissingTokens(t *testing.T) {
	_, gap := serveEntry(t, attempt{first: 0, tokens: []string{"one "}, err: broken}, attempt{first: 3, tokens: []string{"four"}, done: true})
	submitTo(t, "-e", gap, "--wait", "300ms", "Where?").want(t, Unknown, "tokens 1 to 2 of the response are missing")
}

func TestSubmitExitCodes(t *testing.T) {
	retryLater := refusal.New(refusal.QueueFull, 2300*time.Millisecond, "the queue is full; retry")
	unknown := &refusal.Error{Reason: refusal.OutcomeUnknown, Outcome: refusal.Unknown, Advice: "the server was lost"}
	for name, test := range map[string]struct {
		attempts []attempt
		code     ExitCode
		text     string
	}{
		"retry later":            {[]attempt{{err: retryLater}}, RetryLater, "the queue is full; retry (queueFull); come back in 3 s"},
		"not run":                {[]attempt{{err: refusal.New(refusal.UnknownKind, 0, "no such kind")}}, NotRun, "not run: no such kind"},
		"unknown":                {[]attempt{{err: unknown}}, Unknown, "unknown whether the request ran: the server was lost"},
		"broken, then refused":   {[]attempt{{err: broken}, {err: retryLater}}, Unknown, "safe to send again"},
		"broken, then not run":   {[]attempt{{err: broken}, {err: refusal.New(refusal.UnknownKind, 0, "no")}}, Unknown, "safe to send again"},
		"silent":                 {[]attempt{{hang: true}}, Unknown, "the entry sent no message within the silence timeout"},
		"refused, then complete": {[]attempt{{err: refusal.New(refusal.QueueFull, 10*time.Millisecond, "full")}, {done: true, body: "ok"}}, Succeeded, "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			_, url := serveEntry(t, test.attempts...)
			submitTo(t, "-e", url, "--wait", "700ms", "--silence", "400ms", "Where?").want(t, test.code, test.text)
		})
	}
	submitTo(t, "-e", "http://127.0.0.1:9", "--wait", "200ms", "Where?").want(t, NotRun, "not run", "connection refused")
}

func TestSubmitTriesNextEntryImmediately(t *testing.T) {
	shuttingDown := refusal.New(refusal.ShuttingDown, time.Hour, "the entry is ending")
	_, first := serveEntry(t, attempt{err: shuttingDown})
	_, second := serveEntry(t, attempt{tokens: []string{"ok"}, done: true})
	submitTo(t, "-e", first, "-e", second, "Where?").want(t, Succeeded, "ok")
	submitTo(t, "-e", first, "-e", first, "Where?").want(t, RetryLater, "come back in 3600 s")
}

func TestSubmitReadsPromptAndBody(t *testing.T) {
	entry, url := serveEntry(t, attempt{done: true, body: `{"booked":true}`})
	secret := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(secret, []byte("demo-clinics\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	args := []string{"submit", "-e", url, "-w", "clinics", "-k", "confirmDelivery", "--token-file", secret}
	executeWith(t, "from stdin", args...).want(t, Succeeded, `{"booked":true}`)
	executeWith(t, "", append(args, "--body", `{"stop":12}`, "--key", "k1")...).want(t, Succeeded, "key=k1")
	executeWith(t, `{"stop":13}`, append(args, "--body", "-")...).want(t, Succeeded)
	executeWith(t, "", append(args, "--file", "../examples/demo/tables/pools.yaml")...).want(t, Succeeded)
	if entry.requests[0].GetPrompt() != "from stdin" || string(entry.requests[1].GetBody()) != `{"stop":12}` ||
		string(entry.requests[2].GetBody()) != `{"stop":13}` || !strings.HasPrefix(entry.requests[3].GetPrompt(), "pools:") {
		t.Errorf("requests %v", entry.requests)
	}
	if entry.auth != "Bearer demo-clinics" {
		t.Errorf("authorization %q", entry.auth)
	}
	executeWith(t, "", append(args, "--body", "x", "a prompt")...).want(t, Usage, "not both")
	executeWith(t, "", append(args, "--retry", "a prompt")...).want(t, Usage, "--key")
	executeWith(t, "", "submit", "-w", "w", "-k", "k", "p").want(t, Usage, "no entry")
}
