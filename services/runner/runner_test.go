package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/run"
	"github.com/crocusline/crocusline/services/server"
)

// tokenTime is the time that the fake backend takes to generate a token.
const tokenTime = 50 * time.Millisecond

// fakeBackend generates the tokens t0, t1, ... up to MaxTokens, or fails.
type fakeBackend struct {
	mu      sync.Mutex
	started map[string]int
	// fail, if set, is the error of every request.
	fail *refusal.Error
	// late, if set, is a token sent after a request was cancelled.
	late string
	// linger is the time that a cancelled request takes to end.
	linger time.Duration
}

func (f *fakeBackend) Run(ctx context.Context, req run.Request, sink server.TokenSink) (run.Result, error) {
	f.mu.Lock()
	if f.started == nil {
		f.started = map[string]int{}
	}
	f.started[req.ID]++
	fail := f.fail
	f.mu.Unlock()
	if fail != nil {
		return run.Result{}, fail
	}
	for i := len(req.Generated); i < req.MaxTokens; i++ {
		select {
		case <-time.After(tokenTime):
			sink.WriteToken(fmt.Sprintf("t%d", i))
		case <-ctx.Done():
			if f.late != "" {
				sink.WriteToken(f.late)
			}
			time.Sleep(f.linger)
			return run.Result{}, ctx.Err()
		}
	}
	return run.Result{PromptTokens: 3, OutputTokens: int64(req.MaxTokens), Body: req.Body}, nil
}

func (f *fakeBackend) starts(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started[id]
}

// fakeOutbox stores bills and calls their settled functions in settle.
type fakeOutbox struct {
	mu      sync.Mutex
	bills   []ledger.Bill
	pending []func()
}

func (f *fakeOutbox) Add(_ int, entries []ledger.Entry, settled func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bills = append(f.bills, entries[0].(ledger.Bill))
	f.pending = append(f.pending, settled)
}

func (f *fakeOutbox) settle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, done := range f.pending {
		done()
	}
	f.pending = nil
}

func (f *fakeOutbox) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.bills)
}

func startRunner(t *testing.T, backend Backend, opts ...Option) (*Runner, *fakeOutbox) {
	t.Helper()
	outbox := &fakeOutbox{}
	r := New("drafting-1", "sidecar/1", backend, append(opts, WithOutbox(outbox))...)
	if err := r.Start(context.Background(), kernel.New(hclog.NewNullLogger())); err != nil {
		t.Fatal(err)
	}
	return r, outbox
}

func closeRunner(t *testing.T, r *Runner) {
	t.Helper()
	if err := r.Close(); err != nil {
		t.Error(err)
	}
}

func draft(id, key string, maxTokens int) run.Request {
	return run.Request{
		ID: id, Workspace: "clinic", Key: key, Idempotent: true, Rank: rank.Normal, MaxTokens: maxTokens,
		Hold: ledger.Hold{Holder: "entry/" + id, Sequence: 1, Tokens: 100},
	}
}

func submit(t *testing.T, r *Runner, req run.Request) *Subscription {
	t.Helper()
	sub, err := r.Submit(context.Background(), req)
	if err != nil {
		t.Fatalf("Submit(%s): %v", req.ID, err)
	}
	return sub
}

// read reads n tokens, or the rest of the answer if n is negative.
func read(t *testing.T, sub *Subscription, n int) []string {
	t.Helper()
	var got []string
	for n < 0 || len(got) < n {
		c, err := sub.Next(context.Background())
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatalf("Next: %v", err)
		}
		got = append(got, c.Tokens...)
	}
	return got
}

func finish(t *testing.T, sub *Subscription) run.FinalFrame {
	t.Helper()
	frame, err := sub.PrepareFinalFrame(context.Background())
	if err != nil {
		t.Fatalf("PrepareFinalFrame: %v", err)
	}
	sub.Close(true)
	return frame
}

func wantTokens(t *testing.T, got []string, first, last int) {
	t.Helper()
	if len(got) != last-first {
		t.Fatalf("got %d tokens %v, want t%d to t%d", len(got), got, first, last-1)
	}
	for i, token := range got {
		if token != fmt.Sprintf("t%d", first+i) {
			t.Fatalf("token %d is %s", first+i, token)
		}
	}
}

func TestRetryResumesAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{}
		r, outbox := startRunner(t, backend)
		defer closeRunner(t, r)
		first := submit(t, r, draft("r1", "k", 10))
		wantTokens(t, read(t, first, 4), 0, 4)
		first.Close(false)
		time.Sleep(time.Second)
		retry := draft("r2", "k", 10)
		retry.FromToken = 4
		second := submit(t, r, retry)
		wantTokens(t, read(t, second, -1), 4, 10)
		frame := finish(t, second)
		synctest.Wait()
		if frame.Hold.Holder != "entry/r2" || frame.BilledTokens != 13 || frame.OutputTokens != 10 {
			t.Errorf("final frame = %+v, want the hold of the answered call to pay 13", frame)
		}
		if outbox.count() != 1 || backend.starts("r1") != 1 || backend.starts("r2") != 0 {
			t.Errorf("bills = %d, starts = %v, want one run billed once", outbox.count(), backend.started)
		}
	})
}

func TestUnsubscribedRunIsCancelledAndNotBilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, outbox := startRunner(t, &fakeBackend{})
		defer closeRunner(t, r)
		sub := submit(t, r, draft("r1", "", 1000))
		read(t, sub, 1)
		sub.Close(false)
		time.Sleep(run.DefaultLimits().GracePeriod + time.Second)
		if w := r.WaitsFor(); w != (Waiting{}) || r.Load().Running != 0 || outbox.count() != 0 {
			t.Errorf("pending work is %+v, load %+v, %d bills", w, r.Load(), outbox.count())
		}
	})
}

func TestSlowSubscriptionDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := startRunner(t, &fakeBackend{})
		defer closeRunner(t, r)
		slow := submit(t, r, draft("r1", "k", 100))
		fast := submit(t, r, draft("r2", "k", 100))
		began := time.Now()
		wantTokens(t, read(t, fast, -1), 0, 100)
		if took := time.Since(began); took != 100*tokenTime {
			t.Errorf("fast subscription took %s", took)
		}
		c, err := slow.Next(context.Background())
		if err != nil || len(c.Tokens) != 100 {
			t.Errorf("slow subscription got %d tokens at once, %v, want all available tokens", len(c.Tokens), err)
		}
	})
}

func TestFailureIsReturnedToSubscription(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{fail: refusal.New(refusal.ServerFailed, 0, "refused")}
		r, outbox := startRunner(t, backend)
		defer closeRunner(t, r)
		req := draft("r1", "k", 0)
		req.Idempotent, req.Incarnation, req.Attempt = false, "sidecar/1", 1
		_, err := submit(t, r, req).Next(context.Background())
		if e, ok := refusal.As(err); !ok || e.Outcome != refusal.NotRun {
			t.Errorf("error = %v, want not run", err)
		}
		_, err = r.Submit(context.Background(), req)
		if e, ok := refusal.As(err); !ok || e.Reason != refusal.Fenced {
			t.Errorf("second submission = %v, want fenced", err)
		}
		if backend.starts("r1") != 1 || outbox.count() != 0 {
			t.Errorf("starts = %d, bills = %d", backend.starts("r1"), outbox.count())
		}
	})
}

func TestDrainRefusesQueuedAndFinishesRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, outbox := startRunner(t, &fakeBackend{}, WithSlots(1))
		defer closeRunner(t, r)
		running := submit(t, r, draft("r1", "", 10))
		read(t, running, 1)
		waiting := submit(t, r, draft("r2", "", 10))
		if err := r.Drain(context.Background(), true); err != nil {
			t.Fatal(err)
		}
		_, err := waiting.Next(context.Background())
		if e, ok := refusal.As(err); !ok || e.Reason != refusal.Draining || e.Outcome != refusal.NotRun {
			t.Errorf("queued request got %v, want draining (not run)", err)
		}
		waiting.Close(false)
		if _, err = r.Submit(context.Background(), draft("r3", "", 1)); err == nil {
			t.Error("new work accepted while draining")
		}
		wantTokens(t, read(t, running, -1), 1, 10)
		finish(t, running)
		synctest.Wait()
		if w := r.WaitsFor(); w != (Waiting{Bills: 1}) {
			t.Errorf("pending work is %+v, want one bill", w)
		}
		outbox.settle()
		synctest.Wait()
		if w := r.WaitsFor(); w != (Waiting{}) {
			t.Errorf("pending work is %+v, want nothing", w)
		}
	})
}

func TestFencedEntryIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := startRunner(t, &fakeBackend{})
		defer closeRunner(t, r)
		sub := submit(t, r, draft("r1", "k", 100))
		read(t, sub, 1)
		settled, err := r.FenceEntry(context.Background(), "entry/r1")
		if !settled || err != nil {
			t.Errorf("FenceEntry = %t, %v", settled, err)
		}
		for err == nil {
			_, err = sub.Next(context.Background())
		}
		if e, ok := refusal.As(err); !ok || e.Reason != refusal.Fenced {
			t.Errorf("subscription got %v, want fenced", err)
		}
	})
}

