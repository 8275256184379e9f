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

const memory = 300_000

func newBalancer(n int, memory int64) *balance.Balancer {
	b := balance.New(balance.WithFailureDomain("a"))
	var servers []roster.Server
	for i := range n {
		servers = append(servers, roster.Server{ID: fmt.Sprintf("s%d", i), Slots: 64, FailureDomain: "a"})
	}
	b.SetServers(servers, memory)
	return b
}

func prompt(shared string) balance.Request {
	return balance.Request{
		Parts:        []call.PrefixSegment{{ID: shared, Tokens: 13_000}, {ID: "own", Tokens: 4_000}},
		PromptTokens: 17_000, Goal: time.Second, Idempotent: true,
	}
}

func choose(t *testing.T, b *balance.Balancer, now time.Time, w balance.Request) balance.Choice {
	t.Helper()
	c, ok := b.Choose(now, w)
	if !ok {
		t.Fatal("no server")
	}
	return c
}

// TestAffinity checks that entries that know nothing of each other send the same
// shared part to the same server, and different parts to different ones.
func TestAffinity(t *testing.T) {
	used := map[string]int{}
	for part := range 40 {
		name := fmt.Sprintf("part-%d", part)
		first := choose(t, newBalancer(9, memory), start, prompt(name))
		second := choose(t, newBalancer(9, memory), start, prompt(name))
		if first.Server.ID != second.Server.ID {
			t.Errorf("%s goes to %s and %s", name, first.Server.ID, second.Server.ID)
		}
		used[first.Server.ID]++
	}
	if len(used) < 7 {
		t.Errorf("40 parts use only %d of 9 servers", len(used))
	}
}

// TestHotPart replays a burst of one shared part: it spreads once the wait at its
// server is longer than reading the part again, and not before.
func TestHotPart(t *testing.T) {
	b := newBalancer(9, memory)
	used := map[string]int{}
	for range 12 {
		w := prompt("hot")
		c := choose(t, b, start, w)
		used[c.Server.ID]++
		b.RecordSent(start, c.Server.ID, w, c)
	}
	if len(used) < 2 || len(used) > 6 {
		t.Errorf("12 requests at once use %d servers", len(used))
	}
}

// TestQuarterFails replays a quarter of the servers gone at once.
func TestQuarterFails(t *testing.T) {
	b := newBalancer(8, 0)
	now := start
	for _, id := range []string{"s0", "s1"} {
		b.RecordUnreachable(now, id)
	}
	for range 200 {
		c := choose(t, b, now, balance.Request{Idempotent: true})
		if c.Server.ID == "s0" || c.Server.ID == "s1" {
			t.Fatalf("a server that can't be reached was chosen")
		}
	}
	if b.Available(now) != 6 {
		t.Errorf("%d servers are available, want 6", b.Available(now))
	}
	// Once the suspension is over, one request at a time tests each, none of them
	// one that must not be repeated.
	now = now.Add(time.Second)
	trials := 0
	for range 50 {
		c := choose(t, b, now, balance.Request{Idempotent: false})
		if c.Trial {
			t.Fatal("a request that must not be repeated tests a server")
		}
		w := balance.Request{Idempotent: true}
		c = choose(t, b, now, w)
		if c.Trial {
			trials++
		}
		b.RecordSent(start, c.Server.ID, w, c)
	}
	if trials != 2 {
		t.Errorf("%d requests test the two servers, want 2", trials)
	}
	b.RecordSuccess("s0")
	b.RecordEnd("s0", balance.Request{})
	if b.Available(now) != 8 {
		t.Errorf("%d servers are available, want 8", b.Available(now))
	}
}

// TestGreyServer replays a server that fails two in five requests while its health
// is good, beside others that fail one in seven: it gets fewer requests.
func TestGreyServer(t *testing.T) {
	b := newBalancer(3, 0)
	used := map[string]int{}
	for i := range 600 {
		w := balance.Request{Idempotent: true}
		c := choose(t, b, start, w)
		id := c.Server.ID
		used[id]++
		b.RecordSent(start, id, w, c)
		b.RecordEnd(id, w)
		if (id == "s0" && i%5 < 2) || (id != "s0" && i%7 == 0) {
			b.RecordFailure(id)
		} else {
			b.RecordSuccess(id)
		}
	}
	if used["s0"] > 100 {
		t.Errorf("the grey server got %d of 600 requests", used["s0"])
	}
}

func TestExclude(t *testing.T) {
	b := newBalancer(1, 0)
	if _, ok := b.Choose(start, balance.Request{Exclude: []string{"s0"}}); ok {
		t.Error("a server that was tried is chosen again")
	}
	b.SetServers(nil, 0)
	b.RecordSent(start, "s0", balance.Request{}, balance.Choice{})
	b.RecordFirstEvent(start, "s0", balance.Request{}, 0)
	b.RecordEnd("s0", balance.Request{})
	b.RecordFailure("s0")
	b.RecordSuccess("s0")
	b.RecordUnreachable(start, "s0")
}
