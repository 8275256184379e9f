package prepaid_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	model "github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/services/prepaid"
	"github.com/crocusline/crocusline/standin/site"
)

// killFleet is a fleet whose processes are all killed at once. They count what they spent.
type killFleet struct {
	*fleet
	mu sync.Mutex
	// spent includes cutOff, which is what requests in flight at a kill may have spent.
	spent      int64
	cutOff     int64
	services   []*prepaid.Service
	transports []*unreliableTransport
}

// startAll starts a process of each gateway.
func (k *killFleet) startAll(gateways int) {
	k.services, k.transports = nil, nil
	for i := range gateways {
		transport := &unreliableTransport{inner: site.NewTransport(k.store, storeLatency), rand: rand.New(rand.NewPCG(uint64(i), 0))}
		table := route.New(route.Contents{Workspaces: map[string]route.Workspace{"clinics": k.workspace}})
		k.services = append(k.services, k.newService(fmt.Sprintf("entry-%d", i), transport, tables{table}))
		k.transports = append(k.transports, transport)
	}
}

// loadAll sends requests to all gateways for the time. Those that are in flight then count as
// run in full.
func (k *killFleet) loadAll(tokens int64, duration time.Duration) {
	ctx, cancel := context.WithTimeout(k.Context(), duration)
	defer cancel()
	var loads sync.WaitGroup
	for _, s := range k.services {
		loads.Go(func() {
			for ctx.Err() == nil {
				go k.request(ctx, s, tokens)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	loads.Wait()
}

// request runs a request for half a second, and reports whether the gateway refused it for good.
func (k *killFleet) request(ctx context.Context, s *prepaid.Service, tokens int64) bool {
	hold, err := s.Reserve(ctx, k.workspace, "request", tokens)
	if err != nil || ctx.Err() != nil {
		r, _ := refusal.As(err)
		return r != nil && r.Reason == refusal.BudgetExhausted
	}
	k.mu.Lock()
	k.spent += tokens
	k.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	if ctx.Err() == nil {
		hold.Settle(tokens)
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cutOff += tokens
	return false
}

// TestSpentToTheEndAfterKillsOfAll kills all gateways three times, and checks that no more than the
// total is spent, and that a request is refused for good only once what isn't withheld for killed
// processes doesn't cover it.
func TestSpentToTheEndAfterKillsOfAll(t *testing.T) {
	const (
		gateways = 4
		total    = 2_000_000
		request  = 5_000
		kills    = 3
		pause    = 2 * time.Second
	)
	run(t, total, func(f *fleet) {
		k := &killFleet{fleet: f}
		k.startAll(gateways)
		for range kills {
			k.loadAll(request, 3*time.Second)
			for _, transport := range k.transports {
				transport.kill()
			}
			time.Sleep(pause)
			k.startAll(gateways)
		}
		time.Sleep(3 * time.Second)
		refused := false
		for range total / request {
			for _, gateway := range k.services {
				refused = k.request(f.Context(), gateway, request) || refused
			}
			if refused {
				break
			}
		}
		if !refused {
			f.Error("no request was refused for good")
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.spent > total {
			f.Errorf("spent %d of %d", k.spent, total)
		}
		b := k.services[0].Balance(f.workspace).Breakdown
		withheld := b.Tokens[model.EndedReserved] + b.Tokens[model.EndedPermitted] + b.Tokens[model.EndedUnreported]
		if rest := total - (k.spent - k.cutOff) - withheld; rest >= request {
			f.Errorf("refused for good with %d tokens neither spent nor withheld: %v", rest, b.Tokens)
		}
	})
}
