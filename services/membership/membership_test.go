package membership_test

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/modules/peer/peertest"
	"github.com/crocusline/crocusline/modules/platform"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	"github.com/crocusline/crocusline/services/membership"
)

var _ kernel.Service = (*membership.Watcher)(nil)

// world is the fleet's state and the platform's list, seen by all alike.
type world struct {
	net *peertest.Network

	mu     sync.Mutex
	state  *fleet.State
	listed []string
	fences int
	down   bool
}

func (w *world) State() *fleet.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

func (w *world) Publish(_ context.Context, event fleet.Event) (fleet.Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, fenced := event.(fleet.Fence); fenced {
		w.fences++
	}
	next, result := w.state.Apply(w.state.Next, time.Now(), event)
	w.state = next
	return result, nil
}

func (w *world) Instances(context.Context) ([]platform.Instance, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return nil, errors.New("platform away")
	}
	var list []platform.Instance
	for _, name := range w.listed {
		list = append(list, platform.Instance{Name: name})
	}
	return list, nil
}

// list sets whom the platform's list names.
func (w *world) list(names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = names
}

func (w *world) setDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

func (w *world) fenced() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fences
}

// unready answers as an entry without tables does.
type unready struct {
	peerv1connect.UnimplementedTableServiceHandler
}

func (unready) Current(context.Context, *connect.Request[peerv1.CurrentRequest]) (*connect.Response[peerv1.CurrentResponse], error) {
	return nil, connect.NewError(connect.CodeUnavailable, errors.New("no tables here yet"))
}

// start starts the entries a, b, c and d.
func start(t *testing.T) (*world, map[string]fleet.Member) {
	t.Helper()
	w := &world{net: peertest.New(), state: fleet.New()}
	names := []string{"a", "b", "c", "d"}
	w.list(names...)
	members := map[string]fleet.Member{}
	for i, name := range names {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		m := fleet.Member{Incarnation: name + "/1", Name: name, Role: fleet.Entry, Address: address}
		members[name] = m
		mux := http.NewServeMux()
		mux.Handle(peerv1connect.NewTableServiceHandler(unready{}))
		w.net.Serve(address, mux)
		if _, err := w.Publish(t.Context(), fleet.Register{Member: m}); err != nil {
			t.Fatal(err)
		}
		watcher := membership.New(m, w, w, w.net.Client(address))
		if err := watcher.Start(context.Background(), nil); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := watcher.Close(); err != nil {
				t.Error(err)
			}
		})
	}
	return w, members
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

func TestKilledEntryIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, members := start(t)
		time.Sleep(5 * time.Minute)
		began := time.Now()
		w.net.SetCut(members["d"].Address, true)
		w.list("a", "b", "c")
		for !w.State().IsGone("d/1") && time.Since(began) < 10*time.Minute {
			time.Sleep(time.Second)
		}
		t.Logf("fenced %s of virtual time after the kill", time.Since(began))
		if took := time.Since(began); took > 2*time.Minute {
			t.Errorf("fenced after %s", took)
		}
		time.Sleep(5 * time.Minute)
		if got := w.fenced(); got != 1 || len(w.State().Members) != 3 {
			t.Errorf("%d fences, members %v", got, w.State().Members)
		}
	})
}

func TestNobodyIsFencedWithoutBothSigns(t *testing.T) {
	cases := []struct {
		name  string
		fault func(w *world, m fleet.Member)
	}{
		{"listed but silent", func(w *world, m fleet.Member) { w.net.SetCut(m.Address, true) }},
		{"unlisted but answering", func(w *world, m fleet.Member) { w.list(without([]string{"a", "b", "c", "d"}, m.Name)...) }},
		{"list away", func(w *world, m fleet.Member) { w.setDown(true); w.net.SetCut(m.Address, true) }},
		{"list empty", func(w *world, m fleet.Member) { w.list(); w.net.SetCut(m.Address, true) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, members := start(t)
				c.fault(w, members["d"])
				time.Sleep(10 * time.Minute)
				if got := w.fenced(); got != 0 {
					t.Errorf("%d fences", got)
				}
			})
		})
	}
}

func TestEntryThatComesBackIsNotFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, members := start(t)
		w.list("a", "b", "c")
		w.net.SetCut(members["d"].Address, true)
		time.Sleep(70 * time.Second)
		w.net.SetCut(members["d"].Address, false)
		time.Sleep(10 * time.Minute)
		if got := w.fenced(); got != 0 {
			t.Errorf("%d fences", got)
		}
	})
}
