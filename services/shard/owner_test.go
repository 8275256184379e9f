package shard_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/lease"
	model "github.com/crocusline/crocusline/models/ledger"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/services/ledger"
	"github.com/crocusline/crocusline/services/shard"
)

var _ kernel.Service = (*shard.Host)(nil)

func topUp(t *testing.T, e *entry, workspace string, tokens int64) {
	t.Helper()
	entry := model.TopUp{ID: workspace + "-1", Workspace: workspace, Tokens: tokens}
	if err := e.client.Post(t.Context(), e.client.ShardOf(workspace), entry); err != nil {
		t.Fatal(err)
	}
}

func reserve(t *testing.T, e *entry, workspace string, tokens int64) model.Hold {
	t.Helper()
	hold, err := e.client.Reserve(t.Context(), workspace, tokens)
	if err != nil {
		t.Fatal(err)
	}
	return hold
}

func bill(t *testing.T, e *entry, workspace, id string, hold model.Hold, tokens int64) {
	t.Helper()
	entry := model.Bill{RequestID: id, Workspace: workspace, Hold: hold, Tokens: tokens}
	if err := e.client.Post(t.Context(), hold.Shard, entry); err != nil {
		t.Fatal(err)
	}
}

func budget(t *testing.T, e *entry, workspace string) model.Budget {
	t.Helper()
	b, err := e.client.Budget(t.Context(), workspace)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestEachShardHasOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		entries := []*entry{env.join("a"), env.join("b"), env.join("c")}
		time.Sleep(10 * time.Second)
		env.checkOwners(entries...)
		for number, owner := range owners(entries...) {
			if want := lease.Order(number, []string{"a", "b", "c"})[0]; owner[0] != want {
				t.Errorf("shard %d is owned by %s, want %s", number, owner[0], want)
			}
		}
	})
}

func TestNewMemberTakesOverItsShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		a := env.join("a")
		time.Sleep(10 * time.Second)
		env.checkOwners(a)
		b, c := env.join("b"), env.join("c")
		time.Sleep(2 * time.Second)
		env.checkOwners(a, b, c)
		for number, owner := range owners(a, b, c) {
			if want := lease.Order(number, []string{"a", "b", "c"})[0]; owner[0] != want {
				t.Errorf("shard %d is owned by %s, want %s", number, owner[0], want)
			}
		}
		c.close()
		env.fleet.publish(t, fleet.Retire{Incarnation: c.member.Incarnation})
		time.Sleep(2 * time.Second)
		env.checkOwners(a, b)
	})
}

func TestClientDoesNotUseStreamWhileOwnerResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		a, b := env.join("a"), env.join("b")
		time.Sleep(10 * time.Second)
		topUp(t, a, "clinic", 10_000)
		for i := range 20 {
			e := []*entry{a, b}[i%2]
			bill(t, e, "clinic", fmt.Sprint(i), reserve(t, e, "clinic", 100), 60)
			time.Sleep(300 * time.Millisecond)
		}
		hold := reserve(t, a, "clinic", 100)
		a.client.Release("clinic", hold)
		time.Sleep(20 * time.Second)
		got := budget(t, b, "clinic")
		if got.Settled != 1200 || got.Outstanding != 0 || got.Bills != 20 {
			t.Errorf("budget %+v", got)
		}
		if !a.client.Settled(model.Hold{Holder: "a/1", Shard: hold.Shard, Sequence: 1, Tokens: 100}) {
			t.Error("a's first hold is not marked as settled")
		}
		for _, e := range []*entry{a, b} {
			if reads, appends := e.clientLog.counts(); reads+appends != 0 {
				t.Errorf("client of %s read %d times and appended %d times", e.member.Name, reads, appends)
			}
		}
	})
}

func TestOwnerRecallsUnusedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		a, b := env.join("a"), env.join("b")
		time.Sleep(10 * time.Second)
		topUp(t, a, "clinic", 1000)
		for range 10 {
			a.client.Release("clinic", reserve(t, a, "clinic", 90))
		}
		a.client.Release("clinic", reserve(t, a, "clinic", 300))
		if got := budget(t, a, "clinic"); got.Outstanding == 0 {
			t.Fatalf("nothing to recall: %+v", got)
		}
		if hold := reserve(t, b, "clinic", 1000); hold.Tokens != 1000 {
			t.Fatalf("hold %+v", hold)
		}
	})
}

func TestConcurrentClaimsHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		// Each entry has its own fleet state, in which it is the only member, so that
		// both claim every shard.
		var entries []*entry
		for _, name := range []string{"a", "b"} {
			f := newFakeFleet()
			e := env.start(name, f)
			f.publish(t, fleet.Register{Member: e.member})
			entries = append(entries, e)
		}
		for range 40 {
			time.Sleep(250 * time.Millisecond)
			synctest.Wait()
			for number, names := range owners(entries...) {
				if len(names) > 1 {
					t.Fatalf("shard %d is owned by %v", number, names)
				}
			}
		}
		topUp(t, entries[0], "clinic", 1000)
		synctest.Wait()
		if got := budget(t, entries[1], "clinic"); got.ToppedUp != 1000 {
			t.Errorf("budget %+v", got)
		}
	})
}

