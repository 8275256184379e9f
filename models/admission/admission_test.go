package admission_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusline/crocusline/models/admission"
	"github.com/crocusline/crocusline/models/refusal"
	_ "github.com/crocusline/crocusline/tests/fixedseed"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestStreamLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := admission.New(admission.WithStreamLimit(3), admission.WithWorkspaceStreamLimit("a", 5))
		limits := map[string]int{"a": 5, "b": 3}
		open := map[string]int{}
		for range rapid.IntRange(0, 60).Draw(rt, "events") {
			w := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "workspace")
			if rapid.Bool().Draw(rt, "admit") {
				err := g.Admit(epoch, admission.Request{Workspace: w, Kind: "k"})
				if (err == nil) != (open[w] < limits[w]) {
					rt.Fatalf("%d of %d open, admit: %v", open[w], limits[w], err)
				}
				if err == nil {
					open[w]++
				}
			} else if open[w] > 0 {
				g.Release(w)
				open[w]--
			}
			if g.OpenStreams(w) != open[w] {
				rt.Fatalf("%d open, want %d", g.OpenStreams(w), open[w])
			}
		}
	})
}

// run submits perSecond requests of a kind per second, of which the sidecars accept
// capacity, and counts the requests that were admitted.
func run(g *admission.Gate, now time.Time, kind string, perSecond, capacity, seconds int) (admitted int, end time.Time) {
	for range seconds {
		accepted := 0
		for i := range perSecond {
			at := now.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			if g.Admit(at, admission.Request{Workspace: "w", Kind: kind}) != nil {
				continue
			}
			admitted++
			g.Release("w")
			if accepted < capacity {
				accepted++
				g.RecordAccepted(at, admission.Request{Workspace: "w", Kind: kind})
			} else {
				g.RecordRefused(at, admission.Request{Workspace: "w", Kind: kind}, 2*time.Second)
			}
		}
		now = now.Add(time.Second)
	}
	return admitted, now
}

func TestOverloadIsThrottledPerKind(t *testing.T) {
	g := admission.New()
	_, now := run(g, epoch, "overloaded", 200, 20, 20)
	admitted, now := run(g, now, "overloaded", 200, 20, 10)
	if admitted < 20*10 || admitted > 20*10*5/2 {
		t.Errorf("%d of 2000 requests were admitted, want 200 to 500", admitted)
	}
	if other, _ := run(g, now, "other", 50, 50, 10); other != 500 {
		t.Errorf("%d of 500 requests of another kind were admitted", other)
	}
	if after, _ := run(g, now.Add(3*time.Second), "overloaded", 20, 20, 10); after != 200 {
		t.Errorf("%d of 200 requests were admitted after the overload", after)
	}
}

// Throttling one workspace must not affect others.
func TestOverloadIsThrottledPerWorkspace(t *testing.T) {
	g := admission.New()
	_, now := run(g, epoch, "overloaded", 200, 20, 20)
	for range 100 {
		if err := g.Admit(now, admission.Request{Workspace: "other", Kind: "overloaded"}); err != nil {
			t.Fatal(err)
		}
	}
}

// Retry times given to successive callers must be spaced by the rate at which
// requests are accepted.
func TestRetryTimesAreSpaced(t *testing.T) {
	g := admission.New()
	_, now := run(g, epoch, "k", 200, 20, 20)
	var last time.Duration
	refused := 0
	for range 100 {
		err := g.Admit(now, admission.Request{Workspace: "w", Kind: "k"})
		e, ok := refusal.As(err)
		if !ok {
			continue
		}
		if gap := e.RetryAfter - last; refused > 0 && (gap < 40*time.Millisecond || gap > 60*time.Millisecond) {
			t.Errorf("retry time %v after the previous one, want about 50 ms at 20 requests per second", gap)
		}
		last = e.RetryAfter
		refused++
	}
	if refused < 50 {
		t.Errorf("%d of 100 refused", refused)
	}
}

func TestRefusalHasRetryAfter(t *testing.T) {
	g := admission.New()
	_, now := run(g, epoch, "k", 100, 0, 5)
	for range 20 {
		err := g.Admit(now, admission.Request{Workspace: "w", Kind: "k"})
		if e, ok := refusal.As(err); ok {
			if e.Reason != refusal.ShareExceeded || e.Outcome != refusal.NotRun || e.RetryAfter <= 0 {
				t.Errorf("refused with %+v", e)
			}
			return
		}
	}
	t.Error("no request was refused")
}

func ExampleGate() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := admission.New(admission.WithStreamLimit(1))
	request := admission.Request{Workspace: "clinic", Kind: "draft"}
	fmt.Println(g.Admit(now, request))
	fmt.Println(g.Admit(now, request))
	g.Release("clinic")
	fmt.Println(g.Admit(now, request))
	// Output:
	// <nil>
	// tooManyStreams (notRun): end some of the workspace's open streams first
	// <nil>
}
