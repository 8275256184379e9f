package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/run"
	"github.com/crocusline/crocusline/standin/site"
)

// tokens is a TokenSink that stores the tokens.
type tokens []string

func (t *tokens) WriteToken(text string) { *t = append(*t, text) }

func listenAddr(t *testing.T, s *httptest.Server) netip.AddrPort {
	t.Helper()
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func startServer(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return listenAddr(t, s)
}

func checkRefusal(t *testing.T, err error, reason refusal.Reason, outcome refusal.Outcome) {
	t.Helper()
	e, ok := refusal.As(err)
	if !ok || e.Reason != reason || e.Outcome != outcome {
		t.Errorf("error = %v, want %s (%s)", err, reason, outcome)
	}
}

func writeToken(w io.Writer, text string) {
	fmt.Fprintf(w, "data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"text\":%q,\"finish_reason\":null}]}\n\n", text)
}

func TestEngineStreamsTokensAfterGenerated(t *testing.T) {
	var got map[string]any
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if err := json.NewDecoder(r.Body).Decode(&got); err != nil {
			t.Error(err)
		}
		writeToken(w, " melts")
		writeToken(w, ".")
		fmt.Fprint(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":3}}\n\ndata: [DONE]\n\n")
	})
	var sink tokens
	req := run.Request{ID: "r1", Prompt: "ice", MaxTokens: 9, Rank: 1, Generated: []string{"Ice"}}
	result, err := Driver{NewEngine(address)}.Run(context.Background(), req, &sink)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(sink, tokens{" melts", "."}) || result.PromptTokens != 4 || result.OutputTokens != 3 {
		t.Errorf("tokens = %q, result = %+v", sink, result)
	}
	if got["request_id"] != "r1" || got["priority"] != 1.0 || got["stream"] != true || fmt.Sprint(got["generated"]) != "[Ice]" {
		t.Errorf("request = %v", got)
	}
}

func TestEngineResponseWithoutDoneMarkerFails(t *testing.T) {
	address := startServer(t, func(w http.ResponseWriter, _ *http.Request) { writeToken(w, "a") })
	var sink tokens
	_, err := Driver{NewEngine(address)}.Run(context.Background(), run.Request{ID: "r1"}, &sink)
	checkRefusal(t, err, refusal.ServerFailed, refusal.Unknown)
	if len(sink) != 1 {
		t.Errorf("tokens = %q", sink)
	}
}

func TestEngineStatus(t *testing.T) {
	tests := []struct {
		status  int
		reason  refusal.Reason
		outcome refusal.Outcome
	}{
		{http.StatusServiceUnavailable, refusal.ServerFailed, refusal.NotRun},
		{http.StatusTooManyRequests, refusal.ServerFailed, refusal.NotRun},
		{http.StatusInternalServerError, refusal.ServerFailed, refusal.Unknown},
		{http.StatusBadRequest, refusal.ServerRejected, refusal.NotRun},
		{http.StatusNotFound, refusal.ServerRejected, refusal.NotRun},
		{http.StatusRequestTimeout, refusal.ServerFailed, refusal.Unknown},
		{http.StatusCreated, refusal.ServerFailed, refusal.Unknown},
		{http.StatusNoContent, refusal.ServerFailed, refusal.Unknown},
		{http.StatusFound, refusal.ServerFailed, refusal.Unknown},
	}
	for _, tt := range tests {
		address := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(tt.status) })
		_, err := Driver{NewEngine(address)}.Run(context.Background(), run.Request{ID: "r1"}, &tokens{})
		checkRefusal(t, err, tt.reason, tt.outcome)
	}
}

// TestEngineRefusalWrittenAgain guards against a copy of an earlier refusal being taken for the
// response to a request that the engine runs.
func TestEngineRefusalWrittenAgain(t *testing.T) {
	for _, repetition := range site.Repetitions() {
		engine, err := site.NewRepeatingServer("s1", repetition)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = engine.Close() })
		client := NewEngine(engine.Address())
		for range 3 {
			before := engine.RepeatedCount()
			_, err := Driver{client}.Run(context.Background(), run.Request{ID: "r1"}, &tokens{})
			e, refused := refusal.As(err)
			if ran := engine.RepeatedCount() > before; !refused || (ran && e.Outcome == refusal.NotRun) {
				t.Errorf("%s: got %v for a request that ran: %t", repetition.Name, err, ran)
			}
		}
		client.config.client.CloseIdleConnections()
	}
}

// TestEngineTextIsNoToken guards against the text of another response in the middle of a
// completion that is continued at this engine.
func TestEngineTextIsNoToken(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			fmt.Fprint(w, `{"error":"no such model"}`)
		})
		var sink tokens
		_, err := Driver{NewEngine(address)}.Run(context.Background(), run.Request{ID: "r1", Generated: []string{"Ice"}}, &sink)
		if err == nil || len(sink) > 0 {
			t.Errorf("status %d: got %v and tokens %q, want an error and none", status, err, sink)
		}
	}
}

