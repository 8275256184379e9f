package catalog_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/services/catalog"
	"github.com/crocusline/crocusline/standin/site"
)

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

// TestLargeTablesNeverInForceOverThinLink guards against tables whose transfer is given up
// and begun again for ever, while callers leave a thin link little bandwidth.
func TestLargeTablesNeverInForceOverThinLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := site.NewStore()
		store.Put(operatorTopic, "config", config(1))
		c := newThinGateway(t, store, site.NewLink(100_000))
		time.Sleep(2 * time.Second)
		store.Put(operatorTopic, "config", manyRoutes(2))
		time.Sleep(20 * time.Second)
		if v := c.Table().Version; v != 2 {
			t.Errorf("version %d is in force 20 s after version 2 was written", v)
		}
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
}
