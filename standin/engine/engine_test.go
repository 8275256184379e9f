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

// inBubble runs a test with an engine of two slots in virtual time. A prompt
// token takes as long as an answer's.
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

// answer is what a caller got.
type answer struct {
	tokens []string
	finish string
	usage  *engine.Usage
	done   bool
	took   time.Duration
}

// complete runs a request and parses the event stream.
func complete(ctx context.Context, e *engine.Engine, req engine.Request) (a answer) {
	req.Stream, req.StreamOptions.IncludeUsage = true, true
	body, _ := json.Marshal(req)
	w := httptest.NewRecorder()
	begin := time.Now()
	func() {
		// A broken connection is a panic with http.ErrAbortHandler.
		defer func() { _ = recover() }()
		e.Handler().ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", bytes.NewReader(body)))
	}()
	a.took = time.Since(begin)
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

// background runs a request and leaves its answer in the channel.
func background(ctx context.Context, e *engine.Engine, req engine.Request) <-chan answer {
	ended := make(chan answer, 1)
	go func() { ended <- complete(ctx, e, req) }()
	synctest.Wait()
	return ended
}

func TestWholeAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		want := engine.Completion("a b c", 20)
		a := complete(t.Context(), e, engine.Request{Prompt: "a b c", MaxTokens: 20})
		if !slices.Equal(a.tokens, want) || a.finish != "stop" || !a.done {
			t.Errorf("answer %+v, want %v", a, want)
		}
		if a.usage.PromptTokens != 3 || a.usage.CompletionTokens != len(want) {
			t.Errorf("usage %+v", a.usage)
		}
		// The last step of the prefill makes the first token.
		if took := interval * time.Duration(3-1+len(want)); a.took != took {
			t.Errorf("took %s, want %s", a.took, took)
		}
		ran := e.Requests()
		if len(ran) != 1 || !ran[0].Finished || ran[0].Tokens != len(want) || ran[0].PromptHash != engine.PromptHash("a b c") {
			t.Errorf("record %+v", ran)
		}
	})
}

func TestAnswerLength(t *testing.T) {
	for maxTokens := range 200 {
		for i := range 5 {
			n := len(engine.Completion(fmt.Sprint(i), maxTokens))
			if n > maxTokens || 2*n < maxTokens {
				t.Fatalf("%d tokens of at most %d", n, maxTokens)
			}
		}
	}
}

func TestResume(t *testing.T) {
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		whole := engine.Completion("p", 30)
		for n := range len(whole) + 1 {
			req := engine.Request{Prompt: "p", MaxTokens: 30, ResumeFrom: n}
			if a := complete(t.Context(), e, req); !slices.Equal(a.tokens, whole[n:]) {
				t.Fatalf("resumed from %d: %v", n, a.tokens)
			}
			req = engine.Request{Prompt: "p", MaxTokens: 30, Generated: whole[:n]}
			if a := complete(t.Context(), e, req); !slices.Equal(a.tokens, whole[n:]) {
				t.Fatalf("resumed after %d: %v", n, a.tokens)
			}
		}
		// A missing token shows in all that follow.
		wrong := slices.Concat(whole[:4], whole[5:6])
		a := complete(t.Context(), e, engine.Request{Prompt: "p", MaxTokens: 30, Generated: wrong})
		if len(a.tokens) == 0 || slices.Contains(whole, a.tokens[0]) {
			t.Errorf("wrong context went on with %v", a.tokens)
		}
	})
}

func TestPreemption(t *testing.T) {
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		bulk := func(id string) <-chan answer {
			return background(t.Context(), e, engine.Request{RequestID: id, Prompt: id, MaxTokens: 40, Priority: 2})
		}
		first, second, third := bulk("b1"), bulk("b2"), bulk("b3")
		time.Sleep(5 * interval)
		urgent := complete(t.Context(), e, engine.Request{RequestID: "u", Prompt: "u", MaxTokens: 4})
		if len(urgent.tokens) == 0 || urgent.took > 4*interval {
			t.Errorf("urgent request took %s", urgent.took)
		}
		for id, ended := range map[string]<-chan answer{"b1": first, "b2": second, "b3": third} {
			if a := <-ended; !slices.Equal(a.tokens, engine.Completion(id, 40)) {
				t.Errorf("%s got %v", id, a.tokens)
			}
		}
		preempted := 0
		for _, ran := range e.Requests() {
			preempted += ran.Preempted
		}
		if preempted != 1 {
			t.Errorf("%d preemptions, want 1", preempted)
		}
	})
}

