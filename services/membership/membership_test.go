package membership_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/modules/platform"
	"github.com/crocusline/crocusline/services/membership"
)

var _ kernel.Service = (*membership.Service)(nil)

// fakeFleet is the Control, Lister and Prober of a fleet.
type fakeFleet struct {
	mu          sync.Mutex
	state       *fleet.State
	coordinator bool
	listed      []string
	listErr     error
	alive       map[string]bool
}

func newFakeFleet(t *testing.T, names ...string) *fakeFleet {
	t.Helper()
	f := &fakeFleet{state: fleet.New(), coordinator: true, listed: names, alive: map[string]bool{}}
	for _, name := range names {
		if _, err := f.Publish(t.Context(), fleet.Register{Member: fleet.Member{Incarnation: name + "/1", Name: name}}); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

func (f *fakeFleet) Member() fleet.Member { return fleet.Member{Incarnation: "a/1", Name: "a"} }

func (f *fakeFleet) State() *fleet.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *fakeFleet) IsCoordinator() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.coordinator
}

func (f *fakeFleet) Publish(_ context.Context, event fleet.Event) (fleet.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, result := f.state.Apply(f.state.Next, time.Now(), event)
	f.state = next
	return result, nil
}

func (f *fakeFleet) Instances(context.Context) ([]platform.Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []platform.Instance
	for _, name := range f.listed {
		list = append(list, platform.Instance{Name: name})
	}
	return list, f.listErr
}

func (f *fakeFleet) Alive(_ context.Context, m fleet.Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.alive[m.Name]
}

func (f *fakeFleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeFleet) start(t *testing.T) {
	t.Helper()
	s := membership.New(hclog.NewNullLogger(), f, f, f)
	if err := s.Start(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
}

func (f *fakeFleet) checkEnded(t *testing.T, incarnation string, ended bool) {
	t.Helper()
	if f.State().HasEnded(incarnation) != ended {
		t.Errorf("%s ended: %t, want %t", incarnation, !ended, ended)
	}
}

func TestFencesAbsentMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, "a", "b", "c", "d")
		f.start(t)
		time.Sleep(10 * time.Minute)
		f.checkEnded(t, "b/1", false)

		f.update(func() { f.listed, f.alive["c"] = []string{"d"}, true })
		time.Sleep(2 * time.Minute)
		f.checkEnded(t, "b/1", false)
		time.Sleep(2 * time.Minute)
		f.checkEnded(t, "a/1", false)
		f.checkEnded(t, "b/1", true)
		f.checkEnded(t, "c/1", false)
		f.checkEnded(t, "d/1", false)
	})
}

func TestDoesNotFence(t *testing.T) {
	for name, change := range map[string]func(*fakeFleet){
		"empty list":           func(f *fakeFleet) { f.listed = nil },
		"list unavailable":     func(f *fakeFleet) { f.listed, f.listErr = []string{"a"}, errors.New("list unavailable") },
		"not coordinator":      func(f *fakeFleet) { f.listed, f.coordinator = []string{"a"}, false },
		"listed again in time": func(f *fakeFleet) { f.listed = []string{"a"} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, "a", "b")
				f.start(t)
				f.update(func() { change(f) })
				time.Sleep(2 * time.Minute)
				f.update(func() {
					if f.listed != nil && f.listErr == nil && f.coordinator {
						f.listed = []string{"a", "b"}
					}
				})
				time.Sleep(10 * time.Minute)
				f.checkEnded(t, "b/1", false)
				f.update(func() { change(f) })
				time.Sleep(2 * time.Minute)
				f.checkEnded(t, "b/1", false)
			})
		})
	}
}