// post posts ledger entries to the entry's own host.
func (e *entry) post(number int, entries ...model.Entry) error {
	body, err := model.Encode(entries...)
	if err != nil {
		return err
	}
	req := &peerv1.PostRequest{Shard: int32(number), Entries: [][]byte{body}}
	_, err = e.host.Post(context.Background(), connect.NewRequest(req))
	return err
}

// TestPausedOwnerCommitsNothing pauses an owner with a top-up and a grant in flight
// until another process has claimed the shard. The owner's appends must have no
// effect when it resumes.
func TestPausedOwnerCommitsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		entries := []*entry{env.join("a"), env.join("b")}
		time.Sleep(10 * time.Second)
		topUp(t, entries[0], "clinic", 1000)
		number := entries[0].client.ShardOf("clinic")
		owner, other := entries[0], entries[1]
		if owners(entries...)[number][0] != owner.member.Name {
			owner, other = other, owner
		}
		before := env.fleet.State().Owners[number]
		owner.hostLog.pause()
		env.net.SetPartitioned(owner.member.Address, true)
		posted := make(chan error, 1)
		go func() {
			posted <- owner.post(number, model.TopUp{ID: "late", Workspace: "clinic", Tokens: 7})
		}()
		held := make(chan model.Hold)
		go func() { held <- reserve(t, owner, "clinic", 400) }()
		// The other client calls the paused owner first, then appends to the stream
		// itself.
		hold := reserve(t, other, "clinic", 500)
		<-held
		time.Sleep(10 * time.Second)
		after := env.fleet.State().Owners[number]
		if after.Incarnation != other.member.Incarnation || after.Epoch <= before.Epoch {
			t.Fatalf("the shard's owner is %+v, was %+v", after, before)
		}
		records := env.log.NextOffset(model.StreamName(number))
		owner.hostLog.resume()
		env.net.SetPartitioned(owner.member.Address, false)
		bill(t, other, "clinic", "r1", hold, 500)
		time.Sleep(10 * time.Second)
		if err := <-posted; connect.CodeOf(err) != connect.CodeFailedPrecondition {
			t.Errorf("the late top-up returned the error %v", err)
		}
		got := budget(t, other, "clinic")
		if got.ToppedUp != 1000 || got.Settled != 500 || got.Settled+got.Outstanding > 1000 || got.Bills != 1 {
			t.Errorf("budget %+v", got)
		}
		if env.log.NextOffset(model.StreamName(number)) == records {
			t.Error("the paused owner appended nothing after it resumed")
		}
		env.checkOwners(entries...)
	})
}

func TestOwnerKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		entries := []*entry{env.join("a"), env.join("b"), env.join("c")}
		time.Sleep(10 * time.Second)
		topUp(t, entries[0], "clinic", 1000)
		number := entries[0].client.ShardOf("clinic")
		env.checkOwners(entries...)
		owner := owners(entries...)[number][0]
		var rest []*entry
		for _, e := range entries {
			if owner == e.member.Name {
				e.kill()
			} else {
				rest = append(rest, e)
			}
		}
		began := time.Now()
		reserve(t, rest[0], "clinic", 100)
		if elapsed := time.Since(began); elapsed > 2*time.Second {
			t.Errorf("reserved only after %s without an owner", elapsed)
		}
		for owners(rest...)[number] == nil && time.Since(began) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("next owner after %s of virtual time, lease timeout %s", time.Since(began), shard.DefaultLeaseTimeout)
		time.Sleep(time.Minute)
		reads, _ := rest[0].clientLog.counts()
		time.Sleep(time.Minute)
		bill(t, rest[0], "clinic", "r1", reserve(t, rest[0], "clinic", 100), 100)
		if again, _ := rest[0].clientLog.counts(); again != reads {
			t.Errorf("the client still reads the stream")
		}
		env.checkOwners(rest...)
		// The client opens the stream again if the new owner is disconnected too.
		env.net.SetPartitioned(env.fleet.State().Owners[number].Address, true)
		bill(t, rest[0], "clinic", "r2", reserve(t, rest[0], "clinic", 500), 100)
	})
}

