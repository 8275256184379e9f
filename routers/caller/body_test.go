package caller_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/crocusline/crocusline/models/refusal"
	callerv1 "github.com/crocusline/crocusline/modules/wire/caller/v1"
	"github.com/crocusline/crocusline/modules/wire/caller/v1/callerv1connect"
	"github.com/crocusline/crocusline/routers/caller"
	"github.com/crocusline/crocusline/services/dispatch"
	"github.com/crocusline/crocusline/services/memory"
	"github.com/crocusline/crocusline/services/refusalwire"
)

// serveWithin serves calls within the memory.
func serveWithin(t *testing.T, m *memory.Service) (*fakeEntry, *httptest.Server) {
	t.Helper()
	e := &fakeEntry{ids: map[string]bool{}, refused: map[refusal.Reason]int{}}
	mux := http.NewServeMux()
	mux.Handle(caller.New(hclog.NewNullLogger(), e, e, e, e, maxBytes, caller.WithMemory(m), caller.WithBodyTimeout(time.Second)))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return e, server
}

func encodeMessage(t *testing.T, m proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func compressed(data []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

func envelope(flags byte, message []byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{flags}, uint32(len(message))), message...)
}

// post sends a body and returns the status and the text of the response.
func post(t *testing.T, server *httptest.Server, path string, header http.Header, body []byte) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header = header
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// TestBodyFramings guards against bodies that are not understood as Connect sends them, and against invalid ones that are
// served, or refused for another reason.
func TestBodyFramings(t *testing.T) {
	submit := encodeMessage(t, &callerv1.SubmitRequest{Workspace: "w", Kind: "k", Prompt: strings.Repeat("p", 100)})
	call := encodeMessage(t, &callerv1.CallRequest{Request: &callerv1.SubmitRequest{Workspace: "w", Kind: "k", Prompt: "p"}})
	bomb := compressed(make([]byte, 100*maxBytes))
	const callPath, submitPath = callerv1connect.RouterServiceCallProcedure, callerv1connect.RouterServiceSubmitProcedure
	for _, tt := range []struct {
		name, path, contentType, encoding string
		body                              []byte
		want                              string
	}{
		{"message", callPath, "application/proto", "", call, "a b"},
		{"compressed message", callPath, "application/proto", "gzip", compressed(call), "a b"},
		{"envelope", submitPath, "application/connect+proto", "", envelope(0, submit), "a"},
		{"envelope of a stream that may be compressed", submitPath, "application/connect+proto", "gzip", envelope(0, submit), "a"},
		{"compressed envelope", submitPath, "application/connect+proto", "gzip", envelope(1, compressed(submit)), "a"},
		{"message that grows beyond the limit", callPath, "application/proto", "gzip", bomb, "bodyTooLarge"},
		{"envelope that grows beyond the limit", submitPath, "application/connect+proto", "gzip", envelope(1, bomb), "resource_exhausted"},
		{"envelope over the limit", submitPath, "application/connect+proto", "", envelope(0, make([]byte, maxBytes+1))[:50], "resource_exhausted"},
		{"two envelopes", submitPath, "application/connect+proto", "", append(envelope(0, submit), envelope(0, submit)...), "invalid_argument"},
		{"message that is not compressed", callPath, "application/proto", "gzip", call, "invalid_argument"},
		{"unknown compression", callPath, "application/proto", "br", call, "unimplemented"},
		{"flag without compression", submitPath, "application/connect+proto", "", envelope(1, compressed(submit)), "internal"},
		{"no envelope", submitPath, "application/connect+proto", "", nil, "error"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := memory.New(memory.DefaultLimit)
			e, server := serveWithin(t, m)
			header := http.Header{"Content-Type": {tt.contentType}, "Authorization": {"Bearer good"}}
			if tt.encoding != "" && tt.path == callPath {
				header.Set("Content-Encoding", tt.encoding)
			} else if tt.encoding != "" {
				header.Set("Connect-Content-Encoding", tt.encoding)
			}
			status, text := post(t, server, tt.path, header, tt.body)
			if !strings.Contains(text, tt.want) {
				t.Errorf("got status %d, %q, want %q", status, text, tt.want)
			}
			if served := len(e.ids) == 1; served != strings.HasPrefix(tt.want, "a") {
				t.Errorf("served: %t", served)
			}
			server.Close()
			if held := m.Held(); held != 0 {
				t.Errorf("%d bytes are held after the call", held)
			}
		})
	}
}

