package intake_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/intake"
)

const bytesPerSecond = 10e6 / 8

// TestHotWorkspaceAtThinGateway replays a workspace whose prompts need three times the
// bandwidth of the link: the link stays busy, an accepted body never waits longer than a
// part of the shortest goal, and all small calls are accepted.
func TestHotWorkspaceAtThinGateway(t *testing.T) {
	const (
		prompts    = 400.0 // per second
		promptSize = 9_200
		callSize   = 600
		seconds    = 10
	)
	r := rand.New(rand.NewPCG(1, 1))
	q := intake.New(bytesPerSecond)
	now := time.Unix(1_700_000_000, 0)
	end := now.Add(seconds * time.Second)
	accepted := map[int]int{}
	for now.Before(end) {
		now = now.Add(time.Duration(r.ExpFloat64() / prompts * float64(time.Second)))
		if _, ok := q.Accept(now, callSize, 2, 0); !ok {
			t.Fatal("a small call was refused")
		}
		priority := r.IntN(2)
		retryAfter, ok := q.Accept(now, promptSize, priority, 0)
		switch {
		case ok:
			accepted[priority]++
		case retryAfter <= 0 || retryAfter > 100*time.Millisecond:
			t.Fatalf("retry after %s", retryAfter)
		}
		if delay := q.Delay(now); delay > 80*time.Millisecond {
			t.Fatalf("a body waits %s for the link", delay)
		}
	}
	carried := float64((accepted[0]+accepted[1])*promptSize) / seconds / bytesPerSecond
	if carried < 0.55 || carried > 0.9 {
		t.Errorf("prompts use %.2f of the bandwidth, want 0.55 to 0.9", carried)
	}
	if accepted[0] < 2*accepted[1] {
		t.Errorf("%d urgent and %d other prompts accepted", accepted[0], accepted[1])
	}
}

// TestUsualLoad checks that a link accepts bursts that it carries in time, and that one of
// unknown bandwidth accepts everything.
func TestUsualLoad(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	thin, unknown := intake.New(bytesPerSecond), intake.New(0)
	for i := range 1000 {
		if _, ok := unknown.Accept(now, 1<<20, 2, 0); !ok {
			t.Fatal("refused without a known bandwidth")
		}
		if i < 5 {
			if _, ok := thin.Accept(now, 9_200, 1, 0); !ok {
				t.Errorf("prompt %d of a burst refused", i)
			}
		}
	}
	if delay := thin.Delay(now.Add(time.Second)); delay != 0 {
		t.Errorf("delay of %s after a second without load", delay)
	}
}

// TestBusyProcessor checks that prompts are refused while requests wait for the processor,
// and small calls only if they wait longer.
func TestBusyProcessor(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	q := intake.New(0)
	for _, c := range []struct {
		size     int64
		delay    time.Duration
		accepted bool
	}{
		{9_200, 30 * time.Millisecond, true},
		{9_200, 80 * time.Millisecond, false},
		{600, 80 * time.Millisecond, true},
		{600, 200 * time.Millisecond, false},
	} {
		if _, accepted := q.Accept(now, c.size, 0, c.delay); accepted != c.accepted {
			t.Errorf("body of %d bytes with a delay of %s: accepted %t", c.size, c.delay, accepted)
		}
	}
}

// TestSaturated replays a load that rises from half of the bandwidth to three times as much
// and falls again: the link is saturated soon, and only until the load has fallen.
func TestSaturated(t *testing.T) {
	const size = 9_200
	q := intake.New(bytesPerSecond)
	now := time.Unix(1_700_000_000, 0)
	for _, phase := range []struct {
		load      float64
		saturated bool
	}{{0.5, false}, {3, true}, {0.5, true}, {0.1, false}} {
		interval := time.Duration(size / (phase.load * bytesPerSecond) * float64(time.Second))
		for end := now.Add(1500 * time.Millisecond); now.Before(end); now = now.Add(interval) {
			q.RecordReceived(now, size)
		}
		if got := q.Saturated(now); got != phase.saturated {
			t.Errorf("saturated %t at %.1f of the bandwidth, want %t", got, phase.load, phase.saturated)
		}
	}
	if unknown := intake.New(0); unknown.Saturated(now) {
		t.Error("saturated without a known bandwidth")
	}
}
