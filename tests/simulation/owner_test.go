package simulation

import (
	"context"
	"slices"
	"time"

	model "github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/services/stream"
)

const (
	leaseTime = 6 * time.Second
	// suspectAfter is when a paused entry is taken for dead.
	suspectAfter = 8 * time.Second
)

// owner competes for the shards, and closes dead entries in those it owns.
type owner struct {
	*process
	streams []*stream.Stream
	states  []*folded
}

// folded is the state of a stream as a process folds it.
type folded struct{ state *model.State }

// Apply implements stream.StateMachine.
func (f *folded) Apply(at stream.Position, bodies [][]byte) {
	for _, body := range bodies {
		all, err := model.Decode(body)
		if err != nil {
			continue
		}
		for _, e := range all {
			f.state.Apply(at.Time, e)
		}
	}
}

// Snapshot implements stream.StateMachine.
func (f *folded) Snapshot() ([]byte, error) { return f.state.Snapshot() }

// Restore implements stream.StateMachine.
func (f *folded) Restore(data []byte) error {
	f.state = model.New()
	if data == nil {
		return nil
	}
	return f.state.Restore(data)
}

func (w *world) startOwner(name string) *owner {
	o := &owner{process: w.start(name)}
	for i := range shards {
		f := &folded{state: model.New()}
		s := stream.New(model.StreamName(i), o.incarnation, o.process, f)
		s.Run(o.ctx)
		o.streams, o.states = append(o.streams, s), append(o.states, f)
		w.tasks.Go(func() { o.keep(s, f) })
	}
	return o
}

func (o *owner) close() {
	for _, s := range o.streams {
		_ = s.Close()
	}
}

// keep renews the lease of a shard, or claims it when the lease was not renewed.
func (o *owner) keep(s *stream.Stream, f *folded) {
	renewed, last := time.Now(), int64(0)
	for !o.dead() {
		sleep(o.ctx, o.between("lease"+s.Name(), time.Second, 2*time.Second))
		if o.gate() != nil {
			return
		}
		st := s.Status()
		if st.Owner == o.incarnation {
			o.closeDead(s, f, st.Epoch)
			continue
		}
		if st.Next != last {
			renewed, last = time.Now(), st.Next
		}
		// Other processes write too: a busy stream hides a lapsed lease unless
		// the claim is drawn.
		if st.Epoch == 0 || time.Since(renewed) > leaseTime || o.draw("claim"+s.Name(), 12) == 0 {
			ctx, cancel := context.WithTimeout(o.ctx, leaseTime)
			_ = s.Claim(ctx, st.Epoch+1)
			cancel()
		}
	}
}

// closeDead renews the lease and closes the entries that every sidecar fenced
// and settled.
func (o *owner) closeDead(s *stream.Stream, f *folded, epoch uint64) {
	ctx, cancel := context.WithTimeout(o.ctx, leaseTime)
	defer cancel()
	if _, err := s.AppendInEpoch(ctx, epoch); err != nil {
		return
	}
	for _, suspect := range o.world.suspected() {
		var closed bool
		s.View(func(stream.Status) { closed = f.state.Closed(suspect) })
		if closed || !o.world.fenced(suspect) {
			continue
		}
		body, err := model.Encode(model.CloseHolder{Holder: suspect})
		if err == nil {
			_, _ = s.AppendInEpoch(ctx, epoch, body)
		}
	}
}

// suspected returns the entry incarnations that are taken for dead.
func (w *world) suspected() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for _, e := range w.entries {
		if e.suspected(suspectAfter) {
			w.suspects[e.incarnation] = e.process
		}
	}
	for name := range w.suspects {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// fenced fences an entry at all sidecars, and says whether its holds are settled.
func (w *world) fenced(entry string) bool {
	settled := true
	for _, s := range w.allSidecars() {
		settled = s.fence(entry) && settled
	}
	return settled
}
