package simulation

import (
	"context"
	"slices"
	"time"

	model "github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/services/stream"
)

const (
	leaseDuration = 6 * time.Second
	// suspectAfter is the length of a pause after which an entry is suspected to be
	// dead.
	suspectAfter = 8 * time.Second
)

// owner is a candidate for the ownership of all shards. In the shards that it owns,
// it closes dead entries.
type owner struct {
	*process
	streams  []*stream.Stream
	replicas []*replica
}

// replica is a process's copy of a shard's state.
type replica struct{ state *model.State }

// Apply implements stream.StateMachine.
func (r *replica) Apply(at stream.Position, bodies [][]byte) {
	for _, body := range bodies {
		all, err := model.Decode(body)
		if err != nil {
			continue
		}
		for _, e := range all {
			r.state.Apply(at.Time, e)
		}
	}
}

// Snapshot implements stream.StateMachine.
func (r *replica) Snapshot() ([]byte, error) { return r.state.Snapshot() }

// Restore implements stream.StateMachine.
func (r *replica) Restore(data []byte) error {
	r.state = model.New()
	if data == nil {
		return nil
	}
	return r.state.Restore(data)
}

func (env *environment) startOwner(name string) *owner {
	o := &owner{process: env.newProcess(name)}
	for i := range shards {
		r := &replica{state: model.New()}
		s := stream.New(model.StreamName(i), o.incarnation, o.process, r)
		s.Run(o.ctx)
		o.streams, o.replicas = append(o.streams, s), append(o.replicas, r)
		env.tasks.Go(func() { o.maintainLease(s, r) })
	}
	return o
}

func (o *owner) close() {
	for _, s := range o.streams {
		_ = s.Close()
	}
}

// maintainLease renews the lease of an owned shard, and claims other shards after
// their lease has expired.
func (o *owner) maintainLease(s *stream.Stream, r *replica) {
	renewed, last := time.Now(), int64(0)
	for !o.dead() {
		sleep(o.ctx, o.drawDuration("lease"+s.Name(), time.Second, 2*time.Second))
		if o.waitWhilePaused() != nil {
			return
		}
		st := s.Status()
		if st.Owner == o.incarnation {
			o.closeDeadEntries(s, r, st.Epoch)
			continue
		}
		if st.Next != last {
			renewed, last = time.Now(), st.Next
		}
		// Records of other processes also count as renewals here, so an expired lease
		// can go unnoticed on a busy stream. Claims are therefore also made at random.
		if st.Epoch == 0 || time.Since(renewed) > leaseDuration || o.drawInt("claim"+s.Name(), 12) == 0 {
			ctx, cancel := context.WithTimeout(o.ctx, leaseDuration)
			_ = s.Claim(ctx, st.Epoch+1)
			cancel()
		}
	}
}

// closeDeadEntries renews the lease and closes the suspected entries that all
// sidecars have fenced and settled.
func (o *owner) closeDeadEntries(s *stream.Stream, r *replica, epoch uint64) {
	ctx, cancel := context.WithTimeout(o.ctx, leaseDuration)
	defer cancel()
	if _, err := s.AppendInEpoch(ctx, epoch); err != nil {
		return
	}
	for _, suspect := range o.env.suspectedEntries() {
		var closed bool
		s.View(func(stream.Status) { closed = r.state.Closed(suspect) })
		if closed || !o.env.fenceAtAllSidecars(suspect) {
			continue
		}
		body, err := model.Encode(model.CloseHolder{Holder: suspect})
		if err == nil {
			_, _ = s.AppendInEpoch(ctx, epoch, body)
		}
	}
}

// suspectedEntries returns the entry incarnations that are suspected to be dead, in
// sorted order.
func (env *environment) suspectedEntries() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	var names []string
	for _, e := range env.entries {
		if e.isSuspected(suspectAfter) {
			env.suspects[e.incarnation] = e.process
		}
	}
	for name := range env.suspects {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// fenceAtAllSidecars fences an entry at all sidecars and reports whether its holds
// are settled.
func (env *environment) fenceAtAllSidecars(entry string) bool {
	settled := true
	for _, s := range env.allSidecars() {
		settled = s.fence(entry) && settled
	}
	return settled
}
