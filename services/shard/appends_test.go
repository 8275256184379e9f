package shard_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	model "github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/services/ledger"
	"github.com/crocusline/crocusline/services/stream"
)

const (
	// requestsPerEntry is the load of one entry in requests per second.
	requestsPerEntry = 10
	loadTime         = 5 * time.Second
	workspaces       = 40
)

// rates are what a load cost.
type rates struct {
	// appends per second, of all processes together.
	appends float64
	bills   int64
}

// load has n entries serve requests for a while, each a hold and a bill.
func load(t *testing.T, n int, owned bool) (r rates) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		var clients []*ledger.Client
		for i := range n {
			name := fmt.Sprintf("e%d", i)
			if owned {
				clients = append(clients, w.join(name).client)
				continue
			}
			c := ledger.New(name+"/1", w.log, ledger.WithShards(shards))
			if err := c.Start(context.Background(), nil); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				if err := c.Close(); err != nil {
					t.Error(err)
				}
			})
			clients = append(clients, c)
		}
		time.Sleep(10 * time.Second)
		for i := range workspaces {
			name := fmt.Sprintf("w%d", i)
			entry := model.TopUp{ID: name, Workspace: name, Tokens: 10_000_000}
			if err := clients[0].Post(t.Context(), clients[0].ShardOf(name), entry); err != nil {
				t.Fatal(err)
			}
		}
		before, began := w.log.Appends(), time.Now()
		var done sync.WaitGroup
		for i, c := range clients {
			done.Go(func() { serve(t, c, i) })
		}
		done.Wait()
		r.appends = float64(w.log.Appends()-before) / time.Since(began).Seconds()
		time.Sleep(time.Second)
		for i := range workspaces {
			b, err := clients[0].Budget(t.Context(), fmt.Sprintf("w%d", i))
			if err != nil {
				t.Fatal(err)
			}
			r.bills += b.Bills
		}
	})
	return r
}

// serve is the load of one entry. The requests of two entries fall apart by a
// part of their interval.
func serve(t *testing.T, c *ledger.Client, number int) {
	interval := time.Second / requestsPerEntry
	time.Sleep(time.Duration(number*7) * time.Millisecond % interval)
	var done sync.WaitGroup
	for i := range int(loadTime / interval) {
		workspace := fmt.Sprintf("w%d", (i*7+number*13)%workspaces)
		done.Go(func() {
			hold, err := c.Reserve(t.Context(), workspace, 100)
			if err != nil {
				t.Error(err)
				return
			}
			time.Sleep(200 * time.Millisecond)
			bill := model.Bill{RequestID: fmt.Sprint(number, "-", i), Workspace: workspace, Hold: hold, Tokens: 60}
			if err := c.Post(t.Context(), hold.Shard, bill); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(interval)
	}
	done.Wait()
}

// TestAppendRate compares the appends of fleets with and without owners.
func TestAppendRate(t *testing.T) {
	perShard := float64(time.Second / stream.DefaultInterval)
	t.Logf("%d requests a second an entry, %d shards, %d workspaces", requestsPerEntry, shards, workspaces)
	t.Logf("entries  requests/s  appends/s without owner  with owner")
	for _, n := range []int{4, 8, 16, 32} {
		without, with := load(t, n, false), load(t, n, true)
		t.Logf("%7d  %10d  %23.1f  %10.1f", n, n*requestsPerEntry, without.appends, with.appends)
		// The first append of each shard waits for none.
		if bound := shards * (perShard + 1); with.appends > bound {
			t.Errorf("%d entries with owners: %.1f appends a second, more than %.0f", n, with.appends, bound)
		}
		want := int64(n) * requestsPerEntry * int64(loadTime.Seconds())
		if with.bills != want || without.bills != want {
			t.Errorf("%d entries: %d bills with owners, %d without, want %d", n, with.bills, without.bills, want)
		}
	}
}