func TestCancelClosesEngineRequest(t *testing.T) {
	closed := make(chan struct{})
	started := make(chan struct{})
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		writeToken(w, "a")
		_ = http.NewResponseController(w).Flush()
		close(started)
		<-r.Context().Done()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	if _, err := (Driver{NewEngine(address)}).Run(ctx, run.Request{ID: "r1"}, &tokens{}); err == nil {
		t.Error("Run returned no error after cancel")
	}
	<-closed
}

func TestPlainCall(t *testing.T) {
	var key, id, body string
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		key, id, body = r.Header.Get("Idempotency-Key"), r.Header.Get("Request-Id"), string(b)
		fmt.Fprint(w, "booked")
	})
	req := run.Request{ID: "r1", Key: "k", Body: []byte("bay 4")}
	result, err := Driver{NewPlainService(address)}.Run(context.Background(), req, nil)
	if err != nil || string(result.Body) != "booked" || key != "k" || id != "r1" || body != "bay 4" {
		t.Errorf("result = %+v, %v; key %q id %q body %q", result, err, key, id, body)
	}
}

func TestConnectionRefusedIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(l.Addr().String())
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	_, err = Driver{NewPlainService(address)}.Run(context.Background(), run.Request{ID: "r1"}, nil)
	checkRefusal(t, err, refusal.ServerFailed, refusal.NotRun)
	_, err = Driver{NewEngine(address)}.Run(context.Background(), run.Request{ID: "r1"}, &tokens{})
	checkRefusal(t, err, refusal.ServerFailed, refusal.NotRun)
}

func TestOrderNotSentAfterDeadline(t *testing.T) {
	var orders atomic.Int32
	address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		orders.Add(1)
		time.Sleep(700 * time.Millisecond)
	})
	e := NewEngine(address)
	order := Order{FencingNumber: 1, Order: OrderLoad, Model: "base"}
	if err := e.SendOrder(context.Background(), order, time.Now().Add(500*time.Millisecond)); err != nil {
		t.Errorf("SendOrder to a slow engine: %v", err)
	}
	if err := e.SendOrder(context.Background(), order, time.Now().Add(-time.Second)); err == nil || orders.Load() != 1 {
		t.Errorf("SendOrder after the deadline: %v, engine received %d orders", err, orders.Load())
	}
}

// TestPlainCallIsNotRetried checks that a call is sent once if the service closes
// the connection after it has received the call. By default, net/http retries
// requests with an Idempotency-Key header that fail on a reused connection.
func TestPlainCallIsNotRetried(t *testing.T) {
	for _, body := range []string{"", "bay 4"} {
		var calls atomic.Int32
		address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if calls.Add(1) > 1 {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_ = conn.Close()
				}
			}
		})
		driver := Driver{NewPlainService(address)}
		req := run.Request{ID: "r1", Key: "k", Body: []byte(body)}
		if _, err := driver.Run(context.Background(), req, nil); err != nil {
			t.Fatal(err)
		}
		_, err := driver.Run(context.Background(), req, nil)
		checkRefusal(t, err, refusal.ServerFailed, refusal.Unknown)
		if calls.Load() != 2 {
			t.Errorf("body %q: service received %d calls, want 2", body, calls.Load())
		}
	}
}

func TestPlainFailureHasUnknownOutcome(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		reason  refusal.Reason
	}{
		{"error status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, refusal.ServerFailed},
		{"rejected", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }, refusal.ServerRejected},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, refusal.ServerRejected},
		{"redirect to GET", func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				http.Redirect(w, r, "/elsewhere", http.StatusFound)
			}
		}, refusal.ServerRejected},
		{"truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			fmt.Fprint(w, "half")
		}, refusal.ServerFailed},
		{"too large", func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, strings.Repeat("x", MaxResponseBytes+1))
		}, refusal.ServerFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int32
			address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				tt.handler(w, r)
			})
			_, err := Driver{NewPlainService(address)}.Run(context.Background(), run.Request{ID: "r1"}, nil)
			checkRefusal(t, err, tt.reason, refusal.Unknown)
			if calls.Load() != 1 {
				t.Errorf("service received %d calls, want 1", calls.Load())
			}
		})
	}
}

func TestEventReader(t *testing.T) {
	r := NewEventReader(strings.NewReader(": note\nevent: x\ndata: a\r\ndata:b\n\n\n\ndata: c\n\ndata: cut"))
	for _, want := range []string{"a\nb", "c"} {
		data, err := r.Next()
		if err != nil || string(data) != want {
			t.Errorf("Next = %q, %v, want %q", data, err, want)
		}
	}
	if _, err := r.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error = %v, want unexpected EOF", err)
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data\n\n:x\r\n\r\ndata:  y"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := NewEventReader(strings.NewReader(string(stream)))
		for {
			data, err := r.Next()
			if err != nil {
				break
			}
			if len(data) > len(stream) {
				t.Fatalf("event of %d bytes from a stream of %d bytes", len(data), len(stream))
			}
		}
		var sink tokens
		result, err := readCompletion(strings.NewReader(string(stream)), nil, &sink)
		if err == nil && int(result.OutputTokens) != len(sink) {
			t.Fatalf("result has %d tokens, sink received %d", result.OutputTokens, len(sink))
		}
	})
}
