package control_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/coordination/fence"
	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/services/control"
	simulated "github.com/crocusline/crocusline/standin/control"
	"github.com/crocusline/crocusline/standin/platform"
)

var _ kernel.Service = (*control.Service)(nil)

// inForceBound is how long a change may take until it is in force everywhere.
const inForceBound = 8 * time.Second

func member(name string) fleet.Member {
	number := uint16(1)
	for _, c := range name {
		number = number*31 + uint16(c)
	}
	return fleet.Member{
		Incarnation:   name + "/1",
		Name:          name,
		Role:          fleet.Entry,
		Address:       netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), number),
		Region:        "north",
		FailureDomain: "a",
	}
}

// watched is a service whose states are recorded.
type watched struct {
	*control.Service

	mu       sync.Mutex
	versions []int64
	offsets  []int64
}

func (w *watched) record(s *fleet.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions = append(w.versions, s.Version())
	w.offsets = append(w.offsets, s.Next)
}

func (w *watched) seen() []int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.versions)
}

// checkForward fails when a state held less than the one before.
func (w *watched) checkForward(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := 1; i < len(w.versions); i++ {
		if w.versions[i] < w.versions[i-1] || w.offsets[i] <= w.offsets[i-1] {
			t.Fatalf("went back: versions %v, offsets %v", w.versions, w.offsets)
		}
	}
}

func start(t *testing.T, store *platform.Store, name string, opts ...control.Option) *watched {
	t.Helper()
	m := member(name)
	w := &watched{Service: control.New(hclog.NewNullLogger(), store.As(m.Incarnation), m, opts...)}
	w.Subscribe(w.record)
	if err := w.Start(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := w.Close(); err != nil {
			t.Error(err)
		}
		w.checkForward(t)
	})
	return w
}

// publication returns a change of the workspace table.
func publication(id, by string, base int64, workspace string) fleet.Publish {
	weight := map[string]table.Workspace{workspace: {Weight: int(base) + 1}}
	return fleet.Publish{ID: id, By: by, Delta: table.Delta{Base: base, Workspaces: weight}}
}

func publish(t *testing.T, s *watched, event fleet.Event) fleet.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	result, err := s.Publish(ctx, event)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestRacingPublishersHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		a, b := start(t, store, "a"), start(t, store, "b")
		results := make(chan fleet.Result, 2)
		for _, s := range []*watched{a, b} {
			go func() { results <- publish(t, s, publication("p-"+s.Member().Name, s.Member().Name, 0, "clinics")) }()
		}
		var won, lost int
		for range 2 {
			switch r := (<-results).(type) {
			case fleet.Applied:
				won++
			case fleet.Ignored:
				lost++
				if r.Cause != fleet.BaseMoved || r.Winner.ID == "" {
					t.Errorf("the loser is told %+v", r)
				}
			}
		}
		if won != 1 || lost != 1 {
			t.Fatalf("%d won, %d lost", won, lost)
		}
		time.Sleep(inForceBound)
		if a.Version() != 1 || b.Version() != 1 {
			t.Fatalf("versions %d and %d, want 1", a.Version(), b.Version())
		}
	})
}

func TestLostAnswersTakeEffectOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		a, b := start(t, store, "a"), start(t, store, "b")
		for i := range int64(20) {
			store.SetFaults(platform.Faults{LoseNextAnswers: int(i % 4)})
			result := publish(t, a, publication(fmt.Sprint("p", i), "a", i, "clinics"))
			if result != (fleet.Applied{Version: i + 1}) {
				t.Fatalf("publication %d: %+v", i, result)
			}
			if a.Version() != i+1 {
				t.Fatalf("the publisher has version %d, want %d", a.Version(), i+1)
			}
		}
		again := publish(t, b, publication("p3", "a", 3, "clinics"))
		if ignored, ok := again.(fleet.Ignored); !ok || ignored.Cause != fleet.Duplicate {
			t.Fatalf("published again: %+v", again)
		}
	})
}

func TestInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(platform.WithFaults(platform.Faults{AppendsPerSecond: 200}))
		var all []*watched
		for i := range 24 {
			all = append(all, start(t, store, fmt.Sprintf("entry-%d", i)))
		}
		var slowest time.Duration
		for version := range int64(5) {
			begin := time.Now()
			publish(t, all[version], publication(fmt.Sprint("p", version), "a", version, "clinics"))
			for _, s := range all {
				for s.Version() <= version && time.Since(begin) < inForceBound {
					time.Sleep(10 * time.Millisecond)
				}
			}
			slowest = max(slowest, time.Since(begin))
		}
		t.Logf("slowest of 5 publications at 24 processes, in virtual time: %s", slowest)
		if slowest >= inForceBound {
			t.Fatalf("not in force everywhere after %s", slowest)
		}
	})
}

func TestRegistersAndRetires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		a := start(t, store, "a")
		m := member("b")
		b := control.New(hclog.NewNullLogger(), store.As(m.Incarnation), m)
		if err := b.Start(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if _, known := a.State().Members["b/1"]; !known {
			t.Fatal("b/1 is not registered")
		}
		if err := b.Close(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if !a.State().HasEnded("b/1") {
			t.Fatal("b/1 is not retired")
		}
	})
}

func TestFencedProcessIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		a, b := start(t, store, "a"), start(t, store, "b")
		publish(t, a, publication("p", "a", 0, "clinics"))
		time.Sleep(time.Second)
		if !b.Ready() {
			t.Fatal("b is not ready")
		}
		publish(t, a, fleet.Fence{Incarnation: "b/1", By: "a/1"})
		time.Sleep(time.Second)
		if b.Ready() {
			t.Fatal("b is ready though it counts as gone")
		}
	})
}

func TestRetentionPassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(platform.WithFaults(platform.Faults{RetainRecords: 60}))
		schedule := fence.Schedule{Records: 10, Interval: time.Hour}
		a := start(t, store, "a", control.WithSchedule(schedule))
		b := start(t, store, "b", control.WithSchedule(schedule))
		for i := range int64(300) {
			publish(t, a, publication(fmt.Sprint("p", i), "a", i, fmt.Sprint("w", i%7)))
			time.Sleep(time.Second)
		}
		c := start(t, store, "c", control.WithSchedule(schedule))
		time.Sleep(inForceBound)
		for _, s := range []*watched{a, b, c} {
			if s.Version() != 300 || len(s.State().Tables.Workspaces) != 7 {
				t.Errorf("%s has version %d with %d workspaces", s.Member().Name, s.Version(), len(s.State().Tables.Workspaces))
			}
		}
		for _, version := range c.seen() {
			if version != 0 && version != 300 {
				t.Errorf("the newcomer went through states of the past: version %d", version)
			}
		}
	})
}

// Records also go by their age while nothing happens.
func TestRetentionPassedInAQuietTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(platform.WithFaults(platform.Faults{RetainFor: simulated.Duration(time.Hour)}))
		schedule := fence.Schedule{Records: 1000, Interval: 10 * time.Minute}
		a := start(t, store, "a", control.WithSchedule(schedule))
		start(t, store, "b", control.WithSchedule(schedule))
		publish(t, a, publication("p", "a", 0, "clinics"))
		time.Sleep(24 * time.Hour)
		newcomer := start(t, store, "c", control.WithSchedule(schedule))
		time.Sleep(inForceBound)
		if newcomer.Version() != 1 || !newcomer.Ready() {
			t.Fatalf("the newcomer has version %d", newcomer.Version())
		}
	})
}

// A newcomer reads the stream in several parts. It must not act on the first.
func TestNewcomerSkipsThePast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		schedule := fence.Schedule{Records: 100_000, Interval: 100 * time.Hour}
		a := start(t, store, "a", control.WithSchedule(schedule))
		const publications = 2500
		for i := range int64(publications) {
			publish(t, a, publication(fmt.Sprint("p", i), "a", i, "clinics"))
		}
		store.SetFaults(platform.Faults{Slowness: simulated.Duration(100 * time.Millisecond)})
		b := start(t, store, "b", control.WithSchedule(schedule))
		time.Sleep(inForceBound)
		for _, version := range b.seen() {
			if version != 0 && version != publications {
				t.Errorf("the newcomer took up version %d", version)
			}
		}
	})
}
