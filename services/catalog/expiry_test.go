package catalog_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/services/catalog"
)

const (
	outageStart = 2 * time.Second
	outageEnd   = 7 * time.Second
)

// returnedStore is a store that was away for a while, in which the entry of a server expired. The first read
// after that reaches the process late, with the entry that the server has written again, if it has.
type returnedStore struct {
	started time.Time
	late    time.Duration
	written bool
}

func (s *returnedStore) away() bool {
	since := time.Since(s.started)
	return since >= outageStart && since < outageEnd
}

func (s *returnedStore) Snapshot(_ context.Context, p record.Partition) (record.Snapshot, error) {
	switch {
	case s.away():
		return record.Snapshot{}, errors.New("unreachable")
	case p.Topic == operatorTopic:
		return record.Snapshot{Records: []record.Record{{Key: "config", Value: config(1)}}, Next: 1}, nil
	case time.Since(s.started) < outageStart:
		return record.Snapshot{Records: []record.Record{{Key: "i-1", Value: server("ready")}}, Next: 1}, nil
	}
	return record.Snapshot{Next: 2}, nil
}

func (s *returnedStore) Read(ctx context.Context, r record.Read) (record.Batch, error) {
	if s.away() {
		return record.Batch{}, errors.New("unreachable")
	}
	if r.From == 2 && s.written && s.late > 0 {
		time.Sleep(s.late)
		entry := []byte(`{"service":"s1","address":"10.128.0.9:8080","zone":"z","version":"v1","max_concurrency":4,"state":"ready","warmup_left_ms":0,"sequence":5}`)
		return record.Batch{Records: []record.Record{{Key: "i-1", Value: entry, Offset: 2}}, Next: 3, End: 3}, nil
	}
	select {
	case <-time.After(r.Wait):
	case <-ctx.Done():
	}
	return record.Batch{Next: r.From, End: r.From}, nil
}

// TestServerGoneByLateRead guards against servers that count as gone after an outage of the list, as the process has not
// read in time that they are listed again, and against ones that don't although they are missing.
func TestServerGoneByLateRead(t *testing.T) {
	for _, tt := range []struct {
		name    string
		late    time.Duration
		written bool
		want    int
	}{
		{"listed again in time", 100 * time.Millisecond, true, 1},
		{"listed again, read 4 s late", 4 * time.Second, true, 1},
		{"listed again, read 10 s late", 10 * time.Second, true, 1},
		{"missing", 0, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &returnedStore{started: time.Now(), late: tt.late, written: tt.written}
				c := catalog.New(hclog.NewNullLogger(), store, platform.Codec{}, catalog.WithBounds(2*time.Second, 2*time.Second))
				if err := c.Start(t.Context(), nil); err != nil {
					t.Fatal(err)
				}
				lowest, last := 1, 0
				time.Sleep(time.Second)
				for range 200 {
					time.Sleep(100 * time.Millisecond)
					c.WithBalancer("s1", func(b *balance.Balancer) { last = b.Available(time.Now()) })
					lowest = min(lowest, last)
				}
				if lowest != tt.want || last != tt.want {
					t.Errorf("%d servers are usable at least and %d at the end, want %d", lowest, last, tt.want)
				}
				if err := c.Close(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}
