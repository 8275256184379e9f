package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/standin/control"
	"github.com/crocusline/crocusline/standin/engine"
)

func ExampleCompletion() {
	fmt.Println(strings.Join(engine.Completion("plan the ice round", 4), ""))
	// Output: penase vobime depiko kirora
}

const interval = 10 * time.Millisecond

// inBubble runs a test in virtual time with an engine of two slots. Prefilling a
// token takes as long as generating one.
func inBubble(t *testing.T, test func(*testing.T, *engine.Engine), options ...engine.Option) {
	synctest.Test(t, func(t *testing.T) {
		options = append([]engine.Option{
			engine.WithSlots(2), engine.WithTokenInterval(interval), engine.WithPrefillSpeed(100),
		}, options...)
		e := engine.New(options...)
		test(t, e)
		if err := e.Close(); err != nil {
			t.Error(err)
		}
	})
}

// response is a parsed event stream.
type response struct {
	tokens   []string
	finish   string
	usage    *engine.Usage
	done     bool
	duration time.Duration
}

// complete submits a request and parses its event stream.
func complete(ctx context.Context, e *engine.Engine, req engine.Request) (a response) {
	req.Stream, req.StreamOptions.IncludeUsage = true, true
	body, _ := json.Marshal(req)
	w := httptest.NewRecorder()
	begin := time.Now()
	func() {
		// The handler closes the connection by a panic with http.ErrAbortHandler.
		defer func() { _ = recover() }()
		e.Handler().ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", bytes.NewReader(body)))
	}()
	a.duration = time.Since(begin)
	for lines := bufio.NewScanner(w.Body); lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || data == "[DONE]" {
			a.done = a.done || ok
			continue
		}
		var event engine.Response
		if json.Unmarshal([]byte(data), &event) != nil {
			continue
		}
		if event.Choices[0].FinishReason != nil {
			a.finish, a.usage = *event.Choices[0].FinishReason, event.Usage
			continue
		}
		a.tokens = append(a.tokens, event.Choices[0].Text)
	}
	return a
}

// background submits a request and sends its response to the returned channel.
func background(ctx context.Context, e *engine.Engine, req engine.Request) <-chan response {
	ended := make(chan response, 1)
	go func() { ended <- complete(ctx, e, req) }()
	synctest.Wait()
	return ended
}

func TestCompleteResponse(t *testing.T) {
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		want := engine.Completion("a b c", 20)
		a := complete(t.Context(), e, engine.Request{Prompt: "a b c", MaxTokens: 20})
		if !slices.Equal(a.tokens, want) || a.finish != "stop" || !a.done {
			t.Errorf("response %+v, want tokens %v", a, want)
		}
		if a.usage.PromptTokens != 3 || a.usage.CompletionTokens != len(want) {
			t.Errorf("usage %+v", a.usage)
		}
		// The last prefill step also generates the first token.
		if duration := interval * time.Duration(3-1+len(want)); a.duration != duration {
			t.Errorf("took %s, want %s", a.duration, duration)
		}
		records := e.Requests()
		if len(records) != 1 || !records[0].Finished || records[0].Tokens != len(want) || records[0].PromptHash != engine.PromptHash("a b c") {
			t.Errorf("records %+v", records)
		}
	})
}

func TestCompletionLength(t *testing.T) {
	for maxTokens := range 200 {
		for i := range 5 {
			n := len(engine.Completion(fmt.Sprint(i), maxTokens))
			if n > maxTokens || 2*n < maxTokens {
				t.Fatalf("%d tokens, want from half of %d to %d", n, maxTokens, maxTokens)
			}
		}
	}
}

func TestResume(t *testing.T) {
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		completion := engine.Completion("p", 30)
		for n := range len(completion) + 1 {
			req := engine.Request{Prompt: "p", MaxTokens: 30, ResumeFrom: n}
			if a := complete(t.Context(), e, req); !slices.Equal(a.tokens, completion[n:]) {
				t.Fatalf("resumed from %d: %v", n, a.tokens)
			}
			req = engine.Request{Prompt: "p", MaxTokens: 30, Generated: completion[:n]}
			if a := complete(t.Context(), e, req); !slices.Equal(a.tokens, completion[n:]) {
				t.Fatalf("resumed after %d: %v", n, a.tokens)
			}
		}
		// A missing token changes all tokens that follow.
		wrong := slices.Concat(completion[:4], completion[5:6])
		a := complete(t.Context(), e, engine.Request{Prompt: "p", MaxTokens: 30, Generated: wrong})
		if len(a.tokens) == 0 || slices.Contains(completion, a.tokens[0]) {
			t.Errorf("wrong context continued with %v", a.tokens)
		}
	})
}

