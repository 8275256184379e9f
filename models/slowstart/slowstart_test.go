package slowstart_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/slowstart"
)

// flood sends what the window admits and returns the number of requests.
func flood(w *slowstart.Window, now time.Time, prefix string) int {
	n := 0
	for ; w.Admits(now); n++ {
		w.RecordSent(now, fmt.Sprint(prefix, n), 50*time.Millisecond)
	}
	return n
}

// TestWindow guards against windows that don't follow the responses: in time, late and missing.
func TestWindow(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	w := slowstart.New(0.5)
	if w.Admits(now) {
		t.Error("the window is open before its turn")
	}
	now = now.Add(750 * time.Millisecond)
	want := 1
	for _, step := range []struct {
		name  string
		after time.Duration
		want  int
	}{{"in time", 100 * time.Millisecond, 2}, {"in time again", 150 * time.Millisecond, 4}, {"late", 151 * time.Millisecond, 2}, {"late again", 200 * time.Millisecond, 1}, {"at least one", 200 * time.Millisecond, 1}} {
		if got := flood(w, now, step.name); got != want {
			t.Fatalf("before %s: %d requests, want %d", step.name, got, want)
		}
		now = now.Add(step.after)
		for i := range want {
			w.RecordFirstEvent(now, fmt.Sprint(step.name, i), 10)
			w.RecordEnd(fmt.Sprint(step.name, i))
		}
		want = step.want
	}
	w.RecordFailure(now)
	if w.Ended(now.Add(999*time.Millisecond)) || !w.Ended(now.Add(time.Second)) {
		t.Error("the window doesn't end a second after the last failure")
	}
}

// TestReachedLoad guards against windows that hold requests beyond the gateway's mean load.
func TestReachedLoad(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for meanLoad, events := range map[float64]int{0.3: 3, 5: 9} {
		w := slowstart.New(0)
		for i := range events {
			if w.Ended(now) {
				t.Errorf("load %g: ended after %d events", meanLoad, i)
			}
			w.RecordSent(now, "r", time.Millisecond)
			w.RecordFirstEvent(now, "r", meanLoad)
			w.RecordEnd("r")
		}
		if !w.Ended(now) {
			t.Errorf("load %g: not ended after %d events", meanLoad, events)
		}
	}
}