// TestLostOwnerResponsesTakeEffectOnce drops the owner's responses, so that the
// client repeats appends that the owner has already made.
func TestLostOwnerResponsesTakeEffectOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		a, b := env.join("a"), env.join("b")
		time.Sleep(10 * time.Second)
		topUp(t, a, "clinic", 10_000)
		number := a.client.ShardOf("clinic")
		owner := env.fleet.State().Owners[number].Address
		e := a
		if e.member.Address == owner {
			e = b
		}
		loseNextResponse := func() {
			time.Sleep(5 * time.Second)
			env.net.DropResponses(owner, 1)
		}
		for i := range 5 {
			loseNextResponse()
			hold := reserve(t, e, "clinic", 50)
			loseNextResponse()
			bill(t, e, "clinic", fmt.Sprint(i), hold, 50)
		}
		loseNextResponse()
		r := ledger.Registration{Workspace: "clinic", Key: "k", Digest: []byte("d"), Sidecar: "s1/1"}
		got, err := e.client.Register(t.Context(), r)
		if err != nil || !got.Granted || got.Attempt != 1 {
			t.Fatalf("registered %+v, %v", got, err)
		}
		if again, err := e.client.Register(t.Context(), r); err != nil || again.Granted {
			t.Fatalf("registered again %+v, %v", again, err)
		}
		if a, found, err := b.client.Attempt(t.Context(), "clinic", "k"); err != nil || !found || a.Number != 1 {
			t.Fatalf("attempt %+v, %v", a, err)
		}
		time.Sleep(20 * time.Second)
		if got := budget(t, e, "clinic"); got.Settled != 250 || got.Bills != 5 || got.Outstanding != 0 {
			t.Errorf("budget %+v", got)
		}
	})
}

// TestSlowOwnerAndFallbackGrantOnce delays the owner's append of a grant until the
// client's call has timed out. The client's append of the same grant follows and
// must have no effect.
func TestSlowOwnerAndFallbackGrantOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		a, b := env.join("a"), env.join("b")
		time.Sleep(10 * time.Second)
		topUp(t, a, "clinic", 10_000)
		owner, e := a, b
		if owners(a, b)[a.client.ShardOf("clinic")][0] == "b" {
			owner, e = b, a
		}
		owner.hostLog.pauseAppends()
		e.clientLog.pauseAppends()
		held := make(chan model.Hold)
		go func() { held <- reserve(t, e, "clinic", 100) }()
		time.Sleep(1200 * time.Millisecond)
		owner.hostLog.resume()
		time.Sleep(50 * time.Millisecond)
		e.clientLog.resume()
		<-held
		if got := budget(t, a, "clinic"); got.Outstanding == 0 || got.Outstanding >= 200 {
			t.Errorf("budget %+v after one draw for 100 tokens", got)
		}
	})
}

// TestBillsWaitForNextOwner kills an owner while other entries have bills to post.
// They post them to the next owner and don't use the stream themselves.
func TestBillsWaitForNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		entries := []*entry{env.join("a"), env.join("b"), env.join("c")}
		time.Sleep(10 * time.Second)
		topUp(t, entries[0], "clinic", 1000)
		number := entries[0].client.ShardOf("clinic")
		owner := owners(entries...)[number][0]
		var rest []*entry
		var holds []model.Hold
		for _, e := range entries {
			if e.member.Name != owner {
				rest = append(rest, e)
				holds = append(holds, reserve(t, e, "clinic", 100))
			}
		}
		for _, e := range entries {
			if e.member.Name == owner {
				e.kill()
			}
		}
		began := time.Now()
		for i, e := range rest {
			bill(t, e, "clinic", fmt.Sprint(i), holds[i], 60)
		}
		t.Logf("bills posted after %s of virtual time", time.Since(began))
		for _, e := range rest {
			if reads, appends := e.clientLog.counts(); reads+appends != 0 {
				t.Errorf("client of %s read %d times and appended %d times", e.member.Name, reads, appends)
			}
		}
		if got := budget(t, rest[0], "clinic"); got.Bills != 2 || got.Settled != 120 {
			t.Errorf("budget %+v", got)
		}
	})
}

// TestOwnerWritesCheckpoints starts an entry after the records of a top-up and a
// bill have expired. It must restore them from a checkpoint of the owner.
func TestOwnerWritesCheckpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		a, b := env.join("a"), env.join("b")
		time.Sleep(10 * time.Second)
		topUp(t, a, "clinic", 1000)
		bill(t, b, "clinic", "r1", reserve(t, b, "clinic", 100), 60)
		name := model.StreamName(a.client.ShardOf("clinic"))
		written := env.log.NextOffset(name)
		time.Sleep(11 * time.Minute)
		env.log.Trim(name, written)
		for _, e := range []*entry{a, b} {
			if _, appends := e.clientLog.counts(); appends != 0 {
				t.Errorf("client of %s appended %d times", e.member.Name, appends)
			}
		}
		fresh := env.join("c")
		for _, e := range []*entry{a, b} {
			e.kill()
			env.fleet.publish(t, fleet.Fence{Incarnation: e.member.Incarnation, By: "test"})
		}
		time.Sleep(10 * time.Second)
		env.checkOwners(fresh)
		if got := budget(t, fresh, "clinic"); got.ToppedUp != 1000 || got.Settled != 60 || got.Bills != 1 {
			t.Errorf("budget %+v", got)
		}
	})
}
