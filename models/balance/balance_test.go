package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/call"
	"github.com/crocusline/crocusline/models/roster"
)

var start = time.Unix(1_700_000_000, 0)

const cacheTokens = 300_000

func newBalancer(n int, cacheTokens int64) *balance.Balancer {
	b := balance.New(balance.WithFailureDomain("a"))
	var servers []roster.Server
	for i := range n {
		servers = append(servers, roster.Server{ID: fmt.Sprintf("s%d", i), Slots: 64, FailureDomain: "a"})
	}
	b.SetServers(servers, cacheTokens)
	return b
}

func prompt(shared string) balance.Request {
	return balance.Request{
		Segments:     []call.PrefixSegment{{ID: shared, Tokens: 13_000}, {ID: "own", Tokens: 4_000}},
		PromptTokens: 17_000, Goal: time.Second, Idempotent: true,
	}
}

func choose(t *testing.T, b *balance.Balancer, now time.Time, r balance.Request) balance.Choice {
	t.Helper()
	c, ok := b.Choose(now, r)
	if !ok {
		t.Fatal("Choose found no server")
	}
	return c
}

// TestAffinity checks that gateways that share no state send the same shared
// segment to the same server, and different segments to different servers.
func TestAffinity(t *testing.T) {
	used := map[string]int{}
	for segment := range 40 {
		name := fmt.Sprintf("part-%d", segment)
		first := choose(t, newBalancer(9, cacheTokens), start, prompt(name))
		second := choose(t, newBalancer(9, cacheTokens), start, prompt(name))
		if first.Server.ID != second.Server.ID {
			t.Errorf("%s was sent to %s and %s", name, first.Server.ID, second.Server.ID)
		}
		used[first.Server.ID]++
	}
	if len(used) < 7 {
		t.Errorf("40 segments were sent to only %d of 9 servers", len(used))
	}
}

// TestHotSegment sends a burst of prompts with one shared segment. Requests must
// spread to other servers once waiting for the preferred server takes longer than
// processing the segment again, and not before.
func TestHotSegment(t *testing.T) {
	b := newBalancer(9, cacheTokens)
	used := map[string]int{}
	for range 12 {
		r := prompt("hot")
		c := choose(t, b, start, r)
		used[c.Server.ID]++
		b.RecordSent(start, c.Server.ID, r, c)
	}
	if len(used) < 2 || len(used) > 6 {
		t.Errorf("12 simultaneous requests were sent to %d servers, want 2 to 6", len(used))
	}
}

// TestQuarterFails makes a quarter of the servers unreachable at once.
func TestQuarterFails(t *testing.T) {
	b := newBalancer(8, 0)
	now := start
	for _, id := range []string{"s0", "s1"} {
		b.RecordUnreachable(now, id)
	}
	for range 200 {
		c := choose(t, b, now, balance.Request{Idempotent: true})
		if c.Server.ID == "s0" || c.Server.ID == "s1" {
			t.Fatalf("an unreachable server was chosen")
		}
	}
	if b.Available(now) != 6 {
		t.Errorf("%d servers are available, want 6", b.Available(now))
	}
	// After the suspension, one request at a time tests each server, and only an
	// idempotent one.
	now = now.Add(time.Second)
	trials := 0
	for range 50 {
		c := choose(t, b, now, balance.Request{Idempotent: false})
		if c.Trial {
			t.Fatal("a non-idempotent request tests a server")
		}
		r := balance.Request{Idempotent: true}
		c = choose(t, b, now, r)
		if c.Trial {
			trials++
		}
		b.RecordSent(start, c.Server.ID, r, c)
	}
	if trials != 2 {
		t.Errorf("%d requests tested the two servers, want 2", trials)
	}
	b.RecordSuccess("s0")
	b.RecordEnd("s0", balance.Request{})
	if b.Available(now) != 8 {
		t.Errorf("%d servers are available, want 8", b.Available(now))
	}
}

// TestOneTrialAtATime checks that requests sent before a server was suspended don't make room
// for further trials when they end.
func TestOneTrialAtATime(t *testing.T) {
	b := newBalancer(2, 0)
	const inFlight = 10
	for i := range inFlight {
		b.RecordSent(start, "s0", balance.Request{ID: fmt.Sprintf("before-%d", i), Idempotent: true}, balance.Choice{})
	}
	b.RecordUnreachable(start, "s0")
	now, trials := start.Add(time.Minute), 0
	for i := range inFlight {
		r := balance.Request{ID: fmt.Sprintf("after-%d", i), Idempotent: true}
		c := choose(t, b, now, r)
		b.RecordSent(now, c.Server.ID, r, c)
		if c.Server.ID == "s0" {
			trials++
		}
		b.RecordEnd("s0", balance.Request{ID: fmt.Sprintf("before-%d", i)})
	}
	if trials != 1 {
		t.Errorf("%d requests test the server at the same time, want 1", trials)
	}
}

// TestPartialFailure has one server fail two in five requests without becoming
// unreachable, while the others fail one in seven. It must get fewer requests.
func TestPartialFailure(t *testing.T) {
	b := newBalancer(3, 0)
	used := map[string]int{}
	for i := range 600 {
		r := balance.Request{Idempotent: true}
		c := choose(t, b, start, r)
		id := c.Server.ID
		used[id]++
		b.RecordSent(start, id, r, c)
		b.RecordEnd(id, r)
		if (id == "s0" && i%5 < 2) || (id != "s0" && i%7 == 0) {
			b.RecordFailure(id)
		} else {
			b.RecordSuccess(id)
		}
	}
	if used["s0"] > 100 {
		t.Errorf("the server that fails most got %d of 600 requests", used["s0"])
	}
}

func TestExclude(t *testing.T) {
	b := newBalancer(1, 0)
	if _, ok := b.Choose(start, balance.Request{Exclude: []string{"s0"}}); ok {
		t.Error("an excluded server was chosen")
	}
	b.SetServers(nil, 0)
	b.RecordSent(start, "s0", balance.Request{}, balance.Choice{})
	b.RecordFirstEvent(start, "s0", balance.Request{}, 0)
	b.RecordEnd("s0", balance.Request{})
	b.RecordFailure("s0")
	b.RecordSuccess("s0")
	b.RecordUnreachable(start, "s0")
}

// TestMaxRunning checks that a server with as many requests as this gateway has connections
// to it is not chosen, although it has the prompt cached.
func TestMaxRunning(t *testing.T) {
	b := newBalancer(3, cacheTokens)
	r := prompt("hot")
	r.MaxRunning = 4
	running := map[string]int{}
	for i := range 3 * r.MaxRunning {
		r.ID = fmt.Sprint(i)
		c := choose(t, b, start, r)
		b.RecordSent(start, c.Server.ID, r, c)
		running[c.Server.ID]++
	}
	for id, n := range running {
		if n != r.MaxRunning {
			t.Errorf("%d requests at %s, want %d", n, id, r.MaxRunning)
		}
	}
	if _, ok := b.Choose(start, r); ok {
		t.Error("a server was chosen beyond the connections to it")
	}
}
