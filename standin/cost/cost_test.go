package cost

import (
	"bufio"
	"context"
	"strings"
	"testing"
	"time"
)

func TestReadEvents(t *testing.T) {
	const events = "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\ndata: {\"choices\":[{\"text\":\"\"}]}\n\n"
	tokens := 0
	onTokens := func(n int) { tokens += n }
	if err := readEvents(bufio.NewScanner(strings.NewReader(events+"data: [DONE]\n\n")), onTokens); err != nil || tokens != 2 {
		t.Errorf("complete response: %d tokens, %v; want 2", tokens, err)
	}
	if err := readEvents(bufio.NewScanner(strings.NewReader(events)), onTokens); err == nil {
		t.Error("no error for a response without its end marker")
	}
}

func TestParseUsage(t *testing.T) {
	got, ok := parseUsage([]byte("process_cpu_seconds_total 1.5\ngo_memstats_mallocs_total 42\n"))
	if want := (usage{cpu: 1500 * time.Millisecond, allocations: 42}); !ok || got != want {
		t.Errorf("got %v, %t, want %v", got, ok, want)
	}
	if _, ok := parseUsage([]byte("process_cpu_seconds_total 1.5\n")); ok {
		t.Error("no error for metrics without allocations")
	}
}

func TestRatioOfEntryAndSidecarToDirectEngine(t *testing.T) {
	cpu := func(d time.Duration) usage { return usage{cpu: d} }
	direct := measurement{usage: map[string]usage{engineName: cpu(10 * time.Millisecond)}}
	path := measurement{usage: map[string]usage{
		engineName:  cpu(20 * time.Millisecond),
		entryName:   cpu(15 * time.Millisecond),
		sidecarName: cpu(25 * time.Millisecond),
	}}
	var out strings.Builder
	cpuRow(&out, "x", [2]measurement{direct, path}, 100)
	if got, want := out.String(), "x\t100.0 us\t200.0 us\t150.0 us\t250.0 us\t4.00\n"; got != want {
		t.Errorf("row is %q, want %q", got, want)
	}
}

func TestTimingSeparatesFirstMessage(t *testing.T) {
	var direct target
	direct.client = fakeClient{}
	m, err := direct.submit(t.Context(), workload{requests: 3, tokens: 4})
	if err != nil {
		t.Fatal(err)
	}
	if m.firstToken.TotalCount() != 3 || m.betweenMessages.TotalCount() != 3 || m.tokens != 12 {
		t.Errorf("%d first, %d between, %d tokens; want 3, 3, 12", m.firstToken.TotalCount(), m.betweenMessages.TotalCount(), m.tokens)
	}
	if got := m.tokensPerMessage(); got != 2 {
		t.Errorf("%g tokens per message, want 2", got)
	}
}

// fakeClient returns each response in two messages.
type fakeClient struct{}

func (fakeClient) stream(_ context.Context, _ string, tokens int, onTokens func(int)) error {
	onTokens(1)
	onTokens(tokens - 1)
	return nil
}
