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

// world is a fleet with the platform's list of it.
type world struct {
	mu     sync.Mutex
	state  *fleet.State
	duty   bool
	listed []string
	err    error
	alive  map[string]bool
}

func newWorld(t *testing.T, names ...string) *world {
	t.Helper()
	w := &world{state: fleet.New(), duty: true, listed: names, alive: map[string]bool{}}
	for _, name := range names {
		if _, err := w.Publish(t.Context(), fleet.Register{Member: fleet.Member{Incarnation: name + "/1", Name: name}}); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

func (w *world) Member() fleet.Member { return fleet.Member{Incarnation: "a/1", Name: "a"} }

func (w *world) State() *fleet.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

func (w *world) IsCoordinator() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.duty
}

func (w *world) Publish(_ context.Context, event fleet.Event) (fleet.Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, result := w.state.Apply(w.state.Next, time.Now(), event)
	w.state = next
	return result, nil
}

func (w *world) Instances(context.Context) ([]platform.Instance, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []platform.Instance
	for _, name := range w.listed {
		list = append(list, platform.Instance{Name: name})
	}
	return list, w.err
}

func (w *world) Alive(_ context.Context, m fleet.Member) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.alive[m.Name]
}

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) start(t *testing.T) {
	t.Helper()
	s := membership.New(hclog.NewNullLogger(), w, w, w)
	if err := s.Start(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
}

func (w *world) wantGone(t *testing.T, incarnation string, gone bool) {
	t.Helper()
	if w.State().HasEnded(incarnation) != gone {
		t.Errorf("%s gone: %t, want %t", incarnation, !gone, gone)
	}
}

func TestTakesOffWhoIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b", "c", "d")
		w.start(t)
		time.Sleep(10 * time.Minute)
		w.wantGone(t, "b/1", false)

		w.set(func() { w.listed, w.alive["c"] = []string{"d"}, true })
		time.Sleep(2 * time.Minute)
		w.wantGone(t, "b/1", false)
		time.Sleep(2 * time.Minute)
		w.wantGone(t, "a/1", false)
		w.wantGone(t, "b/1", true)
		w.wantGone(t, "c/1", false)
		w.wantGone(t, "d/1", false)
	})
}

func TestLeavesMembersOn(t *testing.T) {
	for name, change := range map[string]func(*world){
		"with an empty list":            func(w *world) { w.listed = nil },
		"without a list":                func(w *world) { w.listed, w.err = []string{"a"}, errors.New("away") },
		"while another has the duty":    func(w *world) { w.listed, w.duty = []string{"a"}, false },
		"that are back before the time": func(w *world) { w.listed = []string{"a"} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, "a", "b")
				w.start(t)
				w.set(func() { change(w) })
				time.Sleep(2 * time.Minute)
				w.set(func() {
					if w.listed != nil && w.err == nil && w.duty {
						w.listed = []string{"a", "b"}
					}
				})
				time.Sleep(10 * time.Minute)
				w.wantGone(t, "b/1", false)
				w.set(func() { change(w) })
				time.Sleep(2 * time.Minute)
				w.wantGone(t, "b/1", false)
			})
		})
	}
}