func TestPreemptedAnswerIsResumedWithoutLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{late: "late"}
		r, outbox := startRunner(t, backend, WithSlots(1))
		defer closeRunner(t, r)
		bulk := draft("r1", "", 20)
		bulk.Rank = rank.Bulk
		preempted := submit(t, r, bulk)
		got := read(t, preempted, 5)
		urgent := draft("r2", "", 10)
		urgent.Rank = rank.Urgent
		first := submit(t, r, urgent)
		began := time.Now()
		wantTokens(t, read(t, first, -1), 0, 10)
		if took := time.Since(began); took != 10*tokenTime {
			t.Errorf("urgent request took %s", took)
		}
		finish(t, first)
		got = append(got, read(t, preempted, -1)...)
		wantTokens(t, got, 0, 20)
		if frame := finish(t, preempted); frame.OutputTokens != 20 {
			t.Errorf("final frame = %+v", frame)
		}
		synctest.Wait()
		if backend.starts("r1") != 2 || outbox.count() != 2 {
			t.Errorf("starts = %d, bills = %d, want one resumption and two bills", backend.starts("r1"), outbox.count())
		}
	})
}

// finishingBackend returns a complete answer for a bulk request when the request is
// cancelled.
type finishingBackend struct {
	fakeBackend
}

func (w *finishingBackend) Run(ctx context.Context, req run.Request, sink server.TokenSink) (run.Result, error) {
	if req.Rank != rank.Bulk {
		return w.fakeBackend.Run(ctx, req, sink)
	}
	w.mu.Lock()
	if w.started == nil {
		w.started = map[string]int{}
	}
	w.started[req.ID]++
	w.mu.Unlock()
	sink.WriteToken("t0")
	<-ctx.Done()
	return run.Result{OutputTokens: 1}, nil
}

func TestPreemptedRunWithCompleteAnswerIsNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &finishingBackend{}
		r, _ := startRunner(t, backend, WithSlots(1))
		defer closeRunner(t, r)
		bulk := draft("r1", "", 5)
		bulk.Rank = rank.Bulk
		preempted := submit(t, r, bulk)
		read(t, preempted, 1)
		urgent := draft("r2", "", 2)
		urgent.Rank = rank.Urgent
		finishing := submit(t, r, urgent)
		read(t, preempted, -1)
		if frame := finish(t, preempted); frame.OutputTokens != 1 || backend.starts("r1") != 1 {
			t.Errorf("final frame = %+v after %d starts", frame, backend.starts("r1"))
		}
		read(t, finishing, -1)
		finish(t, finishing)
	})
}

func TestQueuedRequestThatCannotMeetDeadlineIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := startRunner(t, &fakeBackend{}, WithSlots(1), WithQueueOptions(queue.WithoutPrediction()))
		defer closeRunner(t, r)
		running := submit(t, r, draft("r1", "", 1000))
		read(t, running, 1)
		req := draft("r2", "", 10)
		req.Deadline = time.Now().Add(2 * time.Second)
		began := time.Now()
		_, err := submit(t, r, req).Next(context.Background())
		e, ok := refusal.As(err)
		if !ok || e.Outcome != refusal.NotRun || time.Since(began) > 2*time.Second {
			t.Errorf("error = %v after %s, want not run before the deadline", err, time.Since(began))
		}
	})
}

// TestExpiryUnderSteadyTraffic checks that calls at shorter intervals than those between two
// checks for expired runs don't postpone the checks.
func TestExpiryUnderSteadyTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := run.DefaultLimits()
		r, _ := startRunner(t, &fakeBackend{}, WithLimits(limits))
		defer closeRunner(t, r)
		submit(t, r, draft("r1", "", 100_000)).Close(false)
		const callInterval = 15 * time.Millisecond
		for range (limits.GracePeriod + time.Second) / callInterval {
			if _, err := r.FenceEntry(t.Context(), "another-entry"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(callInterval)
		}
		if got := r.WaitsFor(); got.Requests != 0 {
			t.Errorf("%d requests run 1 s after the grace period", got.Requests)
		}
	})
}

func TestDrainWaitsForCancelledRequestToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := run.DefaultLimits()
		r, _ := startRunner(t, &fakeBackend{linger: time.Minute}, WithLimits(limits))
		defer closeRunner(t, r)
		sub, err := r.Submit(t.Context(), run.Request{ID: "r1", Idempotent: true, MaxTokens: 1000})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		sub.Close(false)
		time.Sleep(limits.GracePeriod + time.Second)
		if got := r.WaitsFor(); got.Requests != 1 {
			t.Errorf("pending work is %+v, want the request that is ending", got)
		}
		time.Sleep(time.Minute)
		if got := r.WaitsFor(); got != (Waiting{}) {
			t.Errorf("pending work is %+v", got)
		}
	})
}
