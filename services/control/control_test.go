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

// propagationBound is how long a change may take to reach all processes.
const propagationBound = 8 * time.Second

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

// recordedService is a service whose states are recorded.
type recordedService struct {
	*control.Service

	mu       sync.Mutex
	versions []int64
	offsets  []int64
}

func (s *recordedService) record(state *fleet.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, state.Version())
	s.offsets = append(s.offsets, state.Next)
}

func (s *recordedService) recordedVersions() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.versions)
}

// checkMonotonic fails if a state is older than the one before.
func (s *recordedService) checkMonotonic(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 1; i < len(s.versions); i++ {
		if s.versions[i] < s.versions[i-1] || s.offsets[i] <= s.offsets[i-1] {
			t.Fatalf("states not in order: versions %v, offsets %v", s.versions, s.offsets)
		}
	}
}

func start(t *testing.T, store *platform.Store, name string, opts ...control.Option) *recordedService {
	t.Helper()
	m := member(name)
	s := &recordedService{Service: control.New(hclog.NewNullLogger(), store.LogFor(m.Incarnation), m, opts...)}
	s.Subscribe(s.record)
	if err := s.Start(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		s.checkMonotonic(t)
	})
	return s
}

// publication returns a change of the workspace table.
func publication(id, by string, base int64, workspace string) fleet.Publish {
	weight := map[string]table.Workspace{workspace: {Weight: int(base) + 1}}
	return fleet.Publish{ID: id, By: by, Delta: table.Delta{Base: base, Workspaces: weight}}
}

func publish(t *testing.T, s *recordedService, event fleet.Event) fleet.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	result, err := s.Publish(ctx, event)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestConcurrentPublicationsHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		a, b := start(t, store, "a"), start(t, store, "b")
		results := make(chan fleet.Result, 2)
		for _, s := range []*recordedService{a, b} {
			go func() { results <- publish(t, s, publication("p-"+s.Member().Name, s.Member().Name, 0, "clinics")) }()
		}
		var applied, ignored int
		for range 2 {
			switch r := (<-results).(type) {
			case fleet.Applied:
				applied++
			case fleet.Ignored:
				ignored++
				if r.Cause != fleet.BaseMoved || r.Winner.ID == "" {
					t.Errorf("ignored publication has result %+v", r)
				}
			}
		}
		if applied != 1 || ignored != 1 {
			t.Fatalf("%d applied, %d ignored", applied, ignored)
		}
		time.Sleep(propagationBound)
		if a.Version() != 1 || b.Version() != 1 {
			t.Fatalf("versions %d and %d, want 1", a.Version(), b.Version())
		}
	})
}

func TestLostResponsesTakeEffectOnce(t *testing.T) {
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

func TestPublicationReachesAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(platform.WithFaults(platform.Faults{AppendsPerSecond: 200}))
		var all []*recordedService
		for i := range 24 {
			all = append(all, start(t, store, fmt.Sprintf("entry-%d", i)))
		}
		var slowest time.Duration
		for version := range int64(5) {
			begin := time.Now()
			publish(t, all[version], publication(fmt.Sprint("p", version), "a", version, "clinics"))
			for _, s := range all {
				for s.Version() <= version && time.Since(begin) < propagationBound {
					time.Sleep(10 * time.Millisecond)
				}
			}
			slowest = max(slowest, time.Since(begin))
		}
		t.Logf("slowest of 5 publications at 24 processes, in virtual time: %s", slowest)
		if slowest >= propagationBound {
			t.Fatalf("publication took %s to reach all processes", slowest)
		}
	})
}

func TestRegistersAndRetires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		a := start(t, store, "a")
		m := member("b")
		b := control.New(hclog.NewNullLogger(), store.LogFor(m.Incarnation), m)
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
			t.Fatal("b is ready though it is fenced")
		}
	})
}

func TestStartAfterRecordsExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(platform.WithFaults(platform.Faults{RetainRecords: 60}))
		schedule := fence.CheckpointSchedule{Records: 10, Interval: time.Hour}
		a := start(t, store, "a", control.WithSchedule(schedule))
		b := start(t, store, "b", control.WithSchedule(schedule))
		for i := range int64(300) {
			publish(t, a, publication(fmt.Sprint("p", i), "a", i, fmt.Sprint("w", i%7)))
			time.Sleep(time.Second)
		}
		c := start(t, store, "c", control.WithSchedule(schedule))
		time.Sleep(propagationBound)
		for _, s := range []*recordedService{a, b, c} {
			if s.Version() != 300 || len(s.State().Tables.Workspaces) != 7 {
				t.Errorf("%s has version %d with %d workspaces", s.Member().Name, s.Version(), len(s.State().Tables.Workspaces))
			}
		}
		for _, version := range c.recordedVersions() {
			if version != 0 && version != 300 {
				t.Errorf("c had the outdated version %d", version)
			}
		}
	})
}

// The log deletes records by their age even if no new records are appended. Checkpoints
// must still be written, so that a process that starts later can read the state.
func TestStartAfterRecordsExpiredWithoutWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(platform.WithFaults(platform.Faults{RetainFor: simulated.Duration(time.Hour)}))
		schedule := fence.CheckpointSchedule{Records: 1000, Interval: 10 * time.Minute}
		a := start(t, store, "a", control.WithSchedule(schedule))
		start(t, store, "b", control.WithSchedule(schedule))
		publish(t, a, publication("p", "a", 0, "clinics"))
		time.Sleep(24 * time.Hour)
		c := start(t, store, "c", control.WithSchedule(schedule))
		time.Sleep(propagationBound)
		if c.Version() != 1 || !c.Ready() {
			t.Fatalf("c has version %d", c.Version())
		}
	})
}

// A process that starts reads the stream in several parts. It must not use the state
// before it has read all of them.
func TestStartSkipsOutdatedStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		schedule := fence.CheckpointSchedule{Records: 100_000, Interval: 100 * time.Hour}
		a := start(t, store, "a", control.WithSchedule(schedule))
		const publications = 2500
		for i := range int64(publications) {
			publish(t, a, publication(fmt.Sprint("p", i), "a", i, "clinics"))
		}
		store.SetFaults(platform.Faults{Slowness: simulated.Duration(100 * time.Millisecond)})
		b := start(t, store, "b", control.WithSchedule(schedule))
		time.Sleep(propagationBound)
		for _, version := range b.recordedVersions() {
			if version != 0 && version != publications {
				t.Errorf("b had the outdated version %d", version)
			}
		}
	})
}
