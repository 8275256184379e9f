package catalog_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/record"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/services/catalog"
	"github.com/crocusline/crocusline/standin/site"
)

// noStore is a store that can't be reached.
type noStore struct{}

func (noStore) Read(context.Context, record.Read) (record.Batch, error) {
	return record.Batch{}, errors.New("unreachable")
}

func (noStore) Snapshot(context.Context, record.Partition) (record.Snapshot, error) {
	return record.Snapshot{}, errors.New("unreachable")
}

// TestTablesOfOutdatedPeer guards against a gateway that starts without the store, gets tables that a peer has
// not read for long, and takes them for current, as it has been running for less than the bound.
func TestTablesOfOutdatedPeer(t *testing.T) {
	const bound = 8 * time.Second
	for _, tt := range []struct {
		age  time.Duration
		want bool
	}{{time.Second, true}, {20 * time.Second, false}, {time.Hour, false}} {
		t.Run(tt.age.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := fixedPeers{catalog.Snapshot{Tables: record.Record{Key: "config", Value: config(3)}, TablesAge: &tt.age}}
				c := catalog.New(hclog.NewNullLogger(), noStore{}, platform.Codec{}, catalog.WithPeers(peers), catalog.WithBounds(bound, 0))
				if err := c.Start(t.Context(), nil); err != nil {
					t.Fatal(err)
				}
				time.Sleep(3 * time.Second)
				if c.Table() == nil {
					t.Error("no tables after 3 s")
				}
				if got := c.Current(); got != tt.want {
					t.Errorf("tables that a peer read %s ago count as current: %t", tt.age, got)
				}
				if err := c.Close(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestCalmTablesAreCurrent checks that tables count as current while the store responds, however often they
// change.
func TestCalmTablesAreCurrent(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 8 * time.Second} {
		for _, interval := range []time.Duration{0, 100, 350, 680, 699, 710, 890, 2380} {
			interval *= time.Millisecond
			t.Run(fmt.Sprintf("bound %s, changes every %s", bound, interval), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runCalm(t, bound, interval) })
			})
		}
	}
}

// runCalm runs a catalog for a minute, in which the tables change after each interval.
func runCalm(t *testing.T, bound, interval time.Duration) {
	const (
		length    = time.Minute
		step      = 10 * time.Millisecond
		roundTrip = 10 * time.Millisecond
	)
	store := site.NewStore()
	store.Put(operatorTopic, "config", config(1))
	client := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:80"), metric.New(), platform.WithTransport(site.NewTransport(store, roundTrip)))
	c := catalog.New(hclog.NewNullLogger(), client, platform.Codec{}, catalog.WithBounds(bound, bound))
	if err := c.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	oldest, version := time.Duration(0), 1
	for now := time.Duration(0); now < length; now += step {
		if interval > 0 && now%interval < step {
			version++
			store.Put(operatorTopic, "config", config(version))
		}
		oldest = max(oldest, c.Age())
		if !c.Current() {
			t.Errorf("not current %s after the state is known to have been that of the store", c.Age())
			break
		}
		time.Sleep(step)
	}
	t.Logf("oldest state: %s", oldest)
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	time.Sleep(bound)
}

// startedServer returns the record of a start of the server i-1.
func startedServer(start int) []byte {
	return fmt.Appendf(nil, `{"service":"s1","address":"10.128.0.9:8080","zone":"z","version":"v%[1]d","max_concurrency":4,"state":"ready","warmup_left_ms":0,"sequence":4,"born":%[1]d}`, start)
}

// listedStart returns the start of the only server of the pool that is usable, or 0.
func listedStart(c *catalog.Service) int64 {
	var start int64
	c.WithBalancer("s1", func(b *balance.Balancer) {
		if choice, ok := b.Choose(time.Now(), balance.Request{}); ok {
			start = choice.Server.Started
		}
	})
	return start
}

