package takeover_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/models/takeover"
)

func gateway(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", n+1))
}

// TestStreamResumedSeveralTimes guards against attempts that stay open at a gateway which resumed a stream in between,
// and which the record of the stream doesn't name.
func TestStreamResumedSeveralTimes(t *testing.T) {
	const gateways, resumptions = 6, 12
	now := time.Unix(1_000_000, 0)
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 0))
		id := lineage.NewID("clinics", fmt.Sprint(seed))
		registries := make([]*takeover.Registry, gateways)
		open := make([][]int64, gateways)
		for i := range registries {
			registries[i] = takeover.NewRegistry()
		}
		began := r.IntN(gateways)
		open[began] = append(open[began], registries[began].Begin(id))
		for n := range resumptions {
			now = now.Add(time.Second)
			at := r.IntN(gateways)
			attempt := registries[at].Begin(id)
			ended := registries[at].Before(id, attempt)
			for _, a := range ended {
				registries[at].End(id, a)
			}
			open[at] = slices.DeleteFunc(open[at], func(a int64) bool { return slices.Contains(ended, a) })
			search := takeover.NewSearch(gateway(at), gateway(began), registries[at].Successor(id))
			for g, ok := search.Next(); ok; g, ok = search.Next() {
				i := int(g.Addr().As4()[3]) - 1
				attempts, successor := registries[i].Supersede(now, id, gateway(at))
				search.Record(takeover.Answer{Successor: successor, Recorded: i == began})
				for _, a := range attempts {
					registries[i].End(id, a)
				}
				open[i] = slices.DeleteFunc(open[i], func(a int64) bool { return slices.Contains(attempts, a) })
			}
			for i, attempts := range open {
				if len(attempts) > 0 {
					t.Fatalf("seed %d, resumption %d at %d: gateway %d has %d open attempts", seed, n, at, i, len(attempts))
				}
			}
			open[at] = append(open[at], attempt)
		}
	}
}

// TestSearchEnds checks that gateways that name each other as successors are asked once.
func TestSearchEnds(t *testing.T) {
	s := takeover.NewSearch(gateway(0), gateway(1), gateway(0), netip.AddrPort{})
	asked := 0
	for g, ok := s.Next(); ok; g, ok = s.Next() {
		asked++
		for n := range 100 {
			s.Add(gateway(n))
		}
		s.Add(g)
	}
	if asked < 2 || asked > 10 {
		t.Errorf("%d gateways were asked", asked)
	}
}
