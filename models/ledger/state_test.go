package ledger_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/crocusline/crocusline/models/ledger"
	_ "github.com/crocusline/crocusline/tests/fixedseed"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// step is an entry with the log time at which it is applied.
type step struct {
	at    time.Time
	entry ledger.Entry
}

func genSteps(t *rapid.T) []step {
	now := start
	steps := make([]step, rapid.IntRange(1, 80).Draw(t, "steps"))
	for i := range steps {
		minutes := rapid.SampledFrom([]int{0, 0, 0, 1, 10, 16, 60 * 25}).Draw(t, "minutes")
		now = now.Add(time.Duration(minutes) * time.Minute)
		steps[i] = step{at: now, entry: genEntry(t)}
	}
	return steps
}

func genEntry(t *rapid.T) ledger.Entry {
	workspace := rapid.SampledFrom([]string{"clinic", "store"}).Draw(t, "workspace")
	holder := rapid.SampledFrom([]string{"a/1", "b/1"}).Draw(t, "holder")
	key := rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(t, "key")
	tokens := rapid.Int64Range(-1, 50).Draw(t, "tokens")
	number := rapid.Uint64Range(0, 20).Draw(t, "number")
	switch rapid.IntRange(0, 9).Draw(t, "type") {
	case 0:
		return ledger.TopUp{ID: fmt.Sprint(number), Workspace: workspace, Tokens: tokens * 10}
	case 1, 2:
		return ledger.Grant{Workspace: workspace, Holder: holder, Sequence: number, Tokens: tokens}
	case 3:
		return ledger.Return{Workspace: workspace, Holder: holder, Sequence: number, Tokens: tokens}
	case 4, 5:
		hold := ledger.Hold{Holder: holder, Sequence: number, Tokens: tokens}
		return ledger.Bill{RequestID: "r", Workspace: workspace, Key: key, Hold: hold, Tokens: rapid.Int64Range(-1, 60).Draw(t, "spent")}
	case 6:
		return ledger.Register{ID: fmt.Sprint(number), Workspace: workspace, Key: key, Attempt: int64(number % 4)}
	case 7:
		return ledger.Outcome{Workspace: workspace, Key: key, Attempt: int64(number % 4), Body: []byte("x"), BodyKept: true}
	case 8:
		return ledger.Void{Workspace: workspace, Key: key, Attempt: int64(number % 4)}
	default:
		return ledger.CloseHolder{Holder: holder}
	}
}

func snapshot(t interface{ Fatal(...any) }, s *ledger.State) []byte {
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestInvariantsHoldAfterEachEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := ledger.New()
		for i, step := range genSteps(t) {
			s.Apply(step.at, step.entry)
			if err := s.Check(); err != nil {
				t.Fatalf("after step %d, %+v: %v", i, step.entry, err)
			}
		}
	})
}

func TestRestoredStateMatchesFullReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := genSteps(t)
		cut := rapid.IntRange(0, len(steps)).Draw(t, "cut")
		full, restored := ledger.New(), ledger.New()
		for _, step := range steps[:cut] {
			full.Apply(step.at, step.entry)
		}
		if err := restored.Restore(snapshot(t, full)); err != nil {
			t.Fatal(err)
		}
		for i, step := range steps[cut:] {
			a, b := full.Apply(step.at, step.entry), restored.Apply(step.at, step.entry)
			if a != b {
				t.Fatalf("step %d: effect %s in full replay, %s after restore", cut+i, a, b)
			}
		}
		if !bytes.Equal(snapshot(t, full), snapshot(t, restored)) {
			t.Fatal("states differ")
		}
	})
}

func TestCodecRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, decoded := ledger.New(), ledger.New()
		for _, step := range genSteps(t) {
			data, err := ledger.Encode(step.entry)
			if err != nil {
				t.Fatal(err)
			}
			entries, err := ledger.Decode(data)
			if err != nil || len(entries) != 1 {
				t.Fatalf("%d entries, error %v", len(entries), err)
			}
			direct.Apply(step.at, step.entry)
			decoded.Apply(step.at, entries[0])
		}
		if !bytes.Equal(snapshot(t, direct), snapshot(t, decoded)) {
			t.Fatal("states differ")
		}
	})
}

func TestHoldIsBilledOnce(t *testing.T) {
	s := ledger.New()
	hold := ledger.Hold{Holder: "a/1", Sequence: 1, Tokens: 40}
	other := ledger.Hold{Holder: "a/1", Sequence: 2, Tokens: 40}
	late := ledger.Hold{Holder: "a/1", Sequence: 3, Tokens: 10}
	tests := []struct {
		after time.Duration
		entry ledger.Entry
		want  ledger.Effect
	}{
		{0, ledger.TopUp{ID: "1", Workspace: "clinic", Tokens: 100}, ledger.Applied},
		{0, ledger.Grant{Workspace: "clinic", Holder: "a/1", Sequence: 1, Tokens: 100}, ledger.Applied},
		{0, ledger.Grant{Workspace: "clinic", Holder: "a/1", Sequence: 2, Tokens: 1}, ledger.Uncovered},
		{0, ledger.Bill{Workspace: "clinic", Key: "k", Hold: hold, Tokens: 30}, ledger.Applied},
		{0, ledger.Bill{Workspace: "clinic", Key: "k", Hold: hold, Tokens: 30}, ledger.Duplicate},
		{ledger.BillKeyRetention, ledger.Bill{Workspace: "clinic", Key: "k", Hold: other, Tokens: 30}, ledger.Duplicate},
		{0, ledger.CloseHolder{Holder: "a/1"}, ledger.Applied},
		{0, ledger.Bill{Workspace: "clinic", Hold: late, Tokens: 10}, ledger.WrittenOff},
		{0, ledger.Grant{Workspace: "clinic", Holder: "a/1", Sequence: 3, Tokens: 1}, ledger.Ignored},
	}
	for i, test := range tests {
		if got := s.Apply(start.Add(test.after), test.entry); got != test.want {
			t.Errorf("entry %d: %s, want %s", i, got, test.want)
		}
	}
	b := s.Budget("clinic")
	if b.Settled != 30 || b.Outstanding != 0 || b.Bills != 1 || b.WriteOff.Tokens != 10 {
		t.Errorf("budget %+v", b)
	}
}

