package shard_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/ledger"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
)

// sidecar is a sidecar that only implements Fence.
type sidecar struct {
	peerv1connect.UnimplementedSidecarServiceHandler
	member fleet.Member

	mu sync.Mutex
	// busy makes Fence report that not all holds are settled.
	busy bool
	// fenced is the number of Fence calls by entry.
	fenced map[string]int
	// unsettled is the number of holds in use by entry.
	unsettled map[string]int
}

// startUse starts to use a hold of the entry, unless the entry is fenced.
func (s *sidecar) startUse(entry string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fenced[entry] > 0 {
		return false
	}
	s.unsettled[entry]++
	return true
}

func (s *sidecar) settle(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsettled[entry]--
}

func (s *sidecar) Fence(_ context.Context, req *connect.Request[peerv1.FenceRequest]) (*connect.Response[peerv1.FenceResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fenced[req.Msg.GetEntry()]++
	settled := !s.busy && s.unsettled[req.Msg.GetEntry()] == 0
	return connect.NewResponse(&peerv1.FenceResponse{Settled: settled, Incarnation: s.member.Incarnation}), nil
}

func (s *sidecar) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

func (s *sidecar) fenceCalls(entry string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fenced[entry]
}

// sidecar starts a sidecar and registers it as a member.
func (env *testEnv) sidecar(name, generation string) *sidecar {
	address := env.address()
	s := &sidecar{
		member: fleet.Member{
			Incarnation: name + "/" + generation,
			Role:        fleet.Sidecar,
			Name:        name,
			Server:      name,
			Address:     address,
		},
		fenced:    map[string]int{},
		unsettled: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewSidecarServiceHandler(s))
	env.net.Serve(address, mux)
	env.fleet.publish(env.t, fleet.Register{Member: s.member})
	return s
}

// killHolder starts two entries, has one of them draw tokens and kills it.
func (env *testEnv) killHolder(tokens int64) (killed, live *entry) {
	killed, live = env.join("dead"), env.join("live")
	time.Sleep(10 * time.Second)
	topUp(env.t, live, "clinic", 1000)
	reserve(env.t, killed, "clinic", tokens)
	killed.kill()
	return killed, live
}

// waitForReturn waits until no tokens of the budget are outstanding. It returns the
// time that this took, and false if it took longer than the limit.
func waitForReturn(t *testing.T, e *entry, limit time.Duration) (time.Duration, bool) {
	t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		if budget(t, e, "clinic").Outstanding == 0 {
			return time.Since(began), true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return limit, false
}

func TestTokensOfKilledEntryAreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		sidecars := []*sidecar{env.sidecar("s1", "1"), env.sidecar("s2", "1")}
		killed, live := env.killHolder(400)
		if _, returned := waitForReturn(t, live, 20*time.Second); returned {
			t.Fatal("tokens were returned while the entry was a member")
		}
		env.fleet.publish(t, fleet.Fence{Incarnation: killed.member.Incarnation, By: "test"})
		elapsed, returned := waitForReturn(t, live, time.Minute)
		if !returned {
			t.Fatalf("tokens not returned after %s", elapsed)
		}
		t.Logf("tokens returned %s of virtual time after the entry was fenced", elapsed)
		for _, s := range sidecars {
			if s.fenceCalls(killed.member.Incarnation) == 0 {
				t.Errorf("%s did not fence the entry", s.member.Name)
			}
		}
	})
}

// TestTokensOfKilledOwnerAreReturned kills an entry that holds tokens and also owns
// the shard.
func TestTokensOfKilledOwnerAreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.sidecar("s1", "1")
		entries := []*entry{env.join("a"), env.join("b")}
		time.Sleep(10 * time.Second)
		topUp(t, entries[0], "clinic", 1000)
		killed, live := entries[0], entries[1]
		if owners(entries...)[killed.client.ShardOf("clinic")][0] != killed.member.Name {
			killed, live = live, killed
		}
		reserve(t, killed, "clinic", 400)
		killed.kill()
		env.fleet.publish(t, fleet.Fence{Incarnation: killed.member.Incarnation, By: "test"})
		elapsed, returned := waitForReturn(t, live, time.Minute)
		if !returned {
			t.Fatalf("tokens not returned after %s", elapsed)
		}
		t.Logf("tokens returned %s of virtual time after the entry was fenced", elapsed)
	})
}

func TestUnsettledHoldDelaysReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.sidecar("s1", "1")
		busy := env.sidecar("s2", "1")
		busy.setBusy(true)
		killed, live := env.killHolder(400)
		env.fleet.publish(t, fleet.Fence{Incarnation: killed.member.Incarnation, By: "test"})
		if elapsed, returned := waitForReturn(t, live, 30*time.Second); returned {
			t.Fatalf("tokens returned after %s while a hold was in use", elapsed)
		}
		busy.setBusy(false)
		elapsed, returned := waitForReturn(t, live, time.Minute)
		if !returned {
			t.Fatalf("tokens not returned after %s", elapsed)
		}
		t.Logf("tokens returned %s of virtual time after the last hold was settled", elapsed)
	})
}

func TestUnreachableSidecarDelaysReturnUntilReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.sidecar("s1", "1")
		disconnected := env.sidecar("s2", "1")
		killed, live := env.killHolder(400)
		env.net.SetPartitioned(disconnected.member.Address, true)
		env.fleet.publish(t, fleet.Fence{Incarnation: killed.member.Incarnation, By: "test"})
		if elapsed, returned := waitForReturn(t, live, 30*time.Second); returned {
			t.Fatalf("tokens returned after %s without the confirmation of a sidecar", elapsed)
		}
		// A confirmation of another incarnation doesn't cover the member.
		env.net.SetPartitioned(disconnected.member.Address, false)
		other := &sidecar{member: fleet.Member{Incarnation: "s2/0"}, fenced: map[string]int{}}
		mux := http.NewServeMux()
		mux.Handle(peerv1connect.NewSidecarServiceHandler(other))
		env.net.Serve(disconnected.member.Address, mux)
		if elapsed, returned := waitForReturn(t, live, 10*time.Second); returned || other.fenceCalls(killed.member.Incarnation) == 0 {
			t.Fatalf("after %s: tokens returned on another incarnation's confirmation: %v", elapsed, returned)
		}
		next := env.sidecar("s2", "2")
		elapsed, returned := waitForReturn(t, live, time.Minute)
		if !returned {
			t.Fatalf("tokens not returned after %s", elapsed)
		}
		t.Logf("tokens returned %s of virtual time after the sidecar was replaced", elapsed)
		if next.fenceCalls(killed.member.Incarnation) == 0 {
			t.Error("the new sidecar did not fence the entry")
		}
	})
}

func TestOnlyOwnerClosesHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		e := env.join("a")
		time.Sleep(10 * time.Second)
		err := e.post(0, ledger.CloseHolder{Holder: "a/1"})
		if connect.CodeOf(err) != connect.CodeInvalidArgument {
			t.Fatalf("error %v", err)
		}
	})
}

// TestReturnIsRetried disconnects the owner while a client returns its unused
// tokens.
func TestReturnIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		a, b := env.join("a"), env.join("b")
		time.Sleep(10 * time.Second)
		topUp(t, a, "clinic", 1000)
		owner, e := a, b
		if owners(a, b)[a.client.ShardOf("clinic")][0] == "b" {
			owner, e = b, a
		}
		e.client.Release("clinic", reserve(t, e, "clinic", 400))
		time.Sleep(4500 * time.Millisecond)
		env.net.SetPartitioned(owner.member.Address, true)
		time.Sleep(2500 * time.Millisecond)
		env.net.SetPartitioned(owner.member.Address, false)
		if elapsed, returned := waitForReturn(t, owner, 20*time.Second); !returned {
			t.Fatalf("tokens not returned after %s", elapsed)
		}
	})
}

func TestCloseReturnsTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		a, b := env.join("a"), env.join("b")
		time.Sleep(10 * time.Second)
		topUp(t, a, "clinic", 1000)
		a.client.Release("clinic", reserve(t, a, "clinic", 400))
		if got := budget(t, b, "clinic"); got.Outstanding == 0 {
			t.Fatalf("budget %+v", got)
		}
		a.close()
		if got := budget(t, b, "clinic"); got.Outstanding != 0 {
			t.Fatalf("budget %+v after the entry was closed", got)
		}
	})
}