func TestPreemption(t *testing.T) {
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		bulk := func(id string) <-chan response {
			return background(t.Context(), e, engine.Request{RequestID: id, Prompt: id, MaxTokens: 40, Priority: 2})
		}
		first, second, third := bulk("b1"), bulk("b2"), bulk("b3")
		time.Sleep(5 * interval)
		urgent := complete(t.Context(), e, engine.Request{RequestID: "u", Prompt: "u", MaxTokens: 4})
		if len(urgent.tokens) == 0 || urgent.duration > 4*interval {
			t.Errorf("urgent request took %s", urgent.duration)
		}
		for id, ended := range map[string]<-chan response{"b1": first, "b2": second, "b3": third} {
			if a := <-ended; !slices.Equal(a.tokens, engine.Completion(id, 40)) {
				t.Errorf("%s got %v", id, a.tokens)
			}
		}
		preempted := 0
		for _, record := range e.Requests() {
			preempted += record.Preempted
		}
		if preempted != 1 {
			t.Errorf("%d preemptions, want 1", preempted)
		}
	})
}

func TestPrefixCache(t *testing.T) {
	prefix := strings.Repeat("w ", 2*engine.BlockTokens)
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		completionTime := func(prompt string) time.Duration {
			a := complete(t.Context(), e, engine.Request{Prompt: prompt, MaxTokens: 1})
			return a.duration
		}
		if got := completionTime(prefix + "x"); got != 33*interval {
			t.Errorf("first prompt took %s, want 33 steps", got)
		}
		if got := completionTime(prefix + "y"); got != interval {
			t.Errorf("cached prefix took %s, want 1 step", got)
		}
		// The cache has room for two blocks, so that this prompt evicts the prefix.
		completionTime(strings.Repeat("v ", 2*engine.BlockTokens))
		if got := completionTime(prefix + "z"); got != 33*interval {
			t.Errorf("evicted prefix took %s, want 33 steps", got)
		}
		if load := e.Load(); load.CacheTokens != 2*engine.BlockTokens {
			t.Errorf("%d tokens cached, want %d", load.CacheTokens, 2*engine.BlockTokens)
		}
	}, engine.WithCacheTokens(2*engine.BlockTokens))
}

func TestImportedCacheAvoidsPrefill(t *testing.T) {
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		req := engine.Request{RequestID: "r", Prompt: strings.Repeat("w ", 31), MaxTokens: 1}
		complete(t.Context(), e, req)
		exported, err := e.Export("r")
		if err != nil || len(exported.Tokens) != 32 {
			t.Fatalf("exported %+v, error %v", exported, err)
		}
		other := engine.New(engine.WithTokenInterval(interval), engine.WithPrefillSpeed(100))
		defer func() { _ = other.Close() }()
		other.Import(exported)
		req.Generated = engine.Completion(req.Prompt, 1)
		if a := complete(t.Context(), other, req); a.duration != interval || len(a.tokens) != 0 {
			t.Errorf("resumed in %s with tokens %v, want one step and no tokens", a.duration, a.tokens)
		}
	})
}

func TestCancel(t *testing.T) {
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		ctx, cancel := context.WithCancel(t.Context())
		disconnected := background(ctx, e, engine.Request{RequestID: "disconnected", Prompt: "p", MaxTokens: 1000})
		aborted := background(t.Context(), e, engine.Request{RequestID: "aborted", Prompt: "p", MaxTokens: 1000})
		time.Sleep(10*interval + 1)
		cancel()
		if !e.Cancel("aborted") || e.Cancel("unknown") {
			t.Error("wrong request cancelled")
		}
		if a := <-disconnected; a.done || len(a.tokens) != 10 {
			t.Errorf("response on the closed connection %+v, want 10 tokens and no end", a)
		}
		if a := <-aborted; a.finish != "abort" || len(a.tokens) != 10 {
			t.Errorf("response of the cancelled request %+v, want 10 tokens and finish reason abort", a)
		}
		for _, record := range e.Requests() {
			if record.Finished || !record.Cancelled || record.Tokens != 10 {
				t.Errorf("record %+v", record)
			}
		}
	})
}

