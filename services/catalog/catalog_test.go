package catalog_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/services/catalog"
	"github.com/crocusline/crocusline/standin/site"
)

const (
	operatorTopic = "keyed.op"
	serversTopic  = "keyed.servers"
)

func config(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[{"name":"s1","max_conns":9}],"tenants":[]}`, version)
}

func server(state string) []byte {
	return []byte(`{"service":"s1","address":"10.128.0.9:8080","zone":"z","version":"v1","max_concurrency":4,"state":"` + state + `","warmup_left_ms":0,"sequence":4}`)
}

// world is a store with one catalog that follows it.
type world struct {
	*testing.T
	store   *site.Store
	catalog *catalog.Service
}

func newWorld(t *testing.T, opts ...catalog.Option) *world {
	t.Helper()
	store := site.NewStore()
	web := httptest.NewServer(store)
	client := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://")), metric.New())
	c := catalog.New(hclog.NewNullLogger(), client, platform.Codec{}, opts...)
	if err := c.Start(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		_ = client.Close()
		web.CloseClientConnections()
		web.Close()
	})
	return &world{T: t, store: store, catalog: c}
}

func (w *world) eventually(what string, check func() bool) {
	w.Helper()
	for range 1000 {
		if check() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.Fatalf("not within 10 s: %s", what)
}

func (w *world) version() int64 {
	if t := w.catalog.Table(); t != nil {
		return t.Version
	}
	return 0
}

func (w *world) available() int {
	n := 0
	w.catalog.WithBalancer("s1", func(b *balance.Balancer) { n = b.Available(time.Now()) })
	return n
}

func TestFollows(t *testing.T) {
	w := newWorld(t)
	if w.catalog.Table() != nil {
		t.Error("there are tables before the first")
	}
	w.store.Put(operatorTopic, "config", config(3))
	w.store.Put(serversTopic, "i-1", server("ready"))
	w.store.Put(serversTopic, "i-2", []byte("not readable"))
	w.eventually("version 3 is in force", func() bool { return w.version() == 3 })
	w.eventually("one server is usable", func() bool { return w.available() == 1 })
	w.store.Put(operatorTopic, "config", config(2))
	w.store.Put(operatorTopic, "config", []byte("{"))
	w.store.Put(operatorTopic, "other", config(9))
	w.store.Put(operatorTopic, "config", config(5))
	w.eventually("version 5 is in force", func() bool { return w.version() == 5 })
	w.store.Put(serversTopic, "i-1", server("draining"))
	w.eventually("no server is usable", func() bool { return w.available() == 0 })
}

// TestNeverGoesBack checks that an older version that comes later is not adopted.
func TestNeverGoesBack(t *testing.T) {
	w := newWorld(t)
	w.store.Put(operatorTopic, "config", config(5))
	w.eventually("version 5 is in force", func() bool { return w.version() == 5 })
	w.store.Put(operatorTopic, "config", config(4))
	// Both topics were read again once some calls more were made.
	calls := w.store.Calls() + 8
	w.eventually("the store was read again", func() bool { return w.store.Calls() > calls })
	if w.version() != 5 {
		t.Errorf("version %d is in force, want 5", w.version())
	}
}

// TestExpiredRecords checks that records that went before they were read are made
// up for by the newest ones.
func TestExpiredRecords(t *testing.T) {
	w := newWorld(t)
	w.store.Put(operatorTopic, "config", config(1))
	w.store.Put(serversTopic, "i-1", server("ready"))
	w.store.Put(serversTopic, "i-2", server("ready"))
	w.eventually("two servers are usable", func() bool { return w.available() == 2 })
	w.store.SetFault(site.Busy)
	w.store.Put(operatorTopic, "config", config(2))
	w.store.Put(serversTopic, "i-2", nil)
	w.store.Put(serversTopic, "i-3", server("ready"))
	w.store.Expire(operatorTopic)
	w.store.Expire(serversTopic)
	w.store.SetFault(site.None)
	w.eventually("version 2 is in force", func() bool { return w.version() == 2 })
	w.eventually("i-1 and i-3 are usable", func() bool { return w.available() == 2 })
}

// fixedPeers gives one answer.
type fixedPeers struct{ snapshot catalog.Snapshot }

func (p fixedPeers) Snapshot(context.Context, int) (catalog.Snapshot, error) { return p.snapshot, nil }

// TestPeers checks that an entry that starts while the store is away learns from
// another one.
func TestPeers(t *testing.T) {
	other := newWorld(t)
	other.store.Put(operatorTopic, "config", config(4))
	other.store.Put(serversTopic, "i-1", server("ready"))
	other.eventually("the other entry knows a server", func() bool { return other.available() == 1 && other.version() == 4 })
	w := newWorld(t, catalog.WithPeers(fixedPeers{other.catalog.Snapshot()}))
	w.store.SetFault(site.Busy)
	w.eventually("tables and server come from the peer", func() bool { return w.version() == 4 && w.available() == 1 && w.catalog.Ready() })
}
