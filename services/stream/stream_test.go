package stream_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/coordination/fence"
	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/modules/platform/platformtest"
	"github.com/crocusline/crocusline/services/stream"
)

var _ kernel.Service = (*stream.Stream)(nil)

// list is a fold that keeps all bodies.
type list struct{ bodies []string }

func (l *list) Apply(_ stream.Position, bodies [][]byte) {
	for _, b := range bodies {
		l.bodies = append(l.bodies, string(b))
	}
}

func (l *list) Snapshot() ([]byte, error) { return json.Marshal(l.bodies) }

func (l *list) Restore(data []byte) error {
	l.bodies = nil
	if data == nil {
		return nil
	}
	return json.Unmarshal(data, &l.bodies)
}

func start(t *testing.T, name string, log *platformtest.Log, opts ...stream.Option) (*stream.Stream, *list) {
	t.Helper()
	fold := &list{}
	s := stream.New("s", name, log, fold, opts...)
	s.Run(context.Background())
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s, fold
}

func appendAll(t *testing.T, s *stream.Stream, bodies ...string) {
	t.Helper()
	for _, b := range bodies {
		if _, err := s.Append(t.Context(), []byte(b)); err != nil {
			t.Fatal(err)
		}
	}
}

func expect(t *testing.T, s *stream.Stream, fold *list, want string) {
	t.Helper()
	synctest.Wait()
	s.View(func(stream.Status) {
		if got := fmt.Sprint(fold.bodies); got != want {
			t.Errorf("bodies %s, want %s", got, want)
		}
	})
}

func TestRetriedAppendsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		s, fold := start(t, "a", log)
		appendAll(t, s, "1")
		log.SetReadsFailing(true)
		log.DropResponses(3)
		done := make(chan error)
		go func() {
			_, err := s.Append(t.Context(), []byte("2"))
			done <- err
		}()
		time.Sleep(time.Second)
		log.SetReadsFailing(false)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		appendAll(t, s, "3")
		if log.Appends() < 4 {
			t.Fatalf("%d appends: nothing was retried", log.Appends())
		}
		expect(t, s, fold, "[1 2 3]")
	})
}

func TestOneRecordCarriesManyAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		s, _ := start(t, "a", log)
		done := make(chan error)
		for i := range 100 {
			go func() {
				_, err := s.Append(t.Context(), fmt.Append(nil, i))
				done <- err
			}()
		}
		for range 100 {
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		if log.Appends() > 2 {
			t.Fatalf("%d records", log.Appends())
		}
	})
}

func TestPausedOwnerIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		a, _ := start(t, "a", log)
		b, fold := start(t, "b", log)
		if err := a.Claim(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		if _, err := a.AppendInEpoch(t.Context(), 1, []byte("1")); err != nil {
			t.Fatal(err)
		}
		if err := b.Claim(t.Context(), 2); err != nil {
			t.Fatal(err)
		}
		var fenced *stream.FencedError
		if _, err := a.AppendInEpoch(t.Context(), 1, []byte("late")); !errors.As(err, &fenced) || fenced.Epoch != 1 {
			t.Fatalf("error %v", err)
		}
		if _, err := b.AppendInEpoch(t.Context(), 2, []byte("2")); err != nil {
			t.Fatal(err)
		}
		expect(t, b, fold, "[1 2]")
	})
}

func TestTwoClaimsHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		a, _ := start(t, "a", log)
		b, _ := start(t, "b", log)
		results := make(chan error)
		for _, s := range []*stream.Stream{a, b} {
			go func() { results <- s.Claim(t.Context(), 1) }()
		}
		first, second := <-results, <-results
		var fenced *stream.FencedError
		if (first == nil) == (second == nil) || (!errors.As(first, &fenced) && !errors.As(second, &fenced)) {
			t.Fatalf("errors %v and %v", first, second)
		}
	})
}

func TestReaderBehindRetentionStartsFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		s, _ := start(t, "a", log)
		late, fold := start(t, "late", log)
		appendAll(t, s, "1", "2")
		expect(t, late, fold, "[1 2]")
		if err := late.Close(); err != nil {
			t.Fatal(err)
		}
		appendAll(t, s, "3")
		if err := s.Checkpoint(t.Context()); err != nil {
			t.Fatal(err)
		}
		appendAll(t, s, "4")
		log.Trim("s", 3)
		fresh, freshFold := start(t, "fresh", log)
		appendAll(t, fresh, "5")
		expect(t, fresh, freshFold, "[1 2 3 4 5]")
	})
}

func TestGapWithoutCheckpointIsNeverSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		s, _ := start(t, "a", log)
		appendAll(t, s, "1", "2")
		log.Trim("s", 1)
		fresh, fold := start(t, "fresh", log)
		time.Sleep(time.Minute)
		if st := fresh.Status(); st.Ready || len(fold.bodies) != 0 {
			t.Fatalf("status %+v, bodies %v", st, fold.bodies)
		}
	})
}

func TestCheckpointsComeBeforeRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		always := func() bool { return true }
		s, _ := start(t, "a", log, stream.WithCheckpoints(fence.CheckpointSchedule{Records: 10, Interval: time.Hour}, always))
		for i := range 200 {
			appendAll(t, s, fmt.Sprint(i))
			time.Sleep(time.Second)
			log.Trim("s", log.NextOffset("s")-50)
		}
		fresh, fold := start(t, "fresh", log)
		appendAll(t, fresh, "end")
		if len(fold.bodies) != 201 {
			t.Fatalf("%d bodies, want 201", len(fold.bodies))
		}
	})
}

func TestIdleStreamKeepsACheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		always := func() bool { return true }
		s, _ := start(t, "a", log, stream.WithCheckpoints(fence.CheckpointSchedule{Records: 10, Interval: time.Minute}, always))
		appendAll(t, s, "1")
		time.Sleep(time.Hour)
		if n := log.NextOffset("s"); n < 30 || n > 62 {
			t.Fatalf("%d records after an idle hour, want about one every one or two minutes", n)
		}
	})
}

func TestAppendErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		s, fold := start(t, "a", log, stream.WithQueueSize(1))
		appendAll(t, s, "1")
		log.SetUnavailable(true)
		sent := make(chan error)
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := s.Append(ctx, []byte("sent"))
			sent <- err
		}()
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		queued := make(chan error)
		go func() {
			_, err := s.Append(ctx, []byte("queued"))
			queued <- err
		}()
		time.Sleep(10 * time.Millisecond)
		var (
			full       *stream.QueueFullError
			unsent     *stream.UnsentError
			unresolved *stream.UnconfirmedError
		)
		if _, err := s.Append(t.Context(), []byte("refused")); !errors.As(err, &full) {
			t.Errorf("error %v", err)
		}
		if err := <-queued; !errors.As(err, &unsent) {
			t.Errorf("error %v", err)
		}
		if err := <-sent; !errors.As(err, &unresolved) {
			t.Errorf("error %v", err)
		}
		log.SetUnavailable(false)
		time.Sleep(5 * time.Second)
		appendAll(t, s, "2")
		expect(t, s, fold, "[1 2]")
	})
}
