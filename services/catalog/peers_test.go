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
