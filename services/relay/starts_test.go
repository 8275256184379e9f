package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/roster"
)

// TestServerAskedByEachStream guards against a server that is asked for its start by each of the streams
// that begin on it at a time.
func TestServerAskedByEachStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, asked := newStartCalls(), 0
		server, openedAt := roster.Server{ID: "s1", Started: 17}, time.Now()
		ask := func(ctx context.Context) (int64, error) {
			asked++
			select {
			case <-time.After(5 * time.Millisecond):
				return 17, nil
			case <-ctx.Done():
				return 0, errors.WithStack(ctx.Err())
			}
		}
		time.Sleep(time.Millisecond)
		var running sync.WaitGroup
		running.Go(func() {
			ctx, leave := context.WithCancel(t.Context())
			time.AfterFunc(2*time.Millisecond, leave)
			if _, err := calls.ask(ctx, server, openedAt, ask); err == nil {
				t.Error("a call of a caller that left succeeded")
			}
		})
		synctest.Wait()
		for range 9 {
			running.Go(func() {
				call, err := calls.ask(t.Context(), server, openedAt, ask)
				if err != nil || call.started != 17 {
					t.Errorf("got %+v and %v", call, err)
				}
			})
		}
		running.Wait()
		if asked != 2 {
			t.Errorf("asked %d times, want once by the caller that left and once by the others", asked)
		}
		// A call that began before the connection was opened proves nothing about it.
		running.Go(func() { _, _ = calls.ask(t.Context(), server, openedAt, ask) })
		synctest.Wait()
		time.Sleep(time.Millisecond)
		if _, err := calls.ask(t.Context(), server, time.Now(), ask); err != nil || asked != 4 {
			t.Errorf("asked %d times, %v, want 4", asked, err)
		}
		running.Wait()
	})
}

// TestStartCallEndsWithItsCaller guards against streams that break off because another one, whose call they share, has
// ended.
func TestStartCallEndsWithItsCaller(t *testing.T) {
	for name, end := range map[string]func() (context.Context, func()){
		"superseded": func() (context.Context, func()) {
			ctx, cancel := context.WithCancelCause(context.Background())
			return ctx, func() { cancel(errors.New("superseded")) }
		},
		"deadline": func() (context.Context, func()) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			return ctx, func() { time.Sleep(20 * time.Millisecond); cancel() }
		},
		"silence": func() (context.Context, func()) {
			ctx, cancel := context.WithCancelCause(context.Background())
			return ctx, func() { cancel(errSilenceTimeout) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls, server := newStartCalls(), roster.Server{ID: "i-1", Started: 7}
				after := time.Now()
				time.Sleep(time.Millisecond)
				ctx, stop := end()
				f := func(ctx context.Context) (int64, error) {
					select {
					case <-ctx.Done():
						return 0, errors.WithStack(context.Cause(ctx))
					case <-time.After(100 * time.Millisecond):
						return 7, nil
					}
				}
				go func() { _, _ = calls.ask(ctx, server, after, f) }()
				synctest.Wait()
				type result struct {
					call *startCall
					err  error
				}
				done := make(chan result, 1)
				go func() {
					c, err := calls.ask(t.Context(), server, after, f)
					done <- result{c, err}
				}()
				synctest.Wait()
				stop()
				if r := <-done; r.err != nil || r.call.started != 7 {
					t.Errorf("the stream that still runs got %v", r.err)
				}
			})
		})
	}
}