// TestGRPCTurnedOff guards against a protocol whose bodies are read without a limit of their memory.
func TestGRPCTurnedOff(t *testing.T) {
	e, server := serveWithin(t, memory.New(memory.DefaultLimit))
	message := envelope(0, encodeMessage(t, &callerv1.SubmitRequest{Workspace: "w", Kind: "k", Prompt: "p"}))
	for _, contentType := range []string{"application/grpc", "application/grpc+proto", "application/grpc-web+proto", "Application/GRPC-Web"} {
		header := http.Header{"Content-Type": {contentType}, "Authorization": {"Bearer good"}}
		status, text := post(t, server, callerv1connect.RouterServiceSubmitProcedure, header, message)
		if status != http.StatusUnsupportedMediaType || len(e.ids) != 0 {
			t.Errorf("%s: got status %d, %q", contentType, status, text)
		}
	}
}

// TestCallWithoutMemory guards against a call that is told that it has not run although an earlier call of the same request
// may have, as that is said in the body, which was not read.
func TestCallWithoutMemory(t *testing.T) {
	e, server := serveWithin(t, memory.New(1<<10))
	client := callerv1connect.NewRouterServiceClient(server.Client(), server.URL)
	_, err := call(t, client, "good", &callerv1.SubmitRequest{Workspace: "w", Kind: "k", Prompt: "p"})
	got, ok := refusalwire.Decode(err)
	if !ok || got.Reason != refusal.Overloaded || got.Outcome != refusal.Unknown || got.RetryAfter == 0 {
		t.Errorf("a call got %v", err)
	}
	stream, err := client.Submit(t.Context(), connect.NewRequest(&callerv1.SubmitRequest{Workspace: "w"}))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	if stream.Receive() {
		t.Error("a stream got an answer")
	}
	if got, ok := refusalwire.Decode(stream.Err()); !ok || got.Reason != refusal.Overloaded {
		t.Errorf("a stream got %v", stream.Err())
	}
	if len(e.ids) != 0 || e.refused[refusal.Overloaded] != 2 {
		t.Errorf("%d requests dispatched, %d refusals counted", len(e.ids), e.refused[refusal.Overloaded])
	}
}

// TestUnreadBodies guards against callers without a token of any workspace whose bodies are read, and against bodies that
// stop short of their end and keep the memory and the connection, or whose callers are told that the request has not run
// although an earlier call of it may have.
func TestUnreadBodies(t *testing.T) {
	for token, want := range map[string]string{"bad": "unauthenticated", "good": `"outcome":"unknown"`} {
		m := memory.New(memory.DefaultLimit)
		_, server := serveWithin(t, m)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		head := "POST " + callerv1connect.RouterServiceCallProcedure + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/proto\r\n" +
			"Authorization: Bearer " + token + "\r\nContent-Length: 1000\r\n\r\nx"
		if _, err := io.WriteString(conn, head); err != nil {
			t.Fatal(err)
		}
		if err := conn.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(conn)
		if err != nil || !strings.Contains(string(text), want) {
			t.Errorf("token %s: got %q and %v, want %s and the end of the connection", token, text, err, want)
		}
		server.Close()
		if held := m.Held(); held != 0 {
			t.Errorf("token %s: %d bytes are held", token, held)
		}
	}
}

// longEntry answers with more text than the memory allows.
type longEntry struct{ *fakeEntry }

func (e longEntry) Dispatch(_ context.Context, req dispatch.Request, _ dispatch.Plan, sink dispatch.Sink) (dispatch.Response, error) {
	token := strings.Repeat("x", 10_000)
	for i := range int64(1000) {
		if err := sink.Tokens(i, []string{token}); err != nil {
			return dispatch.Response{}, &dispatch.SinkError{Cause: err}
		}
	}
	return dispatch.Response{RequestID: req.ID, Tokens: 1000}, nil
}

// TestWholeAnswerWithoutMemory guards against answers in one message that take more memory than the process has for
// answers, and against a caller that isn't told when to come back.
func TestWholeAnswerWithoutMemory(t *testing.T) {
	e := &fakeEntry{ids: map[string]bool{}, refused: map[refusal.Reason]int{}}
	m := memory.New(8 << 20)
	mux := http.NewServeMux()
	mux.Handle(caller.New(hclog.NewNullLogger(), e, longEntry{e}, e, e, maxBytes, caller.WithMemory(m)))
	server := httptest.NewServer(mux)
	defer server.Close()
	_, err := call(t, callerv1connect.NewRouterServiceClient(server.Client(), server.URL), "good", &callerv1.SubmitRequest{Workspace: "w"})
	if got, ok := refusalwire.Decode(err); !ok || got.Reason != refusal.Overloaded || got.Outcome != refusal.Unknown || got.RetryAfter == 0 {
		t.Errorf("got %v", err)
	}
	server.Close()
	if m.Held() != 0 {
		t.Errorf("%d bytes are held", m.Held())
	}
}
