package shard_test

import (
	"context"
	"fmt"
	"math"
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
	// client and host are what the least and the most loaded node moved of
	// records and of calls of peers, in KB per second.
	client, host float64
	bills        int64
}

// node is what a process moved, in bytes.
type node struct {
	client *ledger.Client
	bytes  func() int64
}

// nodes starts n processes, with hosts or without.
func (w *world) nodes(n int, owned bool) []node {
	var all []node
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		if owned {
			e := w.join(name)
			all = append(all, node{client: e.client, bytes: func() int64 {
				return e.clientGate.size() + e.hostGate.size() + w.net.BodyBytes(e.member.Address)
			}})
			continue
		}
		g := newGate(w.log)
		c := ledger.New(name+"/1", g, ledger.WithShards(shards))
		if err := c.Start(context.Background(), nil); err != nil {
			w.t.Fatal(err)
		}
		w.t.Cleanup(func() {
			if err := c.Close(); err != nil {
				w.t.Error(err)
			}
		})
		all = append(all, node{client: c, bytes: g.size})
	}
	return all
}

// load has n entries serve requests for a while, each a hold and a bill.
func load(t *testing.T, n int, owned bool) (r rates) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		nodes := w.nodes(n, owned)
		time.Sleep(10 * time.Second)
		first := nodes[0].client
		for i := range workspaces {
			name := fmt.Sprintf("w%d", i)
			entry := model.TopUp{ID: name, Workspace: name, Tokens: 10_000_000}
			if err := first.Post(t.Context(), first.ShardOf(name), entry); err != nil {
				t.Fatal(err)
			}
		}
		var before []int64
		for _, n := range nodes {
			before = append(before, n.bytes())
		}
		appends, began := w.log.Appends(), time.Now()
		var done sync.WaitGroup
		for i, n := range nodes {
			done.Go(func() { serve(t, n.client, i) })
		}
		done.Wait()
		seconds := time.Since(began).Seconds()
		r.appends = float64(w.log.Appends()-appends) / seconds
		r.client = math.MaxFloat64
		for i, n := range nodes {
			kilobytes := float64(n.bytes()-before[i]) / 1000 / seconds
			r.client, r.host = min(r.client, kilobytes), max(r.host, kilobytes)
		}
		time.Sleep(time.Second)
		for i := range workspaces {
			b, err := first.Budget(t.Context(), fmt.Sprintf("w%d", i))
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
	perShard := float64(time.Second / stream.DefaultAppendInterval)
	t.Logf("%d requests a second an entry, %d shards, %d workspaces", requestsPerEntry, shards, workspaces)
	t.Logf("entries requests/s | without owner: appends/s, KB/s a node | with owner: appends/s, KB/s least and most of a node")
	for _, n := range []int{4, 8, 16, 32} {
		without, with := load(t, n, false), load(t, n, true)
		t.Logf("%7d %10d | %10.1f %10.1f | %10.1f %10.1f %10.1f", n, n*requestsPerEntry,
			without.appends, without.host, with.appends, with.client, with.host)
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
