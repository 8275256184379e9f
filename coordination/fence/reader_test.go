package fence_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/crocusline/crocusline/coordination/fence"
	_ "github.com/crocusline/crocusline/tests/fixedseed"
)

var epochStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// kept is a record as a log keeps it.
type kept struct {
	at   time.Time
	data []byte
}

func encode(t interface{ Fatal(...any) }, r fence.Record) []byte {
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// folded is a reader with the bodies that it accepted.
type folded struct {
	*fence.Reader
	accepted [][]byte
}

func (f *folded) apply(t interface{ Fatal(...any) }, offset int64, k kept) fence.Decision {
	result, err := f.Apply(offset, k.at, k.data)
	if err != nil {
		t.Fatal(err)
	}
	if result.Decision == fence.Accepted {
		f.accepted = append(f.accepted, result.Record.Bodies...)
	}
	return result.Decision
}

// genStream draws a stream in which writers retry, race to claim, write in old
// epochs, and old copies turn up late.
func genStream(t *rapid.T) []kept {
	now := epochStart
	var all []kept
	sequences := map[string]uint64{}
	for i := range rapid.IntRange(1, 60).Draw(t, "records") {
		now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 10, 50}).Draw(t, "minutes")) * time.Minute)
		if len(all) > 0 && rapid.IntRange(0, 4).Draw(t, "copy") == 0 {
			old := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
			all = append(all, kept{at: now, data: old.data})
			continue
		}
		r := fence.Record{
			Writer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "writer"),
			Epoch:  rapid.Uint64Range(0, 4).Draw(t, "epoch"),
			Seen:   now.Add(-time.Duration(rapid.IntRange(0, 90).Draw(t, "lag")) * time.Minute),
			Bodies: [][]byte{fmt.Appendf(nil, "body %d", i)},
		}
		if rapid.IntRange(0, 4).Draw(t, "claim") == 0 {
			r.Kind, r.Bodies = fence.Claim, nil
		}
		sequences[r.Writer]++
		r.Sequence = sequences[r.Writer]
		all = append(all, kept{at: now, data: encode(t, r)})
	}
	return all
}

func TestReplayEqualsCheckpointPlusRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := genStream(t)
		cut := rapid.IntRange(0, len(stream)).Draw(t, "cut")
		whole := &folded{Reader: fence.New()}
		resumed := &folded{Reader: fence.New()}
		for i, k := range stream {
			if i == cut {
				data, err := fence.EncodeCheckpoint(whole.Reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := resumed.RestoreCheckpoint(data); err != nil {
					t.Fatal(err)
				}
				resumed.accepted = append(resumed.accepted, whole.accepted...)
			}
			verdict := whole.apply(t, int64(i), k)
			if i >= cut {
				if got := resumed.apply(t, int64(i), k); got != verdict {
					t.Fatalf("record %d: %s after the checkpoint, %s in the whole", i, got, verdict)
				}
			}
		}
		if cut == len(stream) {
			return
		}
		a, errA := whole.Snapshot()
		b, errB := resumed.Snapshot()
		if errA != nil || errB != nil || !bytes.Equal(a, b) {
			t.Fatalf("states differ: %x %x, errors %v %v", a, b, errA, errB)
		}
	})
}

func TestNothingCountsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &folded{Reader: fence.New()}
		for i, k := range genStream(t) {
			f.apply(t, int64(i), k)
		}
		seen := map[string]bool{}
		for _, body := range f.accepted {
			if seen[string(body)] {
				t.Fatalf("%q counted twice", body)
			}
			seen[string(body)] = true
		}
	})
}

func TestOldEpochIsVoid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader := fence.New()
		for i, k := range genStream(t) {
			before, owner := reader.Epoch(), reader.Owner()
			result, err := reader.Apply(int64(i), k.at, k.data)
			if err != nil {
				t.Fatal(err)
			}
			r := result.Record
			if result.Decision != fence.Accepted || r.Epoch == 0 && r.Kind != fence.Claim {
				continue
			}
			if r.Kind == fence.Claim && r.Epoch != before+1 {
				t.Fatalf("claim of epoch %d accepted in epoch %d", r.Epoch, before)
			}
			if r.Kind != fence.Claim && (r.Epoch != before || r.Writer != owner) {
				t.Fatalf("record of %s in epoch %d accepted, owner %s, epoch %d", r.Writer, r.Epoch, owner, before)
			}
		}
	})
}

func TestGapIsAnError(t *testing.T) {
	reader := fence.New()
	_, err := reader.Apply(3, epochStart, nil)
	var gap *fence.GapError
	if !errors.As(err, &gap) || gap.Want != 0 || gap.Got != 3 {
		t.Fatalf("error %v", err)
	}
}

