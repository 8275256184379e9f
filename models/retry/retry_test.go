package retry_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/retry"
	_ "github.com/crocusline/crocusline/tests/fixedseed"
)

func failed(idempotent, dispatched bool, reason refusal.Reason, outcome refusal.Outcome) retry.Attempt {
	return retry.Attempt{
		Idempotent: idempotent, Dispatched: dispatched, Attempts: 1, TimeLeft: time.Minute,
		Err: &refusal.Error{Reason: reason, Outcome: outcome},
	}
}

func TestNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := retry.New(retry.WithoutBudget())
		a := failed(rapid.Bool().Draw(rt, "idempotent"), rapid.Bool().Draw(rt, "dispatched"),
			rapid.SampledFrom([]refusal.Reason{
				refusal.ServerFailed, refusal.OutcomeUnknown, refusal.Draining, refusal.QueueFull, refusal.InvalidRequest,
			}).Draw(rt, "reason"),
			rapid.SampledFrom([]refusal.Outcome{refusal.NotRun, refusal.Unknown}).Draw(rt, "outcome"))
		a.Attempts = rapid.IntRange(1, 4).Draw(rt, "tries")
		a.TimeLeft = time.Duration(rapid.IntRange(-5, 500).Draw(rt, "left")) * time.Millisecond
		v := b.Decide(a)
		mayHaveRun := !a.Idempotent && a.Dispatched && a.Err.Outcome == refusal.Unknown
		if v.Retry && (mayHaveRun || a.Attempts >= retry.DefaultMaxAttempts || v.Delay >= a.TimeLeft) {
			rt.Fatalf("%+v retried", a)
		}
		if !v.Retry && v.Err.Outcome != a.Err.Outcome {
			rt.Fatalf("outcome %v became %v", a.Err.Outcome, v.Err.Outcome)
		}
	})
}

func TestBudgetLimitsRetries(t *testing.T) {
	b := retry.New(retry.WithRetryRatio(1.0 / 16))
	// The last request fails; 796 requests before it succeed.
	const requests = 996
	retries := 0
	for i := range requests {
		if i%5 == 0 {
			if b.Decide(failed(true, true, refusal.ServerFailed, refusal.Unknown)).Retry {
				retries++
			}
		} else {
			b.RecordSuccess()
		}
	}
	if want := int(retry.DefaultBurst) + 796/16; retries != want {
		t.Errorf("%d retries, want %d", retries, want)
	}
	v := b.Decide(failed(true, true, refusal.ServerFailed, refusal.Unknown))
	if v.Err == nil || v.Err.Reason != refusal.RetryBudget || v.Err.Outcome != refusal.Unknown || v.Err.RetryAfter == 0 {
		t.Errorf("with an empty budget: %+v", v.Err)
	}
	lost := failed(true, true, refusal.ServerFailed, refusal.Unknown)
	lost.ServerLost = true
	if v := b.Decide(lost); !v.Retry {
		t.Errorf("a retry after the loss of a server was not free: %+v", v)
	}
	if v := b.Decide(failed(true, true, refusal.Draining, refusal.NotRun)); !v.Retry || v.Delay != 0 {
		t.Errorf("a retry after a draining server was not free: %+v", v)
	}
}

func ExampleBudget() {
	b := retry.New()
	v := b.Decide(retry.Attempt{
		Idempotent: false, Dispatched: true, Attempts: 1, TimeLeft: time.Minute,
		Err: &refusal.Error{Reason: refusal.OutcomeUnknown, Outcome: refusal.Unknown},
	})
	fmt.Println(v.Retry, v.Err.Outcome)
	// Output: false unknown
}
