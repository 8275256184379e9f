package shard

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/lease"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/services/stream"
)

// writerSeparator separates the incarnation from the replica's number in the
// name of a writer.
const writerSeparator = "+host"

// hostedShard is a shard that this process owns or monitors as a candidate.
type hostedShard struct {
	host   *Host
	number int
	// The fields from monitor to publishedEpoch are used only by the goroutine
	// of run.
	monitor *lease.Monitor
	// monitoredEpoch is the epoch of the owner that monitor observes.
	monitoredEpoch int64
	evaluated      evaluation
	openCount      int
	// publishedEpoch is the epoch of the last published owner hint.
	publishedEpoch uint64

	mu sync.Mutex
	// replica is nil unless this process has claimed the shard.
	replica *replica
	// resigned is set when the shard is handed over.
	resigned    bool
	activeCalls int
	// lastRecall is the time of the last recall by workspace.
	lastRecall map[string]time.Time
}

// evaluation is this process's candidacy according to a fleet state.
type evaluation struct {
	state     *fleet.State
	candidacy lease.Candidacy
	member    bool
}

// replica is a copy of the shard's state, built by reading the shard's stream in
// order to own the shard.
type replica struct {
	writer string
	stream *stream.Stream
	// state must only be read inside Stream.View and Stream.Wait.
	state *ledger.State
}

// Apply implements stream.StateMachine.
func (r *replica) Apply(at stream.Position, bodies [][]byte) {
	for _, body := range bodies {
		r.state.ApplyBody(at.Time, body, countEffect)
	}
}

// Snapshot implements stream.StateMachine.
func (r *replica) Snapshot() ([]byte, error) { return r.state.Snapshot() }

// Restore implements stream.StateMachine.
func (r *replica) Restore(data []byte) error {
	if data == nil {
		*r.state = *ledger.New()
		return nil
	}
	return r.state.Restore(data)
}

// isOwner reports whether the last claim read from the stream is this replica's.
func (r *replica) isOwner() bool { return r.stream.Status().Owner == r.writer }

