package catalog_test

import (
	"bytes"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/modules/uptime"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/services/catalog"
	"github.com/crocusline/crocusline/standin/site"
)

// TestRequestSentByViewFromBeforePause guards against work that begins with the view from before a pause though a newer
// one is on its way, and against work that waits for the store while that is away.
func TestRequestSentByViewFromBeforePause(t *testing.T) {
	const bound, roundTrip = 2 * time.Second, 10 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		clock := uptime.NewClockWith(func() time.Duration { return time.Duration(suspended.Load()) })
		store := site.NewStore()
		store.Put(operatorTopic, "config", config(1))
		client := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:80"), metric.New(), platform.WithTransport(site.NewTransport(store, roundTrip)))
		c := catalog.New(hclog.NewNullLogger(), client, platform.Codec{}, catalog.WithBounds(bound, bound), catalog.WithClock(clock))
		if err := c.Start(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		await := func(name string, waited bool, least, most time.Duration) {
			t.Helper()
			start := time.Now()
			got := c.AwaitServers(t.Context())
			if took := time.Since(start); got != waited || took < least || took > most {
				t.Errorf("%s: waited %t for %s, want %t for %s to %s", name, got, took, waited, least, most)
			}
		}
		await("calm", false, 0, 0)
		// The pauses begin at different phases of the reads.
		for range 10 {
			suspended.Add(int64(4 * time.Second))
			await("after a pause", true, time.Millisecond, 150*time.Millisecond)
			time.Sleep(2*time.Second + 70*time.Millisecond)
			await("a while later", false, 0, 0)
		}
		store.SetFault(site.Unavailable)
		time.Sleep(5 * time.Second)
		await("without the store", false, 0, 0)
		suspended.Add(int64(4 * time.Second))
		await("after a pause without the store", false, 0, 0)
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		time.Sleep(bound)
	})
}

// TestRequestGoesByTablesThatAreReplaced guards against work that begins with the tables from before a pause while the
// response with newer ones arrives, and against work that waits again and again while a long one does.
func TestRequestGoesByTablesThatAreReplaced(t *testing.T) {
	const (
		bound     = 2 * time.Second
		roundTrip = 10 * time.Millisecond
		bandwidth = 1_000_000
	)
	for name, transfer := range map[string]time.Duration{"short response": 100 * time.Millisecond, "long response": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var suspended atomic.Int64
				clock := uptime.NewClockWith(func() time.Duration { return time.Duration(suspended.Load()) })
				store := site.NewStore()
				store.Put(operatorTopic, "config", config(1))
				client := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:80"), metric.New(),
					platform.WithTransport(site.NewTransport(store, roundTrip, site.WithLink(site.NewLink(bandwidth)))))
				c := catalog.New(hclog.NewNullLogger(), client, platform.Codec{}, catalog.WithBounds(bound, bound), catalog.WithClock(clock))
				if err := c.Start(t.Context(), nil); err != nil {
					t.Fatal(err)
				}
				time.Sleep(5 * time.Second)
				for version := 2; version < 6; version++ {
					value := append(config(version), bytes.Repeat([]byte(" "), int(transfer.Seconds()*bandwidth))...)
					store.Put(operatorTopic, "config", value)
					time.Sleep(transfer / 2)
					if got := int(c.Table().Version); got != version-1 {
						t.Fatalf("version %d is in force while version %d arrives", got, version)
					}
					suspended.Add(int64(4 * time.Second))
					start := time.Now()
					waited := c.AwaitTables(t.Context())
					if took := time.Since(start); !waited || took > 150*time.Millisecond {
						t.Errorf("waited %t for %s for a response that arrives", waited, took)
					}
					if transfer < 150*time.Millisecond {
						if got := int(c.Table().Version); got != version {
							t.Errorf("work begins by version %d while version %d arrives", got, version)
						}
					} else if c.AwaitTables(t.Context()) {
						t.Error("waited again for a response that takes long")
					}
					time.Sleep(3 * transfer)
				}
				if err := c.Close(); err != nil {
					t.Error(err)
				}
				time.Sleep(bound)
			})
		})
	}
}
