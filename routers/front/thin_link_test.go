package front_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/routers/front"
	"github.com/crocusline/crocusline/services/catalog"
	"github.com/crocusline/crocusline/standin/site"
)

const operatorTopic = "keyed.op"

// fewRoutes returns tables without routes.
func fewRoutes(version int) []byte { return fmt.Appendf(nil, `{"version":%d}`, version) }

// manyRoutes returns tables of about 0.8 MB.
func manyRoutes(version int) []byte {
	routes := make([]string, 4200)
	for i := range routes {
		routes[i] = fmt.Sprintf(`{"name":"route-%d","host":"a.example","path_prefix":"/p%d/","type":"idempotent","service":"s1",`+
			`"timeout_ms":800,"goal_ms":300,"max_attempts":2,"priority":2,"public":true,"resumable":false}`, i, i)
	}
	return fmt.Appendf(nil, `{"version":%d,"services":[{"name":"s1"}],"routes":[%s]}`, version, strings.Join(routes, ","))
}

// newThinGateway starts a catalog in virtual time that reads from the store over the link.
func newThinGateway(t *testing.T, store *site.Store, link *site.Link, opts ...catalog.Option) *catalog.Service {
	t.Helper()
	client := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:80"), metric.New(),
		platform.WithTransport(site.NewTransport(store, 2*time.Millisecond, site.WithLink(link))))
	opts = append([]catalog.Option{catalog.WithBounds(3*time.Second, 3*time.Second)}, opts...)
	c := catalog.New(hclog.NewNullLogger(), client, platform.Codec{}, opts...)
	if err := c.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	return c
}

// closeAll closes the catalogs and waits until calls on their way have been served.
func closeAll(t *testing.T, catalogs ...*catalog.Service) {
	t.Helper()
	for _, c := range catalogs {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	}
	time.Sleep(time.Second)
}

// TestLargeTablesNeverInForceOverThinLink guards against tables whose transfer is given up
// and begun again without end, while callers leave a thin link little bandwidth.
func TestLargeTablesNeverInForceOverThinLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := site.NewStore()
		store.Put(operatorTopic, "config", fewRoutes(1))
		c := newThinGateway(t, store, site.NewLink(100_000))
		time.Sleep(2 * time.Second)
		store.Put(operatorTopic, "config", manyRoutes(2))
		time.Sleep(20 * time.Second)
		if v := c.Table().Version; v != 2 {
			t.Errorf("version %d is in force 20 s after version 2 was written", v)
		}
		closeAll(t, c)
	})
}

// countingHandler counts requests and the bytes of their responses.
type countingHandler struct {
	handler  http.Handler
	requests atomic.Int64
	bytes    atomic.Int64
}

func (h *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.requests.Add(1)
	h.handler.ServeHTTP(&countingWriter{w, &h.bytes}, r)
}

type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// newPeer starts a catalog with the records of the store and returns the handler of its
// snapshots, and a client of it over the link.
func newPeer(t *testing.T, store *site.Store, link *site.Link) (*catalog.Service, *countingHandler, *front.PeerClient) {
	t.Helper()
	c := newThinGateway(t, store, site.NewLink(1e9))
	h := &countingHandler{handler: front.NewPeerHandler(hclog.NewNullLogger(), c, nil, nil, nil)}
	transport := site.NewTransport(h, 2*time.Millisecond, site.WithLink(link))
	return c, h, front.NewPeerClient([]netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:80")}, front.WithTransport(transport))
}

// TestPeerSnapshotCompetesWithTables guards against snapshots of peers that take the link's
// bandwidth while the tables arrive from the store.
func TestPeerSnapshotCompetesWithTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, link := site.NewStore(), site.NewLink(300_000)
		store.Put(operatorTopic, "config", fewRoutes(1))
		other, h, peers := newPeer(t, store, link)
		c := newThinGateway(t, store, link, catalog.WithPeers(peers))
		time.Sleep(2 * time.Second)
		store.Put(operatorTopic, "config", manyRoutes(2))
		time.Sleep(5 * time.Second)
		if v := c.Table().Version; v != 2 || h.requests.Load() != 0 {
			t.Errorf("version %d is in force after %d snapshots of peers, want version 2 without any", v, h.requests.Load())
		}
		closeAll(t, c, other)
	})
}

// TestEvacuationBehindLargeTables guards against an evacuation that a gateway reads too late, as large tables arrive before
// it over a thin link, although peers have read it.
func TestEvacuationBehindLargeTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 5 * time.Second
		store, link := site.NewStore(), site.NewLink(100_000)
		store.Put(operatorTopic, "config", fewRoutes(1))
		other, _, peers := newPeer(t, store, site.NewLink(1e9))
		c := newThinGateway(t, store, link, catalog.WithPeers(peers), catalog.WithEvacuationBound(bound))
		time.Sleep(2 * time.Second)
		store.Put(operatorTopic, "config", manyRoutes(2))
		time.Sleep(time.Second)
		store.Put(operatorTopic, "evacuate/z", []byte("{}"))
		time.Sleep(bound)
		if v := c.Table().Version; v != 1 {
			t.Errorf("version %d has arrived already, the test needs a thinner link", v)
		}
		if got := c.Evacuated(); len(got) != 1 {
			t.Errorf("%q are evacuated %s after the record", got, bound)
		}
		closeAll(t, c, other)
	})
}

// TestPeerSnapshotNeverArrivesOverThinLink guards against snapshots of peers that are larger
// than the link carries in the time that a peer has to respond, and that are repeated though
// nothing changed.
func TestPeerSnapshotNeverArrivesOverThinLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, link := site.NewStore(), site.NewLink(1_250_000)
		store.Put(operatorTopic, "config", manyRoutes(2))
		other, h, peers := newPeer(t, store, link)
		time.Sleep(time.Second)
		unreachable := site.NewStore()
		unreachable.SetFault(site.Unavailable)
		c := newThinGateway(t, unreachable, link, catalog.WithPeers(peers))
		time.Sleep(10 * time.Second)
		if table := c.Table(); table == nil || table.Version != 2 {
			t.Error("the tables of the peer are not in force after 10 s")
		}
		if size := int64(len(manyRoutes(2))); h.bytes.Load() > 2*size {
			t.Errorf("the peer sent %d bytes in %d snapshots, want little more than the tables once, of %d bytes", h.bytes.Load(), h.requests.Load(), size)
		}
		closeAll(t, c, other)
	})
}