func TestWritersAreForgotten(t *testing.T) {
	reader := fence.New(fence.WithDedupWindow(time.Hour))
	for i := range 1000 {
		now := epochStart.Add(time.Duration(i) * time.Minute)
		r := fence.Record{Writer: fmt.Sprint(i), Sequence: 1, Seen: now}
		if _, err := reader.Apply(int64(i), now, encode(t, r)); err != nil {
			t.Fatal(err)
		}
	}
	if reader.Writers() > 62 {
		t.Fatalf("%d writers remembered", reader.Writers())
	}
}

func TestStaleRecordCountsAfterRetry(t *testing.T) {
	f := &folded{Reader: fence.New()}
	later := epochStart.Add(2 * time.Hour)
	r := fence.Record{Writer: "a", Sequence: 1, Seen: epochStart}
	f.apply(t, 0, kept{at: later, data: encode(t, r)})
	if got := f.apply(t, 1, kept{at: later, data: encode(t, r)}); got != fence.Stale {
		t.Fatalf("verdict %s", got)
	}
	r.Writer, r.Seen = "b", epochStart
	if got := f.apply(t, 2, kept{at: later, data: encode(t, r)}); got != fence.Stale {
		t.Fatalf("verdict %s", got)
	}
	r.Seen = later
	if got := f.apply(t, 3, kept{at: later, data: encode(t, r)}); got != fence.Accepted {
		t.Fatalf("verdict %s", got)
	}
}

func TestScannerFindsNewestWhole(t *testing.T) {
	f := &folded{Reader: fence.New()}
	scanner := fence.NewCheckpointScanner(2)
	offset := int64(0)
	add := func(writer string, sequence uint64, c fence.Chunk) {
		k := kept{at: epochStart, data: encode(t, fence.Record{
			Writer: writer, Sequence: sequence, Seen: epochStart, Kind: fence.Checkpoint, Chunk: &c,
		})}
		f.apply(t, offset, k)
		scanner.Add(k.data)
		offset++
	}
	tooOld := fence.SplitCheckpoint(1, []byte("old"), 8)
	whole := fence.SplitCheckpoint(5, []byte("abcdefgh"), 3)
	torn := fence.SplitCheckpoint(9, []byte("ijklmnop"), 3)
	add("a", 1, tooOld[0])
	add("a", 2, whole[0])
	add("b", 1, torn[0])
	add("a", 3, whole[1])
	add("a", 2, whole[0])
	add("a", 4, whole[2])
	add("b", 2, torn[2])
	data, found, err := scanner.Newest()
	if err != nil || !found || string(data) != "abcdefgh" {
		t.Fatalf("found %v %q, %v", found, data, err)
	}
	if f.Checkpoint() != 5 {
		t.Fatalf("reader knows the checkpoint at %d", f.Checkpoint())
	}
}

func TestScannerWithoutCheckpoint(t *testing.T) {
	var missing *fence.NoCheckpointError
	if _, _, err := fence.NewCheckpointScanner(7).Newest(); !errors.As(err, &missing) || missing.Oldest != 7 {
		t.Fatalf("error %v", err)
	}
	if _, found, err := fence.NewCheckpointScanner(0).Newest(); found || err != nil {
		t.Fatalf("found %v, error %v", found, err)
	}
}

func TestScheduleDue(t *testing.T) {
	s := fence.CheckpointSchedule{Records: 10, Interval: time.Minute}
	tests := []struct {
		next, checkpoint int64
		passed           time.Duration
		want             bool
	}{
		{5, 5, time.Hour, false},
		{14, 5, time.Second, false},
		{15, 5, time.Second, true},
		{6, 5, time.Minute, true},
	}
	for _, test := range tests {
		got := s.Due(test.next, test.checkpoint, epochStart, epochStart.Add(test.passed))
		if got != test.want {
			t.Errorf("Due(%d, %d, %s) = %v", test.next, test.checkpoint, test.passed, got)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xa0})
	r := fence.Record{Writer: "a", Sequence: 1, Kind: fence.Checkpoint, Chunk: &fence.Chunk{Count: 1}}
	f.Add(encode(f, r))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := fence.New()
		if _, err := reader.Apply(0, epochStart, data); err != nil {
			t.Fatal(err)
		}
		scanner := fence.NewCheckpointScanner(0)
		scanner.Add(data)
		if state, found, _ := scanner.Newest(); found {
			_, _ = fence.New().RestoreCheckpoint(state)
		}
	})
}
