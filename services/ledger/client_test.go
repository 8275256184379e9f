package ledger_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/coordination/once"
	"github.com/crocusline/crocusline/kernel"
	model "github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/modules/platform"
	"github.com/crocusline/crocusline/modules/platform/platformtest"
	"github.com/crocusline/crocusline/services/ledger"
)

var _ kernel.Service = (*ledger.Client)(nil)

func start(t *testing.T, name string, log platform.Log, opts ...ledger.Option) *ledger.Client {
	t.Helper()
	c := ledger.New(name+"/1", log, append([]ledger.Option{ledger.WithShards(2)}, opts...)...)
	if err := c.Start(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
	return c
}

func topUp(t *testing.T, c *ledger.Client, workspace string, tokens int64) {
	t.Helper()
	entry := model.TopUp{ID: workspace + "-1", Workspace: workspace, Tokens: tokens}
	if err := c.Post(t.Context(), c.ShardOf(workspace), entry); err != nil {
		t.Fatal(err)
	}
}

func reserve(t *testing.T, c *ledger.Client, workspace string, tokens int64) model.Hold {
	t.Helper()
	hold, err := c.Reserve(t.Context(), workspace, tokens)
	if err != nil {
		t.Fatal(err)
	}
	return hold
}

func bill(t *testing.T, c *ledger.Client, workspace, id string, hold model.Hold, tokens int64) {
	t.Helper()
	entry := model.Bill{RequestID: id, Workspace: workspace, Hold: hold, Tokens: tokens}
	if err := c.Post(t.Context(), hold.Shard, entry); err != nil {
		t.Fatal(err)
	}
}

func budget(t *testing.T, c *ledger.Client, workspace string) model.Budget {
	t.Helper()
	b, err := c.Budget(t.Context(), workspace)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestReserveBillAndIdleReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		c := start(t, "entry1", log)
		topUp(t, c, "clinic", 1000)
		hold := reserve(t, c, "clinic", 100)
		bill(t, c, "clinic", "r1", hold, 60)
		bill(t, c, "clinic", "r1", hold, 60)
		time.Sleep(10 * time.Second)
		b := budget(t, c, "clinic")
		if b.Settled != 60 || b.Outstanding != 0 || b.Bills != 1 || b.Duplicates != 1 {
			t.Fatalf("budget %+v", b)
		}
	})
}

func TestReserveNeverOverspends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		a, b := start(t, "entry1", log), start(t, "entry2", log)
		topUp(t, a, "clinic", 1000)
		var held int64
		for i := range 40 {
			c := []*ledger.Client{a, b}[i%2]
			hold, err := c.Reserve(t.Context(), "clinic", 70)
			if err != nil {
				continue
			}
			held += hold.Tokens
		}
		if held != 980 {
			t.Fatalf("%d of 1000 tokens held, want 980", held)
		}
		_, err := a.Reserve(t.Context(), "clinic", 70)
		if r, ok := refusal.As(err); !ok || r.Reason != refusal.BudgetExhausted || r.RetryAfter == 0 {
			t.Fatalf("error %v", err)
		}
	})
}

func TestReserveRecallsIdleTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		a, b := start(t, "entry1", log), start(t, "entry2", log)
		topUp(t, a, "clinic", 1000)
		for range 10 {
			hold := reserve(t, a, "clinic", 90)
			a.Release("clinic", hold)
		}
		hold := reserve(t, a, "clinic", 300)
		a.Release("clinic", hold)
		if got := reserve(t, b, "clinic", 1000); got.Tokens != 1000 {
			t.Fatalf("hold %+v", got)
		}
	})
}

func TestReleaseReusesSequence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, "entry1", platformtest.New())
		topUp(t, c, "clinic", 1000)
		first := reserve(t, c, "clinic", 10)
		c.Release("clinic", first)
		c.Release("clinic", first)
		second, third := reserve(t, c, "clinic", 10), reserve(t, c, "clinic", 10)
		if second.Sequence != 1 || third.Sequence != 2 {
			t.Fatalf("holds %+v %+v", second, third)
		}
	})
}

func TestReserveDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		c := start(t, "entry1", log)
		topUp(t, c, "clinic", 100_000)
		for range 20 {
			reserve(t, c, "clinic", 100)
			time.Sleep(101 * time.Millisecond)
		}
		log.SetUnavailable(true)
		time.Sleep(time.Second)
		reserve(t, c, "clinic", 100)
		_, err := c.Reserve(t.Context(), "clinic", 90_000)
		if r, ok := refusal.As(err); !ok || r.Reason != refusal.BudgetUnreachable {
			t.Fatalf("error %v", err)
		}
		log.SetUnavailable(false)
		time.Sleep(5 * time.Second)
		reserve(t, c, "clinic", 90_000)
	})
}

func TestEntriesTakeEffectOnceAfterLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		c := start(t, "entry1", log)
		topUp(t, c, "clinic", 1000)
		for i := range 5 {
			log.DropResponses(1)
			log.DuplicateAppends(1)
			hold := reserve(t, c, "clinic", 50)
			log.DropResponses(1)
			bill(t, c, "clinic", fmt.Sprint(i), hold, 50)
		}
		if b := budget(t, c, "clinic"); b.Settled != 250 || b.Bills != 5 || b.Duplicates != 0 {
			t.Fatalf("budget %+v", b)
		}
	})
}

func TestOnlyOneClientRegistersAnAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		a, b := start(t, "entry1", log), start(t, "entry2", log)
		r := ledger.Registration{Workspace: "clinic", Key: "k", Digest: []byte("d"), Sidecar: "s1/1", Server: "s1"}
		results := make(chan ledger.RegistrationResult, 2)
		for _, c := range []*ledger.Client{a, b} {
			go func() {
				got, err := c.Register(t.Context(), r)
				if err != nil {
					t.Error(err)
				}
				results <- got
			}()
		}
		first, second := <-results, <-results
		if first.Granted == second.Granted || first.Attempt != 1 || second.Attempt != 1 {
			t.Fatalf("registered %+v and %+v", first, second)
		}
		if err := a.Void(t.Context(), "clinic", "k", 1); err != nil {
			t.Fatal(err)
		}
		again, err := b.Register(t.Context(), r)
		if err != nil || (again.Attempt != 2 && again.Attempt != 1) {
			t.Fatalf("registered %+v, %v", again, err)
		}
		other := r
		other.Digest = []byte("other")
		if got, err := a.Register(t.Context(), other); err != nil || !got.Conflict || got.Granted {
			t.Fatalf("registered %+v, %v", got, err)
		}
	})
}

func TestLaterRegistrationReturnsOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, "entry1", platformtest.New())
		r := ledger.Registration{Workspace: "clinic", Key: "k", Digest: []byte("d"), Sidecar: "s1/1"}
		if got, err := c.Register(t.Context(), r); err != nil || !got.Granted {
			t.Fatalf("registered %+v, %v", got, err)
		}
		ran := model.Outcome{Workspace: "clinic", Key: "k", Attempt: 1, Body: []byte("ok"), BodyKept: true}
		if err := c.Post(t.Context(), c.ShardOf("clinic"), ran); err != nil {
			t.Fatal(err)
		}
		got, err := c.Register(t.Context(), r)
		if err != nil || got.Granted || got.Status != once.Ran || string(got.Body) != "ok" {
			t.Fatalf("registered %+v, %v", got, err)
		}
	})
}

func TestRestartFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		c := start(t, "entry1", log)
		topUp(t, c, "clinic", 1000)
		hold := reserve(t, c, "clinic", 100)
		bill(t, c, "clinic", "r1", hold, 60)
		time.Sleep(11 * time.Minute)
		stream := model.StreamName(c.ShardOf("clinic"))
		log.Trim(stream, 3)
		fresh := start(t, "entry2", log)
		if b := budget(t, fresh, "clinic"); b.Settled != 60 || b.ToppedUp != 1000 {
			t.Fatalf("budget %+v", b)
		}
	})
}

func TestReturnOutlivesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		c := start(t, "entry1", log)
		topUp(t, c, "clinic", 1000)
		c.Release("clinic", reserve(t, c, "clinic", 100))
		log.SetUnavailable(true)
		time.Sleep(30 * time.Second)
		log.SetUnavailable(false)
		time.Sleep(10 * time.Second)
		if b := budget(t, c, "clinic"); b.Outstanding != 0 || b.Free() != 1000 {
			t.Fatalf("budget %+v", b)
		}
	})
}

func TestClosedClientReportsError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, "entry1", platformtest.New())
		topUp(t, c, "clinic", 1000)
		hold := reserve(t, c, "clinic", 100)
		if err := c.Err(); err != nil {
			t.Fatal(err)
		}
		if err := c.Post(t.Context(), hold.Shard, model.CloseHolder{Holder: "entry1/1"}); err != nil {
			t.Fatal(err)
		}
		var closed *ledger.ClosedError
		if err := c.Err(); !errors.As(err, &closed) || closed.Shard != hold.Shard {
			t.Errorf("error %v", err)
		}
		_, err := c.Reserve(t.Context(), "clinic", 10)
		if why, ok := refusal.As(err); !ok || why.Reason != refusal.Fenced || why.Outcome != refusal.NotRun {
			t.Errorf("error %v", err)
		}
		if closed, err := c.Closed(t.Context(), hold); err != nil || !closed {
			t.Errorf("closed %v, error %v", closed, err)
		}
	})
}

// TestStandingReserveCoversUnusedEntry guards against an outage of the log
// making a budget unavailable at an entry instance that has not used it yet.
// Another instance of the same failure domain uses the budget before the
// outage, so that this one must hold a standing reserve, and an instance
// elsewhere must hold none.
func TestStandingReserveCoversUnusedEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		sameDomain := ledger.WithStandingReserve(func(incarnation string) bool {
			return incarnation == "busy/1" || incarnation == "unused/1"
		})
		busy, unused, remote := start(t, "busy", log, sameDomain), start(t, "unused", log, sameDomain), start(t, "remote", log)
		topUp(t, busy, "clinic", 10_000)
		for _, c := range []*ledger.Client{unused, remote} {
			budget(t, c, "clinic")
		}
		for i := range 30 {
			bill(t, busy, "clinic", fmt.Sprint(i), reserve(t, busy, "clinic", 100), 80)
			time.Sleep(time.Second)
		}
		log.SetUnavailable(true)
		reserve(t, unused, "clinic", 100)
		if _, err := remote.Reserve(t.Context(), "clinic", 100); err == nil {
			t.Error("an instance of another failure domain has a standing reserve")
		}
		log.SetUnavailable(false)
		time.Sleep(10 * time.Second)
		reserve(t, remote, "clinic", 9000-30*80)
	})
}

func TestOldKeyIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, "entry1", platformtest.New())
		key, err := uuid.NewV7()
		if err != nil {
			t.Fatal(err)
		}
		r := ledger.Registration{Workspace: "clinic", Key: key.String(), Digest: []byte("d"), Sidecar: "s/1"}
		if made := model.KeyTime(r.Key); time.Since(made).Abs() > time.Second {
			t.Fatalf("key made at %s", made)
		}
		if got, err := c.Register(t.Context(), r); err != nil || !got.Granted {
			t.Fatalf("%+v, error %v", got, err)
		}
		time.Sleep(25 * time.Hour)
		other := r
		other.Key = "booking"
		if got, err := c.Register(t.Context(), other); err != nil || !got.Granted {
			t.Fatalf("%+v, error %v", got, err)
		}
		_, err = c.Register(t.Context(), r)
		if why, ok := refusal.As(err); !ok || why.Outcome != refusal.Unknown || why.Reason != refusal.OutcomeUnknown {
			t.Errorf("error %v", err)
		}
	})
}