func TestPrefixCache(t *testing.T) {
	prefix := strings.Repeat("w ", 2*engine.BlockTokens)
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		took := func(prompt string) time.Duration {
			a := complete(t.Context(), e, engine.Request{Prompt: prompt, MaxTokens: 1})
			return a.took
		}
		if got := took(prefix + "x"); got != 33*interval {
			t.Errorf("first took %s", got)
		}
		if got := took(prefix + "y"); got != interval {
			t.Errorf("same prefix took %s", got)
		}
		// The cache has room for two blocks, which these take.
		took(strings.Repeat("v ", 2*engine.BlockTokens))
		if got := took(prefix + "z"); got != 33*interval {
			t.Errorf("evicted prefix took %s", got)
		}
		if load := e.Load(); load.CacheTokens != 2*engine.BlockTokens {
			t.Errorf("cache holds %d tokens", load.CacheTokens)
		}
	}, engine.WithCacheTokens(2*engine.BlockTokens))
}

func TestImportedCacheSparesPrefill(t *testing.T) {
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
		if a := complete(t.Context(), other, req); a.took != interval || len(a.tokens) != 0 {
			t.Errorf("resumed with the cache in %s: %v", a.took, a.tokens)
		}
	})
}

func TestCancel(t *testing.T) {
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		ctx, cancel := context.WithCancel(t.Context())
		gone := background(ctx, e, engine.Request{RequestID: "gone", Prompt: "p", MaxTokens: 1000})
		aborted := background(t.Context(), e, engine.Request{RequestID: "aborted", Prompt: "p", MaxTokens: 1000})
		time.Sleep(10*interval + 1)
		cancel()
		if !e.Cancel("aborted") || e.Cancel("unknown") {
			t.Error("wrong request cancelled")
		}
		if a := <-gone; a.done || len(a.tokens) != 10 {
			t.Errorf("closed connection got %+v", a)
		}
		if a := <-aborted; a.finish != "abort" || len(a.tokens) != 10 {
			t.Errorf("cancelled request got %+v", a)
		}
		for _, ran := range e.Requests() {
			if ran.Finished || !ran.Cancelled || ran.Tokens != 10 {
				t.Errorf("record %+v", ran)
			}
		}
	})
}

func TestFaultsOnCommand(t *testing.T) {
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		e.SetFaults(engine.Faults{FailNext: 1, BreakNext: 1, BreakAfter: 3})
		req := engine.Request{Prompt: "p", MaxTokens: 20}
		if a := complete(t.Context(), e, req); a.tokens != nil || len(e.Requests()) != 0 {
			t.Errorf("failed request got %+v", a)
		}
		if a := complete(t.Context(), e, req); a.done || len(a.tokens) != 3 {
			t.Errorf("broken stream got %+v", a)
		}
		e.SetFaults(engine.Faults{Freeze: true})
		ended := background(t.Context(), e, req)
		time.Sleep(time.Minute)
		e.SetFaults(engine.Faults{TokenInterval: control.Duration(time.Second)})
		want := engine.Completion("p", 20)
		if a := <-ended; a.took != time.Minute+time.Duration(len(want))*time.Second || !slices.Equal(a.tokens, want) {
			t.Errorf("frozen request got %+v", a)
		}
	})
}

func TestReportsAreLateAndHaveGaps(t *testing.T) {
	inBubble(t, func(t *testing.T, e *engine.Engine) {
		time.Sleep(10 * time.Second)
		prompt := strings.Repeat("a b c d ", 4*engine.BlockTokens)
		complete(t.Context(), e, engine.Request{Prompt: prompt, MaxTokens: 1})
		if load, events := e.Load(), e.CacheEvents(0); load.CacheTokens != 0 || len(events) != 0 {
			t.Errorf("load %+v and %d events at once", load, len(events))
		}
		time.Sleep(10 * time.Second)
		load, events := e.Load(), e.CacheEvents(0)
		if load.CacheTokens != 16*engine.BlockTokens || len(events) == 0 || len(events) >= 16 {
			t.Errorf("load %+v and %d events afterwards", load, len(events))
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
		old := engine.Order{FencingNumber: 4, Order: "role", Role: "prefill"}
		if err := e.ExecuteOrder(engine.Order{FencingNumber: 5, Order: "role", Role: "decode"}); err != nil {
			t.Fatal(err)
		}
		var fenced *engine.FencedError
		if err := e.ExecuteOrder(old); !errors.As(err, &fenced) || fenced.Highest != 5 || e.Load().Role != "decode" {
			t.Errorf("error %v, role %s", err, e.Load().Role)
		}
		e.SetFaults(engine.Faults{IgnoreFencing: true})
		if err := e.ExecuteOrder(old); err != nil || e.Load().Role != "prefill" {
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
			for _, ran := range e.Requests() {
				if w.Code != http.StatusOK || !ran.Finished {
					t.Errorf("status %d, record %+v", w.Code, ran)
				}
			}
		})
	})
}
