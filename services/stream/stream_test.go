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
	"github.com/crocusline/crocusline/modules/delay"
	"github.com/crocusline/crocusline/modules/platform"
	"github.com/crocusline/crocusline/modules/platform/platformtest"
	"github.com/crocusline/crocusline/services/stream"
)

var _ kernel.Service = (*stream.Stream)(nil)

// bodyList is a state machine that records all bodies.
type bodyList struct{ bodies []string }

func (l *bodyList) Apply(_ stream.Position, bodies [][]byte) {
	for _, b := range bodies {
		l.bodies = append(l.bodies, string(b))
	}
}

func (l *bodyList) Snapshot() ([]byte, error) { return json.Marshal(l.bodies) }

func (l *bodyList) Restore(data []byte) error {
	l.bodies = nil
	if data == nil {
		return nil
	}
	return json.Unmarshal(data, &l.bodies)
}

func start(t *testing.T, writer string, log *platformtest.Log, opts ...stream.Option) (*stream.Stream, *bodyList) {
	t.Helper()
	machine := &bodyList{}
	s := stream.New("s", writer, log, machine, opts...)
	s.Run(context.Background())
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s, machine
}

func appendAll(t *testing.T, s *stream.Stream, bodies ...string) {
	t.Helper()
	for _, b := range bodies {
		if _, err := s.Append(t.Context(), []byte(b)); err != nil {
			t.Fatal(err)
		}
	}
}

// expectBodies fails the test unless the state machine has the bodies, once all
// records are applied.
func expectBodies(t *testing.T, s *stream.Stream, machine *bodyList, want string) {
	t.Helper()
	synctest.Wait()
	s.View(func(stream.Status) {
		if got := fmt.Sprint(machine.bodies); got != want {
			t.Errorf("bodies %s, want %s", got, want)
		}
	})
}

func TestRetriedAppendTakesEffectOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		s, machine := start(t, "a", log)
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
		expectBodies(t, s, machine, "[1 2 3]")
	})
}

func TestAppendsAreBatched(t *testing.T) {
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
			t.Fatalf("%d records for 100 concurrent appends, want at most 2", log.Appends())
		}
	})
}

func TestAppendInEndedEpochIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		a, _ := start(t, "a", log)
		b, machine := start(t, "b", log)
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
		expectBodies(t, b, machine, "[1 2]")
	})
}

func TestConcurrentClaimsHaveOneWinner(t *testing.T) {
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

func TestStartAfterRecordsExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		s, _ := start(t, "a", log)
		follower, machine := start(t, "late", log)
		appendAll(t, s, "1", "2")
		expectBodies(t, follower, machine, "[1 2]")
		if err := follower.Close(); err != nil {
			t.Fatal(err)
		}
		appendAll(t, s, "3")
		if err := s.Checkpoint(t.Context()); err != nil {
			t.Fatal(err)
		}
		appendAll(t, s, "4")
		log.Trim("s", 3)
		reader, readerMachine := start(t, "fresh", log)
		appendAll(t, reader, "5")
		expectBodies(t, reader, readerMachine, "[1 2 3 4 5]")
	})
}

func TestGapWithoutCheckpointIsNotSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		s, _ := start(t, "a", log)
		appendAll(t, s, "1", "2")
		log.Trim("s", 1)
		reader, machine := start(t, "fresh", log)
		time.Sleep(time.Minute)
		if st := reader.Status(); st.Ready || len(machine.bodies) != 0 {
			t.Fatalf("status %+v, bodies %v", st, machine.bodies)
		}
	})
}

func TestCheckpointsAreWrittenBeforeRecordsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		always := func() bool { return true }
		s, _ := start(t, "a", log, stream.WithCheckpoints(fence.CheckpointSchedule{Records: 10, Interval: time.Hour}, always))
		for i := range 200 {
			appendAll(t, s, fmt.Sprint(i))
			time.Sleep(time.Second)
			log.Trim("s", log.NextOffset("s")-50)
		}
		reader, machine := start(t, "fresh", log)
		appendAll(t, reader, "end")
		if len(machine.bodies) != 201 {
			t.Fatalf("%d bodies, want 201", len(machine.bodies))
		}
	})
}

func TestIdleStreamWritesCheckpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		always := func() bool { return true }
		s, _ := start(t, "a", log, stream.WithCheckpoints(fence.CheckpointSchedule{Records: 10, Interval: time.Minute}, always))
		appendAll(t, s, "1")
		time.Sleep(time.Hour)
		if n := log.NextOffset("s"); n < 30 || n > 62 {
			t.Fatalf("%d records after an idle hour, want about one per one or two minutes", n)
		}
	})
}

func TestAppendErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		s, machine := start(t, "a", log, stream.WithQueueSize(1))
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
		expectBodies(t, s, machine, "[1 2]")
	})
}

// slowLog is a log whose records arrive over a link that carries perSecond of them.
type slowLog struct {
	*platformtest.Log
	perSecond int
}

func (l *slowLog) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (platform.Batch, error) {
	batch, err := l.Log.Read(ctx, name, from, limit, wait)
	if err != nil || delay.Wait(ctx, time.Duration(len(batch.Records))*time.Second/time.Duration(l.perSecond)) {
		return batch, err
	}
	return platform.Batch{}, &platform.UnavailableError{Stream: name, Cause: ctx.Err()}
}

// TestStreamNeverReadOverSlowLink guards against a read of more records than arrive within
// its timeout, which is repeated without end.
func TestStreamNeverReadOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.New()
		writer, _ := start(t, "a", log)
		for i := range 400 {
			appendAll(t, writer, fmt.Sprint(i))
		}
		machine := &bodyList{}
		reader := stream.New("s", "b", &slowLog{Log: log, perSecond: 50}, machine)
		reader.Run(t.Context())
		time.Sleep(time.Minute)
		reader.View(func(stream.Status) {
			if len(machine.bodies) != 400 {
				t.Errorf("%d of 400 records were read within a minute", len(machine.bodies))
			}
		})
		if err := reader.Close(); err != nil {
			t.Error(err)
		}
	})
}