func TestSnapshotPreservesBilledRequests(t *testing.T) {
	s, restored := ledger.New(), ledger.New()
	s.Apply(start, ledger.TopUp{ID: "1", Workspace: "clinic", Tokens: 100})
	s.Apply(start, ledger.Grant{Workspace: "clinic", Holder: "a/1", Sequence: 1, Tokens: 100})
	bill := ledger.Bill{Workspace: "clinic", Key: "k", Hold: ledger.Hold{Holder: "a/1", Sequence: 1, Tokens: 10}, Tokens: 10}
	s.Apply(start, bill)
	if err := restored.Restore(snapshot(t, s)); err != nil {
		t.Fatal(err)
	}
	bill.Hold.Sequence = 2
	if got := restored.Apply(start, bill); got != ledger.Duplicate {
		t.Fatalf("effect %s", got)
	}
	bill.Hold.Sequence = 3
	if got := restored.Apply(start.Add(ledger.BillKeyRetention+1), bill); got != ledger.Applied {
		t.Fatalf("effect %s after the window", got)
	}
}

func TestDecodeUnknownType(t *testing.T) {
	var unknown *ledger.UnknownTypeError
	_, err := ledger.Decode([]byte("\x81\xa2\x64body\x00\x64type\x18\x63"))
	if !errors.As(err, &unknown) || unknown.Type != 99 {
		t.Fatalf("error %v", err)
	}
}

func TestShardOfDistributesEvenly(t *testing.T) {
	for _, count := range []int{1, 3, 16, 64} {
		buckets := make([]int, count)
		for i := range 14_000 {
			shard := ledger.ShardOf(fmt.Sprint("workspace", i), count)
			buckets[shard]++
		}
		for shard, n := range buckets {
			if n == 0 || n > 3*14_000/count {
				t.Errorf("%d of 14000 workspaces in shard %d of %d", n, shard, count)
			}
		}
	}
}

func FuzzDecode(f *testing.F) {
	data, err := ledger.Encode(ledger.TopUp{ID: "1", Workspace: "clinic", Tokens: 10}, ledger.CloseHolder{Holder: "a/1"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := ledger.Decode(data)
		if err != nil {
			return
		}
		s := ledger.New()
		for _, e := range entries {
			s.Apply(start, e)
			if err := s.Check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func FuzzRestore(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = ledger.New().Restore(data)
	})
}

// A request without an idempotency key that was resumed on another server has
// two holds, and both sidecars may bill it. It must be charged only once.
func TestRequestWithoutKeyIsBilledOnce(t *testing.T) {
	s := ledger.New()
	hold := func(sequence uint64) ledger.Hold {
		return ledger.Hold{Holder: "a/1", Sequence: sequence, Tokens: 40}
	}
	for _, e := range []ledger.Entry{
		ledger.TopUp{ID: "t", Workspace: "clinic", Tokens: 200},
		ledger.Grant{Sequence: 1, Workspace: "clinic", Holder: "a/1", Tokens: 160},
		ledger.Bill{RequestID: "r", Workspace: "clinic", Hold: hold(1), Tokens: 0},
		ledger.Bill{RequestID: "r", Workspace: "clinic", Hold: hold(2), Tokens: 30},
	} {
		if got := s.Apply(start, e); got != ledger.Applied {
			t.Fatalf("%+v: %s", e, got)
		}
	}
	another := ledger.Bill{RequestID: "r2", Workspace: "clinic", Hold: hold(4), Tokens: 10}
	if got := s.Apply(start, another); got != ledger.Applied {
		t.Fatalf("another request's bill: %s", got)
	}
	late := ledger.Bill{RequestID: "r", Workspace: "clinic", Hold: hold(3), Tokens: 30}
	if got := s.Apply(start.Add(ledger.BillKeyRetention), late); got != ledger.Duplicate {
		t.Fatalf("second bill of the request: %s", got)
	}
	if b := s.Budget("clinic"); b.Settled != 40 || b.Bills != 2 {
		t.Fatalf("budget %+v", b)
	}
}

// TestClosedHoldersAreEvicted guards against a state that grows with every
// restart of an entry instance. Each hour one holder returns all its tokens
// and ends; closing the holders that OpenHolders returns must bound the size
// of the snapshot.
func TestClosedHoldersAreEvicted(t *testing.T) {
	s, now := ledger.New(), start
	s.Apply(now, ledger.TopUp{ID: "1", Workspace: "clinic", Tokens: 1000})
	limit := 0
	for i := range 24 * 60 {
		now = now.Add(time.Hour)
		name := fmt.Sprint("entry/", i)
		s.Apply(now, ledger.Grant{Workspace: "clinic", Holder: name, Sequence: 1, Tokens: 10})
		s.Apply(now, ledger.Return{Workspace: "clinic", Holder: name, Sequence: 2, Tokens: 10})
		for holder := range s.OpenHolders() {
			s.Apply(now, ledger.CloseHolder{Holder: holder})
		}
		data, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if i == 24*8 {
			limit = len(data) + len(data)/20
		}
		if limit > 0 && len(data) > limit {
			t.Fatalf("%d bytes after %s, limit %d", len(data), now.Sub(start), limit)
		}
	}
}
