package catalog_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/notice"
	"github.com/crocusline/crocusline/services/catalog"
)

// TestColdServer guards against cold servers of which the board doesn't learn, or for which no heartbeats are
// requested, and against heartbeats where cold servers have no limit.
func TestColdServer(t *testing.T) {
	for _, limit := range []float64{5.2, 0} {
		t.Run(fmt.Sprintf("limit %g", limit), func(t *testing.T) {
			f := newFixture(t, catalog.WithInstance("g"), catalog.WithColdTolerance(1.5, 5))
			var notices atomic.Int64
			f.catalog.OnNotice(func() { notices.Add(1) })
			f.store.Put(operatorTopic, "config", fmt.Appendf(nil, `{"version":1,"services":[{"name":"s1","warmup_s":60,"cold_per_s":%g}]}`, limit))
			f.store.Put(serversTopic, "i-1", []byte(`{"service":"s1","address":"10.128.0.9:8080","zone":"z","version":"v1","max_concurrency":4,"state":"ready","warmup_left_ms":60000,"sequence":4}`))
			f.eventually("ready", f.catalog.Ready)
			if limit > 0 {
				f.eventually("cold", func() bool { return f.catalog.ColdServers() == 1 })
			}
			f.catalog.WithBoard(func(b *notice.Board) {
				if got := b.Limited(time.Now()); got != (limit > 0) {
					t.Errorf("limited is %t", got)
				}
			})
			if got := notices.Load() > 0; got != (limit > 0) {
				t.Errorf("heartbeats are requested: %t", got)
			}
		})
	}
}