// TestPeerListOfEarlierEra guards against lists of servers that a peer read before the store returned from a
// copy and that replace newer ones, as offsets go back then, and against newer lists of peers that are ignored.
func TestPeerListOfEarlierEra(t *testing.T) {
	list := func(era, next int64, start int) catalog.Snapshot {
		return catalog.Snapshot{Servers: []record.Record{{Key: "i-1", Value: startedServer(start), Offset: next - 1}}, Era: era, NextOffset: next}
	}
	for _, tt := range []struct {
		name string
		peer catalog.Snapshot
		want int64
	}{
		{"earlier era, more records", list(1, 90, 1), 2},
		{"earlier era, fewer records", list(1, 1, 1), 2},
		{"same era, fewer records", list(2, 1, 1), 2},
		{"same era, more records", list(2, 90, 3), 3},
		{"later era, fewer records", list(3, 1, 3), 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := site.NewStore()
				store.Put(operatorTopic, "config", config(1))
				store.Copy()
				store.Put(serversTopic, "i-1", startedServer(1))
				client := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:80"), metric.New(), platform.WithTransport(site.NewTransport(store, time.Millisecond)))
				c := catalog.New(hclog.NewNullLogger(), client, platform.Codec{}, catalog.WithPeers(fixedPeers{tt.peer}))
				if err := c.Start(t.Context(), nil); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * time.Second)
				store.Restore()
				store.Put(serversTopic, "i-1", startedServer(2))
				store.Put(serversTopic, "i-1", startedServer(2))
				time.Sleep(5 * time.Second)
				if got := listedStart(c); got != 2 {
					t.Errorf("start %d is listed before the store is away, want 2", got)
				}
				store.SetFault(site.Unavailable)
				time.Sleep(10 * time.Second)
				if got := listedStart(c); got != tt.want {
					t.Errorf("start %d is listed, want %d", got, tt.want)
				}
				if err := c.Close(); err != nil {
					t.Error(err)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// lateStore is a store whose answers to reads of the servers reach the process late.
type lateStore struct{ late time.Duration }

func (lateStore) Snapshot(context.Context, record.Partition) (record.Snapshot, error) {
	return record.Snapshot{Records: []record.Record{{Key: "i-1", Value: startedServer(1)}}, Next: 1, Era: 1}, nil
}

func (s lateStore) Read(ctx context.Context, r record.Read) (record.Batch, error) {
	if r.From > 1 {
		<-ctx.Done()
		return record.Batch{}, ctx.Err()
	}
	time.Sleep(s.late)
	return record.Batch{Records: []record.Record{{Key: "i-1", Value: startedServer(2), Offset: 1}}, Next: 2, End: 2, Era: 1}, nil
}

// TestLateResponseOlderThanPeerList guards against records that replace those of a peer's newer list, as the
// process handles a response late.
func TestLateResponseOlderThanPeerList(t *testing.T) {
	for _, late := range []time.Duration{0, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			newer := catalog.Snapshot{Tables: record.Record{Key: "config", Value: config(1)}, Servers: []record.Record{{Key: "i-1", Value: startedServer(3), Offset: 2}}, Era: 1, NextOffset: 3}
			c := catalog.New(hclog.NewNullLogger(), lateStore{late: late}, platform.Codec{}, catalog.WithPeers(fixedPeers{newer}))
			if err := c.Start(t.Context(), nil); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Second)
			if got := listedStart(c); got != 3 {
				t.Errorf("start %d is listed by a response that came after %s, want 3", got, late)
			}
			if err := c.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestUndecodableTablesOfPeer guards against tables that count as current because a peer has sent newer ones that can't
// be decoded.
func TestUndecodableTablesOfPeer(t *testing.T) {
	const bound = 3 * time.Second
	for name, tt := range map[string]struct {
		tables record.Record
		want   bool
	}{
		"newer":       {record.Record{Key: "config", Value: config(2)}, true},
		"none newer":  {record.Record{}, true},
		"undecodable": {record.Record{Key: "config", Value: []byte(`{"version":"two"}`)}, false},
		"other key":   {record.Record{Key: "other", Value: config(2)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, age := site.NewStore(), 10*time.Millisecond
				store.Put(operatorTopic, "config", config(1))
				client := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:80"), metric.New(), platform.WithTransport(site.NewTransport(store, time.Millisecond)))
				c := catalog.New(hclog.NewNullLogger(), client, platform.Codec{}, catalog.WithBounds(bound, bound),
					catalog.WithPeers(fixedPeers{catalog.Snapshot{Tables: tt.tables, TablesAge: &age}}))
				if err := c.Start(t.Context(), nil); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * time.Second)
				store.SetFault(site.Unavailable)
				time.Sleep(2 * bound)
				if got := c.Current(); got != tt.want {
					t.Errorf("version %d counts as current: %t", c.Table().Version, got)
				}
				if err := c.Close(); err != nil {
					t.Error(err)
				}
				time.Sleep(bound)
			})
		})
	}
}
