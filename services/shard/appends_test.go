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
	// requestsPerEntry is the number of requests per second at each entry.
	requestsPerEntry = 10
	loadTime         = 5 * time.Second
	workspaces       = 40
)

// rates are the measured costs of a load.
type rates struct {
	// appends is the number of appends per second of all processes together.
	appends float64
	// minKBps and maxKBps are the transfer rates of the least and the most loaded
	// node, for records and calls to peers, in KB per second.
	minKBps, maxKBps float64
	bills            int64
}

// node is a process with the number of bytes that it has transferred.
type node struct {
	client *ledger.Client
	bytes  func() int64
}

// nodes starts n processes, with shard hosts if owned is true.
func (env *testEnv) nodes(n int, owned bool) []node {
	var all []node
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		if owned {
			e := env.join(name)
			all = append(all, node{client: e.client, bytes: func() int64 {
				return e.clientLog.totalBytes() + e.hostLog.totalBytes() + env.net.BodyBytes(e.member.Address)
			}})
			continue
		}
		l := newPausableLog(env.log)
		c := ledger.New(name+"/1", l, ledger.WithShards(shards))
		if err := c.Start(context.Background(), nil); err != nil {
			env.t.Fatal(err)
		}
		env.t.Cleanup(func() {
			if err := c.Close(); err != nil {
				env.t.Error(err)
			}
		})
		all = append(all, node{client: c, bytes: l.totalBytes})
	}
	return all
}

// runLoad runs requests at n entries for loadTime. Each request takes a hold and
// posts a bill.
func runLoad(t *testing.T, n int, owned bool) (r rates) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		nodes := env.nodes(n, owned)
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
		appends, began := env.log.Appends(), time.Now()
		var done sync.WaitGroup
		for i, n := range nodes {
			done.Go(func() { runRequests(t, n.client, i) })
		}
		done.Wait()
		seconds := time.Since(began).Seconds()
		r.appends = float64(env.log.Appends()-appends) / seconds
		r.minKBps = math.MaxFloat64
		for i, n := range nodes {
			kilobytes := float64(n.bytes()-before[i]) / 1000 / seconds
			r.minKBps, r.maxKBps = min(r.minKBps, kilobytes), max(r.maxKBps, kilobytes)
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

// runRequests runs the requests of one entry. Entries start at different offsets
// within the request interval.
func runRequests(t *testing.T, c *ledger.Client, number int) {
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

// TestAppendRate compares the append rates of fleets with and without shard owners.
// With owners, the rate is bounded by the append interval of each shard.
func TestAppendRate(t *testing.T) {
	perShard := float64(time.Second / stream.DefaultAppendInterval)
	t.Logf("%d requests per second and entry, %d shards, %d workspaces", requestsPerEntry, shards, workspaces)
	t.Logf("entries requests/s | without owners: appends/s, max KB/s of a node | with owners: appends/s, min and max KB/s of a node")
	for _, n := range []int{4, 8, 16, 32} {
		without, with := runLoad(t, n, false), runLoad(t, n, true)
		t.Logf("%7d %10d | %10.1f %10.1f | %10.1f %10.1f %10.1f", n, n*requestsPerEntry,
			without.appends, without.maxKBps, with.appends, with.minKBps, with.maxKBps)
		// The first append of each shard does not wait for the interval, hence + 1.
		if bound := shards * (perShard + 1); with.appends > bound {
			t.Errorf("%d entries with owners: %.1f appends per second, more than %.0f", n, with.appends, bound)
		}
		want := int64(n) * requestsPerEntry * int64(loadTime.Seconds())
		if with.bills != want || without.bills != want {
			t.Errorf("%d entries: %d bills with owners, %d without, want %d", n, with.bills, without.bills, want)
		}
	}
}
