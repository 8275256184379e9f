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

func TestStreamsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := admission.New(admission.WithStreamLimit(3), admission.WithWorkspaceStreamLimit("a", 5))
		limits := map[string]int{"a": 5, "b": 3}
		open := map[string]int{}
		for range rapid.IntRange(0, 60).Draw(rt, "events") {
			w := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "workspace")
			if rapid.Bool().Draw(rt, "ask") {
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

// run asks for perSecond requests of a kind over some seconds of which the
// sidecars accept capacity, and counts what reaches them.
func run(g *admission.Gate, now time.Time, kind string, perSecond, capacity, seconds int) (passed int, end time.Time) {
	for range seconds {
		taken := 0
		for i := range perSecond {
			at := now.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			if g.Admit(at, admission.Request{Workspace: "w", Kind: kind}) != nil {
				continue
			}
			passed++
			g.Release("w")
			if taken < capacity {
				taken++
				g.RecordAccepted(at, admission.Request{Workspace: "w", Kind: kind})
			} else {
				g.RecordRefused(at, admission.Request{Workspace: "w", Kind: kind}, 2*time.Second)
			}
		}
		now = now.Add(time.Second)
	}
	return passed, now
}

func TestFloodOfOneKindIsCutToTheSlack(t *testing.T) {
	g := admission.New()
	_, now := run(g, epoch, "flood", 200, 20, 20)
	passed, now := run(g, now, "flood", 200, 20, 10)
	if passed < 20*10 || passed > 20*10*5/2 {
		t.Errorf("%d of 2000 reached the sidecars, which take 200", passed)
	}
	if other, _ := run(g, now, "other", 50, 50, 10); other != 500 {
		t.Errorf("%d of 500 of another kind passed", other)
	}
	if after, _ := run(g, now.Add(3*time.Second), "flood", 20, 20, 10); after != 200 {
		t.Errorf("%d of 200 passed after the flood", after)
	}
}

// The flood of one workspace keeps nobody else out.
func TestFloodOfOneWorkspace(t *testing.T) {
	g := admission.New()
	_, now := run(g, epoch, "flood", 200, 20, 20)
	for range 100 {
		if err := g.Admit(now, admission.Request{Workspace: "other", Kind: "flood"}); err != nil {
			t.Fatal(err)
		}
	}
}

// Callers refused in a row come back at the rate at which work is accepted.
func TestComeBackTimesAreSpaced(t *testing.T) {
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
			t.Errorf("%v after the one before, want about 50 ms at 20 a second", gap)
		}
		last = e.RetryAfter
		refused++
	}
	if refused < 50 {
		t.Errorf("%d of 100 refused", refused)
	}
}

func TestRefusalSaysWhenToComeBack(t *testing.T) {
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
	t.Error("nothing was refused")
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
