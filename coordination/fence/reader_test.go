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

// logRecord is a record with its log time.
type logRecord struct {
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

// replica is a reader that stores the accepted bodies.
type replica struct {
	*fence.Reader
	accepted [][]byte
}

func (r *replica) apply(t interface{ Fatal(...any) }, offset int64, rec logRecord) fence.Decision {
	result, err := r.Apply(offset, rec.at, rec.data)
	if err != nil {
		t.Fatal(err)
	}
	if result.Decision == fence.Accepted {
		r.accepted = append(r.accepted, result.Record.Bodies...)
	}
	return result.Decision
}

// drawStream draws a stream with retries, concurrent claims, records of old epochs
// and delayed duplicates.
func drawStream(t *rapid.T) []logRecord {
	now := epochStart
	var all []logRecord
	sequences := map[string]uint64{}
	for i := range rapid.IntRange(1, 60).Draw(t, "records") {
		now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 10, 50}).Draw(t, "minutes")) * time.Minute)
		if len(all) > 0 && rapid.IntRange(0, 4).Draw(t, "copy") == 0 {
			old := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
			all = append(all, logRecord{at: now, data: old.data})
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
		all = append(all, logRecord{at: now, data: encode(t, r)})
	}
	return all
}

func TestRestoredCheckpointEqualsFullReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := drawStream(t)
		restoreAt := rapid.IntRange(0, len(stream)).Draw(t, "restoreAt")
		full := &replica{Reader: fence.New()}
		restored := &replica{Reader: fence.New()}
		for i, rec := range stream {
			if i == restoreAt {
				data, err := fence.EncodeCheckpoint(full.Reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := restored.RestoreCheckpoint(data); err != nil {
					t.Fatal(err)
				}
				restored.accepted = append(restored.accepted, full.accepted...)
			}
			decision := full.apply(t, int64(i), rec)
			if i >= restoreAt {
				if got := restored.apply(t, int64(i), rec); got != decision {
					t.Fatalf("record %d: %s after restoring the checkpoint, %s in the full replay", i, got, decision)
				}
			}
		}
		if restoreAt == len(stream) {
			return
		}
		a, errA := full.Snapshot()
		b, errB := restored.Snapshot()
		if errA != nil || errB != nil || !bytes.Equal(a, b) {
			t.Fatalf("states differ: %x %x, errors %v %v", a, b, errA, errB)
		}
	})
}

func TestNoRecordIsAcceptedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &replica{Reader: fence.New()}
		for i, rec := range drawStream(t) {
			r.apply(t, int64(i), rec)
		}
		seen := map[string]bool{}
		for _, body := range r.accepted {
			if seen[string(body)] {
				t.Fatalf("%q accepted twice", body)
			}
			seen[string(body)] = true
		}
	})
}

func TestOldEpochIsFenced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader := fence.New()
		for i, rec := range drawStream(t) {
			before, owner := reader.Epoch(), reader.Owner()
			result, err := reader.Apply(int64(i), rec.at, rec.data)
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

func TestInactiveWritersAreDiscarded(t *testing.T) {
	reader := fence.New(fence.WithDedupWindow(time.Hour))
	for i := range 1000 {
		now := epochStart.Add(time.Duration(i) * time.Minute)
		r := fence.Record{Writer: fmt.Sprint(i), Sequence: 1, Seen: now}
		if _, err := reader.Apply(int64(i), now, encode(t, r)); err != nil {
			t.Fatal(err)
		}
	}
	if reader.Writers() > 62 {
		t.Fatalf("state of %d writers kept", reader.Writers())
	}
}

func TestStaleRecordAcceptedWithNewSeen(t *testing.T) {
	r := &replica{Reader: fence.New()}
	later := epochStart.Add(2 * time.Hour)
	record := fence.Record{Writer: "a", Sequence: 1, Seen: epochStart}
	r.apply(t, 0, logRecord{at: later, data: encode(t, record)})
	if got := r.apply(t, 1, logRecord{at: later, data: encode(t, record)}); got != fence.Stale {
		t.Fatalf("decision %s", got)
	}
	record.Writer, record.Seen = "b", epochStart
	if got := r.apply(t, 2, logRecord{at: later, data: encode(t, record)}); got != fence.Stale {
		t.Fatalf("decision %s", got)
	}
	record.Seen = later
	if got := r.apply(t, 3, logRecord{at: later, data: encode(t, record)}); got != fence.Accepted {
		t.Fatalf("decision %s", got)
	}
}

func TestScannerFindsNewestCompleteCheckpoint(t *testing.T) {
	r := &replica{Reader: fence.New()}
	scanner := fence.NewCheckpointScanner(2)
	offset := int64(0)
	add := func(writer string, sequence uint64, c fence.Chunk) {
		rec := logRecord{at: epochStart, data: encode(t, fence.Record{
			Writer: writer, Sequence: sequence, Seen: epochStart, Kind: fence.Checkpoint, Chunk: &c,
		})}
		r.apply(t, offset, rec)
		scanner.Add(rec.data)
		offset++
	}
	tooOld := fence.SplitCheckpoint(1, []byte("old"), 8)
	complete := fence.SplitCheckpoint(5, []byte("abcdefgh"), 3)
	incomplete := fence.SplitCheckpoint(9, []byte("ijklmnop"), 3)
	add("a", 1, tooOld[0])
	add("a", 2, complete[0])
	add("b", 1, incomplete[0])
	add("a", 3, complete[1])
	add("a", 2, complete[0])
	add("a", 4, complete[2])
	add("b", 2, incomplete[2])
	data, found, err := scanner.Newest()
	if err != nil || !found || string(data) != "abcdefgh" {
		t.Fatalf("found %v %q, %v", found, data, err)
	}
	if r.Checkpoint() != 5 {
		t.Fatalf("Checkpoint() = %d, want 5", r.Checkpoint())
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
		elapsed          time.Duration
		want             bool
	}{
		{5, 5, time.Hour, false},
		{14, 5, time.Second, false},
		{15, 5, time.Second, true},
		{6, 5, time.Minute, true},
	}
	for _, test := range tests {
		got := s.Due(test.next, test.checkpoint, epochStart, epochStart.Add(test.elapsed))
		if got != test.want {
			t.Errorf("Due(%d, %d, %s) = %v", test.next, test.checkpoint, test.elapsed, got)
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
