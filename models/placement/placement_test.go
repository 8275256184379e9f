package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusline/crocusline/models/placement"
	"github.com/crocusline/crocusline/models/queue"
	"github.com/crocusline/crocusline/models/rank"
	"github.com/crocusline/crocusline/models/refusal"
	_ "github.com/crocusline/crocusline/tests/fixedseed"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func servers(n int) []placement.Server {
	all := make([]placement.Server, n)
	for i := range all {
		all[i] = placement.Server{
			Name: fmt.Sprintf("s%02d", i), FailureDomain: fmt.Sprintf("d%d", i%3), Region: "north",
		}
	}
	return all
}

func full() queue.Load {
	l := queue.Load{Running: 8, Slots: 8}
	for r := range l.Wait {
		l.Queued[r], l.Ahead[r], l.Wait[r] = 4, 8+4*(r+1), time.Second
	}
	return l
}

func choose(t testing.TB, p *placement.Selector, now time.Time, r placement.Request) placement.Candidates {
	t.Helper()
	c, err := p.Choose(now, r)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestSamePrefixSameServer(t *testing.T) {
	p := placement.New(placement.WithLocation("d0", "north"))
	p.SetServers(servers(9))
	first := choose(t, p, epoch, placement.Request{Prompt: "report"})
	// Removing servers that were not selected must not change the selection.
	kept := slices.DeleteFunc(servers(9), func(s placement.Server) bool {
		return s.Name != first.Servers[0] && s.FailureDomain == "d1"
	})
	p.SetServers(kept)
	second := choose(t, p, epoch, placement.Request{Prompt: "report"})
	if first.Servers[0] != second.Servers[0] || !second.Preferred {
		t.Errorf("chose %v, then %v", first, second)
	}
}

func TestAvoidsFullServer(t *testing.T) {
	p := placement.New(placement.WithLocation("d0", "north"))
	p.SetServers(servers(9))
	r := placement.Request{Prompt: "report", Rank: rank.Normal}
	first := choose(t, p, epoch, r).Servers
	p.ObserveLoad(epoch, first[0], full())
	if got := choose(t, p, epoch, r); got.Servers[0] != first[1] || got.Preferred {
		t.Errorf("chose %v though %s is full", got, first[0])
	}
	for _, s := range first {
		p.ObserveLoad(epoch, s, full())
	}
	if got := choose(t, p, epoch, r); slices.Contains(first, got.Servers[0]) {
		t.Errorf("chose %v though %v are full", got, first)
	}
	// An old load report must have no effect.
	if got := choose(t, p, epoch.Add(time.Minute), r); got.Servers[0] != first[0] {
		t.Errorf("chose %v a minute later", got)
	}
}

// Requests with a frequent prefix must spread over several servers, and a server
// that reports free slots must be preferred again.
func TestFrequentPrefixSpreads(t *testing.T) {
	p := placement.New(placement.WithLocation("d0", "north"))
	p.SetServers(servers(9))
	for _, s := range servers(9) {
		p.ObserveLoad(epoch, s.Name, queue.Load{Slots: 16})
	}
	sent := map[string]int{}
	for range 90 {
		sent[choose(t, p, epoch, placement.Request{Prompt: "report"}).Servers[0]]++
	}
	for name, n := range sent {
		if n > 12 {
			t.Errorf("%s was selected for %d of 90 requests", name, n)
		}
	}
	p.ObserveLoad(epoch.Add(time.Second), "s00", queue.Load{Slots: 16})
	if got := choose(t, p, epoch.Add(time.Second), placement.Request{Prompt: "report"}); got.Servers[0] != "s00" {
		t.Errorf("chose %v though only s00 is idle", got)
	}
}

// A load report that may be late must not cover requests sent shortly before it.
func TestLoadReportDoesNotCoverRecentRequests(t *testing.T) {
	p := placement.New(placement.WithLoadLag(time.Second), placement.WithLoadMargin(1))
	p.SetServers(servers(2))
	idle := queue.Load{Slots: 4}
	p.ObserveLoad(epoch, "s00", idle)
	p.ObserveLoad(epoch, "s01", idle)
	first := choose(t, p, epoch, placement.Request{Prompt: "report"}).Servers[0]
	for range 3 {
		choose(t, p, epoch, placement.Request{Prompt: "report"})
	}
	for _, c := range []struct {
		after time.Duration
		same  bool
	}{{100 * time.Millisecond, false}, {2 * time.Second, true}} {
		p.ObserveLoad(epoch.Add(c.after), first, idle)
		got := choose(t, p, epoch.Add(c.after), placement.Request{Prompt: "report"}).Servers[0]
		if (got == first) != c.same {
			t.Errorf("chose %s after %v, first %s", got, c.after, first)
		}
	}
}

func TestPrefersOwnRegionAndDomain(t *testing.T) {
	p := placement.New(placement.WithLocation("d1", "south"))
	all := append(servers(6), placement.Server{Name: "z", FailureDomain: "d7", Region: "south"})
	p.SetServers(append(all, placement.Server{Name: "y", FailureDomain: "d1", Region: "south"}))
	for i := range 20 {
		c := choose(t, p, epoch, placement.Request{Prompt: fmt.Sprint(i)})
		if c.Servers[0] != "y" && c.Servers[0] != "z" {
			t.Errorf("prompt %d was sent to another region: %v", i, c.Servers)
		}
	}
	if c := choose(t, p, epoch, placement.Request{}); c.Servers[0] != "y" {
		t.Errorf("a request without a prompt was sent to another failure domain: %v", c.Servers)
	}
}

func TestFailedServerGetsOneProbe(t *testing.T) {
	p := placement.New(placement.WithBackoff(time.Second, 4*time.Second))
	p.SetServers(servers(1))
	now := epoch
	for _, wait := range []time.Duration{1, 2, 4, 4} {
		p.RecordFailure(now, "s00")
		c, err := p.Choose(now, placement.Request{})
		e, ok := refusal.As(err)
		if !ok || e.Reason != refusal.NoServer || e.RetryAfter != wait*time.Second || c.Probe != nil {
			t.Fatalf("after a failure: %v, %v", c, err)
		}
		now = now.Add(wait * time.Second)
		if c, err = p.Choose(now, placement.Request{}); err == nil || len(c.Probe) != 1 {
			t.Fatalf("after the backoff: %v, %v", c, err)
		}
		if c, _ = p.Choose(now, placement.Request{}); c.Probe != nil {
			t.Fatal("probed twice")
		}
	}
	p.RecordSuccess(now, "s00")
	choose(t, p, now, placement.Request{})
}

func TestPolicies(t *testing.T) {
	for policy := placement.Affinity; policy <= placement.Random; policy++ {
		t.Run(policy.String(), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				p := placement.New(placement.WithPolicy(policy), placement.WithCandidates(2))
				p.SetServers(servers(rapid.IntRange(1, 8).Draw(rt, "servers")))
				draining := rapid.SampledFrom([]string{"s00", "none"}).Draw(rt, "draining")
				p.ObserveLoad(epoch, draining, queue.Load{Slots: 8, Draining: true})
				failed := rapid.SampledFrom([]string{"s01", "none"}).Draw(rt, "failed")
				p.RecordFailure(epoch, failed)
				for i := range 10 {
					c, err := p.Choose(epoch, placement.Request{Prompt: fmt.Sprint(i), Exclude: []string{"s02"}})
					if err != nil {
						continue
					}
					for _, not := range []string{draining, failed, "s02"} {
						if slices.Contains(c.Servers, not) {
							rt.Fatalf("chose %v", c.Servers)
						}
					}
					if len(c.Servers) > 2 || len(c.Servers) == 2 && c.Servers[0] == c.Servers[1] {
						rt.Fatalf("chose %v", c.Servers)
					}
				}
			})
		})
	}
}

func ExampleSelector() {
	p := placement.New(placement.WithLocation("cairns", "qld-north"))
	p.SetServers([]placement.Server{
		{Name: "draft1", FailureDomain: "cairns", Region: "qld-north"},
		{Name: "draft2", FailureDomain: "mackay", Region: "qld-north"},
	})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p.RecordFailure(now, "draft1")
	c, err := p.Choose(now, placement.Request{Prompt: "Summarise the supply plan."})
	fmt.Println(c.Servers, err)
	// Output: [draft2] <nil>
}
