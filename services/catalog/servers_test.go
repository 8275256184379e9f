package catalog_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/modules/uptime"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/services/catalog"
)

// slowLog lists one server. Its reads return after the time.
type slowLog struct{ readTime time.Duration }

func (l *slowLog) Read(ctx context.Context, r record.Read) (record.Batch, error) {
	select {
	case <-time.After(l.readTime):
		return record.Batch{Next: r.From}, nil
	case <-ctx.Done():
		return record.Batch{}, ctx.Err()
	}
}

func (*slowLog) Snapshot(_ context.Context, p record.Partition) (record.Snapshot, error) {
	if p.Topic != serversTopic {
		return record.Snapshot{}, nil
	}
	value := `{"service":"s1","address":"10.128.0.9:8080","zone":"z","version":"v1","max_concurrency":4,"state":"ready","warmup_left_ms":0,"sequence":4,"born":17}`
	return record.Snapshot{Records: []record.Record{{Key: "i-1", Value: []byte(value)}}, Next: 1}, nil
}

// TestListReadLate guards against a read that a process which stood still evaluates seconds later, and
// whose list counts as the present one.
func TestListReadLate(t *testing.T) {
	for _, tt := range []struct {
		name     string
		readTime time.Duration
		want     roster.Evidence
	}{
		{"in time", 700 * time.Millisecond, roster.ListEvidence}, {"late", 9 * time.Second, roster.NoEvidence},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := catalog.New(hclog.NewNullLogger(), &slowLog{readTime: tt.readTime}, platform.Codec{}, catalog.WithHeartbeat(1200*time.Millisecond))
				if err := c.Start(t.Context(), nil); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				openedAt := time.Now()
				time.Sleep(8500 * time.Millisecond)
				if got := c.Confirmed(roster.Server{ID: "i-1", Started: 17}, openedAt); got != tt.want {
					t.Errorf("evidence %s, want %s", got, tt.want)
				}
				if err := c.Close(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// partialLog returns a part of the records that the store has.
type partialLog struct{ slowLog }

func (l *partialLog) Read(ctx context.Context, r record.Read) (record.Batch, error) {
	b, err := l.slowLog.Read(ctx, r)
	b.End = b.Next + 1
	return b, err
}

// TestListReadInPart guards against a list whose newest records weren't read, and that counts as the present one.
func TestListReadInPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &partialLog{slowLog{readTime: 700 * time.Millisecond}}
		c := catalog.New(hclog.NewNullLogger(), log, platform.Codec{}, catalog.WithHeartbeat(1200*time.Millisecond))
		if err := c.Start(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		openedAt := time.Now()
		time.Sleep(8500 * time.Millisecond)
		if got := c.Confirmed(roster.Server{ID: "i-1", Started: 17}, openedAt); got != roster.NoEvidence {
			t.Errorf("evidence %s by a list that lacks records", got)
		}
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
}

// copyLog lists one server. Its store returns from a copy once, at the time.
type copyLog struct {
	slowLog
	returnsAt time.Time
}

func (l *copyLog) era() int64 {
	if time.Now().Before(l.returnsAt) {
		return 1
	}
	return 2
}

func (l *copyLog) Read(ctx context.Context, r record.Read) (record.Batch, error) {
	b, err := l.slowLog.Read(ctx, r)
	b.Era = l.era()
	return b, err
}

func (l *copyLog) Snapshot(ctx context.Context, p record.Partition) (record.Snapshot, error) {
	s, err := l.slowLog.Snapshot(ctx, p)
	s.Era = l.era()
	return s, err
}

// TestListReadBeforeCopy guards against a list that the store has from a copy, and that shows which servers live
// as if it had been read all the while.
func TestListReadBeforeCopy(t *testing.T) {
	for _, tt := range []struct {
		name    string
		returns time.Duration
		want    roster.Evidence
	}{
		{"no copy", time.Hour, roster.ListEvidence}, {"returned from a copy", 6 * time.Second, roster.NoEvidence},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &copyLog{slowLog{readTime: 700 * time.Millisecond}, time.Now().Add(tt.returns)}
				c := catalog.New(hclog.NewNullLogger(), log, platform.Codec{}, catalog.WithHeartbeat(1200*time.Millisecond))
				if err := c.Start(t.Context(), nil); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				openedAt := time.Now()
				time.Sleep(8500 * time.Millisecond)
				if got := c.Confirmed(roster.Server{ID: "i-1", Started: 17}, openedAt); got != tt.want {
					t.Errorf("evidence %s, want %s", got, tt.want)
				}
				if err := c.Close(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestListReadBeforeSuspension guards against a list that counts as read all the while, although the machine was suspended, so
// that an outage of the list could not be seen.
func TestListReadBeforeSuspension(t *testing.T) {
	for _, tt := range []struct {
		suspended time.Duration
		want      roster.Evidence
	}{
		{0, roster.ListEvidence}, {time.Second, roster.ListEvidence}, {4 * time.Second, roster.NoEvidence},
	} {
		t.Run(tt.suspended.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var suspended atomic.Int64
				clock := uptime.NewClockWith(func() time.Duration { return time.Duration(suspended.Load()) })
				c := catalog.New(hclog.NewNullLogger(), &slowLog{readTime: 700 * time.Millisecond}, platform.Codec{},
					catalog.WithHeartbeat(1200*time.Millisecond), catalog.WithClock(clock))
				if err := c.Start(t.Context(), nil); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				openedAt := time.Now()
				time.Sleep(5 * time.Second)
				suspended.Store(int64(tt.suspended))
				time.Sleep(3500 * time.Millisecond)
				if got := c.Confirmed(roster.Server{ID: "i-1", Started: 17}, openedAt); got != tt.want {
					t.Errorf("evidence %s, want %s", got, tt.want)
				}
				if err := c.Close(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}
