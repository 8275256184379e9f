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
			search := takeover.NewSearch(gateway(at), append(registries[at].Successors(id), gateway(began))...)
			for g, ok := search.Next(); ok; g, ok = search.Next() {
				i := int(g.Addr().As4()[3]) - 1
				attempts, successors := registries[i].Supersede(now, id, gateway(at))
				search.Record(takeover.Answer{Successors: successors, Recorded: i == began})
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

// TestResponseToSuccessorLost guards against a chain of resumptions that breaks where a gateway asked and did not get
// the response: the one before it must still be found.
func TestResponseToSuccessorLost(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	id := lineage.NewID("clinics", "r1")
	first, second, third := takeover.NewRegistry(), takeover.NewRegistry(), takeover.NewRegistry()
	registries := map[string]*takeover.Registry{gateway(0).String(): first, gateway(1).String(): second, gateway(2).String(): third}
	first.Supersede(now, id, gateway(1))
	open := second.Begin(id)
	// The response to gateway 2 is lost, so that it doesn't learn of gateway 1.
	first.Supersede(now, id, gateway(2))
	third.Begin(id)
	search := takeover.NewSearch(gateway(3), gateway(0))
	ended := false
	for g, ok := search.Next(); ok; g, ok = search.Next() {
		attempts, before := registries[g.String()].Supersede(now, id, gateway(3))
		search.Add(before...)
		ended = ended || (g == gateway(1) && len(attempts) == 1 && attempts[0] == open)
	}
	if !ended {
		t.Error("the attempt at gateway 1 was not ended")
	}
}

// TestSuccessorsForgotten checks that successors are kept while callers may resume the stream, that those of the streams
// resumed first are forgotten at the bound, and that they expire without another takeover.
func TestSuccessorsForgotten(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := takeover.NewRegistry()
	stream := func(n int) lineage.ID { return lineage.NewID("clinics", fmt.Sprint(n)) }
	for n := range 5000 {
		now = now.Add(time.Millisecond)
		r.Supersede(now, stream(n), gateway(1))
	}
	held := 0
	for n := range 5000 {
		if r.Holds(stream(n)) {
			held++
		} else if held > 0 {
			t.Fatalf("stream %d was forgotten before one that was resumed earlier", n)
		}
	}
	if held < 4000 || held > 4200 {
		t.Errorf("%d streams are held", held)
	}
	for n := range 100 {
		r.Supersede(now, stream(4999), gateway(n))
	}
	got := r.Successors(stream(4999))
	if len(got) == 0 || len(got) > 10 || got[0] != gateway(99) {
		t.Errorf("the successors are %v", got)
	}
	r.Prune(now.Add(100 * time.Second))
	if !r.Holds(stream(4999)) {
		t.Error("successors were forgotten after 100 s")
	}
	r.Prune(now.Add(3 * time.Minute))
	for n := range 5000 {
		if r.Holds(stream(n)) {
			t.Fatalf("the successors of stream %d are held for 3 min", n)
		}
	}
}