// run claims, serves and releases the shard until the context ends.
func (s *hostedShard) run(ctx context.Context) {
	s.monitor = lease.NewMonitor(time.Now(), s.host.leaseTimeout)
	ticker := time.NewTicker(s.host.leaseTimeout / checksPerLease)
	defer ticker.Stop()
	for {
		s.check(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *hostedShard) check(ctx context.Context) {
	s.mu.Lock()
	r := s.replica
	s.mu.Unlock()
	if r != nil {
		s.checkOwned(ctx, r)
		return
	}
	if !s.host.fleet.LogReachable() {
		// This process could not claim the shard now. It must not send probes
		// either, since a probe from the preferred owner makes the owner hand over
		// the shard.
		s.monitor.Reset(time.Now())
		return
	}
	state := s.host.fleet.State()
	owner := state.Owners[s.number]
	if owner.Epoch != s.monitoredEpoch {
		s.monitoredEpoch = owner.Epoch
		s.monitor.Reset(time.Now())
	}
	candidacy, member := s.candidacy(state)
	if !member {
		return
	}
	switch s.monitor.Next(time.Now(), candidacy).(type) {
	case lease.Probe:
		s.probe(ctx, owner)
	case lease.Claim:
		s.claim(ctx, owner)
	default:
	}
}

// candidacy returns this process's candidacy for the shard, and whether this
// process is a member.
func (s *hostedShard) candidacy(state *fleet.State) (lease.Candidacy, bool) {
	if s.evaluated.state == state {
		return s.evaluated.candidacy, s.evaluated.member
	}
	owner := state.Owners[s.number].Incarnation
	_, owned := state.Members[owner]
	owned = owned && owner != s.host.member.Incarnation
	if !owned {
		owner = ""
	}
	rank, member := s.rank(state, s.host.member.Incarnation, owner)
	s.evaluated = evaluation{state: state, candidacy: lease.Candidacy{Rank: rank, Owned: owned}, member: member}
	return s.evaluated.candidacy, member
}

// rank returns an entry's position in the shard's preference order of all
// entries except one, and whether the entry is a member.
func (s *hostedShard) rank(state *fleet.State, incarnation, except string) (int, bool) {
	self, member := state.Members[incarnation]
	if !member {
		return 0, false
	}
	var names []string
	for _, m := range state.Members {
		if m.Role == fleet.Entry && m.Incarnation != except {
			names = append(names, m.Name)
		}
	}
	return lease.Rank(s.number, self.Name, names), true
}

// checkOwned publishes the owner hint of a claimed shard. It releases the shard
// if another process has claimed it, if it was handed over and no call is in
// flight, or if this process is no longer a member.
func (s *hostedShard) checkOwned(ctx context.Context, r *replica) {
	s.mu.Lock()
	handedOver := s.resigned && s.activeCalls == 0
	s.mu.Unlock()
	_, member := s.host.fleet.State().Members[s.host.member.Incarnation]
	if !r.isOwner() || handedOver || !member {
		s.release(r)
		return
	}
	epoch := r.stream.Status().Epoch
	if s.publishedEpoch == epoch {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	hint := fleet.OwnerHint{Shard: s.number, Owner: fleet.Owner{
		Incarnation: s.host.member.Incarnation,
		Address:     s.host.member.Address,
		Epoch:       int64(epoch),
	}}
	if _, err := s.host.fleet.Publish(ctx, hint); err != nil {
		s.host.logger.Warn("owner hint not published", "shard", s.number, "error", err)
		return
	}
	s.publishedEpoch = epoch
}

// release stops serving the shard and closes its replica.
func (s *hostedShard) release(r *replica) {
	s.mu.Lock()
	s.replica, s.resigned = nil, false
	s.mu.Unlock()
	s.monitor.Reset(time.Now())
	releases.Inc()
	s.host.logger.Info("shard released", "shard", s.number, "epoch", r.stream.Status().Epoch)
	if err := r.stream.Close(); err != nil {
		s.host.logger.Warn("shard stream not closed", "shard", s.number, "error", err)
	}
}

// probe queries the owner whether it still serves the shard.
func (s *hostedShard) probe(ctx context.Context, owner fleet.Owner) {
	switch s.host.probe(ctx, s.number, owner.Address).(type) {
	case serving:
		s.monitor.Reset(time.Now())
	case notServing:
		s.monitor.OwnerResigned()
	default:
		unansweredProbes.Inc()
	}
}

// claim reads the shard's stream and claims the shard. It makes no claim if the
// stream has an owner that differs from the hint and still serves the shard.
func (s *hostedShard) claim(ctx context.Context, hint fleet.Owner) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r := s.openReplica(ctx)
	claimed := false
	defer func() {
		if !claimed {
			if err := r.stream.Close(); err != nil {
				s.host.logger.Warn("shard stream not closed", "shard", s.number, "error", err)
			}
		}
	}()
	err := r.stream.Wait(ctx, func(st stream.Status) bool { return st.Ready && st.Reachable })
	if err != nil {
		return
	}
	st := r.stream.Status()
	if s.servedByOther(ctx, st, hint) {
		s.monitor.Reset(time.Now())
		return
	}
	claims.Inc()
	err = r.stream.Claim(ctx, st.Epoch+1)
	var fenced *stream.FencedError
	if errors.As(err, &fenced) {
		claimsLost.Inc()
		s.monitor.Reset(time.Now())
	}
	if err != nil {
		s.host.logger.Info("shard not claimed", "shard", s.number, "epoch", st.Epoch+1, "error", err)
		return
	}
	claimed = true
	s.mu.Lock()
	s.replica, s.resigned = r, false
	s.lastRecall = map[string]time.Time{}
	s.mu.Unlock()
	s.host.logger.Info("shard claimed", "shard", s.number, "epoch", st.Epoch+1, "before", st.Owner)
	s.check(ctx)
}

// openReplica starts to read the shard's stream. The writer name is unique for
// each replica, because the log numbers the records of each writer
// consecutively.
func (s *hostedShard) openReplica(ctx context.Context) *replica {
	s.openCount++
	r := &replica{
		writer: fmt.Sprintf("%s%s%d", s.host.member.Incarnation, writerSeparator, s.openCount),
		state:  ledger.New(),
	}
	r.stream = stream.New(ledger.StreamName(s.number), r.writer, s.host.log, r,
		stream.WithAppendInterval(s.host.appendInterval),
		stream.WithLimiter(s.host.limiter),
		stream.WithLogger(s.host.logger),
		stream.WithCheckpoints(s.host.schedule, func() bool { return r.isOwner() }),
	)
	r.stream.Run(context.WithoutCancel(ctx))
	return r
}

// servedByOther reports whether the stream's owner differs from both the hint and
// this process, and answers that it serves the shard.
func (s *hostedShard) servedByOther(ctx context.Context, st stream.Status, hint fleet.Owner) bool {
	incarnation := incarnationOf(st.Owner)
	if incarnation == hint.Incarnation || incarnation == s.host.member.Incarnation {
		return false
	}
	owner, member := s.host.fleet.State().Members[incarnation]
	if !member {
		return false
	}
	_, serves := s.host.probe(ctx, s.number, owner.Address).(serving)
	return serves
}

// ownedReplica returns the replica if this process owns and serves the shard.
func (s *hostedShard) ownedReplica() (*replica, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica == nil || s.resigned || !s.replica.isOwner() {
		return nil, false
	}
	return s.replica, true
}

// beginCall returns the replica for a call. The caller must call endCall if ok is
// true.
func (s *hostedShard) beginCall() (r *replica, ok bool) {
	r, ok = s.ownedReplica()
	if !ok {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeCalls++
	return r, true
}

func (s *hostedShard) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeCalls--
}

// resign stops serving the shard, so that another process can claim it without
// waiting for the lease timeout.
func (s *hostedShard) resign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resigned = true
}

func (s *hostedShard) close() error {
	s.mu.Lock()
	r := s.replica
	s.replica = nil
	s.mu.Unlock()
	if r == nil {
		return nil
	}
	return r.stream.Close()
}

// incarnationOf returns the incarnation in the name of a writer.
func incarnationOf(writer string) string {
	incarnation, _, _ := strings.Cut(writer, writerSeparator)
	return incarnation
}
