package lease

import "time"

// Action is what a process does about a shard that it does not own.
type Action interface {
	isAction()
}

// Wait means to do nothing.
type Wait struct{}

// Probe means to ask the owner whether it still serves the shard.
type Probe struct{}

// Claim means to try to claim the shard.
type Claim struct{}

func (Wait) isAction()  {}
func (Probe) isAction() {}
func (Claim) isAction() {}

// Candidacy is what a process knows of a shard's owner and of its own turn.
type Candidacy struct {
	// Rank is the process's place in the shard's order, from 0.
	Rank int
	// Owned says whether the shard has a known owner that is still a member.
	Owned bool
}

// MaxCandidates is how many processes of a shard's order watch its owner.
const MaxCandidates = 3

// Monitor decides when a process claims a shard. Candidate n claims n+1 timeouts
// after the owner was last heard of, so that candidates seldom collide.
type Monitor struct {
	timeout time.Duration
	// since is when the owner was last heard of or the watch began.
	since  time.Time
	probed time.Time
	// resigned is set when the owner said that it does not serve the shard.
	resigned bool
}

// probesPerTimeout is how many probes go unanswered before a claim.
const probesPerTimeout = 3

// NewMonitor returns a watch that begins now.
func NewMonitor(now time.Time, timeout time.Duration) *Monitor {
	return &Monitor{timeout: timeout, since: now}
}

// OwnerServing says that the owner answered that it serves the shard.
func (w *Monitor) OwnerServing(now time.Time) {
	w.since = now
	w.resigned = false
}

// OwnerResigned says that the owner answered that it does not serve the shard.
func (w *Monitor) OwnerResigned() { w.resigned = true }

// Next returns what to do now.
func (w *Monitor) Next(now time.Time, s Candidacy) Action {
	if s.Rank >= MaxCandidates {
		w.since = now
		return Wait{}
	}
	silent := now.Sub(w.since)
	if !s.Owned || w.resigned {
		if silent >= time.Duration(s.Rank)*w.timeout {
			return Claim{}
		}
		return Wait{}
	}
	if silent >= time.Duration(s.Rank+1)*w.timeout {
		return Claim{}
	}
	if now.Sub(w.probed) >= w.timeout/probesPerTimeout {
		w.probed = now
		return Probe{}
	}
	return Wait{}
}