func TestInjectedFaults(t *testing.T) {
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		e.SetFaults(engine.Faults{FailNext: 1, BreakNext: 1, BreakAfter: 3})
		req := engine.Request{Prompt: "p", MaxTokens: 20}
		if a := complete(t.Context(), e, req); a.tokens != nil || len(e.Requests()) != 0 {
			t.Errorf("response of the failed request %+v, want none", a)
		}
		if a := complete(t.Context(), e, req); a.done || len(a.tokens) != 3 {
			t.Errorf("response on the broken connection %+v, want 3 tokens and no end", a)
		}
		e.SetFaults(engine.Faults{Freeze: true})
		ended := background(t.Context(), e, req)
		time.Sleep(time.Minute)
		e.SetFaults(engine.Faults{TokenInterval: control.Duration(time.Second)})
		want := engine.Completion("p", 20)
		if a := <-ended; a.duration != time.Minute+time.Duration(len(want))*time.Second || !slices.Equal(a.tokens, want) {
			t.Errorf("response after the freeze %+v, want tokens %v", a, want)
		}
	})
}

func TestReportLagAndGaps(t *testing.T) {
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		time.Sleep(10 * time.Second)
		prompt := strings.Repeat("a b c d ", 4*engine.BlockTokens)
		complete(t.Context(), e, engine.Request{Prompt: prompt, MaxTokens: 1})
		if load, events := e.Load(), e.CacheEvents(0); load.CacheTokens != 0 || len(events) != 0 {
			t.Errorf("load %+v and %d events before the lag has passed, want none", load, len(events))
		}
		time.Sleep(10 * time.Second)
		load, events := e.Load(), e.CacheEvents(0)
		if load.CacheTokens != 16*engine.BlockTokens || len(events) == 0 || len(events) >= 16 {
			t.Errorf("load %+v and %d events after the lag has passed, want 16 blocks and from 1 to 15 events", load, len(events))
		}
		if later := e.CacheEvents(events[0].Sequence); len(later) != len(events)-1 {
			t.Errorf("%d events after the first of %d", len(later), len(events))
		}
	}, engine.WithFaults(engine.Faults{
		LoadLag:       control.Duration(5 * time.Second),
		CacheLag:      control.Duration(5 * time.Second),
		CacheGapShare: 0.5,
	}))
}

func TestFencingNumbers(t *testing.T) {
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		outdated := engine.Order{FencingNumber: 4, Order: "role", Role: "prefill"}
		if err := e.ExecuteOrder(engine.Order{FencingNumber: 5, Order: "role", Role: "decode"}); err != nil {
			t.Fatal(err)
		}
		var fenced *engine.FencedError
		if err := e.ExecuteOrder(outdated); !errors.As(err, &fenced) || fenced.Highest != 5 || e.Load().Role != "decode" {
			t.Errorf("error %v, role %s", err, e.Load().Role)
		}
		e.SetFaults(engine.Faults{IgnoreFencing: true})
		if err := e.ExecuteOrder(outdated); err != nil || e.Load().Role != "prefill" {
			t.Errorf("error %v, role %s", err, e.Load().Role)
		}
		if orders := e.Orders(); len(orders) != 3 || orders[1].Applied || !orders[2].Applied {
			t.Errorf("orders %+v", orders)
		}
	})
}

func FuzzCompletionRequest(f *testing.F) {
	f.Add([]byte(`{"prompt":"a b","max_tokens":3,"stream":true,"resume_from":1}`))
	f.Add([]byte(`{"prompt":"a","max_tokens":2,"generated":["x","y"]}`))
	f.Add([]byte(`{"prompt":"a","max_tokens":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		synctest.Test(t, func(t *testing.T) {
			e := engine.New(engine.WithPrefillSpeed(1_000_000))
			defer func() { _ = e.Close() }()
			w := httptest.NewRecorder()
			e.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/completions", bytes.NewReader(data)))
			for _, record := range e.Requests() {
				if w.Code != http.StatusOK || !record.Finished {
					t.Errorf("status %d, record %+v", w.Code, record)
				}
			}
		})
	})
}
